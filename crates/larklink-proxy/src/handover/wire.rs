//! What two processes of one proxy say to each other, over a Unix socket: JSON, a word a line, some with descriptors
//! beside their first byte.
use std::collections::VecDeque;
use std::io::{Error, ErrorKind, IoSlice, IoSliceMut, Result};
use std::mem::MaybeUninit;
use std::os::fd::{BorrowedFd, OwnedFd};
use std::os::unix::net::UnixStream;
use std::rc::Rc;
use std::time::Duration;

use async_io::Async;
use async_lock::Mutex;
use futures_lite::AsyncWriteExt;
use rustix::net::{
    RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags, SendAncillaryBuffer, SendAncillaryMessage,
    SendFlags, recvmsg, sendmsg,
};
use serde::{Deserialize, Serialize};

use crate::endpoint_list::Endpoint;
use crate::timeout::with_timeout;

/// Changes when the words do: processes of two versions share the address and nothing else.
pub const VERSION: u32 = 1;
/// The longest line, as for a list of discovery's.
const LONGEST: usize = 1 << 20;
/// How long the other process may take over a line that it owes. One that says nothing does not hold a start up.
pub const OWED: Duration = Duration::from_secs(1);
/// The most descriptors that go with one line.
const BESIDE: usize = 2;

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HandoverMessage {
    /// From the process that serves: the list of servers as it has it, and beside it the listening socket.
    Offer {
        version: u32,
        list: Vec<Endpoint>,
    },
    /// From the new one: it can serve.
    Take,
    /// The new one alone takes connections from now on; so many descriptors are still held.
    Yours {
        held: usize,
    },
    /// Another process has taken it before.
    Taken,
    Held {
        held: usize,
    },
    /// The old process was asked to stop.
    Stops,
    /// A session that stands, and beside it its client's connection and its server's.
    Session(EstablishedSession),
}

/// What a process must know of a session that stands to go on with it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EstablishedSession {
    /// Its first line.
    pub head: String,
    pub server: u32,
    /// What was read from each side and not passed on yet.
    pub to_server: Vec<u8>,
    pub to_client: Vec<u8>,
    /// Lines that went to the server and have brought nothing back yet.
    pub unanswered: usize,
    /// The load that was last told of it.
    pub load: Option<f64>,
}

pub fn bad(text: impl ToString) -> Error {
    Error::new(ErrorKind::InvalidData, text.to_string())
}

/// Reads a line.
///
/// # Errors
/// It is no word of these, as from another version.
pub fn word(line: &[u8]) -> Result<HandoverMessage> {
    match serde_json::from_slice(line) {
        Ok(HandoverMessage::Offer { version, .. }) if version != VERSION => {
            Err(bad(format!("an offer of version {version}")))
        }
        Ok(word) => Ok(word),
        Err(e) => Err(bad(e)),
    }
}

/// The side that is listened to.
pub struct MessageReader {
    stream: Rc<Async<UnixStream>>,
    bytes: Vec<u8>,
    beside: VecDeque<OwnedFd>,
}

impl MessageReader {
    /// The next word. May be dropped and called again: nothing is lost.
    ///
    /// # Errors
    /// The other process has ended, or says what is no word.
    pub async fn hear(&mut self) -> Result<HandoverMessage> {
        loop {
            if let Some(end) = self.bytes.iter().position(|&b| b == b'\n') {
                let line: Vec<_> = self.bytes.drain(..=end).collect();
                return word(&line[..end]);
            }
            if self.bytes.len() > LONGEST {
                return Err(bad("a line without end"));
            }
            let Self { stream, bytes, beside } = self;
            if stream.read_with(|s| receive(s, bytes, beside)).await? == 0 {
                return Err(ErrorKind::UnexpectedEof.into());
            }
        }
    }

    /// The next of the descriptors that came beside words.
    ///
    /// # Errors
    /// There is none.
    pub fn beside(&mut self) -> Result<OwnedFd> {
        self.beside.pop_front().ok_or_else(|| bad("a descriptor is missing"))
    }
}

fn receive(stream: &UnixStream, bytes: &mut Vec<u8>, beside: &mut VecDeque<OwnedFd>) -> Result<usize> {
    let mut chunk = [0; 4096];
    let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(BESIDE))];
    let mut ancillary = RecvAncillaryBuffer::new(&mut space);
    let mut slices = [IoSliceMut::new(&mut chunk)];
    let n = recvmsg(stream, &mut slices, &mut ancillary, RecvFlags::CMSG_CLOEXEC)?.bytes;
    for message in ancillary.drain() {
        if let RecvAncillaryMessage::ScmRights(fds) = message {
            beside.extend(fds);
        }
    }
    if beside.len() > BESIDE * chunk.len() {
        return Err(bad("descriptors without words"));
    }
    bytes.extend_from_slice(&chunk[..n]);
    Ok(n)
}

/// The side that is spoken to; many may, each word goes whole.
pub struct MessageWriter {
    stream: Rc<Async<UnixStream>>,
    turn: Mutex<()>,
}

impl MessageWriter {
    /// Says a word, with descriptors beside it, which stay open here.
    ///
    /// # Errors
    /// The other process has ended or does not listen in time; it may have heard a part then.
    pub async fn say(&self, word: &HandoverMessage, beside: &[BorrowedFd<'_>]) -> Result<()> {
        let mut line = serde_json::to_vec(word)?;
        line.push(b'\n');
        let said = async {
            let _turn = self.turn.lock().await;
            let n = self.stream.write_with(|s| send(s, &line, beside)).await?;
            (&*self.stream).write_all(&line[n..]).await
        };
        with_timeout(OWED, said).await
    }
}

fn send(stream: &UnixStream, line: &[u8], beside: &[BorrowedFd<'_>]) -> Result<usize> {
    let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(BESIDE))];
    let mut ancillary = SendAncillaryBuffer::new(&mut space);
    if !beside.is_empty() {
        ancillary.push(SendAncillaryMessage::ScmRights(beside));
    }
    Ok(sendmsg(stream, &[IoSlice::new(line)], &mut ancillary, SendFlags::NOSIGNAL)?)
}

/// Both sides of a conversation.
///
/// # Errors
/// The socket cannot be waited for.
pub fn talk(stream: Async<UnixStream>) -> (MessageReader, Rc<MessageWriter>) {
    let stream = Rc::new(stream);
    let ear = MessageReader { stream: Rc::clone(&stream), bytes: Vec::new(), beside: VecDeque::new() };
    (ear, Rc::new(MessageWriter { stream, turn: Mutex::new(()) }))
}
