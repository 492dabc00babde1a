//! The line with which a client opens a session: `OPEN`, the session's id, the client's key, and a list of attributes,
//! as in `OPEN 9b1f 7f3a c=chat,d=2000`.
use std::io::IoSlice;
use std::ops::Range;

use thiserror::Error;

/// The longest dial timeout that a client may name, in milliseconds: one hour.
const MAX_DIAL_TIMEOUT_MS: u64 = 3_600_000;

/// The first line of a session. This is where the names of its attributes on the wire are mapped.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct OpenLine<'a> {
    /// The session's id, given by its client.
    pub id: u64,
    /// Identifies its client; 0 if unknown.
    pub client_key: u64,
    /// The name of the listener (`c`).
    pub listener: &'a str,
    /// How long the client waits for an answer, in milliseconds (`d`).
    pub dial_timeout_ms: u64,
    /// Where the line has the digits of the dial timeout.
    pub dial_timeout_range: Range<usize>,
    /// Sessions with the same key share state on an endpoint (`g`); 0 if it has none.
    pub group_key: u64,
    /// Whether the client reconnects after a break or a migration (`again`).
    pub reconnecting: bool,
    /// Whether the client retries a session that was not accepted (`r`).
    pub client_retry: bool,
    /// Whether it goes on with a connection that was established through another proxy (`mid`).
    pub established: bool,
    /// The name of the endpoint at which the session was established before the proxy started (`at`).
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

/// Parses a number of hexadecimal digits only.
pub fn parse_hex(text: &str) -> Option<u64> {
    if text.is_empty() || !text.bytes().all(|byte| byte.is_ascii_hexdigit()) {
        return None;
    }
    u64::from_str_radix(text, 16).ok()
}

/// Parses the first line of a session, with or without its CRLF.
///
/// # Errors
/// It is no valid open line.
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
    let client_key = words.next().and_then(parse_hex).ok_or(OpenLineError::BadClientKey)?;
    let attributes = words.next().ok_or(OpenLineError::NoAttributes)?;
    let open_line = OpenLine { id, client_key, ..OpenLine::default() };
    parse_attributes(attributes, text.len() - attributes.len(), open_line)
}

/// Completes an open line with its attributes, a list that begins at byte `start` of the line.
fn parse_attributes<'a>(
    attributes: &'a str,
    start: usize,
    mut open_line: OpenLine<'a>,
) -> Result<OpenLine<'a>, OpenLineError> {
    let mut names = Vec::new();
    let mut listener = None;
    let mut dial_timeout_ms = None;
    let mut end = start;
    for attribute in attributes.split(',') {
        end += attribute.len();
        let (name, value) = attribute.split_once('=').ok_or(OpenLineError::AttributeWithoutValue)?;
        names.push(name);
        match name {
            "c" => listener = Some(value),
            "d" => {
                dial_timeout_ms = Some(parse_decimal(value).ok_or(OpenLineError::BadDialTimeout)?);
                open_line.dial_timeout_range = end - value.len()..end;
            }
            "g" => open_line.group_key = parse_hex(value).ok_or(OpenLineError::BadGroupKey)?,
            "again" => open_line.reconnecting = value == "1",
            "r" => open_line.client_retry = value == "1",
            "mid" => open_line.established = value == "1",
            "at" => open_line.endpoint_name = Some(value),
            // No other attribute changes a decision.
            _ => {}
        }
        // The comma.
        end += 1;
    }
    check_unique(names)?;
    open_line.listener = listener.ok_or(OpenLineError::NoListener)?;
    let dial_timeout_ms = dial_timeout_ms.ok_or(OpenLineError::NoDialTimeout)?;
    // A session established before the proxy's start waits for no endpoint, and rejecting it would break its
    // connection: its dial timeout, which says how long it is to last, is only capped.
    if dial_timeout_ms > MAX_DIAL_TIMEOUT_MS && open_line.endpoint_name.is_none() {
        return Err(OpenLineError::DialTimeoutTooLong);
    }
    open_line.dial_timeout_ms = dial_timeout_ms.min(MAX_DIAL_TIMEOUT_MS);
    Ok(open_line)
}

fn parse_decimal(text: &str) -> Option<u64> {
    text.bytes().all(|byte| byte.is_ascii_digit()).then(|| text.parse().ok()).flatten()
}

fn check_unique(mut names: Vec<&str>) -> Result<(), OpenLineError> {
    names.sort_unstable();
    if names.windows(2).any(|pair| pair[0] == pair[1]) {
        return Err(OpenLineError::DuplicateAttribute);
    }
    Ok(())
}

/// An open line with another dial timeout in milliseconds in place of the one at `range`, as slices to be written at
/// once.
pub fn with_dial_timeout<'a>(line: &'a [u8], range: &Range<usize>, timeout_ms: &'a str) -> [IoSlice<'a>; 3] {
    [&line[..range.start], timeout_ms.as_bytes(), &line[range.end..]].map(IoSlice::new)
}
