//! The settings object of a proxy, from JSON to the module's plain values and what its protocols need.
use larklink_balancer::{
    AvailabilityNines, DeduplicationGroup, Idempotency, Listener, RetryBudgetSettings, Settings,
    TickDuration, Timestamp,
};
use serde::Deserialize;

/// Nanoseconds to whole tenths of a millisecond, rounded down.
pub fn tenths(ns: i64) -> TickDuration {
    u64::try_from(ns).unwrap_or(0) / 100_000
}

/// Neither 0 nor more, or no number.
fn no_amount(x: f64) -> bool {
    !x.is_finite() || x < 0.0
}

#[derive(Deserialize)]
#[serde(default)]
struct Info {
    discovery: String,
    domain: Domain,
    feedback: Feedback,
    fees: Fees,
    grades: Vec<Grade>,
    group_size: u32,
    policy_limits: Limits,
    result_mix: Mix,
    safety: Safety,
    weights: String,
    zone: u16,
    zones: Vec<String>,
}

#[derive(Deserialize, Default)]
#[serde(default)]
struct Domain {
    message_aim_ns: Vec<i64>,
    mode: String,
    tells_delay: bool,
}

#[derive(Deserialize, Default)]
#[serde(default)]
struct Feedback {
    names: Vec<String>,
}

#[derive(Deserialize, Default)]
#[serde(default)]
struct Fees {
    cross_zone: f64,
    moves: f64,
}

#[derive(Deserialize, Default)]
#[serde(default)]
struct Grade {
    aim_ns: i64,
    deadline_ns: i64,
    gain: f64,
    group: String,
    idempotency: String,
    name: String,
    window_ns: i64,
}

#[derive(Deserialize, Default)]
#[serde(default)]
struct Mix {
    nines_part: Option<f64>,
    top_nines: Option<f64>,
}

#[derive(Deserialize)]
#[serde(default)]
struct Limits {
    dial_timeout_ns: i64,
    max_retry_after_ns: i64,
    probing: bool,
    retry_after: bool,
    send_cap: u32,
}

#[derive(Deserialize)]
#[serde(default)]
struct Safety {
    budget_free: Option<f64>,
    cold_ns: i64,
    counted_over_ns: Option<i64>,
    drain_grace_ns: i64,
    extra_per_request: Option<f64>,
    fall_multiple: f64,
    must_ask_in_ns: i64,
    overload_for_ns: i64,
    removal_not_binding: bool,
    start_capacity: f64,
}

impl Default for Info {
    fn default() -> Self {
        Self {
            discovery: "pushed".into(),
            domain: Domain::default(),
            feedback: Feedback::default(),
            fees: Fees::default(),
            grades: Vec::new(),
            group_size: 0,
            policy_limits: Limits::default(),
            result_mix: Mix::default(),
            safety: Safety::default(),
            weights: "off".into(),
            zone: 0,
            zones: Vec::new(),
        }
    }
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            dial_timeout_ns: 250_000_000,
            max_retry_after_ns: 0,
            probing: false,
            retry_after: false,
            send_cap: 1,
        }
    }
}

impl Default for Safety {
    fn default() -> Self {
        Self {
            budget_free: None,
            cold_ns: 0,
            counted_over_ns: None,
            drain_grace_ns: 0,
            extra_per_request: None,
            fall_multiple: 1.0,
            must_ask_in_ns: 10_000_000_000,
            overload_for_ns: 1_000_000_000,
            removal_not_binding: false,
            start_capacity: 1.0,
        }
    }
}

/// What a settings object says.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(try_from = "Info")]
pub struct ProxySettings {
    pub settings: Settings,
    /// The names of the listeners, in their order.
    pub listeners: Vec<String>,
    pub zones: Vec<String>,
    /// The names of the values that a load report holds.
    pub report: Vec<String>,
    /// Where a report holds the load asked of a server over what it can do.
    pub load_position: Option<usize>,
    /// Where it holds the sessions in the server's hands.
    pub in_flight_position: Option<usize>,
    /// The longest dial timeout of any listener.
    pub longest: TickDuration,
    /// Packets pass through: connections outlive the proxy.
    pub passes: bool,
    pub tells_delay: bool,
}

impl ProxySettings {
    pub fn read(text: &[u8]) -> Result<Self, serde_json::Error> {
        serde_json::from_slice(text)
    }
}

impl Safety {
    /// The retry budget of further dials, where all of it is told.
    ///
    /// # Errors
    /// A part of it is told without the rest, or is no retry budget.
    fn retry_budget(&self) -> Result<Option<RetryBudgetSettings>, String> {
        let lacks = |name| {
            Err(format!("safety.{name}: missing, though other parts of the budget of dials are there"))
        };
        let (free, share, over) = match (self.budget_free, self.extra_per_request, self.counted_over_ns) {
            (None, None, None) => return Ok(None),
            (None, _, _) => return lacks("budget_free"),
            (_, None, _) => return lacks("extra_per_request"),
            (_, _, None) => return lacks("counted_over_ns"),
            (Some(free), Some(share), Some(over)) => (free, share, over),
        };
        let amounts = [("budget_free", free), ("extra_per_request", share)];
        if let Some((name, x)) = amounts.iter().find(|(_, x)| no_amount(*x)) {
            return Err(format!("safety.{name}: {x} is no amount; it must be 0 or more"));
        }
        if tenths(over) == 0 {
            return Err(format!("safety.counted_over_ns: {over} is no period; it must be 100000 or more"));
        }
        Ok(Some(RetryBudgetSettings { min_retries: free, retry_ratio: share, window: tenths(over) }))
    }
}

impl Mix {
    /// # Errors
    /// A figure is no weight, or no number of steps.
    fn nines(&self) -> Result<Option<AvailabilityNines>, String> {
        let told = [("nines_part", self.nines_part), ("top_nines", self.top_nines)];
        for (name, x) in told {
            if let Some(x) = x.filter(|x| no_amount(*x)) {
                return Err(format!("result_mix.{name}: {x} must be 0 or more"));
            }
        }
        let part = self.nines_part.unwrap_or(0.0);
        match self.top_nines {
            Some(top) if top > 0.0 => {
                Ok((part > 0.0).then_some(AvailabilityNines { weight: part, max_nines: top }))
            }
            _ if part > 0.0 => Err("result_mix.top_nines: must be above 0 where nines_part is".into()),
            _ => Ok(None),
        }
    }
}

impl Info {
    /// What is wrong with the figures, with its place.
    fn wrong(&self) -> Option<String> {
        let zones = self.zones.len();
        if self.zone > 0 && usize::from(self.zone) >= zones {
            return Some(format!("zone: {} is no place among the {zones} in zones", self.zone));
        }
        let fees = [("cross_zone", self.fees.cross_zone), ("moves", self.fees.moves)];
        if let Some((name, fee)) = fees.iter().find(|(_, fee)| no_amount(*fee)) {
            return Some(format!("fees.{name}: {fee} is no price; it must be 0 or more"));
        }
        if let Some(at) = self.grades.iter().position(|g| no_amount(g.gain)) {
            return Some(format!(
                "grades[{at}].gain: {} is no utility; it must be 0 or more",
                self.grades[at].gain
            ));
        }
        if let Some(at) = self.grades.iter().position(|g| g.deadline_ns < 0) {
            return Some(format!("grades[{at}].deadline_ns: {} is under 0", self.grades[at].deadline_ns));
        }
        let twice = |at: &usize| self.grades[..*at].iter().any(|g| g.name == self.grades[*at].name);
        let at = (0..self.grades.len()).find(twice)?;
        Some(format!(
            "grades[{at}].name: {:?} stands twice; a session could be of either",
            self.grades[at].name
        ))
    }
}

impl TryFrom<Info> for ProxySettings {
    type Error = String;

    /// # Errors
    /// A figure is out of range or contradicts another.
    fn try_from(info: Info) -> Result<Self, String> {
        if let Some(wrong) = info.wrong() {
            return Err(wrong);
        }
        let (retry_budget, nines) = (info.safety.retry_budget()?, info.result_mix.nines()?);
        let listeners = info.grades.iter().map(|g| Listener {
            idempotency: match (g.idempotency.as_str(), g.group.as_str()) {
                ("idempotent", _) => Idempotency::Idempotent,
                ("deduplicated", group) => Idempotency::WithKey {
                    group: match group {
                        "all" => DeduplicationGroup::All,
                        "zone" => DeduplicationGroup::Zone,
                        _ => DeduplicationGroup::Cell,
                    },
                    window: tenths(g.window_ns),
                },
                // A kind of listener that we do not know is treated with the most care.
                _ => Idempotency::OnceOnly,
            },
            handshake_objective: tenths(g.aim_ns),
            priority_weight: g.gain,
        });
        let (limits, safety) = (&info.policy_limits, &info.safety);
        let at = |name| info.feedback.names.iter().position(|n| n == name);
        let (load_position, in_flight_position) = (at("x0"), at("inflight"));
        let longest = info.grades.iter().map(|g| tenths(g.deadline_ns)).max().unwrap_or(0);
        // A group that is split over zones costs servers in each: only where crossings cost no less than moves.
        let (crossing, moves) = (info.fees.cross_zone, info.fees.moves);
        let near = info.zones.len() > 1 && crossing > 0.0 && crossing >= moves;
        let settings = Settings {
            listeners: listeners.collect(),
            proxy_count: info.group_size,
            weighted: matches!(info.weights.as_str(), "nominal" | "rough"),
            polled_discovery: info.discovery == "on_request",
            discovery_deadline: tenths(safety.must_ask_in_ns),
            drain_grace: tenths(safety.drain_grace_ns),
            removal_not_binding: safety.removal_not_binding,
            initial_capacity: safety.start_capacity,
            slow_start_duration: tenths(safety.cold_ns),
            overload_multiple: safety.fall_multiple,
            overload_window: tenths(safety.overload_for_ns),
            retry_budget,
            availability_nines: nines,
            connect_timeout: tenths(limits.dial_timeout_ns).max(1),
            // Dials are numbered in a byte; nobody waits for as many.
            max_attempts: limits.send_cap.min(u8::MAX.into()),
            max_retry_after: tenths(limits.max_retry_after_ns),
            retry_after_allowed: limits.retry_after,
            health_checks: limits.probing,
            load_reports: limits.probing && load_position.is_some(),
            local_zone: near.then_some(info.zone),
            max_dial_timeout: if longest > 0 { longest } else { Timestamp::MAX },
            message_objective: info.domain.message_aim_ns.iter().map(|&ns| tenths(ns)).min().unwrap_or(0),
        };
        Ok(Self {
            settings,
            longest,
            listeners: info.grades.into_iter().map(|g| g.name).collect(),
            zones: info.zones,
            report: info.feedback.names,
            load_position,
            in_flight_position,
            passes: info.domain.mode == "pass",
            tells_delay: info.domain.tells_delay,
        })
    }
}
