//! Polls the metrics of every proxy five times a second and compares them with what the clients recorded.
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io::{Error, ErrorKind, Result};
use std::rc::Rc;
use std::time::Duration;

use async_io::Timer;

use crate::admin_client;
use crate::proxy_slot::{AdminEndpoint, ProcessKey, ProxySlot, ProxySlots};
use crate::report::ListenerReport;

/// How often each process is polled. What a process counts between its last poll and its exit is lost.
const POLL_INTERVAL: Duration = Duration::from_millis(200);
/// For each process, the total may differ by this many sessions, or by one in [`TOLERANCE_ONE_IN`] if that is more.
const MIN_TOLERANCE_SESSIONS: u64 = 3;
/// For each process, the total may differ by one in this many of all the listener's sessions with the same outcome.
const TOLERANCE_ONE_IN: u64 = 100;
/// A planted miscount counts one session in this many twice.
const MISCOUNT_ONE_IN: u64 = 10;
/// The HTTP status of a successful request.
const HTTP_OK: u16 = 200;

/// The metrics of one process, by name.
type ProcessMetrics = BTreeMap<String, u64>;

/// Polls the metrics of every proxy and compares them with what the clients recorded.
#[derive(Default)]
pub(crate) struct MetricsPoller {
    /// The latest metrics of each process, including those that have exited.
    latest: RefCell<BTreeMap<ProcessKey, ProcessMetrics>>,
    /// A message for each request that failed.
    failed_requests: RefCell<Vec<String>>,
    /// Whether to count one session in ten twice, to test that a miscount is found.
    double_counts: bool,
}

impl MetricsPoller {
    pub(crate) fn new(double_counts: bool) -> Rc<Self> {
        Rc::new(Self { double_counts, ..Self::default() })
    }

    /// Polls all running processes periodically. Never returns.
    pub(crate) async fn run(self: Rc<Self>, slots: ProxySlots) {
        loop {
            Timer::after(POLL_INTERVAL).await;
            self.poll_all(&slots).await;
        }
    }

    /// Polls all running processes once.
    pub(crate) async fn poll_all(&self, slots: &ProxySlots) {
        let endpoints: Vec<_> = slots.borrow().iter().filter_map(ProxySlot::admin_endpoint).collect();
        for endpoint in endpoints {
            let Err(error) = self.poll(endpoint).await else { continue };
            // A failed request counts only if the process has answered before and still runs: it may not listen yet, or
            // may have exited since.
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
                self.failed_requests.borrow_mut().push(format!("proxy {proxy}: /metrics: {error}"));
            }
        }
    }

    /// Requests the metrics of a process and stores them.
    ///
    /// # Errors
    /// Fails if the request fails or its response cannot be parsed.
    pub(crate) async fn poll(&self, endpoint: AdminEndpoint) -> Result<()> {
        let response = admin_client::get(endpoint.address, "/metrics").await?;
        let metrics =
            parse_metrics(&response.body).filter(|_| response.status == HTTP_OK).ok_or_else(|| {
                Error::new(
                    ErrorKind::InvalidData,
                    format!("status {}, body {:?}", response.status, response.body),
                )
            })?;
        self.latest.borrow_mut().insert(endpoint.process, metrics);
        Ok(())
    }

    /// Returns the failed requests, and the metrics that differ too much from what the clients recorded.
    pub(crate) fn findings(&self, listeners: &[ListenerReport]) -> Vec<String> {
        let mut findings = self.failed_requests.borrow().clone();
        for listener in listeners {
            let outcomes = &listener.outcomes;
            for (metric, recorded) in [
                ("passed", outcomes.accepted),
                ("dropped", outcomes.rejected),
                ("bad_gateway", outcomes.failed),
            ] {
                let reported = self.sum(&format!("app.handled.{}.{metric}", listener.listener));
                if reported.abs_diff(recorded) > self.tolerance(recorded) {
                    let name = &listener.listener;
                    findings.push(format!("{name}: {metric} is {reported}, clients recorded {recorded}"));
                }
            }
        }
        findings
    }

    /// Sums a metric over all processes.
    fn sum(&self, metric: &str) -> u64 {
        let sum = self.latest.borrow().values().filter_map(|metrics| metrics.get(metric)).sum::<u64>();
        if self.double_counts { sum + sum / MISCOUNT_ONE_IN } else { sum }
    }

    fn tolerance(&self, recorded: u64) -> u64 {
        MIN_TOLERANCE_SESSIONS.max(recorded / TOLERANCE_ONE_IN) * self.latest.borrow().len() as u64
    }
}

/// Parses lines of the form `name=value`. Returns `None` if any line has another form.
fn parse_metrics(text: &str) -> Option<ProcessMetrics> {
    let parse_line = |line: &str| {
        let (name, value) = line.split_once('=')?;
        Some((name.to_owned(), value.parse().ok()?))
    };
    text.lines().map(parse_line).collect()
}
