//! The faults of a scenario as single events in order of time, those who are struck drawn from the seed.
use larklink_balancer::{TickDuration, Timestamp};
use rand::seq::SliceRandom;
use rand_chacha::ChaCha8Rng;

use crate::scenario::{FaultKind, FaultSpec, Scenario};

/// What is done to a proxy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProxyFault {
    Kill,
    /// Killed in the instant in which it has taken its next connection; it starts again so long after.
    KillAtAccept {
        back: Option<Timestamp>,
    },
    Start,
    /// SIGTERM; it starts again so long after its end.
    Stop {
        back: Option<Timestamp>,
    },
    Reload,
    /// Another process takes over.
    Replace,
}

#[derive(Clone, Debug, PartialEq)]
pub enum FaultEvent {
    Proxy(usize, ProxyFault),
    Silence {
        server: usize,
        until: Timestamp,
    },
    Pause {
        server: usize,
        until: Timestamp,
    },
    Die {
        server: usize,
    },
    Back {
        server: usize,
    },
    Drain {
        server: usize,
    },
    /// A server that drains goes.
    Gone {
        server: usize,
    },
    Drops {
        server: usize,
        one_in: u64,
    },
    StoreSlow {
        factor: f64,
    },
    ListLost {
        until: Timestamp,
    },
    ListStill {
        until: Timestamp,
    },
    DropClients {
        share: f64,
    },
}

/// A fault as a band, for plots: from, to, what.
pub type FaultBand = (TickDuration, TickDuration, String);

pub fn timeline(
    scenario: &Scenario,
    chance: &mut ChaCha8Rng,
) -> (Vec<(TickDuration, FaultEvent)>, Vec<FaultBand>) {
    let (mut events, mut bands) = (Vec::new(), Vec::new());
    for fault in &scenario.faults {
        let fault = fault.get_ref();
        for n in 0..fault.times.unwrap_or(1) {
            let at = fault.at.0 + TickDuration::from(n) * fault.every.unwrap_or_default().0;
            let struck = struck(scenario, fault, chance);
            // The steps before that of the one in that place.
            let after = |i: usize| {
                (i / fault.together.unwrap_or(1)) as TickDuration * fault.apart.unwrap_or_default().0
            };
            let last = after(struck.len().saturating_sub(1));
            bands.push((at, at + last + fault.lasts.unwrap_or_default().0, name(fault.kind).to_owned()));
            for (i, &which) in struck.iter().enumerate() {
                single(scenario, fault, at + after(i), which, &mut events);
            }
        }
    }
    events.sort_by_key(|&(at, _)| at);
    (events, bands)
}

fn name(what: FaultKind) -> &'static str {
    match what {
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

fn struck(scenario: &Scenario, fault: &FaultSpec, chance: &mut ChaCha8Rng) -> Vec<usize> {
    use FaultKind::*;
    let all: Vec<usize> = match fault.kind {
        StoreSlow | ListLost | ListStill | ClientsDropped => return vec![0],
        ProxyKilled | ProxyStopped | ProxyReloaded | ProxyReplaced => (0..scenario.proxies.count).collect(),
        what => {
            let fits = |listed| listed != (what == ServersJoin);
            let servers = scenario.each_server().enumerate();
            servers.filter(|(_, s)| fits(s.listed)).map(|(i, _)| i).collect()
        }
    };
    match (&fault.which, fault.share) {
        (Some(which), _) => which.clone(),
        (None, Some(share)) => {
            let mut drawn = all;
            drawn.shuffle(chance);
            drawn.truncate(((drawn.len() as f64 * share).round() as usize).max(1));
            drawn
        }
        (None, None) if fault.kind == ServersJoin => all,
        (None, None) => all.into_iter().take(1).collect(),
    }
}

fn single(
    scenario: &Scenario,
    fault: &FaultSpec,
    at: Timestamp,
    which: usize,
    events: &mut Vec<(TickDuration, FaultEvent)>,
) {
    let lasts = fault.lasts.map(|s| s.0);
    let until = at + lasts.unwrap_or(0);
    let (proxy, server) = (which, which);
    match fault.kind {
        FaultKind::ProxyKilled if fault.at_accept => {
            events.push((at, FaultEvent::Proxy(proxy, ProxyFault::KillAtAccept { back: lasts })));
        }
        FaultKind::ProxyKilled => {
            events.push((at, FaultEvent::Proxy(proxy, ProxyFault::Kill)));
            events.extend(lasts.map(|_| (until, FaultEvent::Proxy(proxy, ProxyFault::Start))));
        }
        FaultKind::ProxyStopped => {
            events.push((at, FaultEvent::Proxy(proxy, ProxyFault::Stop { back: lasts })))
        }
        FaultKind::ProxyReloaded => events.push((at, FaultEvent::Proxy(proxy, ProxyFault::Reload))),
        FaultKind::ProxyReplaced => events.push((at, FaultEvent::Proxy(proxy, ProxyFault::Replace))),
        FaultKind::ServerSilent => events.push((at, FaultEvent::Silence { server, until })),
        FaultKind::ServerPaused => events.push((at, FaultEvent::Pause { server, until })),
        FaultKind::ServerDied => {
            events.push((at, FaultEvent::Die { server }));
            events.extend(lasts.map(|_| (until, FaultEvent::Back { server })));
        }
        FaultKind::ServerDrains => {
            events.push((at, FaultEvent::Drain { server }));
            events.push((until, FaultEvent::Gone { server }));
            let back = scenario.each_server().nth(server).map_or(0, |s| s.back_after.0);
            events.push((until + back, FaultEvent::Back { server }));
        }
        FaultKind::ServerDrops => {
            events.push((at, FaultEvent::Drops { server, one_in: fault.factor.unwrap_or(1.0) as u64 }));
            events.push((until, FaultEvent::Drops { server, one_in: 0 }));
        }
        FaultKind::ServersJoin => events.push((at, FaultEvent::Back { server })),
        FaultKind::StoreSlow => {
            events.push((at, FaultEvent::StoreSlow { factor: fault.factor.unwrap_or(1.0) }));
            events.push((until, FaultEvent::StoreSlow { factor: 1.0 }));
        }
        FaultKind::ListLost => events.push((at, FaultEvent::ListLost { until })),
        FaultKind::ListStill => events.push((at, FaultEvent::ListStill { until })),
        FaultKind::ClientsDropped => {
            events.push((at, FaultEvent::DropClients { share: fault.share.unwrap_or(1.0) }));
        }
    }
}
