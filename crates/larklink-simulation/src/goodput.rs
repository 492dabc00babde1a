//! Goodput is the rate of sessions accepted in time. This module compares it with the capacity of the session store, in
//! calls per second, or with the offered load if that is less, and measures how long after the last restart of a proxy it
//! recovers for good.
use std::collections::BTreeMap;
use std::fmt;

use serde::Serialize;

use crate::duration::SECOND;
use crate::event_log::{ClientResponse, EventKind, EventLog, LoggedEvent};
use crate::scenario::Scenario;
use crate::time::{TickDuration, Timestamp};

/// Length of the sliding window over which rates are measured.
const WINDOW: TickDuration = 2 * SECOND;
/// Distance between the starts of two successive windows.
const WINDOW_STEP: TickDuration = SECOND / 10;
/// Goodput counts as recovered at this fraction of the session store's capacity, or of the offered load if that is less.
pub const RECOVERY_THRESHOLD: f64 = 0.9;

/// The rates of one window, in sessions per second.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct GoodputRate {
    /// The start of the window, in tenths of a millisecond.
    pub from: Timestamp,
    /// Sessions accepted in time.
    pub accepted: f64,
    /// Clients that opened a session; a client that retries within the window counts once.
    pub offered: f64,
}

/// The recovery of goodput after the last restart of a proxy.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Recovery {
    /// When the last restarted proxy accepted connections again, in tenths of a millisecond.
    #[serde(rename = "restarted")]
    pub restarted_at: Timestamp,
    /// The time from the restart to the start of the first window from which on goodput stays recovered until the end
    /// of the run; `None` if it never does.
    #[serde(rename = "took")]
    pub recovery_time: Option<TickDuration>,
    /// The time from the restart to the start of the last window that fits into the run.
    #[serde(rename = "told")]
    pub observed_for: TickDuration,
    /// The rates over the time from the last restart to the end of arrivals.
    #[serde(rename = "after")]
    pub since_restart: GoodputRate,
    /// The window in which goodput was lowest relative to its target.
    #[serde(rename = "least")]
    pub lowest: GoodputRate,
    /// The capacity of the session store, in calls per second.
    #[serde(rename = "bears")]
    pub store_rate: f64,
}

impl Recovery {
    /// Why the requirement to recover within a time is not met; `None` if it is met.
    pub fn unmet_requirement(&self, within: TickDuration) -> Option<String> {
        match self.recovery_time {
            Some(recovery_time) if recovery_time <= within => None,
            Some(recovery_time) => {
                Some(format!("goodput came back only {:.1} s after the last restart", seconds(recovery_time)))
            }
            // A run that ends too early proves nothing, so it must not pass as recovered.
            None if self.observed_for < within => {
                Some("the run is too short to show whether goodput comes back".into())
            }
            None => Some("goodput never came back after the last restart".into()),
        }
    }
}

impl fmt::Display for Recovery {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let since_restart = self.since_restart;
        let at = seconds(self.restarted_at);
        match self.recovery_time {
            Some(recovery_time) => {
                write!(f, "recovered {:.1} s after the last restart", seconds(recovery_time))?
            }
            None => write!(f, "never recovered after the last restart")?,
        }
        write!(
            f,
            ", at {at:.1} s; since then {:.1} sessions per second accepted in time, {:.1} offered, \
             session store rate {:.1} calls per second",
            since_restart.accepted, since_restart.offered, self.store_rate
        )
    }
}

fn seconds(duration: TickDuration) -> f64 {
    duration as f64 / SECOND as f64
}

/// The opening of a session by a client.
struct Opening {
    at: Timestamp,
    client: usize,
}

/// When sessions were opened, and when those accepted in time were accepted.
struct SessionTimes {
    /// Ordered by time.
    opened: Vec<Opening>,
    /// Only of sessions accepted within the client's dial timeout; ordered by time.
    accepted_at: Vec<Timestamp>,
}

impl SessionTimes {
    fn from_log(event_log: &EventLog) -> Self {
        let mut opened = Vec::new();
        let mut accepted_at = Vec::new();
        let mut response_deadlines = BTreeMap::new();
        for event in &event_log.events {
            match &event.kind {
                EventKind::Opened { request, .. } => {
                    opened.push(Opening { at: event.at, client: request.client });
                    response_deadlines.insert(request.id, event.at + request.dial_timeout);
                }
                EventKind::Answered { id, response: ClientResponse::Accepted } => {
                    let deadline = response_deadlines.remove(id);
                    if deadline.is_some_and(|deadline| event.at <= deadline) {
                        accepted_at.push(event.at);
                    }
                }
                _ => {}
            }
        }
        Self { opened, accepted_at }
    }

    fn rate(&self, from: Timestamp, to: Timestamp) -> GoodputRate {
        let duration = seconds(to - from);
        let first = self.opened.partition_point(|opening| opening.at < from);
        let end = self.opened.partition_point(|opening| opening.at < to);
        let mut clients: Vec<_> = self.opened[first..end].iter().map(|opening| opening.client).collect();
        clients.sort_unstable();
        clients.dedup();
        let accepted_before = |time: Timestamp| self.accepted_at.partition_point(|&at| at < time);
        let accepted = accepted_before(to) - accepted_before(from);
        GoodputRate { from, accepted: accepted as f64 / duration, offered: clients.len() as f64 / duration }
    }
}

/// Measures the recovery in an event log. Returns `None` if no proxy was restarted, or if it restarted too late for any
/// window to fit into the run.
pub fn recovery(scenario: &Scenario, event_log: &EventLog) -> Option<Recovery> {
    let is_restart = |event: &&LoggedEvent| event.at > 0 && matches!(event.kind, EventKind::ProxyUp { .. });
    let restarted_at = event_log.events.iter().rfind(is_restart)?.at;
    let length = scenario.length.0;
    let store_rate = scenario.session_store.rate;
    let last_start = length.checked_sub(WINDOW).filter(|&start| start >= restarted_at)?;
    let times = SessionTimes::from_log(event_log);
    let starts = (restarted_at..=last_start).step_by(WINDOW_STEP as usize);
    let windows: Vec<_> = starts.map(|from| times.rate(from, from + WINDOW)).collect();
    let target = |rate: &GoodputRate| rate.offered.min(store_rate);
    let has_recovered = |rate: &&GoodputRate| rate.accepted >= RECOVERY_THRESHOLD * target(rate);
    let recovered = windows.iter().rev().take_while(has_recovered).count();
    let recovery_time = (recovered > 0).then(|| windows[windows.len() - recovered].from - restarted_at);
    let target_ratio = |rate: &GoodputRate| rate.accepted / target(rate).max(f64::MIN_POSITIVE);
    let lowest = windows.iter().copied().min_by(|a, b| target_ratio(a).total_cmp(&target_ratio(b)))?;
    let since_restart = times.rate(restarted_at, length);
    Some(Recovery {
        restarted_at,
        recovery_time,
        observed_for: last_start - restarted_at,
        since_restart,
        lowest,
        store_rate,
    })
}
