//! Follows the list of servers: one kept HTTP connection to the agent, a watch after a watch.
use std::cell::Cell;
use std::convert::Infallible;
use std::io::{ErrorKind, Result};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use async_channel::Receiver;
use async_io::{Async, Timer};
use futures_lite::{AsyncReadExt, AsyncWriteExt, FutureExt, future};
use larklink_balancer::ListScope;
use rand_chacha::ChaCha8Rng;

use crate::discovery::http::ResponseReader;
use crate::discovery::schedule::{EARLY, PollSchedule, backoff};
use crate::endpoint_list::EndpointList;
use crate::events::{DecisionEvent, DecisionQueue};
use crate::timeout::with_timeout;

/// Follows the list for as long as the proxy runs, always at the latest address that it was given. With a new
/// one the old watch ends and its index counts for nothing: another agent counts its lists by itself.
pub async fn follow(
    mut agent: SocketAddr,
    moved: Receiver<SocketAddr>,
    schedule: PollSchedule,
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
        let old = async { match watch(agent, failed, &schedule, &queue, &mut chance).await {} };
        (agent, failed) = (new.or(old).await, 1);
    }
}

/// Counts the calls in a row that `failed`.
async fn watch(
    agent: SocketAddr,
    mut failed: u32,
    schedule: &PollSchedule,
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
                format!(
                    "/api/targets?after={index}&wait_ms={}",
                    schedule.long_poll_wait_after(failed).as_millis()
                )
            }
        };
        let (kept, asked, last) = (link.take(), Instant::now(), index);
        let was_kept = kept.is_some();
        let call = Call {
            connect: schedule.call_timeout,
            rest: schedule.call_timeout_after(unanswered),
            ..Call::default()
        };
        // A first call for the whole list may take as long as a watch: an agent may be as busy as we are at the start.
        match with_timeout(schedule.total_timeout(failed, unanswered), get(agent, kept, &path, &call)).await {
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
                    Timer::after(backoff(refusals, schedule.max_rejection_backoff, chance)).await;
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
                let (failures, most) = if refused {
                    (refusals, schedule.max_rejection_backoff)
                } else {
                    (failed, schedule.max_backoff)
                };
                Timer::after(backoff(failures, most, chance)).await;
            }
        }
    }
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
async fn get(
    agent: SocketAddr,
    kept: Option<Kept>,
    path: &str,
    call: &Call,
) -> Result<(EndpointList, Option<Kept>)> {
    let mut stream = match kept {
        Some(kept) => kept,
        None => with_timeout(call.connect, Async::<TcpStream>::connect(agent)).await?,
    };
    call.connected.set(true);
    let ask = format!("GET {path} HTTP/1.1\r\nHost: {agent}\r\nAccept: application/json\r\n\r\n");
    stream.write_all(ask.as_bytes()).await?;
    stream.readable().await?;
    let answer = async {
        let (mut answer, mut bytes, mut chunk) = (ResponseReader::default(), Vec::new(), vec![0; 16 << 10]);
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
    let (list, keep) = with_timeout(call.rest, answer).await?;
    Ok((list, keep.then_some(stream)))
}
