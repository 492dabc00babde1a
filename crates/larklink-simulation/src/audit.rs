//! The audit: joins what clients and servers wrote by session id and judges the four rules. What went down with
//! a proxy that was killed is told apart, by name, from a loss.
use std::collections::BTreeMap;

use larklink_balancer::{TickDuration, Timestamp};
use serde::Serialize;

use crate::duration::SECOND;
use crate::event_log::{
    AttemptEnd, ClientRequest, ClientResponse, ConnectionEnd, EventKind, EventLog, LoggedEvent,
};
use crate::scenario::{ListenerSpec, Scenario, SessionKind};

/// Sockets get so much more than each time limit.
const MORE: TickDuration = SECOND / 20;
/// What its server ended is ended or moved within this.
const ENDED_WITHIN: TickDuration = SECOND;

/// What was broken; the names stand in reports and in `docs/rehearse.md`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ViolationKind {
    NoAnswer,
    TwoAnswers,
    LateAnswer,
    NotAnAnswer,
    TwoDialsOut,
    MayRunTwice,
    RefusedThoughItMayHaveRun,
    AcceptedByNobody,
    TooManyDials,
    ToldTooLong,
    AfterDrain,
    ColdRushed,
    CutWithoutMove,
    LineHeld,
    LineChanged,
    EndedLate,
    SilentTooLong,
    LeftBehind,
}

impl ViolationKind {
    /// The rule, from 1 to 4, or 0 for what is asked of sockets besides.
    pub fn rule(self) -> u8 {
        match self {
            Self::NoAnswer
            | Self::TwoAnswers
            | Self::LateAnswer
            | Self::NotAnAnswer
            | Self::AcceptedByNobody => 1,
            Self::TwoDialsOut | Self::MayRunTwice | Self::RefusedThoughItMayHaveRun | Self::TooManyDials => 2,
            Self::AfterDrain => 3,
            Self::ColdRushed => 4,
            _ => 0,
        }
    }
}

/// One broken rule: whose session, when, and what was seen.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Violation {
    #[serde(rename = "what")]
    pub kind: ViolationKind,
    pub rule: u8,
    /// The session's id in hex; empty where no session is meant.
    pub session: String,
    /// Tenths of a millisecond from the start.
    pub at: Timestamp,
    #[serde(rename = "seen")]
    pub observed: String,
}

/// How the sessions of a listener came out.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct SessionOutcomes {
    pub opened: u64,
    pub accepted: u64,
    pub refused: u64,
    pub torn_down: u64,
    /// Held by a proxy that was killed: the client's to try again.
    pub with_proxy: u64,
    /// Sent by the front to a proxy that was dead.
    pub nobody_there: u64,
    /// Still waiting at the end of the run, or given up by the client for a reason of its own.
    pub open: u64,
    pub dials: u64,
    pub retries: u64,
    pub moved: u64,
    pub ran_late: u64,
    /// TickDuration to the answer of each accepted session, tenths of a millisecond.
    #[serde(skip)]
    pub took: Vec<TickDuration>,
}

/// What the clients of one shape of proxies got.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct ShapeOutcomes {
    pub opened: u64,
    pub accepted: u64,
}

impl ShapeOutcomes {
    /// What the two are called, in the order of [`Findings::shapes`].
    pub const NAMES: [&str; 2] = ["old", "moved"];

    /// The share of the sessions that were accepted; 0 where none came.
    pub fn share(&self) -> f64 {
        self.accepted as f64 / self.opened.max(1) as f64
    }
}

#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Findings {
    pub listeners: Vec<SessionOutcomes>,
    /// Of the proxies as they were, and of those of the moved shape.
    pub shapes: [ShapeOutcomes; 2],
    #[serde(rename = "breaches")]
    pub violations: Vec<Violation>,
}

impl Findings {
    /// How often each thing was broken.
    pub fn counts(&self) -> BTreeMap<ViolationKind, usize> {
        self.violations.iter().fold(BTreeMap::new(), |mut all, b| {
            *all.entry(b.kind).or_default() += 1;
            all
        })
    }
}

struct Dial {
    server: usize,
    conn: u64,
    at: Timestamp,
    told: u64,
    ended: Option<(TickDuration, AttemptEnd)>,
}

impl Dial {
    fn never_ran(&self) -> bool {
        matches!(self.ended, Some((_, AttemptEnd::Rejected)))
    }
}

struct Session {
    ask: ClientRequest,
    proxy: usize,
    at: Timestamp,
    answers: Vec<(TickDuration, ClientResponse)>,
    garbled: Option<TickDuration>,
    more: Option<TickDuration>,
    nobody: bool,
    ran_late: u64,
    ended: Option<(TickDuration, ConnectionEnd)>,
    dials: Vec<Dial>,
}

/// Spans of time in which something was so.
#[derive(Default)]
struct Spans(Vec<(TickDuration, TickDuration)>);

impl Spans {
    fn begin(&mut self, at: Timestamp) {
        if self.0.last().is_none_or(|&(_, to)| to != Timestamp::MAX) {
            self.0.push((at, Timestamp::MAX));
        }
    }

    fn end(&mut self, at: Timestamp) {
        if let Some(last) = self.0.last_mut().filter(|(_, to)| *to == Timestamp::MAX) {
            last.1 = at;
        }
    }

    fn meets(&self, from: Timestamp, to: TickDuration) -> bool {
        self.0.iter().any(|&(a, b)| a <= to && from <= b)
    }
}

struct Auditor<'a> {
    scenario: &'a Scenario,
    listeners: Vec<&'a ListenerSpec>,
    sessions: BTreeMap<u64, Session>,
    /// When each proxy was gone or going, and when each server was dead or silent.
    proxies: Vec<Spans>,
    servers: Vec<Spans>,
    /// When each proxy was last told that each server drains or is gone; nothing while it is up.
    told: BTreeMap<(usize, usize), Option<TickDuration>>,
    found: Vec<Violation>,
}

/// Judges a book; `end` is when the run was stopped, and what was open then is not judged for its end.
pub fn audit(scenario: &Scenario, event_log: &EventLog, end: Timestamp) -> Findings {
    let mut auditor = Auditor {
        scenario,
        listeners: scenario.listeners.iter().map(|l| l.get_ref()).collect(),
        sessions: BTreeMap::new(),
        proxies: (0..scenario.proxies.count).map(|_| Spans::default()).collect(),
        servers: (0..scenario.server_count()).map(|_| Spans::default()).collect(),
        told: BTreeMap::new(),
        found: Vec::new(),
    };
    for entry in &event_log.events {
        auditor.read(entry);
    }
    let mut listeners = vec![SessionOutcomes::default(); scenario.listeners.len()];
    let mut shapes = [ShapeOutcomes::default(); 2];
    for (id, session) in std::mem::take(&mut auditor.sessions) {
        let to = &mut listeners[session.ask.listener];
        let before = to.accepted;
        auditor.judge(id, &session, end, to);
        let shape = &mut shapes[usize::from(scenario.moved(session.proxy))];
        (shape.opened, shape.accepted) = (shape.opened + 1, shape.accepted + to.accepted - before);
        auditor.dials(id, &session);
    }
    let mut breaches = auditor.found;
    breaches.sort_by_key(|b| b.at);
    Findings { listeners, shapes, violations: breaches }
}

impl Auditor<'_> {
    fn breach(&mut self, what: ViolationKind, id: u64, at: Timestamp, seen: String) {
        let session = if id == 0 { String::new() } else { format!("{id:x}") };
        self.found.push(Violation { kind: what, rule: what.rule(), session, at, observed: seen });
    }

    fn read(&mut self, entry: &LoggedEvent) {
        let at = entry.at;
        match &entry.kind {
            EventKind::Opened { request: ask, proxy } => {
                let session = Session {
                    ask: ask.clone(),
                    proxy: *proxy,
                    at,
                    answers: Vec::new(),
                    garbled: None,
                    more: None,
                    nobody: false,
                    ran_late: 0,
                    ended: None,
                    dials: Vec::new(),
                };
                self.sessions.insert(ask.id, session);
            }
            EventKind::ProxyUnreachable { id, .. } => self.with(*id, |s| s.nobody = true),
            EventKind::Answered { id, response: answer } => self.with(*id, |s| s.answers.push((at, *answer))),
            EventKind::ExtraMessage { id } => self.with(*id, |s| s.more = s.more.or(Some(at))),
            EventKind::MalformedResponse { id } => self.with(*id, |s| s.garbled = s.garbled.or(Some(at))),
            EventKind::ConnectionEnded { id, end: how } => {
                self.with(*id, |s| s.ended = s.ended.or(Some((at, *how))))
            }
            EventKind::RanAfterAbandoned { id, .. } => self.with(*id, |s| s.ran_late += 1),
            EventKind::MessageDelayed { id, direction: way, took } => {
                let seen = format!("{way:?}: {} ms between one end and the other", took / 10);
                self.breach(ViolationKind::LineHeld, *id, at, seen);
            }
            EventKind::MessageAltered { id } => {
                self.breach(ViolationKind::LineChanged, *id, at, "a line came other than it went".into())
            }
            EventKind::ConnectionSilent { id, duration: span } => {
                let seen = format!("{} ms without a line", span / 10);
                self.breach(ViolationKind::SilentTooLong, *id, at, seen);
            }
            &EventKind::AttemptStarted { id, server, connection: conn, timeout_ms: told } => {
                self.dialled(at, id, server, conn, told)
            }
            &EventKind::AttemptEnded { id, connection: conn, end: how, .. } => self.with(id, |s| {
                if let Some(dial) = s.dials.iter_mut().find(|d| d.conn == conn)
                    && !matches!(
                        dial.ended,
                        Some((
                            _,
                            AttemptEnd::Reset
                                | AttemptEnd::Migrated
                                | AttemptEnd::Rejected
                                | AttemptEnd::Failed
                        ))
                    )
                {
                    dial.ended = Some((at, how));
                }
            }),
            &EventKind::Overloaded { server, ratio } => {
                let may = self.scenario.each_server().nth(server).map_or(0.0, |s| s.fall_multiple);
                let seen = format!("server {server}: {ratio:.1} times what it can do, {may} allowed");
                self.breach(ViolationKind::ColdRushed, 0, at, seen);
            }
            &EventKind::ServerDied { server } => self.servers[server].begin(at),
            &EventKind::ServerStarted { server } => self.servers[server].end(at),
            &EventKind::ServerSilent { server, .. } => self.servers[server].begin(at),
            &EventKind::SessionsLeftBehind { server, sessions } => {
                let seen = format!("server {server} went with {sessions} sessions standing");
                self.breach(ViolationKind::LeftBehind, 0, at, seen);
            }
            &EventKind::EndpointNotified { proxy, server, ready } => {
                let since = self.told.entry((proxy, server)).or_default();
                *since = if ready { None } else { since.or(Some(at)) };
            }
            // A planned stop excuses nothing, but where packets pass through nobody can be moved.
            &EventKind::ProxyExited { proxy, planned } => {
                if !planned || self.scenario.rules.passes {
                    self.proxies[proxy].begin(at);
                }
            }
            &EventKind::ProxyUp { proxy } => {
                self.proxies[proxy].end(at);
                // It starts from nothing.
                self.told.retain(|&(p, _), _| p != proxy);
            }
            EventKind::ClientTimedOut { .. }
            | EventKind::SessionRan { .. }
            | EventKind::MessageLate { .. }
            | EventKind::FaultInjected(_) => {}
        }
    }

    fn with(&mut self, id: u64, note: impl FnOnce(&mut Session)) {
        if let Some(session) = self.sessions.get_mut(&id) {
            note(session);
        }
    }

    fn dialled(&mut self, at: Timestamp, id: u64, server: usize, conn: u64, told: u64) {
        let Some(session) = self.sessions.get_mut(&id) else { return };
        let proxy = session.proxy;
        session.dials.push(Dial { server, conn, at, told, ended: None });
        let may = self.scenario.rules.drain_grace.0 + MORE;
        if let Some(&Some(since)) = self.told.get(&(proxy, server))
            && at > since + may
        {
            let after = (at - since) / 10;
            let seen = format!(
                "server {server} dialled {after} ms after proxy {proxy} was told it drains or is gone"
            );
            self.breach(ViolationKind::AfterDrain, id, at, seen);
        }
    }

    fn judge(&mut self, id: u64, s: &Session, end: Timestamp, to: &mut SessionOutcomes) {
        to.opened += 1;
        to.retries += u64::from(s.ask.retry);
        to.dials += s.dials.len() as u64;
        to.ran_late += s.ran_late;
        let limit = s.at + s.ask.patience + MORE;
        if s.nobody {
            to.nobody_there += 1;
            return;
        }
        if let Some(at) = s.garbled {
            self.breach(ViolationKind::NotAnAnswer, id, at, "a line that is no answer".into());
        }
        if let Some(at) = s.more {
            self.breach(ViolationKind::TwoAnswers, id, at, "something came after the final answer".into());
        }
        if let [_, (at, second), ..] = s.answers[..] {
            self.breach(ViolationKind::TwoAnswers, id, at, format!("{second} after the final answer"));
        }
        let Some(&(at, answer)) = s.answers.first() else {
            let until = s.ended.map_or(limit, |(at, _)| at).min(limit);
            if self.proxies[s.proxy].meets(s.at, until) {
                to.with_proxy += 1;
            } else if limit >= end || matches!(s.ended, Some((_, ConnectionEnd::Left))) {
                to.open += 1;
            } else {
                let seen = match s.ended {
                    Some((_, how)) => format!("the connection ended ({how}) without one"),
                    None => format!("none within {} ms", s.ask.patience / 10),
                };
                self.breach(ViolationKind::NoAnswer, id, until, seen);
            }
            return;
        };
        if at > limit {
            let late = (at - s.at) / 10;
            let seen = format!("{answer} after {late} ms, {} allowed", s.ask.patience / 10);
            self.breach(ViolationKind::LateAnswer, id, at, seen);
        }
        match answer {
            ClientResponse::Accepted => {
                to.accepted += 1;
                to.took.push(at - s.at);
                // Who never reads can be told nothing.
                if self.listeners[s.ask.listener].deaf_kb == 0 {
                    self.stood(id, s, at, end, to);
                }
            }
            ClientResponse::Rejected(_) => {
                to.refused += 1;
                let listener = self.listeners[s.ask.listener];
                // A repeat of a referenced session is harmless for as long as the first is known.
                let harmless = |d: &Dial| match listener.kind {
                    SessionKind::Repeatable => true,
                    SessionKind::OnceOnly => d.never_ran(),
                    SessionKind::Referenced => d.never_ran() || at <= d.at + listener.window.0 + MORE,
                };
                if let Some(d) = s.dials.iter().find(|d| !harmless(d)) {
                    let seen = format!("refused though the dial of server {} may have run", d.server);
                    self.breach(ViolationKind::RefusedThoughItMayHaveRun, id, at, seen);
                }
            }
            ClientResponse::Failed => to.torn_down += 1,
        }
    }

    /// A session that was accepted: what became of its connection.
    fn stood(&mut self, id: u64, s: &Session, at: Timestamp, end: Timestamp, to: &mut SessionOutcomes) {
        let Some(dial) = s.dials.iter().rev().find(|d| d.at <= at) else {
            return self.breach(ViolationKind::AcceptedByNobody, id, at, "no server was dialled".into());
        };
        // Both ends of the run's connections count a little apart.
        let server_ended =
            dial.ended.filter(|(_, how)| matches!(how, AttemptEnd::Reset | AttemptEnd::Migrated));
        let server_gone = |from, to| self.servers[dial.server].meets(from, to);
        match s.ended {
            Some((_, ConnectionEnd::Migrated)) => to.moved += 1,
            Some((when, how @ (ConnectionEnd::Closed | ConnectionEnd::Broken))) => {
                let from = when.saturating_sub(ENDED_WITHIN + MORE);
                let excused = server_ended.is_some_and(|(t, _)| t <= when + MORE)
                    || server_gone(from, when)
                    || self.proxies[s.proxy].meets(at, when + MORE);
                if !excused {
                    let seen = format!("{how} while server {} answered", dial.server);
                    self.breach(ViolationKind::CutWithoutMove, id, when, seen);
                }
            }
            _ => {}
        }
        if let Some((ended, _)) = server_ended {
            let until = ended + ENDED_WITHIN + MORE;
            let client = s.ended.map_or(end, |(t, _)| t);
            if client > until && !self.proxies[s.proxy].meets(at, until) {
                let seen =
                    format!("its server ended it {} ms before its client heard", (client - ended) / 10);
                self.breach(ViolationKind::EndedLate, id, client, seen);
            }
        }
    }

    fn dials(&mut self, id: u64, s: &Session) {
        let listener = self.listeners[s.ask.listener];
        if s.dials.len() > self.scenario.rules.dials as usize {
            let seen = format!("{} dials, {} allowed", s.dials.len(), self.scenario.rules.dials);
            self.breach(ViolationKind::TooManyDials, id, s.dials.last().map_or(0, |d| d.at), seen);
        }
        for (i, dial) in s.dials.iter().enumerate() {
            let left = (s.at + s.ask.patience + MORE).saturating_sub(dial.at);
            if dial.told * 10 > left {
                let seen =
                    format!("server {} was told {} ms, the client had {}", dial.server, dial.told, left / 10);
                self.breach(ViolationKind::ToldTooLong, id, dial.at, seen);
            }
            for earlier in &s.dials[..i] {
                let between = format!("server {} while that of server {}", dial.server, earlier.server);
                if earlier.ended.is_none_or(|(t, _)| t > dial.at + MORE) {
                    self.breach(
                        ViolationKind::TwoDialsOut,
                        id,
                        dial.at,
                        format!("a dial of {between} was out"),
                    );
                }
                let again = match listener.kind {
                    SessionKind::Repeatable => false,
                    SessionKind::OnceOnly => !earlier.never_ran(),
                    SessionKind::Referenced => {
                        !earlier.never_ran() && dial.at > earlier.at + listener.window.0 + MORE
                    }
                };
                if again {
                    self.breach(
                        ViolationKind::MayRunTwice,
                        id,
                        dial.at,
                        format!("dial of {between} may have run"),
                    );
                }
            }
        }
    }
}
