//! One process of a proxy takes over from another: the new one finds the old one by a socket in `$TMPDIR`, is given
//! the listening socket itself, so that no connection in its queue is lost, and the list of servers. Only one of the
//! two takes connections at a time. When the old one is asked to stop, it gives the sessions that stand away too, each
//! with its two connections, which go on unbroken.
//!
//! A new one that goes before its old one was stopped has given everything back; an old one that goes has left
//! everything to the new one.
pub mod wire;

use std::cell::RefCell;
use std::io::Result;
use std::net::{TcpListener, TcpStream};
use std::os::fd::AsFd;
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_channel::{Receiver, Sender};
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use futures_lite::{FutureExt, future};

use crate::config::Config;
use crate::endpoint_list::Endpoint;
use crate::events::{DecisionEvent, DecisionQueue};
use crate::limiter::ConnectionLimiter;
use crate::timeout::with_timeout;
use wire::{EstablishedSession, HandoverMessage, MessageReader, MessageWriter, OWED, VERSION, bad, talk};

/// How often an old process looks at what it still holds.
const LOOK: Duration = Duration::from_millis(50);

/// How long a new process waits for another that was faster to serve. It opens its place at once when it does; one that
/// hangs before would leave nobody ready. It may hurt where that one wakes up again: both take connections then.
const RIVAL: Duration = Duration::from_secs(3);

/// Where the processes of a proxy meet; nowhere unless the operators' door is on, since only then may there be two.
pub fn place(config: &Config, folder: Option<PathBuf>) -> Option<PathBuf> {
    config.admin_address?;
    let address = config.listen.to_string().replace([':', '[', ']'], "-");
    Some(folder?.join(format!("larklink-{address}")))
}

/// The process that serves already, and the list of servers as it has it.
pub struct Predecessor {
    ear: MessageReader,
    mouth: Rc<MessageWriter>,
    pub list: Vec<Endpoint>,
}

/// Looks for a process that serves already.
///
/// # Errors
/// There is somebody, who does not speak as one should in time.
pub async fn meet(at: &Path) -> Result<Option<(TcpListener, Predecessor)>> {
    let Ok(stream) = UnixStream::connect(at) else { return Ok(None) };
    let (mut ear, mouth) = talk(Async::new(stream)?);
    match with_timeout(OWED, ear.hear()).await? {
        HandoverMessage::Offer { list, .. } => {
            Ok(Some((ear.beside()?.into(), Predecessor { ear, mouth, list })))
        }
        other => Err(bad(format!("no offer but {other:?}"))),
    }
}

/// A session that an old process gave, with its client's connection and its server's.
pub type HandedOver = (EstablishedSession, TcpStream, TcpStream);

/// The new process to which the sessions go that stand, once this one is asked to stop.
#[derive(Default)]
pub struct Successor(RefCell<Option<Rc<MessageWriter>>>);

impl Successor {
    pub fn is_there(&self) -> bool {
        self.0.borrow().is_some()
    }

    /// Gives a session away: whether it has another owner now.
    pub async fn give(&self, session: EstablishedSession, client: &TcpStream, server: &TcpStream) -> bool {
        let Some(mouth) = self.0.borrow().clone() else { return false };
        mouth.say(&HandoverMessage::Session(session), &[client.as_fd(), server.as_fd()]).await.is_ok()
    }
}

/// What both sides of a handover need of their process.
pub struct Handover {
    pub place: PathBuf,
    pub limiter: Rc<ConnectionLimiter>,
    pub queue: DecisionQueue,
    /// Whether this process takes connections; each change is told here.
    pub taking: Sender<bool>,
    /// Closes when this process is to stop.
    pub stop: Receiver<()>,
    /// The listening socket, until this process takes no more connections.
    pub listener: RefCell<Option<TcpListener>>,
    pub successor: Rc<Successor>,
    /// A successor has gone before this process was to stop.
    pub lost: (Sender<()>, Receiver<()>),
    /// Takes the sessions that an old process gives.
    pub handed_over: Sender<HandedOver>,
}

impl Handover {
    /// Takes over from an old process once `fresh` resolves, or when that one stops or goes before.
    pub async fn take(&self, mut old: Predecessor, fresh: impl Future<Output = ()>) -> Predecessor {
        let goes = async {
            // It owes no word yet but that it stops.
            let _ = old.ear.hear().await;
        };
        fresh.or(goes).await;
        let until = Instant::now() + RIVAL;
        loop {
            match self.ask(&mut old).await {
                Ok(true) => break,
                Ok(false) if Instant::now() >= until => {
                    tracing::warn!("the process that was faster never serves: takes connections beside it");
                    break;
                }
                // Another process was faster: that one is the old one now, once it can be met.
                Ok(false) => match meet(&self.place).await {
                    Ok(Some((_, next))) => old = next,
                    _ => _ = Timer::after(LOOK).await,
                },
                Err(e) => {
                    tracing::info!("the process before is gone: {e}");
                    break;
                }
            }
        }
        self.queue.send(DecisionEvent::TakeOver).await;
        let _ = self.taking.send(true).await;
        tracing::info!("takes the connections over");
        old
    }

    /// Whether it was given what it asks for.
    async fn ask(&self, old: &mut Predecessor) -> Result<bool> {
        old.mouth.say(&HandoverMessage::Take, &[]).await?;
        let answer = async {
            loop {
                match old.ear.hear().await? {
                    HandoverMessage::Yours { held } => break Ok(Some(held)),
                    HandoverMessage::Taken => break Ok(None),
                    _ => {}
                }
            }
        };
        let held = with_timeout(OWED, answer).await?;
        held.into_iter().for_each(|held| self.limiter.set_other_process_use(held));
        Ok(held.is_some())
    }

    /// Goes by what an old process says that it holds, and takes the sessions that it gives, until that has ended.
    pub async fn follow(&self, mut old: Predecessor) {
        let mut sessions = 0;
        let ended = loop {
            match old.ear.hear().await {
                Ok(HandoverMessage::Held { held }) => self.limiter.set_other_process_use(held),
                Ok(HandoverMessage::Session(session)) => match (old.ear.beside(), old.ear.beside()) {
                    (Ok(client), Ok(server)) => {
                        sessions += 1;
                        let _ = self.handed_over.send((session, client.into(), server.into())).await;
                    }
                    (Err(e), _) | (_, Err(e)) => break e,
                },
                Ok(_) => {}
                Err(e) => break e,
            }
        };
        tracing::info!(sessions, "the process before has ended: {ended}");
        self.limiter.set_other_process_use(0);
    }

    /// Opens the place where a new process meets this one.
    ///
    /// # Errors
    /// There is no such place to be had.
    pub fn open(&self) -> Result<Async<UnixListener>> {
        // By another name first: who looks for a process finds the old one or this one, whole.
        let own = self.place.with_extension(std::process::id().to_string());
        let socket = Async::<UnixListener>::bind(&own)?;
        std::fs::rename(&own, &self.place)?;
        Ok(socket)
    }

    /// Offers all to a new process, whenever one comes, as long as this one runs.
    ///
    /// # Errors
    /// None can be met any more.
    pub async fn offer(
        self: Rc<Self>,
        mut place: Async<UnixListener>,
        executor: &LocalExecutor<'static>,
    ) -> Result<()> {
        loop {
            let comes = async { place.accept().await.map(|(stream, _)| Some(stream)) };
            let lost = async {
                let _ = self.lost.1.recv().await;
                Ok(None)
            };
            let Some(stream) = comes.or(lost).await? else {
                // The one that has gone had put its own in the place of ours.
                place = self.open()?;
                continue;
            };
            let this = Rc::clone(&self);
            executor.spawn(async move { this.serve(stream).await }).detach();
        }
    }

    async fn serve(&self, stream: Async<UnixStream>) {
        // The new one holds descriptors from its start on.
        self.limiter.set_other_process_use(self.limiter.reserved());
        let (mut ear, mouth) = talk(stream);
        if let Err(e) = self.converse(&mut ear, &mouth).await {
            tracing::info!("the new process is gone: {e}");
        }
        let successor = self.successor.0.borrow().clone();
        let mine = successor.is_some_and(|successor| Rc::ptr_eq(&successor, &mouth));
        if mine {
            self.successor.0.take();
        }
        if !self.successor.is_there() {
            self.limiter.set_other_process_use(0);
        }
        if mine && !self.stop.is_closed() {
            tracing::warn!("a process that had taken over is gone: takes connections again");
            let _ = self.lost.0.try_send(());
            self.queue.send(DecisionEvent::TakeOver).await;
            let _ = self.taking.send(true).await;
        }
    }

    async fn converse(&self, ear: &mut MessageReader, mouth: &Rc<MessageWriter>) -> Result<()> {
        enum Step {
            Heard(HandoverMessage),
            Look,
            Stop,
        }
        let (list, asked) = async_channel::bounded(1);
        self.queue.send(DecisionEvent::CurrentEndpoints(list)).await;
        let list = asked.recv().await.unwrap_or_default();
        {
            let listener = self.listener.borrow().as_ref().map(TcpListener::try_clone).transpose()?;
            let listener = listener.ok_or_else(|| bad("no more connections are taken"))?;
            mouth.say(&HandoverMessage::Offer { version: VERSION, list }, &[listener.as_fd()]).await?;
        }
        let (mut last, mut mine, mut stops) = (0, false, false);
        loop {
            let heard = async { ear.hear().await.map(Step::Heard) };
            let look = async {
                Timer::after(LOOK).await;
                Ok(Step::Look)
            };
            let stop = async {
                if stops {
                    return future::pending().await;
                }
                let _ = self.stop.recv().await;
                Ok(Step::Stop)
            };
            let held = || self.limiter.in_use();
            match heard.or(stop).or(look).await? {
                Step::Heard(HandoverMessage::Take) if self.successor.is_there() => {
                    return mouth.say(&HandoverMessage::Taken, &[]).await;
                }
                Step::Heard(HandoverMessage::Take) => {
                    tracing::info!("gives the connections to a new process");
                    let _ = self.taking.send(false).await;
                    (mine, last) = (true, held());
                    self.successor.0.replace(Some(Rc::clone(mouth)));
                    mouth.say(&HandoverMessage::Yours { held: last }, &[]).await?;
                }
                Step::Heard(other) => return Err(bad(format!("{other:?} was not asked for"))),
                Step::Stop => {
                    stops = true;
                    mouth.say(&HandoverMessage::Stops, &[]).await?;
                }
                Step::Look if mine && held() != last => {
                    last = held();
                    mouth.say(&HandoverMessage::Held { held: last }, &[]).await?;
                }
                Step::Look => {}
            }
        }
    }
}
