//! Asks every proxy for its metrics five times a second, and compares them with what clients recorded.
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io::{Error, ErrorKind, Result};
use std::rc::Rc;
use std::time::Duration;

use async_io::Timer;

use crate::admin_client;
use crate::proxy_slot::{AdminEndpoint, ProcessKey, ProxySlot, ProxySlots};
use crate::report::ListenerReport;

/// How often each process is asked; what it counts after the last call before its end is in no metrics.
const POLL_INTERVAL: Duration = Duration::from_millis(200);
/// The difference that is allowed for each process: so many sessions,
const ALLOWED_SESSIONS: u64 = 3;
/// or one in so many.
const ALLOWED_ONE_IN: u64 = 100;
/// A planted miscount adds one in so many.
const MISCOUNT_ONE_IN: u64 = 10;
/// The status of a call that was answered.
const HTTP_OK: u16 = 200;

/// The metrics of one process, by name.
type ProcessMetrics = BTreeMap<String, u64>;

/// Asks every proxy for its metrics, and compares them with what clients recorded.
#[derive(Default)]
pub(crate) struct MetricsPoller {
    latest: RefCell<BTreeMap<ProcessKey, ProcessMetrics>>,
    /// A line for each call without an answer.
    unanswered: RefCell<Vec<String>>,
    /// Reads one session in ten twice, to show that a miscount is found.
    counts_twice: bool,
}

impl MetricsPoller {
    pub(crate) fn new(counts_twice: bool) -> Rc<Self> {
        Rc::new(Self { counts_twice, ..Self::default() })
    }

    /// Asks all processes that run, again and again; never ends.
    pub(crate) async fn run(self: Rc<Self>, slots: ProxySlots) {
        loop {
            Timer::after(POLL_INTERVAL).await;
            self.poll_all(&slots).await;
        }
    }

    /// Asks all processes that run.
    pub(crate) async fn poll_all(&self, slots: &ProxySlots) {
        let endpoints: Vec<_> = slots.borrow().iter().filter_map(ProxySlot::admin_endpoint).collect();
        for endpoint in endpoints {
            let Err(error) = self.poll(endpoint).await else { continue };
            // A process that has ended meanwhile need not answer, nor one that does not listen yet.
            let answered_before = self.latest.borrow().contains_key(&endpoint.process);
            let runs = || {
                slots
                    .borrow()
                    .iter()
                    .filter_map(ProxySlot::admin_endpoint)
                    .any(|other| other.process == endpoint.process)
            };
            if answered_before && runs() {
                let proxy = endpoint.process.proxy;
                self.unanswered.borrow_mut().push(format!("proxy {proxy}: /metrics: {error}"));
            }
        }
    }

    /// Asks a process for its metrics and keeps them.
    ///
    /// # Errors
    /// There is no answer, or it cannot be read.
    pub(crate) async fn poll(&self, endpoint: AdminEndpoint) -> Result<()> {
        let answer = admin_client::get(endpoint.address, "/metrics").await?;
        let metrics = parse_metrics(&answer.body).filter(|_| answer.status == HTTP_OK).ok_or_else(|| {
            Error::new(ErrorKind::InvalidData, format!("{} {:?}", answer.status, answer.body))
        })?;
        self.latest.borrow_mut().insert(endpoint.process, metrics);
        Ok(())
    }

    /// Calls without an answer, and metrics that differ from what clients recorded.
    pub(crate) fn findings(&self, listeners: &[ListenerReport]) -> Vec<String> {
        let mut findings = self.unanswered.borrow().clone();
        for listener in listeners {
            let outcomes = &listener.outcomes;
            for (metric, recorded) in [
                ("passed", outcomes.accepted),
                ("dropped", outcomes.rejected),
                ("bad_gateway", outcomes.failed),
            ] {
                let reported = self.sum(&format!("app.handled.{}.{metric}", listener.listener));
                if reported.abs_diff(recorded) > self.allowed_difference(recorded) {
                    let name = &listener.listener;
                    findings.push(format!("{name}: {metric} is {reported}, clients recorded {recorded}"));
                }
            }
        }
        findings
    }

    /// A metric over all processes.
    fn sum(&self, metric: &str) -> u64 {
        let sum = self.latest.borrow().values().filter_map(|metrics| metrics.get(metric)).sum::<u64>();
        if self.counts_twice { sum + sum / MISCOUNT_ONE_IN } else { sum }
    }

    fn allowed_difference(&self, recorded: u64) -> u64 {
        ALLOWED_SESSIONS.max(recorded / ALLOWED_ONE_IN) * self.latest.borrow().len() as u64
    }
}

/// Lines of name and value; none if one of them is something else.
fn parse_metrics(text: &str) -> Option<ProcessMetrics> {
    let parse_line = |line: &str| {
        let (name, value) = line.split_once('=')?;
        Some((name.to_owned(), value.parse().ok()?))
    };
    text.lines().map(parse_line).collect()
}
