//! What is counted, in one place: written where a thing happens, read by the operators' door, which has a thread
//! of its own. Every count starts at 0 with the process.
use std::fmt::Write;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering::Relaxed};

/// The final answers that sessions of one listener got.
#[derive(Debug, Default)]
struct Answers {
    accepted: AtomicUsize,
    refused: AtomicUsize,
    failed: AtomicUsize,
}

/// A session's final answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    Accepted,
    Refused,
    /// Any other line, as after a tear-down.
    Failed,
}

#[derive(Debug, Default)]
pub struct Figures {
    listeners: Vec<(String, Answers)>,
    tries: AtomicUsize,
    in_progress: AtomicUsize,
    known: AtomicUsize,
    skipped: AtomicUsize,
    ready: AtomicBool,
}

/// A session that was taken and has not ended, while this is held.
pub struct InProgress(Arc<Figures>);

impl Drop for InProgress {
    fn drop(&mut self) {
        self.0.in_progress.fetch_sub(1, Relaxed);
    }
}

impl Figures {
    pub fn new(listeners: &[String]) -> Arc<Self> {
        let listeners = listeners.iter().map(|name| (name.clone(), Answers::default())).collect();
        Arc::new(Self { listeners, ..Self::default() })
    }

    pub fn answered(&self, listener: usize, answer: Answer) {
        let Some((_, answers)) = self.listeners.get(listener) else { return };
        let count = match answer {
            Answer::Accepted => &answers.accepted,
            Answer::Refused => &answers.refused,
            Answer::Failed => &answers.failed,
        };
        count.fetch_add(1, Relaxed);
    }

    /// A session's first line was written whole to a server.
    pub fn tried(&self) {
        self.tries.fetch_add(1, Relaxed);
    }

    pub fn taken(self: &Arc<Self>) -> InProgress {
        self.in_progress.fetch_add(1, Relaxed);
        InProgress(Arc::clone(self))
    }

    /// How many servers the list has, and how many of them get nothing new now.
    pub fn servers(&self, known: usize, skipped: usize) {
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

    /// One `name=value` a line, each figure under the name that the operators' page gives it.
    pub fn text(&self) -> String {
        let mut text = String::new();
        let mut line = |name: &str, figure: &AtomicUsize| {
            let _ = writeln!(text, "app.{name}={}", figure.load(Relaxed));
        };
        for (name, answers) in &self.listeners {
            line(&format!("handled.{name}.passed"), &answers.accepted);
            line(&format!("handled.{name}.dropped"), &answers.refused);
            line(&format!("handled.{name}.bad_gateway"), &answers.failed);
        }
        line("upstream_tries", &self.tries);
        line("in_progress", &self.in_progress);
        line("known_servers", &self.known);
        line("skipped_servers", &self.skipped);
        text
    }
}
