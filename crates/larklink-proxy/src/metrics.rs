//! What is counted, in one place: written where a thing happens, read by the operators' door, which has a thread
//! of its own. Every count starts at 0 with the process.
use std::fmt::Write;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering::Relaxed};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use crate::log::EndReason;

/// A process serves nobody that has refused every session for so long on end, with no dial in between. What comes
/// further apart than that counts anew, and of fewer than so many it may be chance.
pub const REFUSING_ALL: Duration = Duration::from_secs(4);
pub const REFUSING_ALL_LEAST: usize = 10;

/// The final answers that sessions of one listener got.
#[derive(Debug, Default)]
struct Answers {
    accepted: AtomicUsize,
    refused: AtomicUsize,
    failed: AtomicUsize,
}

/// A session's final answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FinalAnswer {
    Accepted,
    Rejected,
    /// Any other line, as after a tear-down.
    Failed,
}

#[derive(Debug, Default)]
pub struct Metrics {
    listeners: Vec<(String, Answers)>,
    tries: AtomicUsize,
    in_progress: AtomicUsize,
    known: AtomicUsize,
    skipped: AtomicUsize,
    ready: AtomicBool,
    refused_undialled: AtomicUsize,
    refusing_all: AtomicUsize,
    refusals: Mutex<Refusals>,
}

/// Sessions that were refused without a dial since the last dial.
#[derive(Clone, Copy, Debug, Default)]
struct Refusals {
    sessions: usize,
    /// When the first and the last of them were.
    span: Option<(Instant, Instant)>,
    told: bool,
}

impl Refusals {
    /// Whether it becomes time to tell of them.
    fn add(&mut self, now: Instant) -> bool {
        let fresh = |(_, last): &(Instant, Instant)| self.told || *last + REFUSING_ALL >= now;
        let since = self.span.filter(fresh).map(|(since, _)| since);
        if since.is_none() {
            *self = Self::default();
        }
        let since = since.unwrap_or(now);
        (self.sessions, self.span) = (self.sessions + 1, Some((since, now)));
        let long = now.saturating_duration_since(since) >= REFUSING_ALL;
        let tells = long && self.sessions >= REFUSING_ALL_LEAST && !self.told;
        self.told |= tells;
        tells
    }

    fn ms(&self, now: Instant) -> u64 {
        self.span.map_or(0, |(since, _)| now.saturating_duration_since(since).as_millis() as u64)
    }
}

/// A session that was taken and has not ended, while this is held.
pub struct InProgress(Arc<Metrics>);

impl Drop for InProgress {
    fn drop(&mut self) {
        self.0.in_progress.fetch_sub(1, Relaxed);
    }
}

impl Metrics {
    pub fn new(listeners: &[String]) -> Arc<Self> {
        let listeners = listeners.iter().map(|name| (name.clone(), Answers::default())).collect();
        Arc::new(Self { listeners, ..Self::default() })
    }

    pub fn record_answer(&self, listener: usize, answer: FinalAnswer) {
        let Some((_, answers)) = self.listeners.get(listener) else { return };
        let count = match answer {
            FinalAnswer::Accepted => &answers.accepted,
            FinalAnswer::Rejected => &answers.refused,
            FinalAnswer::Failed => &answers.failed,
        };
        count.fetch_add(1, Relaxed);
    }

    /// A session was refused with no dial made for it; the second such count and the log tell once nobody is served.
    pub fn record_rejection_without_attempt(&self, reason: EndReason, now: Instant) {
        self.refused_undialled.fetch_add(1, Relaxed);
        let mut refusals = self.refusals.lock().unwrap_or_else(PoisonError::into_inner);
        if !refusals.add(now) {
            return;
        }
        self.refusing_all.fetch_add(1, Relaxed);
        let why = match (reason, self.known.load(Relaxed), self.skipped.load(Relaxed)) {
            (EndReason::NoDescriptors, ..) => "no descriptors are left",
            (EndReason::Shutdown, ..) => "the proxy stops",
            (_, 0, _) => "the list has no servers",
            (_, known, skipped) if skipped >= known => "each server drains, is silent or fails",
            _ => "the servers that may be dialled are full or cold, or dials are held back",
        };
        let (sessions, ms) = (refusals.sessions, refusals.ms(now));
        tracing::warn!(reason = %reason, why, sessions, ms, "refuses all that comes");
    }

    /// A dial begins.
    pub fn record_attempt_started(&self, now: Instant) {
        let mut refusals = self.refusals.lock().unwrap_or_else(PoisonError::into_inner);
        let was = std::mem::take(&mut *refusals);
        if was.told {
            tracing::info!(sessions = was.sessions, ms = was.ms(now), "no longer refuses all that comes");
        }
    }

    /// A session's first line was written whole to a server.
    pub fn record_attempt_sent(&self) {
        self.tries.fetch_add(1, Relaxed);
    }

    pub fn session_started(self: &Arc<Self>) -> InProgress {
        self.in_progress.fetch_add(1, Relaxed);
        InProgress(Arc::clone(self))
    }

    /// How many servers the list has, and how many of them get nothing new now.
    pub fn set_endpoints(&self, known: usize, skipped: usize) {
        self.known.store(known, Relaxed);
        self.skipped.store(skipped, Relaxed);
    }

    pub fn set_ready(&self, ready: bool) {
        self.ready.store(ready, Relaxed);
    }

    /// Clients' connections are taken, with a list as fresh as can be had, and no stop was asked for.
    pub fn is_ready(&self) -> bool {
        self.ready.load(Relaxed)
    }

    /// One `name=value` a line, each figure under the name that the operators' page gives it; those that it does not
    /// name are called as counters mostly are.
    pub fn text(&self) -> String {
        let mut text = String::new();
        let mut line = |name: &str, figure: &AtomicUsize| {
            let _ = writeln!(text, "{name}={}", figure.load(Relaxed));
        };
        for (name, answers) in &self.listeners {
            line(&format!("app.handled.{name}.passed"), &answers.accepted);
            line(&format!("app.handled.{name}.dropped"), &answers.refused);
            line(&format!("app.handled.{name}.bad_gateway"), &answers.failed);
        }
        line("app.upstream_tries", &self.tries);
        line("app.in_progress", &self.in_progress);
        line("app.known_servers", &self.known);
        line("app.skipped_servers", &self.skipped);
        line("larklink_sessions_refused_without_dial_total", &self.refused_undialled);
        line("larklink_refusing_all_periods_total", &self.refusing_all);
        text
    }
}
