//! Connections from clients: each has a task of its own, from its first line to its end.
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::convert::Infallible;
use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, TcpStream};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use async_channel::{Receiver, Sender};
use async_io::{Async, Timer};
use futures_lite::{AsyncWriteExt, FutureExt, future};
use larklink::types::*;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use rustix::event::{PollFd, PollFlags, Timespec, poll};
use socket2::SockRef;

use crate::clock::tenths;
use crate::events::{Event, Order, Queue};
use crate::figures::{Answer, Figures, InProgress};
use crate::handover::wire::Standing;
use crate::handover::{Given, Heir};
use crate::lines::{Head, Inbox, Reply, head, with_wait, word};
use crate::list::server_id;
use crate::log::Reason;
use crate::room::{Place, Room};
use crate::servers::{Link, dial, read, within};

/// How long a client may take over its first line, or over the next after a probe. Who sends none is owed an
/// end within 3 s.
const HEAD: Duration = Duration::from_secs(2);
/// How long what we have closed may take to close its side: without that, unread bytes would reset the
/// connection and could take our last line with them. While bytes still come it may take longer.
const LINGER: Duration = Duration::from_millis(500);
const DRAIN: Duration = Duration::from_secs(3);
/// Who waits when a process ends has the last answer so long before; so long after the listener is closed those end
/// that have not said what they want.
const LAST: Duration = Duration::from_millis(100);
/// Bytes of that which are read at once.
const GULP: usize = 64 << 10;
const SWALLOWED: usize = 16;
/// A client that is to move gets the line within this time, or is cut off.
const STUCK: Duration = Duration::from_secs(1);
/// A connection on which a line has brought nothing back for this long is silent: a sound one brings one back at
/// once. The 7 s that are allowed count from the last that came, seconds before the line that shows it.
const SILENCE: Duration = Duration::from_millis(1500);
/// A connection from before the start is tried again after so long, up to so long.
const STAND_AGAIN: Duration = Duration::from_millis(250);
const STAND: Duration = Duration::from_secs(40);
/// How often a session that waits for its stop looks for a new process.
const LOOK: Duration = Duration::from_millis(20);
/// Lines on their way to a server and back that are timed.
const TIMED: usize = 8;
/// At a stop, clients are moved within this share of the time that is left, spread by chance so that they do
/// not come again all at once.
const MOVED_BY: f64 = 0.7;

/// What all clients' tasks share.
pub struct Front {
    pub queue: Queue,
    pub figures: Arc<Figures>,
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
    pub room: Rc<Room>,
    /// The ids of the sessions that are open here, and their clients' keys.
    pub open: RefCell<HashMap<u64, u64>>,
    pub heir: Rc<Heir>,
}

struct Client {
    link: Link,
    place: Place,
    /// When it came, or its first line was whole.
    came: Instant,
}

/// Until when the first byte of a dial may go out. It falls when the list speaks against its server meanwhile.
struct Permit {
    dial: u8,
    by: Cell<Instant>,
    /// The end of the dial.
    until: Instant,
    /// It has been made use of.
    sent: Cell<bool>,
}

impl Permit {
    fn take(&self) -> bool {
        self.sent.set(Instant::now() <= self.by.get());
        self.sent.get()
    }

    /// Follows what becomes of it; resolves when it ends and nothing was sent, so that the session goes elsewhere at
    /// once and not when the connection comes up.
    async fn over(&self, orders: &Receiver<Order>) -> Outcome {
        loop {
            let word = async {
                match orders.recv().await {
                    Ok(order) => Some(order),
                    Err(_) => future::pending().await,
                }
            };
            let end = async {
                if self.by.get() >= self.until {
                    return future::pending().await;
                }
                Timer::at(self.by.get()).await;
                None
            };
            match word.or(end).await {
                Some(Order::SendBy { dial, by }) if dial == self.dial => self.by.set(by.min(self.by.get())),
                Some(_) => {}
                None if self.sent.get() => return future::pending().await,
                None => return Outcome::Unsent,
            }
        }
    }
}

/// A session's id while it is open.
struct Named<'a>(&'a Front, u64);

impl Drop for Named<'_> {
    fn drop(&mut self) {
        self.0.open.borrow_mut().remove(&self.1);
    }
}

/// Serves one connection; its end leaves one line in the log.
pub async fn serve(front: Rc<Front>, stream: Async<TcpStream>, place: Place) {
    let started = Instant::now();
    let mut client = Client { link: Link::new(stream), place, came: started };
    let (session, reason) = front.serve(&mut client).await;
    log_end(session, reason, started);
}

/// Goes on with a session that stands, given by the process before this one.
pub async fn inherit(front: Rc<Front>, (mut was, client, server): Given) {
    let started = Instant::now();
    let link = |stream, bytes: &mut Vec<u8>| {
        let inbox = Inbox::holding(std::mem::take(bytes))?;
        Some(Link { inbox, stream: Async::new(stream).ok()? })
    };
    let (Some(client), Some(link)) = (link(client, &mut was.to_server), link(server, &mut was.to_client))
    else {
        return tracing::warn!("a session was given that cannot go on");
    };
    let mut client = Client { link: client, place: front.room.inherit(), came: started };
    let (session, reason) = front.inherit(&was, &mut client, link).await;
    log_end(session, reason, started);
}

/// Refuses a connection for which there is no descriptor. Nobody's dial has run: trying again is harmless.
pub fn turn_away(stream: &Async<TcpStream>) {
    busy_at_once(stream);
    log_end(None, Reason::NoRoom, Instant::now());
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

fn log_end(session: Option<u32>, reason: Reason, started: Instant) {
    let session = session.map(|s| s.to_string()).unwrap_or_default();
    tracing::info!(session, reason = %reason, ms = started.elapsed().as_millis() as u64, "end");
}

impl Front {
    /// When the proxy ends that is to stop; counted from the first who asks.
    pub fn until(&self) -> Instant {
        let stopped = self.stopped.get().unwrap_or_else(Instant::now);
        self.stopped.set(Some(stopped));
        stopped + self.last
    }

    async fn serve(&self, client: &mut Client) -> (Option<u32>, Reason) {
        let give_way = client.place.must_go();
        let give_way = async {
            give_way.await;
            Err(Reason::NoRoom)
        };
        let closed = async {
            let _ = self.closed.recv().await;
            Timer::after(LAST).await;
            Err(Reason::Stopped)
        };
        let mut line = first_line(client).or(give_way).or(closed).await;
        // A line that has come by now is answered like any other: nobody is there to send it again.
        if matches!(line, Err(Reason::Stopped | Reason::Pinged | Reason::HeadStalled))
            && client.link.has_line()
        {
            line = first_line(client).await;
        }
        let line = match line {
            Ok(line) => line,
            Err(reason) => {
                match reason {
                    Reason::NoRoom => busy_at_once(&client.link.stream),
                    Reason::BadLine | Reason::HeadStalled => answer(client, "ERR\r\n").await,
                    // In good order: what comes in this instant must not be met by a reset.
                    _ => close(&client.link).or(client.place.must_go()).await,
                }
                return (None, reason);
            }
        };
        let head = head(&line).and_then(|h| {
            let listener = self.listener(&h).ok_or("no such listener")?;
            match self.open.borrow().get(&h.id) {
                // Its packets may come here by another way than before.
                Some(&key) if !(h.mid_flow && key == h.key) => Err("the id of another that is open"),
                _ => Ok((h, listener)),
            }
        });
        match head {
            Ok((_, listener)) if !client.place.seat() => {
                self.figures.answered(listener, Answer::Refused);
                busy_at_once(&client.link.stream);
                (None, Reason::NoRoom)
            }
            Ok((head, listener)) => {
                let (session, _open) = self.enter(&head);
                (Some(session), self.session(session, client, &line, head, listener).await)
            }
            Err(wrong) => {
                tracing::warn!("a first line with {wrong}");
                answer(client, "ERR\r\n").await;
                (None, Reason::BadLine)
            }
        }
    }

    async fn session(
        &self,
        session: u32,
        client: &mut Client,
        line: &[u8],
        head: Head<'_>,
        listener: usize,
    ) -> Reason {
        let mut ask = asks(&head, listener);
        if self.stop.is_closed() {
            // It has to have its answer before this process ends.
            let left = (self.until() - LAST).saturating_duration_since(client.came);
            ask.patience = ask.patience.min(tenths(left));
        }
        let (sender, orders) = async_channel::bounded(4);
        if let Some(at) = head.at {
            return self.stand(session, client, line, ask, server_id(at), (sender, orders)).await;
        }
        self.queue.send(Event::Open { session, came: client.came, ask, orders: sender }).await;
        let mut may_have_run = false;
        let reason = loop {
            let order = async { orders.recv().await.ok().ok_or(Reason::ClientLeft) };
            let stirred = stirs(&client.link.stream, &mut client.link.inbox, head.mid_flow);
            match order.or(stirred).or(self.last_call()).await {
                // Only the first needs another descriptor: nothing has run.
                Ok(Order::Dial { .. }) if !client.place.second() => break Reason::NoRoom,
                Ok(Order::Dial { dial: number, server, address, until, by }) => {
                    let wait = until.saturating_duration_since(Instant::now()).as_millis().max(1).to_string();
                    let mut slices = with_wait(line, &head.wait_at, &wait);
                    let permit = Permit { dial: number, by: by.into(), until, sent: false.into() };
                    let Link { stream, inbox } = &mut client.link;
                    let may_send = || waits_still(stream.get_ref(), head.mid_flow) && permit.take();
                    let timeout = self.connect_timeout;
                    let work = async {
                        Ok(match address {
                            Some(to) => dial(to, &mut slices, until, timeout, may_send, &self.figures).await,
                            None => Err(Outcome::Unmade),
                        })
                    };
                    let over = async { Ok(Err(permit.over(&orders).await)) };
                    let stirred = stirs(stream, inbox, head.mid_flow);
                    let done = over.or(stirred).or(work).or(self.last_call()).await;
                    may_have_run |= permit.sent.get() && !matches!(&done, Ok(Err(how)) if how.never_ran());
                    match done {
                        Err(reason) => break reason,
                        Ok(Err(Outcome::Unsent)) if !waits_still(stream.get_ref(), head.mid_flow) => {
                            let Err(reason) = stirs::<Infallible>(stream, inbox, head.mid_flow).await;
                            break reason;
                        }
                        Ok(Err(how)) => {
                            self.queue.send(Event::Settled { session, dial: number, how, over: false }).await
                        }
                        Ok(Ok(link)) => {
                            self.figures.answered(listener, Answer::Accepted);
                            self.queue.send(Event::Stood { session, dial: number }).await;
                            let at = Stands {
                                session,
                                dial: number,
                                server,
                                head: line,
                                unanswered: 0,
                                load: None,
                            };
                            return self.standing(at, client, link, &orders).await;
                        }
                    }
                }
                Ok(Order::Refuse { retry_after }) => {
                    self.figures.answered(listener, Answer::Refused);
                    match retry_after.div_ceil(10) {
                        0 => answer(client, "BUSY\r\n").await,
                        ms => answer(client, &format!("BUSY {ms}\r\n")).await,
                    }
                    return Reason::Refused;
                }
                Ok(Order::TearDown) => {
                    self.figures.answered(listener, Answer::Failed);
                    answer(client, "ERR\r\n").await;
                    return Reason::TornDown;
                }
                // Word on a dial that has ended meanwhile.
                Ok(Order::SendBy { .. } | Order::Move) => {}
                Err(reason) => break reason,
            }
        };
        self.queue.send(Event::Left { session }).await;
        match reason {
            Reason::NoRoom | Reason::Stopped if !may_have_run => {
                self.figures.answered(listener, Answer::Refused);
                answer(client, "BUSY\r\n").await;
            }
            Reason::BadLine | Reason::NoRoom | Reason::Stopped => {
                self.figures.answered(listener, Answer::Failed);
                answer(client, "ERR\r\n").await;
            }
            _ => {}
        }
        reason
    }

    async fn inherit(&self, was: &Standing, client: &mut Client, link: Link) -> (Option<u32>, Reason) {
        let line = was.head.as_bytes();
        let Some((head, listener)) = head(line).ok().and_then(|h| self.listener(&h).map(|l| (h, l))) else {
            tracing::warn!("a session without a first line was given");
            return (None, Reason::BadLine);
        };
        let ask = asks(&head, listener);
        let (session, _open) = self.enter(&head);
        let (sender, orders) = async_channel::bounded(4);
        let server = was.server;
        self.queue.send(Event::Stands { session, server, orders: sender }).await;
        self.queue.send(Event::Adopt { session, ask, server }).await;
        if let Some(load) = was.load {
            self.queue.send(Event::Noted { session, dial: 0, note: Note::Load(load) }).await;
        }
        let at = Stands { session, dial: 0, server, head: line, unanswered: was.unanswered, load: was.load };
        (Some(session), self.standing(at, client, link, &orders).await)
    }

    /// The number of a session that comes in; it is open, and in progress, while the other is held.
    fn enter(&self, head: &Head<'_>) -> (u32, (Named<'_>, InProgress)) {
        self.open.borrow_mut().insert(head.id, head.key);
        let session = self.next.replace(self.next.get().wrapping_add(1));
        (session, (Named(self, head.id), self.figures.taken()))
    }

    /// Resolves when there is no more time for an answer: who still waits then has the last one.
    async fn last_call<T>(&self) -> Result<T, Reason> {
        let _ = self.stop.recv().await;
        Timer::at(self.until() - LAST).await;
        Err(Reason::Stopped)
    }

    fn listener(&self, head: &Head<'_>) -> Option<usize> {
        self.listeners.iter().position(|l| l == head.listener)
    }

    /// A connection that stood at a server before the run goes there again.
    async fn stand(
        &self,
        session: u32,
        client: &mut Client,
        line: &[u8],
        ask: Session,
        server: u32,
        (sender, orders): (Sender<Order>, Receiver<Order>),
    ) -> Reason {
        let (until, listener) = (Instant::now() + STAND, ask.listener);
        self.queue.send(Event::Stands { session, server, orders: sender }).await;
        let room = client.place.second();
        let Link { stream, inbox } = &mut client.link;
        let stream = &*stream;
        let work = async {
            let Ok(Order::Dial { address: Some(address), .. }) = orders.recv().await else { return None };
            room.then_some(())?;
            loop {
                let mut slices = [std::io::IoSlice::new(line)];
                let waits = || waits_still(stream.get_ref(), true);
                match dial(address, &mut slices, until, self.connect_timeout, waits, &self.figures).await {
                    Ok(link) => return Some(link),
                    // Once it may have run there, another would be a second copy.
                    Err(how) if !how.never_ran() || Instant::now() >= until => return None,
                    Err(_) => Timer::after(STAND_AGAIN).await,
                };
            }
        };
        let stood = work.or(async {
            let _ = stirs::<()>(stream, inbox, true).await;
            None
        });
        match stood.await {
            Some(link) => {
                self.figures.answered(listener, Answer::Accepted);
                self.queue.send(Event::Adopt { session, ask, server }).await;
                let at = Stands { session, dial: 0, server, head: line, unanswered: 0, load: None };
                self.standing(at, client, link, &orders).await
            }
            None => {
                self.queue.send(Event::Left { session }).await;
                self.figures.answered(listener, Answer::Failed);
                answer(client, "ERR\r\n").await;
                Reason::TornDown
            }
        }
    }

    /// An accepted session: passes lines both ways until one side ends or it is to move.
    async fn standing(
        &self,
        at: Stands<'_>,
        client: &mut Client,
        mut link: Link,
        orders: &Receiver<Order>,
    ) -> Reason {
        let Stands { session, dial, .. } = at;
        let pipe = Pipe {
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
            ending: Cell::default(),
            load: Cell::new(at.load),
            alone: Cell::default(),
        };
        let (reason, how) = loop {
            let (up, down) = (&mut client.link.inbox, &mut link.inbox);
            let end = pipe.up(up).or(pipe.down(down)).or(pipe.told(orders)).await;
            if end.0 != Reason::HandedOver {
                break end;
            }
            let session = Standing {
                head: String::from_utf8_lossy(at.head).into_owned(),
                server: at.server,
                to_server: client.link.inbox.bytes().to_vec(),
                to_client: link.inbox.bytes()[pipe.passed.get()..].to_vec(),
                unanswered: pipe.sent.borrow().len(),
                load: pipe.load.get(),
            };
            if self.heir.give(session, pipe.to_client.get_ref(), pipe.to_server.get_ref()).await {
                break end;
            }
            // The new process is gone: this one ends the session as if there had been none.
            pipe.alone.set(true);
        };
        let event = match how {
            Some(how) => Event::Settled { session, dial, how, over: true },
            None => Event::Left { session },
        };
        self.queue.send(event).await;
        // One side is ended in the way that the other ended.
        match reason {
            Reason::ClientReset => reset(&link.stream),
            Reason::ClientLeft => close(&link).await,
            Reason::ServerReset => reset(&client.link.stream),
            // Both connections go on in the new process.
            Reason::HandedOver => {}
            _ => {
                drop(link);
                client.place.spoke();
                close(&client.link).or(client.place.must_go()).await;
            }
        }
        reason
    }
}

/// An accepted session, and where it stands.
struct Stands<'a> {
    session: u32,
    dial: u8,
    server: u32,
    head: &'a [u8],
    unanswered: usize,
    load: Option<f64>,
}

/// Why an accepted session ended, and how for its server; nothing if that was the client's doing or ours.
type End = (Reason, Option<Outcome>);

struct Pipe<'a> {
    front: &'a Front,
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
    /// The server has said its last.
    ending: Cell<bool>,
    /// The load that was last told.
    load: Cell<Option<f64>>,
    /// There is no new process to give it to.
    alone: Cell<bool>,
}

impl Pipe<'_> {
    /// From the client to its server, byte for byte.
    async fn up(&self, inbox: &mut Inbox) -> End {
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
                Ok(Ok(0)) => return (Reason::ClientLeft, None),
                Ok(Ok(_)) => {}
                Ok(Err(_)) => return (Reason::ClientReset, None),
                Err(end) => return end,
            }
        }
    }

    /// From the server to its client, in whole lines, so that there is always a place between two.
    async fn down(&self, inbox: &mut Inbox) -> End {
        let mut last = None;
        loop {
            let n = inbox.lines();
            if n > 0 {
                let now = Instant::now();
                if self.pass(&inbox.bytes()[..n]).await.is_err() {
                    return (Reason::ClientReset, None);
                }
                for line in inbox.bytes()[..n].split_inclusive(|&b| b == b'\n') {
                    last = self.read_line(line, now).await;
                    self.ending.set(last.is_some());
                }
                inbox.consume(n);
                self.passed.set(0);
            }
            if inbox.is_full() {
                return (Reason::BadLine, Some(Outcome::Error));
            }
            // A server that has said its last may hold its connection open: its client need not wait for
            // that.
            let ended = match last {
                Some(_) => within(LINGER, read(self.to_server, inbox)).await,
                None => read(self.to_server, inbox).await,
            };
            if matches!(ended, Ok(n) if n > 0) {
                continue;
            }
            if self.pass(inbox.bytes()).await.is_err() {
                return (Reason::ClientReset, None);
            }
            let reason = match (ended, last) {
                (_, Some(Outcome::Accepted)) => Reason::ServerEnded,
                (_, Some(_)) => Reason::ServerMoved,
                (Ok(_), None) => Reason::ServerCut,
                (Err(_), None) => Reason::ServerReset,
            };
            return (reason, last.or(Some(Outcome::Broken)));
        }
    }

    async fn pass(&self, bytes: &[u8]) -> std::io::Result<()> {
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
            Err(e) => return Err(e),
        }
        let mut to_client = self.to_client;
        while !bytes.is_empty() {
            self.writing.set(Some(Instant::now()));
            let n = to_client.write(bytes).await?;
            bytes = &bytes[n..];
            passed(n);
            self.kept.set(Some(Instant::now()));
        }
        self.writing.set(None);
        Ok(())
    }

    /// What a line says of the session; how it ends, if it is a server's last.
    async fn read_line(&self, line: &[u8], now: Instant) -> Option<Outcome> {
        let (session, dial, server) = (self.session, self.dial, self.server);
        match word(line).0 {
            Reply::Bye => return Some(Outcome::Accepted),
            Reply::Move => return Some(Outcome::CalledOff),
            Reply::Up => {}
            Reply::Load(load) => {
                self.load.set(Some(load));
                self.front.queue.send(Event::Noted { session, dial, note: Note::Load(load) }).await
            }
            _ => {
                let sent = self.sent.borrow_mut().pop_front();
                // What came while a slow client kept us from reading tells nothing of the server.
                if let Some(sent) = sent.filter(|&at| self.kept.get().is_none_or(|until| until < at)) {
                    let took = tenths(now.saturating_duration_since(sent));
                    self.front.queue.send(Event::Echo { session, dial, server, took }).await;
                }
            }
        }
        None
    }

    /// Moves the client when told to, or when the proxy stops and its connections stop with it.
    async fn told(&self, orders: &Receiver<Order>) -> End {
        let order = async {
            while let Ok(order) = orders.recv().await {
                if order == Order::Move {
                    return Reason::Moved;
                }
            }
            future::pending().await
        };
        let stop = async {
            let _ = self.front.stop.recv().await;
            let left = self.front.until().saturating_duration_since(Instant::now());
            let share = self.front.chance.borrow_mut().random_range(0.0..MOVED_BY);
            let at = Instant::now() + left.mul_f64(share);
            // A new process may come to be the heir only now.
            while self.front.passes || Instant::now() < at {
                if self.front.heir.is_there() && !self.alone.get() && !self.ending.get() {
                    return Reason::HandedOver;
                }
                Timer::after(LOOK).await;
            }
            Reason::Stopped
        };
        match order.or(stop).await {
            Reason::HandedOver => (Reason::HandedOver, None),
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
                    return (Reason::ClientStuck, None);
                }
                Timer::at((since + SILENCE).min(Instant::now() + doubt)).await;
                continue;
            }
            let from = self.kept.get().map_or(at, |until| until.max(at));
            if from.elapsed() < doubt {
                Timer::at(from + doubt).await;
            } else if self.told.replace(Some(at)) != Some(at) {
                self.front.queue.send(Event::Noted { session, dial, note: Note::Unanswered }).await;
            } else if from.elapsed() < SILENCE {
                Timer::at(from + SILENCE).await;
            } else {
                let reason = self.send_away(Reason::Silent).await;
                return (reason, (reason == Reason::Silent).then_some(Outcome::Broken));
            }
        }
        // Nothing is out: it is asked again with the next line.
        future::pending().await
    }

    async fn send_away(&self, reason: Reason) -> Reason {
        let started = Instant::now();
        while self.writing.get().is_some() {
            if started.elapsed() >= STUCK {
                return Reason::ClientStuck;
            }
            Timer::after(STUCK / 100).await;
        }
        self.writing.set(Some(started));
        let mut to_client = self.to_client;
        match within(STUCK, to_client.write_all(b"MOVE\r\n")).await {
            Ok(()) => reason,
            Err(_) => Reason::ClientStuck,
        }
    }
}

fn asks(head: &Head<'_>, listener: usize) -> Session {
    Session {
        listener,
        group_key: head.group,
        client_key: head.key,
        patience: head.wait_ms.saturating_mul(10),
        mid_flow: head.mid_flow,
        again: head.again,
        retry: head.retry,
    }
}

/// Answers probes until there is another line; or says how it ended.
async fn first_line(client: &mut Client) -> Result<Vec<u8>, Reason> {
    let mut pinged = false;
    loop {
        let step = async {
            let n = client.link.line().await?;
            let line = client.link.inbox.bytes()[..n].to_vec();
            client.link.inbox.consume(n);
            client.came = Instant::now();
            client.place.spoke();
            if line != b"PING\r\n" {
                return Ok(Some(line));
            }
            client.link.stream.write_all(b"PONG\r\n").await?;
            Ok(None)
        };
        match within(HEAD, step).await {
            Ok(Some(line)) => return Ok(line),
            Ok(None) => {
                pinged = true;
                // One who probes without end must not keep the others: not those who come, nor the list.
                future::yield_now().await;
            }
            Err(e) => {
                return Err(match e.kind() {
                    ErrorKind::InvalidData => Reason::BadLine,
                    _ if pinged && client.link.inbox.bytes().is_empty() => Reason::Pinged,
                    ErrorKind::TimedOut => Reason::HeadStalled,
                    _ => Reason::ClientLeft,
                });
            }
        }
    }
}

/// Resolves when the client of a session that waits has left, or has said more before its answer; one whose
/// packets came another way before may.
async fn stirs<T>(stream: &Async<TcpStream>, inbox: &mut Inbox, may_speak: bool) -> Result<T, Reason> {
    loop {
        if !inbox.bytes().is_empty() && !may_speak {
            return Err(Reason::BadLine);
        }
        if inbox.is_full() {
            // What it says further waits in the kernel, and its end behind that: only asking tells of it.
            Timer::after(LOOK).await;
            if !waits_still(stream.get_ref(), may_speak) {
                return Err(Reason::ClientLeft);
            }
            continue;
        }
        match read(stream, inbox).await {
            Ok(0) | Err(_) => return Err(Reason::ClientLeft),
            Ok(_) => {}
        }
    }
}

/// Whether a client still waits for its answer, as the kernel has it in this moment: the reactor may not have told yet
/// of one that left or spoke. Who ends his sending has given up, as an end of a connection means here.
fn waits_still(stream: &TcpStream, may_speak: bool) -> bool {
    match stream.peek(&mut [0]) {
        Ok(0) => false,
        Ok(_) => {
            // Its end may lie behind what it said.
            let mut ends = [PollFd::new(stream, PollFlags::RDHUP)];
            let told = poll(&mut ends, Some(&Timespec::default()));
            may_speak && (told.is_err() || ends[0].revents().is_empty())
        }
        Err(e) => e.kind() == ErrorKind::WouldBlock,
    }
}

/// The final answer, and the end of the connection.
async fn answer(client: &Client, line: &str) {
    client.place.spoke();
    let mut stream = &client.link.stream;
    if within(STUCK, stream.write_all(line.as_bytes())).await.is_ok() {
        close(&client.link).or(client.place.must_go()).await;
    }
}

/// Ends a connection in good order: no more from us, then what the other side has on its way.
async fn close(link: &Link) {
    if link.stream.get_ref().shutdown(Shutdown::Write).is_err() {
        return;
    }
    let rest = async {
        while within(LINGER, link.stream.read_with(swallow)).await? > 0 {
            // Who sends at full speed is not to keep the others waiting.
            future::yield_now().await;
        }
        Ok(())
    };
    let _ = within(DRAIN, rest).await;
}

/// Reads once, for nothing.
fn swallow(mut stream: &TcpStream) -> std::io::Result<usize> {
    stream.read(&mut [0; GULP])
}

/// Ends a connection as one that broke.
fn reset(stream: &Async<TcpStream>) {
    let _ = SockRef::from(stream.get_ref()).set_linger(Some(Duration::ZERO));
}
