//! Expands the faults of a scenario into single events ordered by time. Targets are selected at random from the seed.
use rand::seq::SliceRandom;
use rand_chacha::ChaCha8Rng;
use serde::Serialize;

use crate::scenario::{FaultKind, FaultSpec, Scenario};
use crate::time::{TickDuration, Timestamp};

/// A fault or an operation on a proxy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProxyFault {
    /// The proxy gets SIGKILL.
    Kill,
    /// The proxy gets SIGKILL when it has accepted its next connection.
    KillAtAccept {
        /// How long after that it restarts; `None` for never.
        back: Option<TickDuration>,
    },
    /// The proxy starts.
    Start,
    /// The proxy shuts down gracefully.
    Stop {
        /// How long after its exit it restarts; `None` for never.
        back: Option<TickDuration>,
    },
    /// The proxy reloads its settings.
    Reload,
    /// A successor process takes over.
    Replace,
}

/// A single fault event. Its `Debug` text is written to the event log, so variant and field names must not change.
#[derive(Clone, Debug, PartialEq)]
pub enum FaultEvent {
    /// A fault of the proxy with this index.
    Proxy(usize, ProxyFault),
    /// A server becomes silent: it neither reads nor writes, and its connections stay open.
    Silence {
        /// The index of the server.
        server: usize,
        /// When that ends.
        until: Timestamp,
    },
    /// A server pauses processing.
    Pause {
        /// The index of the server.
        server: usize,
        /// When that ends.
        until: Timestamp,
    },
    /// A server crashes.
    Die {
        /// The index of the server.
        server: usize,
    },
    /// A server starts.
    Back {
        /// The index of the server.
        server: usize,
    },
    /// A server starts draining.
    Drain {
        /// The index of the server.
        server: usize,
    },
    /// A draining server migrates its remaining sessions and stops.
    Gone {
        /// The index of the server.
        server: usize,
    },
    /// A server starts to reset some sessions right after it has accepted them, or stops doing so.
    Drops {
        /// The index of the server.
        server: usize,
        /// One in this many sessions is reset; 0 for none.
        one_in: u64,
    },
    /// The session store becomes slower, or recovers.
    StoreSlow {
        /// The factor by which calls take longer; 1 for normal speed.
        factor: f64,
    },
    /// The endpoint list becomes unreachable.
    ListLost {
        /// When that ends.
        until: Timestamp,
    },
    /// The endpoint list becomes stale: it is reachable, but shows no changes.
    ListStill {
        /// When that ends.
        until: Timestamp,
    },
    /// Client connections are reset.
    DropClients {
        /// The fraction of the established sessions that is affected.
        share: f64,
    },
}

/// The time span of a fault, drawn as a band in plots. Serialized as an array of its fields.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(into = "(Timestamp, Timestamp, String)")]
pub struct FaultBand {
    /// When the fault begins.
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

/// A fault event with its time.
#[derive(Clone, Debug, PartialEq)]
pub struct TimedFault {
    /// When it is injected.
    pub at: Timestamp,
    /// The fault event.
    pub event: FaultEvent,
}

/// The faults of a run.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FaultTimeline {
    /// The fault events, ordered by time.
    pub faults: Vec<TimedFault>,
    /// The time spans for plots, in the order of the scenario.
    pub bands: Vec<FaultBand>,
}

/// Expands the faults of a scenario; `rng` selects their targets.
pub fn timeline(scenario: &Scenario, rng: &mut ChaCha8Rng) -> FaultTimeline {
    let mut timeline = FaultTimeline::default();
    for fault in &scenario.faults {
        let fault = fault.get_ref();
        for repeat in 0..fault.repeats.unwrap_or(1) {
            let at = fault.at.0 + TickDuration::from(repeat) * fault.repeat_interval.unwrap_or_default().0;
            let targets = select_targets(scenario, fault, rng);
            let delay = |index: usize| {
                let batch = (index / fault.batch_size.unwrap_or(1)) as TickDuration;
                batch * fault.interval.unwrap_or_default().0
            };
            let last_at = at + delay(targets.len().saturating_sub(1));
            let band_end = last_at + fault.duration.unwrap_or_default().0;
            let name = band_name(fault.kind).to_owned();
            timeline.bands.push(FaultBand { from: at, to: band_end, name });
            for (index, &target) in targets.iter().enumerate() {
                add_fault_events(scenario, fault, at + delay(index), target, &mut timeline.faults);
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

/// Returns the indexes of the affected proxies or servers. Faults without a target get a single 0.
fn select_targets(scenario: &Scenario, fault: &FaultSpec, rng: &mut ChaCha8Rng) -> Vec<usize> {
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
            let servers = scenario.server_groups_by_index().enumerate();
            servers.filter(|(_, server)| server.listed != joins).map(|(index, _)| index).collect()
        }
    };
    if let Some(targets) = &fault.targets {
        return targets.clone();
    }
    if let Some(share) = fault.share {
        candidates.shuffle(rng);
        candidates.truncate(((candidates.len() as f64 * share).round() as usize).max(1));
    } else if !joins {
        candidates.truncate(1);
    }
    candidates
}

/// Adds the events of a fault for one target.
fn add_fault_events(
    scenario: &Scenario,
    fault: &FaultSpec,
    at: Timestamp,
    target: usize,
    faults: &mut Vec<TimedFault>,
) {
    let duration = fault.duration.map(|duration| duration.0);
    let until = at + duration.unwrap_or(0);
    let mut add = |at, event| faults.push(TimedFault { at, event });
    let server = target;
    match fault.kind {
        FaultKind::ProxyKilled if fault.at_accept => {
            add(at, FaultEvent::Proxy(target, ProxyFault::KillAtAccept { back: duration }));
        }
        FaultKind::ProxyKilled => {
            add(at, FaultEvent::Proxy(target, ProxyFault::Kill));
            if duration.is_some() {
                add(until, FaultEvent::Proxy(target, ProxyFault::Start));
            }
        }
        FaultKind::ProxyStopped => add(at, FaultEvent::Proxy(target, ProxyFault::Stop { back: duration })),
        FaultKind::ProxyReloaded => add(at, FaultEvent::Proxy(target, ProxyFault::Reload)),
        FaultKind::ProxyReplaced => add(at, FaultEvent::Proxy(target, ProxyFault::Replace)),
        FaultKind::ServerSilent => add(at, FaultEvent::Silence { server, until }),
        FaultKind::ServerPaused => add(at, FaultEvent::Pause { server, until }),
        FaultKind::ServerDied => {
            add(at, FaultEvent::Die { server });
            if duration.is_some() {
                add(until, FaultEvent::Back { server });
            }
        }
        FaultKind::ServerDrains => {
            let restart_after =
                scenario.server_groups_by_index().nth(server).map_or(0, |group| group.restart_after.0);
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
