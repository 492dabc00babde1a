//! A scenario: fleet, listeners, traffic, faults by time, and what must hold. TOML; what is left out has a
//! default, what is not known is refused, and everything wrong is told at once with its line.
use std::fmt;
use std::ops::Range;

use larklink_balancer::Timestamp;
use serde::Deserialize;
use toml::Spanned;

use crate::duration::{ConfigDuration, SECOND};

/// The most proxies of a scenario.
const MOST_PROXIES: usize = 512;

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Scenario {
    pub name: String,
    pub about: String,
    pub seed: u64,
    /// For so long new clients come and faults happen.
    pub length: ConfigDuration,
    pub proxies: ProxyFleet,
    pub rules: ProxyRules,
    pub servers: Vec<Spanned<ServerGroup>>,
    pub store: SessionStoreSettings,
    pub list: EndpointListSettings,
    pub front: LoadBalancerSettings,
    pub listeners: Vec<Spanned<ListenerSpec>>,
    pub faults: Vec<Spanned<FaultSpec>>,
    pub must: Requirements,
}

impl Default for Scenario {
    fn default() -> Self {
        Self {
            name: "unnamed".into(),
            about: String::new(),
            seed: 1,
            length: ConfigDuration::from_millis(20_000),
            proxies: ProxyFleet::default(),
            rules: ProxyRules::default(),
            servers: vec![Spanned::new(0..0, ServerGroup::default())],
            store: SessionStoreSettings::default(),
            list: EndpointListSettings::default(),
            front: LoadBalancerSettings::default(),
            listeners: vec![Spanned::new(0..0, ListenerSpec::default())],
            faults: Vec::new(),
            must: Requirements::default(),
        }
    }
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ProxyFleet {
    pub count: usize,
    /// Proxies, servers and clients lie in so many zones by turns; the front deals within one.
    pub zones: usize,
    pub memory_mb: u64,
    pub descriptors: usize,
    /// Each has an operators' door, is asked for its figures, and can be replaced.
    pub doors: bool,
    /// So many, the last in number, run in another shape than the rest: they may not probe, and crossing zones
    /// is priced above a move.
    pub moved: usize,
}

impl Default for ProxyFleet {
    fn default() -> Self {
        Self { count: 3, zones: 1, memory_mb: 192, descriptors: 4096, doors: false, moved: 0 }
    }
}

/// What proxies are told of the rules, and are judged by.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ProxyRules {
    pub connect_timeout: ConfigDuration,
    pub dials: u32,
    /// The longest retry-after; none is given if it is 0.
    pub retry_after: ConfigDuration,
    pub drain_grace: ConfigDuration,
    pub probes: bool,
    pub must_ask_in: ConfigDuration,
    /// Packets pass through: a proxy that stops moves nobody, and its end breaks what it holds.
    pub passes: bool,
}

impl Default for ProxyRules {
    fn default() -> Self {
        Self {
            connect_timeout: ConfigDuration::from_millis(250),
            dials: 4,
            retry_after: ConfigDuration::from_millis(1500),
            drain_grace: ConfigDuration::from_millis(500),
            probes: true,
            must_ask_in: ConfigDuration::from_millis(10_000),
            passes: false,
        }
    }
}

/// Some servers that are alike.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ServerGroup {
    pub count: usize,
    pub cores: usize,
    pub speed: f64,
    /// Sessions that one holds.
    pub holds: usize,
    /// Work of a set-up, on a core of speed 1.
    pub setup_work: ConfigDuration,
    /// Set-ups are turned away while one would wait for longer than this.
    pub queue: ConfigDuration,
    /// The share of its capacity with which it starts cold, and how long it takes to warm up.
    pub start_capacity: f64,
    pub warm_up: ConfigDuration,
    /// Sent more than so many times what it can do while cold, for so long, it is overrun.
    pub fall_multiple: f64,
    pub fall_after: ConfigDuration,
    /// Overrun, it dies, and is back after so long.
    pub falls: bool,
    pub back_after: ConfigDuration,
    pub report_every: ConfigDuration,
    /// In the list from the start; else they join by a fault.
    pub listed: bool,
    pub weight: f64,
}

impl Default for ServerGroup {
    fn default() -> Self {
        Self {
            count: 6,
            cores: 2,
            speed: 1.0,
            holds: 5000,
            setup_work: ConfigDuration::from_millis(2),
            queue: ConfigDuration::from_millis(1500),
            start_capacity: 0.12,
            warm_up: ConfigDuration::from_millis(20_000),
            fall_multiple: 4.0,
            fall_after: ConfigDuration::from_millis(1000),
            falls: true,
            back_after: ConfigDuration::from_millis(2000),
            report_every: ConfigDuration::from_millis(200),
            listed: true,
            weight: 1.0,
        }
    }
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct SessionStoreSettings {
    /// Calls a second.
    pub rate: f64,
    /// A call that would wait for longer fails.
    pub bound: ConfigDuration,
}

impl Default for SessionStoreSettings {
    fn default() -> Self {
        Self { rate: 2000.0, bound: ConfigDuration::from_millis(2000) }
    }
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct EndpointListSettings {
    /// A change shows after so long.
    pub lag: ConfigDuration,
}

impl Default for EndpointListSettings {
    fn default() -> Self {
        Self { lag: ConfigDuration::from_millis(200) }
    }
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LoadBalancerSettings {
    /// A dead proxy gets connections for so long.
    pub notices_after: ConfigDuration,
}

impl Default for LoadBalancerSettings {
    fn default() -> Self {
        Self { notices_after: ConfigDuration::from_millis(2000) }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum SessionKind {
    Repeatable,
    Referenced,
    OnceOnly,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RetryBehavior {
    /// As soon as it has failed.
    AtOnce,
    /// After `wait`, or the retry-after if that is longer, half to one and a half times.
    After,
    Never,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ListenerSpec {
    pub name: String,
    pub kind: SessionKind,
    /// For referenced sessions: repeats are known for so long.
    pub window: ConfigDuration,
    pub handshake_target: ConfigDuration,
    pub dial_timeout: ConfigDuration,
    /// Clients that are there from the start, spread over the first `spread`.
    pub standing: usize,
    pub spread: ConfigDuration,
    /// Clients that come, a second.
    pub rate: f64,
    /// The mean of how long one stays.
    pub life: ConfigDuration,
    /// A line goes out so often, and is wanted back within the target.
    pub every: ConfigDuration,
    pub line_target: ConfigDuration,
    /// The work of a session, in cores of speed 1.
    pub load: f64,
    pub utility: f64,
    pub retry: RetryBehavior,
    pub wait: ConfigDuration,
    /// Times that a client tries before it gives up for good.
    pub tries: u32,
    /// After a break or a move a client comes again after half to one and a half times this.
    pub again_after: ConfigDuration,
    /// Clients that share a group key, in the mean.
    pub group: usize,
    /// A deaf client asks its server for so many kilobytes and never reads.
    pub deaf_kb: usize,
}

impl Default for ListenerSpec {
    fn default() -> Self {
        Self {
            name: "pick-list".into(),
            kind: SessionKind::Repeatable,
            window: ConfigDuration::from_millis(1000),
            handshake_target: ConfigDuration::from_millis(500),
            dial_timeout: ConfigDuration::from_millis(3000),
            standing: 200,
            spread: ConfigDuration::from_millis(3000),
            rate: 20.0,
            life: ConfigDuration::from_millis(15_000),
            every: ConfigDuration::from_millis(1000),
            line_target: ConfigDuration::from_millis(100),
            load: 0.004,
            utility: 1.0,
            retry: RetryBehavior::After,
            wait: ConfigDuration::from_millis(500),
            tries: 8,
            again_after: ConfigDuration::from_millis(200),
            group: 4,
            deaf_kb: 0,
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FaultKind {
    /// SIGKILL; starts again after `for`, if that is given.
    ProxyKilled,
    /// SIGTERM; starts again after `for`, once it has ended.
    ProxyStopped,
    /// SIGHUP.
    ProxyReloaded,
    /// Another process takes over from it while it serves.
    ProxyReplaced,
    ServerSilent,
    ServerPaused,
    /// Dies; comes back cold after `for`, if that is given.
    ServerDied,
    /// Drains, goes after `for`, and is back cold `back_after` later.
    ServerDrains,
    /// Drops one in `factor` of those it has just taken.
    ServerDrops,
    /// Servers that were not listed start cold.
    ServersJoin,
    StoreSlow,
    ListLost,
    ListStill,
    ClientsDropped,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FaultSpec {
    #[serde(rename = "what")]
    pub kind: FaultKind,
    pub at: ConfigDuration,
    #[serde(rename = "for")]
    pub lasts: Option<ConfigDuration>,
    /// Which proxies or servers, by number from 0; else a share of them, drawn; else the first.
    pub which: Option<Vec<usize>>,
    pub share: Option<f64>,
    /// Times slower, or one in so many.
    pub factor: Option<f64>,
    /// Each of them so long after the one before; so many of them together, if that is given.
    pub apart: Option<ConfigDuration>,
    pub together: Option<usize>,
    /// Again so often, so many times in all.
    pub every: Option<ConfigDuration>,
    pub times: Option<u32>,
    /// A proxy is killed in the instant in which it has taken its next connection.
    #[serde(default)]
    pub at_accept: bool,
}

/// What must hold at the end, beside the rules.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Requirements {
    /// Utility of well-served seconds over seconds asked for.
    pub service: Option<f64>,
    /// Share of sessions that were accepted.
    pub accepted: Option<f64>,
    /// The same of each shape of proxies, where `proxies.moved` makes two of them.
    pub each_shape: Option<f64>,
    /// TickDuration to the answer that 99 in 100 accepted sessions do not exceed.
    pub answer_p99: Option<ConfigDuration>,
    /// Within so long of the last restart of a proxy, goodput is at nine tenths of what the store bears, or of what is
    /// offered if that is less, and stays there.
    pub recovers: Option<ConfigDuration>,
}

/// Something wrong in a scenario, at a line of its file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ScenarioProblem {
    pub line: usize,
    pub key: String,
    pub reason: String,
}

impl fmt::Display for ScenarioProblem {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self.key.as_str() {
            "" => write!(f, "{}: {}", self.line, self.reason),
            key => write!(f, "{}: {key}: {}", self.line, self.reason),
        }
    }
}

impl Scenario {
    /// Reads and checks a scenario.
    ///
    /// # Errors
    /// All that is wrong with it; of its form only what comes first.
    pub fn parse(text: &str) -> Result<Self, Vec<ScenarioProblem>> {
        let scenario: Self = toml::from_str(text).map_err(|e| {
            let at = e.span().map_or(0, |s| s.start);
            vec![problem(text, at, "", e.message().trim())]
        })?;
        let problems = scenario.check(text);
        if problems.is_empty() { Ok(scenario) } else { Err(problems) }
    }

    /// When a run ends: what stands may end for a second after the last clients have come.
    pub fn end(&self) -> Timestamp {
        self.length.0 + SECOND
    }

    pub fn server_count(&self) -> usize {
        self.servers.iter().map(|s| s.get_ref().count).sum()
    }

    /// Whether the proxy of that number is one of the moved shape.
    pub fn moved(&self, proxy: usize) -> bool {
        proxy + self.proxies.moved >= self.proxies.count
    }

    /// The name of the zone in which the proxy or server of that number lies.
    pub fn zone(&self, number: usize) -> String {
        char::from(b'a' + (number % self.proxies.zones) as u8).to_string()
    }

    /// Each server's kind, in order.
    pub fn each_server(&self) -> impl Iterator<Item = &ServerGroup> {
        self.servers.iter().flat_map(|s| std::iter::repeat_n(s.get_ref(), s.get_ref().count))
    }

    /// Sessions that stand at once in the mean, at most, and those that come a second.
    pub fn standing(&self) -> usize {
        let of = |l: &ListenerSpec| {
            let coming = l.rate * self.length.0.min(l.life.0) as f64 / 10_000.0;
            l.standing + coming.ceil() as usize
        };
        self.listeners.iter().map(|l| of(l.get_ref())).sum()
    }

    fn check(&self, text: &str) -> Vec<ScenarioProblem> {
        let mut found = Vec::new();
        let whole = 0..text.len();
        let mut wrong = |within: &Range<usize>, key: &str, reason: String| {
            found.push(problem(text, key_at(text, within, key), key, &reason));
        };
        let (top, servers) = (&whole, self.server_count());
        if self.length.0 == 0 {
            wrong(top, "length", "a run of no length shows nothing".into());
        }
        if self.proxies.count == 0 || self.proxies.count > MOST_PROXIES {
            wrong(
                top,
                "proxies.count",
                format!("{} proxies: from 1 to {MOST_PROXIES} can be modelled", self.proxies.count),
            );
        }
        if !(1..=self.proxies.count.clamp(1, 26)).contains(&self.proxies.zones) {
            wrong(
                top,
                "proxies.zones",
                format!("{} zones: each needs a proxy, and 26 can be named", self.proxies.zones),
            );
        }
        if self.proxies.moved > self.proxies.count {
            let (moved, count) = (self.proxies.moved, self.proxies.count);
            wrong(
                top,
                "proxies.moved",
                format!("{moved} of {count} proxies: no more can be moved than there are"),
            );
        }
        if self.must.each_shape.is_some() && !(1..self.proxies.count).contains(&self.proxies.moved) {
            wrong(top, "must.each_shape", "all proxies are of one shape; proxies.moved makes two".into());
        }
        if self.proxies.descriptors < 64 {
            wrong(top, "proxies.descriptors", "a proxy needs 64 at least".into());
        }
        if self.rules.dials == 0 {
            wrong(top, "rules.dials", "a session needs one at least".into());
        }
        if self.rules.connect_timeout.0 == 0 {
            wrong(top, "rules.connect_timeout", "no connection is made in no time".into());
        }
        if !(self.store.rate > 0.0 && self.store.rate.is_finite()) {
            wrong(top, "store.rate", format!("a store of {} calls a second", self.store.rate));
        }
        let must = &self.must;
        for (key, share) in [
            ("must.service", must.service),
            ("must.accepted", must.accepted),
            ("must.each_shape", must.each_shape),
        ] {
            if share.is_some_and(|s| !(0.0..=1.0).contains(&s)) {
                wrong(top, key, "a share lies between 0 and 1".into());
            }
        }
        let restarts = |f: &Spanned<FaultSpec>| {
            let f = f.get_ref();
            matches!(f.kind, FaultKind::ProxyKilled | FaultKind::ProxyStopped) && f.lasts.is_some()
        };
        if must.recovers.is_some() && !self.faults.iter().any(restarts) {
            wrong(top, "must.recovers", "no proxy is stopped or killed and started again".into());
        }
        if servers == 0 || servers > 500 {
            wrong(top, "servers", format!("{servers} servers: from 1 to 500 can be run"));
        }
        if !self.each_server().any(|s| s.listed) {
            wrong(top, "listed", "no server is listed at the start".into());
        }
        for s in &self.servers {
            let (within, s) = (&s.span(), s.get_ref());
            let positive = |x: f64| x > 0.0 && x.is_finite();
            if s.cores == 0 || s.cores > 1024 {
                wrong(within, "cores", format!("{} cores", s.cores));
            }
            if !positive(s.speed) {
                wrong(within, "speed", format!("a speed of {}", s.speed));
            }
            if !(s.start_capacity > 0.0 && s.start_capacity <= 1.0) {
                wrong(within, "start_capacity", "a share over 0, up to 1".into());
            }
            if !positive(s.fall_multiple) {
                wrong(within, "fall_multiple", format!("a multiple of {}", s.fall_multiple));
            }
            if s.fall_after.0 == 0 || s.report_every.0 == 0 {
                wrong(within, "fall_after", "fall_after and report_every are spans over 0".into());
            }
            if !positive(s.weight) {
                wrong(within, "weight", format!("a weight of {}", s.weight));
            }
        }
        for (i, l) in self.listeners.iter().enumerate() {
            let (within, l) = (&l.span(), l.get_ref());
            let same = |other: &Spanned<ListenerSpec>| other.get_ref().name == l.name;
            if self.listeners[..i].iter().any(same) {
                wrong(within, "name", format!("a second listener {:?}", l.name));
            }
            let plain = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
            if l.name.is_empty() || !l.name.chars().all(plain) {
                wrong(within, "name", format!("{:?}: letters, digits, - _ . only", l.name));
            }
            if l.dial_timeout < l.handshake_target || l.dial_timeout.0 == 0 {
                let target = l.handshake_target;
                wrong(within, "dial_timeout", format!("{} is under the target, {target}", l.dial_timeout));
            }
            if !(l.rate >= 0.0 && l.rate <= 1e5) {
                wrong(within, "rate", format!("{} clients a second", l.rate));
            }
            if l.every.0 == 0 || l.life.0 == 0 || l.group == 0 || l.tries == 0 {
                wrong(within, "every", "every, life, group and tries are over 0".into());
            }
            if l.deaf_kb > 65_536 {
                wrong(within, "deaf_kb", "64 MB at most".into());
            }
            if !(l.load >= 0.0 && l.load.is_finite() && l.utility >= 0.0 && l.utility.is_finite()) {
                wrong(within, "load", "load and utility are numbers from 0 up".into());
            }
        }
        for fault in &self.faults {
            let (within, f) = (&fault.span(), fault.get_ref());
            self.check_fault(f, servers, &mut |key, reason| wrong(within, key, reason));
        }
        found
    }

    fn check_fault(&self, f: &FaultSpec, servers: usize, wrong: &mut dyn FnMut(&str, String)) {
        use FaultKind::*;
        if f.at >= self.length {
            wrong("at", format!("{} is not before the end, {}", f.at, self.length));
        }
        let count = match f.kind {
            ProxyKilled | ProxyStopped | ProxyReloaded | ProxyReplaced => Some(self.proxies.count),
            StoreSlow | ListLost | ListStill | ClientsDropped => None,
            _ => Some(servers),
        };
        if f.kind == ProxyReplaced && !self.proxies.doors {
            wrong("what", "a process is replaced only where proxies.doors = true".into());
        }
        match (&f.which, f.share, count) {
            (Some(_), _, None) => wrong("which", "there is only one of it".into()),
            (Some(_), Some(_), _) => wrong("share", "either which or a share of them".into()),
            (Some(which), _, Some(n)) => {
                if let Some(far) = which.iter().find(|&&w| w >= n) {
                    wrong("which", format!("{far}: there are {n}, counted from 0"));
                }
            }
            _ => {}
        }
        if f.share.is_some_and(|s| !(s > 0.0 && s <= 1.0)) {
            wrong("share", "a share over 0, up to 1".into());
        }
        let needs_for = matches!(f.kind, ServerSilent | ServerPaused | ServerDrains | ServerDrops)
            || matches!(f.kind, StoreSlow | ListLost | ListStill);
        if needs_for && f.lasts.is_none_or(|l| l.0 == 0) {
            wrong("for", "missing: how long it lasts".into());
        }
        let takes_factor = matches!(f.kind, StoreSlow | ServerDrops);
        if takes_factor != f.factor.is_some() {
            let reason = if takes_factor { "missing: how much" } else { "this trouble has none" };
            wrong("factor", reason.into());
        }
        if f.factor.is_some_and(|x| !(x >= 1.0 && x.is_finite())) {
            wrong("factor", "1 or more".into());
        }
        if f.at_accept && f.kind != ProxyKilled {
            wrong("at_accept", "only a proxy that is killed can be so".into());
        }
        if f.together == Some(0) {
            wrong("together", "one at least".into());
        }
        if f.times.is_some_and(|t| t == 0 || t > 1000) {
            wrong("times", "from 1 to 1000".into());
        }
        if f.times.is_some_and(|t| t > 1) && f.every.is_none_or(|e| e.0 == 0) {
            wrong("every", "missing: how often".into());
        }
        if f.kind == ServersJoin {
            let unlisted: Vec<_> = self.each_server().map(|s| !s.listed).collect();
            let which = f.which.clone().unwrap_or_default();
            if which.iter().any(|&w| unlisted.get(w) == Some(&false)) || !unlisted.contains(&true) {
                wrong("what", "only servers with listed = false can join".into());
            }
        }
    }
}

/// Where a key stands in the table that begins within a part of the text, or in the one that it names before a
/// dot; where the table begins if it does not.
fn key_at(text: &str, within: &Range<usize>, key: &str) -> usize {
    let (table, key) = key.split_once('.').map_or(("", key), |(t, k)| (t, k));
    let mut at = within.start;
    let (mut inside, mut start) = (table.is_empty(), at);
    for line in text.get(at..).unwrap_or("").split_inclusive('\n') {
        let head = line.trim();
        if head.starts_with('[') && !table.is_empty() {
            inside = head.trim_matches(['[', ']']) == table;
            start = if inside { at } else { start };
        } else if head.starts_with('[') && at > within.start && within.end < text.len() {
            break;
        }
        if inside && head.split(['=', ' ']).next() == Some(key) {
            return at;
        }
        at += line.len();
    }
    start
}

fn problem(text: &str, at: usize, key: &str, reason: &str) -> ScenarioProblem {
    let before = text.get(..at).unwrap_or(text);
    let line = before.matches('\n').count() + 1;
    let key = match key {
        "" => text.lines().nth(line - 1).and_then(|l| l.split_once('=')).map_or("", |(k, _)| k.trim()),
        key => key,
    };
    ScenarioProblem { line, key: key.to_owned(), reason: reason.to_owned() }
}
