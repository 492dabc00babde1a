//! The bounded buffer that lines are read into.

/// The longest line in bytes, including its CRLF.
pub const MAX_LINE_LENGTH: usize = 4096;

const CRLF: &[u8] = b"\r\n";

/// Holds up to [`MAX_LINE_LENGTH`] bytes that were read and not yet consumed. An empty buffer allocates no memory.
#[derive(Default)]
pub struct LineBuffer {
    bytes: Vec<u8>,
    /// The index of the first unconsumed byte.
    start: usize,
}

impl LineBuffer {
    /// Creates a buffer with bytes that were read elsewhere; `None` if they exceed [`MAX_LINE_LENGTH`].
    pub fn with_bytes(bytes: Vec<u8>) -> Option<Self> {
        (bytes.len() <= MAX_LINE_LENGTH).then_some(Self { bytes, start: 0 })
    }

    /// The unconsumed bytes.
    pub fn bytes(&self) -> &[u8] {
        &self.bytes[self.start..]
    }

    /// Consumes the first `length` bytes.
    pub fn consume(&mut self, length: usize) {
        self.start += length;
        if self.start == self.bytes.len() {
            self.bytes = Vec::new();
            self.start = 0;
        }
    }

    /// Whether the buffer has no space left.
    pub fn is_full(&self) -> bool {
        self.bytes().len() >= MAX_LINE_LENGTH
    }

    /// Calls `read` once with the free space and returns its result, the number of bytes that it stored there.
    ///
    /// # Errors
    /// The error of `read`.
    pub fn fill(&mut self, read: impl FnOnce(&mut [u8]) -> std::io::Result<usize>) -> std::io::Result<usize> {
        self.bytes.drain(..self.start);
        self.start = 0;
        let length = self.bytes.len();
        self.bytes.resize(MAX_LINE_LENGTH, 0);
        let result = read(&mut self.bytes[length..]);
        self.bytes.truncate(length + *result.as_ref().unwrap_or(&0));
        result
    }

    /// The length of the first line including its CRLF, if the line is complete.
    pub fn first_line_len(&self) -> Option<usize> {
        let end = self.bytes().windows(CRLF.len()).position(|pair| pair == CRLF)?;
        Some(end + CRLF.len())
    }

    /// The total length of all complete lines.
    pub fn complete_lines_len(&self) -> usize {
        let last_end = self.bytes().windows(CRLF.len()).rposition(|pair| pair == CRLF);
        last_end.map_or(0, |end| end + CRLF.len())
    }
}
