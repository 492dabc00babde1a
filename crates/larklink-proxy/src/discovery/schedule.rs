//! The bound on how late a change of the endpoint list is received, and the timing of polls that follows from it.
//! Performs no I/O.
//!
//! **The bound.** From the moment in which discovery has a change and can be reached, a proxy receives the change within a
//! deadline, whatever failed before and for however long:
//!
//! - Where lists are pushed, an agent on the proxy's machine answers at once, or is silent while discovery is down. A
//!   draining endpoint gets no new session after the drain grace, counted from the agent's return. So the deadline is
//!   half the drain grace, and the rest is left for the decision and for a process that is held up.
//! - Where all proxies poll one service, the deadline is 6 s. The service answers one poll of each proxy in some seconds.
//!
//! **The schedule.** A poll that is not answered is never a reason to wait: the next one starts when it is due, and
//! earlier ones stay open beside it until one of them is answered. The deadline is kept if the time between the starts
//! of two polls, and the time that an answer takes, fit into it. Nothing else delays a poll, so no failure can.
use std::time::Duration;

use larklink_balancer::TickDuration;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use crate::clock::to_duration;

/// Where all proxies poll one service, a proxy counts as notified of a change this long after the service has it and can
/// be reached, regardless of earlier failures and of the discovery deadline in the settings.
pub const NOTIFICATION_DEADLINE: Duration = Duration::from_secs(6);
/// The part of [`NOTIFICATION_DEADLINE`] that the schedule leaves for scheduling delays on a busy machine.
pub const SCHEDULING_MARGIN: Duration = Duration::from_millis(500);
/// The longest time that a shared service works on a poll that it answers.
pub const LONGEST_SERVICE_TIME: Duration = Duration::from_millis(2700);
/// The shortest outage of discovery after which an agent's return has to be noticed within the drain grace.
pub const SHORTEST_OUTAGE: Duration = Duration::from_secs(2);

/// The wait of a long poll is the discovery deadline divided by this, clamped to the bounds below.
const LONG_POLLS_PER_DEADLINE: u32 = 4;
const MIN_LONG_POLL_WAIT: Duration = Duration::from_millis(100);
const MAX_LONG_POLL_WAIT: Duration = Duration::from_millis(1900);
/// How long after its wait the response to a long poll may take, at most, before the next poll starts.
const LONG_POLL_MARGIN: Duration = Duration::from_millis(400);
/// The wait of a poll that shows whether discovery is available.
const PROBE_WAIT: Duration = Duration::from_millis(100);

/// Where lists are pushed, this many polls start within a drain grace while they fail: the return of an agent is noticed
/// in the first half even if one of them is late.
const POLLS_PER_DRAIN_GRACE: u32 = 4;
/// Without a lower bound a failing agent would be polled in a tight loop.
const MIN_AGENT_POLL_INTERVAL: Duration = Duration::from_millis(10);
const MAX_AGENT_POLL_INTERVAL: Duration = Duration::from_millis(400);

/// Where all proxies poll one service, the time between polls that are not answered, at first. It doubles with each.
const MIN_SERVICE_POLL_INTERVAL: Duration = Duration::from_millis(800);
/// The longest time between polls that are not answered, for each proxy that polls the service: a small fleet leaves a
/// service idle that has come back, while some proxy of a large one always polls.
const SERVICE_POLL_SPACING_PER_PROXY: Duration = Duration::from_millis(65);
const MAX_SERVICE_POLL_INTERVAL: Duration = Duration::from_millis(2600);
/// The time after which a rejected proxy polls again, for each proxy. It must return before the service has answered the
/// polls that wait there, and a large fleet must not make too many polls.
const REJECTION_SPACING_PER_PROXY: Duration = Duration::from_millis(50);
const MIN_REJECTION_INTERVAL: Duration = Duration::from_millis(400);
const MAX_REJECTION_INTERVAL: Duration = Duration::from_millis(950);
/// Intervals are random within this time before their end, or within their second half if that is shorter, so that the
/// polls of proxies that lost a service at the same time spread out.
const MAX_JITTER: Duration = Duration::from_millis(400);
/// Further doublings exceed the longest interval.
const MAX_DOUBLINGS: u32 = 8;

/// How long a poll stays open beyond the wait that it asks for; longer than a shared service works on a poll that it has
/// not rejected.
pub const POLL_TIMEOUT: Duration = Duration::from_millis(3500);
/// The most polls that are open at once, beside the poll of the complete list. They fit the descriptors that are reserved
/// for discovery.
pub const MAX_OPEN_POLLS: usize = 7;
/// Minimum time between the starts of two polls that bring nothing new.
const MIN_POLL_INTERVAL: Duration = Duration::from_millis(100);
/// After changes to an unknown list, the complete list is polled this much later, when the service has answered the
/// polls of the other proxies.
const COMPLETE_LIST_DELAY: Duration = Duration::from_secs(9);

/// Who answers the polls.
#[derive(Clone, Copy, Debug, PartialEq)]
enum PollTarget {
    /// An agent on the proxy's machine, to which lists are pushed.
    LocalAgent,
    /// A service that this many proxies poll; 0 if their number is unknown.
    SharedService(u32),
}

/// The timing of polls, derived from the settings.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PollSchedule {
    target: PollTarget,
    /// How long discovery may hold its response to a long poll, as long as no poll has failed.
    pub long_poll_wait: Duration,
    /// How long after that the next poll starts if there is no response.
    long_poll_margin: Duration,
    /// How long discovery may hold its response after a failure. It is short, so that a response soon shows that
    /// discovery is available.
    pub probe_wait: Duration,
    /// The longest time between the starts of two polls, the first of which is not answered.
    pub min_unanswered_interval: Duration,
    /// Upper bound of the same, however many polls are not answered.
    pub max_unanswered_interval: Duration,
    /// The longest time from a poll that was rejected, or failed in another way, to the next one.
    pub failure_interval: Duration,
    /// The shortest time between the starts of two polls that bring nothing new.
    pub min_poll_interval: Duration,
}

impl PollSchedule {
    /// Derives the schedule from the settings.
    ///
    /// - `discovery_deadline`: how long discovery waits for a poll of a proxy before it considers the proxy notified. The
    ///   wait of a long poll derives from it.
    /// - `drain_grace`: how long a draining endpoint may still be sent sessions; 0 if unknown.
    /// - `polled_discovery`: whether all proxies poll one shared service. If not, lists are pushed to an agent on each
    ///   proxy's machine.
    pub fn new(discovery_deadline: TickDuration, drain_grace: TickDuration, polled_discovery: bool) -> Self {
        let long_poll_wait = (to_duration(discovery_deadline) / LONG_POLLS_PER_DEADLINE)
            .clamp(MIN_LONG_POLL_WAIT, MAX_LONG_POLL_WAIT);
        if polled_discovery {
            return Self::of_shared_service(long_poll_wait, 0);
        }
        let drain_grace = match drain_grace {
            TickDuration::ZERO => MAX_AGENT_POLL_INTERVAL * POLLS_PER_DRAIN_GRACE,
            ticks => to_duration(ticks),
        };
        Self::of_local_agent(long_poll_wait, drain_grace)
    }

    /// Returns the schedule of one of `proxies` proxies that poll one service; 0 if their number is unknown. Proxies of
    /// a small fleet poll more often.
    pub fn with_proxies(self, proxies: u32) -> Self {
        match self.target {
            PollTarget::LocalAgent => self,
            PollTarget::SharedService(_) => Self::of_shared_service(self.long_poll_wait, proxies),
        }
    }

    fn of_local_agent(long_poll_wait: Duration, drain_grace: Duration) -> Self {
        let interval =
            (drain_grace / POLLS_PER_DRAIN_GRACE).clamp(MIN_AGENT_POLL_INTERVAL, MAX_AGENT_POLL_INTERVAL);
        let after_shortest_outage = SHORTEST_OUTAGE + drain_grace.min(LONG_POLL_MARGIN) / 2;
        Self {
            target: PollTarget::LocalAgent,
            long_poll_wait,
            long_poll_margin: (after_shortest_outage - long_poll_wait).min(LONG_POLL_MARGIN),
            // An agent that is available answers before the next poll starts.
            probe_wait: PROBE_WAIT.min(interval * 4 / 5),
            min_unanswered_interval: interval,
            max_unanswered_interval: interval,
            failure_interval: interval,
            min_poll_interval: MIN_POLL_INTERVAL.min(interval),
        }
    }

    fn of_shared_service(long_poll_wait: Duration, proxies: u32) -> Self {
        let fleet = if proxies == 0 { u32::MAX } else { proxies };
        let spacing = |each: Duration| each.saturating_mul(fleet);
        Self {
            target: PollTarget::SharedService(proxies),
            long_poll_wait,
            long_poll_margin: LONG_POLL_MARGIN,
            probe_wait: PROBE_WAIT,
            min_unanswered_interval: MIN_SERVICE_POLL_INTERVAL,
            max_unanswered_interval: spacing(SERVICE_POLL_SPACING_PER_PROXY)
                .clamp(MIN_SERVICE_POLL_INTERVAL, MAX_SERVICE_POLL_INTERVAL),
            failure_interval: spacing(REJECTION_SPACING_PER_PROXY)
                .clamp(MIN_REJECTION_INTERVAL, MAX_REJECTION_INTERVAL),
            min_poll_interval: MIN_POLL_INTERVAL,
        }
    }

    /// Whether all proxies poll one service, where each poll takes a turn.
    pub fn is_shared_service(&self) -> bool {
        matches!(self.target, PollTarget::SharedService(_))
    }

    /// Returns how much longer the next poll waits once a response has begun, except that to a long poll. An agent answers
    /// at once: what takes long is to receive a long list on a busy machine, and another poll would bring it again. At a
    /// shared service the deadline leaves no time for that.
    pub fn response_extension(&self) -> Duration {
        if self.is_shared_service() { Duration::ZERO } else { self.max_unanswered_interval }
    }

    /// Returns the longest time from the start of a long poll to the start of the next poll.
    pub fn long_poll_interval(&self) -> Duration {
        self.long_poll_wait + self.long_poll_margin
    }

    /// Returns the longest time from the start of a poll to the start of the next one, after `unanswered` consecutive
    /// polls that were not answered.
    pub fn unanswered_interval(&self, unanswered: u32) -> Duration {
        let doublings = unanswered.saturating_sub(1).min(MAX_DOUBLINGS);
        (self.min_unanswered_interval * 2_u32.pow(doublings)).min(self.max_unanswered_interval)
    }

    /// Draws the time until the next poll from the end of an interval. Where each proxy has an agent of its own, no other
    /// proxy polls it, and the interval is taken as it is.
    pub fn with_jitter(&self, interval: Duration, rng: &mut ChaCha8Rng) -> Duration {
        if !self.is_shared_service() {
            return interval;
        }
        interval - MAX_JITTER.min(interval / 2).mul_f64(rng.random())
    }

    /// Returns how long after changes to an unknown list the complete list is polled.
    pub(crate) fn complete_list_delay(&self, rng: &mut ChaCha8Rng) -> Duration {
        self.with_jitter(COMPLETE_LIST_DELAY, rng)
    }

    /// Returns the longest time from when a change is available and discovery can be reached until a poll that will be
    /// answered has started, whatever failed before and for however long. A long poll may have started
    /// [`SHORTEST_OUTAGE`] before, where lists are pushed.
    pub fn longest_time_to_poll(&self) -> Duration {
        match self.target {
            PollTarget::LocalAgent => (self.max_unanswered_interval + self.response_extension())
                .max(self.long_poll_interval().saturating_sub(SHORTEST_OUTAGE)),
            PollTarget::SharedService(_) => self.max_unanswered_interval.max(self.long_poll_interval()),
        }
    }

    /// Returns the longest time from when a change is available and discovery is reachable until a poll has started that
    /// is answered, if `failures_before` consecutive polls failed before that moment and `failures_after` more, the poll
    /// in flight included, fail from then on, in whichever way. Without failures before, the first one is a long poll
    /// that has just begun, which two polls that brought nothing new may precede.
    pub fn max_notification_delay(&self, failures_before: u32, failures_after: u32) -> Duration {
        let idle_waits = if failures_before == 0 { self.min_poll_interval * 2 } else { Duration::ZERO };
        let intervals = (failures_before..failures_before + failures_after).map(|failures| match failures {
            0 => self.long_poll_interval(),
            _ => self.unanswered_interval(failures).max(self.failure_interval) + self.response_extension(),
        });
        idle_waits + intervals.sum::<Duration>()
    }
}
