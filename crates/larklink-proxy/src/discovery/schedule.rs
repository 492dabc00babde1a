//! Timeouts and backoff of the polls of the endpoint list. Performs no I/O.
//!
//! Polls are long polls: discovery holds its response until the list changes or the wait given in the request has
//! elapsed. The *response timeout* limits how long a response may take from its first byte on. After a failed poll it
//! also limits the time from the end of the wait until the response is complete.
use std::time::Duration;

use larklink_balancer::TickDuration;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use crate::clock::to_duration;

/// Discovery considers a proxy notified of a change this long after the change is available and discovery is reachable,
/// regardless of earlier failures and of the discovery deadline in the settings.
/// [`PollSchedule::max_notification_delay`] stays below it.
pub const NOTIFICATION_DEADLINE: Duration = Duration::from_secs(6);
/// The part of [`NOTIFICATION_DEADLINE`] that the schedule leaves for scheduling delays on a busy machine.
pub const SCHEDULING_MARGIN: Duration = Duration::from_millis(500);

/// The wait of a long poll is the discovery deadline divided by this, clamped to the bounds below, so that several
/// polls can fail before the deadline expires.
const LONG_POLLS_PER_DEADLINE: u32 = 4;
const MIN_LONG_POLL_WAIT: Duration = Duration::from_millis(100);
const MAX_LONG_POLL_WAIT: Duration = Duration::from_millis(1900);
/// How long after its wait the response to a long poll may take to complete.
const LONG_POLL_MARGIN: Duration = Duration::from_millis(400);

const MIN_RESPONSE_TIMEOUT: Duration = Duration::from_millis(100);
const DEFAULT_RESPONSE_TIMEOUT: Duration = Duration::from_millis(400);
const MAX_RESPONSE_TIMEOUT: Duration = Duration::from_secs(2);
/// After this many consecutive polls that connected and timed out, the response timeout doubles with each further one,
/// since the service or this machine is overloaded. Polls that did not connect are not counted: nothing listens there,
/// and the timeout has to stay short so that the service's return is noticed early.
const RESPONSE_TIMEOUTS_BEFORE_DOUBLING: u32 = 3;
/// Further doublings would overflow or exceed [`MAX_RESPONSE_TIMEOUT`].
const MAX_RESPONSE_TIMEOUT_DOUBLINGS: u32 = 8;

/// Upper bound of the random backoff after the first failure. It doubles with each further failure. This has an effect
/// only for rejections where all proxies poll one service, since [`PollSchedule::max_backoff`] is at most this.
const INITIAL_BACKOFF: Duration = Duration::from_millis(400);
const MIN_BACKOFF: Duration = Duration::from_millis(50);
/// Further doublings would exceed every maximum.
const MAX_BACKOFF_DOUBLINGS: u32 = 16;
/// The maximum backoff is at most the drain grace divided by this: where lists are pushed, a proxy counts as notified
/// as soon as its local agent has a change. The cost is that a local agent that keeps rejecting polls is polled some
/// ten times a second.
const BACKOFFS_PER_DRAIN_GRACE: u32 = 4;
/// Upper bound of the response timeout and of the backoff after a rejection, for each proxy that polls the service. The
/// service serves one poll of each proxy in turn, and the turn of a proxy that is not there goes unused: a small fleet
/// must poll often enough to take the turns, and a large one must not make too many polls.
const POLL_SPACING_PER_PROXY: Duration = Duration::from_millis(50);
/// Lower bound of the maximum backoff; without it a failing agent would be polled in a tight loop.
const MAX_BACKOFF_FLOOR: Duration = Duration::from_millis(10);

/// How long a poll may take in all if it is kept open while further ones are made; longer than a service works on a poll
/// that it has not rejected.
pub(crate) const POLL_TIMEOUT: Duration = Duration::from_millis(3500);

/// Minimum time between the starts of two polls while polls succeed without a new list.
pub(crate) const MIN_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// The timing of polls. It is derived from the settings such that
/// [`max_notification_delay`](Self::max_notification_delay) stays below [`NOTIFICATION_DEADLINE`] for all settings.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PollSchedule {
    /// How long discovery may hold its response to a long poll, as long as no poll has failed.
    pub long_poll_wait: Duration,
    /// The response timeout before any doubling; also the connect timeout.
    pub response_timeout: Duration,
    /// Upper bound of the backoff after a poll without a response.
    pub max_backoff: Duration,
    /// Upper bound of the backoff after a poll that was rejected or got an invalid response.
    pub max_rejection_backoff: Duration,
    /// Upper bound of the response timeout, however many polls have timed out.
    pub max_response_timeout: Duration,
    /// Whether polls that time out are kept open while further ones are made. A shared service may need longer for a
    /// response than an agent on the proxy's machine.
    pub keeps_unanswered_polls: bool,
}

impl PollSchedule {
    /// Derives the schedule from the settings.
    ///
    /// - `discovery_deadline`: how long discovery waits for a poll of a proxy before it considers the proxy notified.
    ///   The wait of a long poll derives from it and has an upper bound, so that [`NOTIFICATION_DEADLINE`] is met even
    ///   if this setting is longer.
    /// - `drain_grace`: how long a draining endpoint may still be sent sessions; 0 if unknown.
    /// - `polled_discovery`: whether all proxies poll one shared service. If not, lists are pushed to an agent on each
    ///   proxy's machine, and an agent that becomes available again has to be noticed within the drain grace.
    pub fn new(discovery_deadline: TickDuration, drain_grace: TickDuration, polled_discovery: bool) -> Self {
        let long_poll_wait = (to_duration(discovery_deadline) / LONG_POLLS_PER_DEADLINE)
            .clamp(MIN_LONG_POLL_WAIT, MAX_LONG_POLL_WAIT);
        let drain_grace = match drain_grace {
            TickDuration::ZERO => INITIAL_BACKOFF * BACKOFFS_PER_DRAIN_GRACE,
            ticks => to_duration(ticks),
        };
        let max_backoff = (drain_grace / BACKOFFS_PER_DRAIN_GRACE)
            .min(long_poll_wait / 2)
            .clamp(MAX_BACKOFF_FLOOR, INITIAL_BACKOFF);
        let response_timeout = if polled_discovery {
            DEFAULT_RESPONSE_TIMEOUT
        } else {
            (max_backoff * 2).clamp(MIN_RESPONSE_TIMEOUT, DEFAULT_RESPONSE_TIMEOUT)
        };
        let max_rejection_backoff = if polled_discovery { long_poll_wait / 2 } else { max_backoff };
        Self {
            long_poll_wait,
            response_timeout,
            max_backoff,
            max_rejection_backoff,
            max_response_timeout: MAX_RESPONSE_TIMEOUT,
            keeps_unanswered_polls: polled_discovery,
        }
    }

    /// Returns the schedule of one of `proxies` proxies that poll one service; 0 if their number is unknown. A small
    /// fleet polls more often.
    pub fn with_proxies(self, proxies: u32) -> Self {
        if !self.keeps_unanswered_polls || proxies == 0 {
            return self;
        }
        let spacing = POLL_SPACING_PER_PROXY * proxies;
        Self {
            max_rejection_backoff: spacing.max(self.max_backoff).min(self.max_rejection_backoff),
            max_response_timeout: spacing.clamp(self.response_timeout, MAX_RESPONSE_TIMEOUT),
            ..self
        }
    }

    /// Returns how long discovery may hold its response after `failures` consecutive failures. After any failure the
    /// wait is short, so that a response soon shows that discovery is available and a hanging poll times out early.
    pub fn long_poll_wait_after(&self, failures: u32) -> Duration {
        if failures == 0 { self.long_poll_wait } else { MIN_LONG_POLL_WAIT }
    }

    /// Returns the response timeout after `timeouts` consecutive polls that connected and timed out.
    pub fn response_timeout_after(&self, timeouts: u32) -> Duration {
        let doublings =
            timeouts.saturating_sub(RESPONSE_TIMEOUTS_BEFORE_DOUBLING).min(MAX_RESPONSE_TIMEOUT_DOUBLINGS);
        (self.response_timeout * 2_u32.pow(doublings)).min(self.max_response_timeout)
    }

    /// Returns the timeout of a whole poll after `failures` consecutive failures, of which `timeouts` connected and
    /// timed out.
    pub fn total_timeout(&self, failures: u32, timeouts: u32) -> Duration {
        let after_wait = match failures {
            0 => LONG_POLL_MARGIN,
            _ => self.response_timeout_after(timeouts),
        };
        self.long_poll_wait_after(failures) + after_wait
    }

    /// Returns the longest time from when a change is available and discovery is reachable until the proxy has received
    /// the change, if `failures_before` consecutive polls failed before that moment and `failures_after` more, the poll
    /// in flight included, fail from then on. It is the sum of
    ///
    /// - two waits of `MIN_POLL_INTERVAL`, after an early response and after a reused connection that turned out to be
    ///   closed, if no poll had failed before;
    /// - the total timeout and the longest backoff of each failed poll; in the worst case the first one is a long poll
    ///   that has just begun and hangs, and the others are rejections;
    /// - the response timeout of the poll that succeeds.
    ///
    /// For any `n`, `max_notification_delay(n, 1)` is the delay caused by the failure of the poll in flight, and
    /// `max_notification_delay(0, 3)` the delay caused by three consecutive failures in any order.
    pub fn max_notification_delay(&self, failures_before: u32, failures_after: u32) -> Duration {
        let idle_waits = if failures_before == 0 { MIN_POLL_INTERVAL * 2 } else { Duration::ZERO };
        let failures = failures_before + failures_after;
        let failed_polls: Duration = (failures_before..failures)
            .map(|previous_failures| {
                self.total_timeout(previous_failures, previous_failures)
                    + self.longest_backoff(failures_before, previous_failures)
            })
            .sum();
        idle_waits + failed_polls + self.response_timeout_after(failures)
    }

    /// Returns the longest backoff after a poll that fails after `previous_failures` consecutive failures, of which
    /// `failures_before` were before the change. Without failures before the change, the first failure is a long poll
    /// that hangs, which is not a rejection; all others may be rejections.
    fn longest_backoff(&self, failures_before: u32, previous_failures: u32) -> Duration {
        let rejections = if failures_before == 0 { previous_failures } else { previous_failures + 1 };
        if rejections == 0 {
            return self.max_backoff;
        }
        backoff_bound(rejections).min(self.max_rejection_backoff).max(self.max_backoff)
    }
}

/// Returns a random backoff after `failures` consecutive failures, at most `max`. The randomness spreads the polls of
/// proxies that lost discovery at the same time; the backoff protects a service that is overloaded.
pub fn backoff(failures: u32, max: Duration, rng: &mut ChaCha8Rng) -> Duration {
    let min = MIN_BACKOFF.min(max / 2);
    min.max(backoff_bound(failures).min(max).mul_f64(rng.random()))
}

/// The exponential backoff, before the maximum and the random factor are applied.
fn backoff_bound(failures: u32) -> Duration {
    INITIAL_BACKOFF * 2_u32.pow(failures.saturating_sub(1).min(MAX_BACKOFF_DOUBLINGS))
}
