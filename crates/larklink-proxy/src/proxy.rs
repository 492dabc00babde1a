//! Puts a proxy together: takes connections in, and stops in good order.
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use async_channel::Receiver;
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use futures_lite::{FutureExt, future};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::admin;
use crate::clock::to_duration;
use crate::config::Config;
use crate::decision_task::DecisionTask;
use crate::discovery::{self, schedule::PollSchedule};
use crate::events;
use crate::handover::HandoverContext;
use crate::handover::predecessor::Predecessor;
use crate::handover::successor::HandoverServer;
use crate::limiter::ConnectionLimiter;
use crate::metrics::Metrics;
use crate::session::context::SessionContext;
use crate::session::handler;
use crate::session::registry::SessionRegistry;
use crate::session::shutdown::Shutdown;
use crate::upstream::health_check::HealthChecker;

/// Descriptors kept for the listener, discovery, logs, the event loop and one handover, and for a connection that is
/// taken while another gives way to it. Those of the operators' door are kept beside.
const RESERVED: usize = 32;
/// After a failure to accept, as with no descriptors left.
const BREATHE: Duration = Duration::from_millis(20);
/// Connections that are taken before others run again, as long as there is room.
const AT_ONCE: usize = 32;
/// New connections go on coming for so long after a stop was asked for, at most; then none is taken.
const STILL_COMING: Duration = Duration::from_millis(600);
/// The last of them has its answer by the longest dial timeout from then on, as far as that is waited for.
const LONGEST: Duration = Duration::from_secs(3);
/// A process counts as ready with the first list from discovery, or after so long without one.
const FRESH: Duration = Duration::from_secs(2);
const LOOK: Duration = Duration::from_millis(10);

/// What a process of a proxy starts with.
pub struct Start {
    pub config: Config,
    pub listener: TcpListener,
    /// Closes when it is to stop.
    pub stop: Receiver<()>,
    /// Brings each new address of discovery.
    pub moved: Receiver<SocketAddr>,
    pub figures: Arc<Metrics>,
    /// Where processes of this proxy meet, if there may be two, and the one that serves already.
    pub place: Option<PathBuf>,
    pub old: Option<Predecessor>,
}

/// Runs a proxy until it was asked to stop and has stopped.
///
/// # Errors
/// The listener cannot be waited for.
pub async fn run(start: Start, executor: Rc<LocalExecutor<'static>>) -> std::io::Result<()> {
    let Start { config, listener, stop, moved, figures, place, old } = start;
    let kept = place.as_ref().map(|_| listener.try_clone()).transpose()?;
    let listener = Async::new(listener)?;
    let (queue, events) = events::queue();
    let facts = config.settings;
    let mut known = config.cached_endpoints.endpoints;
    for left_out in config.cached_endpoints.unreadable {
        tracing::warn!("of the list that was kept some is left out: {left_out}");
    }
    if let Some(old) = old.as_ref().filter(|old| !old.endpoints.is_empty()) {
        known.clone_from(&old.endpoints);
    }
    let door = if config.admin_address.is_some() { admin::DESCRIPTORS } else { 0 };
    let limiter = ConnectionLimiter::with_reserved(RESERVED + door, config.limits.max_descriptors);
    // Streams of their own beside the decisions', from the one seed.
    let chance = |stream| {
        let mut rng = ChaCha8Rng::seed_from_u64(config.seed);
        rng.set_stream(stream);
        rng
    };
    let (fresh, first) = async_channel::bounded(1);
    let probes = Rc::new(HealthChecker::new(&facts, queue.clone(), Rc::clone(&limiter)));
    let owner = DecisionTask::new(
        &facts,
        config.seed,
        known,
        probes,
        Rc::clone(&executor),
        Arc::clone(&figures),
        fresh,
    );
    executor.spawn(owner.run(events)).detach();
    let set = &facts.settings;
    let schedule = PollSchedule::new(set.discovery_deadline, set.drain_grace, set.polled_discovery);
    let watch = discovery::follow(config.discovery, moved, schedule, queue.clone(), chance(1));
    executor.spawn(watch).detach();
    let (open, closed) = async_channel::bounded(1);
    let front = Rc::new(SessionContext {
        queue: queue.clone(),
        metrics: Arc::clone(&figures),
        listeners: facts.listeners,
        connect_timeout: to_duration(facts.settings.connect_timeout),
        passthrough: facts.passes,
        rng: chance(2).into(),
        listener_closed: closed,
        shutdown: Shutdown::new(stop.clone(), STILL_COMING + to_duration(facts.longest).min(LONGEST)),
        limiter: Rc::clone(&limiter),
        sessions: SessionRegistry::default(),
        successor: Rc::default(),
    });
    let (taking, turns) = async_channel::bounded(1);
    let (handed_over, sessions) = async_channel::bounded(1);
    let context = place.map(|socket_path| {
        Rc::new(HandoverContext { socket_path, limiter: Rc::clone(&limiter), queue, accepting: taking })
    });
    let handover = context.as_ref().map(|context| {
        let successor = Rc::clone(&front.successor);
        Rc::new(HandoverServer::new(Rc::clone(context), kept, successor, stop.clone()))
    });
    // While an old process takes connections, this one does not.
    let mut takes = old.is_none();
    let admit = |stream| match front.limiter.try_acquire() {
        Some(place) => executor.spawn(handler::handle(Rc::clone(&front), stream, place)).detach(),
        None => handler::reject_connection(&stream),
    };
    let accept = async {
        let mut at_once = 0;
        loop {
            let turn = async {
                match turns.recv().await {
                    Ok(takes) => Err(takes),
                    Err(_) => future::pending().await,
                }
            };
            let next = async {
                match takes {
                    true => Ok(listener.accept().await),
                    false => future::pending().await,
                }
            };
            match turn.or(next).await {
                Err(now) => takes = now,
                Ok(Ok((stream, _))) => {
                    admit(stream);
                    // Who gives way is to have closed before the next one comes. Else many are taken at once: in a
                    // flood others run two hundred times before this does again, and the queue would be left full.
                    front.limiter.evictions_done().await;
                    at_once += 1;
                    if at_once >= AT_ONCE || front.limiter.is_full() {
                        at_once = 0;
                        future::yield_now().await;
                    }
                }
                Ok(Err(e)) => {
                    tracing::warn!("accept: {e}");
                    Timer::after(BREATHE).await;
                }
            }
        }
    };
    let inherit = async {
        while let Ok(session) = sessions.recv().await {
            executor.spawn(handler::resume(Rc::clone(&front), session)).detach();
        }
        future::pending().await
    };
    let serve = async {
        // As fresh as can be had: a silent discovery keeps no process from ever being ready.
        let waited = Timer::after(FRESH);
        let fresh = async {
            let heard = async {
                let _ = first.recv().await;
            };
            let waited = async {
                waited.await;
            };
            heard.or(waited).await;
        };
        let (Some(handover), Some(context)) = (&handover, &context) else {
            fresh.await;
            figures.set_ready(true);
            return future::pending().await;
        };
        match old {
            Some(old) => {
                let old = old.take_over(context, fresh).await;
                let limiter = Rc::clone(&limiter);
                executor.spawn(async move { old.follow(&limiter, &handed_over).await }).detach();
            }
            None => fresh.await,
        }
        // Who waits for the yes may start another process at once.
        let place = handover.bind();
        figures.set_ready(true);
        let offered = async { Rc::clone(handover).run(place?, &executor).await };
        if let Err(e) = offered.await {
            tracing::warn!("{}: no process can take over from this one: {e}", context.socket_path.display());
        }
        future::pending().await
    };
    let stopped = async {
        let _ = stop.recv().or(serve).await;
        figures.set_ready(false);
        front.shutdown.deadline();
        // None comes any more where a new process takes them.
        if !front.successor.is_present() {
            Timer::after(STILL_COMING).await;
        }
    };
    accept.or(inherit).or(stopped).await;
    // What the kernel has taken for us counts as taken: the listener's end would reset it.
    while let Ok((stream, _)) = listener.get_ref().accept() {
        let _ = Async::new(stream).map(admit);
        front.limiter.evictions_done().await;
    }
    tracing::info!("no more connections are taken: the proxy stops");
    drop(listener);
    drop(open);
    if let Some(handover) = &handover {
        handover.close_listener();
    }
    let until = front.shutdown.deadline();
    // Where packets pass through, too: they go on through this proxy until those in front send them elsewhere.
    while Rc::strong_count(&front) > 1 && Instant::now() < until {
        Timer::after(LOOK).await;
    }
    Ok(())
}
