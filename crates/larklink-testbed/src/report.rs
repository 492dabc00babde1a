//! The report of a run, as plain values for printing, JSON and plots.
use hdrhistogram::Histogram;
use larklink_simulation::audit::{Findings, SessionOutcomes, ShapeOutcomes, Violation};
use larklink_simulation::duration::TICKS_PER_MS;
use larklink_simulation::faults::FaultBand;
use larklink_simulation::goodput::{Recovery, recovery};
use larklink_simulation::model::Model;
use larklink_simulation::scenario::Scenario;
use serde::Serialize;

use crate::histogram::new_histogram;
use crate::proxy_process::ProxyUsage;
use crate::sample::Sample;
use crate::timer_delay::TimerDelay;

/// Quantiles of durations in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Quantiles {
    /// The number of values.
    pub count: u64,
    /// The median.
    pub p50: f64,
    /// The 99th percentile.
    pub p99: f64,
    /// The 99.9th percentile.
    pub p999: f64,
    /// The maximum.
    pub max: f64,
}

impl Quantiles {
    /// Computes the quantiles of values in ticks.
    #[must_use]
    pub fn from_ticks(ticks: &Histogram<u64>) -> Self {
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

/// The results of the sessions of one listener.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ListenerReport {
    /// The listener's name.
    pub listener: String,
    /// How its sessions ended.
    #[serde(rename = "answers")]
    pub outcomes: SessionOutcomes,
    /// The time from the first line to the response, for accepted sessions.
    #[serde(rename = "answer_ms")]
    pub response_ms: Quantiles,
    /// The round-trip time of messages.
    #[serde(rename = "line_ms")]
    pub message_ms: Quantiles,
    /// Messages that came back later than their latency objective.
    #[serde(rename = "late_lines")]
    pub late_messages: u64,
    /// Well-served time as a fraction of the time for which clients wanted a session.
    pub service: f64,
    /// Clients that stopped retrying without getting a session.
    #[serde(rename = "gone_without")]
    pub gave_up: u64,
}

/// The report of a run.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Report {
    /// The scenario's name.
    pub scenario: String,
    /// The scenario's description.
    pub about: String,
    /// The seed of the run.
    pub seed: u64,
    /// Well-served time as a fraction of the time for which clients wanted a session, weighted by the priority weights
    /// of the listeners.
    pub service: f64,
    /// The results of each listener.
    #[serde(rename = "rows")]
    pub listeners: Vec<ListenerReport>,
    /// The results at proxies of the old shape and at proxies of the moved shape.
    pub shapes: [ShapeOutcomes; 2],
    /// How goodput recovered after the last restart of a proxy; `None` if no proxy was restarted.
    pub recovery: Option<Recovery>,
    /// The violations that the audit found.
    #[serde(rename = "breaches")]
    pub violations: Vec<Violation>,
    /// Requirements of the scenario that were not met, failed requests for metrics, and metrics that do not match the
    /// event log.
    #[serde(rename = "unmet")]
    pub unmet_requirements: Vec<String>,
    /// The resource usage of each proxy.
    #[serde(rename = "daemons")]
    pub proxies: Vec<ProxyUsage>,
    /// Calls to the session store.
    pub store_calls: u64,
    /// Calls to the session store that failed.
    pub store_failed: u64,
    /// How late the testbed's own timers fired.
    #[serde(rename = "kit_late_us")]
    pub timer_delay: TimerDelay,
    /// Whether the testbed itself fell behind, so that the run does not count.
    #[serde(rename = "strained")]
    pub testbed_late: bool,
    /// Samples of the state, four per second.
    pub samples: Vec<Sample>,
    /// When each fault began and ended.
    #[serde(rename = "bands")]
    pub fault_bands: Vec<FaultBand>,
}

/// The measurements of a run that are not part of the model's state.
pub struct RunMeasurements {
    /// The audit's findings.
    pub findings: Findings,
    /// Round-trip times of messages in ticks, by listener.
    pub message_round_trips: Vec<Histogram<u64>>,
    /// The resource usage of each proxy.
    pub proxies: Vec<ProxyUsage>,
    /// Samples of the state, four per second.
    pub samples: Vec<Sample>,
    /// How late the testbed's own timers fired.
    pub timer_delay: TimerDelay,
}

impl Report {
    /// Builds the report of a run that has ended.
    #[must_use]
    pub fn new(scenario: &Scenario, seed: u64, model: &Model, measurements: RunMeasurements) -> Self {
        let Findings { listeners, shapes, violations } = measurements.findings;
        let message_round_trips = &measurements.message_round_trips;
        let listeners: Vec<_> = listeners
            .into_iter()
            .enumerate()
            .map(|(i, outcomes)| listener_report(scenario, model, i, outcomes, message_round_trips.get(i)))
            .collect();
        let service = model.clients.service();
        let recovery = recovery(scenario, &model.event_log);
        let unmet_requirements = unmet_requirements(scenario, service, &listeners, &shapes, recovery);
        Self {
            scenario: scenario.name.clone(),
            about: scenario.about.clone(),
            seed,
            service,
            listeners,
            shapes,
            recovery,
            violations,
            unmet_requirements,
            proxies: measurements.proxies,
            store_calls: model.session_store.calls,
            store_failed: model.session_store.failed,
            timer_delay: measurements.timer_delay,
            testbed_late: measurements.timer_delay.exceeds_limit(),
            samples: measurements.samples,
            fault_bands: model.fault_bands.clone(),
        }
    }

    /// Returns whether there are no violations and no unmet requirements.
    #[must_use]
    pub fn passed(&self) -> bool {
        self.violations.is_empty() && self.unmet_requirements.is_empty()
    }
}

fn listener_report(
    scenario: &Scenario,
    model: &Model,
    listener: usize,
    outcomes: SessionOutcomes,
    message_round_trips: Option<&Histogram<u64>>,
) -> ListenerReport {
    let mut response_times = new_histogram();
    for &ticks in &outcomes.response_times {
        let _ = response_times.record(ticks);
    }
    let tally = &model.clients.tallies[listener];
    ListenerReport {
        listener: scenario.listeners[listener].get_ref().name.clone(),
        response_ms: Quantiles::from_ticks(&response_times),
        message_ms: message_round_trips.map(Quantiles::from_ticks).unwrap_or_default(),
        late_messages: tally.late_messages,
        service: tally.well_served as f64 / (tally.wanted as f64).max(1.0),
        gave_up: tally.gave_up,
        outcomes,
    }
}

/// Returns a message for each requirement of the scenario that was not met.
fn unmet_requirements(
    scenario: &Scenario,
    service: f64,
    listeners: &[ListenerReport],
    shapes: &[ShapeOutcomes],
    recovery: Option<Recovery>,
) -> Vec<String> {
    let requirements = &scenario.requirements;
    let mut unmet = Vec::new();
    if let Some(minimum) = requirements.min_service.filter(|&minimum| service < minimum) {
        unmet.push(format!("service {service:.3}, {minimum} asked for"));
    }
    let sum = |of: fn(&SessionOutcomes) -> u64| {
        listeners.iter().map(|listener| of(&listener.outcomes)).sum::<u64>() as f64
    };
    let accepted = sum(|outcomes| outcomes.accepted) / sum(|outcomes| outcomes.opened).max(1.0);
    if let Some(minimum) = requirements.min_accepted.filter(|&minimum| accepted < minimum) {
        unmet.push(format!("{accepted:.3} of the sessions accepted, {minimum} asked for"));
    }
    for (shape, name) in shapes.iter().zip(ShapeOutcomes::NAMES) {
        let acceptance_ratio = shape.acceptance_ratio();
        if let Some(minimum) =
            requirements.min_accepted_per_shape.filter(|&minimum| acceptance_ratio < minimum)
        {
            unmet.push(format!(
                "{acceptance_ratio:.3} accepted at proxies of the {name} shape, {minimum} asked for"
            ));
        }
    }
    if let Some(within) = requirements.max_recovery_time {
        let finding = match recovery {
            Some(recovery) => recovery.unmet_requirement(within.0),
            None => Some("no proxy was started again in time to tell whether goodput comes back".into()),
        };
        unmet.extend(finding.map(|finding| format!("{finding}, {within} asked for")));
    }
    let slowest_p99_ms = listeners.iter().map(|listener| listener.response_ms.p99).fold(0.0, f64::max);
    if let Some(maximum) = requirements
        .max_response_p99
        .filter(|maximum| slowest_p99_ms > maximum.0 as f64 / TICKS_PER_MS as f64)
    {
        unmet.push(format!("answers within {slowest_p99_ms} ms for 99 in 100, {maximum} asked for"));
    }
    unmet
}
