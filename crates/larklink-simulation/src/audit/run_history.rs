//! The history of a run, joined from the event log: sessions by their ids, and when proxies and servers were away.
use std::collections::BTreeMap;

use crate::audit::findings::{Violation, ViolationKind};
use crate::audit::intervals::Intervals;
use crate::audit::session_history::{At, AttemptHistory, SessionHistory};
use crate::audit::tolerance::TOLERANCE;
use crate::duration::TICKS_PER_MS;
use crate::event_log::{EventKind, LoggedEvent};
use crate::scenario::Scenario;
use crate::time::Timestamp;

/// A proxy and a server, by their numbers.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct ProxyAndServer {
    proxy: usize,
    server: usize,
}

/// What a run logged.
pub(super) struct RunHistory<'a> {
    scenario: &'a Scenario,
    pub(super) sessions: BTreeMap<u64, SessionHistory>,
    /// For each proxy, when it was gone or shutting down.
    pub(super) proxies_away: Vec<Intervals>,
    /// For each server, when it was dead or silent.
    pub(super) servers_away: Vec<Intervals>,
    /// When each proxy was notified that a server drains or is removed; none while it is up.
    notified_away: BTreeMap<ProxyAndServer, Option<Timestamp>>,
    /// What single events show by themselves.
    pub(super) violations: Vec<Violation>,
}

impl<'a> RunHistory<'a> {
    pub(super) fn read(scenario: &'a Scenario, events: &[LoggedEvent]) -> Self {
        let intervals = |count: usize| (0..count).map(|_| Intervals::default()).collect();
        let mut history = Self {
            scenario,
            sessions: BTreeMap::new(),
            proxies_away: intervals(scenario.proxies.count),
            servers_away: intervals(scenario.server_count()),
            notified_away: BTreeMap::new(),
            violations: Vec::new(),
        };
        for event in events {
            history.read_session_event(event);
            history.read_fleet_event(event);
        }
        history
    }

    fn violation(&mut self, kind: ViolationKind, session: u64, at: Timestamp, observed: String) {
        self.violations.push(Violation::new(kind, session, at, observed));
    }

    fn with_session(&mut self, id: u64, note: impl FnOnce(&mut SessionHistory)) {
        if let Some(session) = self.sessions.get_mut(&id) {
            note(session);
        }
    }

    /// Events of one session.
    fn read_session_event(&mut self, event: &LoggedEvent) {
        let at = event.at;
        match &event.kind {
            EventKind::Opened { request, proxy } => {
                let session = SessionHistory::new(request.clone(), *proxy, at);
                self.sessions.insert(request.id, session);
            }
            EventKind::ProxyUnreachable { id, .. } => {
                self.with_session(*id, |session| session.proxy_unreachable = true);
            }
            EventKind::Answered { id, response } => {
                self.with_session(*id, |session| session.responses.push(At { at, value: *response }));
            }
            EventKind::ExtraMessage { id } => {
                self.with_session(*id, |session| _ = session.extra_message_at.get_or_insert(at));
            }
            EventKind::MalformedResponse { id } => {
                self.with_session(*id, |session| _ = session.malformed_at.get_or_insert(at));
            }
            EventKind::ConnectionEnded { id, end } => {
                self.with_session(*id, |session| _ = session.end.get_or_insert(At { at, value: *end }));
            }
            EventKind::RanAfterAbandoned { id, .. } => {
                self.with_session(*id, |session| session.ran_after_abandoned += 1);
            }
            &EventKind::AttemptStarted { id, server, connection, timeout_ms } => {
                let attempt = AttemptHistory { server, connection, started_at: at, timeout_ms, end: None };
                self.attempt_started(id, attempt);
            }
            &EventKind::AttemptEnded { id, connection, end, .. } => self.with_session(id, |session| {
                let mut attempts = session.attempts.iter_mut();
                if let Some(attempt) = attempts.find(|attempt| attempt.connection == connection) {
                    attempt.note_end(at, end);
                }
            }),
            _ => self.read_message_event(event),
        }
    }

    /// Events of the messages of an established session.
    fn read_message_event(&mut self, event: &LoggedEvent) {
        let at = event.at;
        match &event.kind {
            EventKind::MessageDelayed { id, direction, took } => {
                let observed =
                    format!("{direction:?}: {} ms between one end and the other", took / TICKS_PER_MS);
                self.violation(ViolationKind::MessageDelayed, *id, at, observed);
            }
            EventKind::MessageAltered { id } => {
                let observed = "a line came other than it went".into();
                self.violation(ViolationKind::MessageAltered, *id, at, observed);
            }
            EventKind::ConnectionSilent { id, duration } => {
                let observed = format!("{} ms without a line", duration / TICKS_PER_MS);
                self.violation(ViolationKind::SilentTooLong, *id, at, observed);
            }
            _ => {}
        }
    }

    /// Events of servers and proxies.
    fn read_fleet_event(&mut self, event: &LoggedEvent) {
        let at = event.at;
        match event.kind {
            EventKind::Overloaded { server, ratio } => {
                let group = self.scenario.each_server().nth(server);
                let allowed = group.map_or(0.0, |group| group.overload_multiple);
                let observed = format!("server {server}: {ratio:.1} times what it can do, {allowed} allowed");
                self.violation(ViolationKind::SlowStartOverloaded, 0, at, observed);
            }
            EventKind::SessionsLeftBehind { server, sessions } => {
                let observed = format!("server {server} went with {sessions} sessions standing");
                self.violation(ViolationKind::SessionsLeftBehind, 0, at, observed);
            }
            EventKind::ServerDied { server } | EventKind::ServerSilent { server, .. } => {
                self.servers_away[server].begin(at);
            }
            EventKind::ServerStarted { server } => self.servers_away[server].end(at),
            EventKind::EndpointNotified { proxy, server, ready } => {
                let since = self.notified_away.entry(ProxyAndServer { proxy, server }).or_default();
                *since = if ready { None } else { since.or(Some(at)) };
            }
            // A planned stop excuses nothing, but where packets pass through no session can be migrated.
            EventKind::ProxyExited { proxy, planned } if !planned || self.scenario.rules.passthrough => {
                self.proxies_away[proxy].begin(at);
            }
            EventKind::ProxyUp { proxy } => {
                self.proxies_away[proxy].end(at);
                // A new process has been notified of nothing.
                self.notified_away.retain(|pair, _| pair.proxy != proxy);
            }
            _ => {}
        }
    }

    fn attempt_started(&mut self, id: u64, attempt: AttemptHistory) {
        let Some(session) = self.sessions.get_mut(&id) else { return };
        let proxy = session.proxy;
        let server = attempt.server;
        let at = attempt.started_at;
        session.attempts.push(attempt);
        let grace = self.scenario.rules.drain_grace.0 + TOLERANCE;
        let notified = self.notified_away.get(&ProxyAndServer { proxy, server }).copied().flatten();
        if let Some(since) = notified.filter(|since| at > since + grace) {
            let after = (at - since) / TICKS_PER_MS;
            let observed = format!(
                "server {server} dialled {after} ms after proxy {proxy} was told it drains or is gone"
            );
            self.violation(ViolationKind::AttemptAfterDrainGrace, id, at, observed);
        }
    }
}
