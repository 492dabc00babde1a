//! A session from its first line to its answer: it waits for what the decisions say, dials, and looks out for its client.
use std::cell::Cell;
use std::convert::Infallible;
use std::io::ErrorKind;
use std::net::TcpStream;
use std::time::{Duration, Instant};

use async_channel::{Receiver, Sender};
use async_io::{Async, Timer};
use futures_lite::{FutureExt, future};
use larklink_balancer::types::*;
use rustix::event::{PollFd, PollFlags, Timespec, poll};

use crate::clients::{Client, Front, LAST, LOOK, answer};
use crate::clock::tenths;
use crate::events::{Event, Order};
use crate::figures::Answer;
use crate::lines::{Head, Inbox, with_wait};
use crate::list::server_id;
use crate::log::Reason;
use crate::relay::Stands;
use crate::servers::{Link, dial, read};

/// A connection from before the start is tried again after so long, up to so long.
const STAND_AGAIN: Duration = Duration::from_millis(250);
const STAND: Duration = Duration::from_secs(40);

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

impl Front {
    pub(crate) async fn session(
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
        let (mut may_have_run, dialled) = (false, Cell::new(false));
        let refused = |reason| {
            self.figures.answered(listener, Answer::Refused);
            if !dialled.get() {
                self.figures.refused_undialled(reason, Instant::now());
            }
        };
        let reason = loop {
            let order = async { orders.recv().await.ok().ok_or(Reason::ClientLeft) };
            let client_left = watch_client(&client.link.stream, &mut client.link.inbox, head.mid_flow);
            match order.or(client_left).or(self.last_call()).await {
                // Only the first needs another descriptor: nothing has run.
                Ok(Order::Dial { .. }) if !client.place.second() => break Reason::NoRoom,
                Ok(Order::Dial { dial: number, server, address, until, by }) => {
                    let wait = until.saturating_duration_since(Instant::now()).as_millis().max(1).to_string();
                    let mut slices = with_wait(line, &head.wait_at, &wait);
                    let permit = Permit { dial: number, by: by.into(), until, sent: false.into() };
                    let Link { stream, inbox } = &mut client.link;
                    // The reactor need not have told yet of a client that left: while its line came, while it waited
                    // for a probe or in a queue, or while another dial of its was out.
                    let waits = || waits_still(stream.get_ref(), head.mid_flow);
                    let may_begin = || {
                        let begins = waits();
                        dialled.set(dialled.get() || begins);
                        begins
                    };
                    let may_send = || waits() && permit.take();
                    let (timeout, figures) = (self.connect_timeout, &self.figures);
                    let work = async {
                        self.limiter.settled().await;
                        Ok(match address {
                            Some(to) => {
                                dial(to, &mut slices, until, timeout, may_begin, may_send, figures).await
                            }
                            None => Err(Outcome::Unmade),
                        })
                    };
                    let over = async { Ok(Err(permit.over(&orders).await)) };
                    let client_left = watch_client(stream, inbox, head.mid_flow);
                    let done = over.or(client_left).or(work).or(self.last_call()).await;
                    may_have_run |= permit.sent.get() && !matches!(&done, Ok(Err(how)) if how.never_ran());
                    match done {
                        Err(reason) => break reason,
                        Ok(Err(Outcome::Unsent)) if !waits_still(stream.get_ref(), head.mid_flow) => {
                            let Err(reason) = watch_client::<Infallible>(stream, inbox, head.mid_flow).await;
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
                    refused(Reason::Refused);
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
                refused(reason);
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
            let Ok(Order::Dial { address: Some(address), .. }) = orders.recv().await else {
                return Err(Reason::TornDown);
            };
            room.then_some(()).ok_or(Reason::NoRoom)?;
            self.limiter.settled().await;
            loop {
                let mut slices = [std::io::IoSlice::new(line)];
                let waits = || waits_still(stream.get_ref(), true);
                let (timeout, figures) = (self.connect_timeout, &self.figures);
                match dial(address, &mut slices, until, timeout, waits, waits, figures).await {
                    Ok(link) => return Ok(link),
                    // Once it may have run there, another would be a second copy.
                    Err(how) if !how.never_ran() || Instant::now() >= until => return Err(Reason::TornDown),
                    Err(_) => Timer::after(STAND_AGAIN).await,
                };
            }
        };
        match work.or(watch_client(stream, inbox, true)).or(self.last_call()).await {
            Ok(link) => {
                self.figures.answered(listener, Answer::Accepted);
                self.queue.send(Event::Adopt { session, ask, server }).await;
                let at = Stands { session, dial: 0, server, head: line, unanswered: 0, load: None };
                self.standing(at, client, link, &orders).await
            }
            Err(reason) => {
                self.queue.send(Event::Left { session }).await;
                if reason != Reason::ClientLeft {
                    self.figures.answered(listener, Answer::Failed);
                    answer(client, "ERR\r\n").await;
                }
                reason
            }
        }
    }
}

pub(crate) fn asks(head: &Head<'_>, listener: usize) -> Session {
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

/// Resolves when the client of a session that waits has left, or has said more before its answer; one whose
/// packets came another way before may.
async fn watch_client<T>(stream: &Async<TcpStream>, inbox: &mut Inbox, may_speak: bool) -> Result<T, Reason> {
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
