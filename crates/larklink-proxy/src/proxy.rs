//! Puts a proxy together: takes connections in, and stops in good order.
use std::cell::{Cell, RefCell};
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
use crate::clients::{self, SessionContext};
use crate::clock::span;
use crate::config::Config;
use crate::decision_task::DecisionTask;
use crate::discovery::{self, Paces};
use crate::events;
use crate::handover::{Handover, Predecessor};
use crate::health_check::HealthChecker;
use crate::limiter::ConnectionLimiter;
use crate::metrics::Metrics;

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
    let mut known = config.known.endpoints;
    for left_out in config.known.left_out {
        tracing::warn!("of the list that was kept some is left out: {left_out}");
    }
    if let Some(old) = old.as_ref().filter(|old| !old.list.is_empty()) {
        known.clone_from(&old.list);
    }
    let door = if config.console.is_some() { admin::DESCRIPTORS } else { 0 };
    let limiter = ConnectionLimiter::beside(RESERVED + door, config.limits.sockets);
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
    let paces = Paces::new(set.discovery_deadline, set.drain_grace, set.polled_discovery);
    let watch = discovery::follow(config.discovery, moved, paces, queue.clone(), chance(1));
    executor.spawn(watch).detach();
    let (open, closed) = async_channel::bounded(1);
    let front = Rc::new(SessionContext {
        queue: queue.clone(),
        figures: Arc::clone(&figures),
        listeners: facts.listeners,
        connect_timeout: span(facts.settings.connect_timeout),
        passes: facts.passthrough,
        chance: chance(2).into(),
        stop: stop.clone(),
        closed,
        last: STILL_COMING + span(facts.max_dial_timeout).min(LONGEST),
        stopped: Cell::new(None),
        next: Cell::new(0),
        limiter: Rc::clone(&limiter),
        open: RefCell::default(),
        successor: Rc::default(),
    });
    let (taking, turns) = async_channel::bounded(1);
    let (handed_over, sessions) = async_channel::bounded(1);
    let handover = place.map(|place| {
        Rc::new(Handover {
            place,
            limiter: Rc::clone(&limiter),
            queue,
            taking,
            stop: stop.clone(),
            listener: kept.into(),
            successor: Rc::clone(&front.successor),
            lost: async_channel::bounded(1),
            handed_over,
        })
    });
    // While an old process takes connections, this one does not.
    let mut takes = old.is_none();
    let admit = |stream| match front.limiter.enter() {
        Some(place) => executor.spawn(clients::serve(Rc::clone(&front), stream, place)).detach(),
        None => clients::turn_away(&stream),
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
                    front.limiter.settled().await;
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
            executor.spawn(clients::inherit(Rc::clone(&front), session)).detach();
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
        let Some(handover) = &handover else {
            fresh.await;
            figures.set_ready(true);
            return future::pending().await;
        };
        match old {
            Some(old) => {
                let old = handover.take(old, fresh).await;
                let handover = Rc::clone(handover);
                executor.spawn(async move { handover.follow(old).await }).detach();
            }
            None => fresh.await,
        }
        // Who waits for the yes may start another process at once.
        let place = handover.open();
        figures.set_ready(true);
        let offered = async { Rc::clone(handover).offer(place?, &executor).await };
        if let Err(e) = offered.await {
            tracing::warn!("{}: no process can take over from this one: {e}", handover.place.display());
        }
        future::pending().await
    };
    let stopped = async {
        let _ = stop.recv().or(serve).await;
        figures.set_ready(false);
        front.until();
        // None comes any more where a new process takes them.
        if !front.successor.is_there() {
            Timer::after(STILL_COMING).await;
        }
    };
    accept.or(inherit).or(stopped).await;
    // What the kernel has taken for us counts as taken: the listener's end would reset it.
    while let Ok((stream, _)) = listener.get_ref().accept() {
        let _ = Async::new(stream).map(admit);
        front.limiter.settled().await;
    }
    tracing::info!("no more connections are taken: the proxy stops");
    drop(listener);
    drop(open);
    if let Some(handover) = &handover {
        handover.listener.take();
    }
    let until = front.until();
    // Where packets pass through, too: they go on through this proxy until those in front send them elsewhere.
    while Rc::strong_count(&front) > 1 && Instant::now() < until {
        Timer::after(LOOK).await;
    }
    Ok(())
}
