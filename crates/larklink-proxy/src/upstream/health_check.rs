//! Health checks: one request line and one answer line, on a connection that is reused for later checks. If fewer
//! descriptors are reserved for health checks than there are endpoints, not all connections are kept open.
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap, HashSet};
use std::io::{ErrorKind, IoSlice};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use larklink_balancer::AttemptOutcome;
use larklink_engine::engine::EndpointId;
use larklink_engine::settings::ProxySettings;

use crate::clock::{to_duration, to_ticks};
use crate::connection::{Connection, write_all_vectored};
use crate::endpoint_list::Endpoint;
use crate::events::{DecisionEvent, DecisionQueue};
use crate::limiter::{ConnectionLimiter, HealthCheckPermit};
use crate::protocol::{ServerMessage, parse_load_report, parse_server_message};
use crate::timeout::with_timeout;
use crate::upstream::attempt::connect;

/// Checks the health of endpoints.
pub struct HealthChecker {
    /// Whether the settings enable health checks.
    enabled: bool,
    /// The names of the values in a load report; empty if the settings request no load reports.
    report_names: Vec<String>,
    /// How long connecting may take, and then the exchange of lines.
    timeout: Duration,
    idle: RefCell<HashMap<EndpointId, IdleConnection>>,
    /// Endpoints with a check in flight that have stayed in the endpoint list since it started: only their connections
    /// may be kept open.
    in_flight: RefCell<HashSet<EndpointId>>,
    /// How many checks wait for a permit; while there are any, no connection is kept open.
    waiting: Cell<usize>,
    queue: DecisionQueue,
    limiter: Rc<ConnectionLimiter>,
}

/// A connection that is kept open for the next check.
struct IdleConnection {
    address: SocketAddr,
    connection: Connection,
    permit: HealthCheckPermit,
    last_checked_at: Instant,
}

/// The answer to a check and the connection on which it was received.
struct Exchange {
    connection: Connection,
    answer: Answer,
}

/// What an endpoint answered to a health check.
struct Answer {
    outcome: AttemptOutcome,
    /// The values of its load report; empty if it has none.
    load_report: Vec<f64>,
}

impl HealthChecker {
    /// Creates a checker that sends its results to a queue.
    pub fn new(settings: &ProxySettings, queue: DecisionQueue, limiter: Rc<ConnectionLimiter>) -> Self {
        let has_reports = settings.load_position.is_some();
        Self {
            enabled: settings.balancer.health_checks,
            report_names: if has_reports { settings.load_report_names.clone() } else { Vec::new() },
            timeout: to_duration(settings.balancer.connect_timeout),
            idle: RefCell::default(),
            in_flight: RefCell::default(),
            waiting: Cell::default(),
            queue,
            limiter,
        }
    }

    /// Checks an endpoint and sends the result to the queue. The reported duration excludes the wait for a permit.
    pub async fn check(&self, endpoint: EndpointId, address: SocketAddr) {
        self.in_flight.borrow_mut().insert(endpoint);
        let idle = self.idle.borrow_mut().remove(&endpoint);
        let (reused, permit) = match idle {
            Some(idle) => (Some(idle.connection).filter(|_| idle.address == address), idle.permit),
            None => (None, self.acquire_permit().await),
        };
        let started_at = Instant::now();
        let result = self.run(reused, address).await;
        let may_keep_open = self.in_flight.borrow_mut().remove(&endpoint) && self.waiting.get() == 0;
        let answer = match result {
            Ok(Exchange { connection, answer }) => {
                if may_keep_open {
                    let idle = IdleConnection { address, connection, permit, last_checked_at: started_at };
                    self.idle.borrow_mut().insert(endpoint, idle);
                }
                answer
            }
            Err(outcome) => Answer { outcome, load_report: Vec::new() },
        };
        self.queue
            .send(DecisionEvent::HealthChecked {
                endpoint,
                outcome: answer.outcome,
                took: to_ticks(started_at.elapsed()),
                load_report: answer.load_report,
            })
            .await;
    }

    /// Applies a new endpoint list: reserves descriptors for the health checks, and closes the connections to endpoints
    /// that are no longer listed; a connection with a check in flight is closed when the check ends.
    pub fn update_endpoints(&self, endpoints: &BTreeMap<EndpointId, Endpoint>) {
        self.limiter.reserve_for_health_checks(if self.enabled { endpoints.len() } else { 0 });
        self.idle.borrow_mut().retain(|endpoint, _| endpoints.contains_key(endpoint));
        self.in_flight.borrow_mut().retain(|endpoint| endpoints.contains_key(endpoint));
    }

    /// Acquires a free permit, or else that of the least recently used idle connection, which is closed; or else waits
    /// for one to be released.
    async fn acquire_permit(&self) -> HealthCheckPermit {
        if let Some(free) = self.limiter.try_acquire_health_check() {
            return free;
        }
        if let Some(idle) = self.take_least_recently_used() {
            return idle.permit;
        }
        self.waiting.set(self.waiting.get() + 1);
        let next = self.limiter.acquire_health_check().await;
        self.waiting.set(self.waiting.get() - 1);
        next
    }

    fn take_least_recently_used(&self) -> Option<IdleConnection> {
        let mut idle = self.idle.borrow_mut();
        let oldest = idle.iter().min_by_key(|(endpoint, idle)| (idle.last_checked_at, **endpoint));
        let endpoint = oldest.map(|(&endpoint, _)| endpoint)?;
        idle.remove(&endpoint)
    }

    /// Runs a check on the reused connection if there is one and it still works, or else on a new one.
    async fn run(&self, reused: Option<Connection>, address: SocketAddr) -> Result<Exchange, AttemptOutcome> {
        if let Some(connection) = reused {
            let result = self.exchange(connection).await;
            // The endpoint may have closed an idle connection, or restarted, which says nothing about its current
            // health.
            if !matches!(result, Err(AttemptOutcome::Reset)) {
                return result;
            }
        }
        let connection = connect(address, self.timeout).await?;
        self.exchange(connection).await
    }

    async fn exchange(&self, mut connection: Connection) -> Result<Exchange, AttemptOutcome> {
        match with_timeout(self.timeout, self.exchange_lines(&mut connection)).await {
            Ok(answer) => Ok(Exchange { connection, answer }),
            Err(e) if e.kind() == ErrorKind::TimedOut => Err(AttemptOutcome::TimedOut),
            Err(_) => Err(AttemptOutcome::Reset),
        }
    }

    async fn exchange_lines(&self, connection: &mut Connection) -> std::io::Result<Answer> {
        let request: &[u8] = if self.report_names.is_empty() { b"PING\r\n" } else { b"STATS\r\n" };
        write_all_vectored(&connection.stream, &mut [IoSlice::new(request)]).await?;
        let length = connection.read_line().await?;
        let answer = self.parse_answer(&connection.buffer.bytes()[..length]);
        connection.buffer.consume(length);
        Ok(answer)
    }

    fn parse_answer(&self, line: &[u8]) -> Answer {
        let (message, report) = parse_server_message(line);
        match message {
            ServerMessage::Pong => Answer {
                outcome: AttemptOutcome::Succeeded,
                load_report: parse_load_report(report, &self.report_names),
            },
            ServerMessage::Busy => Answer { outcome: AttemptOutcome::AtCapacity, load_report: Vec::new() },
            _ => Answer { outcome: AttemptOutcome::Failed, load_report: Vec::new() },
        }
    }
}
