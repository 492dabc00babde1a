//! An established session: lines are forwarded in both directions until one side ends the session, its client is
//! migrated, or it is handed over to the successor process.
//!
//! - `client_to_server` and `server_to_client`: the two directions
//! - `silence`: detects an endpoint or client that stops responding
//! - `migration`: migration on command or at a shutdown, and handover
//! - `state` and `client_writer`: shared state
mod client_to_server;
mod client_writer;
mod migration;
mod server_to_client;
mod silence;
mod state;

use async_channel::Receiver;
use futures_lite::FutureExt;

pub(super) use self::state::RelayedSession;
use self::state::{RelayState, SessionEnd};
use super::client::{Client, close_gracefully, reset_on_close};
use super::context::SessionContext;
use crate::connection::Connection;
use crate::events::{DecisionEvent, SessionCommand};
use crate::handover::messages::EstablishedSession;
use crate::log::EndReason;

/// Relays a session until it ends.
pub(super) async fn run(
    context: &SessionContext,
    established: RelayedSession<'_>,
    client: &mut Client,
    mut server: Connection,
    commands: &Receiver<SessionCommand>,
) -> EndReason {
    let state = RelayState::new(context, &established, &client.connection.stream, &server.stream);
    let end = loop {
        let to_server = client_to_server::run(&state, &mut client.connection.buffer);
        let to_client = server_to_client::run(&state, &mut server.buffer);
        let end = to_server.or(to_client).or(migration::run(&state, commands)).await;
        if end.reason != EndReason::HandedOver {
            break end;
        }
        let session = EstablishedSession {
            open_line: String::from_utf8_lossy(established.open_line).into_owned(),
            endpoint: established.endpoint,
            to_server: client.connection.buffer.bytes().to_vec(),
            to_client: server.buffer.bytes()[state.client.written()..].to_vec(),
            unanswered_messages: state.messages.timed_count(),
            load: state.load.get(),
        };
        let (client_stream, server_stream) = (state.client.stream.get_ref(), state.to_server.get_ref());
        if context.successor.hand_over(session, client_stream, server_stream).await {
            break end;
        }
        // The successor is gone: this process ends the session as if there had never been one.
        state.handover_failed.set(true);
    };
    report_end(context, &established, &end).await;
    close_both(client, server, end.reason).await;
    end.reason
}

async fn report_end(context: &SessionContext, established: &RelayedSession<'_>, end: &SessionEnd) {
    let RelayedSession { session, attempt, .. } = *established;
    let event = match end.outcome {
        Some(outcome) => DecisionEvent::AttemptEnded { session, attempt, outcome, session_over: true },
        None => DecisionEvent::ClientLeft { session },
    };
    context.queue.send(event).await;
}

/// Closes or resets each connection as the peer of the other one did.
async fn close_both(client: &mut Client, server: Connection, reason: EndReason) {
    match reason {
        EndReason::ClientReset => reset_on_close(&server.stream),
        EndReason::ClientClosed => close_gracefully(&server).await,
        EndReason::ServerReset => reset_on_close(&client.connection.stream),
        // Both connections continue in the successor.
        EndReason::HandedOver => {}
        _ => {
            drop(server);
            client.permit.record_activity();
            client.close().await;
        }
    }
}
