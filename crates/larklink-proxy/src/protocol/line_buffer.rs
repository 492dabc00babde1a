//! The buffer that lines are read into.

/// The longest line in bytes, its CRLF included.
pub const MAX_LINE_LENGTH: usize = 4096;

const CRLF: &[u8] = b"\r\n";

/// Bytes that were read and not yet forwarded, [`MAX_LINE_LENGTH`] at most. An empty buffer holds no memory.
#[derive(Default)]
pub struct LineBuffer {
    bytes: Vec<u8>,
    /// Where the bytes begin that are not consumed yet.
    start: usize,
}

impl LineBuffer {
    /// A buffer with bytes that were read elsewhere; none if they are more than it may hold.
    pub fn with_bytes(bytes: Vec<u8>) -> Option<Self> {
        (bytes.len() <= MAX_LINE_LENGTH).then_some(Self { bytes, start: 0 })
    }

    /// The bytes that are not consumed yet.
    pub fn bytes(&self) -> &[u8] {
        &self.bytes[self.start..]
    }

    /// Removes the first `length` bytes.
    pub fn consume(&mut self, length: usize) {
        self.start += length;
        if self.start == self.bytes.len() {
            self.bytes = Vec::new();
            self.start = 0;
        }
    }

    /// Whether no further bytes fit.
    pub fn is_full(&self) -> bool {
        self.bytes().len() >= MAX_LINE_LENGTH
    }

    /// Calls `read` once with the space that is left, and returns what it returns: how many bytes it has written there.
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

    /// The length of the first line with its CRLF, if it is complete.
    pub fn first_line_len(&self) -> Option<usize> {
        let end = self.bytes().windows(CRLF.len()).position(|pair| pair == CRLF)?;
        Some(end + CRLF.len())
    }

    /// The length of all complete lines.
    pub fn complete_lines_len(&self) -> usize {
        let last_end = self.bytes().windows(CRLF.len()).rposition(|pair| pair == CRLF);
        last_end.map_or(0, |end| end + CRLF.len())
    }
}
