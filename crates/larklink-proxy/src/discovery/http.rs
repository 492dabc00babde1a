//! Parses the HTTP responses of discovery: an endpoint list in JSON, plain or in chunked encoding. Performs no I/O.
use std::num::ParseIntError;
use std::ops::Range;

use httparse::Status;
use thiserror::Error;

use crate::endpoint_list::EndpointList;

const MAX_HEAD_BYTES: usize = 16 << 10;
const MAX_HEADERS: usize = 32;
/// The most endpoints of a fleet.
const MAX_ENDPOINTS: usize = 3_200;
/// More than twice an entry in its widest form: ten lines indented by 8 spaces a level, a name of 64 bytes, an IPv6
/// address, and names and numbers of 32 and 20 bytes.
const MAX_ENTRY_BYTES: usize = 1_280;
/// The longest body, without its encoding.
pub const MAX_BODY_BYTES: usize = MAX_ENDPOINTS * MAX_ENTRY_BYTES;
/// The longest body in chunked encoding. Tiny chunks take several times the bytes of their content.
const MAX_ENCODED_BYTES: usize = 2 * MAX_BODY_BYTES;
const CRLF_BYTES: usize = 2;

/// Why a response cannot be used.
#[derive(Debug, Error)]
pub enum ResponseError {
    /// The head is not valid HTTP.
    #[error("invalid response head: {0}")]
    Head(httparse::Error),
    /// The head exceeds the size limit.
    #[error("response head over {MAX_HEAD_BYTES} bytes")]
    HeadTooLong,
    /// The status is not 200.
    #[error("unexpected status {0}")]
    Status(u16),
    /// The body has neither a length nor chunked encoding.
    #[error("neither Content-Length nor chunked encoding")]
    MissingLength,
    /// The length is not a number.
    #[error("invalid Content-Length: {0}")]
    InvalidLength(ParseIntError),
    /// The body exceeds the size limit.
    #[error("response body of {length} bytes or more, limit {limit}")]
    BodyTooLong {
        /// Its length as far as it is known.
        length: usize,
        /// The limit, in bytes.
        limit: usize,
    },
    /// A chunk does not begin with a valid size.
    #[error("invalid chunk size")]
    InvalidChunkSize,
    /// The body is not an endpoint list.
    #[error("invalid endpoint list: {0}")]
    Body(serde_json::Error),
}

/// A complete response.
#[derive(Debug)]
pub struct Response {
    /// The endpoint list in the body.
    pub list: EndpointList,
    /// Whether the server keeps the connection open.
    pub keep_alive: bool,
    /// The length of the response in bytes, including the head.
    pub length: usize,
}

/// Parses a response incrementally from a growing buffer. The head is parsed from the start on each call until it is
/// complete; the body is not parsed twice.
#[derive(Default)]
pub struct ResponseReader {
    head: Option<Head>,
}

struct Head {
    keep_alive: bool,
    body: Body,
}

/// How the body is delimited.
enum Body {
    /// A body with a known length, at this range of the buffer.
    Plain(Range<usize>),
    Chunked(ChunkedBody),
}

struct ChunkedBody {
    /// Where the body begins in the buffer.
    start: usize,
    /// The position of the next chunk in the buffer.
    next_chunk: usize,
    /// The content of all chunks before that position.
    content: Vec<u8>,
}

impl ResponseReader {
    /// Parses `bytes`, all that has been received so far. Returns none while the response is incomplete.
    ///
    /// # Errors
    /// The response is invalid, or its status is not 200.
    pub fn read(&mut self, bytes: &[u8]) -> Result<Option<Response>, ResponseError> {
        if self.head.is_none() {
            self.head = Head::parse(bytes)?;
        }
        let Some(head) = &mut self.head else { return Ok(None) };
        let (content, length) = match &mut head.body {
            Body::Plain(range) => match bytes.get(range.clone()) {
                Some(content) => (content, range.end),
                None => return Ok(None),
            },
            Body::Chunked(body) => {
                if !body.read(bytes)? {
                    return Ok(None);
                }
                (&*body.content, body.next_chunk)
            }
        };
        let list = serde_json::from_slice(content).map_err(ResponseError::Body)?;
        Ok(Some(Response { list, keep_alive: head.keep_alive, length }))
    }
}

impl Head {
    /// Parses the head. Returns none while it is incomplete.
    fn parse(bytes: &[u8]) -> Result<Option<Self>, ResponseError> {
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut response = httparse::Response::new(&mut headers);
        let length = match response.parse(bytes).map_err(ResponseError::Head)? {
            Status::Complete(length) => length,
            Status::Partial if bytes.len() > MAX_HEAD_BYTES => return Err(ResponseError::HeadTooLong),
            Status::Partial => return Ok(None),
        };
        if response.code != Some(200) {
            return Err(ResponseError::Status(response.code.unwrap_or(0)));
        }
        let connection = header(&response, "connection");
        Ok(Some(Self {
            keep_alive: connection.is_none_or(|value| !value.eq_ignore_ascii_case("close")),
            body: Body::new(&response, length)?,
        }))
    }
}

impl Body {
    /// Determines the framing of a body that begins at `start`.
    fn new(head: &httparse::Response<'_, '_>, start: usize) -> Result<Self, ResponseError> {
        let encoding = header(head, "transfer-encoding");
        if encoding.is_some_and(|value| value.eq_ignore_ascii_case("chunked")) {
            return Ok(Self::Chunked(ChunkedBody { start, next_chunk: start, content: Vec::new() }));
        }
        let length = header(head, "content-length").ok_or(ResponseError::MissingLength)?;
        let length: usize = length.parse().map_err(ResponseError::InvalidLength)?;
        if length > MAX_BODY_BYTES {
            return Err(ResponseError::BodyTooLong { length, limit: MAX_BODY_BYTES });
        }
        Ok(Self::Plain(start..start + length))
    }
}

impl ChunkedBody {
    /// Reads the chunks that are complete. Returns whether the last chunk has been read.
    fn read(&mut self, bytes: &[u8]) -> Result<bool, ResponseError> {
        loop {
            let (size_line_length, size) = match httparse::parse_chunk_size(&bytes[self.next_chunk..]) {
                Ok(Status::Complete(parsed)) => parsed,
                Ok(Status::Partial) => return Ok(false),
                Err(_) => return Err(ResponseError::InvalidChunkSize),
            };
            let size = usize::try_from(size).unwrap_or(usize::MAX);
            let length = self.content.len().saturating_add(size);
            if length > MAX_BODY_BYTES {
                return Err(ResponseError::BodyTooLong { length, limit: MAX_BODY_BYTES });
            }
            let encoded_length = self.next_chunk - self.start;
            if encoded_length > MAX_ENCODED_BYTES {
                return Err(ResponseError::BodyTooLong { length: encoded_length, limit: MAX_ENCODED_BYTES });
            }
            let start = self.next_chunk + size_line_length;
            let end = start + size + CRLF_BYTES;
            let Some(chunk) = bytes.get(start..end) else { return Ok(false) };
            self.content.extend_from_slice(&chunk[..size]);
            self.next_chunk = end;
            if size == 0 {
                return Ok(true);
            }
        }
    }
}

fn header<'a>(head: &httparse::Response<'_, 'a>, name: &str) -> Option<&'a str> {
    let found = head.headers.iter().find(|header| header.name.eq_ignore_ascii_case(name))?;
    std::str::from_utf8(found.value).ok().map(str::trim)
}
