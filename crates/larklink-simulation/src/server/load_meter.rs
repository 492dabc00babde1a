//! Periodic load reports of a server.

use crate::duration::SECOND;
use crate::server::load_report::LoadReport;
use crate::time::{TickDuration, Timestamp};

/// Accumulates the work of one server and turns it into a load report at each interval.
pub(super) struct LoadMeter {
    interval: TickDuration,
    report: LoadReport,
    reported_at: Timestamp,
    /// Work completed since the last report, in microseconds.
    completed_work: f64,
    /// Work requested since the last report, in microseconds.
    requested_work: f64,
}

/// The sessions of a server at one point in time.
#[derive(Clone, Copy)]
pub(super) struct SessionLoad {
    /// The number of sessions, established or being set up.
    pub(super) count: usize,
    /// The load of the established ones, in microseconds of work per second.
    pub(super) load: f64,
}

impl LoadMeter {
    pub(super) fn new(interval: TickDuration) -> Self {
        Self {
            interval,
            report: LoadReport::default(),
            reported_at: 0,
            completed_work: 0.0,
            requested_work: 0.0,
        }
    }

    pub(super) fn add_requested_work(&mut self, work: f64) {
        self.requested_work += work;
    }

    pub(super) fn add_completed_work(&mut self, work: f64) {
        self.completed_work += work;
    }

    /// Returns the latest report.
    pub(super) fn report(&self) -> LoadReport {
        self.report
    }

    /// Returns whether a report is due.
    pub(super) fn is_due(&self, now: Timestamp) -> bool {
        now.saturating_sub(self.reported_at) >= self.interval
    }

    /// Makes a report and starts a new interval. `capacity` is in microseconds of work per second.
    pub(super) fn make_report(&mut self, now: Timestamp, capacity: f64, sessions: SessionLoad) {
        let duration = now.saturating_sub(self.reported_at) as f64;
        let possible = capacity * duration / SECOND as f64;
        // Established sessions count with their nominal load even if less of it has arrived. The work received counts
        // where it is greater: it includes session setups.
        let requested = (sessions.load * duration / SECOND as f64).max(self.requested_work);
        self.report = LoadReport {
            sessions: sessions.count,
            utilization: (self.completed_work / possible).min(1.0),
            load: requested / possible,
        };
        self.completed_work = 0.0;
        self.requested_work = 0.0;
        self.reported_at = now;
    }
}
