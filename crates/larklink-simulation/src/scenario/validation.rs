//! Semantic checks of a scenario that has been parsed.
use std::ops::Range;

use toml::Spanned;

use crate::duration::ConfigDuration;
use crate::scenario::error::ScenarioProblem;
use crate::scenario::fault::{FaultKind, FaultSpec};
use crate::scenario::fleet::{ProxyFleet, ProxyRules, ServerGroup, SessionStoreSettings};
use crate::scenario::listener::ListenerSpec;
use crate::scenario::requirements::Requirements;

/// Maximum number of proxies in a scenario.
const MAX_PROXIES: usize = 512;
/// Maximum number of zones: each is named by one letter.
const MAX_ZONES: usize = 26;
/// Maximum number of servers in a scenario.
const MAX_SERVERS: usize = 500;
/// Maximum number of cores of a server.
const MAX_CORES: usize = 1024;
/// Minimum file descriptor limit of a proxy.
const MIN_DESCRIPTORS: usize = 64;
/// Maximum arrival rate of a listener's clients.
const MAX_ARRIVALS_PER_SECOND: f64 = 1e5;
/// Maximum number of kilobytes that a client requests and does not read.
const MAX_UNREAD_KB: usize = 65_536;
/// Maximum number of times that a fault is injected.
const MAX_REPEATS: u32 = 1000;

/// Collects problems and resolves their keys to lines of the table that is being checked.
pub(super) struct ProblemCollector<'a> {
    text: &'a str,
    table: Range<usize>,
    pub(super) problems: Vec<ScenarioProblem>,
}

impl<'a> ProblemCollector<'a> {
    pub(super) fn new(text: &'a str) -> Self {
        Self { text, table: 0..text.len(), problems: Vec::new() }
    }

    /// Sets the table in which the keys of the following problems are searched.
    fn enter_table(&mut self, table: Range<usize>) {
        self.table = table;
    }

    pub(super) fn add(&mut self, key: &str, reason: impl AsRef<str>) {
        let problem = ScenarioProblem::at_key(self.text, &self.table, key, reason.as_ref());
        self.problems.push(problem);
    }
}

fn is_positive(value: f64) -> bool {
    value > 0.0 && value.is_finite()
}

fn is_non_negative(value: f64) -> bool {
    value >= 0.0 && value.is_finite()
}

fn is_positive_fraction(value: f64) -> bool {
    value > 0.0 && value <= 1.0
}

pub(super) fn check_proxies(
    proxies: &ProxyFleet,
    requirements: &Requirements,
    problems: &mut ProblemCollector,
) {
    let count = proxies.count;
    if count == 0 || count > MAX_PROXIES {
        problems.add("proxies.count", format!("{count} proxies, must be 1 to {MAX_PROXIES}"));
    }
    if !(1..=count.clamp(1, MAX_ZONES)).contains(&proxies.zones) {
        let zones = proxies.zones;
        let reason = format!("{zones} zones, must be 1 to {MAX_ZONES} and not more than the {count} proxies");
        problems.add("proxies.zones", reason);
    }
    if proxies.moved > count {
        let moved = proxies.moved;
        problems.add("proxies.moved", format!("{moved} is more than the {count} proxies"));
    }
    if requirements.min_accepted_per_shape.is_some() && !(1..count).contains(&proxies.moved) {
        problems.add(
            "must.each_shape",
            "needs two shapes of proxies: set proxies.moved between 1 and proxies.count - 1",
        );
    }
    if proxies.descriptors < MIN_DESCRIPTORS {
        problems.add("proxies.descriptors", format!("must be at least {MIN_DESCRIPTORS}"));
    }
}

pub(super) fn check_rules(rules: &ProxyRules, problems: &mut ProblemCollector) {
    if rules.max_attempts == 0 {
        problems.add("rules.dials", "must be at least 1");
    }
    if rules.connect_timeout.0 == 0 {
        problems.add("rules.connect_timeout", "must be greater than 0");
    }
}

pub(super) fn check_session_store(store: &SessionStoreSettings, problems: &mut ProblemCollector) {
    if !is_positive(store.rate) {
        problems.add(
            "store.rate",
            format!("a rate of {} calls per second, must be positive and finite", store.rate),
        );
    }
}

pub(super) fn check_requirements(
    requirements: &Requirements,
    faults: &[Spanned<FaultSpec>],
    problems: &mut ProblemCollector,
) {
    for (key, share) in [
        ("must.service", requirements.min_service),
        ("must.accepted", requirements.min_accepted),
        ("must.each_shape", requirements.min_accepted_per_shape),
    ] {
        if share.is_some_and(|share| !(0.0..=1.0).contains(&share)) {
            problems.add(key, "must be between 0 and 1");
        }
    }
    let restarts_proxy = |fault: &Spanned<FaultSpec>| {
        let fault = fault.get_ref();
        matches!(fault.kind, FaultKind::ProxyKilled | FaultKind::ProxyStopped) && fault.duration.is_some()
    };
    if requirements.max_recovery_time.is_some() && !faults.iter().any(restarts_proxy) {
        problems.add("must.recovers", "needs a proxy-killed or proxy-stopped fault with `for`");
    }
}

pub(super) fn check_server_count(count: usize, any_listed: bool, problems: &mut ProblemCollector) {
    if count == 0 || count > MAX_SERVERS {
        problems.add("servers", format!("{count} servers, must be 1 to {MAX_SERVERS}"));
    }
    if !any_listed {
        problems.add("listed", "at least one server must have listed = true");
    }
}

pub(super) fn check_server_group(group: &Spanned<ServerGroup>, problems: &mut ProblemCollector) {
    problems.enter_table(group.span());
    let group = group.get_ref();
    if group.cores == 0 || group.cores > MAX_CORES {
        problems.add("cores", format!("{} cores, must be 1 to {MAX_CORES}", group.cores));
    }
    if !is_positive(group.speed) {
        problems.add("speed", format!("a speed of {}, must be positive and finite", group.speed));
    }
    if !is_positive_fraction(group.initial_capacity) {
        problems.add("start_capacity", "must be greater than 0 and at most 1");
    }
    if !is_positive(group.overload_multiple) {
        let reason = format!("a multiple of {}, must be positive and finite", group.overload_multiple);
        problems.add("fall_multiple", reason);
    }
    if group.overload_window.0 == 0 || group.report_interval.0 == 0 {
        problems.add("fall_after", "fall_after and report_every must be greater than 0");
    }
    if !is_positive(group.weight) {
        problems.add("weight", format!("a weight of {}, must be positive and finite", group.weight));
    }
}

/// Checks a listener. `earlier` are the listeners before it in the file, whose names it must not repeat.
pub(super) fn check_listener(
    listener: &Spanned<ListenerSpec>,
    earlier: &[Spanned<ListenerSpec>],
    problems: &mut ProblemCollector,
) {
    problems.enter_table(listener.span());
    let listener = listener.get_ref();
    let name = &listener.name;
    if earlier.iter().any(|other| other.get_ref().name == *name) {
        problems.add("name", format!("duplicate listener name {name:?}"));
    }
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
    if name.is_empty() || !name.chars().all(is_allowed) {
        problems.add("name", format!("{name:?} must be one or more ASCII letters, digits, '-', '_' and '.'"));
    }
    if listener.dial_timeout < listener.handshake_objective || listener.dial_timeout.0 == 0 {
        let objective = listener.handshake_objective;
        let reason = format!(
            "{} must be greater than 0 and not below handshake_target ({objective})",
            listener.dial_timeout
        );
        problems.add("dial_timeout", reason);
    }
    if !(listener.arrivals_per_second >= 0.0 && listener.arrivals_per_second <= MAX_ARRIVALS_PER_SECOND) {
        problems.add(
            "rate",
            format!(
                "{} clients per second, must be 0 to {MAX_ARRIVALS_PER_SECOND}",
                listener.arrivals_per_second
            ),
        );
    }
    if listener.message_interval.0 == 0
        || listener.mean_session_duration.0 == 0
        || listener.clients_per_group == 0
        || listener.max_client_attempts == 0
    {
        problems.add("every", "every, life, group and tries must be greater than 0");
    }
    if listener.unread_kb > MAX_UNREAD_KB {
        problems.add("deaf_kb", format!("must be at most {MAX_UNREAD_KB}"));
    }
    if !is_non_negative(listener.load) || !is_non_negative(listener.priority_weight) {
        problems.add("load", "load and utility must be finite and not negative");
    }
}

/// The proxies and servers that faults can target.
pub(super) struct FaultTargets<'a> {
    pub(super) proxies: &'a ProxyFleet,
    /// For each server, whether it is in the endpoint list from the start.
    pub(super) listed: &'a [bool],
}

impl FaultTargets<'_> {
    /// The number of possible targets of a fault; `None` if `which` cannot select targets.
    fn count(&self, kind: FaultKind) -> Option<usize> {
        match kind {
            FaultKind::ProxyKilled
            | FaultKind::ProxyStopped
            | FaultKind::ProxyReloaded
            | FaultKind::ProxyReplaced => Some(self.proxies.count),
            FaultKind::StoreSlow | FaultKind::ListLost | FaultKind::ListStill | FaultKind::ClientsDropped => {
                None
            }
            _ => Some(self.listed.len()),
        }
    }
}

/// Checks a fault. `length` is the length of the run.
pub(super) fn check_fault(
    fault: &Spanned<FaultSpec>,
    length: ConfigDuration,
    targets: &FaultTargets,
    problems: &mut ProblemCollector,
) {
    problems.enter_table(fault.span());
    let fault = fault.get_ref();
    if fault.at >= length {
        problems.add("at", format!("{} is not before the end of the run at {length}", fault.at));
    }
    if fault.kind == FaultKind::ProxyReplaced && !targets.proxies.admin_endpoints {
        problems.add("what", "proxy-replaced needs proxies.doors = true");
    }
    check_fault_targets(fault, targets.count(fault.kind), problems);
    check_fault_parameters(fault, problems);
    check_fault_repeats(fault, problems);
    if fault.kind == FaultKind::ServersJoin {
        let which = fault.targets.clone().unwrap_or_default();
        let targets_listed = which.iter().any(|&server| targets.listed.get(server) == Some(&true));
        if targets_listed || !targets.listed.contains(&false) {
            problems.add("what", "servers-join needs target servers with listed = false");
        }
    }
}

fn check_fault_targets(fault: &FaultSpec, count: Option<usize>, problems: &mut ProblemCollector) {
    match (&fault.targets, fault.share, count) {
        (Some(_), _, None) => problems.add("which", "this kind of fault has no selectable targets"),
        (Some(_), Some(_), _) => problems.add("share", "share and which exclude each other"),
        (Some(which), _, Some(count)) => {
            if let Some(index) = which.iter().find(|&&index| index >= count) {
                problems
                    .add("which", format!("index {index} is out of range: {count} targets, numbered from 0"));
            }
        }
        _ => {}
    }
    if fault.share.is_some_and(|share| !is_positive_fraction(share)) {
        problems.add("share", "must be greater than 0 and at most 1");
    }
}

fn check_fault_parameters(fault: &FaultSpec, problems: &mut ProblemCollector) {
    let needs_duration = matches!(
        fault.kind,
        FaultKind::ServerSilent
            | FaultKind::ServerPaused
            | FaultKind::ServerDrains
            | FaultKind::ServerDrops
            | FaultKind::StoreSlow
            | FaultKind::ListLost
            | FaultKind::ListStill
    );
    if needs_duration && fault.duration.is_none_or(|duration| duration.0 == 0) {
        problems.add("for", "missing: this kind of fault needs a duration greater than 0");
    }
    let takes_factor = matches!(fault.kind, FaultKind::StoreSlow | FaultKind::ServerDrops);
    if takes_factor != fault.factor.is_some() {
        problems.add(
            "factor",
            if takes_factor {
                "missing for this kind of fault"
            } else {
                "not allowed for this kind of fault"
            },
        );
    }
    if fault.factor.is_some_and(|factor| !(factor >= 1.0 && factor.is_finite())) {
        problems.add("factor", "must be at least 1 and finite");
    }
    if fault.at_accept && fault.kind != FaultKind::ProxyKilled {
        problems.add("at_accept", "allowed only for proxy-killed");
    }
}

fn check_fault_repeats(fault: &FaultSpec, problems: &mut ProblemCollector) {
    if fault.batch_size == Some(0) {
        problems.add("together", "must be at least 1");
    }
    if fault.repeats.is_some_and(|times| times == 0 || times > MAX_REPEATS) {
        problems.add("times", format!("must be 1 to {MAX_REPEATS}"));
    }
    if fault.repeats.is_some_and(|times| times > 1) && fault.repeat_interval.is_none_or(|every| every.0 == 0)
    {
        problems.add("every", "missing: needed when times is greater than 1");
    }
}
