//! A TCP connection and the bytes that were read from it.
use std::io::{ErrorKind, IoSlice, Read, Result, Write};
use std::net::TcpStream;

use async_io::Async;

use crate::protocol::LineBuffer;

/// A connection and what was read from it.
pub struct Connection {
    pub stream: Async<TcpStream>,
    pub buffer: LineBuffer,
}

impl Connection {
    pub fn new(stream: Async<TcpStream>) -> Self {
        // A line that waits for another's receipt is a line late.
        let _ = stream.get_ref().set_nodelay(true);
        Self { stream, buffer: LineBuffer::default() }
    }

    /// Reads until a whole line stands first: its length.
    pub async fn read_line(&mut self) -> Result<usize> {
        loop {
            if let Some(n) = self.buffer.first_line_len() {
                return Ok(n);
            }
            if self.buffer.is_full() {
                return Err(ErrorKind::InvalidData.into());
            }
            if read(&self.stream, &mut self.buffer).await? == 0 {
                return Err(ErrorKind::UnexpectedEof.into());
            }
        }
    }
}

impl Connection {
    /// Whether a whole line stands first, with all that the kernel has by now.
    pub fn has_complete_line(&mut self) -> bool {
        while self.buffer.first_line_len().is_none() && !self.buffer.is_full() {
            if !matches!(self.buffer.fill(|buf| self.stream.get_ref().read(buf)), Ok(n) if n > 0) {
                break;
            }
        }
        self.buffer.first_line_len().is_some()
    }

    /// Whether anything has been said that nobody has taken yet.
    pub fn has_input(&self) -> bool {
        !self.buffer.bytes().is_empty()
    }
}

/// Reads once, when there is something; 0 at the end.
pub async fn read(stream: &Async<TcpStream>, buffer: &mut LineBuffer) -> Result<usize> {
    loop {
        stream.readable().await?;
        match buffer.fill(|buf| stream.get_ref().read(buf)) {
            Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted) => {}
            done => return done,
        }
    }
}

/// Writes all slices, in one go where the socket takes them.
pub async fn write_gathered(stream: &Async<TcpStream>, mut slices: &mut [IoSlice<'_>]) -> Result<()> {
    while slices.iter().any(|s| !s.is_empty()) {
        match stream.write_with(|mut s| s.write_vectored(slices)).await? {
            0 => return Err(ErrorKind::WriteZero.into()),
            n => IoSlice::advance_slices(&mut slices, n),
        }
    }
    Ok(())
}
