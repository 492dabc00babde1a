//! The history of a run, built from its event log: sessions by id, and when proxies and servers were unavailable.
use std::collections::BTreeMap;

use crate::audit::findings::{NO_SESSION, Violation, ViolationKind};
use crate::audit::intervals::Intervals;
use crate::audit::session_history::{AttemptHistory, SessionHistory, Timed};
use crate::audit::tolerance::TOLERANCE;
use crate::duration::TICKS_PER_MS;
use crate::event_log::{EventKind, LoggedEvent};
use crate::scenario::Scenario;
use crate::time::Timestamp;

/// The indexes of a proxy and a server.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct ProxyAndServer {
    proxy: usize,
    server: usize,
}

/// The history of a run, and the violations found while the event log is read.
pub(super) struct RunHistory<'a> {
    scenario: &'a Scenario,
    pub(super) sessions: BTreeMap<u64, SessionHistory>,
    /// When each proxy was down without a planned stop; in pass-through deployments, planned stops too.
    pub(super) proxies_unavailable: Vec<Intervals>,
    /// For each server, when it was dead or silent.
    pub(super) servers_unavailable: Vec<Intervals>,
    /// When each proxy was first notified that a server drains or is removed; `None` once it was
    /// notified that the server is ready.
    unready_notices: BTreeMap<ProxyAndServer, Option<Timestamp>>,
    /// Violations found while the event log is read; the session checker finds the others.
    pub(super) violations: Vec<Violation>,
}

impl<'a> RunHistory<'a> {
    pub(super) fn from_events(scenario: &'a Scenario, events: &[LoggedEvent]) -> Self {
        let intervals = |count: usize| (0..count).map(|_| Intervals::default()).collect();
        let mut history = Self {
            scenario,
            sessions: BTreeMap::new(),
            proxies_unavailable: intervals(scenario.proxies.count),
            servers_unavailable: intervals(scenario.server_count()),
            unready_notices: BTreeMap::new(),
            violations: Vec::new(),
        };
        for event in events {
            history.record_session_event(event);
            history.record_fleet_event(event);
        }
        history
    }

    fn record_violation(&mut self, kind: ViolationKind, session: u64, at: Timestamp, observed: String) {
        self.violations.push(Violation::new(kind, session, at, observed));
    }

    fn update_session(&mut self, id: u64, update: impl FnOnce(&mut SessionHistory)) {
        if let Some(session) = self.sessions.get_mut(&id) {
            update(session);
        }
    }

    /// Records an event of a session.
    fn record_session_event(&mut self, event: &LoggedEvent) {
        let at = event.at;
        match &event.kind {
            EventKind::Opened { request, proxy } => {
                let session = SessionHistory::new(request.clone(), *proxy, at);
                self.sessions.insert(request.id, session);
            }
            EventKind::ProxyUnreachable { id, .. } => {
                self.update_session(*id, |session| session.proxy_unreachable = true);
            }
            EventKind::Answered { id, response } => {
                self.update_session(*id, |session| session.responses.push(Timed { at, value: *response }));
            }
            EventKind::ExtraMessage { id } => {
                self.update_session(*id, |session| _ = session.extra_message_at.get_or_insert(at));
            }
            EventKind::MalformedResponse { id } => {
                self.update_session(*id, |session| _ = session.malformed_at.get_or_insert(at));
            }
            EventKind::ConnectionEnded { id, end } => {
                self.update_session(*id, |session| _ = session.end.get_or_insert(Timed { at, value: *end }));
            }
            EventKind::RanAfterAbandoned { id, .. } => {
                self.update_session(*id, |session| session.ran_after_abandoned += 1);
            }
            &EventKind::AttemptStarted { id, server, connection, timeout_ms } => {
                let attempt = AttemptHistory { server, connection, started_at: at, timeout_ms, end: None };
                self.attempt_started(id, attempt);
            }
            &EventKind::AttemptEnded { id, connection, end, .. } => self.update_session(id, |session| {
                let mut attempts = session.attempts.iter_mut();
                if let Some(attempt) = attempts.find(|attempt| attempt.connection == connection) {
                    attempt.record_end(at, end);
                }
            }),
            _ => self.record_message_event(event),
        }
    }

    /// Records a violation seen on the messages of an established session.
    fn record_message_event(&mut self, event: &LoggedEvent) {
        let at = event.at;
        match &event.kind {
            EventKind::MessageDelayed { id, direction, took } => {
                let observed = format!(
                    "{direction:?}: {} ms between being sent and being received",
                    took / TICKS_PER_MS
                );
                self.record_violation(ViolationKind::MessageDelayed, *id, at, observed);
            }
            EventKind::MessageAltered { id } => {
                let observed = "a line was received that differs from the line sent".into();
                self.record_violation(ViolationKind::MessageAltered, *id, at, observed);
            }
            EventKind::ConnectionSilent { id, duration } => {
                let observed = format!("no line received for {} ms", duration / TICKS_PER_MS);
                self.record_violation(ViolationKind::SilentTooLong, *id, at, observed);
            }
            _ => {}
        }
    }

    /// Records an event of a server or a proxy.
    fn record_fleet_event(&mut self, event: &LoggedEvent) {
        let at = event.at;
        match event.kind {
            EventKind::Overloaded { server, ratio } => {
                let group = self.scenario.server_groups_by_index().nth(server);
                let allowed = group.map_or(0.0, |group| group.overload_multiple);
                let observed =
                    format!("server {server}: load {ratio:.1} times its capacity, {allowed} allowed");
                self.record_violation(ViolationKind::SlowStartOverloaded, NO_SESSION, at, observed);
            }
            EventKind::SessionsLeftBehind { server, sessions } => {
                let observed = format!("server {server} stopped with {sessions} established sessions");
                self.record_violation(ViolationKind::SessionsLeftBehind, NO_SESSION, at, observed);
            }
            EventKind::ServerDied { server } | EventKind::ServerSilent { server, .. } => {
                self.servers_unavailable[server].begin(at);
            }
            EventKind::ServerStarted { server } => self.servers_unavailable[server].end(at),
            EventKind::EndpointNotified { proxy, server, ready } => {
                let since = self.unready_notices.entry(ProxyAndServer { proxy, server }).or_default();
                *since = if ready { None } else { since.or(Some(at)) };
            }
            // A planned stop excuses no loss, because the proxy must migrate its sessions first. Only a pass-through
            // proxy cannot migrate any.
            EventKind::ProxyExited { proxy, planned } if !planned || self.scenario.rules.passthrough => {
                self.proxies_unavailable[proxy].begin(at);
            }
            EventKind::ProxyUp { proxy } => {
                self.proxies_unavailable[proxy].end(at);
                // A new process has not been notified of anything yet.
                self.unready_notices.retain(|pair, _| pair.proxy != proxy);
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
        let notified = self.unready_notices.get(&ProxyAndServer { proxy, server }).copied().flatten();
        if let Some(since) = notified.filter(|since| at > since + grace) {
            let elapsed = (at - since) / TICKS_PER_MS;
            let observed = format!(
                "attempt at server {server} {elapsed} ms after proxy {proxy} was notified that it drains or is removed"
            );
            self.record_violation(ViolationKind::AttemptAfterDrainGrace, id, at, observed);
        }
    }
}
