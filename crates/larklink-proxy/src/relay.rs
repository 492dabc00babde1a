//! An accepted session: lines pass both ways until one side ends it, or it moves.
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::io::{ErrorKind, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

use async_channel::Receiver;
use async_io::{Async, Timer};
use futures_lite::{AsyncWriteExt, FutureExt, future};
use larklink_balancer::{AttemptOutcome, Observation};
use rand::RngExt;

use crate::clients::{Client, LINGER, LOOK, STUCK, SessionContext, close, reset};
use crate::clock::to_ticks;
use crate::connection::{Connection, read};
use crate::events::{DecisionEvent, SessionCommand};
use crate::handover::messages::EstablishedSession;
use crate::log::EndReason;
use crate::protocol::{LineBuffer, ServerMessage, parse_server_message};
use crate::timeout::with_timeout;

/// A connection on which a line has brought nothing back for this long is silent: a sound one brings one back at
/// once. The 7 s that are allowed count from the last that came, seconds before the line that shows it.
const SILENCE: Duration = Duration::from_millis(1500);
/// A client that has no line out and takes nothing of what waits for it: sound ones say something every 2 s, which brings
/// it under [`SILENCE`], so this one has left out two lines and reads none.
const UNREAD: Duration = Duration::from_secs(5);
/// Lines on their way to a server and back that are timed.
const TIMED: usize = 8;
/// At a stop, clients are moved within this share of the time that is left, spread by chance so that they do
/// not come again all at once.
const MOVED_BY: f64 = 0.7;

/// An accepted session, and where it stands.
pub(crate) struct Stands<'a> {
    pub session: u32,
    pub dial: u8,
    pub server: u32,
    pub head: &'a [u8],
    pub unanswered: usize,
    pub load: Option<f64>,
}

/// Why an accepted session ended, and how for its server; nothing if that was the client's doing or ours.
type End = (EndReason, Option<AttemptOutcome>);

struct Relay<'a> {
    front: &'a SessionContext,
    session: u32,
    dial: u8,
    server: u32,
    to_client: &'a Async<TcpStream>,
    to_server: &'a Async<TcpStream>,
    /// Lines are on their way to the client, which last took some, or was first sent them, then.
    writing: Cell<Option<Instant>>,
    /// Until when it kept us from reading its server.
    kept: Cell<Option<Instant>>,
    /// When the lines were sent that have brought nothing back yet.
    sent: RefCell<VecDeque<Instant>>,
    /// The latest of those that the decisions were told of.
    told: Cell<Option<Instant>>,
    /// Bytes from the server that are with the client and still in the inbox.
    passed: Cell<usize>,
    /// The server's last word is with its client, or on its way there.
    served: Cell<bool>,
    /// The server has said its last.
    ending: Cell<bool>,
    /// The load that was last told.
    load: Cell<Option<f64>>,
    /// There is no new process to give it to.
    alone: Cell<bool>,
}

impl SessionContext {
    /// An accepted session: passes lines both ways until one side ends or it is to move.
    pub(crate) async fn standing(
        &self,
        at: Stands<'_>,
        client: &mut Client,
        mut link: Connection,
        orders: &Receiver<SessionCommand>,
    ) -> EndReason {
        let Stands { session, dial, .. } = at;
        let pipe = Relay {
            front: self,
            session,
            dial,
            server: at.server,
            to_client: &client.link.stream,
            to_server: &link.stream,
            writing: Cell::default(),
            kept: Cell::default(),
            // Of those that were under way when it was given, silence counts from here.
            sent: VecDeque::from(vec![Instant::now(); at.unanswered.min(TIMED)]).into(),
            told: Cell::default(),
            passed: Cell::default(),
            served: Cell::default(),
            ending: Cell::default(),
            load: Cell::new(at.load),
            alone: Cell::default(),
        };
        let (reason, how) = loop {
            let (up, down) = (&mut client.link.buffer, &mut link.buffer);
            let end = pipe.up(up).or(pipe.down(down)).or(pipe.told(orders)).await;
            if end.0 != EndReason::HandedOver {
                break end;
            }
            let session = EstablishedSession {
                open_line: String::from_utf8_lossy(at.head).into_owned(),
                endpoint: at.server,
                to_server: client.link.buffer.bytes().to_vec(),
                to_client: link.buffer.bytes()[pipe.passed.get()..].to_vec(),
                unanswered_messages: pipe.sent.borrow().len(),
                load: pipe.load.get(),
            };
            if self.successor.hand_over(session, pipe.to_client.get_ref(), pipe.to_server.get_ref()).await {
                break end;
            }
            // The new process is gone: this one ends the session as if there had been none.
            pipe.alone.set(true);
        };
        let event = match how {
            Some(how) => {
                DecisionEvent::AttemptEnded { session, attempt: dial, outcome: how, session_over: true }
            }
            None => DecisionEvent::ClientLeft { session },
        };
        self.queue.send(event).await;
        // One side is ended in the way that the other ended.
        match reason {
            EndReason::ClientReset => reset(&link.stream),
            EndReason::ClientClosed => close(&link).await,
            EndReason::ServerReset => reset(&client.link.stream),
            // Both connections go on in the new process.
            EndReason::HandedOver => {}
            _ => {
                drop(link);
                client.place.record_activity();
                close(&client.link).or(client.place.evicted()).await;
            }
        }
        reason
    }
}

impl Relay<'_> {
    /// From the client to its server, byte for byte.
    async fn up(&self, inbox: &mut LineBuffer) -> End {
        loop {
            // Each part is taken out once it is written: this may end at any wait, and the rest goes on elsewhere.
            while !inbox.bytes().is_empty() {
                let mut to_server = self.to_server;
                // A server that hangs takes nothing in the end: the lines before tell of it.
                let written = async { Ok(to_server.write(inbox.bytes()).await) };
                let n = match written.or(async { Err(self.overdue().await) }).await {
                    Ok(Ok(n)) if n > 0 => n,
                    // What the server has still to say, and how it ended, shows on the way down.
                    Ok(_) => return future::pending().await,
                    Err(end) => return end,
                };
                let lines = inbox.bytes()[..n].iter().filter(|&&b| b == b'\n').count();
                inbox.consume(n);
                // Counted from here, so that our own queues are no part of what a message takes.
                let mut sent = self.sent.borrow_mut();
                let free = TIMED - sent.len().min(TIMED);
                sent.extend(std::iter::repeat_n(Instant::now(), lines.min(free)));
            }
            let more =
                async { Ok(read(self.to_client, inbox).await) }.or(async { Err(self.overdue().await) });
            match more.await {
                Ok(Ok(0)) => return (EndReason::ClientClosed, None),
                Ok(Ok(_)) => {}
                Ok(Err(_)) => return (EndReason::ClientReset, None),
                Err(end) => return end,
            }
        }
    }

    /// From the server to its client, in whole lines, so that there is always a place between two.
    async fn down(&self, inbox: &mut LineBuffer) -> End {
        let mut last = None;
        loop {
            let n = inbox.complete_lines_len();
            if n > 0 {
                let now = Instant::now();
                let line = inbox.bytes()[..n].split_inclusive(|&b| b == b'\n').next_back();
                self.served.set(line.is_some_and(|line| {
                    matches!(parse_server_message(line).0, ServerMessage::Bye | ServerMessage::Move)
                }));
                if let Err(reason) = self.pass(&inbox.bytes()[..n]).await {
                    return (reason, None);
                }
                for line in inbox.bytes()[..n].split_inclusive(|&b| b == b'\n') {
                    last = self.read_line(line, now).await;
                    self.ending.set(last.is_some());
                }
                inbox.consume(n);
                self.passed.set(0);
            }
            if inbox.is_full() {
                return (EndReason::ProtocolError, Some(AttemptOutcome::Failed));
            }
            // A server that has said its last may hold its connection open: its client need not wait for
            // that.
            let ended = match last {
                Some(_) => with_timeout(LINGER, read(self.to_server, inbox)).await,
                None => read(self.to_server, inbox).await,
            };
            if matches!(ended, Ok(n) if n > 0) {
                continue;
            }
            if let Err(reason) = self.pass(inbox.bytes()).await {
                return (reason, None);
            }
            let reason = match (ended, last) {
                (_, Some(AttemptOutcome::Succeeded)) => EndReason::Completed,
                (_, Some(_)) => EndReason::ServerMigrated,
                (Ok(_), None) => EndReason::ServerClosed,
                (Err(_), None) => EndReason::ServerReset,
            };
            return (reason, last.or(Some(AttemptOutcome::Reset)));
        }
    }

    /// Writes to the client; or says how it ended.
    async fn pass(&self, bytes: &[u8]) -> Result<(), EndReason> {
        let mut bytes = &bytes[self.passed.get().min(bytes.len())..];
        if bytes.is_empty() {
            return Ok(());
        }
        let passed = |n| self.passed.set(self.passed.get() + n);
        // At once, as nearly always: then the client has kept nobody.
        match self.to_client.get_ref().write(bytes) {
            Ok(n) => {
                bytes = &bytes[n..];
                passed(n);
            }
            Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted) => {}
            Err(_) => return Err(EndReason::ClientReset),
        }
        let mut to_client = self.to_client;
        while !bytes.is_empty() {
            self.writing.set(Some(Instant::now()));
            let n = with_timeout(UNREAD, to_client.write(bytes)).await.map_err(|e| match e.kind() {
                ErrorKind::TimedOut => EndReason::ClientWriteTimeout,
                _ => EndReason::ClientReset,
            })?;
            bytes = &bytes[n..];
            passed(n);
            self.kept.set(Some(Instant::now()));
        }
        self.writing.set(None);
        Ok(())
    }

    /// What a line says of the session; how it ends, if it is a server's last.
    async fn read_line(&self, line: &[u8], now: Instant) -> Option<AttemptOutcome> {
        let (session, dial, server) = (self.session, self.dial, self.server);
        match parse_server_message(line).0 {
            ServerMessage::Bye => return Some(AttemptOutcome::Succeeded),
            ServerMessage::Move => return Some(AttemptOutcome::Cancelled),
            ServerMessage::Up => {}
            ServerMessage::Load(load) => {
                self.load.set(Some(load));
                self.front
                    .queue
                    .send(DecisionEvent::Observed {
                        session,
                        attempt: dial,
                        observation: Observation::Load(load),
                    })
                    .await
            }
            _ => {
                let sent = self.sent.borrow_mut().pop_front();
                // What came while a slow client kept us from reading tells nothing of the server.
                if let Some(sent) = sent.filter(|&at| self.kept.get().is_none_or(|until| until < at)) {
                    let took = to_ticks(now.saturating_duration_since(sent));
                    self.front
                        .queue
                        .send(DecisionEvent::MessageAnswered {
                            session,
                            attempt: dial,
                            endpoint: server,
                            took,
                        })
                        .await;
                }
            }
        }
        None
    }

    /// Moves the client when told to, or when the proxy stops and its connections stop with it.
    async fn told(&self, orders: &Receiver<SessionCommand>) -> End {
        let order = async {
            while let Ok(order) = orders.recv().await {
                if order == SessionCommand::Migrate {
                    return EndReason::Migrated;
                }
            }
            future::pending().await
        };
        let stop = async {
            let _ = self.front.stop.recv().await;
            let left = self.front.until().saturating_duration_since(Instant::now());
            let share = self.front.chance.borrow_mut().random_range(0.0..MOVED_BY);
            let at = Instant::now() + left.mul_f64(share);
            // A new process may come to be the successor only now.
            while self.front.passes || Instant::now() < at {
                if self.front.successor.is_present() && !self.alone.get() && !self.ending.get() {
                    return EndReason::HandedOver;
                }
                Timer::after(LOOK).await;
            }
            EndReason::Shutdown
        };
        match order.or(stop).await {
            EndReason::HandedOver => (EndReason::HandedOver, None),
            reason => (self.send_away(reason).await, None),
        }
    }

    /// A server that takes lines and brings nothing back is told of, and in the end keeps nobody. While the
    /// client keeps us from reading, its server is not to blame: the time counts from when it took the last.
    async fn overdue(&self) -> End {
        let oldest = || self.sent.borrow().front().copied();
        let (session, dial, doubt) = (self.session, self.dial, self.front.connect_timeout);
        while let Some(at) = oldest() {
            if let Some(since) = self.writing.get() {
                if since.elapsed() >= SILENCE {
                    return (EndReason::ClientWriteTimeout, None);
                }
                Timer::at((since + SILENCE).min(Instant::now() + doubt)).await;
                continue;
            }
            let from = self.kept.get().map_or(at, |until| until.max(at));
            if from.elapsed() < doubt {
                Timer::at(from + doubt).await;
            } else if self.told.replace(Some(at)) != Some(at) {
                self.front
                    .queue
                    .send(DecisionEvent::Observed {
                        session,
                        attempt: dial,
                        observation: Observation::Unresponsive,
                    })
                    .await;
            } else if from.elapsed() < SILENCE {
                Timer::at(from + SILENCE).await;
            } else {
                let reason = self.send_away(EndReason::Unresponsive).await;
                return (reason, (reason == EndReason::Unresponsive).then_some(AttemptOutcome::Reset));
            }
        }
        // Nothing is out: it is asked again with the next line.
        future::pending().await
    }

    async fn send_away(&self, reason: EndReason) -> EndReason {
        let started = Instant::now();
        while self.writing.get().is_some() {
            if started.elapsed() >= STUCK {
                return EndReason::ClientWriteTimeout;
            }
            Timer::after(STUCK / 100).await;
        }
        if self.served.get() {
            // It is over: who is told to move after that comes again, and is served twice.
            return future::pending().await;
        }
        self.writing.set(Some(started));
        let mut to_client = self.to_client;
        match with_timeout(STUCK, to_client.write_all(b"MOVE\r\n")).await {
            Ok(()) => reason,
            Err(_) => EndReason::ClientWriteTimeout,
        }
    }
}
