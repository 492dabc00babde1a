//! Advances the model in time and performs its actions on sockets and processes.
use std::rc::Rc;
use std::time::Duration;

use async_channel::Receiver;
use async_io::Timer;
use larklink_simulation::clients::ClientAction;
use larklink_simulation::faults::ProxyFault;
use larklink_simulation::model::ModelAction;
use larklink_simulation::server::ServerMessage;
use larklink_simulation::time::TickDuration;

use crate::clients;
use crate::context::{ClientCommand, ListenerCommand, TestbedContext, ticks_to_duration};

/// The longest time between two advances of the model, in ticks.
const MAX_ADVANCE_INTERVAL: TickDuration = 500;

/// Performs the model's actions.
pub(crate) fn perform(context: &Rc<TestbedContext>, actions: Vec<ModelAction>) {
    for action in actions {
        perform_one(context, action);
    }
}

fn perform_one(context: &Rc<TestbedContext>, action: ModelAction) {
    match action {
        ModelAction::Send { connection, message, .. } => {
            if let Some(connection) = context.server_connections.borrow().get(&connection) {
                let _ = connection.messages.try_send(message);
            }
        }
        ModelAction::StopListening { server } => stop_listening(context, server),
        ModelAction::Listen { server } => {
            let _ = context.channels.listeners[server].try_send(ListenerCommand::Listen);
        }
        // The stand-in discovery polls the list.
        ModelAction::EndpointListChanged => {}
        ModelAction::Client(action) => perform_client_action(context, action),
        ModelAction::DisconnectClients(sessions) => {
            for session in sessions {
                context.command_client(session, ClientCommand::Reset);
            }
        }
        ModelAction::Proxy(proxy, ProxyFault::KillAtAccept { back }) => {
            context.kill_on_next_accept(proxy, back)
        }
        ModelAction::Proxy(proxy, fault) => context.command_proxy(proxy, fault),
    }
}

/// Closes a server's listener and resets all its connections.
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
            context.command_client(id, ClientCommand::Close);
        }
        ClientAction::Silent { .. } => {}
    }
}

/// Advances the model whenever an event is due or the task is woken. Never returns.
pub(crate) async fn advance_world(context: Rc<TestbedContext>, wake: Receiver<()>) {
    loop {
        let now = context.now();
        let actions = context.model.borrow_mut().advance(now);
        perform(&context, actions);
        let due = context.model.borrow_mut().next_event_at();
        let wait: Duration = ticks_to_duration(due.saturating_sub(context.now()).min(MAX_ADVANCE_INTERVAL));
        let timer = async {
            Timer::after(wait).await;
        };
        let woken = async {
            let _ = wake.recv().await;
        };
        futures_lite::future::or(timer, woken).await;
    }
}
