//! Follows the list of servers: one kept HTTP connection to the agent, a watch after a watch.
use std::cell::Cell;
use std::convert::Infallible;
use std::io::{Error, ErrorKind, Result};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use async_channel::Receiver;
use async_io::{Async, Timer};
use futures_lite::{AsyncReadExt, AsyncWriteExt, FutureExt, future};
use larklink::types::{Scope, Time};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use crate::clock::span;
use crate::events::{Event, Queue};
use crate::list::List;
use crate::servers::within;

/// A watch waits for this share of the time after which who has not asked counts as told.
const WAIT: u32 = 4;
/// How long an answer may take beyond the wait; making the connection too.
const SLACK: Duration = Duration::from_millis(500);
/// After a first failure the wait is drawn from up to so much, and after each further one from up to twice as much.
const FIRST_PAUSE: Duration = Duration::from_millis(400);
const LEAST_PAUSE: Duration = Duration::from_millis(50);
/// No pause takes more than this share of a drain's grace, nor does an answer that has begun: what the agent has counts
/// as told at once, whatever comes of the call that should have brought it. It may hurt where an agent refuses for
/// long: each proxy then asks it some ten times a second. Only where lists are asked for of a service that all proxies
/// share do refusals lead to longer pauses. An answer may take twice as long after each that took too long.
const OF_GRACE: u32 = 4;
/// A watch that brings nothing new sooner than this is answered too early; it goes on for 200 ms.
const EARLY: Duration = Duration::from_millis(100);
const LONGEST_HEAD: usize = 16 << 10;
/// Some 4,000 servers, or 2,000 where each stands on lines of its own.
const LONGEST_BODY: usize = 1 << 20;

/// Follows the list for as long as the proxy runs, always at the latest address that it was given. With a new
/// one the old watch ends and its index counts for nothing: another agent counts its lists by itself.
pub async fn follow(
    mut agent: SocketAddr,
    moved: Receiver<SocketAddr>,
    (must_ask_in, drain_grace): (Time, Time),
    on_request: bool,
    queue: Queue,
    mut chance: ChaCha8Rng,
) {
    let (wait, grace) = (span(must_ask_in) / WAIT, span(drain_grace));
    let soon = if grace.is_zero() { FIRST_PAUSE } else { grace / OF_GRACE }.min(wait / 2);
    let paces = Paces { wait, soon, refused: if on_request { wait / 2 } else { soon } };
    loop {
        let new = async {
            match moved.recv().await {
                Ok(to) => to,
                Err(_) => future::pending().await,
            }
        };
        let old = async { match watch(agent, &paces, &queue, &mut chance).await {} };
        agent = new.or(old).await;
    }
}

/// How long a watch waits, and the longest pauses after an agent that was silent and after one that refused.
struct Paces {
    wait: Duration,
    soon: Duration,
    refused: Duration,
}

async fn watch(agent: SocketAddr, paces: &Paces, queue: &Queue, chance: &mut ChaCha8Rng) -> Infallible {
    let (mut link, mut index, mut lost, mut failed): (Option<Kept>, _, _, u32) = (None, None, false, 0);
    let Paces { wait, soon, refused } = *paces;
    loop {
        let path = match index {
            // The whole list first: the one we were born with may be old.
            None => "/api/targets".to_owned(),
            Some(index) => format!("/api/targets?after={index}&wait_ms={}", wait.as_millis()),
        };
        let (kept, asked, last) = (link.take(), Instant::now(), index);
        let was_kept = kept.is_some();
        let rest = soon * 2u32.saturating_pow(failed.min(4));
        let begun = Cell::new(false);
        match within(wait + SLACK, get(agent, kept, &path, rest, &begun)).await {
            // A kept connection may have been closed meanwhile, which says nothing of the agent.
            Err(e) if was_kept && !begun.get() && e.kind() != ErrorKind::TimedOut => {}
            // A second answer to an earlier call, with what was true then: servers that drain would be ready again.
            Ok((list, _)) if was_kept && index.is_some_and(|last| list.snapshot && list.index < last) => {
                tracing::warn!("discovery: the whole list as of {}, older than the one we have", list.index);
                index = None;
            }
            Ok((list, again)) => {
                link = again;
                if std::mem::take(&mut lost) {
                    tracing::info!("discovery: heard again");
                }
                if list.snapshot || index.is_some_and(|last| list.index >= last) {
                    (index, failed) = (Some(list.index), 0);
                    let scope = if list.snapshot { Scope::Whole } else { Scope::Changes };
                    if list.snapshot || !list.endpoints.is_empty() {
                        queue.send(Event::List(scope, list.endpoints)).await;
                    }
                    // An agent that does not wait is not to be asked without end; the watch goes on.
                    if index == last && asked.elapsed() < EARLY {
                        Timer::after(EARLY).await;
                    }
                } else {
                    // Changes to a list that we do not have: the whole of it is asked for.
                    tracing::warn!("discovery: changes up to {}, older than the list we have", list.index);
                    index = None;
                    failed += 1;
                    Timer::after(pause(failed, refused, chance)).await;
                }
            }
            Err(e) => {
                // Said once: it is asked for several times a second.
                if !std::mem::replace(&mut lost, true) {
                    tracing::warn!("discovery: {e}");
                }
                queue.send(Event::ListFailed).await;
                failed += 1;
                let most = if e.kind() == ErrorKind::InvalidData { refused } else { soon };
                Timer::after(pause(failed, most, chance)).await;
            }
        }
    }
}

/// How long to wait after so many failures in a row, drawn by chance: proxies that lost discovery together must
/// not come back together, nor ask as often as ever of a service that has more to do than it can. No more than `most`.
pub fn pause(failed: u32, most: Duration, chance: &mut ChaCha8Rng) -> Duration {
    let grown = (FIRST_PAUSE * 2u32.saturating_pow(failed.saturating_sub(1).min(16))).min(most);
    LEAST_PAUSE.min(most / 2).max(grown.mul_f64(chance.random()))
}

type Kept = Async<TcpStream>;

/// One call; also the connection, if it is good for another. An answer that has `begun` is whole within `rest`, or is
/// given up: one that never ends must not keep us from what the agent has since.
async fn get(
    agent: SocketAddr,
    kept: Option<Kept>,
    path: &str,
    rest: Duration,
    begun: &Cell<bool>,
) -> Result<(List, Option<Kept>)> {
    let mut stream = match kept {
        Some(kept) => kept,
        None => within(SLACK, Async::<TcpStream>::connect(agent)).await?,
    };
    let ask = format!("GET {path} HTTP/1.1\r\nHost: {agent}\r\nAccept: application/json\r\n\r\n");
    stream.write_all(ask.as_bytes()).await?;
    stream.readable().await?;
    let answer = async {
        let (mut answer, mut bytes, mut chunk) = (Answer::default(), Vec::new(), vec![0; 16 << 10]);
        loop {
            match stream.read(&mut chunk).await? {
                0 => return Err(ErrorKind::UnexpectedEof.into()),
                n => bytes.extend_from_slice(&chunk[..n]),
            }
            begun.set(true);
            if let Some((list, keep, used)) = answer.read(&bytes)? {
                // Bytes that nobody asked for would be taken for the next answer.
                return Ok((list, keep && used == bytes.len()));
            }
        }
    };
    let (list, keep) = within(rest, answer).await?;
    Ok((list, keep.then_some(stream)))
}

fn bad(text: impl ToString) -> Error {
    Error::new(ErrorKind::InvalidData, text.to_string())
}

/// An answer as it comes, piece by piece: what was read of it is not gone over again, but for an unfinished head.
#[derive(Default)]
pub struct Answer {
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

impl Answer {
    /// From all bytes that have come so far: the list, whether the connection may be kept, and how many bytes it took;
    /// nothing if more must come.
    ///
    /// # Errors
    /// It is no answer with a list, or longer than one may be.
    pub fn read(&mut self, bytes: &[u8]) -> Result<Option<(List, bool, usize)>> {
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
