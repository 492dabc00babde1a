//! What is checked of a scenario beyond its form.
use std::ops::Range;

use toml::Spanned;

use crate::duration::ConfigDuration;
use crate::scenario::error::ScenarioProblem;
use crate::scenario::fault::{FaultKind, FaultSpec};
use crate::scenario::fleet::{ProxyFleet, ProxyRules, ServerGroup, SessionStoreSettings};
use crate::scenario::listener::ListenerSpec;
use crate::scenario::requirements::Requirements;

/// The most proxies of a scenario.
const MAX_PROXIES: usize = 512;
/// The most zones: each is named by a letter.
const MAX_ZONES: usize = 26;
/// The most servers of a scenario.
const MAX_SERVERS: usize = 500;
/// The most cores of a server.
const MAX_CORES: usize = 1024;
/// The fewest file descriptors of a proxy.
const MIN_DESCRIPTORS: usize = 64;
/// The most clients of a listener that come in a second.
const MAX_ARRIVALS_PER_SECOND: f64 = 1e5;
/// The most kilobytes that a client asks for and does not read.
const MAX_UNREAD_KB: usize = 65_536;
/// How often a fault may be repeated.
const MAX_REPEATS: u32 = 1000;

/// The problems that were found in a part of the text.
pub(super) struct Findings<'a> {
    text: &'a str,
    within: Range<usize>,
    pub(super) problems: Vec<ScenarioProblem>,
}

impl<'a> Findings<'a> {
    pub(super) fn new(text: &'a str) -> Self {
        Self { text, within: 0..text.len(), problems: Vec::new() }
    }

    /// From now on, problems are in this table.
    fn enter(&mut self, table: Range<usize>) {
        self.within = table;
    }

    pub(super) fn add(&mut self, key: &str, reason: impl AsRef<str>) {
        let problem = ScenarioProblem::at_key(self.text, &self.within, key, reason.as_ref());
        self.problems.push(problem);
    }
}

fn is_positive(value: f64) -> bool {
    value > 0.0 && value.is_finite()
}

fn is_amount(value: f64) -> bool {
    value >= 0.0 && value.is_finite()
}

fn is_share_above_zero(value: f64) -> bool {
    value > 0.0 && value <= 1.0
}

pub(super) fn check_proxies(proxies: &ProxyFleet, requirements: &Requirements, found: &mut Findings) {
    let count = proxies.count;
    if count == 0 || count > MAX_PROXIES {
        found.add("proxies.count", format!("{count} proxies: from 1 to {MAX_PROXIES} can be modelled"));
    }
    if !(1..=count.clamp(1, MAX_ZONES)).contains(&proxies.zones) {
        let zones = proxies.zones;
        found
            .add("proxies.zones", format!("{zones} zones: each needs a proxy, and {MAX_ZONES} can be named"));
    }
    if proxies.moved > count {
        let moved = proxies.moved;
        found
            .add("proxies.moved", format!("{moved} of {count} proxies: no more can be moved than there are"));
    }
    if requirements.each_shape.is_some() && !(1..count).contains(&proxies.moved) {
        found.add("must.each_shape", "all proxies are of one shape; proxies.moved makes two");
    }
    if proxies.descriptors < MIN_DESCRIPTORS {
        found.add("proxies.descriptors", format!("a proxy needs {MIN_DESCRIPTORS} at least"));
    }
}

pub(super) fn check_rules(rules: &ProxyRules, found: &mut Findings) {
    if rules.max_attempts == 0 {
        found.add("rules.dials", "a session needs one at least");
    }
    if rules.connect_timeout.0 == 0 {
        found.add("rules.connect_timeout", "no connection is made in no time");
    }
}

pub(super) fn check_session_store(store: &SessionStoreSettings, found: &mut Findings) {
    if !is_positive(store.rate) {
        found.add("store.rate", format!("a store of {} calls a second", store.rate));
    }
}

pub(super) fn check_requirements(
    requirements: &Requirements,
    faults: &[Spanned<FaultSpec>],
    found: &mut Findings,
) {
    for (key, share) in [
        ("must.service", requirements.service),
        ("must.accepted", requirements.accepted),
        ("must.each_shape", requirements.each_shape),
    ] {
        if share.is_some_and(|share| !(0.0..=1.0).contains(&share)) {
            found.add(key, "a share lies between 0 and 1");
        }
    }
    let restarts_proxy = |fault: &Spanned<FaultSpec>| {
        let fault = fault.get_ref();
        matches!(fault.kind, FaultKind::ProxyKilled | FaultKind::ProxyStopped) && fault.duration.is_some()
    };
    if requirements.recovers.is_some() && !faults.iter().any(restarts_proxy) {
        found.add("must.recovers", "no proxy is stopped or killed and started again");
    }
}

pub(super) fn check_server_count(count: usize, any_listed: bool, found: &mut Findings) {
    if count == 0 || count > MAX_SERVERS {
        found.add("servers", format!("{count} servers: from 1 to {MAX_SERVERS} can be run"));
    }
    if !any_listed {
        found.add("listed", "no server is listed at the start");
    }
}

pub(super) fn check_server_group(group: &Spanned<ServerGroup>, found: &mut Findings) {
    found.enter(group.span());
    let group = group.get_ref();
    if group.cores == 0 || group.cores > MAX_CORES {
        found.add("cores", format!("{} cores", group.cores));
    }
    if !is_positive(group.speed) {
        found.add("speed", format!("a speed of {}", group.speed));
    }
    if !is_share_above_zero(group.initial_capacity) {
        found.add("start_capacity", "a share over 0, up to 1");
    }
    if !is_positive(group.overload_multiple) {
        found.add("fall_multiple", format!("a multiple of {}", group.overload_multiple));
    }
    if group.overload_window.0 == 0 || group.report_interval.0 == 0 {
        found.add("fall_after", "fall_after and report_every are spans over 0");
    }
    if !is_positive(group.weight) {
        found.add("weight", format!("a weight of {}", group.weight));
    }
}

/// Checks a listener; `earlier` are those before it.
pub(super) fn check_listener(
    listener: &Spanned<ListenerSpec>,
    earlier: &[Spanned<ListenerSpec>],
    found: &mut Findings,
) {
    found.enter(listener.span());
    let listener = listener.get_ref();
    let name = &listener.name;
    if earlier.iter().any(|other| other.get_ref().name == *name) {
        found.add("name", format!("a second listener {name:?}"));
    }
    let is_plain = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
    if name.is_empty() || !name.chars().all(is_plain) {
        found.add("name", format!("{name:?}: letters, digits, - _ . only"));
    }
    if listener.dial_timeout < listener.handshake_objective || listener.dial_timeout.0 == 0 {
        let target = listener.handshake_objective;
        found.add("dial_timeout", format!("{} is under the target, {target}", listener.dial_timeout));
    }
    if !(listener.arrivals_per_second >= 0.0 && listener.arrivals_per_second <= MAX_ARRIVALS_PER_SECOND) {
        found.add("rate", format!("{} clients a second", listener.arrivals_per_second));
    }
    if listener.message_interval.0 == 0
        || listener.mean_stay.0 == 0
        || listener.clients_per_group == 0
        || listener.max_tries == 0
    {
        found.add("every", "every, life, group and tries are over 0");
    }
    if listener.deaf_kb > MAX_UNREAD_KB {
        found.add("deaf_kb", "64 MB at most");
    }
    if !is_amount(listener.load) || !is_amount(listener.utility) {
        found.add("load", "load and utility are numbers from 0 up");
    }
}

/// What a scenario has for its faults to strike.
pub(super) struct FaultTargets<'a> {
    pub(super) proxies: &'a ProxyFleet,
    /// For each server, whether it is listed from the start.
    pub(super) listed: &'a [bool],
}

impl FaultTargets<'_> {
    /// How many a fault may strike; none if there is only one of its kind.
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

/// Checks a fault; `length` is that of the run.
pub(super) fn check_fault(
    fault: &Spanned<FaultSpec>,
    length: ConfigDuration,
    targets: &FaultTargets,
    found: &mut Findings,
) {
    found.enter(fault.span());
    let fault = fault.get_ref();
    if fault.at >= length {
        found.add("at", format!("{} is not before the end, {length}", fault.at));
    }
    if fault.kind == FaultKind::ProxyReplaced && !targets.proxies.doors {
        found.add("what", "a process is replaced only where proxies.doors = true");
    }
    check_fault_targets(fault, targets.count(fault.kind), found);
    check_fault_strength(fault, found);
    check_fault_repeats(fault, found);
    if fault.kind == FaultKind::ServersJoin {
        let which = fault.targets.clone().unwrap_or_default();
        let strikes_listed = which.iter().any(|&server| targets.listed.get(server) == Some(&true));
        if strikes_listed || !targets.listed.contains(&false) {
            found.add("what", "only servers with listed = false can join");
        }
    }
}

fn check_fault_targets(fault: &FaultSpec, count: Option<usize>, found: &mut Findings) {
    match (&fault.targets, fault.share, count) {
        (Some(_), _, None) => found.add("which", "there is only one of it"),
        (Some(_), Some(_), _) => found.add("share", "either which or a share of them"),
        (Some(which), _, Some(count)) => {
            if let Some(far) = which.iter().find(|&&index| index >= count) {
                found.add("which", format!("{far}: there are {count}, counted from 0"));
            }
        }
        _ => {}
    }
    if fault.share.is_some_and(|share| !is_share_above_zero(share)) {
        found.add("share", "a share over 0, up to 1");
    }
}

fn check_fault_strength(fault: &FaultSpec, found: &mut Findings) {
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
    if needs_duration && fault.duration.is_none_or(|lasts| lasts.0 == 0) {
        found.add("for", "missing: how long it lasts");
    }
    let takes_factor = matches!(fault.kind, FaultKind::StoreSlow | FaultKind::ServerDrops);
    if takes_factor != fault.factor.is_some() {
        found.add("factor", if takes_factor { "missing: how much" } else { "this trouble has none" });
    }
    if fault.factor.is_some_and(|factor| !(factor >= 1.0 && factor.is_finite())) {
        found.add("factor", "1 or more");
    }
    if fault.at_accept && fault.kind != FaultKind::ProxyKilled {
        found.add("at_accept", "only a proxy that is killed can be so");
    }
}

fn check_fault_repeats(fault: &FaultSpec, found: &mut Findings) {
    if fault.batch_size == Some(0) {
        found.add("together", "one at least");
    }
    if fault.repeats.is_some_and(|times| times == 0 || times > MAX_REPEATS) {
        found.add("times", format!("from 1 to {MAX_REPEATS}"));
    }
    if fault.repeats.is_some_and(|times| times > 1) && fault.repeat_interval.is_none_or(|every| every.0 == 0)
    {
        found.add("every", "missing: how often");
    }
}
