//! Runs the model in simulated time, with the real decision engine in each proxy between clients and servers. There are
//! no sockets and no clock: the same seed produces the same event log. Each message takes a fixed time from one end of
//! a connection to the other.

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

pub use settings_object::settings_object;

/// The result of a run.
pub struct Run {
    /// What clients, servers, load balancer and endpoint list observed.
    pub event_log: EventLog,
    /// The findings of the audit of the event log.
    pub findings: Findings,
    /// The well-served time as a fraction of the wanted time, weighted by priority weight, from 0 to 1.
    pub service: f64,
    /// The recovery of goodput after the last restart of a proxy; `None` without a restart.
    pub recovery: Option<Recovery>,
}

/// Runs a scenario. All random choices derive from `seed`.
pub fn run(scenario: &Scenario, seed: u64) -> Run {
    let mut simulation = Simulation::new(scenario, seed);
    simulation.start_all_proxies();
    let end = scenario.end();
    let mut now: Timestamp = 0;
    while now <= end {
        simulation.advance(now);
        now = simulation.next_event_at().max(now + 1);
    }
    let mut model = simulation.into_model();
    model.clients.finish(end);
    Run {
        findings: audit(scenario, &model.event_log, end),
        service: model.clients.service(),
        recovery: recovery(scenario, &model.event_log),
        event_log: model.event_log,
    }
}
