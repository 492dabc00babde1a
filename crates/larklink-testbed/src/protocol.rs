//! Parsing and formatting of protocol lines for the stand-ins. Deliberately independent of the proxy's code: a parser
//! shared with the program under test would share its mistakes.
use std::io::{ErrorKind, Result};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

use async_channel::Receiver;
use async_io::Async;
use futures_lite::{AsyncReadExt, AsyncWriteExt, FutureExt, future};
use larklink_simulation::duration::TICKS_PER_MS;
use larklink_simulation::event_log::{ClientRequest, ClientResponse};
use larklink_simulation::server::{LoadReport, ServerMessage};
use larklink_simulation::time::Timestamp;
use socket2::{Domain, SockRef, Socket, Type};

/// The maximum length of a line in bytes.
const MAX_LINE_BYTES: usize = 4096;
/// The number of pending connections that the kernel queues for a listener.
const LISTEN_BACKLOG: i32 = 1024;

/// A connection that is read line by line.
pub(crate) struct LineStream {
    pub(crate) stream: Async<TcpStream>,
    unread: Vec<u8>,
}

impl LineStream {
    pub(crate) fn new(stream: Async<TcpStream>) -> Self {
        let _ = stream.get_ref().set_nodelay(true);
        Self { stream, unread: Vec::new() }
    }

    /// Connects to an address.
    ///
    /// # Errors
    /// Fails if the connection cannot be established.
    pub(crate) async fn connect(address: SocketAddr) -> Result<Self> {
        Ok(Self::new(Async::<TcpStream>::connect(address).await?))
    }

    /// Reads the next line without its CRLF, or `None` at the end of the stream. Cancel-safe: dropping the future loses no
    /// data.
    ///
    /// # Errors
    /// Fails if the connection breaks or the line is too long.
    pub(crate) async fn next_line(&mut self) -> Result<Option<Vec<u8>>> {
        loop {
            if let Some(end) = self.unread.windows(2).position(|pair| pair == b"\r\n") {
                let line = self.unread[..end].to_vec();
                self.unread.drain(..end + 2);
                return Ok(Some(line));
            }
            if self.unread.len() > MAX_LINE_BYTES {
                return Err(ErrorKind::InvalidData.into());
            }
            let mut chunk = [0; MAX_LINE_BYTES];
            match (&self.stream).read(&mut chunk).await? {
                0 => return Ok(None),
                read => self.unread.extend_from_slice(&chunk[..read]),
            }
        }
    }

    /// Writes the whole text.
    ///
    /// # Errors
    /// Fails if the connection breaks.
    pub(crate) async fn write(&self, text: &str) -> Result<()> {
        (&self.stream).write_all(text.as_bytes()).await
    }

    /// Closes the connection with a reset.
    pub(crate) fn reset(self) {
        let _ = SockRef::from(self.stream.get_ref()).set_linger(Some(Duration::ZERO));
    }
}

/// The next input of a connection's task.
pub(crate) enum NextInput<T> {
    /// A received line, or `None` at the end of the stream.
    Line(Result<Option<Vec<u8>>>),
    /// A command from the model.
    Command(T),
}

/// Waits for a line or a command. If both are available, returns the line.
pub(crate) async fn next_input<T>(lines: &mut LineStream, commands: &Receiver<T>) -> NextInput<T> {
    let line = async { NextInput::Line(lines.next_line().await) };
    let command = async {
        match commands.recv().await {
            Ok(command) => NextInput::Command(command),
            Err(_) => future::pending().await,
        }
    };
    line.or(command).await
}

/// Listens on an address, even if connections of an earlier listener on it are still closing.
///
/// # Errors
/// Fails if the address is in use or the descriptor limit is reached.
pub(crate) fn listen(address: SocketAddr) -> Result<Async<TcpListener>> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.bind(&address.into())?;
    socket.listen(LISTEN_BACKLOG)?;
    Async::new(socket.into())
}

/// Formats the first line of a client.
pub(crate) fn open_line(request: &ClientRequest, listener: &str) -> String {
    let timeout_ms = request.dial_timeout / TICKS_PER_MS;
    let mut line = format!("OPEN {:x} {:x} c={listener},t=floor,d={timeout_ms}", request.id, request.key);
    line += &format!(",g={:x}", request.group);
    line += if request.retry { ",r=1" } else { "" };
    line += if request.reconnecting { ",again=1" } else { "" };
    line + "\r\n"
}

/// The fields of a first line that a server uses.
pub(crate) struct OpenLine<'a> {
    /// The session id.
    pub(crate) id: u64,
    /// The name of the listener.
    pub(crate) listener: &'a str,
    /// How long the sender waits to be accepted, in milliseconds.
    pub(crate) timeout_ms: u64,
}

/// Parses a first line. Returns `None` for any other line.
pub(crate) fn parse_open_line(line: &[u8]) -> Option<OpenLine<'_>> {
    let text = std::str::from_utf8(line).ok()?;
    let mut words = text.strip_prefix("OPEN ")?.split(' ');
    let id = u64::from_str_radix(words.next()?, 16).ok()?;
    let _key = words.next()?;
    let fields = words.next()?;
    let value = |wanted: &str| {
        let mut pairs = fields.split(',').filter_map(|field| field.split_once('='));
        pairs.find(|(name, _)| *name == wanted).map(|(_, value)| value)
    };
    Some(OpenLine { id, listener: value("c")?, timeout_ms: value("d")?.parse().ok()? })
}

/// Parses the response to a first line. Returns `None` for any other line.
pub(crate) fn parse_response(line: &[u8]) -> Option<ClientResponse> {
    let text = std::str::from_utf8(line).ok()?;
    let (word, rest) = text.split_once(' ').unwrap_or((text, ""));
    match word {
        "UP" => Some(ClientResponse::Accepted),
        "BUSY" if rest.is_empty() => Some(ClientResponse::Rejected(0)),
        "BUSY" => rest.parse().ok().map(ClientResponse::Rejected),
        "ERR" => Some(ClientResponse::Failed),
        _ => None,
    }
}

/// The numbers in a message of an established session.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct MessageStamp {
    /// The number of the message within its session.
    pub(crate) number: u64,
    /// When the client sent it.
    pub(crate) sent_at: Timestamp,
    /// When the server sent it back, if it did.
    pub(crate) returned_at: Option<Timestamp>,
}

/// Formats a message of a client.
pub(crate) fn client_message(number: u64, now: Timestamp) -> String {
    format!("M {number} {now}\r\n")
}

/// Parses a message in either direction. Returns `None` for any other line.
pub(crate) fn parse_message(line: &[u8]) -> Option<MessageStamp> {
    let text = std::str::from_utf8(line).ok()?.strip_prefix("M ")?;
    let numbers: Vec<u64> = text.split(' ').map(|number| number.parse().ok()).collect::<Option<_>>()?;
    let &[number, sent_at, ref rest @ ..] = numbers.as_slice() else { return None };
    Some(MessageStamp { number, sent_at, returned_at: rest.first().copied() })
}

/// Formats a server's message as a line. Returns `None` if the server resets the connection instead.
pub(crate) fn server_line(message: &ServerMessage, connection: u64, now: Timestamp) -> Option<String> {
    Some(match message {
        ServerMessage::Accepted => format!("UP {connection:x}\r\n"),
        ServerMessage::AtCapacity => "BUSY\r\n".into(),
        ServerMessage::Failed => "ERR\r\n".into(),
        ServerMessage::Migrate => "MOVE\r\n".into(),
        ServerMessage::Load(load) => format!("LOAD {load:.0}\r\n"),
        ServerMessage::Message(text) => format!("{} {now}\r\n", String::from_utf8_lossy(text)),
        ServerMessage::HealthReport(LoadReport { sessions, utilization, load }) => {
            format!("PONG inflight={sessions},util={utilization:.3},x0={load:.3}\r\n")
        }
        ServerMessage::Reset => return None,
    })
}
