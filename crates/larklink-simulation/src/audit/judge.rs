//! Judges the history of each session by the rules.

use crate::audit::findings::{SessionOutcomes, Violation, ViolationKind};
use crate::audit::run_history::RunHistory;
use crate::audit::session_history::{At, AttemptHistory, SessionHistory};
use crate::audit::tolerance::TOLERANCE;
use crate::duration::{SECOND, TICKS_PER_MS};
use crate::event_log::{AttemptEnd, ClientResponse, ConnectionEnd};
use crate::scenario::{ListenerSpec, Scenario, SessionKind};
use crate::time::{TickDuration, Timestamp};

/// A session that its server ended is to be ended or migrated within this.
const ENDED_WITHIN: TickDuration = SECOND;

/// Judges one session after the other.
pub(super) struct Judge<'a> {
    scenario: &'a Scenario,
    history: &'a RunHistory<'a>,
    /// When the run was stopped: what was open then is not judged for its end.
    end: Timestamp,
    pub(super) violations: Vec<Violation>,
}

impl<'a> Judge<'a> {
    pub(super) fn new(scenario: &'a Scenario, history: &'a RunHistory<'a>, end: Timestamp) -> Self {
        Self { scenario, history, end, violations: Vec::new() }
    }

    /// Judges a session, and adds it to the outcomes of its listener.
    pub(super) fn judge(&mut self, id: u64, session: &SessionHistory, outcomes: &mut SessionOutcomes) {
        outcomes.opened += 1;
        outcomes.retries += u64::from(session.request.retry);
        outcomes.attempts += session.attempts.len() as u64;
        outcomes.ran_after_abandoned += session.ran_after_abandoned;
        if session.proxy_unreachable {
            outcomes.proxy_unreachable += 1;
        } else {
            self.judge_responses(id, session, outcomes);
        }
        self.judge_attempts(id, session);
    }

    fn violation(&mut self, kind: ViolationKind, session: u64, at: Timestamp, observed: impl Into<String>) {
        self.violations.push(Violation::new(kind, session, at, observed.into()));
    }

    fn listener(&self, session: &SessionHistory) -> &'a ListenerSpec {
        self.scenario.listeners[session.request.listener].get_ref()
    }

    fn judge_responses(&mut self, id: u64, session: &SessionHistory, outcomes: &mut SessionOutcomes) {
        if let Some(at) = session.malformed_at {
            self.violation(ViolationKind::MalformedResponse, id, at, "a line that is no answer");
        }
        if let Some(at) = session.extra_message_at {
            self.violation(ViolationKind::ExtraResponse, id, at, "something came after the final answer");
        }
        if let [_, At { at, value: second }, ..] = session.responses[..] {
            let observed = format!("{second} after the final answer");
            self.violation(ViolationKind::ExtraResponse, id, at, observed);
        }
        let Some(&response) = session.responses.first() else {
            return self.judge_without_response(id, session, outcomes);
        };
        let patience = session.request.patience;
        if response.at > session.opened_at + patience + TOLERANCE {
            let late = (response.at - session.opened_at) / TICKS_PER_MS;
            let allowed = patience / TICKS_PER_MS;
            let observed = format!("{} after {late} ms, {allowed} allowed", response.value);
            self.violation(ViolationKind::LateResponse, id, response.at, observed);
        }
        match response.value {
            ClientResponse::Accepted => {
                outcomes.accepted += 1;
                outcomes.took.push(response.at - session.opened_at);
                // A client that never reads cannot be notified of anything.
                if self.listener(session).unread_kb == 0 {
                    self.judge_established(id, session, response.at, outcomes);
                }
            }
            ClientResponse::Rejected(_) => {
                outcomes.rejected += 1;
                self.judge_rejected(id, session, response.at);
            }
            ClientResponse::Failed => outcomes.failed += 1,
        }
    }

    fn judge_without_response(&mut self, id: u64, session: &SessionHistory, outcomes: &mut SessionOutcomes) {
        let limit = session.opened_at + session.request.patience + TOLERANCE;
        let until = session.end.map_or(limit, |end| end.at).min(limit);
        let left = matches!(session.end, Some(At { value: ConnectionEnd::Left, .. }));
        if self.history.proxies_away[session.proxy].overlap(session.opened_at, until) {
            outcomes.lost_with_proxy += 1;
        } else if limit >= self.end || left {
            outcomes.open += 1;
        } else {
            let observed = match session.end {
                Some(end) => format!("the connection ended ({}) without one", end.value),
                None => format!("none within {} ms", session.request.patience / TICKS_PER_MS),
            };
            self.violation(ViolationKind::NoResponse, id, until, observed);
        }
    }

    fn judge_rejected(&mut self, id: u64, session: &SessionHistory, rejected_at: Timestamp) {
        let listener = self.listener(session);
        let may_run_again = |attempt: &&AttemptHistory| !is_safe_to_repeat(listener, attempt, rejected_at);
        if let Some(attempt) = session.attempts.iter().find(may_run_again) {
            let observed = format!("refused though the dial of server {} may have run", attempt.server);
            self.violation(ViolationKind::RejectedThoughMayHaveRun, id, rejected_at, observed);
        }
    }

    /// A session that was accepted: what became of its connection.
    fn judge_established(
        &mut self,
        id: u64,
        session: &SessionHistory,
        accepted_at: Timestamp,
        outcomes: &mut SessionOutcomes,
    ) {
        let Some(attempt) = session.attempts.iter().rev().find(|attempt| attempt.started_at <= accepted_at)
        else {
            let observed = "no server was dialled";
            return self.violation(ViolationKind::AcceptedWithoutAttempt, id, accepted_at, observed);
        };
        let server_ended = attempt
            .end
            .filter(|end| matches!(end.value, AttemptEnd::Reset | AttemptEnd::Migrated))
            .map(|end| end.at);
        let proxy_away = &self.history.proxies_away[session.proxy];
        match session.end {
            Some(At { value: ConnectionEnd::Migrated, .. }) => outcomes.migrated += 1,
            Some(At { at, value: how @ (ConnectionEnd::Closed | ConnectionEnd::Broken) }) => {
                let from = at.saturating_sub(ENDED_WITHIN + TOLERANCE);
                let excused = server_ended.is_some_and(|ended_at| ended_at <= at + TOLERANCE)
                    || self.history.servers_away[attempt.server].overlap(from, at)
                    || proxy_away.overlap(accepted_at, at + TOLERANCE);
                if !excused {
                    let observed = format!("{how} while server {} answered", attempt.server);
                    self.violation(ViolationKind::BrokenWithoutMigration, id, at, observed);
                }
            }
            Some(At { value: ConnectionEnd::Left, .. }) | None => {}
        }
        if let Some(ended_at) = server_ended {
            let until = ended_at + ENDED_WITHIN + TOLERANCE;
            let client_ended_at = session.end.map_or(self.end, |end| end.at);
            if client_ended_at > until && !proxy_away.overlap(accepted_at, until) {
                let late = (client_ended_at - ended_at) / TICKS_PER_MS;
                let observed = format!("its server ended it {late} ms before its client heard");
                self.violation(ViolationKind::EndNotifiedLate, id, client_ended_at, observed);
            }
        }
    }

    fn judge_attempts(&mut self, id: u64, session: &SessionHistory) {
        let attempts = &session.attempts;
        let allowed = self.scenario.rules.max_attempts;
        if attempts.len() > allowed as usize {
            let observed = format!("{} dials, {allowed} allowed", attempts.len());
            let last_at = attempts.last().map_or(0, |attempt| attempt.started_at);
            self.violation(ViolationKind::TooManyAttempts, id, last_at, observed);
        }
        let answer_by = session.opened_at + session.request.patience + TOLERANCE;
        for (index, attempt) in attempts.iter().enumerate() {
            let left = answer_by.saturating_sub(attempt.started_at);
            if attempt.timeout_ms * TICKS_PER_MS > left {
                let observed = format!(
                    "server {} was told {} ms, the client had {}",
                    attempt.server,
                    attempt.timeout_ms,
                    left / TICKS_PER_MS
                );
                self.violation(ViolationKind::TimeoutTooLong, id, attempt.started_at, observed);
            }
            for earlier in &attempts[..index] {
                self.judge_repeat(id, self.listener(session), earlier, attempt);
            }
        }
    }

    /// An attempt after an earlier one of the same session.
    fn judge_repeat(
        &mut self,
        id: u64,
        listener: &ListenerSpec,
        earlier: &AttemptHistory,
        attempt: &AttemptHistory,
    ) {
        let at = attempt.started_at;
        let between = format!("server {} while that of server {}", attempt.server, earlier.server);
        if earlier.end.is_none_or(|end| end.at > at + TOLERANCE) {
            self.violation(ViolationKind::ConcurrentAttempts, id, at, format!("a dial of {between} was out"));
        }
        if !is_safe_to_repeat(listener, earlier, at) {
            self.violation(ViolationKind::MayRunTwice, id, at, format!("dial of {between} may have run"));
        }
    }
}

/// Whether a session may be sent again after an attempt. One with an idempotency key may, for as long as the key is known.
fn is_safe_to_repeat(listener: &ListenerSpec, attempt: &AttemptHistory, repeated_at: Timestamp) -> bool {
    match listener.kind {
        SessionKind::Repeatable => true,
        SessionKind::OnceOnly => attempt.never_ran(),
        SessionKind::Referenced => {
            attempt.never_ran() || repeated_at <= attempt.started_at + listener.window.0 + TOLERANCE
        }
    }
}
