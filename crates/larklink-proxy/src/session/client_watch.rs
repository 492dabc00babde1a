//! Detects that a client disconnects while its session waits for an answer.
use std::io::ErrorKind;
use std::net::TcpStream;
use std::time::Duration;

use async_io::{Async, Timer};
use rustix::event::{PollFd, PollFlags, Timespec, poll};

use crate::connection::read;
use crate::log::EndReason;
use crate::protocol::LineBuffer;

/// How often a client whose buffer is full is checked.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Resolves when the client has disconnected, or has sent more than its first line although `may_send_more` is false.
/// `may_send_more` is true only for a session that was already established.
///
/// # Errors
/// Always, with the reason for the end: [`EndReason::ClientClosed`] or [`EndReason::ProtocolError`].
pub(super) async fn watch_client<T>(
    stream: &Async<TcpStream>,
    buffer: &mut LineBuffer,
    may_send_more: bool,
) -> Result<T, EndReason> {
    loop {
        if !buffer.bytes().is_empty() && !may_send_more {
            return Err(EndReason::ProtocolError);
        }
        if buffer.is_full() {
            // Further bytes stay in the kernel's buffer, with the end of the stream behind them: reads cannot detect
            // it.
            Timer::after(POLL_INTERVAL).await;
            if !is_waiting(stream.get_ref(), may_send_more) {
                return Err(EndReason::ClientClosed);
            }
            continue;
        }
        match read(stream, buffer).await {
            Ok(0) | Err(_) => return Err(EndReason::ClientClosed),
            Ok(_) => {}
        }
    }
}

/// Whether a client still waits for its answer. This asks the kernel, because the reactor may report later that the
/// client has disconnected or sent something. A client that shuts down its sending side no longer waits.
pub(super) fn is_waiting(stream: &TcpStream, may_send_more: bool) -> bool {
    match stream.peek(&mut [0]) {
        Ok(0) => false,
        // The end of the stream may follow the bytes that it sent.
        Ok(_) => may_send_more && !has_shut_down_sending(stream),
        Err(error) => error.kind() == ErrorKind::WouldBlock,
    }
}

fn has_shut_down_sending(stream: &TcpStream) -> bool {
    let mut events = [PollFd::new(stream, PollFlags::RDHUP)];
    let polled = poll(&mut events, Some(&Timespec::default()));
    polled.is_ok() && !events[0].revents().is_empty()
}
