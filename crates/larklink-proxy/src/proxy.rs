//! Puts a proxy together: takes connections in, and stops in good order.
use std::cell::{Cell, RefCell};
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use async_channel::Receiver;
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use futures_lite::{FutureExt, future};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::clients::{self, Front};
use crate::clock::span;
use crate::config::Config;
use crate::console;
use crate::decisions::Owner;
use crate::discovery;
use crate::events;
use crate::figures::Figures;
use crate::room::Room;

/// Descriptors kept for the listener, discovery, logs and the event loop: so many, two for each server's
/// probes, and at most that part of all.
const RESERVED: usize = 32;
const RESERVED_PART: usize = 4;
/// After a failure to accept, as with no descriptors left.
const BREATHE: Duration = Duration::from_millis(20);
/// New connections go on coming for so long after a stop was asked for, at most; then none is taken.
const STILL_COMING: Duration = Duration::from_millis(600);
/// The last of them has its answer by the longest dial timeout from then on, as far as that is waited for.
const LONGEST: Duration = Duration::from_secs(3);
/// A process counts as ready with the first list from discovery, or after so long without one.
const FRESH: Duration = Duration::from_secs(2);
const LOOK: Duration = Duration::from_millis(10);

/// Runs a proxy until `stop` closes and it has stopped. `moved` brings each new address of discovery.
pub async fn run(
    config: Config,
    listener: TcpListener,
    stop: Receiver<()>,
    moved: Receiver<SocketAddr>,
    executor: Rc<LocalExecutor<'static>>,
    figures: Arc<Figures>,
) -> std::io::Result<()> {
    let listener = Async::new(listener)?;
    let (queue, events) = events::queue();
    let facts = config.settings;
    let known = config.known.endpoints;
    let door = if config.console.is_some() { console::DESCRIPTORS } else { 0 };
    let reserved = RESERVED + door + 2 * known.len();
    // Streams of their own beside the decisions', from the one seed.
    let chance = |stream| {
        let mut rng = ChaCha8Rng::seed_from_u64(config.seed);
        rng.set_stream(stream);
        rng
    };
    let (fresh, first) = async_channel::bounded(1);
    let owner = Owner::new(
        &facts,
        config.seed,
        known,
        queue.clone(),
        Rc::clone(&executor),
        Arc::clone(&figures),
        fresh,
    );
    executor.spawn(owner.run(events)).detach();
    let must_ask_in = facts.settings.must_ask_in;
    let watch = discovery::follow(config.discovery, moved, must_ask_in, queue.clone(), chance(1));
    executor.spawn(watch).detach();
    let sockets = config.limits.sockets;
    let front = Rc::new(Front {
        queue,
        figures: Arc::clone(&figures),
        listeners: facts.listeners,
        connect_timeout: span(facts.settings.connect_timeout),
        passes: facts.passes,
        chance: chance(2).into(),
        stop: stop.clone(),
        last: STILL_COMING + span(facts.longest).min(LONGEST),
        stopped: Cell::new(None),
        next: Cell::new(0),
        room: Room::new(sockets - reserved.min(sockets / RESERVED_PART)),
        open: RefCell::default(),
    });
    let accept = async {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    match front.room.enter() {
                        Some(place) => {
                            executor.spawn(clients::serve(Rc::clone(&front), stream, place)).detach();
                        }
                        None => clients::turn_away(&stream),
                    }
                    // Who gives way is to have closed before the next one comes.
                    future::yield_now().await;
                }
                Err(e) => {
                    tracing::warn!("accept: {e}");
                    Timer::after(BREATHE).await;
                }
            }
        }
    };
    let stopped = async {
        let ready = async {
            // As fresh as can be had: a silent discovery keeps no process from ever being ready.
            let waited = async {
                Timer::after(FRESH).await;
            };
            let heard = async {
                let _ = first.recv().await;
            };
            heard.or(waited).await;
            figures.set_ready(true);
            future::pending().await
        };
        let _ = stop.recv().or(ready).await;
        figures.set_ready(false);
        front.until();
        Timer::after(STILL_COMING).await;
    };
    accept.or(stopped).await;
    tracing::info!("no more connections are taken: the proxy stops");
    drop(listener);
    let until = front.until();
    // Where packets pass through, too: they go on through this proxy until those in front send them elsewhere.
    while Rc::strong_count(&front) > 1 && Instant::now() < until {
        Timer::after(LOOK).await;
    }
    Ok(())
}
