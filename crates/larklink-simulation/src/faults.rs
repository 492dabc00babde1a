//! The faults of a scenario as single events in the order of time; their targets are drawn from the seed.
use rand::seq::SliceRandom;
use rand_chacha::ChaCha8Rng;
use serde::Serialize;

use crate::scenario::{FaultKind, FaultSpec, Scenario};
use crate::time::{TickDuration, Timestamp};

/// What happens to a proxy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProxyFault {
    /// It is killed.
    Kill,
    /// It is killed at the moment at which it has accepted its next connection.
    KillAtAccept {
        /// How long after that it starts again; never, if there is none.
        back: Option<TickDuration>,
    },
    /// It starts.
    Start,
    /// It shuts down gracefully.
    Stop {
        /// How long after its end it starts again; never, if there is none.
        back: Option<TickDuration>,
    },
    /// It reads its settings again.
    Reload,
    /// Another process takes over from it.
    Replace,
}

/// A single fault. The event log has its `Debug` text.
#[derive(Clone, Debug, PartialEq)]
pub enum FaultEvent {
    /// Something happens to the proxy of that number.
    Proxy(usize, ProxyFault),
    /// A server is silent.
    Silence {
        /// Its number.
        server: usize,
        /// Until when.
        until: Timestamp,
    },
    /// A server is paused.
    Pause {
        /// Its number.
        server: usize,
        /// Until when.
        until: Timestamp,
    },
    /// A server dies.
    Die {
        /// Its number.
        server: usize,
    },
    /// A server starts.
    Back {
        /// Its number.
        server: usize,
    },
    /// A server drains.
    Drain {
        /// Its number.
        server: usize,
    },
    /// A server that drains stops.
    Gone {
        /// Its number.
        server: usize,
    },
    /// A server resets sessions that it has just accepted.
    Drops {
        /// Its number.
        server: usize,
        /// One in so many; 0 for none.
        one_in: u64,
    },
    /// The session store is slowed down.
    StoreSlow {
        /// How many times longer it takes.
        factor: f64,
    },
    /// The endpoint list is unreachable.
    ListLost {
        /// Until when.
        until: Timestamp,
    },
    /// The endpoint list shows no changes.
    ListStill {
        /// Until when.
        until: Timestamp,
    },
    /// Clients lose their connections.
    DropClients {
        /// The share of those that are established.
        share: f64,
    },
}

/// A fault as a band, for plots. In a report it is an array of its fields.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(into = "(Timestamp, Timestamp, String)")]
pub struct FaultBand {
    /// When it begins.
    pub from: Timestamp,
    /// When it ends.
    pub to: Timestamp,
    /// The name of the fault.
    pub name: String,
}

impl From<FaultBand> for (Timestamp, Timestamp, String) {
    fn from(band: FaultBand) -> Self {
        (band.from, band.to, band.name)
    }
}

/// A fault and its time.
#[derive(Clone, Debug, PartialEq)]
pub struct TimedFault {
    /// When it happens.
    pub at: Timestamp,
    /// What happens.
    pub event: FaultEvent,
}

/// All faults of a run.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FaultTimeline {
    /// In the order of time.
    pub faults: Vec<TimedFault>,
    /// For plots, in the order of the scenario.
    pub bands: Vec<FaultBand>,
}

/// Draws the faults of a scenario.
pub fn timeline(scenario: &Scenario, rng: &mut ChaCha8Rng) -> FaultTimeline {
    let mut timeline = FaultTimeline::default();
    for fault in &scenario.faults {
        let fault = fault.get_ref();
        for repeat in 0..fault.repeats.unwrap_or(1) {
            let at = fault.at.0 + TickDuration::from(repeat) * fault.repeat_interval.unwrap_or_default().0;
            let targets = draw_targets(scenario, fault, rng);
            let delay = |index: usize| {
                let steps = (index / fault.batch_size.unwrap_or(1)) as TickDuration;
                steps * fault.interval.unwrap_or_default().0
            };
            let last_at = at + delay(targets.len().saturating_sub(1));
            let band_end = last_at + fault.duration.unwrap_or_default().0;
            let name = band_name(fault.kind).to_owned();
            timeline.bands.push(FaultBand { from: at, to: band_end, name });
            for (index, &target) in targets.iter().enumerate() {
                add_fault(scenario, fault, at + delay(index), target, &mut timeline.faults);
            }
        }
    }
    timeline.faults.sort_by_key(|fault| fault.at);
    timeline
}

fn band_name(kind: FaultKind) -> &'static str {
    match kind {
        FaultKind::ProxyKilled => "proxy killed",
        FaultKind::ProxyStopped => "proxy stopped",
        FaultKind::ProxyReloaded => "proxy reloaded",
        FaultKind::ProxyReplaced => "proxy replaced",
        FaultKind::ServerSilent => "server silent",
        FaultKind::ServerPaused => "server paused",
        FaultKind::ServerDied => "server died",
        FaultKind::ServerDrains => "server drains",
        FaultKind::ServerDrops => "server drops",
        FaultKind::ServersJoin => "servers join",
        FaultKind::StoreSlow => "store slow",
        FaultKind::ListLost => "list lost",
        FaultKind::ListStill => "list still",
        FaultKind::ClientsDropped => "clients dropped",
    }
}

/// The numbers of the proxies or servers that are struck.
fn draw_targets(scenario: &Scenario, fault: &FaultSpec, rng: &mut ChaCha8Rng) -> Vec<usize> {
    let joins = fault.kind == FaultKind::ServersJoin;
    let mut candidates: Vec<usize> = match fault.kind {
        FaultKind::StoreSlow | FaultKind::ListLost | FaultKind::ListStill | FaultKind::ClientsDropped => {
            return vec![0];
        }
        FaultKind::ProxyKilled
        | FaultKind::ProxyStopped
        | FaultKind::ProxyReloaded
        | FaultKind::ProxyReplaced => (0..scenario.proxies.count).collect(),
        _ => {
            let servers = scenario.each_server().enumerate();
            servers.filter(|(_, server)| server.listed != joins).map(|(index, _)| index).collect()
        }
    };
    if let Some(which) = &fault.targets {
        return which.clone();
    }
    if let Some(share) = fault.share {
        candidates.shuffle(rng);
        candidates.truncate(((candidates.len() as f64 * share).round() as usize).max(1));
    } else if !joins {
        candidates.truncate(1);
    }
    candidates
}

/// Adds what happens to one target.
fn add_fault(
    scenario: &Scenario,
    fault: &FaultSpec,
    at: Timestamp,
    target: usize,
    faults: &mut Vec<TimedFault>,
) {
    let lasts = fault.duration.map(|lasts| lasts.0);
    let until = at + lasts.unwrap_or(0);
    let mut add = |at, event| faults.push(TimedFault { at, event });
    let server = target;
    match fault.kind {
        FaultKind::ProxyKilled if fault.at_accept => {
            add(at, FaultEvent::Proxy(target, ProxyFault::KillAtAccept { back: lasts }));
        }
        FaultKind::ProxyKilled => {
            add(at, FaultEvent::Proxy(target, ProxyFault::Kill));
            if lasts.is_some() {
                add(until, FaultEvent::Proxy(target, ProxyFault::Start));
            }
        }
        FaultKind::ProxyStopped => add(at, FaultEvent::Proxy(target, ProxyFault::Stop { back: lasts })),
        FaultKind::ProxyReloaded => add(at, FaultEvent::Proxy(target, ProxyFault::Reload)),
        FaultKind::ProxyReplaced => add(at, FaultEvent::Proxy(target, ProxyFault::Replace)),
        FaultKind::ServerSilent => add(at, FaultEvent::Silence { server, until }),
        FaultKind::ServerPaused => add(at, FaultEvent::Pause { server, until }),
        FaultKind::ServerDied => {
            add(at, FaultEvent::Die { server });
            if lasts.is_some() {
                add(until, FaultEvent::Back { server });
            }
        }
        FaultKind::ServerDrains => {
            let restart_after = scenario.each_server().nth(server).map_or(0, |group| group.restart_after.0);
            add(at, FaultEvent::Drain { server });
            add(until, FaultEvent::Gone { server });
            add(until + restart_after, FaultEvent::Back { server });
        }
        FaultKind::ServerDrops => {
            let one_in = fault.factor.unwrap_or(1.0) as u64;
            add(at, FaultEvent::Drops { server, one_in });
            add(until, FaultEvent::Drops { server, one_in: 0 });
        }
        FaultKind::ServersJoin => add(at, FaultEvent::Back { server }),
        FaultKind::StoreSlow => {
            add(at, FaultEvent::StoreSlow { factor: fault.factor.unwrap_or(1.0) });
            add(until, FaultEvent::StoreSlow { factor: 1.0 });
        }
        FaultKind::ListLost => add(at, FaultEvent::ListLost { until }),
        FaultKind::ListStill => add(at, FaultEvent::ListStill { until }),
        FaultKind::ClientsDropped => {
            add(at, FaultEvent::DropClients { share: fault.share.unwrap_or(1.0) });
        }
    }
}
