//! Goodput: sessions accepted in time a second, held against what the session store bears or, if that is less, what is
//! offered; and how long after the last restart of a proxy it is back for good.
use std::collections::BTreeMap;

use larklink_balancer::{TickDuration, Timestamp};
use serde::Serialize;

use crate::duration::SECOND;
use crate::event_log::{ClientResponse, EventKind, EventLog};
use crate::scenario::Scenario;

/// Goodput is taken over so long, and told of each span that begins a step after the one before.
const WINDOW: TickDuration = 2 * SECOND;
const STEP: TickDuration = SECOND / 10;
/// It is back where it is such a share of what the store bears or is offered.
pub const BACK: f64 = 0.9;

/// One span of a run: sessions a second.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct GoodputRate {
    /// When the span begins, tenths of a millisecond.
    pub from: Timestamp,
    pub accepted: f64,
    /// Clients that asked, each once however often it tried.
    pub offered: f64,
}

/// What became of goodput after the last restart of a proxy.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Recovery {
    /// When the last proxy that was stopped or killed answered again, tenths of a millisecond.
    pub restarted: TickDuration,
    /// From then to the first span from which on all are back, to the end of the run; nothing for never.
    pub took: Option<TickDuration>,
    /// How long after `restarted` the last span begins that the run is long enough for.
    pub told: Timestamp,
    /// From the last restart to the end of the run, and the least of any span that began in it.
    pub after: GoodputRate,
    pub least: GoodputRate,
    /// What the store bears, calls a second.
    pub bears: f64,
}

impl Recovery {
    /// What a scenario that demands it within such a span finds wrong.
    pub fn unmet(&self, within: TickDuration) -> Option<String> {
        match self.took {
            Some(took) if took <= within => None,
            Some(took) => Some(format!("goodput back {:.1} s after the last restart", seconds(took))),
            // A run that ends too early shows nothing, and must not pass for one that is well.
            None if self.told < within => Some("the run is too short to show that goodput comes back".into()),
            None => Some("goodput never came back after the last restart".into()),
        }
    }
}

impl std::fmt::Display for Recovery {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        let (after, at) = (self.after, seconds(self.restarted));
        match self.took {
            Some(took) => write!(f, "back {:.1} s after the last restart", seconds(took))?,
            None => write!(f, "never back after the last restart")?,
        }
        write!(
            f,
            ", at {at:.1} s; from then on {:.1} sessions a second accepted in time of {:.1} offered, the store bears {:.1}",
            after.accepted, after.offered, self.bears
        )
    }
}

fn seconds(t: TickDuration) -> f64 {
    t as f64 / SECOND as f64
}

/// When each client asked, in order, and when sessions were accepted in time.
struct Asked {
    opened: Vec<(TickDuration, usize)>,
    accepted: Vec<TickDuration>,
}

impl Asked {
    fn read(event_log: &EventLog) -> Self {
        let (mut opened, mut accepted, mut until) = (Vec::new(), Vec::new(), BTreeMap::new());
        for entry in &event_log.events {
            match &entry.kind {
                EventKind::Opened { request: ask, .. } => {
                    opened.push((entry.at, ask.client));
                    until.insert(ask.id, entry.at + ask.patience);
                }
                EventKind::Answered { id, response: ClientResponse::Accepted } => {
                    accepted.extend(until.remove(id).filter(|&until| entry.at <= until).map(|_| entry.at));
                }
                _ => {}
            }
        }
        Self { opened, accepted }
    }

    fn between(&self, from: Timestamp, to: TickDuration) -> GoodputRate {
        let span = seconds(to - from);
        let opened = &self.opened[part(&self.opened, |o| o.0 < from)..part(&self.opened, |o| o.0 < to)];
        let mut clients: Vec<_> = opened.iter().map(|o| o.1).collect();
        clients.sort_unstable();
        clients.dedup();
        let accepted = part(&self.accepted, |&at| at < to) - part(&self.accepted, |&at| at < from);
        GoodputRate { from, accepted: accepted as f64 / span, offered: clients.len() as f64 / span }
    }
}

fn part<T>(of: &[T], before: impl Fn(&T) -> bool) -> usize {
    of.partition_point(before)
}

/// Judges a book; nothing where no proxy was started again, or too late for any span.
pub fn recovery(scenario: &Scenario, event_log: &EventLog) -> Option<Recovery> {
    let up = |e: &&crate::event_log::LoggedEvent| e.at > 0 && matches!(e.kind, EventKind::ProxyUp { .. });
    let restarted = event_log.events.iter().rfind(up)?.at;
    let (length, bears) = (scenario.length.0, scenario.store.rate);
    let last = length.checked_sub(WINDOW).filter(|&last| last >= restarted)?;
    let asked = Asked::read(event_log);
    let spans: Vec<_> =
        (restarted..=last).step_by(STEP as usize).map(|from| asked.between(from, from + WINDOW)).collect();
    let back = |r: &&GoodputRate| r.accepted >= BACK * r.offered.min(bears);
    let well = spans.iter().rev().take_while(back).count();
    let took = (well > 0).then(|| spans[spans.len() - well].from - restarted);
    let share = |r: &GoodputRate| r.accepted / r.offered.min(bears).max(f64::MIN_POSITIVE);
    let least = spans.iter().copied().min_by(|a, b| share(a).total_cmp(&share(b)))?;
    let after = asked.between(restarted, length);
    Some(Recovery { restarted, took, told: last - restarted, after, least, bears })
}
