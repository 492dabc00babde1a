//! When the endpoint list is polled again, and how long a poll may take. Pure.
//!
//! Polls are long polls: discovery holds its response until the list changes or a wait that the request names has
//! passed. The *response timeout* limits the rest of a response that has begun and, after a failed poll, the time beyond
//! that wait until the response is complete.
use std::time::Duration;

use larklink_balancer::TickDuration;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use crate::clock::to_duration;

/// A proxy counts as notified of a change this long after discovery has the change and can be reached, whatever became
/// of earlier polls. [`PollSchedule::max_notification_delay`] stays below it.
pub const NOTIFICATION_DEADLINE: Duration = Duration::from_secs(6);
/// The part of [`NOTIFICATION_DEADLINE`] that the schedule leaves to a busy machine.
pub const SCHEDULING_MARGIN: Duration = Duration::from_millis(500);

/// A long poll waits for the discovery deadline divided by this, within the two bounds below, so that several polls may
/// fail before the deadline passes.
const LONG_POLLS_PER_DEADLINE: u32 = 4;
const MIN_LONG_POLL_WAIT: Duration = Duration::from_millis(100);
const MAX_LONG_POLL_WAIT: Duration = Duration::from_millis(1900);
/// How long the response to a long poll may take beyond its wait.
const LONG_POLL_MARGIN: Duration = Duration::from_millis(400);

/// The response timeout: the least, the default, and the most.
const MIN_RESPONSE_TIMEOUT: Duration = Duration::from_millis(100);
const DEFAULT_RESPONSE_TIMEOUT: Duration = Duration::from_millis(400);
const MAX_RESPONSE_TIMEOUT: Duration = Duration::from_secs(2);
/// After so many polls in a row that connected and timed out, the response timeout doubles with each further one: the
/// service or this machine is too busy. Polls that did not connect are not counted, since nothing listens there, and
/// the service's return has to be noticed early.
const RESPONSE_TIMEOUTS_BEFORE_DOUBLING: u32 = 3;
/// Further doublings would overflow or exceed [`MAX_RESPONSE_TIMEOUT`].
const MAX_RESPONSE_TIMEOUT_DOUBLINGS: u32 = 8;

/// Upper bound of the random backoff after a first failure; it doubles with each further one.
const INITIAL_BACKOFF: Duration = Duration::from_millis(400);
const MIN_BACKOFF: Duration = Duration::from_millis(50);
/// Further doublings would exceed every maximum.
const MAX_BACKOFF_DOUBLINGS: u32 = 16;
/// The maximum backoff is the grace of a draining endpoint divided by this, as a proxy counts as notified at once of
/// what a local agent has. A local agent that rejects polls for long is polled some ten times a second for that.
const BACKOFFS_PER_DRAIN_GRACE: u32 = 4;
/// The maximum backoff is at least this, or a failing agent would be polled in a tight loop.
const MIN_MAX_BACKOFF: Duration = Duration::from_millis(10);

/// The least time from one poll to the next while polls succeed and bring nothing new.
pub(crate) const MIN_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// How long polls wait and how long to back off, derived from the settings so that
/// [`max_notification_delay`](Self::max_notification_delay) stays below [`NOTIFICATION_DEADLINE`] whatever they are.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PollSchedule {
    /// How long discovery may hold its response to a long poll while no poll has failed.
    pub long_poll_wait: Duration,
    /// The response timeout while few polls have timed out, and how long connecting may take.
    pub response_timeout: Duration,
    /// The maximum backoff after a poll that got no response.
    pub max_backoff: Duration,
    /// The maximum backoff after a poll that was rejected, or whose response cannot be used.
    pub max_rejection_backoff: Duration,
}

impl PollSchedule {
    /// Derives a schedule from the settings.
    ///
    /// - `discovery_deadline`: how long a proxy may go without a poll before discovery counts it as notified.
    /// - `drain_grace`: how long a draining endpoint may still be sent sessions; 0 if unknown.
    /// - `polled_discovery`: whether all proxies poll one shared service. If not, each has an agent on its own machine
    ///   to which lists are pushed; an agent that returns has to be noticed within the drain grace.
    pub fn new(discovery_deadline: TickDuration, drain_grace: TickDuration, polled_discovery: bool) -> Self {
        let long_poll_wait = (to_duration(discovery_deadline) / LONG_POLLS_PER_DEADLINE)
            .clamp(MIN_LONG_POLL_WAIT, MAX_LONG_POLL_WAIT);
        let drain_grace = match drain_grace {
            TickDuration::ZERO => INITIAL_BACKOFF * BACKOFFS_PER_DRAIN_GRACE,
            ticks => to_duration(ticks),
        };
        let max_backoff = (drain_grace / BACKOFFS_PER_DRAIN_GRACE)
            .min(long_poll_wait / 2)
            .clamp(MIN_MAX_BACKOFF, INITIAL_BACKOFF);
        let response_timeout = if polled_discovery {
            DEFAULT_RESPONSE_TIMEOUT
        } else {
            (max_backoff * 2).clamp(MIN_RESPONSE_TIMEOUT, DEFAULT_RESPONSE_TIMEOUT)
        };
        let max_rejection_backoff = if polled_discovery { long_poll_wait / 2 } else { max_backoff };
        Self { long_poll_wait, response_timeout, max_backoff, max_rejection_backoff }
    }

    /// How long discovery may hold its response after so many failures in a row. It is short after any failure: the
    /// response shows whether discovery is there, and a poll that hangs is given up early.
    pub fn long_poll_wait_after(&self, failures: u32) -> Duration {
        if failures == 0 { self.long_poll_wait } else { MIN_LONG_POLL_WAIT }
    }

    /// The response timeout after so many polls in a row that connected and timed out.
    pub fn response_timeout_after(&self, timeouts: u32) -> Duration {
        let doublings =
            timeouts.saturating_sub(RESPONSE_TIMEOUTS_BEFORE_DOUBLING).min(MAX_RESPONSE_TIMEOUT_DOUBLINGS);
        (self.response_timeout * 2_u32.pow(doublings)).min(MAX_RESPONSE_TIMEOUT)
    }

    /// How long a poll may take in all after so many failures in a row, of which `timeouts` connected and timed out.
    pub fn total_timeout(&self, failures: u32, timeouts: u32) -> Duration {
        let beyond_wait = match failures {
            0 => LONG_POLL_MARGIN,
            _ => self.response_timeout_after(timeouts),
        };
        self.long_poll_wait_after(failures) + beyond_wait
    }

    /// The longest time from when discovery has a change and can be reached to when the proxy has it, if
    /// `failures_before` polls in a row had failed by then, and the poll in flight and the next ones fail, `more` in
    /// all. It is the sum of
    ///
    /// - two rests of `MIN_POLL_INTERVAL`, after an early response and a reused connection that turned out closed, if
    ///   nothing had failed before;
    /// - for each failed poll its total timeout and the longest backoff; at worst the first is a long poll that has
    ///   just begun and hangs, and the others are rejections;
    /// - the response timeout of the poll that succeeds.
    ///
    /// For any `n`, `max_notification_delay(n, 1)` is what a poll in flight at that moment can cost, and
    /// `max_notification_delay(0, 3)` what three failures in a row can, in any order.
    pub fn max_notification_delay(&self, failures_before: u32, more: u32) -> Duration {
        let rests = if failures_before == 0 { MIN_POLL_INTERVAL * 2 } else { Duration::ZERO };
        let failures = failures_before + more;
        let failed_polls: Duration = (failures_before..failures)
            .map(|earlier| {
                self.total_timeout(earlier, earlier) + self.longest_backoff(failures_before, earlier)
            })
            .sum();
        rests + failed_polls + self.response_timeout_after(failures)
    }

    /// The longest backoff after a poll that fails after `earlier` others in a row, `failures_before` of them before
    /// the change. A long poll that hangs is no rejection, so without earlier failures rejections count from the
    /// second on.
    fn longest_backoff(&self, failures_before: u32, earlier: u32) -> Duration {
        let rejections = if failures_before == 0 { earlier } else { earlier + 1 };
        if rejections == 0 {
            return self.max_backoff;
        }
        backoff_bound(rejections).min(self.max_rejection_backoff).max(self.max_backoff)
    }
}

/// A random backoff after so many failures in a row, at most `max`. Proxies that lost discovery together must not return
/// together, nor poll a service at full rate that is overloaded.
pub fn backoff(failures: u32, max: Duration, rng: &mut ChaCha8Rng) -> Duration {
    let min = MIN_BACKOFF.min(max / 2);
    min.max(backoff_bound(failures).min(max).mul_f64(rng.random()))
}

/// Exponential backoff before its maximum and its random factor.
fn backoff_bound(failures: u32) -> Duration {
    INITIAL_BACKOFF * 2_u32.pow(failures.saturating_sub(1).min(MAX_BACKOFF_DOUBLINGS))
}
