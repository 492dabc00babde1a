//! Measures how late the testbed's own timers fire. Delays of the testbed would be blamed on the proxy, so a run in which
//! they are too long does not count.
use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_io::Timer;
use hdrhistogram::Histogram;
use serde::Serialize;

use crate::histogram::new_histogram;

/// The interval at which the timer fires.
const TIMER_INTERVAL: Duration = Duration::from_millis(5);
/// The maximum delay. A run in which the timer is later than this even once does not count.
const MAX_DELAY: Duration = Duration::from_millis(20);

/// How late the testbed's own timer fired, in microseconds. Serialized as a pair.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
#[serde(into = "(u64, u64)")]
pub struct TimerDelay {
    /// The 99.9th percentile.
    pub p999_us: u64,
    /// The maximum.
    pub max_us: u64,
}

impl From<TimerDelay> for (u64, u64) {
    fn from(delay: TimerDelay) -> Self {
        (delay.p999_us, delay.max_us)
    }
}

impl TimerDelay {
    /// Returns whether the delay is so long that the run does not count.
    pub(crate) fn exceeds_limit(self) -> bool {
        u128::from(self.max_us) > MAX_DELAY.as_micros()
    }
}

/// Fires a timer periodically and records how late it is.
pub(crate) struct TimerDelayMonitor {
    delays_us: RefCell<Histogram<u64>>,
}

impl TimerDelayMonitor {
    pub(crate) fn new() -> Rc<Self> {
        Rc::new(Self { delays_us: RefCell::new(new_histogram()) })
    }

    /// Runs the timer. Never returns.
    pub(crate) async fn run(self: Rc<Self>) {
        loop {
            let due = Instant::now() + TIMER_INTERVAL;
            Timer::at(due).await;
            let delay = Instant::now().saturating_duration_since(due);
            let _ = self.delays_us.borrow_mut().record(delay.as_micros() as u64);
        }
    }

    /// Returns the delays recorded so far.
    pub(crate) fn summary(&self) -> TimerDelay {
        let delays_us = self.delays_us.borrow();
        TimerDelay { p999_us: delays_us.value_at_quantile(0.999), max_us: delays_us.max() }
    }
}
