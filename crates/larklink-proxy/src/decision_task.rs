//! The task that owns the decisions. Socket code reaches them through a [`Queue`] and hears back by orders.
use std::collections::{BTreeMap, HashMap};
use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Instant;

use async_channel::{Receiver, Sender};
use async_executor::LocalExecutor;
use async_io::Timer;
use futures_lite::{FutureExt, future};
use larklink_balancer::{AttemptOutcome, ListScope, LogEvent, Observation, Timestamp};
use larklink_engine::engine::{Engine, ProxyAction};
use larklink_engine::settings::ProxySettings;

use crate::clock::{Clock, tenths};
use crate::endpoint_list::{Endpoint, server_id};
use crate::events::{DecisionEvent, SessionCommand};
use crate::health_check::HealthChecker;
use crate::message_latency::LatencyEstimator;
use crate::metrics::Metrics;

/// Events that are heard before the others have their turn: a whole queue of sessions and a list of 1,024 servers
/// take longer than a client that has left may go unnoticed, while its connection comes up.
const TURN: usize = 64;

pub struct DecisionTask {
    engine: Engine,
    clock: Clock,
    zones: Vec<String>,
    delays: Option<LatencyEstimator>,
    addresses: HashMap<u32, SocketAddr>,
    /// The list as it stands.
    listed: BTreeMap<u32, Endpoint>,
    /// Where the orders of each session go.
    orders: HashMap<u32, Sender<SessionCommand>>,
    probes: Rc<HealthChecker>,
    executor: Rc<LocalExecutor<'static>>,
    figures: Arc<Metrics>,
    /// Closes with the first list that discovery sends.
    fresh: Option<Sender<Infallible>>,
}

impl DecisionTask {
    pub fn new(
        facts: &ProxySettings,
        seed: u64,
        known: Vec<Endpoint>,
        probes: Rc<HealthChecker>,
        executor: Rc<LocalExecutor<'static>>,
        figures: Arc<Metrics>,
        fresh: Sender<Infallible>,
    ) -> Self {
        let clock = Clock::start();
        let mut owner = Self {
            engine: Engine::new(facts, seed, clock.now()),
            clock,
            zones: facts.zones.clone(),
            delays: facts
                .reports_message_latency
                .then(|| LatencyEstimator::new(facts.settings.message_objective)),
            addresses: HashMap::new(),
            listed: BTreeMap::new(),
            orders: HashMap::new(),
            probes,
            executor,
            figures,
            fresh: Some(fresh),
        };
        owner.heard_list(clock.now(), ListScope::Cached, known);
        owner
    }

    pub async fn run(mut self, events: Receiver<DecisionEvent>) {
        loop {
            let due = self.clock.instant(self.engine.next_wakeup());
            let first = async { events.recv().await.ok() }
                .or(async {
                    Timer::at(due).await;
                    None
                })
                .await;
            let now = self.clock.now();
            // What has come by now, up to a turn of it, then polls once.
            let more = std::iter::from_fn(|| events.try_recv().ok());
            first.into_iter().chain(more).take(TURN).for_each(|event| self.hear(now, event));
            for action in self.engine.poll(now) {
                self.act(now, action);
            }
            let health = self.engine.health_summary();
            self.figures.servers(health.listed, health.avoided);
            if !events.is_empty() {
                future::yield_now().await;
            }
        }
    }

    fn hear(&mut self, now: Timestamp, event: DecisionEvent) {
        tracing::debug!(?event);
        match event {
            DecisionEvent::OpenSession { session, received_at: came, request: mut ask, commands: orders } => {
                ask.dial_timeout = ask.dial_timeout.saturating_sub(tenths(came.elapsed()));
                self.orders.insert(session, orders);
                if let Some(action) = self.engine.open_session(now, session, ask) {
                    self.act(now, action);
                }
            }
            DecisionEvent::FindEndpoint { session, endpoint: server, commands: orders } => {
                let address = self.addresses.get(&server).copied();
                let now = Instant::now();
                let _ = orders.try_send(SessionCommand::Connect {
                    attempt: 0,
                    endpoint: server,
                    address,
                    deadline: now,
                    send_deadline: now,
                });
                self.orders.insert(session, orders);
            }
            DecisionEvent::AdoptEstablished { session, request: ask, endpoint: server } => {
                self.engine.adopt_established(now, session, ask, server)
            }
            DecisionEvent::Established { session, attempt: dial } => {
                self.engine.established(now, session, dial)
            }
            DecisionEvent::AttemptEnded { session, attempt: dial, outcome: how, session_over: over } => {
                if over {
                    self.orders.remove(&session);
                }
                if let Some(action) = self.engine.attempt_ended(now, session, dial, how, over) {
                    self.act(now, action);
                }
            }
            DecisionEvent::ClientLeft { session } => {
                self.orders.remove(&session);
                self.engine.client_left(session);
            }
            DecisionEvent::Observed { session, attempt: dial, observation: note } => {
                self.engine.observe(now, session, dial, note)
            }
            DecisionEvent::MessageAnswered { session, attempt: dial, endpoint: server, took } => {
                if let Some(delay) = self.delays.as_mut().and_then(|d| d.echo(now, server, took)) {
                    self.engine.observe(now, session, dial, Observation::MessageLatency(delay));
                }
            }
            DecisionEvent::HealthChecked { endpoint: server, outcome: how, took, load_report: report } => {
                self.engine.health_checked(now, server, how, took, &report)
            }
            DecisionEvent::EndpointList(scope, endpoints) => {
                self.heard_list(now, scope, endpoints);
                self.fresh = None;
            }
            DecisionEvent::TakeOver => self.engine.take_over(now),
            DecisionEvent::CurrentEndpoints(to) => _ = to.try_send(self.listed.values().cloned().collect()),
            DecisionEvent::DiscoveryFailed => self.engine.discovery_failed(now),
        }
    }

    fn heard_list(&mut self, now: Timestamp, scope: ListScope, endpoints: Vec<Endpoint>) {
        if scope != ListScope::Changes {
            self.listed.clear();
        }
        for e in &endpoints {
            let id = server_id(&e.name);
            match e.address.parse() {
                Ok(address) => {
                    self.addresses.insert(id, address);
                }
                Err(_) if e.status == "up" => tracing::warn!("server {} has no address we can read", e.name),
                Err(_) => {}
            }
            if e.status == "removed" {
                self.listed.remove(&id);
            } else {
                self.listed.insert(id, e.clone());
            }
            tracing::info!("server {} {} is {:08x}, since {}", e.name, e.status, id, e.since_ms);
        }
        self.probes.listed(&self.listed);
        self.engine.update_endpoints(now, scope, endpoints.iter().map(|e| e.entry(&self.zones)).collect());
    }

    fn act(&mut self, now: Timestamp, action: ProxyAction) {
        tracing::debug!(?action);
        let (session, order) = match action {
            ProxyAction::Connect {
                session,
                attempt: dial,
                endpoint: server,
                timeout: limit,
                send_deadline: by,
            } => {
                let address = self.addresses.get(&server).copied();
                let (until, by) = (self.clock.instant(now + limit), self.clock.instant(by));
                (
                    session,
                    SessionCommand::Connect {
                        attempt: dial,
                        endpoint: server,
                        address,
                        deadline: until,
                        send_deadline: by,
                    },
                )
            }
            ProxyAction::LimitSendDeadline { session, attempt: dial, send_deadline: by } => (
                session,
                SessionCommand::LimitSendDeadline { attempt: dial, send_deadline: self.clock.instant(by) },
            ),
            ProxyAction::Reject { session, retry_after } => (session, SessionCommand::Reject { retry_after }),
            ProxyAction::Fail { session } => (session, SessionCommand::Fail),
            ProxyAction::Migrate { session } => (session, SessionCommand::Migrate),
            ProxyAction::CheckHealth { endpoint: server } => {
                match self.addresses.get(&server) {
                    Some(&address) => {
                        let probes = Rc::clone(&self.probes);
                        self.executor.spawn(async move { probes.ask(server, address).await }).detach();
                    }
                    None => self.engine.health_checked(now, server, AttemptOutcome::ConnectFailed, 0, &[]),
                }
                return;
            }
            // The list is followed all the time.
            ProxyAction::PollEndpointList => return,
            ProxyAction::Log(event) => return log_event(event),
        };
        let last =
            !matches!(order, SessionCommand::Connect { .. } | SessionCommand::LimitSendDeadline { .. });
        if let Some(orders) = self.orders.get(&session) {
            // A session has at most a dial, word on it and a move waiting for it; one that has ended hears no more.
            let _ = orders.try_send(order);
        }
        if last {
            self.orders.remove(&session);
        }
    }
}

fn log_event(event: LogEvent) {
    match event {
        LogEvent::EndpointEjected { endpoint_id, sessions } => {
            let endpoint = format!("{endpoint_id:08x}");
            tracing::warn!(endpoint, sessions, "endpoint ejected, migrating its sessions");
        }
        LogEvent::AttemptsLimited => tracing::warn!("attempts fail on several endpoints, attempts limited"),
    }
}
