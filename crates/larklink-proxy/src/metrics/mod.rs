//! The metrics of the process. The proxy's thread updates them, and the thread of the admin endpoint reads them. All
//! counters start at 0 with the process.
mod rejection_streak;

use std::fmt::Write;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering::Relaxed};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

use crate::log::EndReason;
use rejection_streak::{RejectionStreak, rejection_cause};

/// The final answer to a session.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FinalAnswer {
    /// The session was accepted.
    Accepted,
    /// The session was rejected.
    Rejected,
    /// Any other answer, including those to sessions that may have run.
    Failed,
}

/// Counts of the final answers to the sessions of one listener.
#[derive(Debug, Default)]
struct AnswerCounters {
    accepted: AtomicUsize,
    rejected: AtomicUsize,
    failed: AtomicUsize,
}

#[derive(Debug)]
struct ListenerMetrics {
    name: String,
    answers: AnswerCounters,
}

/// All metrics of a process.
#[derive(Debug, Default)]
pub struct Metrics {
    listeners: Vec<ListenerMetrics>,
    attempts_sent: AtomicUsize,
    sessions_in_progress: AtomicUsize,
    endpoints_listed: AtomicUsize,
    endpoints_avoided: AtomicUsize,
    lists_too_long: AtomicUsize,
    is_ready: AtomicBool,
    rejections_without_attempt: AtomicUsize,
    /// The number of periods in which all sessions were rejected.
    rejecting_all_periods: AtomicUsize,
    rejection_streak: Mutex<RejectionStreak>,
}

/// Counts a session as in progress until dropped.
pub struct InProgress(Arc<Metrics>);

impl Drop for InProgress {
    fn drop(&mut self) {
        self.0.sessions_in_progress.fetch_sub(1, Relaxed);
    }
}

impl Metrics {
    /// Creates the metrics for listeners with these names, all 0.
    pub fn new(listeners: &[String]) -> Arc<Self> {
        let listeners = listeners
            .iter()
            .map(|name| ListenerMetrics { name: name.clone(), answers: AnswerCounters::default() })
            .collect();
        Arc::new(Self { listeners, ..Self::default() })
    }

    /// Records the final answer to a session of the listener with this index in the settings.
    pub fn record_answer(&self, listener: usize, answer: FinalAnswer) {
        let Some(ListenerMetrics { answers, .. }) = self.listeners.get(listener) else { return };
        let counter = match answer {
            FinalAnswer::Accepted => &answers.accepted,
            FinalAnswer::Rejected => &answers.rejected,
            FinalAnswer::Failed => &answers.failed,
        };
        counter.fetch_add(1, Relaxed);
    }

    /// Records that a session was rejected without an attempt. The start of a period in which all sessions are rejected
    /// is counted and logged once.
    pub fn record_rejection_without_attempt(&self, reason: EndReason, now: Instant) {
        self.rejections_without_attempt.fetch_add(1, Relaxed);
        let mut streak = self.rejection_streak();
        if !streak.record(now) {
            return;
        }
        self.rejecting_all_periods.fetch_add(1, Relaxed);
        let listed = self.endpoints_listed.load(Relaxed);
        let cause = rejection_cause(reason, listed, self.endpoints_avoided.load(Relaxed));
        let sessions = streak.sessions;
        let duration_ms = streak.duration_ms(now);
        tracing::warn!(%reason, cause, sessions, duration_ms, "rejecting all sessions");
    }

    /// Records the start of an attempt, before it connects. This ends a period in which all sessions were rejected.
    pub fn record_attempt_started(&self, now: Instant) {
        let streak = std::mem::take(&mut *self.rejection_streak());
        if streak.rejects_all {
            let duration_ms = streak.duration_ms(now);
            tracing::info!(sessions = streak.sessions, duration_ms, "no longer rejecting all sessions");
        }
    }

    /// Records that the complete open line of an attempt was sent.
    pub fn record_attempt_sent(&self) {
        self.attempts_sent.fetch_add(1, Relaxed);
    }

    /// Records that discovery sent a longer endpoint list than is accepted, which was not applied.
    pub fn record_list_too_long(&self) {
        self.lists_too_long.fetch_add(1, Relaxed);
    }

    /// Records the start of a session, which is in progress until the returned guard is dropped.
    pub fn session_started(self: &Arc<Self>) -> InProgress {
        self.sessions_in_progress.fetch_add(1, Relaxed);
        InProgress(Arc::clone(self))
    }

    /// Sets how many endpoints are listed, and how many of them currently get no new sessions.
    pub fn set_endpoints(&self, listed: usize, avoided: usize) {
        self.endpoints_listed.store(listed, Relaxed);
        self.endpoints_avoided.store(avoided, Relaxed);
    }

    /// Sets whether the process is ready.
    pub fn set_ready(&self, is_ready: bool) {
        self.is_ready.store(is_ready, Relaxed);
    }

    /// Whether the process is ready: it accepts connections, has the endpoint list or has given up waiting for it, and
    /// is not shutting down.
    pub fn is_ready(&self) -> bool {
        self.is_ready.load(Relaxed)
    }

    /// Returns the body of `/metrics`, one `name=value` per line. The names of all metrics are defined here.
    pub fn text(&self) -> String {
        let mut text = String::new();
        let mut line = |name: &str, value: &AtomicUsize| {
            // Writing to a string cannot fail.
            let _ = writeln!(text, "{name}={}", value.load(Relaxed));
        };
        for ListenerMetrics { name, answers } in &self.listeners {
            line(&format!("app.handled.{name}.passed"), &answers.accepted);
            line(&format!("app.handled.{name}.dropped"), &answers.rejected);
            line(&format!("app.handled.{name}.bad_gateway"), &answers.failed);
        }
        line("app.upstream_tries", &self.attempts_sent);
        line("app.in_progress", &self.sessions_in_progress);
        line("app.known_servers", &self.endpoints_listed);
        line("app.skipped_servers", &self.endpoints_avoided);
        line("larklink_discovery_lists_too_long_total", &self.lists_too_long);
        line("larklink_sessions_refused_without_dial_total", &self.rejections_without_attempt);
        line("larklink_refusing_all_periods_total", &self.rejecting_all_periods);
        text
    }

    fn rejection_streak(&self) -> MutexGuard<'_, RejectionStreak> {
        // The streak is valid after every assignment, so a mutex poisoned by a panic can be used.
        self.rejection_streak.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
