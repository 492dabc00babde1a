//! Assembles a proxy from its tasks, and stops it gracefully.
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
use crate::discovery::{self, schedule::PollSchedule};
use crate::endpoint_list::Endpoint;
use crate::events::{self, DecisionEvent, DecisionQueue};
use crate::handover::HandoverContext;
use crate::handover::predecessor::{HandedOverSession, Predecessor};
use crate::handover::successor::HandoverServer;
use crate::limiter::ConnectionLimiter;
use crate::metrics::Metrics;
use crate::session::context::SessionContext;
use crate::session::handler;
use crate::session::registry::SessionRegistry;
use crate::session::shutdown::Shutdown;
use crate::upstream::health_check::HealthChecker;

/// Descriptors kept for the listener, discovery, the log, the event loop and one handover, and for a connection that is
/// accepted while another is evicted for it. Those of the admin endpoint come on top.
const RESERVED_DESCRIPTORS: usize = 32;
/// How long new connections are still accepted after the proxy is asked to stop.
const ACCEPT_GRACE: Duration = Duration::from_millis(600);
/// How long the last of those may wait for an answer at most: for the longest dial timeout, up to this.
const MAX_ANSWER_GRACE: Duration = Duration::from_secs(3);
/// How long a new process waits for the first list of discovery before it counts as ready without one.
const FIRST_LIST_TIMEOUT: Duration = Duration::from_secs(2);
/// How often a stopping process looks whether its sessions have ended.
const SESSIONS_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// The streams of random numbers beside that of the decisions, all of one seed.
const DISCOVERY_RNG_STREAM: u64 = 1;
const SESSION_RNG_STREAM: u64 = 2;

/// What a process of a proxy starts with.
pub struct ProxyOptions {
    /// Its configuration.
    pub config: Config,
    /// Its listening socket.
    pub listener: TcpListener,
    /// Closes when the proxy is to stop.
    pub shutdown: Receiver<()>,
    /// Each new address of discovery.
    pub discovery_addresses: Receiver<SocketAddr>,
    /// Where it counts.
    pub metrics: Arc<Metrics>,
    /// Where the processes of this proxy meet, if there may be two.
    pub socket_path: Option<PathBuf>,
    /// The process that serves already.
    pub predecessor: Option<Predecessor>,
}

/// The handover of a process, from its predecessor and to its successor.
struct Handover {
    context: Rc<HandoverContext>,
    server: Rc<HandoverServer>,
    predecessor: Option<Predecessor>,
    handed_over: Sender<HandedOverSession>,
}

/// Runs a proxy until it was asked to stop and has stopped. The tasks that it spawns end with the executor.
///
/// # Errors
/// The listener cannot be registered with the reactor, or not be cloned for a successor.
pub async fn run(options: ProxyOptions, executor: Rc<LocalExecutor<'static>>) -> Result<()> {
    let ProxyOptions { mut config, listener, shutdown, metrics, socket_path, predecessor, .. } = options;
    let shared_listener = socket_path.as_ref().map(|_| listener.try_clone()).transpose()?;
    let listener = Async::new(listener)?;
    let (queue, events) = events::queue();
    let limiter = new_limiter(&config);
    let cached_endpoints = std::mem::take(&mut config.cached_endpoints);
    let endpoints = initial_endpoints(cached_endpoints, predecessor.as_ref());
    let first_list = spawn_decisions(&config, endpoints, &queue, events, &limiter, &metrics, &executor);
    spawn_discovery(&config, options.discovery_addresses, &queue, &executor);
    let (accepting_open, accepting_closed) = async_channel::bounded(1);
    let session_shutdown = Shutdown::new(shutdown.clone(), shutdown_grace(&config));
    let context =
        new_session_context(&config, &queue, &limiter, &metrics, session_shutdown, accepting_closed);
    // While a predecessor accepts connections, this process does not.
    let accepts_at_start = predecessor.is_none();
    let (accepting, accepting_changes) = async_channel::bounded(1);
    let (handed_over, handed_over_sessions) = async_channel::bounded(1);
    let handover = socket_path.map(|socket_path| {
        let handover_context = Rc::new(HandoverContext { socket_path, limiter, queue, accepting });
        let successor = Rc::clone(&context.successor);
        let server =
            HandoverServer::new(Rc::clone(&handover_context), shared_listener, successor, shutdown.clone());
        Handover { context: handover_context, server: Rc::new(server), predecessor, handed_over }
    });
    let handover_server = handover.as_ref().map(|handover| Rc::clone(&handover.server));

    let acceptor = Acceptor::new(listener, &context, &executor);
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
    drop(accepting_open);
    if let Some(server) = handover_server {
        server.close_listener();
    }
    drain_sessions(&context).await;
    Ok(())
}

fn new_limiter(config: &Config) -> Rc<ConnectionLimiter> {
    let admin_descriptors = if config.admin_address.is_some() { admin::DESCRIPTORS } else { 0 };
    let reserved = RESERVED_DESCRIPTORS + admin_descriptors;
    ConnectionLimiter::with_reserved(reserved, config.limits.max_descriptors)
}

/// The endpoint list to start with: the predecessor's if it has one, else the cached one.
fn initial_endpoints(cached: CachedEndpoints, predecessor: Option<&Predecessor>) -> Vec<Endpoint> {
    for reason in cached.unreadable {
        tracing::warn!(%reason, "cached endpoint ignored");
    }
    match predecessor {
        Some(predecessor) if !predecessor.endpoints.is_empty() => predecessor.endpoints.clone(),
        _ => cached.endpoints,
    }
}

/// Spawns the decision task; the channel that is returned closes with the first list of discovery.
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
    addresses: Receiver<SocketAddr>,
    queue: &DecisionQueue,
    executor: &LocalExecutor<'static>,
) {
    let settings = &config.settings.settings;
    let schedule =
        PollSchedule::new(settings.discovery_deadline, settings.drain_grace, settings.polled_discovery);
    let rng = new_rng(config.seed, DISCOVERY_RNG_STREAM);
    let follow = discovery::follow(config.discovery, addresses, schedule, queue.clone(), rng);
    executor.spawn(follow).detach();
}

fn new_rng(seed: u64, stream: u64) -> ChaCha8Rng {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    rng.set_stream(stream);
    rng
}

/// How long the proxy runs on after it is asked to stop.
fn shutdown_grace(config: &Config) -> Duration {
    ACCEPT_GRACE + to_duration(config.settings.max_dial_timeout).min(MAX_ANSWER_GRACE)
}

fn new_session_context(
    config: &Config,
    queue: &DecisionQueue,
    limiter: &Rc<ConnectionLimiter>,
    metrics: &Arc<Metrics>,
    shutdown: Shutdown,
    accepting_closed: Receiver<Infallible>,
) -> Rc<SessionContext> {
    Rc::new(SessionContext {
        queue: queue.clone(),
        metrics: Arc::clone(metrics),
        listeners: config.settings.listeners.clone(),
        connect_timeout: to_duration(config.settings.settings.connect_timeout),
        passthrough: config.settings.passthrough,
        rng: new_rng(config.seed, SESSION_RNG_STREAM).into(),
        shutdown,
        accepting_closed,
        limiter: Rc::clone(limiter),
        sessions: SessionRegistry::default(),
        successor: Rc::default(),
    })
}

/// Continues the sessions that the predecessor hands over.
async fn resume_sessions(
    context: &Rc<SessionContext>,
    sessions: &Receiver<HandedOverSession>,
    executor: &LocalExecutor<'static>,
) -> Infallible {
    while let Ok(session) = sessions.recv().await {
        // Ends with its session, or with the process.
        executor.spawn(handler::resume(Rc::clone(context), session)).detach();
    }
    future::pending().await
}

/// Makes the process ready, after it has taken over from its predecessor if there is one; then serves successors.
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
            let limiter = Rc::clone(&context.limiter);
            // Ends with the predecessor.
            executor.spawn(async move { predecessor.follow(&limiter, &handed_over).await }).detach();
        }
        None => list_ready.await,
    }
    // Before it is ready: the supervisor may then start the next process at once.
    let socket = server.bind();
    metrics.set_ready(true);
    let served = async { server.run(socket?, executor).await };
    if let Err(error) = served.await {
        let path = context.socket_path.display();
        tracing::warn!(%path, %error, "no process can take over from this one");
    }
    future::pending().await
}

/// Resolves with the first list, or after a time without: a silent discovery must not keep a process from being ready.
async fn first_list_or_timeout(first_list: Receiver<Infallible>) {
    let received = async {
        let _ = first_list.recv().await;
    };
    let timeout = async {
        Timer::after(FIRST_LIST_TIMEOUT).await;
    };
    received.or(timeout).await;
}

/// Starts the shutdown, and waits until no more connections come.
async fn drain_listener(context: &SessionContext) {
    // The grace period starts here.
    context.shutdown.deadline();
    // None comes any more where a successor accepts them.
    if !context.successor.is_present() {
        Timer::after(ACCEPT_GRACE).await;
    }
}

/// Waits until all sessions have ended, up to the deadline. Where packets pass through, they do so until those in front
/// of the proxy send them elsewhere.
async fn drain_sessions(context: &Rc<SessionContext>) {
    let deadline = context.shutdown.deadline();
    // Each session's task holds a reference.
    while Rc::strong_count(context) > 1 && Instant::now() < deadline {
        Timer::after(SESSIONS_POLL_INTERVAL).await;
    }
}
