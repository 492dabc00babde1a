//! What is checked of a settings object beyond its form: ranges, and values that contradict each other.
use larklink_balancer::{AvailabilityNines, RetryBudgetSettings, TickDuration};
use thiserror::Error;

use crate::units::ticks_from_nanos;
use crate::wire::{AvailabilityObject, ListenerObject, SafetyObject, SettingsObject};

/// What is wrong with a settings object, and where.
#[derive(Clone, Debug, PartialEq, Error)]
#[error("{field}: {problem}")]
pub struct SettingsError {
    /// The path of the field, in the names of the settings object.
    pub field: String,
    /// What is wrong there.
    pub problem: SettingsProblem,
}

/// What is wrong with one field: its value, and what was expected.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum SettingsProblem {
    /// The proxy's zone is none of those that are listed.
    #[error("{zone} is no place among the {zone_count} in zones")]
    UnknownZone {
        /// The index of the proxy's zone.
        zone: u16,
        /// How many zones are listed.
        zone_count: usize,
    },
    /// A cost is negative or no number.
    #[error("{0} is no price; it must be 0 or more")]
    InvalidCost(f64),
    /// A priority weight is negative or no number.
    #[error("{0} is no utility; it must be 0 or more")]
    InvalidPriorityWeight(f64),
    /// A duration, in nanoseconds, is negative.
    #[error("{0} is under 0")]
    NegativeDuration(i64),
    /// Two listeners have the same name.
    #[error("{0:?} stands twice; a session could be of either")]
    DuplicateListener(String),
    /// The retry budget has other fields, but not this one.
    #[error("missing, though other parts of the budget of dials are there")]
    IncompleteRetryBudget,
    /// A number of the retry budget is negative or no number.
    #[error("{0} is no amount; it must be 0 or more")]
    InvalidRetryAmount(f64),
    /// The window of the retry budget, in nanoseconds, is under one tick.
    #[error("{0} is no period; it must be 100000 or more")]
    RetryWindowTooShort(i64),
    /// A number about availability is negative or no number.
    #[error("{0} must be 0 or more")]
    InvalidAvailability(f64),
    /// Calm periods have a weight, but no highest number of nines.
    #[error("must be above 0 where nines_part is")]
    MissingMaxNines,
}

impl SettingsError {
    fn new(field: impl Into<String>, problem: SettingsProblem) -> Self {
        Self { field: field.into(), problem }
    }
}

fn is_amount(value: f64) -> bool {
    value.is_finite() && value >= 0.0
}

/// Checks the zone, the costs and the listeners.
pub(crate) fn check(object: &SettingsObject) -> Result<(), SettingsError> {
    let zone_count = object.zones.len();
    if object.zone > 0 && usize::from(object.zone) >= zone_count {
        let problem = SettingsProblem::UnknownZone { zone: object.zone, zone_count };
        return Err(SettingsError::new("zone", problem));
    }
    for (name, cost) in [("cross_zone", object.costs.cross_zone), ("moves", object.costs.migration)] {
        if !is_amount(cost) {
            return Err(SettingsError::new(format!("fees.{name}"), SettingsProblem::InvalidCost(cost)));
        }
    }
    check_listeners(&object.listeners)
}

fn check_listeners(listeners: &[ListenerObject]) -> Result<(), SettingsError> {
    let wrong = |index: usize, name: &str, problem| {
        Err(SettingsError::new(format!("grades[{index}].{name}"), problem))
    };
    for (index, listener) in listeners.iter().enumerate() {
        if !is_amount(listener.priority_weight) {
            let problem = SettingsProblem::InvalidPriorityWeight(listener.priority_weight);
            return wrong(index, "gain", problem);
        }
    }
    for (index, listener) in listeners.iter().enumerate() {
        if listener.dial_timeout_ns < 0 {
            let problem = SettingsProblem::NegativeDuration(listener.dial_timeout_ns);
            return wrong(index, "deadline_ns", problem);
        }
    }
    for (index, listener) in listeners.iter().enumerate() {
        if listeners[..index].iter().any(|earlier| earlier.name == listener.name) {
            let problem = SettingsProblem::DuplicateListener(listener.name.clone());
            return wrong(index, "name", problem);
        }
    }
    Ok(())
}

/// The retry budget; none if none of its fields is there.
pub(crate) fn retry_budget(safety: &SafetyObject) -> Result<Option<RetryBudgetSettings>, SettingsError> {
    if safety.min_retries.is_none() && safety.retry_ratio.is_none() && safety.retry_window_ns.is_none() {
        return Ok(None);
    }
    let missing = |name| SettingsError::new(format!("safety.{name}"), SettingsProblem::IncompleteRetryBudget);
    let min_retries = safety.min_retries.ok_or_else(|| missing("budget_free"))?;
    let retry_ratio = safety.retry_ratio.ok_or_else(|| missing("extra_per_request"))?;
    let window_ns = safety.retry_window_ns.ok_or_else(|| missing("counted_over_ns"))?;
    for (name, value) in [("budget_free", min_retries), ("extra_per_request", retry_ratio)] {
        if !is_amount(value) {
            let problem = SettingsProblem::InvalidRetryAmount(value);
            return Err(SettingsError::new(format!("safety.{name}"), problem));
        }
    }
    let window = ticks_from_nanos(window_ns);
    if window == TickDuration::ZERO {
        let problem = SettingsProblem::RetryWindowTooShort(window_ns);
        return Err(SettingsError::new("safety.counted_over_ns", problem));
    }
    Ok(Some(RetryBudgetSettings { min_retries, retry_ratio, window }))
}

/// The weight of calm periods; none if it is 0 or not there.
pub(crate) fn availability_nines(
    object: &AvailabilityObject,
) -> Result<Option<AvailabilityNines>, SettingsError> {
    for (name, value) in [("nines_part", object.nines_weight), ("top_nines", object.max_nines)] {
        if let Some(value) = value.filter(|value| !is_amount(*value)) {
            let problem = SettingsProblem::InvalidAvailability(value);
            return Err(SettingsError::new(format!("result_mix.{name}"), problem));
        }
    }
    let weight = object.nines_weight.unwrap_or(0.0);
    let max_nines = object.max_nines.filter(|max_nines| *max_nines > 0.0);
    if weight <= 0.0 {
        return Ok(None);
    }
    let max_nines = max_nines
        .ok_or_else(|| SettingsError::new("result_mix.top_nines", SettingsProblem::MissingMaxNines))?;
    Ok(Some(AvailabilityNines { weight, max_nines }))
}
