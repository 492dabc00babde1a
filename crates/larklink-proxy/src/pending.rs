//! A session from its first line to its answer: it waits for what the decisions say, dials, and looks out for its client.
use std::cell::Cell;
use std::convert::Infallible;
use std::io::ErrorKind;
use std::net::TcpStream;
use std::time::{Duration, Instant};

use async_channel::{Receiver, Sender};
use async_io::{Async, Timer};
use futures_lite::{FutureExt, future};
use larklink_balancer::{AttemptOutcome, SessionRequest};
use rustix::event::{PollFd, PollFlags, Timespec, poll};

use crate::clients::{Client, LAST, LOOK, SessionContext, answer};
use crate::clock::to_ticks;
use crate::connection::{Connection, read};
use crate::endpoint_list::endpoint_id;
use crate::events::{DecisionEvent, SessionCommand};
use crate::log::EndReason;
use crate::metrics::FinalAnswer;
use crate::protocol::{LineBuffer, OpenLine, with_dial_timeout};
use crate::relay::Stands;
use crate::upstream::attempt::Attempt;

/// A connection from before the start is tried again after so long, up to so long.
const STAND_AGAIN: Duration = Duration::from_millis(250);
const STAND: Duration = Duration::from_secs(40);

/// Until when the first byte of a dial may go out. It falls when the list speaks against its server meanwhile.
struct SendPermit {
    dial: u8,
    by: Cell<Instant>,
    /// The end of the dial.
    until: Instant,
    /// It has been made use of.
    sent: Cell<bool>,
}

impl SendPermit {
    fn take(&self) -> bool {
        self.sent.set(Instant::now() <= self.by.get());
        self.sent.get()
    }

    /// Follows what becomes of it; resolves when it ends and nothing was sent, so that the session goes elsewhere at
    /// once and not when the connection comes up.
    async fn over(&self, orders: &Receiver<SessionCommand>) -> AttemptOutcome {
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
                Some(SessionCommand::LimitSendDeadline { attempt: dial, send_deadline: by })
                    if dial == self.dial =>
                {
                    self.by.set(by.min(self.by.get()))
                }
                Some(_) => {}
                None if self.sent.get() => return future::pending().await,
                None => return AttemptOutcome::NotSent,
            }
        }
    }
}

impl SessionContext {
    pub(crate) async fn session(
        &self,
        session: u32,
        client: &mut Client,
        line: &[u8],
        head: OpenLine<'_>,
        listener: usize,
    ) -> EndReason {
        let mut ask = asks(&head, listener);
        if self.stop.is_closed() {
            // It has to have its answer before this process ends.
            let left = (self.until() - LAST).saturating_duration_since(client.came);
            ask.dial_timeout = ask.dial_timeout.min(to_ticks(left));
        }
        let (sender, orders) = async_channel::bounded(4);
        if let Some(at) = head.endpoint_name {
            return self.stand(session, client, line, ask, endpoint_id(at), (sender, orders)).await;
        }
        self.queue
            .send(DecisionEvent::OpenSession {
                session,
                received_at: client.came,
                request: ask,
                commands: sender,
            })
            .await;
        let (mut may_have_run, dialled) = (false, Cell::new(false));
        let refused = |reason| {
            self.figures.record_answer(listener, FinalAnswer::Rejected);
            if !dialled.get() {
                self.figures.record_rejection_without_attempt(reason, Instant::now());
            }
        };
        let reason = loop {
            let order = async { orders.recv().await.ok().ok_or(EndReason::ClientClosed) };
            let client_left = watch_client(&client.link.stream, &mut client.link.buffer, head.established);
            match order.or(client_left).or(self.last_call()).await {
                // Only the first needs another descriptor: nothing has run.
                Ok(SessionCommand::Connect { .. }) if !client.place.try_acquire_upstream() => {
                    break EndReason::NoDescriptors;
                }
                Ok(SessionCommand::Connect {
                    attempt: number,
                    endpoint: server,
                    address,
                    deadline: until,
                    send_deadline: by,
                }) => {
                    let wait = until.saturating_duration_since(Instant::now()).as_millis().max(1).to_string();
                    let mut slices = with_dial_timeout(line, &head.dial_timeout_range, &wait);
                    let permit = SendPermit { dial: number, by: by.into(), until, sent: false.into() };
                    let Connection { stream, buffer: inbox } = &mut client.link;
                    // The reactor need not have told yet of a client that left: while its line came, while it waited
                    // for a probe or in a queue, or while another dial of its was out.
                    let waits = || waits_still(stream.get_ref(), head.established);
                    let may_begin = || {
                        let begins = waits();
                        dialled.set(dialled.get() || begins);
                        begins
                    };
                    let may_send = || waits() && permit.take();
                    let (timeout, figures) = (self.connect_timeout, &self.figures);
                    let work = async {
                        self.limiter.evictions_done().await;
                        Ok(match address {
                            Some(to) => {
                                Attempt {
                                    address: to,
                                    deadline: until,
                                    connect_timeout: timeout,
                                    metrics: figures,
                                }
                                .send(&mut slices, may_begin, may_send)
                                .await
                            }
                            None => Err(AttemptOutcome::ConnectFailed),
                        })
                    };
                    let over = async { Ok(Err(permit.over(&orders).await)) };
                    let client_left = watch_client(stream, inbox, head.established);
                    let done = over.or(client_left).or(work).or(self.last_call()).await;
                    may_have_run |= permit.sent.get() && !matches!(&done, Ok(Err(how)) if how.never_ran());
                    match done {
                        Err(reason) => break reason,
                        Ok(Err(AttemptOutcome::NotSent))
                            if !waits_still(stream.get_ref(), head.established) =>
                        {
                            let Err(reason) =
                                watch_client::<Infallible>(stream, inbox, head.established).await;
                            break reason;
                        }
                        Ok(Err(how)) => {
                            self.queue
                                .send(DecisionEvent::AttemptEnded {
                                    session,
                                    attempt: number,
                                    outcome: how,
                                    session_over: false,
                                })
                                .await
                        }
                        Ok(Ok(link)) => {
                            self.figures.record_answer(listener, FinalAnswer::Accepted);
                            self.queue.send(DecisionEvent::Established { session, attempt: number }).await;
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
                Ok(SessionCommand::Reject { retry_after }) => {
                    refused(EndReason::Rejected);
                    match retry_after.div_ceil(10) {
                        0 => answer(client, "BUSY\r\n").await,
                        ms => answer(client, &format!("BUSY {ms}\r\n")).await,
                    }
                    return EndReason::Rejected;
                }
                Ok(SessionCommand::Fail) => {
                    self.figures.record_answer(listener, FinalAnswer::Failed);
                    answer(client, "ERR\r\n").await;
                    return EndReason::Failed;
                }
                // Word on a dial that has ended meanwhile.
                Ok(SessionCommand::LimitSendDeadline { .. } | SessionCommand::Migrate) => {}
                Err(reason) => break reason,
            }
        };
        self.queue.send(DecisionEvent::ClientLeft { session }).await;
        match reason {
            EndReason::NoDescriptors | EndReason::Shutdown if !may_have_run => {
                refused(reason);
                answer(client, "BUSY\r\n").await;
            }
            EndReason::ProtocolError | EndReason::NoDescriptors | EndReason::Shutdown => {
                self.figures.record_answer(listener, FinalAnswer::Failed);
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
        ask: SessionRequest,
        server: u32,
        (sender, orders): (Sender<SessionCommand>, Receiver<SessionCommand>),
    ) -> EndReason {
        let (until, listener) = (Instant::now() + STAND, ask.listener);
        self.queue.send(DecisionEvent::FindEndpoint { session, endpoint: server, commands: sender }).await;
        let room = client.place.try_acquire_upstream();
        let Connection { stream, buffer: inbox } = &mut client.link;
        let stream = &*stream;
        let work = async {
            let Ok(SessionCommand::Connect { address: Some(address), .. }) = orders.recv().await else {
                return Err(EndReason::Failed);
            };
            room.then_some(()).ok_or(EndReason::NoDescriptors)?;
            self.limiter.evictions_done().await;
            loop {
                let mut slices = [std::io::IoSlice::new(line)];
                let waits = || waits_still(stream.get_ref(), true);
                let (timeout, figures) = (self.connect_timeout, &self.figures);
                let attempt =
                    Attempt { address, deadline: until, connect_timeout: timeout, metrics: figures };
                match attempt.send(&mut slices, waits, waits).await {
                    Ok(link) => return Ok(link),
                    // Once it may have run there, another would be a second copy.
                    Err(how) if !how.never_ran() || Instant::now() >= until => {
                        return Err(EndReason::Failed);
                    }
                    Err(_) => Timer::after(STAND_AGAIN).await,
                };
            }
        };
        match work.or(watch_client(stream, inbox, true)).or(self.last_call()).await {
            Ok(link) => {
                self.figures.record_answer(listener, FinalAnswer::Accepted);
                self.queue
                    .send(DecisionEvent::AdoptEstablished { session, request: ask, endpoint: server })
                    .await;
                let at = Stands { session, dial: 0, server, head: line, unanswered: 0, load: None };
                self.standing(at, client, link, &orders).await
            }
            Err(reason) => {
                self.queue.send(DecisionEvent::ClientLeft { session }).await;
                if reason != EndReason::ClientClosed {
                    self.figures.record_answer(listener, FinalAnswer::Failed);
                    answer(client, "ERR\r\n").await;
                }
                reason
            }
        }
    }
}

pub(crate) fn asks(head: &OpenLine<'_>, listener: usize) -> SessionRequest {
    SessionRequest {
        listener,
        group_key: head.group_key,
        client_key: head.client_key,
        dial_timeout: head.dial_timeout_ms.saturating_mul(10),
        established: head.established,
        reconnecting: head.reconnecting,
        client_retry: head.client_retry,
    }
}

/// Resolves when the client of a session that waits has left, or has said more before its answer; one whose
/// packets came another way before may.
async fn watch_client<T>(
    stream: &Async<TcpStream>,
    inbox: &mut LineBuffer,
    may_speak: bool,
) -> Result<T, EndReason> {
    loop {
        if !inbox.bytes().is_empty() && !may_speak {
            return Err(EndReason::ProtocolError);
        }
        if inbox.is_full() {
            // What it says further waits in the kernel, and its end behind that: only asking tells of it.
            Timer::after(LOOK).await;
            if !waits_still(stream.get_ref(), may_speak) {
                return Err(EndReason::ClientClosed);
            }
            continue;
        }
        match read(stream, inbox).await {
            Ok(0) | Err(_) => return Err(EndReason::ClientClosed),
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
