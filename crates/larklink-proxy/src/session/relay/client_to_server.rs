//! The client-to-endpoint direction. Bytes are forwarded as they arrive, also parts of lines.
use futures_lite::{AsyncWriteExt, FutureExt, future};

use super::silence;
use super::state::{RelayState, SessionEnd};
use crate::connection::read;
use crate::log::EndReason;
use crate::protocol::LineBuffer;

/// Forwards until the session ends. Cancel safe: bytes that are not yet forwarded stay in the buffer.
pub(super) async fn run(state: &RelayState<'_>, buffer: &mut LineBuffer) -> SessionEnd {
    loop {
        if let Err(end) = forward(state, buffer).await {
            return end;
        }
        let received = async { Ok(read(state.client.stream, buffer).await) };
        match received.or(async { Err(silence::detected(state).await) }).await {
            Ok(Ok(0)) => return SessionEnd::without_outcome(EndReason::ClientClosed),
            Ok(Ok(_)) => {}
            Ok(Err(_)) => return SessionEnd::without_outcome(EndReason::ClientReset),
            Err(end) => return end,
        }
    }
}

/// Forwards the bytes in the buffer.
async fn forward(state: &RelayState<'_>, buffer: &mut LineBuffer) -> Result<(), SessionEnd> {
    while !buffer.bytes().is_empty() {
        let mut to_server = state.to_server;
        // An endpoint that hangs stops reading at some point, and the write blocks: the messages that it has left
        // unanswered still reveal that it is silent.
        let written = async { Ok(to_server.write(buffer.bytes()).await) };
        let written = match written.or(async { Err(silence::detected(state).await) }).await {
            Ok(Ok(written)) if written > 0 => written,
            // The other direction reads the rest of what the endpoint sent, and how it closed the connection.
            Ok(_) => return future::pending().await,
            Err(end) => return Err(end),
        };
        let messages = buffer.bytes()[..written].iter().filter(|&&byte| byte == b'\n').count();
        buffer.consume(written);
        // Timed from the write, so that time in the proxy's own buffers is not counted.
        state.messages.record_sent(messages);
    }
    Ok(())
}
