//! A TCP connection and its read buffer.
use std::io::{ErrorKind, IoSlice, Read, Result, Write};
use std::net::TcpStream;
use std::time::Duration;

use async_io::Async;
use futures_lite::future;

use crate::protocol::LineBuffer;
use crate::timeout::with_timeout;

/// How many bytes are read and discarded at once.
const DISCARD_LENGTH: usize = 64 << 10;

/// A TCP connection with a buffer of the bytes read from it.
pub struct Connection {
    /// The socket.
    pub stream: Async<TcpStream>,
    /// Bytes that were read and not yet processed.
    pub buffer: LineBuffer,
}

impl Connection {
    /// Wraps a stream from which nothing has been read yet.
    pub fn new(stream: Async<TcpStream>) -> Self {
        // Without TCP_NODELAY a line would wait for the acknowledgement of the previous one. A failure to set it is
        // ignored: it only delays lines.
        let _ = stream.get_ref().set_nodelay(true);
        Self { stream, buffer: LineBuffer::default() }
    }

    /// Reads until the buffer begins with a complete line, and returns its length.
    ///
    /// # Errors
    /// [`ErrorKind::InvalidData`] if the line is too long, [`ErrorKind::UnexpectedEof`] if the connection ends before
    /// it is complete, or the socket's error.
    pub async fn read_line(&mut self) -> Result<usize> {
        loop {
            if let Some(length) = self.buffer.first_line_len() {
                return Ok(length);
            }
            if self.buffer.is_full() {
                return Err(ErrorKind::InvalidData.into());
            }
            if read(&self.stream, &mut self.buffer).await? == 0 {
                return Err(ErrorKind::UnexpectedEof.into());
            }
        }
    }

    /// Reads the bytes that the kernel has received so far, without waiting, and returns whether the buffer then begins
    /// with a complete line.
    pub fn has_complete_line(&mut self) -> bool {
        while self.buffer.first_line_len().is_none() && !self.buffer.is_full() {
            let received = self.buffer.fill(|space| self.stream.get_ref().read(space));
            if !matches!(received, Ok(length) if length > 0) {
                break;
            }
        }
        self.buffer.first_line_len().is_some()
    }

    /// Whether the buffer holds unprocessed bytes.
    pub fn has_input(&self) -> bool {
        !self.buffer.bytes().is_empty()
    }
}

/// Waits for data and reads once; returns the number of bytes, 0 at the end of the stream.
///
/// # Errors
/// The socket's error.
pub async fn read(stream: &Async<TcpStream>, buffer: &mut LineBuffer) -> Result<usize> {
    loop {
        stream.readable().await?;
        match buffer.fill(|space| stream.get_ref().read(space)) {
            Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted) => {}
            result => return result,
        }
    }
}

/// Writes all slices, with a single system call if the socket accepts them at once.
///
/// # Errors
/// The socket's error; some of the bytes may have been written by then.
pub async fn write_all_vectored(stream: &Async<TcpStream>, mut slices: &mut [IoSlice<'_>]) -> Result<()> {
    while slices.iter().any(|slice| !slice.is_empty()) {
        match stream.write_with(|mut socket| socket.write_vectored(slices)).await? {
            0 => return Err(ErrorKind::WriteZero.into()),
            written => IoSlice::advance_slices(&mut slices, written),
        }
    }
    Ok(())
}

/// Reads and discards what the peer still sends until it closes its side.
///
/// # Errors
/// The socket's error, or [`ErrorKind::TimedOut`] if the peer neither sends nor closes for `idle_timeout`.
pub async fn discard_until_end(stream: &Async<TcpStream>, idle_timeout: Duration) -> Result<()> {
    while with_timeout(idle_timeout, stream.read_with(discard)).await? > 0 {
        // A peer that sends at full speed must not starve other tasks.
        future::yield_now().await;
    }
    Ok(())
}

/// Reads once and discards the bytes; returns their number.
///
/// # Errors
/// The socket's error.
pub fn discard(mut stream: &TcpStream) -> Result<usize> {
    stream.read(&mut [0; DISCARD_LENGTH])
}
