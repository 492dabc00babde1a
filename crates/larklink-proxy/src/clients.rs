//! Connections from clients: each has a task of its own. What its first line is, where it goes from there, and how each
//! connection is answered and ended.
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::convert::Infallible;
use std::io::{ErrorKind, Read};
use std::net::{Shutdown, TcpStream};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use async_channel::Receiver;
use async_io::{Async, Timer};
use futures_lite::{AsyncWriteExt, FutureExt, future};
use larklink_balancer::Observation;
use rand_chacha::ChaCha8Rng;
use socket2::SockRef;

use crate::connection::Connection;
use crate::events::{DecisionEvent, DecisionQueue};
use crate::handover::messages::EstablishedSession;
use crate::handover::predecessor::HandedOverSession;
use crate::handover::successor::Successor;
use crate::limiter::{ConnectionLimiter, ConnectionPermit};
use crate::log::EndReason;
use crate::metrics::{FinalAnswer, InProgress, Metrics};
use crate::pending::asks;
use crate::protocol::{LineBuffer, OpenLine, OpenLineError, parse_open_line};
use crate::relay::Stands;
use crate::timeout::with_timeout;

/// How long a client may take over its first line, or over the next after a probe. Who sends none is owed an
/// end within 3 s.
const HEAD: Duration = Duration::from_secs(2);
/// How long what we have closed may take to close its side: without that, unread bytes would reset the
/// connection and could take our last line with them. While bytes still come it may take longer.
pub(crate) const LINGER: Duration = Duration::from_millis(500);
const DRAIN: Duration = Duration::from_secs(3);
/// Who waits when a process ends has the last answer so long before; so long after the listener is closed those end
/// that have not said what they want.
pub(crate) const LAST: Duration = Duration::from_millis(100);
/// Bytes of that which are read at once.
const GULP: usize = 64 << 10;
const SWALLOWED: usize = 16;
/// A client that is to move gets the line within this time, or is cut off.
pub(crate) const STUCK: Duration = Duration::from_secs(1);
/// How often a session that waits for its stop looks for a new process.
pub(crate) const LOOK: Duration = Duration::from_millis(20);

/// What all clients' tasks share.
pub struct SessionContext {
    pub queue: DecisionQueue,
    pub figures: Arc<Metrics>,
    pub listeners: Vec<String>,
    pub connect_timeout: Duration,
    pub passes: bool,
    pub chance: RefCell<ChaCha8Rng>,
    /// Closes when the proxy is to stop; it may run on for so long after that.
    pub stop: Receiver<()>,
    /// Closes when no more connections are taken.
    pub closed: Receiver<Infallible>,
    pub last: Duration,
    pub stopped: Cell<Option<Instant>>,
    pub next: Cell<u32>,
    pub limiter: Rc<ConnectionLimiter>,
    /// The ids of the sessions that are open here, and their clients' keys.
    pub open: RefCell<HashMap<u64, u64>>,
    pub successor: Rc<Successor>,
}

pub(crate) struct Client {
    pub link: Connection,
    pub place: ConnectionPermit,
    /// When it came, or its first line was whole.
    pub came: Instant,
}

/// Why a connection's first line opens no session.
#[derive(Debug, thiserror::Error)]
enum FirstLineError {
    #[error(transparent)]
    Malformed(#[from] OpenLineError),
    #[error("no such listener")]
    UnknownListener,
    #[error("the id of another that is open")]
    SessionIdInUse,
}

/// A session's id while it is open.
struct Named<'a>(&'a SessionContext, u64);

impl Drop for Named<'_> {
    fn drop(&mut self) {
        self.0.open.borrow_mut().remove(&self.1);
    }
}

/// Serves one connection; its end leaves one line in the log.
pub async fn serve(front: Rc<SessionContext>, stream: Async<TcpStream>, place: ConnectionPermit) {
    let started = Instant::now();
    let mut client = Client { link: Connection::new(stream), place, came: started };
    let (session, reason) = front.serve(&mut client).await;
    log_end(session, reason, started);
}

/// Goes on with a session that stands, given by the process before this one.
pub async fn inherit(front: Rc<SessionContext>, handed_over: HandedOverSession) {
    let started = Instant::now();
    let HandedOverSession { session: mut was, client, server } = handed_over;
    let link = |stream, bytes: &mut Vec<u8>| {
        let inbox = LineBuffer::with_bytes(std::mem::take(bytes))?;
        Some(Connection { buffer: inbox, stream: Async::new(stream).ok()? })
    };
    let (Some(client), Some(link)) = (link(client, &mut was.to_server), link(server, &mut was.to_client))
    else {
        return tracing::warn!("a session was given that cannot go on");
    };
    let mut client = Client { link: client, place: front.limiter.adopt(), came: started };
    let (session, reason) = front.inherit(&was, &mut client, link).await;
    log_end(session, reason, started);
}

/// Refuses a connection for which there is no descriptor. Nobody's dial has run: trying again is harmless.
pub fn turn_away(stream: &Async<TcpStream>) {
    busy_at_once(stream);
    log_end(None, EndReason::NoDescriptors, Instant::now());
}

fn busy_at_once(stream: &Async<TcpStream>) {
    let _ = std::io::Write::write(&mut stream.get_ref(), b"BUSY\r\n");
    let _ = stream.get_ref().shutdown(Shutdown::Write);
    // What has come already would make its end a reset. Who sends on is not waited for: his descriptor is needed.
    for _ in 0..SWALLOWED {
        if !matches!(swallow(stream.get_ref()), Ok(n) if n > 0) {
            break;
        }
    }
}

fn log_end(session: Option<u32>, reason: EndReason, started: Instant) {
    let session = session.map(|s| s.to_string()).unwrap_or_default();
    let duration_ms = started.elapsed().as_millis() as u64;
    tracing::info!(session, %reason, duration_ms, "connection ended");
}

impl SessionContext {
    /// When the proxy ends that is to stop; counted from the first who asks.
    pub fn until(&self) -> Instant {
        let stopped = self.stopped.get().unwrap_or_else(Instant::now);
        self.stopped.set(Some(stopped));
        stopped + self.last
    }

    async fn serve(&self, client: &mut Client) -> (Option<u32>, EndReason) {
        let give_way = |place: &ConnectionPermit| {
            let must_go = place.evicted();
            async move {
                must_go.await;
                Err(EndReason::NoDescriptors)
            }
        };
        let way = give_way(&client.place);
        let closed = async {
            let _ = self.closed.recv().await;
            Timer::after(LAST).await;
            Err(EndReason::Shutdown)
        };
        let mut line = first_line(client).or(way).or(closed).await;
        // A line that has come by now is answered like any other: nobody is there to send it again. So is one of which a
        // stop finds a part, as long as it may still come.
        let late = matches!(
            line,
            Err(EndReason::Shutdown
                | EndReason::HealthCheck
                | EndReason::OpenLineTimeout
                | EndReason::NoDescriptors)
        );
        let said =
            client.link.has_complete_line() || line == Err(EndReason::Shutdown) && client.link.has_input();
        if late && said && client.place.keep_if_not_evicted() {
            let way = give_way(&client.place);
            line = first_line(client).or(way).or(self.last_call()).await;
        }
        let line = match line {
            Ok(line) => line,
            Err(reason) => {
                match reason {
                    EndReason::NoDescriptors => busy_at_once(&client.link.stream),
                    // The rest of its line may be on its way.
                    EndReason::Shutdown if client.link.has_input() => answer(client, "BUSY\r\n").await,
                    EndReason::ProtocolError | EndReason::OpenLineTimeout => answer(client, "ERR\r\n").await,
                    // In good order: what comes in this instant must not be met by a reset.
                    _ => close(&client.link).or(client.place.evicted()).await,
                }
                return (None, reason);
            }
        };
        let head = parse_open_line(&line).map_err(FirstLineError::from).and_then(|h| {
            let listener = self.listener(&h).ok_or(FirstLineError::UnknownListener)?;
            match self.open.borrow().get(&h.id) {
                // Its packets may come here by another way than before.
                Some(&key) if !(h.established && key == h.client_key) => Err(FirstLineError::SessionIdInUse),
                _ => Ok((h, listener)),
            }
        });
        match head {
            Ok((_, listener)) if !client.place.keep_if_not_evicted() || !client.place.start_session() => {
                self.figures.record_answer(listener, FinalAnswer::Rejected);
                self.figures.record_rejection_without_attempt(EndReason::NoDescriptors, Instant::now());
                busy_at_once(&client.link.stream);
                (None, EndReason::NoDescriptors)
            }
            Ok((head, listener)) => {
                let (session, _open) = self.enter(&head);
                (Some(session), self.session(session, client, &line, head, listener).await)
            }
            Err(wrong) => {
                tracing::warn!("a first line with {wrong}");
                answer(client, "ERR\r\n").await;
                (None, EndReason::ProtocolError)
            }
        }
    }

    async fn inherit(
        &self,
        was: &EstablishedSession,
        client: &mut Client,
        link: Connection,
    ) -> (Option<u32>, EndReason) {
        let line = was.open_line.as_bytes();
        let Some((head, listener)) =
            parse_open_line(line).ok().and_then(|h| self.listener(&h).map(|l| (h, l)))
        else {
            tracing::warn!("a session without a first line was given");
            return (None, EndReason::ProtocolError);
        };
        let ask = asks(&head, listener);
        let (session, _open) = self.enter(&head);
        let (sender, orders) = async_channel::bounded(4);
        let server = was.endpoint;
        self.queue.send(DecisionEvent::FindEndpoint { session, endpoint: server, commands: sender }).await;
        self.queue.send(DecisionEvent::AdoptEstablished { session, request: ask, endpoint: server }).await;
        if let Some(load) = was.load {
            self.queue
                .send(DecisionEvent::Observed { session, attempt: 0, observation: Observation::Load(load) })
                .await;
        }
        let at = Stands {
            session,
            dial: 0,
            server,
            head: line,
            unanswered: was.unanswered_messages,
            load: was.load,
        };
        (Some(session), self.standing(at, client, link, &orders).await)
    }

    /// The number of a session that comes in; it is open, and in progress, while the other is held.
    fn enter(&self, head: &OpenLine<'_>) -> (u32, (Named<'_>, InProgress)) {
        self.open.borrow_mut().insert(head.id, head.client_key);
        let session = self.next.replace(self.next.get().wrapping_add(1));
        (session, (Named(self, head.id), self.figures.session_started()))
    }

    /// Resolves when there is no more time for an answer: who still waits then has the last one.
    pub(crate) async fn last_call<T>(&self) -> Result<T, EndReason> {
        let _ = self.stop.recv().await;
        Timer::at(self.until() - LAST).await;
        Err(EndReason::Shutdown)
    }

    fn listener(&self, head: &OpenLine<'_>) -> Option<usize> {
        self.listeners.iter().position(|l| l == head.listener)
    }
}

/// Answers probes until there is another line; or says how it ended.
async fn first_line(client: &mut Client) -> Result<Vec<u8>, EndReason> {
    let mut pinged = false;
    loop {
        let step = async {
            let n = client.link.read_line().await?;
            let line = client.link.buffer.bytes()[..n].to_vec();
            client.link.buffer.consume(n);
            client.came = Instant::now();
            client.place.record_activity();
            if line != b"PING\r\n" {
                return Ok(Some(line));
            }
            client.link.stream.write_all(b"PONG\r\n").await?;
            Ok(None)
        };
        match with_timeout(HEAD, step).await {
            Ok(Some(line)) => return Ok(line),
            Ok(None) => {
                pinged = true;
                // One who probes without end must not keep the others: not those who come, nor the list.
                future::yield_now().await;
            }
            Err(e) => {
                return Err(match e.kind() {
                    ErrorKind::InvalidData => EndReason::ProtocolError,
                    _ if pinged && client.link.buffer.bytes().is_empty() => EndReason::HealthCheck,
                    ErrorKind::TimedOut => EndReason::OpenLineTimeout,
                    _ => EndReason::ClientClosed,
                });
            }
        }
    }
}

/// The final answer, and the end of the connection.
pub(crate) async fn answer(client: &mut Client, line: &str) {
    client.place.record_activity();
    let mut stream = &client.link.stream;
    let answered = async {
        if with_timeout(STUCK, stream.write_all(line.as_bytes())).await.is_ok() {
            close(&client.link).await;
        }
    };
    answered.or(client.place.evicted()).await;
}

/// Ends a connection in good order: no more from us, then what the other side has on its way.
pub(crate) async fn close(link: &Connection) {
    if link.stream.get_ref().shutdown(Shutdown::Write).is_err() {
        return;
    }
    let rest = async {
        while with_timeout(LINGER, link.stream.read_with(swallow)).await? > 0 {
            // Who sends at full speed is not to keep the others waiting.
            future::yield_now().await;
        }
        Ok(())
    };
    let _ = with_timeout(DRAIN, rest).await;
}

/// Reads once, for nothing.
fn swallow(mut stream: &TcpStream) -> std::io::Result<usize> {
    stream.read(&mut [0; GULP])
}

/// Ends a connection as one that broke.
pub(crate) fn reset(stream: &Async<TcpStream>) {
    let _ = SockRef::from(stream.get_ref()).set_linger(Some(Duration::ZERO));
}
