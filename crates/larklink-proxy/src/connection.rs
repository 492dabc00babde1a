//! A TCP connection of lines and the bytes that were read from it.
use std::io::{ErrorKind, IoSlice, Read, Result, Write};
use std::net::TcpStream;

use async_io::Async;

use crate::protocol::LineBuffer;

/// A connection and what was read from it.
pub struct Connection {
    /// The socket.
    pub stream: Async<TcpStream>,
    /// What was read and not yet processed.
    pub buffer: LineBuffer,
}

impl Connection {
    /// A connection from which nothing was read yet.
    pub fn new(stream: Async<TcpStream>) -> Self {
        // Lines are not to wait for the acknowledgement of earlier ones. Without the option they only arrive later.
        let _ = stream.get_ref().set_nodelay(true);
        Self { stream, buffer: LineBuffer::default() }
    }

    /// Reads until the buffer begins with a complete line, and returns its length.
    ///
    /// # Errors
    /// [`ErrorKind::InvalidData`] if the line is too long, [`ErrorKind::UnexpectedEof`] if the connection ends before,
    /// or the socket's error.
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

    /// Reads what the kernel has received by now, and returns whether the buffer begins with a complete line then.
    pub fn has_complete_line(&mut self) -> bool {
        while self.buffer.first_line_len().is_none() && !self.buffer.is_full() {
            let received = self.buffer.fill(|space| self.stream.get_ref().read(space));
            if !matches!(received, Ok(length) if length > 0) {
                break;
            }
        }
        self.buffer.first_line_len().is_some()
    }

    /// Whether anything was read that is not processed yet.
    pub fn has_input(&self) -> bool {
        !self.buffer.bytes().is_empty()
    }
}

/// Waits for data and reads once; returns the number of bytes, 0 at the end of the stream.
///
/// # Errors
/// The socket's.
pub async fn read(stream: &Async<TcpStream>, buffer: &mut LineBuffer) -> Result<usize> {
    loop {
        stream.readable().await?;
        match buffer.fill(|space| stream.get_ref().read(space)) {
            Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted) => {}
            result => return result,
        }
    }
}

/// Writes all slices, with one system call where the socket takes them.
///
/// # Errors
/// The socket's; a part may have been written then.
pub async fn write_gathered(stream: &Async<TcpStream>, mut slices: &mut [IoSlice<'_>]) -> Result<()> {
    while slices.iter().any(|slice| !slice.is_empty()) {
        match stream.write_with(|mut socket| socket.write_vectored(slices)).await? {
            0 => return Err(ErrorKind::WriteZero.into()),
            written => IoSlice::advance_slices(&mut slices, written),
        }
    }
    Ok(())
}
