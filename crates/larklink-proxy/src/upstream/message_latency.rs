//! What a message takes at each server, from the lines that go there and come back, pure. A server is spoken
//! of as the decisions expect: once a second while that is over a third of the shortest message target, and
//! once more when it is back under.
use std::collections::HashMap;

use larklink_balancer::{TickDuration, Timestamp};

const SECOND: TickDuration = 10_000;

#[derive(Default)]
struct Echoes {
    since: Timestamp,
    sum: TickDuration,
    count: TickDuration,
    told: bool,
}

pub struct LatencyEstimator {
    over: Timestamp,
    servers: HashMap<u32, Echoes>,
}

impl LatencyEstimator {
    pub fn new(message_target: TickDuration) -> Self {
        Self { over: message_target / 3, servers: HashMap::new() }
    }

    /// A line came back from a server after so long: what to note, if it is time to.
    pub fn record_answer(&mut self, now: Timestamp, server: u32, took: TickDuration) -> Option<TickDuration> {
        let e = self.servers.entry(server).or_default();
        (e.sum, e.count) = (e.sum + took, e.count + 1);
        if now < e.since + SECOND {
            return None;
        }
        let mean = e.sum / e.count;
        let tell = mean > self.over || e.told;
        *e = Echoes { since: now, told: mean > self.over, ..Echoes::default() };
        tell.then_some(mean)
    }
}
