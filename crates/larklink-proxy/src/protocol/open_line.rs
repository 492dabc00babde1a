//! The line with which a client opens a session: `OPEN`, the session id, the client key and a list of attributes, for
//! example `OPEN 9b1f 7f3a c=chat,d=2000`.
use std::io::IoSlice;
use std::ops::Range;

use thiserror::Error;

/// The longest dial timeout that a client may request, in milliseconds: one hour.
const MAX_DIAL_TIMEOUT_MS: u64 = 3_600_000;

/// The first line of a session. The names of the attributes on the wire, in parentheses below, are mapped here.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct OpenLine<'a> {
    /// The session id, chosen by the client.
    pub id: u64,
    /// Identifies the client; 0 if unknown.
    pub client_key: u64,
    /// The name of the listener (`c`).
    pub listener: &'a str,
    /// How long the client waits for an answer, in milliseconds (`d`).
    pub dial_timeout_ms: u64,
    /// The byte range of the dial timeout's digits in the line.
    pub dial_timeout_range: Range<usize>,
    /// Sessions with the same group key share state on an endpoint (`g`); 0 if the session has none.
    pub group_key: u64,
    /// Whether the client reconnects after a break or a migration (`again`).
    pub reconnecting: bool,
    /// Whether the client retries a session that was not accepted (`r`).
    pub client_retry: bool,
    /// Whether the session continues a connection that was established through another proxy (`mid`).
    pub established: bool,
    /// The name of the endpoint at which the session was established before the proxy started (`at`).
    pub endpoint_name: Option<&'a str>,
}

/// Why a line does not open a session.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum OpenLineError {
    /// The line is not UTF-8.
    #[error("line is not valid UTF-8")]
    NotText,
    /// The first word is not `OPEN`.
    #[error("line does not start with OPEN")]
    NotOpen,
    /// The line contains a control character.
    #[error("line contains a control character")]
    ControlCharacters,
    /// The session id is missing or not hexadecimal.
    #[error("session id is not a hex number")]
    BadId,
    /// The client key is missing or not hexadecimal.
    #[error("client key is not a hex number")]
    BadClientKey,
    /// Nothing follows the client key.
    #[error("no attributes")]
    NoAttributes,
    /// An attribute has no `=`.
    #[error("attribute without a value")]
    AttributeWithoutValue,
    /// `d` is not a decimal number of milliseconds.
    #[error("dial timeout d is not a number")]
    BadDialTimeout,
    /// `g` is not hexadecimal.
    #[error("group key g is not a hex number")]
    BadGroupKey,
    /// An attribute occurs twice.
    #[error("duplicate attribute")]
    DuplicateAttribute,
    /// `c` is missing.
    #[error("no listener c")]
    NoListener,
    /// `d` is missing.
    #[error("no dial timeout d")]
    NoDialTimeout,
    /// `d` exceeds the limit.
    #[error("dial timeout d exceeds {} ms", MAX_DIAL_TIMEOUT_MS)]
    DialTimeoutTooLong,
}

/// Parses a number that consists of hexadecimal digits only.
pub fn parse_hex(text: &str) -> Option<u64> {
    if text.is_empty() || !text.bytes().all(|byte| byte.is_ascii_hexdigit()) {
        return None;
    }
    u64::from_str_radix(text, 16).ok()
}

/// Parses the first line of a session, with or without its CRLF.
///
/// # Errors
/// The reason for which it is not a valid open line.
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

/// Fills in an open line from its attribute list, which begins at byte `start` of the line.
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
            // Other attributes are forwarded and otherwise ignored.
            _ => {}
        }
        // Skip the comma.
        end += 1;
    }
    check_unique(names)?;
    open_line.listener = listener.ok_or(OpenLineError::NoListener)?;
    let dial_timeout_ms = dial_timeout_ms.ok_or(OpenLineError::NoDialTimeout)?;
    // The dial timeout of a session that was established before the proxy started is the connection's lifetime and not
    // the wait for an endpoint. Rejecting the line would break the connection, so the value is only capped.
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

/// Replaces the dial timeout at `range` of an open line. Returns the new line as slices, to be written with a single
/// system call.
pub fn with_dial_timeout<'a>(line: &'a [u8], range: &Range<usize>, timeout_ms: &'a str) -> [IoSlice<'a>; 3] {
    [&line[..range.start], timeout_ms.as_bytes(), &line[range.end..]].map(IoSlice::new)
}
