//! Starts the tasks of a proxy and shuts it down gracefully.
use std::cell::Cell;
use std::convert::Infallible;
use std::io::Result;
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use async_channel::{Receiver, Sender};
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use futures_lite::{FutureExt, future};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::accept::Acceptor;
use crate::admin;
use crate::clock::to_duration;
use crate::config::{CachedEndpoints, Config};
use crate::decision_task::DecisionTask;
use crate::discovery::{self, DiscoveryClient, schedule::PollSchedule};
use crate::endpoint_list::Endpoint;
use crate::events::{self, DecisionEvent, DecisionQueue};
use crate::handover::HandoverContext;
use crate::handover::predecessor::{HandedOverSession, Predecessor};
use crate::handover::successor::HandoverServer;
use crate::limiter::ConnectionLimiter;
use crate::metrics::Metrics;
use crate::session::context::SessionContext;
use crate::session::handler;
use crate::session::shutdown::Shutdown;
use crate::upstream::health_check::HealthChecker;

/// Descriptors reserved for the listener, discovery, the log, the event loop, one handover, and a connection that is
/// accepted before the one evicted for it has closed. The admin endpoint needs [`admin::DESCRIPTORS`] more.
const RESERVED_DESCRIPTORS: usize = 32;
/// How long new connections are still accepted after shutdown is requested.
const ACCEPT_GRACE: Duration = Duration::from_millis(600);
/// The most time for answering the last accepted connections; the longest dial timeout applies if it is shorter.
const MAX_ANSWER_GRACE: Duration = Duration::from_secs(3);
/// How long a starting process waits for the first endpoint list before it becomes ready without one.
const FIRST_LIST_TIMEOUT: Duration = Duration::from_secs(2);
/// How often a process that is shutting down checks whether its sessions have ended.
const SESSIONS_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Streams of random numbers. They share the configured seed; the decision engine uses a stream of its own.
const DISCOVERY_RNG_STREAM: u64 = 1;
const SESSION_RNG_STREAM: u64 = 2;

/// The inputs of [`run`].
pub struct ProxyOptions {
    /// The configuration.
    pub config: Config,
    /// The listening socket.
    pub listener: TcpListener,
    /// Closes when shutdown is requested.
    pub shutdown: Receiver<()>,
    /// Receives the address of discovery on each reload of the configuration.
    pub discovery_addresses: Receiver<SocketAddr>,
    /// The metrics that the proxy updates.
    pub metrics: Arc<Metrics>,
    /// The path of the handover socket; none if handover is disabled.
    pub socket_path: Option<PathBuf>,
    /// The process to take over from, if there is one.
    pub predecessor: Option<Predecessor>,
}

/// What the process needs to take over from its predecessor and to hand over to its successor.
struct Handover {
    context: Rc<HandoverContext>,
    server: Rc<HandoverServer>,
    predecessor: Option<Predecessor>,
    handed_over: Sender<HandedOverSession>,
}

/// Runs a proxy until shutdown is requested and complete. The tasks that it spawns are dropped with the executor.
///
/// # Errors
/// The listener cannot be registered with the reactor or cloned for a successor.
pub async fn run(options: ProxyOptions, executor: Rc<LocalExecutor<'static>>) -> Result<()> {
    let ProxyOptions { mut config, listener, shutdown, metrics, socket_path, predecessor, .. } = options;
    let shared_listener = socket_path.as_ref().map(|_| listener.try_clone()).transpose()?;
    let listener = Async::new(listener)?;
    let (queue, events) = events::queue();
    let limiter = new_limiter(&config);
    let cached_endpoints = std::mem::take(&mut config.cached_endpoints);
    let endpoints = initial_endpoints(cached_endpoints, predecessor.as_ref());
    let has_list = !endpoints.is_empty();
    let first_list = spawn_decisions(&config, endpoints, &queue, events, &limiter, &metrics, &executor);
    spawn_discovery(&config, has_list, options.discovery_addresses, &queue, &metrics, &executor);
    // Dropping the guard closes the channel.
    let (accept_guard, accepting_stopped) = async_channel::bounded(1);
    let session_shutdown = Shutdown::new(shutdown.clone(), shutdown_grace(&config));
    let context =
        new_session_context(&config, &queue, &limiter, &metrics, session_shutdown, accepting_stopped);
    // With a predecessor, this process accepts connections only once the predecessor has stopped accepting them.
    let accepts_at_start = predecessor.is_none();
    let (accepting_sender, accepting_changes) = async_channel::bounded(1);
    let (handed_over, handed_over_sessions) = async_channel::bounded(1);
    let handover = socket_path.map(|socket_path| {
        let handover_context = Rc::new(HandoverContext {
            socket_path,
            limiter,
            sessions: Rc::clone(&context.sessions),
            queue,
            accepting_sender,
            predecessor_stopping: Cell::default(),
        });
        let successor = Rc::clone(&context.successor);
        let server =
            HandoverServer::new(Rc::clone(&handover_context), shared_listener, successor, shutdown.clone());
        Handover { context: handover_context, server: Rc::new(server), predecessor, handed_over }
    });
    let handover_server = handover.as_ref().map(|handover| Rc::clone(&handover.server));
    let handover_context = handover.as_ref().map(|handover| Rc::clone(&handover.context));

    let acceptor = Acceptor::new(listener, &context, &executor);
    // Only `stop` resolves; the others run until then.
    let accept = async { match acceptor.run(accepts_at_start, &accepting_changes).await {} };
    let resume = async { match resume_sessions(&context, &handed_over_sessions, &executor).await {} };
    let ready = async { match become_ready(handover, first_list, &metrics, &executor).await {} };
    let stop = async {
        let requested = async {
            let _ = shutdown.recv().await;
        };
        requested.or(ready).await;
        metrics.set_ready(false);
        drain_listener(&context).await;
    };
    accept.or(resume).or(stop).await;

    acceptor.accept_queued().await;
    tracing::info!("shutting down, no more connections accepted");
    drop(acceptor);
    drop(accept_guard);
    if let Some(server) = handover_server {
        server.close_listener();
    }
    // The predecessor may still be ending, and hand over sessions that it establishes meanwhile.
    let resume = async { match resume_sessions(&context, &handed_over_sessions, &executor).await {} };
    let may_receive = || may_receive_sessions(handover_context.as_deref(), &handed_over_sessions);
    resume.or(drain_sessions(&context, may_receive)).await;
    Ok(())
}

fn new_limiter(config: &Config) -> Rc<ConnectionLimiter> {
    let admin_descriptors = if config.admin_address.is_some() { admin::DESCRIPTORS } else { 0 };
    let reserved = RESERVED_DESCRIPTORS + admin_descriptors;
    ConnectionLimiter::with_reserved(reserved, config.limits.max_descriptors)
}

/// Returns the endpoint list to start with: the predecessor's if it has one, else the cached one.
fn initial_endpoints(cached: CachedEndpoints, predecessor: Option<&Predecessor>) -> Vec<Endpoint> {
    for reason in cached.errors {
        tracing::warn!(%reason, "cached endpoint ignored");
    }
    match predecessor {
        Some(predecessor) if !predecessor.endpoints.is_empty() => predecessor.endpoints.clone(),
        _ => cached.endpoints,
    }
}

/// Spawns the decision task. The returned channel closes when discovery has sent the first endpoint list.
fn spawn_decisions(
    config: &Config,
    endpoints: Vec<Endpoint>,
    queue: &DecisionQueue,
    events: Receiver<DecisionEvent>,
    limiter: &Rc<ConnectionLimiter>,
    metrics: &Arc<Metrics>,
    executor: &Rc<LocalExecutor<'static>>,
) -> Receiver<Infallible> {
    let settings = &config.settings;
    let (first_list_pending, first_list) = async_channel::bounded(1);
    let health_checker = Rc::new(HealthChecker::new(settings, queue.clone(), Rc::clone(limiter)));
    let task = DecisionTask::new(
        settings,
        config.seed,
        endpoints,
        health_checker,
        Rc::clone(executor),
        Arc::clone(metrics),
        first_list_pending,
    );
    executor.spawn(task.run(events)).detach();
    first_list
}

fn spawn_discovery(
    config: &Config,
    has_list: bool,
    addresses: Receiver<SocketAddr>,
    queue: &DecisionQueue,
    metrics: &Arc<Metrics>,
    executor: &LocalExecutor<'static>,
) {
    let settings = &config.settings.balancer;
    let schedule =
        PollSchedule::new(settings.discovery_deadline, settings.drain_grace, settings.polled_discovery)
            .with_proxies(settings.proxy_count);
    let rng = new_rng(config.seed, DISCOVERY_RNG_STREAM);
    let client = DiscoveryClient {
        schedule,
        has_list,
        newest_index: 0,
        queue: queue.clone(),
        metrics: Arc::clone(metrics),
        rng,
    };
    executor.spawn(discovery::follow(client, config.discovery, addresses)).detach();
}

fn new_rng(seed: u64, stream: u64) -> ChaCha8Rng {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    rng.set_stream(stream);
    rng
}

/// Returns how long the proxy keeps running after shutdown is requested.
fn shutdown_grace(config: &Config) -> Duration {
    ACCEPT_GRACE + to_duration(config.settings.max_dial_timeout).min(MAX_ANSWER_GRACE)
}

fn new_session_context(
    config: &Config,
    queue: &DecisionQueue,
    limiter: &Rc<ConnectionLimiter>,
    metrics: &Arc<Metrics>,
    shutdown: Shutdown,
    accepting_stopped: Receiver<Infallible>,
) -> Rc<SessionContext> {
    Rc::new(SessionContext {
        queue: queue.clone(),
        metrics: Arc::clone(metrics),
        listeners: config.settings.listeners.clone(),
        connect_timeout: to_duration(config.settings.balancer.connect_timeout),
        passthrough: config.settings.passthrough,
        rng: new_rng(config.seed, SESSION_RNG_STREAM).into(),
        shutdown,
        accepting_stopped,
        limiter: Rc::clone(limiter),
        sessions: Rc::default(),
        successor: Rc::default(),
    })
}

/// Resumes the sessions that the predecessor hands over.
async fn resume_sessions(
    context: &Rc<SessionContext>,
    sessions: &Receiver<HandedOverSession>,
    executor: &LocalExecutor<'static>,
) -> Infallible {
    while let Ok(session) = sessions.recv().await {
        // The task ends with its session or with the executor.
        executor.spawn(handler::resume(Rc::clone(context), session)).detach();
    }
    future::pending().await
}

/// Takes over from the predecessor, if there is one, and marks the process as ready; then serves successors.
async fn become_ready(
    handover: Option<Handover>,
    first_list: Receiver<Infallible>,
    metrics: &Metrics,
    executor: &LocalExecutor<'static>,
) -> Infallible {
    let list_ready = first_list_or_timeout(first_list);
    let Some(Handover { context, server, predecessor, handed_over }) = handover else {
        list_ready.await;
        metrics.set_ready(true);
        return future::pending().await;
    };
    match predecessor {
        Some(predecessor) => {
            let predecessor = predecessor.take_over(&context, list_ready).await;
            let context = Rc::clone(&context);
            // The task ends when the predecessor exits.
            executor.spawn(async move { predecessor.follow(&context, &handed_over).await }).detach();
        }
        None => list_ready.await,
    }
    // The socket is bound first: the supervisor may start the next process as soon as this one is ready.
    let socket = server.bind();
    metrics.set_ready(true);
    let served = async { server.run(socket?, executor).await };
    if let Err(error) = served.await {
        let path = context.socket_path.display();
        tracing::warn!(%path, %error, "no process can take over from this one");
    }
    future::pending().await
}

/// Waits for the first endpoint list, but no longer than [`FIRST_LIST_TIMEOUT`]: an unresponsive discovery service must
/// not keep a process from becoming ready.
async fn first_list_or_timeout(first_list: Receiver<Infallible>) {
    let received = async {
        let _ = first_list.recv().await;
    };
    let timeout = async {
        Timer::after(FIRST_LIST_TIMEOUT).await;
    };
    received.or(timeout).await;
}

/// Starts the shutdown, and waits while new connections may still arrive.
async fn drain_listener(context: &SessionContext) {
    // Called for its effect: the first call starts the grace period.
    context.shutdown.deadline();
    // A successor already accepts all new connections.
    if !context.successor.is_present() {
        Timer::after(ACCEPT_GRACE).await;
    }
}

/// Whether the predecessor may still hand sessions over.
fn may_receive_sessions(
    handover: Option<&HandoverContext>,
    handed_over: &Receiver<HandedOverSession>,
) -> bool {
    // The connection to the predecessor holds the sender.
    handover.is_some_and(|handover| handover.predecessor_stopping.get()) && !handed_over.is_closed()
}

/// Waits until all connections have ended and no more can be handed over, or the deadline has passed. In pass-through mode clients are not migrated:
/// sessions are relayed until the deadline, while the load balancer in front moves their connections to other proxies.
async fn drain_sessions(context: &Rc<SessionContext>, may_receive_sessions: impl Fn() -> bool) {
    let deadline = context.shutdown.deadline();
    // Each connection's task holds a reference to the context.
    let has_more = || Rc::strong_count(context) > 1 || may_receive_sessions();
    while has_more() && Instant::now() < deadline {
        Timer::after(SESSIONS_POLL_INTERVAL).await;
    }
}
