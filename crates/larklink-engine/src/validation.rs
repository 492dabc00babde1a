//! Validation of a settings object beyond its types: ranges and contradictory values.
use larklink_balancer::{AvailabilityNines, RetryBudgetSettings, TickDuration};
use thiserror::Error;

use crate::units::ticks_from_nanos;
use crate::wire::{AvailabilityObject, ListenerObject, SafetyObject, SettingsObject};

/// An invalid field of a settings object.
#[derive(Clone, Debug, PartialEq, Error)]
#[error("{field}: {kind}")]
pub struct SettingsError {
    /// The path of the field, in the key names of the settings object.
    pub field: String,
    /// Why the field is invalid.
    pub kind: SettingsErrorKind,
}

/// Why a field is invalid: its value and the expected range.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum SettingsErrorKind {
    /// The proxy's zone is not an index into the listed zones.
    #[error("index {zone} is out of range for the {zone_count} names in zones")]
    ZoneOutOfRange {
        /// The configured index of the proxy's zone.
        zone: u16,
        /// The number of listed zones.
        zone_count: usize,
    },
    /// A cost is negative or not finite.
    #[error("invalid cost {0}: must be 0 or more")]
    InvalidCost(f64),
    /// A priority weight is negative or not finite.
    #[error("invalid priority weight {0}: must be 0 or more")]
    InvalidPriorityWeight(f64),
    /// A duration, in nanoseconds, is negative.
    #[error("negative duration {0} ns: must be 0 or more")]
    NegativeDuration(i64),
    /// Two listeners have the same name, so the listener of a session would be ambiguous.
    #[error("duplicate listener name {0:?}: the listener of a session would be ambiguous")]
    DuplicateListener(String),
    /// This field of the retry budget is missing, but others are set.
    #[error("missing, but required because other fields of the retry budget are set")]
    IncompleteRetryBudget,
    /// A number of the retry budget is negative or not finite.
    #[error("invalid retry budget value {0}: must be 0 or more")]
    InvalidRetryBudgetValue(f64),
    /// The window of the retry budget, in nanoseconds, is shorter than one tick.
    #[error("retry window of {0} ns is too short: must be 100000 ns or more")]
    RetryWindowTooShort(i64),
    /// A number of the availability scoring is negative or not finite.
    #[error("invalid availability value {0}: must be 0 or more")]
    InvalidAvailability(f64),
    /// Periods without incidents have a weight, but no maximum number of nines.
    #[error("must be greater than 0 because nines_part is")]
    MissingMaxNines,
}

impl SettingsError {
    fn new(field: impl Into<String>, kind: SettingsErrorKind) -> Self {
        Self { field: field.into(), kind }
    }
}

fn is_finite_and_non_negative(value: f64) -> bool {
    value.is_finite() && value >= 0.0
}

/// Validates the zone, the costs and the listeners.
pub(crate) fn validate(object: &SettingsObject) -> Result<(), SettingsError> {
    let zone_count = object.zones.len();
    if object.zone > 0 && usize::from(object.zone) >= zone_count {
        let kind = SettingsErrorKind::ZoneOutOfRange { zone: object.zone, zone_count };
        return Err(SettingsError::new("zone", kind));
    }
    for (name, cost) in [("cross_zone", object.costs.cross_zone), ("moves", object.costs.migration)] {
        if !is_finite_and_non_negative(cost) {
            return Err(SettingsError::new(format!("fees.{name}"), SettingsErrorKind::InvalidCost(cost)));
        }
    }
    validate_listeners(&object.listeners)
}

fn validate_listeners(listeners: &[ListenerObject]) -> Result<(), SettingsError> {
    let invalid =
        |index: usize, name: &str, kind| Err(SettingsError::new(format!("grades[{index}].{name}"), kind));
    for (index, listener) in listeners.iter().enumerate() {
        if !is_finite_and_non_negative(listener.priority_weight) {
            let kind = SettingsErrorKind::InvalidPriorityWeight(listener.priority_weight);
            return invalid(index, "gain", kind);
        }
    }
    for (index, listener) in listeners.iter().enumerate() {
        if listener.dial_timeout_ns < 0 {
            let kind = SettingsErrorKind::NegativeDuration(listener.dial_timeout_ns);
            return invalid(index, "deadline_ns", kind);
        }
    }
    for (index, listener) in listeners.iter().enumerate() {
        if listeners[..index].iter().any(|earlier| earlier.name == listener.name) {
            let kind = SettingsErrorKind::DuplicateListener(listener.name.clone());
            return invalid(index, "name", kind);
        }
    }
    Ok(())
}

/// Returns the retry budget, or `None` if none of its fields is set.
pub(crate) fn retry_budget(safety: &SafetyObject) -> Result<Option<RetryBudgetSettings>, SettingsError> {
    if safety.min_retries.is_none() && safety.retry_ratio.is_none() && safety.retry_window_ns.is_none() {
        return Ok(None);
    }
    let missing =
        |name| SettingsError::new(format!("safety.{name}"), SettingsErrorKind::IncompleteRetryBudget);
    let min_retries = safety.min_retries.ok_or_else(|| missing("budget_free"))?;
    let retry_ratio = safety.retry_ratio.ok_or_else(|| missing("extra_per_request"))?;
    let window_ns = safety.retry_window_ns.ok_or_else(|| missing("counted_over_ns"))?;
    for (name, value) in [("budget_free", min_retries), ("extra_per_request", retry_ratio)] {
        if !is_finite_and_non_negative(value) {
            let kind = SettingsErrorKind::InvalidRetryBudgetValue(value);
            return Err(SettingsError::new(format!("safety.{name}"), kind));
        }
    }
    let window = ticks_from_nanos(window_ns);
    if window == TickDuration::ZERO {
        let kind = SettingsErrorKind::RetryWindowTooShort(window_ns);
        return Err(SettingsError::new("safety.counted_over_ns", kind));
    }
    Ok(Some(RetryBudgetSettings { min_retries, retry_ratio, window }))
}

/// Returns the scoring of periods without incidents, or `None` if its weight is 0 or missing.
pub(crate) fn availability_nines(
    object: &AvailabilityObject,
) -> Result<Option<AvailabilityNines>, SettingsError> {
    for (name, value) in [("nines_part", object.nines_weight), ("top_nines", object.max_nines)] {
        if let Some(value) = value.filter(|value| !is_finite_and_non_negative(*value)) {
            let kind = SettingsErrorKind::InvalidAvailability(value);
            return Err(SettingsError::new(format!("result_mix.{name}"), kind));
        }
    }
    let weight = object.nines_weight.unwrap_or(0.0);
    let max_nines = object.max_nines.filter(|max_nines| *max_nines > 0.0);
    if weight <= 0.0 {
        return Ok(None);
    }
    let max_nines = max_nines
        .ok_or_else(|| SettingsError::new("result_mix.top_nines", SettingsErrorKind::MissingMaxNines))?;
    Ok(Some(AvailabilityNines { weight, max_nines }))
}
