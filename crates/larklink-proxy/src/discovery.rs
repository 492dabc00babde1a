//! Follows the list of servers: one kept HTTP connection to the agent, a watch after a watch.
use std::cell::Cell;
use std::convert::Infallible;
use std::io::{Error, ErrorKind, Result};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use async_channel::Receiver;
use async_io::{Async, Timer};
use futures_lite::{AsyncReadExt, AsyncWriteExt, FutureExt, future};
use larklink_balancer::{ListScope, TickDuration};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use crate::clock::span;
use crate::endpoint_list::List;
use crate::events::{DecisionEvent, DecisionQueue};
use crate::upstream::within;

/// What discovery has counts as told so long after it had it and could be reached, whatever became of our calls: the
/// operators' term (STANDING, T1). [`Paces::heard_in`] stays under it.
pub const TOLD: Duration = Duration::from_secs(6);
/// What a busy machine may take of that: the sums of our own waits leave it free.
pub const SPARE: Duration = Duration::from_millis(500);
/// A watch waits for this share of the time after which who has not asked counts as told, within these bounds.
const WAIT: u32 = 4;
const LEAST_WAIT: Duration = Duration::from_millis(100);
const LONGEST_WAIT: Duration = Duration::from_millis(1900);
/// How long the answer to a watch may take beyond its wait.
const SLACK: Duration = Duration::from_millis(400);
/// How long a call may take beyond its wait once another has failed, and on any call the connection, and the rest of an
/// answer that has begun. Twice as long for each failure in a row beyond so many, where a machine or a service is too
/// busy for that; only those count to which a connection came up. One that does not come up shows that nobody is there,
/// as while discovery is down, and what is had at its return is to be heard within the grace of a drain.
const LEAST_CALL: Duration = Duration::from_millis(100);
const CALL: Duration = Duration::from_millis(400);
const LONGEST_CALL: Duration = Duration::from_secs(2);
const QUICK: u32 = 3;
/// After a first refusal the wait is drawn from up to so much, and after each further one from up to twice as much.
const FIRST_PAUSE: Duration = Duration::from_millis(400);
const LEAST_PAUSE: Duration = Duration::from_millis(50);
/// No pause takes more than this share of a drain's grace: what the agent has counts as told at once, whatever comes of
/// the call that should have brought it. It may hurt where an agent refuses for long: each proxy then asks it some ten
/// times a second. Only where lists are asked for of a service that all proxies share do refusals lead to longer pauses.
const OF_GRACE: u32 = 4;
/// No shorter share of a grace is gone by: the agent would be asked without end.
const LEAST_SOON: Duration = Duration::from_millis(10);
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
    paces: Paces,
    queue: DecisionQueue,
    mut chance: ChaCha8Rng,
) {
    // What a new address has counts as told four seconds after SIGHUP: its first call is waited for like one after a
    // failure.
    let mut failed = 0;
    loop {
        let new = async {
            match moved.recv().await {
                Ok(to) => to,
                Err(_) => future::pending().await,
            }
        };
        let old = async { match watch(agent, failed, &paces, &queue, &mut chance).await {} };
        (agent, failed) = (new.or(old).await, 1);
    }
}

/// The spans by which the list is followed, derived so that [`Paces::heard_in`] stays under [`TOLD`] whatever the
/// settings say.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Paces {
    /// How long a watch waits while nothing has failed.
    pub wait: Duration,
    /// How long a call without a wait may take as long as few have failed, and an answer that has begun.
    pub call: Duration,
    /// The longest pause after a call that brought nothing.
    pub soon: Duration,
    /// The longest pause after one that was refused, or brought what cannot be read.
    pub refused: Duration,
}

impl Paces {
    /// From the settings: after how long who has not asked counts as told and how long a server that drains may still
    /// be sent something, both in tenths of a millisecond, and whether lists are asked for of a shared service.
    pub fn new(must_ask_in: TickDuration, drain_grace: TickDuration, on_request: bool) -> Self {
        let wait = (span(must_ask_in) / WAIT).clamp(LEAST_WAIT, LONGEST_WAIT);
        let grace = if drain_grace == 0 { FIRST_PAUSE * OF_GRACE } else { span(drain_grace) };
        let soon = (grace / OF_GRACE).min(wait / 2).clamp(LEAST_SOON, FIRST_PAUSE);
        // Pushed lists lie on this machine, and one that is silent is to be heard within the grace of its return.
        let call = if on_request { CALL } else { (soon * 2).clamp(LEAST_CALL, CALL) };
        Self { wait, call, soon, refused: if on_request { wait / 2 } else { soon } }
    }

    /// How long the agent may wait with its answer after so many failures in a row. While any has failed, hardly: the
    /// answer shows whether it is there, and a call that hangs is given up before long.
    pub fn wait_after(&self, failed: u32) -> Duration {
        if failed == 0 { self.wait } else { LEAST_WAIT }
    }

    /// How long a call without a wait may take, and on any the rest of an answer, after so many in a row that had been
    /// connected and took too long.
    pub fn call_after(&self, unanswered: u32) -> Duration {
        (self.call * 2u32.pow(unanswered.saturating_sub(QUICK).min(8))).min(LONGEST_CALL)
    }

    /// When a call is given up, after so many failures in a row, and so many of these connected and too long.
    pub fn limit(&self, failed: u32, unanswered: u32) -> Duration {
        self.wait_after(failed) + if failed == 0 { SLACK } else { self.call_after(unanswered) }
    }

    /// The longest time from the moment in which discovery has a change and can be reached to the one in which it is
    /// heard, when `before` calls in a row had failed by then and the call that is under way and each of the next fail,
    /// `more` in all. The sum is made of
    ///
    /// - a rest after an answer that came early, and a kept connection that is found closed, each up to 0.1 s, where
    ///   nothing had failed before;
    /// - for each that fails all its time, the worst first one being a watch that has just begun and falls silent,
    ///   and the longest pause, the worst being one after refusal upon refusal;
    /// - all the time that the one may take that is answered.
    ///
    /// For any `n`, `heard_in(n, 1)` is what a call under way at that moment can cost, and `heard_in(0, 3)` what three
    /// failures in a row after it can, in any order.
    pub fn heard_in(&self, before: u32, more: u32) -> Duration {
        let failure = |n: u32| {
            let pause = match (before, n) {
                // A watch that hangs for long was not refused.
                (0, 0) => self.soon,
                (0, n) => self.longest_pause(n),
                (_, n) => self.longest_pause(n + 1),
            };
            self.limit(n, n) + pause
        };
        let first = if before == 0 { EARLY * 2 } else { Duration::ZERO };
        let last = before + more;
        first + (before..last).map(failure).sum::<Duration>() + self.call_after(last)
    }

    /// The longest pause after the `n`th refusal in a row.
    fn longest_pause(&self, n: u32) -> Duration {
        grown(n).min(self.refused).max(self.soon)
    }
}

/// Counts the calls in a row that `failed`.
async fn watch(
    agent: SocketAddr,
    mut failed: u32,
    paces: &Paces,
    queue: &DecisionQueue,
    chance: &mut ChaCha8Rng,
) -> Infallible {
    let (mut link, mut index, mut lost): (Option<Kept>, _, _) = (None, None, false);
    // How many of those that failed were refused, and how many had been connected and took too long.
    let (mut refusals, mut unanswered): (u32, u32) = (0, 0);
    let mut thrown: Option<Instant> = None;
    loop {
        let path = match index {
            // The whole list first: the one we were born with may be old.
            None => "/api/targets".to_owned(),
            Some(index) => {
                format!("/api/targets?after={index}&wait_ms={}", paces.wait_after(failed).as_millis())
            }
        };
        let (kept, asked, last) = (link.take(), Instant::now(), index);
        let was_kept = kept.is_some();
        let call = Call { connect: paces.call, rest: paces.call_after(unanswered), ..Call::default() };
        // A first call for the whole list may take as long as a watch: an agent may be as busy as we are at the start.
        match within(paces.limit(failed, unanswered), get(agent, kept, &path, &call)).await {
            // A kept connection may have been closed meanwhile, which says nothing of the agent. Where that took a
            // while, what comes next must not wait for long once more.
            Err(e) if was_kept && !call.begun.get() && e.kind() != ErrorKind::TimedOut => {
                failed += u32::from(asked.elapsed() >= EARLY);
            }
            // A second answer to an earlier call, with what was true then: servers that drain would be ready again.
            Ok((list, _)) if was_kept && index.is_some_and(|last| list.snapshot && list.index < last) => {
                tracing::warn!("discovery: the whole list as of {}, older than the one we have", list.index);
                (index, failed) = (None, failed + u32::from(asked.elapsed() >= EARLY));
                // One that answers so each time is not to be asked without end.
                if thrown.replace(asked).is_some_and(|at| at.elapsed() < EARLY) {
                    Timer::after(EARLY).await;
                }
            }
            Ok((list, again)) => {
                link = again;
                if std::mem::take(&mut lost) {
                    tracing::info!("discovery: heard again");
                }
                if list.snapshot || index.is_some_and(|last| list.index >= last) {
                    (index, failed, refusals, unanswered) = (Some(list.index), 0, 0, 0);
                    let scope = if list.snapshot { ListScope::Complete } else { ListScope::Changes };
                    if list.snapshot || !list.endpoints.is_empty() {
                        queue.send(DecisionEvent::EndpointList(scope, list.endpoints)).await;
                    }
                    // An agent that does not wait is not to be asked without end; the watch goes on.
                    if index == last && asked.elapsed() < EARLY {
                        Timer::after(EARLY).await;
                    }
                } else {
                    // Changes to a list that we do not have: the whole of it is asked for.
                    tracing::warn!("discovery: changes up to {}, older than the list we have", list.index);
                    index = None;
                    (failed, refusals) = (failed + 1, refusals + 1);
                    Timer::after(pause(refusals, paces.refused, chance)).await;
                }
            }
            Err(e) => {
                // Said once: it is asked for several times a second.
                if !std::mem::replace(&mut lost, true) {
                    tracing::warn!("discovery: {e}");
                }
                queue.send(DecisionEvent::DiscoveryFailed).await;
                let late = call.connected.get() && e.kind() == ErrorKind::TimedOut;
                (failed, unanswered) = (failed + 1, unanswered + u32::from(late));
                let refused = e.kind() == ErrorKind::InvalidData;
                refusals += u32::from(refused);
                let (failures, most) = if refused { (refusals, paces.refused) } else { (failed, paces.soon) };
                Timer::after(pause(failures, most, chance)).await;
            }
        }
    }
}

/// How long to wait after so many failures in a row, drawn by chance: proxies that lost discovery together must
/// not come back together, nor ask as often as ever of a service that has more to do than it can. No more than `most`.
pub fn pause(failed: u32, most: Duration, chance: &mut ChaCha8Rng) -> Duration {
    LEAST_PAUSE.min(most / 2).max(grown(failed).min(most).mul_f64(chance.random()))
}

fn grown(failed: u32) -> Duration {
    FIRST_PAUSE * 2u32.pow(failed.saturating_sub(1).min(16))
}

type Kept = Async<TcpStream>;

/// How far a call has come, and how long its parts may take: the connection, and an answer once it has begun.
#[derive(Default)]
struct Call {
    connect: Duration,
    rest: Duration,
    connected: Cell<bool>,
    begun: Cell<bool>,
}

/// One call; also the connection, if it is good for another. An answer that has begun is whole in its time, or is given
/// up: one that never ends must not keep us from what the agent has since.
async fn get(agent: SocketAddr, kept: Option<Kept>, path: &str, call: &Call) -> Result<(List, Option<Kept>)> {
    let mut stream = match kept {
        Some(kept) => kept,
        None => within(call.connect, Async::<TcpStream>::connect(agent)).await?,
    };
    call.connected.set(true);
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
            call.begun.set(true);
            if let Some((list, keep, used)) = answer.read(&bytes)? {
                // Bytes that nobody asked for would be taken for the next answer.
                return Ok((list, keep && used == bytes.len()));
            }
        }
    };
    let (list, keep) = within(call.rest, answer).await?;
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
