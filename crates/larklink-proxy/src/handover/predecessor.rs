//! Runs in the new process: connects to the predecessor, takes over from it, and continues its sessions.
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

/// How long a new process waits for a rival that was granted the takeover first to open its own socket. A rival that
/// hangs before that must not leave the proxy without a ready process; should it recover later, both accept connections.
const RIVAL_TIMEOUT: Duration = Duration::from_secs(3);

/// A connection to the process that serves before this one.
pub struct Predecessor {
    reader: MessageReader,
    writer: Rc<MessageWriter>,
    /// Its endpoint list.
    pub endpoints: Vec<Endpoint>,
}

/// What a new process got from its predecessor at their first contact.
pub struct Offer {
    /// The listening socket, shared by the two.
    pub listener: TcpListener,
    /// The connection to the predecessor.
    pub predecessor: Predecessor,
}

/// An established session handed over by the predecessor.
pub(crate) struct HandedOverSession {
    /// Its state.
    pub(crate) session: EstablishedSession,
    /// The connection to its client.
    pub(crate) client: TcpStream,
    /// The connection to its endpoint.
    pub(crate) server: TcpStream,
}

/// Meets the process that serves at a socket; none if there is none.
///
/// # Errors
/// A process is there, but does not send a valid offer within one second.
pub async fn meet(socket_path: &Path) -> Result<Option<Offer>> {
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
    /// Takes over once `ready` resolves, or when the predecessor stops or ends before. Returns the process that was taken
    /// over from: another one, if a rival was faster.
    pub(crate) async fn take_over(
        mut self,
        context: &HandoverContext,
        ready: impl Future<Output = ()>,
    ) -> Self {
        let stops_or_ends = async {
            // Before it is asked for the takeover it sends nothing but that it stops.
            let _ = self.reader.receive().await;
        };
        ready.or(stops_or_ends).await;
        let rival_deadline = Instant::now() + RIVAL_TIMEOUT;
        loop {
            match self.request_takeover(&context.limiter).await {
                Ok(true) => break,
                Ok(false) if Instant::now() >= rival_deadline => {
                    tracing::warn!("rival process never serves, accepting connections beside it");
                    break;
                }
                // The rival becomes the predecessor, once it can be met.
                Ok(false) => match meet(&context.socket_path).await {
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

    /// Whether the takeover was granted.
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

    /// Leaves the predecessor the descriptors that it reports, and passes on the sessions that it hands over, until it
    /// has ended.
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
                        // It only fails when the proxy is about to exit.
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
