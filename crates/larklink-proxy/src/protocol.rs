//! The lines of the protocol, pure: heads parsed in place, answers told apart, and the bounded buffer that
//! they are read into.
use std::io::IoSlice;
use std::ops::Range;

use thiserror::Error;

/// The longest line, its CRLF included.
pub const MAX_LINE_LENGTH: usize = 4096;
/// The longest that a client may say it waits, in milliseconds: an hour is no dial timeout.
const MAX_DIAL_TIMEOUT_MS: u64 = 3_600_000;

/// Bytes read and not yet passed on.
#[derive(Default)]
pub struct LineBuffer {
    bytes: Vec<u8>,
    from: usize,
}

impl LineBuffer {
    pub fn bytes(&self) -> &[u8] {
        &self.bytes[self.from..]
    }

    /// Takes the first so many bytes out.
    pub fn consume(&mut self, n: usize) {
        self.from += n;
        if self.from == self.bytes.len() {
            // What is idle holds no memory.
            (self.bytes, self.from) = (Vec::new(), 0);
        }
    }

    /// One that holds what was read elsewhere and not passed on; none if that is more than it may hold.
    pub fn with_bytes(bytes: Vec<u8>) -> Option<Self> {
        (bytes.len() <= MAX_LINE_LENGTH).then_some(Self { bytes, from: 0 })
    }

    pub fn is_full(&self) -> bool {
        self.bytes().len() >= MAX_LINE_LENGTH
    }

    /// Reads once, no more than fits.
    pub fn fill(&mut self, read: impl FnOnce(&mut [u8]) -> std::io::Result<usize>) -> std::io::Result<usize> {
        self.bytes.drain(..std::mem::take(&mut self.from));
        let len = self.bytes.len();
        self.bytes.resize(MAX_LINE_LENGTH, 0);
        let n = read(&mut self.bytes[len..]);
        self.bytes.truncate(len + *n.as_ref().unwrap_or(&0));
        n
    }

    /// The length of the first line with its CRLF, if it is whole.
    pub fn first_line_len(&self) -> Option<usize> {
        self.bytes().windows(2).position(|w| w == b"\r\n").map(|at| at + 2)
    }

    /// The length of all whole lines.
    pub fn complete_lines_len(&self) -> usize {
        self.bytes().windows(2).rposition(|w| w == b"\r\n").map_or(0, |at| at + 2)
    }
}

/// The first line of a session.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct OpenLine<'a> {
    pub id: u64,
    pub client_key: u64,
    pub listener: &'a str,
    /// How long the client waits, in milliseconds, and where the line says so.
    pub dial_timeout_ms: u64,
    pub dial_timeout_range: Range<usize>,
    pub group_key: u64,
    pub reconnecting: bool,
    pub client_retry: bool,
    pub established: bool,
    /// The name of the server that it stood at before the proxy's start.
    pub endpoint_name: Option<&'a str>,
}

/// Why a line does not open a session.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum OpenLineError {
    /// It is not UTF-8.
    #[error("not text")]
    NotText,
    /// Its first word is another.
    #[error("not an OPEN line")]
    NotOpen,
    /// It contains a control character.
    #[error("control characters in it")]
    ControlCharacters,
    /// The session id is missing or not hexadecimal.
    #[error("the id is not a hex number")]
    BadId,
    /// The client key is missing or not hexadecimal.
    #[error("the key is not a hex number")]
    BadClientKey,
    /// Nothing follows the client key.
    #[error("no list of names and values")]
    NoAttributes,
    /// An attribute has no `=`.
    #[error("a name without a value")]
    AttributeWithoutValue,
    /// `d` is not a decimal number of milliseconds.
    #[error("d is not a number")]
    BadDialTimeout,
    /// `g` is not hexadecimal.
    #[error("g is not a hex number")]
    BadGroupKey,
    /// An attribute occurs twice.
    #[error("a name that stands twice")]
    DuplicateAttribute,
    /// `c` is missing.
    #[error("no listener")]
    NoListener,
    /// `d` is missing.
    #[error("no dial timeout")]
    NoDialTimeout,
    /// `d` is over the limit.
    #[error("d is too long")]
    DialTimeoutTooLong,
}

pub fn parse_hex(text: &str) -> Option<u64> {
    let digits = !text.is_empty() && text.bytes().all(|b| b.is_ascii_hexdigit());
    digits.then(|| u64::from_str_radix(text, 16).ok()).flatten()
}

/// Reads the first line, with or without its CRLF; or says what is wrong with it.
pub fn parse_open_line(line: &[u8]) -> Result<OpenLine<'_>, OpenLineError> {
    let text = std::str::from_utf8(line).map_err(|_| OpenLineError::NotText)?.trim_end_matches("\r\n");
    let mut words = text.splitn(4, ' ');
    if words.next() != Some("OPEN") {
        return Err(OpenLineError::NotOpen);
    }
    if text.contains(char::is_control) {
        return Err(OpenLineError::ControlCharacters);
    }
    let id = words.next().and_then(parse_hex).ok_or(OpenLineError::BadId)?;
    let key = words.next().and_then(parse_hex).ok_or(OpenLineError::BadClientKey)?;
    let list = words.next().ok_or(OpenLineError::NoAttributes)?;
    let (mut listener, mut wait) = (None, None);
    let mut head = OpenLine { id, client_key: key, ..OpenLine::default() };
    let mut names = Vec::new();
    let mut from = text.len() - list.len();
    for pair in list.split(',') {
        let end = from + pair.len();
        let (name, value) = pair.split_once('=').ok_or(OpenLineError::AttributeWithoutValue)?;
        names.push(name);
        match name {
            "c" => listener = Some(value),
            "d" => {
                let digits = value.bytes().all(|b| b.is_ascii_digit());
                let ms: u64 =
                    digits.then(|| value.parse().ok()).flatten().ok_or(OpenLineError::BadDialTimeout)?;
                wait = Some((ms, end - value.len()..end));
            }
            "g" => head.group_key = parse_hex(value).ok_or(OpenLineError::BadGroupKey)?,
            "again" => head.reconnecting = value == "1",
            "r" => head.client_retry = value == "1",
            "mid" => head.established = value == "1",
            "at" => head.endpoint_name = Some(value),
            // A guess at the load and further figures change no decision.
            _ => {}
        }
        from = end + 1;
    }
    names.sort_unstable();
    if names.windows(2).any(|n| n[0] == n[1]) {
        return Err(OpenLineError::DuplicateAttribute);
    }
    head.listener = listener.ok_or(OpenLineError::NoListener)?;
    let (ms, at) = wait.ok_or(OpenLineError::NoDialTimeout)?;
    // One that stood before the proxy's start waits for no server: its figure is whatever its life was to be, and who
    // is turned away for that loses a connection that stands. It is bounded only for the sums that follow.
    if ms > MAX_DIAL_TIMEOUT_MS && head.endpoint_name.is_none() {
        return Err(OpenLineError::DialTimeoutTooLong);
    }
    (head.dial_timeout_ms, head.dial_timeout_range) = (ms.min(MAX_DIAL_TIMEOUT_MS), at);
    Ok(head)
}

/// The line with another dial timeout, to be written in one go.
pub fn with_dial_timeout<'a>(line: &'a [u8], at: &Range<usize>, wait: &'a str) -> [IoSlice<'a>; 3] {
    [&line[..at.start], wait.as_bytes(), &line[at.end..]].map(IoSlice::new)
}

/// A line from a server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ServerMessage<'a> {
    Up,
    Bye,
    Move,
    Err,
    Busy,
    Pong,
    Load(f64),
    Other(&'a str),
}

/// Tells a server's line, and what stands behind its first word.
pub fn parse_server_message(line: &[u8]) -> (ServerMessage<'_>, &str) {
    let text = std::str::from_utf8(line).unwrap_or("").trim_end_matches("\r\n");
    let (first, rest) = text.split_once(' ').unwrap_or((text, ""));
    let word = match first {
        "UP" => ServerMessage::Up,
        "BYE" => ServerMessage::Bye,
        "MOVE" => ServerMessage::Move,
        "ERR" => ServerMessage::Err,
        "BUSY" => ServerMessage::Busy,
        "PONG" => ServerMessage::Pong,
        "LOAD" => match rest.parse() {
            Ok(load) if f64::is_finite(load) && load >= 0.0 => ServerMessage::Load(load),
            _ => ServerMessage::Other(text),
        },
        _ => ServerMessage::Other(text),
    };
    (word, rest)
}

/// A load report's values in the order of their names; nothing if one is missing.
pub fn parse_load_report(text: &str, names: &[String]) -> Vec<f64> {
    let value = |name: &String| {
        let pair = text.split(',').find_map(|pair| pair.split_once('=').filter(|(n, _)| n == name));
        pair.and_then(|(_, v)| v.parse().ok()).filter(|v: &f64| v.is_finite())
    };
    names.iter().map(value).collect::<Option<_>>().unwrap_or_default()
}
