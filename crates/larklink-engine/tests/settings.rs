//! Tests of the settings object: field names, units, defaults and validation errors.
#![expect(clippy::unwrap_used, reason = "a test fails by panicking")]

use larklink_balancer::{AvailabilityNines, Idempotency, RetryBudgetSettings, Settings, TickDuration};
use larklink_engine::settings::ProxySettings;

const SETTINGS: &str = r#"{
    "grades": [
        {"name": "a", "idempotency": "idempotent", "aim_ns": 500000000, "deadline_ns": 3000000000},
        {"name": "b", "idempotency": "at_most_once", "aim_ns": 500000000, "deadline_ns": 2000000000}],
    "feedback": {"names": ["inflight", "x0"]},
    "domain": {"mode": "pass", "message_aim_ns": [150000000, 50000000], "tells_delay": true},
    "policy_limits": {"dial_timeout_ns": 250000000, "max_retry_after_ns": 1500000000, "probing": true,
        "send_cap": 3},
    "safety": {"cold_ns": 20000000000, "drain_grace_ns": 500000000, "fall_multiple": 4.0,
        "start_capacity": 0.2}}"#;

fn read(text: &str) -> ProxySettings {
    ProxySettings::from_json(text.as_bytes()).unwrap()
}

fn balancer_settings(text: &str) -> Settings {
    read(text).balancer
}

#[test]
fn fields_are_read_by_their_names_and_units() {
    let proxy = read(SETTINGS);
    let balancer = &proxy.balancer;
    assert_eq!(
        (proxy.listeners.len(), proxy.max_dial_timeout, proxy.passthrough),
        (2, TickDuration::from_secs(3), true)
    );
    assert_eq!((proxy.load_position, balancer.load_reports), (Some(1), true));
    assert_eq!(
        (balancer.connect_timeout, balancer.message_objective, balancer.drain_grace),
        (TickDuration::from_millis(250), TickDuration::from_millis(50), TickDuration::from_millis(500))
    );
    assert_eq!(balancer.listeners[1].idempotency, Idempotency::OnceOnly);
    assert!(
        ProxySettings::from_json(b"{}").is_ok_and(|settings| settings.listeners.is_empty()),
        "missing fields have conservative defaults"
    );
    // With a limit of 0, any reported latency would count as a failure of the endpoint.
    assert_eq!(
        (balancer.max_dial_timeout, balancer_settings("{}").max_dial_timeout),
        (TickDuration::from_secs(3), TickDuration::MAX)
    );
    assert!(ProxySettings::from_json(b"[").is_err());
}

#[test]
fn the_retry_budget_and_availability_nines_are_complete_or_absent() {
    let all = balancer_settings(
        r#"{"safety":{"budget_free":3,"extra_per_request":0.05,"counted_over_ns":5000000000},
            "result_mix":{"nines_part":0.3,"top_nines":3}}"#,
    );
    assert_eq!(
        all.retry_budget,
        Some(RetryBudgetSettings { min_retries: 3.0, retry_ratio: 0.05, window: TickDuration::from_secs(5) })
    );
    assert_eq!(all.availability_nines, Some(AvailabilityNines { weight: 0.3, max_nines: 3.0 }));
    let none = balancer_settings("{}");
    assert_eq!((none.retry_budget, none.availability_nines), (None, None));
}

#[test]
fn the_local_zone_is_preferred_only_if_crossing_zones_costs_at_least_a_migration() {
    let local_zone =
        |costs: &str| balancer_settings(&format!(r#"{{"zone":1,"zones":["a","b"]{costs}}}"#)).local_zone;
    assert_eq!(local_zone(""), None, "without costs no zone is preferred");
    assert_eq!(local_zone(r#","fees":{"cross_zone":0.03,"moves":0.038}"#), None);
    assert_eq!(local_zone(r#","fees":{"cross_zone":0.02,"moves":0.02}"#), Some(1));
}

#[test]
fn invalid_settings_are_rejected_with_the_path_of_the_field() {
    let error = |text: &str| ProxySettings::from_json(text.as_bytes()).unwrap_err().to_string();
    for (text, expected) in [
        (r#"{"zone":2,"zones":["a","b"]}"#, "zone: index 2 is out of range for the 2 names in zones"),
        (r#"{"zone":"b"}"#, "expected u16 at line 1 column 11"),
        (r#"{"fees":{"cross_zone":-0.1}}"#, "fees.cross_zone: invalid cost -0.1"),
        (r#"{"fees":{"moves":"dear"}}"#, "expected f64"),
        (r#"{"grades":[{},{"deadline_ns":-1}]}"#, "grades[1].deadline_ns: negative duration -1 ns"),
        (r#"{"grades":[{"gain":-1}]}"#, "grades[0].gain: invalid priority weight -1"),
        (
            r#"{"grades":[{"name":"a"},{"name":"ab"},{"name":"a"}]}"#,
            "grades[2].name: duplicate listener name \"a\"",
        ),
        (r#"{"safety":{"budget_free":3,"extra_per_request":0.05}}"#, "safety.counted_over_ns: missing"),
        (r#"{"safety":{"counted_over_ns":5000000000}}"#, "safety.budget_free: missing"),
        (
            r#"{"safety":{"budget_free":-3,"extra_per_request":0.05,"counted_over_ns":5000000000}}"#,
            "safety.budget_free: invalid retry budget value -3",
        ),
        (
            r#"{"safety":{"budget_free":3,"extra_per_request":0.05,"counted_over_ns":0}}"#,
            "safety.counted_over_ns: retry window of 0 ns is too short",
        ),
        (r#"{"safety":{"budget_free":"few"}}"#, "expected f64"),
        (
            r#"{"result_mix":{"nines_part":-0.3,"top_nines":3}}"#,
            "result_mix.nines_part: invalid availability value -0.3: must be 0 or more",
        ),
        (r#"{"result_mix":{"nines_part":0.3}}"#, "result_mix.top_nines: must be greater than 0"),
    ] {
        assert!(error(text).contains(expected), "{text}: {}", error(text));
    }
}
