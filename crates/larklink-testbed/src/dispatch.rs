//! Carries the model's actions onto sockets and processes, and advances the model in time.
use std::rc::Rc;
use std::time::Duration;

use async_channel::Receiver;
use async_io::Timer;
use larklink_simulation::clients::ClientAction;
use larklink_simulation::faults::ProxyFault;
use larklink_simulation::server::ServerMessage;
use larklink_simulation::time::TickDuration;
use larklink_simulation::world::WorldAction;

use crate::clients;
use crate::context::{ClientCommand, ListenerCommand, TestbedContext, duration_of};

/// The model is advanced at least this often, in ticks.
const MAX_WAIT: TickDuration = 500;

/// Performs the model's actions.
pub(crate) fn perform(context: &Rc<TestbedContext>, actions: Vec<WorldAction>) {
    for action in actions {
        perform_one(context, action);
    }
}

fn perform_one(context: &Rc<TestbedContext>, action: WorldAction) {
    match action {
        WorldAction::Send { connection, message, .. } => {
            if let Some(connection) = context.server_connections.borrow().get(&connection) {
                let _ = connection.messages.try_send(message);
            }
        }
        WorldAction::StopListening { server } => stop_listening(context, server),
        WorldAction::Listen { server } => {
            let _ = context.channels.listeners[server].try_send(ListenerCommand::Listen);
        }
        // Stand-in discovery looks at the list by itself.
        WorldAction::EndpointListChanged => {}
        WorldAction::Client(action) => perform_client_action(context, action),
        WorldAction::DisconnectClients(sessions) => {
            for session in sessions {
                context.command_client(session, ClientCommand::Reset);
            }
        }
        WorldAction::Proxy(proxy, ProxyFault::KillAtAccept { back }) => context.kill_at_accept(proxy, back),
        WorldAction::Proxy(proxy, fault) => context.command_proxy(proxy, fault),
    }
}

/// A server's listener goes, and all its connections are reset.
fn stop_listening(context: &TestbedContext, server: usize) {
    let _ = context.channels.listeners[server].try_send(ListenerCommand::StopListening);
    for connection in context.server_connections.borrow().values() {
        if connection.server == server {
            let _ = connection.messages.try_send(ServerMessage::Reset);
        }
    }
}

fn perform_client_action(context: &Rc<TestbedContext>, action: ClientAction) {
    match action {
        ClientAction::Connect(request) => clients::start(context, request),
        ClientAction::SendMessage { id, number } => {
            context.command_client(id, ClientCommand::SendMessage(number));
        }
        ClientAction::TimeOut { id } | ClientAction::Leave { id } => {
            context.command_client(id, ClientCommand::Leave);
        }
        ClientAction::Silent { .. } => {}
    }
}

/// Advances the model whenever something is due or it is woken; never ends.
pub(crate) async fn advance_world(context: Rc<TestbedContext>, wake: Receiver<()>) {
    loop {
        let now = context.now();
        let actions = context.world.borrow_mut().advance(now);
        perform(&context, actions);
        let due = context.world.borrow_mut().next_event_at();
        let wait: Duration = duration_of(due.saturating_sub(context.now()).min(MAX_WAIT));
        let timer = async {
            Timer::after(wait).await;
        };
        let woken = async {
            let _ = wake.recv().await;
        };
        futures_lite::future::or(timer, woken).await;
    }
}
