//! How late the testbed's own timers fire: a testbed that is late cannot judge a proxy.
use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_io::Timer;
use hdrhistogram::Histogram;
use serde::Serialize;

use crate::histogram::new_histogram;

/// How often the timer fires.
const INTERVAL: Duration = Duration::from_millis(5);
/// A run in which the timer was once later than this does not count.
const MAX_DELAY: Duration = Duration::from_millis(20);

/// How late the testbed's own timer was, in microseconds; written as a pair.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
#[serde(into = "(u64, u64)")]
pub struct TimerDelay {
    /// At most so late 999 times in 1000.
    pub p999_us: u64,
    /// The latest.
    pub max_us: u64,
}

impl From<TimerDelay> for (u64, u64) {
    fn from(delay: TimerDelay) -> Self {
        (delay.p999_us, delay.max_us)
    }
}

impl TimerDelay {
    /// Whether the run does not count, as it was late itself.
    pub(crate) fn is_too_late(self) -> bool {
        u128::from(self.max_us) > MAX_DELAY.as_micros()
    }
}

/// Records how late its timer is for as long as it is polled.
pub(crate) struct TimerDelayMonitor {
    delays_us: RefCell<Histogram<u64>>,
}

impl TimerDelayMonitor {
    pub(crate) fn new() -> Rc<Self> {
        Rc::new(Self { delays_us: RefCell::new(new_histogram()) })
    }

    /// Never ends.
    pub(crate) async fn run(self: Rc<Self>) {
        loop {
            let due = Instant::now() + INTERVAL;
            Timer::at(due).await;
            let delay = Instant::now().saturating_duration_since(due);
            let _ = self.delays_us.borrow_mut().record(delay.as_micros() as u64);
        }
    }

    pub(crate) fn result(&self) -> TimerDelay {
        let delays_us = self.delays_us.borrow();
        TimerDelay { p999_us: delays_us.value_at_quantile(0.999), max_us: delays_us.max() }
    }
}
