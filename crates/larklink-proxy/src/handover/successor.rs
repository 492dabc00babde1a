//! The old process's side of a handover: offers its listener and endpoint list to each new process, lets one of them
//! take over, and hands over its established sessions to it.
use std::cell::RefCell;
use std::io::Result;
use std::net::{TcpListener, TcpStream};
use std::os::fd::AsFd;
use std::os::unix::net::{UnixListener, UnixStream};
use std::rc::Rc;
use std::time::Instant;

use async_channel::{Receiver, Sender};
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use futures_lite::{FutureExt, future};

use super::channel::{MessageReader, MessageWriter, message_channel};
use super::messages::{EstablishedSession, HandoverMessage, ProtocolError, SessionIdChanges, VERSION};
use super::{HandoverContext, POLL_INTERVAL};
use crate::connection_slots::{ConnectionSlots, Eviction};
use crate::events::DecisionEvent;
use crate::session_registry::ProcessLink;

/// New processes that are served concurrently, beside the successor. A further one evicts the oldest.
const MAX_NEW_PROCESSES: usize = 4;

/// The process that has taken over from this one, if there is one.
#[derive(Default)]
pub(crate) struct Successor {
    writer: RefCell<Option<Rc<MessageWriter>>>,
}

impl Successor {
    /// Whether a process has taken over.
    pub(crate) fn is_present(&self) -> bool {
        self.writer.borrow().is_some()
    }

    /// Hands a session over. Returns whether the successor owns it now.
    pub(crate) async fn hand_over(
        &self,
        session: EstablishedSession,
        client: &TcpStream,
        server: &TcpStream,
    ) -> bool {
        let Some(writer) = self.writer.borrow().clone() else { return false };
        let message = HandoverMessage::Session(session);
        writer.send(&message, &[client.as_fd(), server.as_fd()]).await.is_ok()
    }

    fn set(&self, writer: &Rc<MessageWriter>) {
        self.writer.replace(Some(Rc::clone(writer)));
    }

    fn is(&self, writer: &Rc<MessageWriter>) -> bool {
        self.writer.borrow().as_ref().is_some_and(|current| Rc::ptr_eq(current, writer))
    }

    fn clear(&self) {
        self.writer.take();
    }
}

/// Serves the new processes that connect to take over.
pub(crate) struct HandoverServer {
    context: Rc<HandoverContext>,
    /// Closed when this process is asked to stop.
    shutdown: Receiver<()>,
    /// The listening socket; `None` once this process accepts no more connections.
    listener: RefCell<Option<TcpListener>>,
    successor: Rc<Successor>,
    /// Signals that the successor exited before this process was asked to stop.
    successor_lost: Sender<()>,
    /// The receiver of `successor_lost`.
    successor_lost_receiver: Receiver<()>,
}

impl HandoverServer {
    /// Creates a server that offers a listener. `shutdown` closes when this process is asked to stop.
    pub(crate) fn new(
        context: Rc<HandoverContext>,
        listener: Option<TcpListener>,
        successor: Rc<Successor>,
        shutdown: Receiver<()>,
    ) -> Self {
        let (successor_lost, successor_lost_receiver) = async_channel::bounded(1);
        let listener = RefCell::new(listener);
        Self { context, shutdown, listener, successor, successor_lost, successor_lost_receiver }
    }

    /// Opens the handover socket, to which new processes connect.
    ///
    /// # Errors
    /// The socket cannot be bound or renamed to its path.
    pub(crate) fn bind(&self) -> Result<Async<UnixListener>> {
        // Bound under a temporary name and then renamed: a process that connects meanwhile finds either the old socket
        // or this one, ready.
        let path = &self.context.socket_path;
        let temporary_path = path.with_extension(std::process::id().to_string());
        let socket = Async::<UnixListener>::bind(&temporary_path)?;
        std::fs::rename(&temporary_path, path)?;
        Ok(socket)
    }

    /// Stops offering the listener, because this process accepts no more connections.
    pub(crate) fn close_listener(&self) {
        self.listener.take();
    }

    /// Serves each new process that connects, until this process exits.
    ///
    /// # Errors
    /// The socket fails, or cannot be bound again: no process can connect any more.
    pub(crate) async fn run(
        self: Rc<Self>,
        mut socket: Async<UnixListener>,
        executor: &LocalExecutor<'static>,
    ) -> Result<()> {
        let mut slots = ConnectionSlots::new(MAX_NEW_PROCESSES);
        loop {
            let accepted = async { socket.accept().await.map(|(stream, _)| Some(stream)) };
            let successor_lost = async {
                let _ = self.successor_lost_receiver.recv().await;
                Ok(None)
            };
            let Some(stream) = accepted.or(successor_lost).await? else {
                // The successor has replaced this process's socket with its own.
                socket = self.bind()?;
                continue;
            };
            let server = Rc::clone(&self);
            let eviction = slots.add();
            // The task ends with its connection, or when the connection is evicted.
            executor.spawn(async move { server.serve(stream, &eviction).await }).detach();
        }
    }

    async fn serve(&self, stream: Async<UnixStream>, eviction: &Eviction) {
        // The new process has its reserved descriptors open from its start.
        let limiter = &self.context.limiter;
        limiter.set_other_process_use(limiter.reserved());
        let (reader, writer) = message_channel(stream);
        if let Err(error) = NewProcess::new(self, reader, &writer, eviction).run().await {
            tracing::info!(%error, "new process lost");
        }
        let was_successor = self.successor.is(&writer);
        if was_successor {
            self.successor.clear();
        }
        if !self.successor.is_present() {
            limiter.set_other_process_use(0);
        }
        if was_successor && !self.shutdown.is_closed() {
            tracing::warn!("successor lost, accepting connections again");
            let _ = self.successor_lost.try_send(());
            self.context.start_accepting().await;
        }
    }
}

/// What the task that serves a new process has to handle next.
enum Event {
    Received(HandoverMessage),
    ReportDue,
    SessionOpened,
    ShuttingDown,
    Evicted,
}

/// The connection to one new process.
struct NewProcess<'a> {
    server: &'a HandoverServer,
    reader: MessageReader,
    writer: &'a Rc<MessageWriter>,
    eviction: &'a Eviction,
    /// Whether the new process exchanges session ids; an older one does not.
    exchanges_session_ids: bool,
    /// The exchange of session ids, from the takeover on.
    session_ids: Option<ProcessLink>,
    /// Whether the new process was granted the takeover.
    granted: bool,
    /// When the numbers of open descriptors and the closed sessions are reported next.
    next_report_at: Instant,
    /// Whether the new process was notified that this one stops.
    shutdown_announced: bool,
    /// The number of descriptors last reported to the new process as in use or reserved.
    reported_descriptors: usize,
}

impl<'a> NewProcess<'a> {
    fn new(
        server: &'a HandoverServer,
        reader: MessageReader,
        writer: &'a Rc<MessageWriter>,
        eviction: &'a Eviction,
    ) -> Self {
        Self {
            server,
            reader,
            writer,
            eviction,
            exchanges_session_ids: false,
            session_ids: None,
            granted: false,
            next_report_at: Instant::now(),
            shutdown_announced: false,
            reported_descriptors: 0,
        }
    }

    /// Serves the new process until it exits, its takeover is denied, or it sends an unexpected message.
    async fn run(mut self) -> Result<()> {
        self.send_offer().await?;
        loop {
            match self.next_event().await? {
                Event::Received(HandoverMessage::TakeOver) => {
                    if !self.grant().await? {
                        return self.writer.send(&HandoverMessage::AlreadyTaken, &[]).await;
                    }
                }
                Event::Received(HandoverMessage::SessionIds(changes)) => self.apply_session_ids(changes),
                Event::Received(other) => return Err(ProtocolError::Unexpected(other).into()),
                Event::ShuttingDown => {
                    self.shutdown_announced = true;
                    self.writer.send(&HandoverMessage::Stopping, &[]).await?;
                }
                Event::Evicted => return Err(ProtocolError::TooManyProcesses.into()),
                Event::SessionOpened => self.report_session_ids().await?,
                Event::ReportDue => {
                    self.next_report_at = Instant::now() + POLL_INTERVAL;
                    self.report_descriptors().await?;
                    self.report_session_ids().await?;
                }
            }
        }
    }

    async fn send_offer(&self) -> Result<()> {
        let (sender, answer) = async_channel::bounded(1);
        self.server.context.queue.send(DecisionEvent::CurrentEndpoints(sender)).await;
        let endpoints = answer.recv().await.unwrap_or_default();
        let listener = self.server.listener.borrow().as_ref().map(TcpListener::try_clone).transpose()?;
        let listener =
            listener.ok_or_else(|| std::io::Error::other("this process accepts no more connections"))?;
        let offer = HandoverMessage::Offer { version: VERSION, endpoints, exchanges_session_ids: true };
        self.writer.send(&offer, &[listener.as_fd()]).await
    }

    async fn next_event(&mut self) -> Result<Event> {
        let received = async { self.reader.receive().await.map(Event::Received) };
        let session_opened = async {
            match &self.session_ids {
                Some(link) => link.opened().await,
                None => future::pending().await,
            }
            Ok(Event::SessionOpened)
        };
        let shutting_down = async {
            if self.shutdown_announced {
                return future::pending().await;
            }
            let _ = self.server.shutdown.recv().await;
            Ok(Event::ShuttingDown)
        };
        let report_due = async {
            Timer::at(self.next_report_at).await;
            Ok(Event::ReportDue)
        };
        let evicted = async {
            // Evicting the successor would end the handover.
            if self.granted {
                return future::pending().await;
            }
            self.eviction.wait().await;
            Ok(Event::Evicted)
        };
        // In this order: a successor that sends without pause must not hold the reports up.
        evicted.or(report_due).or(shutting_down).or(session_opened).or(received).await
    }

    /// Grants the takeover, unless another process has taken over. Returns whether it was granted.
    async fn grant(&mut self) -> Result<bool> {
        let HandoverServer { context, successor, .. } = self.server;
        if successor.is_present() {
            return Ok(false);
        }
        // Before this process stops accepting connections: if the new one is lost here, nothing has changed.
        if self.exchanges_session_ids {
            self.session_ids = Some(context.sessions.link());
            self.report_session_ids().await?;
        }
        context.set_accepting(false).await;
        // Another process may have taken over meanwhile.
        if successor.is_present() {
            return Ok(false);
        }
        tracing::info!("takeover granted to a new process");
        self.granted = true;
        self.reported_descriptors = context.limiter.in_use();
        successor.set(self.writer);
        let granted = HandoverMessage::Granted { descriptors_in_use: self.reported_descriptors };
        self.writer.send(&granted, &[]).await?;
        Ok(true)
    }

    /// Applies the changes that the new process reports; its first message shows that it exchanges them.
    fn apply_session_ids(&mut self, changes: SessionIdChanges) {
        self.exchanges_session_ids = true;
        if let Some(link) = &self.session_ids {
            link.apply(changes);
        }
    }

    async fn report_session_ids(&self) -> Result<()> {
        let Some(link) = &self.session_ids else { return Ok(()) };
        while let Some(changes) = link.take_unsent() {
            self.writer.send(&HandoverMessage::SessionIds(changes), &[]).await?;
        }
        Ok(())
    }

    async fn report_descriptors(&mut self) -> Result<()> {
        let descriptors_in_use = self.server.context.limiter.in_use();
        if !self.granted || descriptors_in_use == self.reported_descriptors {
            return Ok(());
        }
        self.reported_descriptors = descriptors_in_use;
        self.writer.send(&HandoverMessage::DescriptorsInUse { descriptors_in_use }, &[]).await
    }
}
