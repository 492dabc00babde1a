//! The platform's lines as the stand-ins speak them: read and written here apart from the daemon that they judge.
use std::io::{ErrorKind, Result};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

use async_channel::Receiver;
use async_io::Async;
use futures_lite::{AsyncReadExt, AsyncWriteExt, FutureExt, future};
use larklink_balancer::Timestamp;
use larklink_simulation::event_log::{ClientRequest, ClientResponse};
use larklink_simulation::server::{LoadReport, ServerMessage};
use socket2::{Domain, SockRef, Socket, Type};

const LONGEST: usize = 4096;
const BACKLOG: i32 = 1024;

/// A connection that is read line by line.
pub struct Lines {
    pub stream: Async<TcpStream>,
    bytes: Vec<u8>,
}

impl Lines {
    pub fn new(stream: Async<TcpStream>) -> Self {
        let _ = stream.get_ref().set_nodelay(true);
        Self { stream, bytes: Vec::new() }
    }

    /// The next line without its CRLF; nothing at the end. May be dropped and called again at any time.
    pub async fn next(&mut self) -> Result<Option<Vec<u8>>> {
        loop {
            if let Some(at) = self.bytes.windows(2).position(|w| w == b"\r\n") {
                let line = self.bytes[..at].to_vec();
                self.bytes.drain(..at + 2);
                return Ok(Some(line));
            }
            if self.bytes.len() > LONGEST {
                return Err(ErrorKind::InvalidData.into());
            }
            let mut chunk = [0; LONGEST];
            match (&self.stream).read(&mut chunk).await? {
                0 => return Ok(None),
                n => self.bytes.extend_from_slice(&chunk[..n]),
            }
        }
    }

    pub async fn say(&self, text: &str) -> Result<()> {
        (&self.stream).write_all(text.as_bytes()).await
    }

    /// Ends as one that broke.
    pub fn cut(self) {
        let _ = SockRef::from(self.stream.get_ref()).set_linger(Some(Duration::ZERO));
    }
}

/// What comes first on a connection: a line (nothing at its end) or an order from the world.
pub enum Next<T> {
    Line(Result<Option<Vec<u8>>>),
    Order(T),
}

pub async fn next<T>(lines: &mut Lines, orders: &Receiver<T>) -> Next<T> {
    let line = async { Next::Line(lines.next().await) };
    let order = async {
        match orders.recv().await {
            Ok(order) => Next::Order(order),
            Err(_) => future::pending().await,
        }
    };
    line.or(order).await
}

/// Listens there, also where connections of a listener before are still closing.
pub fn listen(at: SocketAddr) -> Result<Async<TcpListener>> {
    let socket = Socket::new(Domain::for_address(at), Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.bind(&at.into())?;
    socket.listen(BACKLOG)?;
    Async::new(socket.into())
}

pub fn open_line(ask: &ClientRequest, listener: &str) -> String {
    let mut line = format!("OPEN {:x} {:x} c={listener},t=floor,d={}", ask.id, ask.key, ask.patience / 10);
    line += &format!(",g={:x}", ask.group);
    line += if ask.retry { ",r=1" } else { "" };
    line += if ask.reconnecting { ",again=1" } else { "" };
    line + "\r\n"
}

/// A session's id, its listener and for how many milliseconds the sender waits, from a first line.
pub fn head(line: &[u8]) -> Option<(u64, &str, u64)> {
    let text = std::str::from_utf8(line).ok()?;
    let mut words = text.strip_prefix("OPEN ")?.split(' ');
    let id = u64::from_str_radix(words.next()?, 16).ok()?;
    let (_key, list) = (words.next()?, words.next()?);
    let value =
        |name| list.split(',').find_map(|p| p.split_once('=').filter(|(n, _)| *n == name)).map(|(_, v)| v);
    Some((id, value("c")?, value("d")?.parse().ok()?))
}

/// What a first answer says; nothing if it is none.
pub fn answer(line: &[u8]) -> Option<ClientResponse> {
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

/// A client's line: its number and when it was sent.
pub fn client_line(number: u64, now: Timestamp) -> String {
    format!("M {number} {now}\r\n")
}

/// The numbers of a line that went to a server, or of one that came back with the server's time added.
pub fn numbers(line: &[u8]) -> Option<Vec<u64>> {
    let text = std::str::from_utf8(line).ok()?.strip_prefix("M ")?;
    text.split(' ').map(|n| n.parse().ok()).collect()
}

/// What a server writes; the connection ends after some.
pub fn server_line(say: &ServerMessage, conn: u64, now: Timestamp) -> Option<String> {
    Some(match say {
        ServerMessage::Accepted => format!("UP {conn:x}\r\n"),
        ServerMessage::AtCapacity => "BUSY\r\n".into(),
        ServerMessage::Failed => "ERR\r\n".into(),
        ServerMessage::Migrate => "MOVE\r\n".into(),
        ServerMessage::Load(load) => format!("LOAD {load:.0}\r\n"),
        ServerMessage::Message(text) => format!("{} {now}\r\n", String::from_utf8_lossy(text)),
        ServerMessage::HealthReport(LoadReport { held, used, asked }) => {
            format!("PONG inflight={held},util={used:.3},x0={asked:.3}\r\n")
        }
        ServerMessage::Reset => return None,
    })
}
