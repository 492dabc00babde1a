//! Notices when the client of a session that waits for its answer leaves.
use std::io::ErrorKind;
use std::net::TcpStream;
use std::time::Duration;

use async_io::{Async, Timer};
use rustix::event::{PollFd, PollFlags, Timespec, poll};

use crate::connection::read;
use crate::log::EndReason;
use crate::protocol::LineBuffer;

/// How often a client is checked whose buffer is full.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Resolves when the client has left, or has sent more than its first line. Only a client whose session was established
/// before may send more.
///
/// # Errors
/// Always the reason for the end: [`EndReason::ClientClosed`] or [`EndReason::ProtocolError`].
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
            // What it sends further waits in the kernel, and its end behind that.
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

/// Whether a client still waits for its answer, as the kernel knows at this moment; the reactor may learn later that it
/// has left or sent something. A client that ends its sending side has given up.
pub(super) fn is_waiting(stream: &TcpStream, may_send_more: bool) -> bool {
    match stream.peek(&mut [0]) {
        Ok(0) => false,
        // Its end may lie behind what it sent.
        Ok(_) => may_send_more && !has_ended_sending(stream),
        Err(error) => error.kind() == ErrorKind::WouldBlock,
    }
}

fn has_ended_sending(stream: &TcpStream) -> bool {
    let mut events = [PollFd::new(stream, PollFlags::RDHUP)];
    let polled = poll(&mut events, Some(&Timespec::default()));
    polled.is_ok() && !events[0].revents().is_empty()
}
