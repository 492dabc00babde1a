//! The load reports of a server.

use crate::duration::SECOND;
use crate::server::load_report::LoadReport;
use crate::time::{TickDuration, Timestamp};

/// Measures the load of one server, and makes a report from time to time.
pub(super) struct LoadMeter {
    interval: TickDuration,
    report: LoadReport,
    reported_at: Timestamp,
    /// Work done since the last report, microseconds.
    worked: f64,
    /// Work asked for since the last report, microseconds.
    asked: f64,
}

/// The sessions of a server at one moment.
#[derive(Clone, Copy)]
pub(super) struct SessionLoad {
    /// Sessions that are held, established or being set up.
    pub(super) held: usize,
    /// The load of those that are established, microseconds of work a second.
    pub(super) load: f64,
}

impl LoadMeter {
    pub(super) fn new(interval: TickDuration) -> Self {
        Self { interval, report: LoadReport::default(), reported_at: 0, worked: 0.0, asked: 0.0 }
    }

    pub(super) fn note_asked(&mut self, work: f64) {
        self.asked += work;
    }

    pub(super) fn note_worked(&mut self, work: f64) {
        self.worked += work;
    }

    /// The latest report.
    pub(super) fn report(&self) -> LoadReport {
        self.report
    }

    /// Whether a report is due.
    pub(super) fn is_due(&self, now: Timestamp) -> bool {
        now.saturating_sub(self.reported_at) >= self.interval
    }

    /// Makes a report; `capacity` is in microseconds of work a second.
    pub(super) fn make_report(&mut self, now: Timestamp, capacity: f64, sessions: SessionLoad) {
        let duration = now.saturating_sub(self.reported_at) as f64;
        let possible = capacity * duration / SECOND as f64;
        // Sessions ask for their load, whatever has come of it yet; set-ups come on top.
        let asked = (sessions.load * duration / SECOND as f64).max(self.asked);
        self.report = LoadReport {
            sessions: sessions.held,
            utilization: (self.worked / possible).min(1.0),
            load: asked / possible,
        };
        self.worked = 0.0;
        self.asked = 0.0;
        self.reported_at = now;
    }
}
