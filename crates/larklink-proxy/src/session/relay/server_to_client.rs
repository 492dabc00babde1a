//! The endpoint-to-client direction. Only complete lines are forwarded, so that the proxy can send a line of its own
//! between two of them.
use std::time::Instant;

use larklink_balancer::{AttemptOutcome, Observation};

use super::state::{RelayState, SessionEnd};
use crate::clock::to_ticks;
use crate::connection::read;
use crate::events::DecisionEvent;
use crate::log::EndReason;
use crate::protocol::{LineBuffer, ServerMessage, parse_server_message};
use crate::session::client::LINGER_TIMEOUT;
use crate::timeout::with_timeout;

/// Forwards until the session ends. Cancel safe: bytes that are not yet forwarded stay in the buffer.
pub(super) async fn run(state: &RelayState<'_>, buffer: &mut LineBuffer) -> SessionEnd {
    let mut final_outcome = None;
    loop {
        let length = buffer.complete_lines_len();
        if length > 0 {
            match forward_lines(state, &buffer.bytes()[..length]).await {
                Ok(outcome) => final_outcome = outcome,
                Err(reason) => return SessionEnd::without_outcome(reason),
            }
            buffer.consume(length);
            state.client.reset_written();
        }
        if buffer.is_full() {
            return SessionEnd::with_outcome(EndReason::ProtocolError, AttemptOutcome::Failed);
        }
        // An endpoint may keep its connection open after its final line: the client need not wait for it to close.
        let received = match final_outcome {
            Some(_) => with_timeout(LINGER_TIMEOUT, read(state.to_server, buffer)).await,
            None => read(state.to_server, buffer).await,
        };
        if matches!(received, Ok(bytes) if bytes > 0) {
            continue;
        }
        // Forward an incomplete last line.
        if let Err(reason) = state.client.write(buffer.bytes()).await {
            return SessionEnd::without_outcome(reason);
        }
        let reason = match (received, final_outcome) {
            (_, Some(AttemptOutcome::Succeeded)) => EndReason::Completed,
            (_, Some(_)) => EndReason::ServerMigrated,
            (Ok(_), None) => EndReason::ServerClosed,
            (Err(_), None) => EndReason::ServerReset,
        };
        return SessionEnd::with_outcome(reason, final_outcome.unwrap_or(AttemptOutcome::Reset));
    }
}

/// Forwards complete lines. Returns the session's outcome if they end it.
async fn forward_lines(state: &RelayState<'_>, lines: &[u8]) -> Result<Option<AttemptOutcome>, EndReason> {
    let received_at = Instant::now();
    let last_line = split_lines(lines).next_back();
    state.has_final_line.set(last_line.is_some_and(is_final));
    state.client.write(lines).await?;
    let mut outcome = None;
    for line in split_lines(lines) {
        outcome = observe(state, line, received_at).await;
        state.is_ending.set(outcome.is_some());
    }
    Ok(outcome)
}

fn split_lines(lines: &[u8]) -> impl DoubleEndedIterator<Item = &[u8]> {
    lines.split_inclusive(|&byte| byte == b'\n')
}

fn is_final(line: &[u8]) -> bool {
    matches!(parse_server_message(line).0, ServerMessage::Bye | ServerMessage::Move)
}

/// Reports what a line says about the session. Returns the outcome if the line ends it.
async fn observe(state: &RelayState<'_>, line: &[u8], received_at: Instant) -> Option<AttemptOutcome> {
    match parse_server_message(line).0 {
        ServerMessage::Bye => return Some(AttemptOutcome::Succeeded),
        ServerMessage::Move => return Some(AttemptOutcome::Cancelled),
        ServerMessage::Up => {}
        ServerMessage::Load(load) => report_load(state, load).await,
        ServerMessage::Busy | ServerMessage::Err | ServerMessage::Pong | ServerMessage::Other(_) => {
            report_answer(state, received_at).await;
        }
    }
    None
}

async fn report_load(state: &RelayState<'_>, load: f64) {
    state.load.set(Some(load));
    let event = DecisionEvent::Observed {
        session: state.session,
        attempt: state.attempt,
        observation: Observation::Load(load),
    };
    state.context.queue.send(event).await;
}

async fn report_answer(state: &RelayState<'_>, received_at: Instant) {
    let Some(sent_at) = state.messages.take_oldest() else { return };
    // The endpoint's connection was not read while a slow client blocked writes: the measured time is not the
    // endpoint's.
    if state.client.blocked_until().is_some_and(|until| until >= sent_at) {
        return;
    }
    let event = DecisionEvent::MessageAnswered {
        session: state.session,
        attempt: state.attempt,
        endpoint: state.endpoint,
        took: to_ticks(received_at.saturating_duration_since(sent_at)),
    };
    state.context.queue.send(event).await;
}
