//! Stand-in servers. Each listens on its own address and sends the messages that the model produces for it.
use std::net::{Shutdown, TcpStream};
use std::rc::Rc;
use std::time::Duration;

use async_channel::Receiver;
use async_io::{Async, Timer};
use futures_lite::{FutureExt, future};
use larklink_simulation::event_log::AttemptEnd;
use larklink_simulation::server::{ConnectionId, ServerMessage};

use crate::context::{ListenerCommand, ServerConnection, TestbedContext};
use crate::dispatch::perform;
use crate::protocol::{
    LineStream, NextInput, OpenLine, listen, next_input, parse_message, parse_open_line, server_line,
};

/// How long a server still reads from a connection that it has closed for writing.
const LINGER: Duration = Duration::from_millis(500);
/// The length of a line that makes a kilobyte together with its CRLF.
const KILOBYTE_LINE: usize = 1022;

/// Accepts connections while the model's server listens, until the run ends. Each connection has its own task.
pub(crate) async fn serve(
    context: Rc<TestbedContext>,
    server: usize,
    commands: Receiver<ListenerCommand>,
    listens_from_start: bool,
) {
    let address = context.addresses.servers[server];
    let mut listener = listens_from_start.then(|| listen(address)).and_then(Result::ok);
    loop {
        let command = async { Err(commands.recv().await) };
        let accepted = async {
            match &listener {
                Some(listener) => Ok(listener.accept().await),
                None => future::pending().await,
            }
        };
        match accepted.or(command).await {
            Ok(Ok((stream, _))) => {
                let id = context.next_connection_id();
                let connection = Connection { context: Rc::clone(&context), server, id, session: None };
                context.spawn(connection.serve(stream));
            }
            Ok(Err(_)) => future::yield_now().await,
            Err(Ok(ListenerCommand::Listen)) if listener.is_none() => listener = listen(address).ok(),
            Err(Ok(ListenerCommand::Listen)) => {}
            Err(Ok(ListenerCommand::StopListening)) => listener = None,
            Err(Err(_)) => return,
        }
    }
}

/// The server side of a connection.
struct Connection {
    context: Rc<TestbedContext>,
    server: usize,
    id: ConnectionId,
    /// The session id, once the first line has been received.
    session: Option<u64>,
}

impl Connection {
    /// Serves the connection to its end.
    async fn serve(mut self, stream: Async<TcpStream>) {
        let (sender, messages) = async_channel::unbounded();
        let entry = ServerConnection { server: self.server, messages: sender };
        self.context.server_connections.borrow_mut().insert(self.id, entry);
        let mut lines = LineStream::new(stream);
        let end = self.exchange(&mut lines, &messages).await;
        self.context.server_connections.borrow_mut().remove(&self.id);
        if let Some(session) = self.session {
            self.attempt_ended(session, end);
        }
        close(lines, end).await;
    }

    fn attempt_ended(&self, session: u64, end: AttemptEnd) {
        let now = self.context.now();
        self.context.model.borrow_mut().attempt_ended(now, self.server, self.id, session, end);
    }

    /// Exchanges messages until one side ends the connection. Returns how it ended.
    async fn exchange(&mut self, lines: &mut LineStream, messages: &Receiver<ServerMessage>) -> AttemptEnd {
        loop {
            let end = match next_input(lines, messages).await {
                NextInput::Line(Ok(Some(line))) => self.receive(lines, line).await,
                NextInput::Line(_) => Some(AttemptEnd::Abandoned),
                NextInput::Command(message) => self.send(lines, &message).await,
            };
            if let Some(end) = end {
                return end;
            }
        }
    }

    /// Handles a received line. Returns how the connection ended, or `None` if it goes on.
    async fn receive(&mut self, lines: &LineStream, line: Vec<u8>) -> Option<AttemptEnd> {
        let now = self.context.now();
        if let Some(kilobytes) = parse_bulk_request(&line) {
            return write_bulk_data(lines, kilobytes).await.is_err().then_some(AttemptEnd::Abandoned);
        }
        let actions = match (self.session, parse_open_line(&line)) {
            (Some(session), _) => {
                let sent_at = parse_message(&line).map(|message| message.sent_at);
                let mut model = self.context.model.borrow_mut();
                model.message_to_server(now, self.server, self.id, session, sent_at, line)
            }
            (None, Some(OpenLine { id, listener, timeout_ms })) => {
                let Some(listener) = self.listener_named(listener) else {
                    let _ = lines.write("SYNTAX\r\n").await;
                    return Some(AttemptEnd::Failed);
                };
                self.session = Some(id);
                let mut model = self.context.model.borrow_mut();
                model.attempt_started(now, self.server, self.id, id, timeout_ms, listener)
            }
            (None, None) if line == b"STATS" || line == b"PING" => {
                self.context.model.borrow_mut().servers[self.server].check_health(now, self.id);
                Vec::new()
            }
            (None, None) => {
                let _ = lines.write("SYNTAX\r\n").await;
                return Some(AttemptEnd::Failed);
            }
        };
        perform(&self.context, actions);
        self.context.wake();
        None
    }

    fn listener_named(&self, name: &str) -> Option<usize> {
        self.context.scenario.listeners.iter().position(|listener| listener.get_ref().name == name)
    }

    /// Sends a message of the model's server. Returns how the connection ended, or `None` if it goes on.
    async fn send(&self, lines: &LineStream, message: &ServerMessage) -> Option<AttemptEnd> {
        let Some(text) = server_line(message, self.id, self.context.now()) else {
            return Some(AttemptEnd::Reset);
        };
        let written = lines.write(&text).await;
        match message {
            ServerMessage::Accepted => {
                self.attempt_ended(self.session.unwrap_or_default(), AttemptEnd::Accepted);
            }
            ServerMessage::AtCapacity => return Some(AttemptEnd::Rejected),
            ServerMessage::Failed => return Some(AttemptEnd::Failed),
            ServerMessage::Migrate => return Some(AttemptEnd::Migrated),
            ServerMessage::Load(_)
            | ServerMessage::Message(_)
            | ServerMessage::HealthReport(_)
            | ServerMessage::Reset => {}
        }
        written.is_err().then_some(AttemptEnd::Abandoned)
    }
}

/// Closes a connection in the way that fits its end.
async fn close(mut lines: LineStream, end: AttemptEnd) {
    match end {
        AttemptEnd::Reset => lines.reset(),
        AttemptEnd::Abandoned | AttemptEnd::Accepted => {}
        // Closing a socket with unread bytes sends a reset, and the other side could lose the last line.
        AttemptEnd::Rejected | AttemptEnd::Failed | AttemptEnd::Migrated => {
            let _ = lines.stream.get_ref().shutdown(Shutdown::Write);
            let rest = async { while let Ok(Some(_)) = lines.next_line().await {} };
            let timeout = async {
                Timer::after(LINGER).await;
            };
            rest.or(timeout).await;
        }
    }
}

/// Parses the request of a client that does not read: the number of kilobytes to send it. Returns `None` for any other
/// line.
fn parse_bulk_request(line: &[u8]) -> Option<usize> {
    std::str::from_utf8(line.strip_prefix(b"G ")?).ok()?.parse().ok()
}

async fn write_bulk_data(lines: &LineStream, kilobytes: usize) -> std::io::Result<()> {
    let line = format!("{}\r\n", "y".repeat(KILOBYTE_LINE));
    for _ in 0..kilobytes {
        lines.write(&line).await?;
    }
    Ok(())
}
