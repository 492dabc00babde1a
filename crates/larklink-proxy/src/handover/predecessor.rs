//! The new process's side of a handover: connects to the predecessor, takes over from it, and receives its sessions.
use std::io::Result;
use std::net::{TcpListener, TcpStream};
use std::os::unix::net::UnixStream;
use std::path::Path;
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_channel::Sender;
use async_io::{Async, Timer};
use futures_lite::FutureExt;

use super::channel::{MessageReader, MessageWriter, RESPONSE_TIMEOUT, message_channel};
use super::messages::{EstablishedSession, HandoverMessage, ProtocolError};
use super::{HandoverContext, POLL_INTERVAL};
use crate::endpoint_list::Endpoint;
use crate::limiter::ConnectionLimiter;
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
        HandoverMessage::Offer { endpoints, .. } => {
            let listener = reader.take_descriptor()?.into();
            Ok(Some(Offer { listener, predecessor: Predecessor { reader, writer, endpoints } }))
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
            let _ = self.reader.receive().await;
        };
        ready.or(stops_or_exits).await;
        let rival_deadline = Instant::now() + RIVAL_TIMEOUT;
        loop {
            match self.request_takeover(&context.limiter).await {
                Ok(true) => break,
                Ok(false) if Instant::now() >= rival_deadline => {
                    tracing::warn!("rival process never serves, accepting connections beside it");
                    break;
                }
                // The rival becomes the predecessor once it accepts handover connections.
                Ok(false) => match connect(&context.socket_path).await {
                    Ok(Some(offer)) => self = offer.predecessor,
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
    async fn request_takeover(&mut self, limiter: &ConnectionLimiter) -> Result<bool> {
        self.writer.send(&HandoverMessage::TakeOver, &[]).await?;
        let answer = async {
            loop {
                match self.reader.receive().await? {
                    HandoverMessage::Granted { descriptors_in_use } => break Ok(Some(descriptors_in_use)),
                    HandoverMessage::AlreadyTaken => break Ok(None),
                    _ => {}
                }
            }
        };
        let granted = with_timeout(RESPONSE_TIMEOUT, answer).await?;
        if let Some(descriptors_in_use) = granted {
            limiter.set_other_process_use(descriptors_in_use);
        }
        Ok(granted.is_some())
    }

    /// Receives messages until the predecessor has exited: reports its open file descriptors to the limiter, and
    /// forwards the sessions that it hands over.
    pub(crate) async fn follow(mut self, limiter: &ConnectionLimiter, sessions: &Sender<HandedOverSession>) {
        let mut count = 0;
        let error = loop {
            match self.reader.receive().await {
                Ok(HandoverMessage::DescriptorsInUse { descriptors_in_use }) => {
                    limiter.set_other_process_use(descriptors_in_use);
                }
                Ok(HandoverMessage::Session(session)) => match self.take_connections(session) {
                    Ok(handed_over) => {
                        count += 1;
                        // Sending fails only if the proxy is about to exit.
                        let _ = sessions.send(handed_over).await;
                    }
                    Err(error) => break error,
                },
                Ok(_) => {}
                Err(error) => break error,
            }
        };
        tracing::info!(sessions = count, %error, "predecessor ended");
        limiter.set_other_process_use(0);
    }

    fn take_connections(&mut self, session: EstablishedSession) -> Result<HandedOverSession> {
        let client = self.reader.take_descriptor()?.into();
        let server = self.reader.take_descriptor()?.into();
        Ok(HandedOverSession { session, client, server })
    }
}
