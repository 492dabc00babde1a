//! The metrics of the process: written where a thing happens, read by the admin endpoint in a thread of its own. Every
//! counter starts at 0 with the process.
mod rejection_streak;

use std::fmt::Write;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering::Relaxed};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

use crate::log::EndReason;
use rejection_streak::{RejectionStreak, rejection_cause};

/// A session's final answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FinalAnswer {
    /// It was accepted.
    Accepted,
    /// It was rejected.
    Rejected,
    /// It failed: any other answer, also where the session may have run.
    Failed,
}

/// The final answers to the sessions of one listener.
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
    is_ready: AtomicBool,
    rejections_without_attempt: AtomicUsize,
    /// How often the process has come to reject all sessions.
    rejecting_all_periods: AtomicUsize,
    rejection_streak: Mutex<RejectionStreak>,
}

/// Counts a session as in progress until it is dropped.
pub struct InProgress(Arc<Metrics>);

impl Drop for InProgress {
    fn drop(&mut self) {
        self.0.sessions_in_progress.fetch_sub(1, Relaxed);
    }
}

impl Metrics {
    /// Metrics for listeners of these names, all 0.
    pub fn new(listeners: &[String]) -> Arc<Self> {
        let listeners = listeners
            .iter()
            .map(|name| ListenerMetrics { name: name.clone(), answers: AnswerCounters::default() })
            .collect();
        Arc::new(Self { listeners, ..Self::default() })
    }

    /// A session of a listener, given by its place in the settings, got its final answer.
    pub fn record_answer(&self, listener: usize, answer: FinalAnswer) {
        let Some(ListenerMetrics { answers, .. }) = self.listeners.get(listener) else { return };
        let counter = match answer {
            FinalAnswer::Accepted => &answers.accepted,
            FinalAnswer::Rejected => &answers.rejected,
            FinalAnswer::Failed => &answers.failed,
        };
        counter.fetch_add(1, Relaxed);
    }

    /// A session was rejected without an attempt. If all sessions are, a further counter and the log record that once.
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

    /// An attempt begins, before its connection.
    pub fn record_attempt_started(&self, now: Instant) {
        let streak = std::mem::take(&mut *self.rejection_streak());
        if streak.rejects_all {
            let duration_ms = streak.duration_ms(now);
            tracing::info!(sessions = streak.sessions, duration_ms, "no longer rejecting all sessions");
        }
    }

    /// The complete open line of an attempt was sent.
    pub fn record_attempt_sent(&self) {
        self.attempts_sent.fetch_add(1, Relaxed);
    }

    /// A session started; it is in progress while the result is held.
    pub fn session_started(self: &Arc<Self>) -> InProgress {
        self.sessions_in_progress.fetch_add(1, Relaxed);
        InProgress(Arc::clone(self))
    }

    /// Sets how many endpoints are listed, and how many of them get no new sessions now.
    pub fn set_endpoints(&self, listed: usize, avoided: usize) {
        self.endpoints_listed.store(listed, Relaxed);
        self.endpoints_avoided.store(avoided, Relaxed);
    }

    /// Sets whether the process is ready.
    pub fn set_ready(&self, is_ready: bool) {
        self.is_ready.store(is_ready, Relaxed);
    }

    /// Whether connections are accepted, with the latest endpoint list that could be had, and no stop was asked for.
    pub fn is_ready(&self) -> bool {
        self.is_ready.load(Relaxed)
    }

    /// The body of `/metrics`: one `name=value` a line. This is where the names of the metrics are.
    pub fn text(&self) -> String {
        let mut text = String::new();
        let mut line = |name: &str, value: &AtomicUsize| {
            // Writing to a string does not fail.
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
        line("larklink_sessions_refused_without_dial_total", &self.rejections_without_attempt);
        line("larklink_refusing_all_periods_total", &self.rejecting_all_periods);
        text
    }

    fn rejection_streak(&self) -> MutexGuard<'_, RejectionStreak> {
        // Each change of the streak leaves it valid, so that a panic in another thread does no harm.
        self.rejection_streak.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
