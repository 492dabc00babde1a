//! The world in simulated time, with the decisions of real proxies between clients and servers: no socket and no clock,
//! and the same seed writes the same event log. Each message takes one hop.

use crate::audit::{Findings, audit};
use crate::event_log::EventLog;
use crate::goodput::{Recovery, recovery};
use crate::scenario::Scenario;
use crate::simulate::simulation::Simulation;
use crate::time::Timestamp;

mod connections;
mod proxy;
mod scheduled_event;
mod settings_object;
mod shutdown;
mod simulation;
mod state;

pub use settings_object::settings;

/// What came of a run.
pub struct Run {
    /// What clients, servers, load balancer and endpoint list logged.
    pub event_log: EventLog,
    /// What the audit found in the event log.
    pub findings: Findings,
    /// Utility of well-served time over time asked for, from 0 to 1.
    pub service: f64,
    /// Goodput after the last restart of a proxy; none if there was none.
    pub recovery: Option<Recovery>,
}

/// Runs a scenario from a seed.
pub fn run(scenario: &Scenario, seed: u64) -> Run {
    let mut simulation = Simulation::new(scenario, seed);
    simulation.start_all_proxies();
    let end = scenario.end();
    let mut now: Timestamp = 0;
    while now <= end {
        simulation.advance(now);
        now = simulation.next_event_at().max(now + 1);
    }
    let mut world = simulation.into_world();
    world.clients.finish(end);
    Run {
        findings: audit(scenario, &world.event_log, end),
        service: world.clients.service(),
        recovery: recovery(scenario, &world.event_log),
        event_log: world.event_log,
    }
}
