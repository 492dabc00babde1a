//! When the endpoint list is polled, and how long a poll may take.
use std::time::Duration;

use larklink_balancer::TickDuration;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use crate::clock::to_duration;

/// What discovery has counts as told so long after it had it and could be reached, whatever became of our calls: the
/// operators' term (STANDING, T1). [`PollSchedule::max_notification_delay`] stays under it.
pub const NOTIFICATION_DEADLINE: Duration = Duration::from_secs(6);
/// What a busy machine may take of that: the sums of our own waits leave it free.
pub const SCHEDULING_MARGIN: Duration = Duration::from_millis(500);
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
pub(crate) const EARLY: Duration = Duration::from_millis(100);

/// The spans by which the list is followed, derived so that [`PollSchedule::max_notification_delay`] stays under [`NOTIFICATION_DEADLINE`] whatever the
/// settings say.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PollSchedule {
    /// How long a watch waits while nothing has failed.
    pub long_poll_wait: Duration,
    /// How long a call without a wait may take as long as few have failed, and an answer that has begun.
    pub call_timeout: Duration,
    /// The longest pause after a call that brought nothing.
    pub max_backoff: Duration,
    /// The longest pause after one that was refused, or brought what cannot be read.
    pub max_rejection_backoff: Duration,
}

impl PollSchedule {
    /// From the settings: after how long who has not asked counts as told and how long a server that drains may still
    /// be sent something, both in tenths of a millisecond, and whether lists are asked for of a shared service.
    pub fn new(must_ask_in: TickDuration, drain_grace: TickDuration, on_request: bool) -> Self {
        let wait = (to_duration(must_ask_in) / WAIT).clamp(LEAST_WAIT, LONGEST_WAIT);
        let grace = if drain_grace == 0 { FIRST_PAUSE * OF_GRACE } else { to_duration(drain_grace) };
        let soon = (grace / OF_GRACE).min(wait / 2).clamp(LEAST_SOON, FIRST_PAUSE);
        // Pushed lists lie on this machine, and one that is silent is to be heard within the grace of its return.
        let call = if on_request { CALL } else { (soon * 2).clamp(LEAST_CALL, CALL) };
        Self {
            long_poll_wait: wait,
            call_timeout: call,
            max_backoff: soon,
            max_rejection_backoff: if on_request { wait / 2 } else { soon },
        }
    }

    /// How long the agent may wait with its answer after so many failures in a row. While any has failed, hardly: the
    /// answer shows whether it is there, and a call that hangs is given up before long.
    pub fn long_poll_wait_after(&self, failed: u32) -> Duration {
        if failed == 0 { self.long_poll_wait } else { LEAST_WAIT }
    }

    /// How long a call without a wait may take, and on any the rest of an answer, after so many in a row that had been
    /// connected and took too long.
    pub fn call_timeout_after(&self, unanswered: u32) -> Duration {
        (self.call_timeout * 2u32.pow(unanswered.saturating_sub(QUICK).min(8))).min(LONGEST_CALL)
    }

    /// When a call is given up, after so many failures in a row, and so many of these connected and too long.
    pub fn total_timeout(&self, failed: u32, unanswered: u32) -> Duration {
        self.long_poll_wait_after(failed)
            + if failed == 0 { SLACK } else { self.call_timeout_after(unanswered) }
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
    /// For any `n`, `max_notification_delay(n, 1)` is what a call under way at that moment can cost, and `max_notification_delay(0, 3)` what three
    /// failures in a row after it can, in any order.
    pub fn max_notification_delay(&self, before: u32, more: u32) -> Duration {
        let failure = |n: u32| {
            let pause = match (before, n) {
                // A watch that hangs for long was not refused.
                (0, 0) => self.max_backoff,
                (0, n) => self.longest_pause(n),
                (_, n) => self.longest_pause(n + 1),
            };
            self.total_timeout(n, n) + pause
        };
        let first = if before == 0 { EARLY * 2 } else { Duration::ZERO };
        let last = before + more;
        first + (before..last).map(failure).sum::<Duration>() + self.call_timeout_after(last)
    }

    /// The longest pause after the `n`th refusal in a row.
    fn longest_pause(&self, n: u32) -> Duration {
        grown(n).min(self.max_rejection_backoff).max(self.max_backoff)
    }
}

/// How long to wait after so many failures in a row, drawn by chance: proxies that lost discovery together must
/// not come back together, nor ask as often as ever of a service that has more to do than it can. No more than `most`.
pub fn backoff(failed: u32, most: Duration, chance: &mut ChaCha8Rng) -> Duration {
    LEAST_PAUSE.min(most / 2).max(grown(failed).min(most).mul_f64(chance.random()))
}

fn grown(failed: u32) -> Duration {
    FIRST_PAUSE * 2u32.pow(failed.saturating_sub(1).min(16))
}
