//! The faults of a scenario as single events in order of time, those who are struck drawn from the seed.
use larklink_balancer::{TickDuration, Timestamp};
use rand::seq::SliceRandom;
use rand_chacha::ChaCha8Rng;

use crate::scenario::{Fault, Scenario, Trouble};

/// What is done to a proxy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Upon {
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
pub enum Event {
    Proxy(usize, Upon),
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
pub type Band = (TickDuration, TickDuration, String);

pub fn timeline(scenario: &Scenario, chance: &mut ChaCha8Rng) -> (Vec<(TickDuration, Event)>, Vec<Band>) {
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
            bands.push((at, at + last + fault.lasts.unwrap_or_default().0, name(fault.what).to_owned()));
            for (i, &which) in struck.iter().enumerate() {
                single(scenario, fault, at + after(i), which, &mut events);
            }
        }
    }
    events.sort_by_key(|&(at, _)| at);
    (events, bands)
}

fn name(what: Trouble) -> &'static str {
    match what {
        Trouble::ProxyKilled => "proxy killed",
        Trouble::ProxyStopped => "proxy stopped",
        Trouble::ProxyReloaded => "proxy reloaded",
        Trouble::ProxyReplaced => "proxy replaced",
        Trouble::ServerSilent => "server silent",
        Trouble::ServerPaused => "server paused",
        Trouble::ServerDied => "server died",
        Trouble::ServerDrains => "server drains",
        Trouble::ServerDrops => "server drops",
        Trouble::ServersJoin => "servers join",
        Trouble::StoreSlow => "store slow",
        Trouble::ListLost => "list lost",
        Trouble::ListStill => "list still",
        Trouble::ClientsDropped => "clients dropped",
    }
}

fn struck(scenario: &Scenario, fault: &Fault, chance: &mut ChaCha8Rng) -> Vec<usize> {
    use Trouble::*;
    let all: Vec<usize> = match fault.what {
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
        (None, None) if fault.what == ServersJoin => all,
        (None, None) => all.into_iter().take(1).collect(),
    }
}

fn single(
    scenario: &Scenario,
    fault: &Fault,
    at: Timestamp,
    which: usize,
    events: &mut Vec<(TickDuration, Event)>,
) {
    let lasts = fault.lasts.map(|s| s.0);
    let until = at + lasts.unwrap_or(0);
    let (proxy, server) = (which, which);
    match fault.what {
        Trouble::ProxyKilled if fault.at_accept => {
            events.push((at, Event::Proxy(proxy, Upon::KillAtAccept { back: lasts })));
        }
        Trouble::ProxyKilled => {
            events.push((at, Event::Proxy(proxy, Upon::Kill)));
            events.extend(lasts.map(|_| (until, Event::Proxy(proxy, Upon::Start))));
        }
        Trouble::ProxyStopped => events.push((at, Event::Proxy(proxy, Upon::Stop { back: lasts }))),
        Trouble::ProxyReloaded => events.push((at, Event::Proxy(proxy, Upon::Reload))),
        Trouble::ProxyReplaced => events.push((at, Event::Proxy(proxy, Upon::Replace))),
        Trouble::ServerSilent => events.push((at, Event::Silence { server, until })),
        Trouble::ServerPaused => events.push((at, Event::Pause { server, until })),
        Trouble::ServerDied => {
            events.push((at, Event::Die { server }));
            events.extend(lasts.map(|_| (until, Event::Back { server })));
        }
        Trouble::ServerDrains => {
            events.push((at, Event::Drain { server }));
            events.push((until, Event::Gone { server }));
            let back = scenario.each_server().nth(server).map_or(0, |s| s.back_after.0);
            events.push((until + back, Event::Back { server }));
        }
        Trouble::ServerDrops => {
            events.push((at, Event::Drops { server, one_in: fault.factor.unwrap_or(1.0) as u64 }));
            events.push((until, Event::Drops { server, one_in: 0 }));
        }
        Trouble::ServersJoin => events.push((at, Event::Back { server })),
        Trouble::StoreSlow => {
            events.push((at, Event::StoreSlow { factor: fault.factor.unwrap_or(1.0) }));
            events.push((until, Event::StoreSlow { factor: 1.0 }));
        }
        Trouble::ListLost => events.push((at, Event::ListLost { until })),
        Trouble::ListStill => events.push((at, Event::ListStill { until })),
        Trouble::ClientsDropped => {
            events.push((at, Event::DropClients { share: fault.share.unwrap_or(1.0) }));
        }
    }
}
