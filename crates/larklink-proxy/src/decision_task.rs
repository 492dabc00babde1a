//! The task that owns the engine, which makes all balancing decisions. Other tasks send it events through the
//! [`DecisionQueue`](crate::events::DecisionQueue); session tasks receive commands in return.
use std::collections::HashMap;
use std::convert::Infallible;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Instant;

use async_channel::{Receiver, Sender};
use async_executor::LocalExecutor;
use async_io::Timer;
use futures_lite::{FutureExt, future};
use larklink_balancer::{
    AttemptOutcome, EndpointState, ListScope, LogEvent, Observation, SessionRequest, TickDuration, Timestamp,
};
use larklink_engine::engine::{AttemptNumber, EndpointId, Engine, ProxyAction, SessionId};
use larklink_engine::settings::ProxySettings;

use crate::clock::{Clock, to_ticks};
use crate::endpoint_directory::EndpointDirectory;
use crate::endpoint_list::{Endpoint, endpoint_id};
use crate::events::{DecisionEvent, SessionCommand};
use crate::metrics::Metrics;
use crate::upstream::health_check::HealthChecker;
use crate::upstream::message_latency::LatencyEstimator;

/// How many events are handled before the task yields. Handling a full queue against a list of 1,024 endpoints in one
/// turn would delay noticing that a client disconnected while an attempt for it was connecting.
const MAX_EVENTS_AT_ONCE: usize = 64;

/// Runs the engine: passes it the events from the queue and executes the actions that it returns.
pub struct DecisionTask {
    engine: Engine,
    clock: Clock,
    /// `None` if message latency is not reported.
    message_latency: Option<LatencyEstimator>,
    endpoints: EndpointDirectory,
    /// The command channel of each session.
    commands: HashMap<SessionId, Sender<SessionCommand>>,
    health_checker: Rc<HealthChecker>,
    executor: Rc<LocalExecutor<'static>>,
    metrics: Arc<Metrics>,
    /// Dropped, which closes the channel, when discovery sends its first list.
    first_list: Option<Sender<Infallible>>,
}

impl DecisionTask {
    /// Creates a task that starts with the cached endpoint list. `first_list` is dropped when discovery sends its first
    /// list.
    pub fn new(
        settings: &ProxySettings,
        seed: u64,
        cached_endpoints: Vec<Endpoint>,
        health_checker: Rc<HealthChecker>,
        executor: Rc<LocalExecutor<'static>>,
        metrics: Arc<Metrics>,
        first_list: Sender<Infallible>,
    ) -> Self {
        let clock = Clock::start();
        let message_objective = settings.balancer.message_objective;
        let mut task = Self {
            engine: Engine::new(settings, seed, clock.now()),
            clock,
            message_latency: settings
                .reports_message_latency
                .then(|| LatencyEstimator::new(message_objective)),
            endpoints: EndpointDirectory::new(settings.zones.clone()),
            commands: HashMap::new(),
            health_checker,
            executor,
            metrics,
            first_list: Some(first_list),
        };
        task.update_endpoints(clock.now(), ListScope::Cached, &cached_endpoints);
        task
    }

    /// Runs until the process exits.
    pub async fn run(mut self, events: Receiver<DecisionEvent>) {
        loop {
            let wakeup = self.clock.to_instant(self.engine.next_wakeup());
            let event = async { events.recv().await.ok() };
            let wakeup_due = async {
                Timer::at(wakeup).await;
                None
            };
            let first = event.or(wakeup_due).await;
            let now = self.clock.now();
            let more = std::iter::from_fn(|| events.try_recv().ok());
            for event in first.into_iter().chain(more).take(MAX_EVENTS_AT_ONCE) {
                self.handle_event(now, event);
            }
            for action in self.engine.poll(now) {
                self.execute(now, action);
            }
            let health = self.engine.health_summary();
            self.metrics.set_endpoints(health.listed, health.avoided);
            if !events.is_empty() {
                future::yield_now().await;
            }
        }
    }

    fn handle_event(&mut self, now: Timestamp, event: DecisionEvent) {
        tracing::debug!(?event);
        match event {
            DecisionEvent::OpenSession { session, received_at, request, commands } => {
                self.commands.insert(session, commands);
                self.open_session(now, session, received_at, request);
            }
            DecisionEvent::FindEndpoint { session, endpoint, commands } => {
                self.send_address(endpoint, &commands);
                self.commands.insert(session, commands);
            }
            DecisionEvent::AdoptEstablished { session, request, endpoint } => {
                self.engine.adopt_established(now, session, request, endpoint);
            }
            DecisionEvent::Established { session, attempt } => {
                self.engine.established(now, session, attempt);
            }
            DecisionEvent::AttemptEnded { session, attempt, outcome, session_over } => {
                self.end_attempt(now, session, attempt, outcome, session_over);
            }
            DecisionEvent::ClientLeft { session } => {
                self.commands.remove(&session);
                self.engine.client_left(session);
            }
            DecisionEvent::Observed { session, attempt, observation } => {
                self.engine.observe(now, session, attempt, observation);
            }
            DecisionEvent::MessageAnswered { session, attempt, endpoint, took } => {
                self.record_message(now, session, attempt, endpoint, took);
            }
            DecisionEvent::HealthChecked { endpoint, outcome, took, load_report } => {
                self.engine.health_checked(now, endpoint, outcome, took, &load_report);
            }
            DecisionEvent::EndpointList(scope, endpoints) => {
                self.update_endpoints(now, scope, &endpoints);
                self.first_list = None;
            }
            DecisionEvent::TakeOver => self.engine.take_over_from_predecessor(now),
            DecisionEvent::CurrentEndpoints(reply) => {
                // Sending fails only if the requesting task has ended.
                let _ = reply.try_send(self.endpoints.listed().values().cloned().collect());
            }
            DecisionEvent::DiscoveryFailed => self.engine.discovery_failed(now),
        }
    }

    fn open_session(
        &mut self,
        now: Timestamp,
        session: SessionId,
        received_at: Instant,
        mut request: SessionRequest,
    ) {
        let waited = to_ticks(received_at.elapsed());
        request.dial_timeout = request.dial_timeout.saturating_sub(waited);
        if let Some(action) = self.engine.open_session(now, session, request) {
            self.execute(now, action);
        }
    }

    /// Sends the address of an endpoint to a session that is already established there. The session makes its own
    /// attempts and uses only the address.
    fn send_address(&self, endpoint: EndpointId, commands: &Sender<SessionCommand>) {
        let now = Instant::now();
        let connect = SessionCommand::Connect {
            attempt: 0,
            endpoint,
            address: self.endpoints.address(endpoint),
            deadline: now,
            send_deadline: now,
        };
        // Sending fails only if the session has ended.
        let _ = commands.try_send(connect);
    }

    fn end_attempt(
        &mut self,
        now: Timestamp,
        session: SessionId,
        attempt: AttemptNumber,
        outcome: AttemptOutcome,
        session_over: bool,
    ) {
        if session_over {
            self.commands.remove(&session);
        }
        if let Some(action) = self.engine.attempt_ended(now, session, attempt, outcome, session_over) {
            self.execute(now, action);
        }
    }

    fn record_message(
        &mut self,
        now: Timestamp,
        session: SessionId,
        attempt: AttemptNumber,
        endpoint: EndpointId,
        latency: TickDuration,
    ) {
        let Some(estimator) = &mut self.message_latency else { return };
        if let Some(mean) = estimator.record_answer(now, endpoint, latency) {
            self.engine.observe(now, session, attempt, Observation::MessageLatency(mean));
        }
    }

    fn update_endpoints(&mut self, now: Timestamp, scope: ListScope, endpoints: &[Endpoint]) {
        let entries = self.endpoints.update(scope, endpoints);
        self.health_checker.update_endpoints(self.endpoints.listed());
        for endpoint in self.engine.update_endpoints(now, scope, entries) {
            self.forget_endpoint(endpoint);
        }
        if scope.may_be_older() {
            self.keep_closed(endpoints);
        }
    }

    /// Takes over the state of endpoints that an older list has not made ready again.
    fn keep_closed(&mut self, endpoints: &[Endpoint]) {
        let ready = endpoints.iter().filter(|endpoint| endpoint.state() == EndpointState::Ready);
        for id in ready.map(|endpoint| endpoint_id(&endpoint.name)) {
            self.endpoints.keep_closed(id, self.engine.endpoint_state(id));
        }
    }

    fn forget_endpoint(&mut self, endpoint: EndpointId) {
        self.endpoints.forget(endpoint);
        if let Some(estimator) = &mut self.message_latency {
            estimator.forget(endpoint);
        }
    }

    fn execute(&mut self, now: Timestamp, action: ProxyAction) {
        tracing::debug!(?action);
        match action {
            ProxyAction::Connect { session, attempt, endpoint, timeout, send_deadline } => {
                let command = SessionCommand::Connect {
                    attempt,
                    endpoint,
                    address: self.endpoints.address(endpoint),
                    deadline: self.clock.to_instant(now + timeout),
                    send_deadline: self.clock.to_instant(send_deadline),
                };
                self.send_command(session, command);
            }
            ProxyAction::LimitSendDeadline { session, attempt, send_deadline } => {
                let send_deadline = self.clock.to_instant(send_deadline);
                self.send_command(session, SessionCommand::LimitSendDeadline { attempt, send_deadline });
            }
            ProxyAction::Reject { session, retry_after } => {
                self.send_final_command(session, SessionCommand::Reject { retry_after });
            }
            ProxyAction::Fail { session } => self.send_final_command(session, SessionCommand::Fail),
            ProxyAction::Migrate { session } => self.send_final_command(session, SessionCommand::Migrate),
            ProxyAction::CheckHealth { endpoint } => self.check_health(now, endpoint),
            // The discovery task polls continuously.
            ProxyAction::PollEndpointList => {}
            ProxyAction::Log(event) => log_event(event),
        }
    }

    /// Sends a command to a session.
    fn send_command(&self, session: SessionId, command: SessionCommand) {
        if let Some(commands) = self.commands.get(&session) {
            // The channel can hold every command that may be pending at once: sending fails only if the session has
            // ended.
            let _ = commands.try_send(command);
        }
    }

    /// Sends a session its final command and closes its command channel.
    fn send_final_command(&mut self, session: SessionId, command: SessionCommand) {
        self.send_command(session, command);
        self.commands.remove(&session);
    }

    fn check_health(&mut self, now: Timestamp, endpoint: EndpointId) {
        let Some(address) = self.endpoints.address(endpoint) else {
            self.engine.health_checked(now, endpoint, AttemptOutcome::ConnectFailed, TickDuration::ZERO, &[]);
            return;
        };
        let checker = Rc::clone(&self.health_checker);
        // The task ends with the check: it waits for a permit, and the check itself has a timeout.
        self.executor.spawn(async move { checker.check(endpoint, address).await }).detach();
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
