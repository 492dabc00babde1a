//! Checks the history of each session against the rules.

use crate::audit::findings::{SessionOutcomes, Violation, ViolationKind};
use crate::audit::run_history::RunHistory;
use crate::audit::session_history::{AttemptHistory, SessionHistory, Timed};
use crate::audit::tolerance::TOLERANCE;
use crate::duration::{SECOND, TICKS_PER_MS};
use crate::event_log::{AttemptEnd, ClientResponse, ConnectionEnd};
use crate::scenario::{ListenerSpec, Scenario, SessionKind};
use crate::time::{TickDuration, Timestamp};

/// When a server ends a session, the client's connection must be ended or migrated within this time. It is also
/// how long after a server's outage an ended connection is excused.
const END_NOTIFICATION_LIMIT: TickDuration = SECOND;

/// Checks sessions one by one and collects their violations.
pub(super) struct SessionChecker<'a> {
    scenario: &'a Scenario,
    history: &'a RunHistory<'a>,
    /// When the run was stopped. A response or an end that was not yet due by then is not missed.
    end: Timestamp,
    pub(super) violations: Vec<Violation>,
}

impl<'a> SessionChecker<'a> {
    pub(super) fn new(scenario: &'a Scenario, history: &'a RunHistory<'a>, end: Timestamp) -> Self {
        Self { scenario, history, end, violations: Vec::new() }
    }

    /// Checks a session and adds it to the outcomes of its listener.
    pub(super) fn check(&mut self, id: u64, session: &SessionHistory, outcomes: &mut SessionOutcomes) {
        outcomes.opened += 1;
        outcomes.retries += u64::from(session.request.retry);
        outcomes.attempts += session.attempts.len() as u64;
        outcomes.ran_after_abandoned += session.ran_after_abandoned;
        if session.proxy_unreachable {
            outcomes.proxy_unreachable += 1;
        } else {
            self.check_responses(id, session, outcomes);
        }
        self.check_attempts(id, session);
    }

    fn record_violation(
        &mut self,
        kind: ViolationKind,
        session: u64,
        at: Timestamp,
        observed: impl Into<String>,
    ) {
        self.violations.push(Violation::new(kind, session, at, observed.into()));
    }

    fn listener(&self, session: &SessionHistory) -> &'a ListenerSpec {
        self.scenario.listeners[session.request.listener].get_ref()
    }

    fn check_responses(&mut self, id: u64, session: &SessionHistory, outcomes: &mut SessionOutcomes) {
        if let Some(at) = session.malformed_at {
            self.record_violation(
                ViolationKind::MalformedResponse,
                id,
                at,
                "received a line that is not a valid response",
            );
        }
        if let Some(at) = session.extra_message_at {
            self.record_violation(
                ViolationKind::ExtraResponse,
                id,
                at,
                "received data after the final response",
            );
        }
        if let [_, Timed { at, value: second }, ..] = session.responses[..] {
            let observed = format!("{second} after the final response");
            self.record_violation(ViolationKind::ExtraResponse, id, at, observed);
        }
        let Some(&response) = session.responses.first() else {
            return self.check_without_response(id, session, outcomes);
        };
        let dial_timeout = session.request.dial_timeout;
        if response.at > session.opened_at + dial_timeout + TOLERANCE {
            let elapsed = (response.at - session.opened_at) / TICKS_PER_MS;
            let allowed = dial_timeout / TICKS_PER_MS;
            let observed = format!("{} after {elapsed} ms, {allowed} ms allowed", response.value);
            self.record_violation(ViolationKind::LateResponse, id, response.at, observed);
        }
        match response.value {
            ClientResponse::Accepted => {
                outcomes.accepted += 1;
                outcomes.response_times.push(response.at - session.opened_at);
                // A client that never reads cannot be notified of anything. Its session is not checked for an attempt
                // either, and is not counted as migrated.
                if self.listener(session).unread_kb == 0 {
                    self.check_established(id, session, response.at, outcomes);
                }
            }
            ClientResponse::Rejected(_) => {
                outcomes.rejected += 1;
                self.check_rejected(id, session, response.at);
            }
            ClientResponse::Failed => outcomes.failed += 1,
        }
    }

    fn check_without_response(&mut self, id: u64, session: &SessionHistory, outcomes: &mut SessionOutcomes) {
        let limit = session.opened_at + session.request.dial_timeout + TOLERANCE;
        let until = session.end.map_or(limit, |end| end.at).min(limit);
        let client_left = matches!(session.end, Some(Timed { value: ConnectionEnd::Left, .. }));
        if self.history.proxies_unavailable[session.proxy].overlaps(session.opened_at, until) {
            outcomes.lost_with_proxy += 1;
        } else if limit >= self.end || client_left {
            outcomes.unfinished += 1;
        } else {
            let observed = match session.end {
                Some(end) => format!("connection ended ({}) without a response", end.value),
                None => format!("no response within {} ms", session.request.dial_timeout / TICKS_PER_MS),
            };
            self.record_violation(ViolationKind::NoResponse, id, until, observed);
        }
    }

    fn check_rejected(&mut self, id: u64, session: &SessionHistory, rejected_at: Timestamp) {
        let listener = self.listener(session);
        let unsafe_to_repeat = |attempt: &&AttemptHistory| !is_safe_to_repeat(listener, attempt, rejected_at);
        if let Some(attempt) = session.attempts.iter().find(unsafe_to_repeat) {
            let observed = format!("rejected although the attempt at server {} may have run", attempt.server);
            self.record_violation(ViolationKind::RejectedThoughMayHaveRun, id, rejected_at, observed);
        }
    }

    /// Checks how the connection of an accepted session ended.
    fn check_established(
        &mut self,
        id: u64,
        session: &SessionHistory,
        accepted_at: Timestamp,
        outcomes: &mut SessionOutcomes,
    ) {
        let Some(attempt) = session.attempts.iter().rev().find(|attempt| attempt.started_at <= accepted_at)
        else {
            let observed = "no attempt was made at any server";
            return self.record_violation(ViolationKind::AcceptedWithoutAttempt, id, accepted_at, observed);
        };
        let server_ended_at = attempt
            .end
            .filter(|end| matches!(end.value, AttemptEnd::Reset | AttemptEnd::Migrated))
            .map(|end| end.at);
        let proxy_unavailable = &self.history.proxies_unavailable[session.proxy];
        match session.end {
            Some(Timed { value: ConnectionEnd::Migrated, .. }) => outcomes.migrated += 1,
            Some(Timed { at, value: end @ (ConnectionEnd::Closed | ConnectionEnd::Broken) }) => {
                let from = at.saturating_sub(END_NOTIFICATION_LIMIT + TOLERANCE);
                let excused = server_ended_at.is_some_and(|ended_at| ended_at <= at + TOLERANCE)
                    || self.history.servers_unavailable[attempt.server].overlaps(from, at)
                    || proxy_unavailable.overlaps(accepted_at, at + TOLERANCE);
                if !excused {
                    let observed =
                        format!("connection ended ({end}) while server {} was available", attempt.server);
                    self.record_violation(ViolationKind::BrokenWithoutMigration, id, at, observed);
                }
            }
            Some(Timed { value: ConnectionEnd::Left, .. }) | None => {}
        }
        if let Some(ended_at) = server_ended_at {
            let until = ended_at + END_NOTIFICATION_LIMIT + TOLERANCE;
            let client_ended_at = session.end.map_or(self.end, |end| end.at);
            if client_ended_at > until && !proxy_unavailable.overlaps(accepted_at, until) {
                let elapsed = (client_ended_at - ended_at) / TICKS_PER_MS;
                let observed =
                    format!("client connection still open {elapsed} ms after the server ended the session");
                self.record_violation(ViolationKind::EndNotifiedLate, id, client_ended_at, observed);
            }
        }
    }

    fn check_attempts(&mut self, id: u64, session: &SessionHistory) {
        let attempts = &session.attempts;
        let allowed = self.scenario.rules.max_attempts;
        if attempts.len() > allowed as usize {
            let observed = format!("{} attempts, {allowed} allowed", attempts.len());
            let last_at = attempts.last().map_or(0, |attempt| attempt.started_at);
            self.record_violation(ViolationKind::TooManyAttempts, id, last_at, observed);
        }
        let response_deadline = session.opened_at + session.request.dial_timeout + TOLERANCE;
        for (index, attempt) in attempts.iter().enumerate() {
            let remaining = response_deadline.saturating_sub(attempt.started_at);
            if attempt.timeout_ms * TICKS_PER_MS > remaining {
                let observed = format!(
                    "attempt at server {} with a timeout of {} ms, but its client had {} ms left",
                    attempt.server,
                    attempt.timeout_ms,
                    remaining / TICKS_PER_MS
                );
                self.record_violation(ViolationKind::TimeoutTooLong, id, attempt.started_at, observed);
            }
            for earlier in &attempts[..index] {
                self.check_repeat(id, self.listener(session), earlier, attempt);
            }
        }
    }

    /// Checks an attempt against an earlier one of the same session.
    fn check_repeat(
        &mut self,
        id: u64,
        listener: &ListenerSpec,
        earlier: &AttemptHistory,
        attempt: &AttemptHistory,
    ) {
        let at = attempt.started_at;
        let servers =
            format!("attempt at server {} while the one at server {}", attempt.server, earlier.server);
        if earlier.end.is_none_or(|end| end.at > at + TOLERANCE) {
            self.record_violation(
                ViolationKind::ConcurrentAttempts,
                id,
                at,
                format!("{servers} was in flight"),
            );
        }
        if !is_safe_to_repeat(listener, earlier, at) {
            self.record_violation(ViolationKind::MayRunTwice, id, at, format!("{servers} may have run"));
        }
    }
}

/// Whether it is safe to run a session again after an attempt, by another attempt or by the client: a rejection invites
/// the client to retry. With an idempotency key it is safe while servers remember the key.
fn is_safe_to_repeat(listener: &ListenerSpec, attempt: &AttemptHistory, repeated_at: Timestamp) -> bool {
    match listener.kind {
        SessionKind::Idempotent => true,
        SessionKind::OnceOnly => attempt.never_ran(),
        SessionKind::Deduplicated => {
            attempt.never_ran() || repeated_at <= attempt.started_at + listener.window.0 + TOLERANCE
        }
    }
}
