//! What a rehearsal found, as plain values that can be printed, kept as JSON and plotted.
use hdrhistogram::Histogram;
use larklink_balancer::Timestamp;
use larklink_simulation::audit::{Findings, SessionOutcomes, ShapeOutcomes, Violation};
use larklink_simulation::event_log::{ClientResponse, EventKind};
use larklink_simulation::faults::FaultBand;
use larklink_simulation::goodput::{Recovery, recovery};
use larklink_simulation::scenario::Scenario;
use larklink_simulation::world::World;
use serde::Serialize;

use crate::daemons::Use;

/// Milliseconds that so many in a hundred did not exceed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Quantiles {
    pub count: u64,
    pub p50: f64,
    pub p99: f64,
    pub p999: f64,
    pub max: f64,
}

impl Quantiles {
    /// Of values in tenths of a millisecond.
    pub fn of(values: &Histogram<u64>) -> Self {
        let at = |q| values.value_at_quantile(q) as f64 / 10.0;
        Self {
            count: values.len(),
            p50: at(0.5),
            p99: at(0.99),
            p999: at(0.999),
            max: values.max() as f64 / 10.0,
        }
    }
}

#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Row {
    pub listener: String,
    pub answers: SessionOutcomes,
    /// To the answer of those accepted.
    pub answer_ms: Quantiles,
    /// From a line's going out to its coming back.
    pub line_ms: Quantiles,
    pub late_lines: u64,
    /// Well-served seconds over seconds asked for.
    pub service: f64,
    /// Clients that tried in vain to the last.
    pub gone_without: u64,
}

/// The state at one moment, for plots.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Sample {
    /// Tenths of a millisecond from the start.
    pub at: Timestamp,
    pub standing: usize,
    pub waiting: usize,
    pub accepted: u64,
    pub refused: u64,
    pub torn_down: u64,
    /// The share of those who want a session that are well served at this moment, by utility.
    pub service: f64,
    /// Sessions that each server holds.
    pub held: Vec<usize>,
}

impl Sample {
    pub fn take(at: Timestamp, world: &World) -> Self {
        // From the end: those of the last moments.
        let mut sample = Self {
            at,
            standing: world.clients.standing,
            waiting: world.clients.waiting,
            held: world.servers.iter().map(larklink_simulation::server::Server::sessions_held).collect(),
            service: world.clients.served_now(at),
            ..Self::default()
        };
        let from = at.saturating_sub(2500);
        for entry in world.event_log.events.iter().rev().take_while(|e| e.at >= from) {
            match entry.kind {
                EventKind::Answered { response: ClientResponse::Accepted, .. } => sample.accepted += 1,
                EventKind::Answered { response: ClientResponse::Rejected(_), .. } => sample.refused += 1,
                EventKind::Answered { response: ClientResponse::Failed, .. } => sample.torn_down += 1,
                _ => {}
            }
        }
        sample
    }
}

#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Report {
    pub scenario: String,
    pub about: String,
    pub seed: u64,
    pub service: f64,
    pub rows: Vec<Row>,
    /// What the proxies as they were got, and those of the moved shape.
    pub shapes: [ShapeOutcomes; 2],
    /// What became of goodput after the last restart of a proxy.
    pub recovery: Option<Recovery>,
    #[serde(rename = "breaches")]
    pub violations: Vec<Violation>,
    /// What the scenario demands beside the rules, and was not so.
    pub unmet: Vec<String>,
    pub daemons: Vec<Use>,
    pub store_calls: u64,
    pub store_failed: u64,
    /// How late the kit's own timers were, microseconds: 999 in 1000, and the latest.
    pub kit_late_us: (u64, u64),
    /// The kit itself fell behind: the run counts for nothing.
    pub strained: bool,
    pub samples: Vec<Sample>,
    pub bands: Vec<FaultBand>,
}

impl Report {
    #[allow(clippy::too_many_arguments)]
    pub fn new(
        scenario: &Scenario,
        seed: u64,
        world: &World,
        findings: Findings,
        trips: &[Histogram<u64>],
        daemons: Vec<Use>,
        samples: Vec<Sample>,
        kit_late_us: (u64, u64),
        strained: bool,
    ) -> Self {
        let service = world.clients.service();
        let rows = findings.listeners.into_iter().enumerate().map(|(i, answers)| {
            let mut took = Histogram::<u64>::new(3).expect("three digits");
            answers.took.iter().for_each(|&t| _ = took.record(t));
            let tally = &world.clients.tallies[i];
            Row {
                listener: scenario.listeners[i].get_ref().name.clone(),
                answer_ms: Quantiles::of(&took),
                line_ms: trips.get(i).map(Quantiles::of).unwrap_or_default(),
                late_lines: tally.late,
                service: tally.well as f64 / (tally.asked as f64).max(1.0),
                gone_without: tally.gone_without,
                answers,
            }
        });
        let rows: Vec<_> = rows.collect();
        let mut unmet = Vec::new();
        if let Some(least) = scenario.must.service.filter(|&least| service < least) {
            unmet.push(format!("service {service:.3}, {least} asked for"));
        }
        let sum = |of: fn(&SessionOutcomes) -> u64| rows.iter().map(|r| of(&r.answers)).sum::<u64>() as f64;
        let share = sum(|a| a.accepted) / sum(|a| a.opened).max(1.0);
        if let Some(least) = scenario.must.accepted.filter(|&least| share < least) {
            unmet.push(format!("{share:.3} of the sessions accepted, {least} asked for"));
        }
        for (shape, name) in findings.shapes.iter().zip(ShapeOutcomes::NAMES) {
            let share = shape.share();
            if let Some(least) = scenario.must.each_shape.filter(|&least| share < least) {
                unmet.push(format!("{share:.3} accepted at proxies of the {name} shape, {least} asked for"));
            }
        }
        let recovery = recovery(scenario, &world.event_log);
        if let Some(within) = scenario.must.recovers {
            let unmet_by = |r: Recovery| r.unmet(within.0);
            let too_late =
                || Some("no proxy was started again in time to tell whether goodput comes back".into());
            unmet.extend(
                recovery.map_or_else(too_late, unmet_by).map(|wrong| format!("{wrong}, {within} asked for")),
            );
        }
        let slowest = rows.iter().map(|r| r.answer_ms.p99).fold(0.0, f64::max);
        if let Some(most) = scenario.must.answer_p99.filter(|most| slowest > most.0 as f64 / 10.0) {
            unmet.push(format!("answers within {slowest} ms for 99 in 100, {most} asked for"));
        }
        Self {
            scenario: scenario.name.clone(),
            about: scenario.about.clone(),
            seed,
            service,
            rows,
            shapes: findings.shapes,
            recovery,
            violations: findings.violations,
            unmet,
            daemons,
            store_calls: world.session_store.calls,
            store_failed: world.session_store.failed,
            kit_late_us,
            strained,
            samples,
            bands: world.fault_bands.clone(),
        }
    }

    /// Whether the rules were kept and all that the scenario demands was so.
    pub fn kept(&self) -> bool {
        self.violations.is_empty() && self.unmet.is_empty()
    }
}
