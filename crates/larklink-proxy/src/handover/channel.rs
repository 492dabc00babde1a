//! Messages over a Unix socket, with file descriptors attached to their first byte (`SCM_RIGHTS`).
use std::collections::VecDeque;
use std::io::{ErrorKind, IoSlice, IoSliceMut, Result};
use std::mem::MaybeUninit;
use std::os::fd::{BorrowedFd, OwnedFd};
use std::os::unix::net::UnixStream;
use std::rc::Rc;
use std::time::Duration;

use async_io::Async;
use async_lock::Mutex;
use futures_lite::{AsyncWriteExt, future};
use rustix::net::{
    RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags, SendAncillaryBuffer, SendAncillaryMessage,
    SendFlags, recvmsg, sendmsg,
};

use super::messages::{HandoverMessage, ProtocolError, parse_message};
use crate::discovery::http::MAX_BODY_BYTES;
use crate::timeout::with_timeout;

/// The longest message, in bytes; the same limit as for an endpoint list from discovery, which an offer contains.
const MAX_MESSAGE_LENGTH: usize = MAX_BODY_BYTES;
/// How long to wait for an expected message, or to send one. A process that hangs must not delay the start of another.
pub(super) const RESPONSE_TIMEOUT: Duration = Duration::from_secs(1);
/// The most file descriptors attached to one message.
const MAX_ATTACHED: usize = 2;
/// How many bytes are read from the socket at once.
const CHUNK_LENGTH: usize = 4096;

/// The receiving half of a connection to the other process.
pub struct MessageReader {
    stream: Rc<Async<UnixStream>>,
    buffer: Vec<u8>,
    /// How many bytes at the start of the buffer are known to contain no end of a message.
    scanned: usize,
    descriptors: VecDeque<OwnedFd>,
}

impl MessageReader {
    /// Receives the next message. Cancel safe: nothing is lost when the future is dropped.
    ///
    /// # Errors
    /// The other process closed the connection or sent an invalid message.
    pub async fn receive(&mut self) -> Result<HandoverMessage> {
        loop {
            // A process that sends without pause must not starve other tasks.
            future::yield_now().await;
            if let Some(line) = self.take_line() {
                return parse_message(&line);
            }
            if self.buffer.len() > MAX_MESSAGE_LENGTH {
                return Err(ProtocolError::TooLong { limit: MAX_MESSAGE_LENGTH }.into());
            }
            let Self { stream, buffer, descriptors, .. } = self;
            if stream.read_with(|s| receive_chunk(s, buffer, descriptors)).await? == 0 {
                return Err(ErrorKind::UnexpectedEof.into());
            }
        }
    }

    /// Takes the first message from the buffer, without its newline; `None` if it is not complete.
    fn take_line(&mut self) -> Option<Vec<u8>> {
        let Some(length) = self.buffer[self.scanned..].iter().position(|&byte| byte == b'\n') else {
            self.scanned = self.buffer.len();
            return None;
        };
        let end = self.scanned + length;
        self.scanned = 0;
        let mut line: Vec<_> = self.buffer.drain(..=end).collect();
        line.pop();
        Some(line)
    }

    /// Takes the next descriptor that was received with a message, in the order in which they were sent.
    ///
    /// # Errors
    /// No descriptor is left.
    pub fn take_descriptor(&mut self) -> Result<OwnedFd> {
        self.descriptors.pop_front().ok_or_else(|| ProtocolError::MissingDescriptor.into())
    }
}

fn receive_chunk(
    stream: &UnixStream,
    buffer: &mut Vec<u8>,
    descriptors: &mut VecDeque<OwnedFd>,
) -> Result<usize> {
    let mut chunk = [0; CHUNK_LENGTH];
    let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(MAX_ATTACHED))];
    let mut ancillary = RecvAncillaryBuffer::new(&mut space);
    let mut slices = [IoSliceMut::new(&mut chunk)];
    let received = recvmsg(stream, &mut slices, &mut ancillary, RecvFlags::CMSG_CLOEXEC)?.bytes;
    for message in ancillary.drain() {
        if let RecvAncillaryMessage::ScmRights(attached) = message {
            descriptors.extend(attached);
        }
    }
    if descriptors.len() > MAX_ATTACHED * CHUNK_LENGTH {
        return Err(ProtocolError::TooManyDescriptors.into());
    }
    buffer.extend_from_slice(&chunk[..received]);
    Ok(received)
}

/// The sending half of a connection to the other process. Tasks may send concurrently: messages are not interleaved.
pub struct MessageWriter {
    stream: Rc<Async<UnixStream>>,
    write_lock: Mutex<()>,
}

impl MessageWriter {
    /// Sends a message with descriptors attached; the descriptors stay open in this process.
    ///
    /// # Errors
    /// The other process closed the connection or did not read the message within one second; it may have received part
    /// of it.
    pub async fn send(&self, message: &HandoverMessage, attached: &[BorrowedFd<'_>]) -> Result<()> {
        let mut line = serde_json::to_vec(message)?;
        line.push(b'\n');
        let write = async {
            let _locked = self.write_lock.lock().await;
            let sent = self.stream.write_with(|s| send_first_part(s, &line, attached)).await?;
            (&*self.stream).write_all(&line[sent..]).await
        };
        with_timeout(RESPONSE_TIMEOUT, write).await
    }
}

fn send_first_part(stream: &UnixStream, line: &[u8], attached: &[BorrowedFd<'_>]) -> Result<usize> {
    let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(MAX_ATTACHED))];
    let mut ancillary = SendAncillaryBuffer::new(&mut space);
    if !attached.is_empty() {
        ancillary.push(SendAncillaryMessage::ScmRights(attached));
    }
    Ok(sendmsg(stream, &[IoSlice::new(line)], &mut ancillary, SendFlags::NOSIGNAL)?)
}

/// Splits a connection to the other process into its receiving and sending halves.
pub fn message_channel(stream: Async<UnixStream>) -> (MessageReader, Rc<MessageWriter>) {
    let stream = Rc::new(stream);
    let reader = MessageReader {
        stream: Rc::clone(&stream),
        buffer: Vec::new(),
        scanned: 0,
        descriptors: VecDeque::new(),
    };
    let writer = MessageWriter { stream, write_lock: Mutex::new(()) };
    (reader, Rc::new(writer))
}
