//! Builds the settings object for the proxies of a scenario.
use larklink_engine::units::NANOS_PER_TICK;
use serde_json::{Value, json};

use crate::scenario::{ListenerSpec, Scenario, SessionKind};
use crate::time::TickDuration;

/// The cost of a placement in another zone, for proxies of the moved shape. It is higher than that of a migration.
const CROSS_ZONE_COST: f64 = 0.06;
/// The cost of a migration, for proxies of the moved shape.
const MIGRATION_COST: f64 = 0.02;

fn nanos(ticks: TickDuration) -> u64 {
    ticks * NANOS_PER_TICK
}

/// Returns the settings object of the proxy with this index.
pub fn settings_object(scenario: &Scenario, proxy: usize) -> Value {
    let listeners: Vec<_> = scenario.listeners.iter().map(|listener| listener.get_ref()).collect();
    let message_objectives: Vec<_> =
        listeners.iter().map(|listener| nanos(listener.message_objective.0)).collect();
    let rules = &scenario.rules;
    let server = scenario.servers[0].get_ref();
    let moved = scenario.is_moved_shape(proxy);
    let costs =
        if moved { json!({"cross_zone": CROSS_ZONE_COST, "moves": MIGRATION_COST}) } else { json!({}) };
    json!({
        "discovery": "pushed",
        "domain": {"mode": if rules.passthrough { "pass" } else { "proxy" }, "groups": true,
                   "message_aim_ns": message_objectives, "tells_delay": true, "tells_load": true},
        "feedback": {"names": ["inflight", "util", "x0"], "source": "on_probe"},
        "fees": costs,
        "grades": listeners.into_iter().map(listener_object).collect::<Vec<_>>(),
        "group_size": scenario.proxies.count,
        "policy_limits": {"dial_timeout_ns": nanos(rules.connect_timeout.0), "send_cap": rules.max_attempts,
                          "max_retry_after_ns": nanos(rules.max_retry_after.0),
                          "retry_after": rules.max_retry_after.0 > 0, "probing": rules.health_checks && !moved},
        "safety": {"cold_ns": nanos(server.slow_start_duration.0), "drain_grace_ns": nanos(rules.drain_grace.0),
                   "fall_multiple": server.overload_multiple, "must_ask_in_ns": nanos(rules.discovery_deadline.0),
                   "overload_for_ns": nanos(server.overload_window.0), "start_capacity": server.initial_capacity},
        "weights": "nominal",
        "zone": proxy % scenario.proxies.zones,
        "zones": (0..scenario.proxies.zones).map(|zone| scenario.zone(zone)).collect::<Vec<_>>(),
    })
}

fn listener_object(listener: &ListenerSpec) -> Value {
    let idempotency = match listener.kind {
        SessionKind::Idempotent => "idempotent",
        SessionKind::Deduplicated => "deduplicated",
        SessionKind::OnceOnly => "at_most_once",
    };
    json!({"name": listener.name, "idempotency": idempotency, "group": "all",
        "window_ns": nanos(listener.window.0), "aim_ns": nanos(listener.handshake_objective.0),
        "deadline_ns": nanos(listener.dial_timeout.0)})
}
