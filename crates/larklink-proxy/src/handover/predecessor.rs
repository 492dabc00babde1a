//! The new process's side of a handover: connects to the predecessor, takes over from it, and receives its sessions.
use std::convert::Infallible;
use std::io::Result;
use std::net::{TcpListener, TcpStream};
use std::os::unix::net::UnixStream;
use std::path::Path;
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_channel::Sender;
use async_io::{Async, Timer};
use futures_lite::{FutureExt, future};

use super::channel::{MessageReader, MessageWriter, RESPONSE_TIMEOUT, message_channel};
use super::messages::{EstablishedSession, HandoverMessage, ProtocolError, SessionIdChanges};
use super::{HandoverContext, POLL_INTERVAL};
use crate::endpoint_list::Endpoint;
use crate::protocol::parse_open_line;
use crate::session_registry::{OpenSession, ProcessLink};
use crate::timeout::with_timeout;

/// How long a new process waits for a rival, another new process that was granted the takeover first, to open its own
/// handover socket. If the rival hangs before that, the proxy must not be left without a ready process. Should the
/// rival recover later, both accept connections.
const RIVAL_TIMEOUT: Duration = Duration::from_secs(3);

/// The connection to the process that this one replaces.
pub struct Predecessor {
    reader: MessageReader,
    writer: Rc<MessageWriter>,
    /// The predecessor's endpoint list.
    pub endpoints: Vec<Endpoint>,
    /// Whether it exchanges session ids.
    exchanges_session_ids: bool,
    /// The exchange of session ids; `None` before the takeover, or if the predecessor does not exchange them.
    session_ids: Option<Rc<ProcessLink>>,
}

/// What a new process receives from its predecessor when it connects.
pub struct Offer {
    /// The listening socket, shared by both processes.
    pub listener: TcpListener,
    /// The connection to the predecessor.
    pub predecessor: Predecessor,
}

/// An established session handed over by the predecessor.
pub(crate) struct HandedOverSession {
    /// The state of the session.
    pub(crate) session: EstablishedSession,
    /// The session in this process's registry; `None` if its first line is invalid.
    pub(crate) open_session: Option<OpenSession>,
    /// The connection to its client.
    pub(crate) client: TcpStream,
    /// The connection to its endpoint.
    pub(crate) server: TcpStream,
}

/// Connects to the running process at a handover socket; `None` if there is none.
///
/// # Errors
/// A process is running, but does not send a valid offer within one second.
pub async fn connect(socket_path: &Path) -> Result<Option<Offer>> {
    let Ok(stream) = UnixStream::connect(socket_path) else { return Ok(None) };
    let (mut reader, writer) = message_channel(Async::new(stream)?);
    match with_timeout(RESPONSE_TIMEOUT, reader.receive()).await? {
        HandoverMessage::Offer { endpoints, exchanges_session_ids, .. } => {
            let listener = reader.take_descriptor()?.into();
            let predecessor =
                Predecessor { reader, writer, endpoints, exchanges_session_ids, session_ids: None };
            Ok(Some(Offer { listener, predecessor }))
        }
        other => Err(ProtocolError::Unexpected(other).into()),
    }
}

impl Predecessor {
    /// Takes over once `ready` resolves, or earlier if the predecessor stops or exits. Returns the process that was
    /// taken over from, which is not `self` if a rival was faster.
    pub(crate) async fn take_over(
        mut self,
        context: &HandoverContext,
        ready: impl Future<Output = ()>,
    ) -> Self {
        let stops_or_exits = async {
            // Before the takeover request, `Stopping` is the only message that it sends.
            let message = self.reader.receive().await;
            context.predecessor_stopping.set(matches!(message, Ok(HandoverMessage::Stopping)));
        };
        ready.or(stops_or_exits).await;
        let rival_deadline = Instant::now() + RIVAL_TIMEOUT;
        loop {
            match self.request_takeover(context).await {
                Ok(true) => break,
                Ok(false) if Instant::now() >= rival_deadline => {
                    tracing::warn!("rival process never serves, accepting connections beside it");
                    break;
                }
                // The rival becomes the predecessor once it accepts handover connections.
                Ok(false) => match connect(&context.socket_path).await {
                    Ok(Some(offer)) => {
                        context.predecessor_stopping.set(false);
                        self = offer.predecessor;
                    }
                    _ => _ = Timer::after(POLL_INTERVAL).await,
                },
                Err(error) => {
                    tracing::info!(%error, "predecessor lost");
                    break;
                }
            }
        }
        context.start_accepting().await;
        tracing::info!("takeover complete, accepting connections");
        self
    }

    /// Requests the takeover. Returns whether it was granted.
    async fn request_takeover(&mut self, context: &HandoverContext) -> Result<bool> {
        if self.exchanges_session_ids {
            let link = context.sessions.link();
            let own_ids = link.take_unsent().unwrap_or_default();
            self.writer.send(&HandoverMessage::SessionIds(own_ids), &[]).await?;
            self.session_ids = Some(Rc::new(link));
        }
        self.writer.send(&HandoverMessage::TakeOver, &[]).await?;
        let answer = async {
            loop {
                match self.reader.receive().await? {
                    HandoverMessage::Granted { descriptors_in_use } => break Ok(Some(descriptors_in_use)),
                    HandoverMessage::AlreadyTaken => break Ok(None),
                    HandoverMessage::SessionIds(changes) => self.apply_session_ids(changes),
                    HandoverMessage::Stopping => context.predecessor_stopping.set(true),
                    _ => {}
                }
            }
        };
        let granted = with_timeout(RESPONSE_TIMEOUT, answer).await?;
        if let Some(descriptors_in_use) = granted {
            context.limiter.set_other_process_use(descriptors_in_use);
        }
        Ok(granted.is_some())
    }

    /// Follows the predecessor until it has exited: reports its open file descriptors to the limiter, exchanges the ids
    /// of open sessions with it, and forwards the sessions that it hands over.
    pub(crate) async fn follow(mut self, context: &HandoverContext, sessions: &Sender<HandedOverSession>) {
        let report = report_session_ids(Rc::clone(&self.writer), self.session_ids.clone());
        let mut count = 0;
        let receive = async {
            loop {
                match self.receive_session(context).await {
                    Ok(session) => {
                        count += 1;
                        // Sending fails only if the proxy is about to exit.
                        let _ = sessions.send(session).await;
                    }
                    Err(error) => break error,
                }
            }
        };
        let never = async { match report.await {} };
        let error = receive.or(never).await;
        tracing::info!(sessions = count, %error, "predecessor ended");
        context.limiter.set_other_process_use(0);
    }

    /// Receives messages until one is a session.
    async fn receive_session(&mut self, context: &HandoverContext) -> Result<HandedOverSession> {
        loop {
            match self.reader.receive().await? {
                HandoverMessage::DescriptorsInUse { descriptors_in_use } => {
                    context.limiter.set_other_process_use(descriptors_in_use);
                }
                HandoverMessage::SessionIds(changes) => self.apply_session_ids(changes),
                HandoverMessage::Stopping => context.predecessor_stopping.set(true),
                HandoverMessage::Session(session) => return self.adopt(session, context),
                _ => {}
            }
        }
    }

    fn apply_session_ids(&self, changes: SessionIdChanges) {
        if let Some(link) = &self.session_ids {
            link.apply(changes);
        }
    }

    /// Registers a session before the predecessor can report that it is closed there: its id is never free meanwhile.
    fn adopt(&mut self, session: EstablishedSession, context: &HandoverContext) -> Result<HandedOverSession> {
        let client = self.reader.take_descriptor()?.into();
        let server = self.reader.take_descriptor()?.into();
        let open_line = parse_open_line(session.open_line.as_bytes()).ok();
        let open_session = open_line.map(|open_line| context.sessions.open(&open_line));
        // Its endpoint has accepted it.
        open_session.iter().for_each(OpenSession::record_sent);
        Ok(HandedOverSession { session, open_session, client, server })
    }
}

/// Reports the ids of the sessions that this process opens and closes: opened ones at once, closed ones later. A
/// predecessor that does not read them is left to itself.
async fn report_session_ids(writer: Rc<MessageWriter>, link: Option<Rc<ProcessLink>>) -> Infallible {
    let Some(link) = link else { return future::pending().await };
    let mut is_reading = true;
    loop {
        let closed_report_due = async { _ = Timer::after(POLL_INTERVAL).await };
        link.opened().or(closed_report_due).await;
        while let Some(changes) = link.take_unsent() {
            let message = HandoverMessage::SessionIds(changes);
            is_reading = is_reading && writer.send(&message, &[]).await.is_ok();
        }
    }
}
