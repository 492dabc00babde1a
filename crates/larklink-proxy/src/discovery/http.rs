//! Reads the HTTP responses of the discovery service.
use std::io::{Error, ErrorKind, Result};

use crate::endpoint_list::EndpointList;

const LONGEST_HEAD: usize = 16 << 10;
/// Some 4,000 servers, or 2,000 where each stands on lines of its own.
const LONGEST_BODY: usize = 1 << 20;

fn bad(text: impl ToString) -> Error {
    Error::new(ErrorKind::InvalidData, text.to_string())
}

/// An answer as it comes, piece by piece: what was read of it is not gone over again, but for an unfinished head.
#[derive(Default)]
pub struct ResponseReader {
    keep: bool,
    body: Option<Body>,
}

/// How the body comes, and how far it was read.
enum Body {
    /// From the first of these bytes to the other.
    Plain(usize, usize),
    /// What the chunks before this byte held.
    Chunked(usize, Vec<u8>),
}

impl ResponseReader {
    /// From all bytes that have come so far: the list, whether the connection may be kept, and how many bytes it took;
    /// nothing if more must come.
    ///
    /// # Errors
    /// It is no answer with a list, or longer than one may be.
    pub fn read(&mut self, bytes: &[u8]) -> Result<Option<(EndpointList, bool, usize)>> {
        if self.body.is_none() && !self.head(bytes)? {
            return Ok(None);
        }
        let (list, used) = match &mut self.body {
            Some(Body::Plain(start, end)) => match bytes.get(*start..*end) {
                Some(body) => (serde_json::from_slice(body)?, *end),
                None => return Ok(None),
            },
            Some(Body::Chunked(at, body)) => {
                if !chunks(bytes, at, body)? {
                    return Ok(None);
                }
                (serde_json::from_slice(body)?, *at)
            }
            None => return Ok(None),
        };
        Ok(Some((list, self.keep, used)))
    }

    /// Reads the head: whether it is whole.
    fn head(&mut self, bytes: &[u8]) -> Result<bool> {
        let mut headers = [httparse::EMPTY_HEADER; 32];
        let mut head = httparse::Response::new(&mut headers);
        let start = match head.parse(bytes).map_err(bad)? {
            httparse::Status::Complete(start) => start,
            httparse::Status::Partial if bytes.len() > LONGEST_HEAD => {
                return Err(bad("the head is too long"));
            }
            httparse::Status::Partial => return Ok(false),
        };
        if head.code != Some(200) {
            return Err(bad(format!("status {}", head.code.unwrap_or(0))));
        }
        let header = |name: &str| {
            let found = head.headers.iter().find(|h| h.name.eq_ignore_ascii_case(name));
            found.and_then(|h| std::str::from_utf8(h.value).ok()).map(str::trim)
        };
        self.keep = header("connection").is_none_or(|v| !v.eq_ignore_ascii_case("close"));
        let chunked = header("transfer-encoding").is_some_and(|v| v.eq_ignore_ascii_case("chunked"));
        self.body = Some(if chunked {
            Body::Chunked(start, Vec::new())
        } else {
            let length = header("content-length").ok_or_else(|| bad("no length"))?;
            let length: usize = length.parse().map_err(bad)?;
            if length > LONGEST_BODY {
                return Err(bad("the body is too long"));
            }
            Body::Plain(start, start + length)
        });
        Ok(true)
    }
}

/// Reads whole chunks from a byte on: whether the last one is among them.
fn chunks(bytes: &[u8], at: &mut usize, body: &mut Vec<u8>) -> Result<bool> {
    loop {
        let (digits, size) = match httparse::parse_chunk_size(&bytes[*at..]) {
            Ok(httparse::Status::Complete(found)) => found,
            Ok(httparse::Status::Partial) => return Ok(false),
            Err(_) => return Err(bad("a chunk without a size")),
        };
        let size = usize::try_from(size).unwrap_or(usize::MAX);
        if size > LONGEST_BODY - body.len().min(LONGEST_BODY) {
            return Err(bad("the body is too long"));
        }
        let from = *at + digits;
        let Some(chunk) = bytes.get(from..from + size + 2) else { return Ok(false) };
        body.extend_from_slice(&chunk[..size]);
        *at = from + size + 2;
        if size == 0 {
            return Ok(true);
        }
    }
}
