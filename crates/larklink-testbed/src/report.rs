//! What a run found, as plain values that can be printed, written as JSON and plotted.
use hdrhistogram::Histogram;
use larklink_simulation::audit::{Findings, SessionOutcomes, ShapeOutcomes, Violation};
use larklink_simulation::duration::TICKS_PER_MS;
use larklink_simulation::faults::FaultBand;
use larklink_simulation::goodput::{Recovery, recovery};
use larklink_simulation::scenario::Scenario;
use larklink_simulation::world::World;
use serde::Serialize;

use crate::histogram::new_histogram;
use crate::proxy_process::ProxyUsage;
use crate::sample::Sample;
use crate::timer_delay::TimerDelay;

/// How long something took, in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Quantiles {
    /// How often it was measured.
    pub count: u64,
    /// The median.
    pub p50: f64,
    /// 99 in 100 took no longer.
    pub p99: f64,
    /// 999 in 1000 took no longer.
    pub p999: f64,
    /// The longest.
    pub max: f64,
}

impl Quantiles {
    /// Those of values in ticks.
    #[must_use]
    pub fn of(ticks: &Histogram<u64>) -> Self {
        let at = |quantile| ticks.value_at_quantile(quantile) as f64 / TICKS_PER_MS as f64;
        Self {
            count: ticks.len(),
            p50: at(0.5),
            p99: at(0.99),
            p999: at(0.999),
            max: ticks.max() as f64 / TICKS_PER_MS as f64,
        }
    }
}

/// What the sessions of one listener got.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ListenerReport {
    /// The listener's name.
    pub listener: String,
    /// How its sessions ended.
    #[serde(rename = "answers")]
    pub outcomes: SessionOutcomes,
    /// From the first line to the response, of accepted sessions.
    #[serde(rename = "answer_ms")]
    pub response_ms: Quantiles,
    /// From sending a message until it came back.
    #[serde(rename = "line_ms")]
    pub message_ms: Quantiles,
    /// Messages that came back later than their objective.
    #[serde(rename = "late_lines")]
    pub late_messages: u64,
    /// Well-served seconds over seconds asked for.
    pub service: f64,
    /// Clients that retried to the last without a session.
    #[serde(rename = "gone_without")]
    pub gave_up: u64,
}

/// What a run found.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Report {
    /// The scenario's name.
    pub scenario: String,
    /// The scenario's description.
    pub about: String,
    /// The seed that it was run with.
    pub seed: u64,
    /// Well-served seconds over seconds asked for, by priority weight.
    pub service: f64,
    /// A row for each listener.
    pub rows: Vec<ListenerReport>,
    /// What clients got from proxies of the old shape, and of the moved one.
    pub shapes: [ShapeOutcomes; 2],
    /// How goodput recovered after the last restart of a proxy; none if there was none.
    pub recovery: Option<Recovery>,
    /// Each broken rule.
    #[serde(rename = "breaches")]
    pub violations: Vec<Violation>,
    /// Requirements of the scenario that were not met, and metrics that are not true.
    #[serde(rename = "unmet")]
    pub unmet_requirements: Vec<String>,
    /// What each proxy used.
    #[serde(rename = "daemons")]
    pub proxies: Vec<ProxyUsage>,
    /// Calls to the session store.
    pub store_calls: u64,
    /// Of those, the ones that failed.
    pub store_failed: u64,
    /// How late the testbed itself was.
    #[serde(rename = "kit_late_us")]
    pub timer_delay: TimerDelay,
    /// The testbed itself was too late: the run does not count.
    #[serde(rename = "strained")]
    pub testbed_late: bool,
    /// The state four times a second.
    pub samples: Vec<Sample>,
    /// When each fault began and ended.
    #[serde(rename = "bands")]
    pub fault_bands: Vec<FaultBand>,
}

/// What was measured in a run beside the model's own state.
pub struct RunMeasurements {
    /// The audit's findings.
    pub findings: Findings,
    /// Round trips of messages in ticks, by listener.
    pub message_round_trips: Vec<Histogram<u64>>,
    /// What each proxy used.
    pub proxies: Vec<ProxyUsage>,
    /// The state four times a second.
    pub samples: Vec<Sample>,
    /// How late the testbed itself was.
    pub timer_delay: TimerDelay,
}

impl Report {
    /// Draws up the report of a run that has ended.
    #[must_use]
    pub fn new(scenario: &Scenario, seed: u64, world: &World, measured: RunMeasurements) -> Self {
        let Findings { listeners, shapes, violations } = measured.findings;
        let message_round_trips = &measured.message_round_trips;
        let rows: Vec<_> = listeners
            .into_iter()
            .enumerate()
            .map(|(i, outcomes)| listener_report(scenario, world, i, outcomes, message_round_trips.get(i)))
            .collect();
        let service = world.clients.service();
        let recovery = recovery(scenario, &world.event_log);
        let unmet_requirements = unmet_requirements(scenario, service, &rows, &shapes, recovery);
        Self {
            scenario: scenario.name.clone(),
            about: scenario.about.clone(),
            seed,
            service,
            rows,
            shapes,
            recovery,
            violations,
            unmet_requirements,
            proxies: measured.proxies,
            store_calls: world.session_store.calls,
            store_failed: world.session_store.failed,
            timer_delay: measured.timer_delay,
            testbed_late: measured.timer_delay.exceeds_limit(),
            samples: measured.samples,
            fault_bands: world.fault_bands.clone(),
        }
    }

    /// Whether no rule was broken and each requirement of the scenario met.
    #[must_use]
    pub fn passed(&self) -> bool {
        self.violations.is_empty() && self.unmet_requirements.is_empty()
    }
}

fn listener_report(
    scenario: &Scenario,
    world: &World,
    listener: usize,
    outcomes: SessionOutcomes,
    message_round_trips: Option<&Histogram<u64>>,
) -> ListenerReport {
    let mut response_times = new_histogram();
    for &ticks in &outcomes.took {
        let _ = response_times.record(ticks);
    }
    let tally = &world.clients.tallies[listener];
    ListenerReport {
        listener: scenario.listeners[listener].get_ref().name.clone(),
        response_ms: Quantiles::of(&response_times),
        message_ms: message_round_trips.map(Quantiles::of).unwrap_or_default(),
        late_messages: tally.late_messages,
        service: tally.well_served as f64 / (tally.wanted as f64).max(1.0),
        gave_up: tally.gave_up,
        outcomes,
    }
}

/// A line for each requirement of the scenario that was not met.
fn unmet_requirements(
    scenario: &Scenario,
    service: f64,
    rows: &[ListenerReport],
    shapes: &[ShapeOutcomes],
    recovery: Option<Recovery>,
) -> Vec<String> {
    let must = &scenario.requirements;
    let mut unmet = Vec::new();
    if let Some(least) = must.service.filter(|&least| service < least) {
        unmet.push(format!("service {service:.3}, {least} asked for"));
    }
    let sum = |of: fn(&SessionOutcomes) -> u64| rows.iter().map(|row| of(&row.outcomes)).sum::<u64>() as f64;
    let accepted = sum(|outcomes| outcomes.accepted) / sum(|outcomes| outcomes.opened).max(1.0);
    if let Some(least) = must.accepted.filter(|&least| accepted < least) {
        unmet.push(format!("{accepted:.3} of the sessions accepted, {least} asked for"));
    }
    for (shape, name) in shapes.iter().zip(ShapeOutcomes::NAMES) {
        let share = shape.share();
        if let Some(least) = must.each_shape.filter(|&least| share < least) {
            unmet.push(format!("{share:.3} accepted at proxies of the {name} shape, {least} asked for"));
        }
    }
    if let Some(within) = must.recovers {
        let finding = match recovery {
            Some(recovery) => recovery.unmet(within.0),
            None => Some("no proxy was started again in time to tell whether goodput comes back".into()),
        };
        unmet.extend(finding.map(|finding| format!("{finding}, {within} asked for")));
    }
    let slowest = rows.iter().map(|row| row.response_ms.p99).fold(0.0, f64::max);
    if let Some(most) = must.answer_p99.filter(|most| slowest > most.0 as f64 / TICKS_PER_MS as f64) {
        unmet.push(format!("answers within {slowest} ms for 99 in 100, {most} asked for"));
    }
    unmet
}
