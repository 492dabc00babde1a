//! The serialized form of the settings object. Its field names are mapped here to the names used in the code.
//!
//! A missing key has a conservative default. Unknown keys are ignored. Durations are in nanoseconds.
use serde::Deserialize;

/// The settings object.
#[derive(Deserialize)]
#[serde(default)]
pub(crate) struct SettingsObject {
    pub(crate) discovery: String,
    #[serde(rename = "domain")]
    pub(crate) protocol: ProtocolObject,
    #[serde(rename = "feedback")]
    pub(crate) load_report: LoadReportObject,
    #[serde(rename = "fees")]
    pub(crate) costs: CostsObject,
    #[serde(rename = "grades")]
    pub(crate) listeners: Vec<ListenerObject>,
    #[serde(rename = "group_size")]
    pub(crate) proxy_count: u32,
    #[serde(rename = "policy_limits")]
    pub(crate) limits: LimitsObject,
    #[serde(rename = "result_mix")]
    pub(crate) availability: AvailabilityObject,
    pub(crate) safety: SafetyObject,
    pub(crate) weights: String,
    pub(crate) zone: u16,
    pub(crate) zones: Vec<String>,
}

impl Default for SettingsObject {
    fn default() -> Self {
        Self {
            discovery: "pushed".into(),
            protocol: ProtocolObject::default(),
            load_report: LoadReportObject::default(),
            costs: CostsObject::default(),
            listeners: Vec::new(),
            proxy_count: 0,
            limits: LimitsObject::default(),
            availability: AvailabilityObject::default(),
            safety: SafetyObject::default(),
            weights: "off".into(),
            zone: 0,
            zones: Vec::new(),
        }
    }
}

/// Properties of the sessions' protocol.
#[derive(Deserialize, Default)]
#[serde(default)]
pub(crate) struct ProtocolObject {
    /// The message latency objective of each listener.
    #[serde(rename = "message_aim_ns")]
    pub(crate) message_objectives_ns: Vec<i64>,
    /// `pass` if packets pass through the proxy's machine without the proxy process.
    pub(crate) mode: String,
    #[serde(rename = "tells_delay")]
    pub(crate) reports_message_latency: bool,
}

/// The format of a load report.
#[derive(Deserialize, Default)]
#[serde(default)]
pub(crate) struct LoadReportObject {
    /// The names of its values, in order.
    pub(crate) names: Vec<String>,
}

/// The costs of placements, in a unit of their own.
#[derive(Deserialize, Default)]
#[serde(default)]
pub(crate) struct CostsObject {
    /// The cost of a session in a zone other than its proxy's.
    pub(crate) cross_zone: f64,
    /// The cost of a migration.
    #[serde(rename = "moves")]
    pub(crate) migration: f64,
}

/// The settings of a listener.
#[derive(Deserialize, Default)]
#[serde(default)]
pub(crate) struct ListenerObject {
    #[serde(rename = "aim_ns")]
    pub(crate) handshake_objective_ns: i64,
    #[serde(rename = "deadline_ns")]
    pub(crate) dial_timeout_ns: i64,
    #[serde(rename = "gain")]
    pub(crate) priority_weight: f64,
    #[serde(rename = "group")]
    pub(crate) deduplication_group: String,
    pub(crate) idempotency: String,
    pub(crate) name: String,
    #[serde(rename = "window_ns")]
    pub(crate) deduplication_window_ns: i64,
}

/// How availability is weighted against cost.
#[derive(Deserialize, Default)]
#[serde(default)]
pub(crate) struct AvailabilityObject {
    #[serde(rename = "nines_part")]
    pub(crate) nines_weight: Option<f64>,
    #[serde(rename = "top_nines")]
    pub(crate) max_nines: Option<f64>,
}

/// Limits on what the proxy may do.
#[derive(Deserialize)]
#[serde(default)]
pub(crate) struct LimitsObject {
    #[serde(rename = "dial_timeout_ns")]
    pub(crate) connect_timeout_ns: i64,
    pub(crate) max_retry_after_ns: i64,
    #[serde(rename = "probing")]
    pub(crate) health_checks: bool,
    pub(crate) retry_after: bool,
    #[serde(rename = "send_cap")]
    pub(crate) max_attempts: u32,
}

impl Default for LimitsObject {
    fn default() -> Self {
        Self {
            connect_timeout_ns: 250_000_000,
            max_retry_after_ns: 0,
            health_checks: false,
            retry_after: false,
            max_attempts: 1,
        }
    }
}

/// The rules that protect the endpoints.
#[derive(Deserialize)]
#[serde(default)]
pub(crate) struct SafetyObject {
    #[serde(rename = "budget_free")]
    pub(crate) min_retries: Option<f64>,
    #[serde(rename = "cold_ns")]
    pub(crate) slow_start_ns: i64,
    #[serde(rename = "counted_over_ns")]
    pub(crate) retry_window_ns: Option<i64>,
    pub(crate) drain_grace_ns: i64,
    #[serde(rename = "extra_per_request")]
    pub(crate) retry_ratio: Option<f64>,
    #[serde(rename = "fall_multiple")]
    pub(crate) overload_multiple: f64,
    #[serde(rename = "must_ask_in_ns")]
    pub(crate) discovery_deadline_ns: i64,
    #[serde(rename = "overload_for_ns")]
    pub(crate) overload_window_ns: i64,
    pub(crate) removal_not_binding: bool,
    #[serde(rename = "start_capacity")]
    pub(crate) initial_capacity: f64,
}

impl Default for SafetyObject {
    fn default() -> Self {
        Self {
            min_retries: None,
            slow_start_ns: 0,
            retry_window_ns: None,
            drain_grace_ns: 0,
            retry_ratio: None,
            overload_multiple: 1.0,
            discovery_deadline_ns: 10_000_000_000,
            overload_window_ns: 1_000_000_000,
            removal_not_binding: false,
            initial_capacity: 1.0,
        }
    }
}
