//! Scripted clients. Each session has a task and a connection, and records what it receives in the event log.
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;

use async_channel::Receiver;
use async_io::Timer;
use futures_lite::FutureExt;
use larklink_simulation::event_log::{ClientRequest, ClientResponse, ConnectionEnd, EventKind};

use crate::context::{ClientCommand, TestbedContext};
use crate::protocol::{
    LineStream, MessageStamp, NextInput, client_message, next_input, open_line, parse_message, parse_response,
};

/// How long a client waits for an unexpected line after a response that ends its session.
const EXTRA_LINE_TIMEOUT: Duration = Duration::from_millis(400);

/// Opens a session at the proxy that the external load balancer selects. The session's task ends with its connection.
pub(crate) fn start(context: &Rc<TestbedContext>, request: ClientRequest) {
    let now = context.now();
    let Some(proxy) = context.model.borrow_mut().assign_proxy(now, &request) else { return };
    let id = request.id;
    let (sender, commands) = async_channel::unbounded();
    context.clients.borrow_mut().insert(id, sender);
    let context = Rc::clone(context);
    Rc::clone(&context).spawn(async move {
        connect(&context, request, proxy, &commands).await;
        context.clients.borrow_mut().remove(&id);
        context.wake();
    });
}

/// Connects to the proxy and runs the session from its first line to its end.
async fn connect(
    context: &Rc<TestbedContext>,
    request: ClientRequest,
    proxy: usize,
    commands: &Receiver<ClientCommand>,
) {
    let id = request.id;
    let listener = request.listener;
    let first_line = open_line(&request, &context.scenario.listeners[listener].get_ref().name);
    let connected = LineStream::connect(context.addresses.client_facing[proxy]).await;
    // Recorded before the line is written, so that it precedes the line's consequences in the event log.
    context.model.borrow_mut().event_log.record(context.now(), EventKind::Opened { request, proxy });
    let Ok(lines) = connected else {
        return context.model.borrow_mut().proxy_unreachable(context.now(), id, proxy);
    };
    context.client_connected(proxy);
    ClientSession { context, id, listener, lines, commands }.run(&first_line).await;
}

/// The client side of a session.
struct ClientSession<'a> {
    context: &'a Rc<TestbedContext>,
    id: u64,
    listener: usize,
    lines: LineStream,
    commands: &'a Receiver<ClientCommand>,
}

impl ClientSession<'_> {
    /// Sends the first line and continues according to the response.
    async fn run(mut self, first_line: &str) {
        if self.lines.write(first_line).await.is_err() {
            return self.ended_without_response(ConnectionEnd::Broken);
        }
        let line = match next_input(&mut self.lines, self.commands).await {
            NextInput::Command(ClientCommand::Reset) => return self.lines.reset(),
            NextInput::Command(_) => return,
            NextInput::Line(Ok(Some(line))) => line,
            NextInput::Line(Ok(None)) => return self.ended_without_response(ConnectionEnd::Closed),
            NextInput::Line(Err(_)) => return self.ended_without_response(ConnectionEnd::Broken),
        };
        let response = parse_response(&line);
        self.record_response(response);
        self.context.wake();
        if response != Some(ClientResponse::Accepted) {
            return self.check_for_extra_line().await;
        }
        let unread_kb = self.context.scenario.listeners[self.listener].get_ref().unread_kb;
        if unread_kb > 0 {
            self.send_without_reading(unread_kb).await
        } else {
            self.exchange_messages().await
        }
    }

    fn record_response(&self, response: Option<ClientResponse>) {
        let now = self.context.now();
        let mut model = self.context.model.borrow_mut();
        match response {
            Some(response) => model.response_received(now, self.id, response),
            None => {
                model.event_log.record(now, EventKind::MalformedResponse { id: self.id });
                model.clients.ended_without_response(now, self.id);
            }
        }
    }

    fn record(&self, kind: EventKind) {
        self.context.model.borrow_mut().event_log.record(self.context.now(), kind);
    }

    fn ended_without_response(&self, end: ConnectionEnd) {
        self.context.model.borrow_mut().ended_without_response(self.context.now(), self.id, end);
    }

    fn connection_ended(&self, end: ConnectionEnd) {
        self.context.model.borrow_mut().connection_ended(self.context.now(), self.id, end);
    }

    /// Records an extra message if another line follows a response that ends the session.
    async fn check_for_extra_line(mut self) {
        let line = async { matches!(self.lines.next_line().await, Ok(Some(_))) };
        let timeout = async {
            Timer::after(EXTRA_LINE_TIMEOUT).await;
            false
        };
        if line.or(timeout).await {
            self.record(EventKind::ExtraMessage { id: self.id });
        }
    }

    /// Requests this many kilobytes and sends messages, but reads nothing, until the connection ends. This fills the
    /// buffers of the proxy.
    async fn send_without_reading(self, kilobytes: usize) {
        let mut written = self.lines.write(&format!("G {kilobytes}\r\n")).await;
        while let Ok(command) = self.commands.recv().await {
            match command {
                ClientCommand::SendMessage(number) if written.is_ok() => {
                    written = self.lines.write(&client_message(number, self.context.now())).await;
                }
                ClientCommand::SendMessage(_) => break,
                ClientCommand::Reset => return self.lines.reset(),
                ClientCommand::Close => return,
            }
        }
        self.connection_ended(ConnectionEnd::Broken);
    }

    /// Exchanges messages on an established session until it ends.
    async fn exchange_messages(mut self) {
        let mut migrated = false;
        // Messages that the server has not returned yet, in the order in which they are expected.
        let mut unanswered = VecDeque::new();
        loop {
            match next_input(&mut self.lines, self.commands).await {
                NextInput::Command(ClientCommand::SendMessage(number)) => {
                    let sent_at = self.context.now();
                    unanswered.push_back(MessageStamp { number, sent_at, returned_at: None });
                    // If the write fails, the next read shows how the connection ended.
                    let _ = self.lines.write(&client_message(number, sent_at)).await;
                }
                NextInput::Command(ClientCommand::Reset) => return self.lines.reset(),
                NextInput::Command(ClientCommand::Close) => return,
                NextInput::Line(Ok(Some(line))) if line == b"MOVE" => migrated = true,
                NextInput::Line(Ok(Some(line))) => self.receive(&line, &mut unanswered),
                NextInput::Line(end) => {
                    self.connection_ended(match end {
                        _ if migrated => ConnectionEnd::Migrated,
                        Ok(_) => ConnectionEnd::Closed,
                        Err(_) => ConnectionEnd::Broken,
                    });
                    return self.context.wake();
                }
            }
        }
    }

    /// Handles a line received on an established session.
    fn receive(&self, line: &[u8], unanswered: &mut VecDeque<MessageStamp>) {
        if let Some(message) = parse_message(line) {
            self.message_returned(message, unanswered);
        } else if parse_response(line).is_some() {
            self.record(EventKind::ExtraMessage { id: self.id });
        } else if !line.starts_with(b"LOAD ") && line != b"BYE" {
            self.record(EventKind::MessageAltered { id: self.id });
        }
    }

    fn message_returned(&self, message: MessageStamp, unanswered: &mut VecDeque<MessageStamp>) {
        let sent = |sent: &MessageStamp| sent.number == message.number && sent.sent_at == message.sent_at;
        let Some(position) = unanswered.iter().position(sent) else {
            return self.record(EventKind::MessageAltered { id: self.id });
        };
        unanswered.drain(..=position);
        let took = self.context.model.borrow_mut().message_returned(
            self.context.now(),
            self.id,
            message.number,
            message.returned_at,
        );
        if let Some(took) = took {
            let _ = self.context.message_round_trips.borrow_mut()[self.listener].record(took);
        }
    }
}
