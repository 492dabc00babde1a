//! Goodput: sessions accepted in time a second, compared with the rate of the session store or, if that is less, with what
//! is offered; and how long after the last restart of a proxy it has recovered for good.
use std::collections::BTreeMap;
use std::fmt;

use serde::Serialize;

use crate::duration::SECOND;
use crate::event_log::{ClientResponse, EventKind, EventLog, LoggedEvent};
use crate::scenario::Scenario;
use crate::time::{TickDuration, Timestamp};

/// Goodput is measured over windows of this length.
const WINDOW: TickDuration = 2 * SECOND;
/// Each window begins so long after the one before.
const STEP: TickDuration = SECOND / 10;
/// Goodput has recovered at this share of the session store's rate or of what is offered.
pub const BACK: f64 = 0.9;

/// The rates of one window, in sessions a second.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct GoodputRate {
    /// When the window begins, tenths of a millisecond.
    pub from: Timestamp,
    /// Sessions accepted in time.
    pub accepted: f64,
    /// Clients that opened a session, each once however often it retried.
    pub offered: f64,
}

/// What became of goodput after the last restart of a proxy.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Recovery {
    /// When the last proxy that was stopped or killed answered again, tenths of a millisecond.
    pub restarted: Timestamp,
    /// From then to the first window from which on goodput has recovered, to the end of the run; none for never.
    pub took: Option<TickDuration>,
    /// How long after `restarted` the last window begins that the run is long enough for.
    #[serde(rename = "told")]
    pub observed_for: TickDuration,
    /// The rates from the last restart to the end of the run.
    pub after: GoodputRate,
    /// The window with the least share.
    pub least: GoodputRate,
    /// The session store's rate, calls a second.
    #[serde(rename = "bears")]
    pub store_rate: f64,
}

impl Recovery {
    /// What is wrong for a scenario that requires recovery within a time; nothing if it is met.
    pub fn unmet(&self, within: TickDuration) -> Option<String> {
        match self.took {
            Some(took) if took <= within => None,
            Some(took) => Some(format!("goodput back {:.1} s after the last restart", seconds(took))),
            // A run that ends too early shows nothing, and must not pass for one that recovered.
            None if self.observed_for < within => {
                Some("the run is too short to show that goodput comes back".into())
            }
            None => Some("goodput never came back after the last restart".into()),
        }
    }
}

impl fmt::Display for Recovery {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let after = self.after;
        let at = seconds(self.restarted);
        match self.took {
            Some(took) => write!(f, "back {:.1} s after the last restart", seconds(took))?,
            None => write!(f, "never back after the last restart")?,
        }
        write!(
            f,
            ", at {at:.1} s; from then on {:.1} sessions a second accepted in time of {:.1} offered, the store bears {:.1}",
            after.accepted, after.offered, self.store_rate
        )
    }
}

fn seconds(duration: TickDuration) -> f64 {
    duration as f64 / SECOND as f64
}

/// A session that a client opened.
struct Opening {
    at: Timestamp,
    client: usize,
}

/// When sessions were opened and accepted.
struct SessionTimes {
    /// In the order of time.
    opened: Vec<Opening>,
    /// Of sessions accepted in time, in the order of time.
    accepted_at: Vec<Timestamp>,
}

impl SessionTimes {
    fn read(event_log: &EventLog) -> Self {
        let mut opened = Vec::new();
        let mut accepted_at = Vec::new();
        let mut patient_until = BTreeMap::new();
        for event in &event_log.events {
            match &event.kind {
                EventKind::Opened { request, .. } => {
                    opened.push(Opening { at: event.at, client: request.client });
                    patient_until.insert(request.id, event.at + request.patience);
                }
                EventKind::Answered { id, response: ClientResponse::Accepted } => {
                    let until = patient_until.remove(id);
                    if until.is_some_and(|until| event.at <= until) {
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

/// Judges an event log; none if no proxy was started again, or too late for any window.
pub fn recovery(scenario: &Scenario, event_log: &EventLog) -> Option<Recovery> {
    let is_restart = |event: &&LoggedEvent| event.at > 0 && matches!(event.kind, EventKind::ProxyUp { .. });
    let restarted = event_log.events.iter().rfind(is_restart)?.at;
    let length = scenario.length.0;
    let store_rate = scenario.session_store.rate;
    let last = length.checked_sub(WINDOW).filter(|&last| last >= restarted)?;
    let times = SessionTimes::read(event_log);
    let starts = (restarted..=last).step_by(STEP as usize);
    let windows: Vec<_> = starts.map(|from| times.rate(from, from + WINDOW)).collect();
    let wanted = |rate: &GoodputRate| rate.offered.min(store_rate);
    let has_recovered = |rate: &&GoodputRate| rate.accepted >= BACK * wanted(rate);
    let recovered = windows.iter().rev().take_while(has_recovered).count();
    let took = (recovered > 0).then(|| windows[windows.len() - recovered].from - restarted);
    let share = |rate: &GoodputRate| rate.accepted / wanted(rate).max(f64::MIN_POSITIVE);
    let least = windows.iter().copied().min_by(|a, b| share(a).total_cmp(&share(b)))?;
    let after = times.rate(restarted, length);
    Some(Recovery { restarted, took, observed_for: last - restarted, after, least, store_rate })
}
