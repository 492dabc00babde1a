//! The settings of a proxy, read from its settings object.
use larklink_balancer::{DeduplicationGroup, Idempotency, Listener, Settings, TickDuration};
use serde::Deserialize;

use crate::units::ticks_from_nanos;
use crate::validation::{self, SettingsError};
use crate::wire::{ListenerObject, SettingsObject};

/// The name of the load report value that holds the endpoint's utilization, its load over its capacity.
const UTILIZATION_VALUE: &str = "x0";
/// The name of the load report value that holds the number of sessions on the endpoint, from all proxies.
const SESSIONS_VALUE: &str = "inflight";

/// The contents of a settings object: the settings of the balancer and those of the proxy itself.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(try_from = "SettingsObject")]
pub struct ProxySettings {
    /// The settings of the balancer.
    pub balancer: Settings,
    /// The names of the listeners, by index.
    pub listeners: Vec<String>,
    /// The names of the zones, by index.
    pub zones: Vec<String>,
    /// The names of the values of a load report, in order.
    pub load_report_names: Vec<String>,
    /// The position in a load report of the endpoint's utilization, its load over its capacity.
    pub load_position: Option<usize>,
    /// The position in a load report of the number of sessions on the endpoint, from all proxies.
    pub in_flight_position: Option<usize>,
    /// The longest dial timeout of any listener; 0 if there is none.
    pub max_dial_timeout: TickDuration,
    /// Whether packets bypass the proxy process, so that connections outlive it.
    pub passthrough: bool,
    /// Whether the proxy measures the latency of messages and reports it to the engine.
    pub reports_message_latency: bool,
}

impl ProxySettings {
    /// Reads a settings object from its JSON text.
    ///
    /// # Errors
    ///
    /// Returns an error if the text is not valid JSON, or if a value has the wrong type or is out of range.
    /// The message for a value out of range contains the path of its field (see [`SettingsError`]).
    pub fn from_json(text: &[u8]) -> Result<Self, serde_json::Error> {
        serde_json::from_slice(text)
    }
}

impl TryFrom<SettingsObject> for ProxySettings {
    type Error = SettingsError;

    fn try_from(object: SettingsObject) -> Result<Self, SettingsError> {
        validation::validate(&object)?;
        let position = |value: &str| object.load_report.names.iter().position(|name| name == value);
        let load_position = position(UTILIZATION_VALUE);
        let in_flight_position = position(SESSIONS_VALUE);
        let dial_timeouts =
            object.listeners.iter().map(|listener| ticks_from_nanos(listener.dial_timeout_ns));
        let max_dial_timeout = dial_timeouts.max().unwrap_or(TickDuration::ZERO);
        let balancer = balancer_settings(&object, load_position.is_some(), max_dial_timeout)?;
        Ok(Self {
            balancer,
            listeners: object.listeners.into_iter().map(|listener| listener.name).collect(),
            zones: object.zones,
            load_report_names: object.load_report.names,
            load_position,
            in_flight_position,
            max_dial_timeout,
            passthrough: object.protocol.mode == "pass",
            reports_message_latency: object.protocol.reports_message_latency,
        })
    }
}

fn balancer_settings(
    object: &SettingsObject,
    reports_load: bool,
    max_dial_timeout: TickDuration,
) -> Result<Settings, SettingsError> {
    let limits = &object.limits;
    let safety = &object.safety;
    let message_objectives =
        object.protocol.message_objectives_ns.iter().map(|&nanos| ticks_from_nanos(nanos));
    Ok(Settings {
        listeners: object.listeners.iter().map(listener_settings).collect(),
        proxy_count: object.proxy_count,
        weighted: matches!(object.weights.as_str(), "nominal" | "rough"),
        polled_discovery: object.discovery == "on_request",
        discovery_deadline: ticks_from_nanos(safety.discovery_deadline_ns),
        drain_grace: ticks_from_nanos(safety.drain_grace_ns),
        removal_not_binding: safety.removal_not_binding,
        initial_capacity: safety.initial_capacity,
        slow_start_duration: ticks_from_nanos(safety.slow_start_ns),
        overload_multiple: safety.overload_multiple,
        overload_window: ticks_from_nanos(safety.overload_window_ns),
        retry_budget: validation::retry_budget(safety)?,
        availability_nines: validation::availability_nines(&object.availability)?,
        // With 0, maintenance would always be due.
        connect_timeout: ticks_from_nanos(limits.connect_timeout_ns).max(TickDuration::from_ticks(1)),
        // So that the number of attempts fits in `AttemptNumber`.
        max_attempts: limits.max_attempts.min(u8::MAX.into()),
        max_retry_after: ticks_from_nanos(limits.max_retry_after_ns),
        retry_after_allowed: limits.retry_after,
        health_checks: limits.health_checks,
        load_reports: limits.health_checks && reports_load,
        local_zone: prefers_local_zone(object).then_some(object.zone),
        max_dial_timeout: if max_dial_timeout > TickDuration::ZERO {
            max_dial_timeout
        } else {
            TickDuration::MAX
        },
        message_objective: message_objectives.min().unwrap_or(TickDuration::ZERO),
    })
}

/// Returns whether endpoints in the proxy's zone are preferred. A group that is split over zones loads
/// endpoints in each of them, so local endpoints are preferred only if crossing zones costs at least as much
/// as a migration.
fn prefers_local_zone(object: &SettingsObject) -> bool {
    let costs = &object.costs;
    object.zones.len() > 1 && costs.cross_zone > 0.0 && costs.cross_zone >= costs.migration
}

fn listener_settings(object: &ListenerObject) -> Listener {
    Listener {
        idempotency: parse_idempotency(object),
        handshake_objective: ticks_from_nanos(object.handshake_objective_ns),
        priority_weight: object.priority_weight,
    }
}

/// Parses the idempotency of a listener. An unknown value counts as the most restrictive one.
fn parse_idempotency(object: &ListenerObject) -> Idempotency {
    match object.idempotency.as_str() {
        "idempotent" => Idempotency::Idempotent,
        "deduplicated" => Idempotency::WithKey {
            group: match object.deduplication_group.as_str() {
                "all" => DeduplicationGroup::All,
                "zone" => DeduplicationGroup::Zone,
                _ => DeduplicationGroup::Cell,
            },
            window: ticks_from_nanos(object.deduplication_window_ns),
        },
        _ => Idempotency::OnceOnly,
    }
}
