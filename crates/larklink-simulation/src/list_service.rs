//! A discovery service of fixed capacity that all proxies poll: it works on one call after the other, and turns a call
//! away when its response would take too long.
use std::collections::VecDeque;
use std::time::Duration;

/// The calls that wait for their turn at a discovery service. `C` identifies a call. Times are since the start of the run.
#[derive(Debug)]
pub struct ListService<C> {
    /// How long the service works on a call.
    call_time: Duration,
    /// A call whose response would take longer is turned away.
    timeout: Duration,
    /// The calls, the one that the service works on first.
    calls: VecDeque<C>,
    /// When the work on the first call began.
    began_at: Duration,
}

impl<C: Copy + PartialEq> ListService<C> {
    /// Creates a service without calls.
    ///
    /// - `call_time`: how long it works on a call.
    /// - `timeout`: a call whose response would take longer is turned away.
    pub fn new(call_time: Duration, timeout: Duration) -> Self {
        Self { call_time, timeout, calls: VecDeque::new(), began_at: Duration::ZERO }
    }

    /// Makes a call. Returns whether it is taken in.
    pub fn call(&mut self, now: Duration, call: C) -> bool {
        if self.calls.is_empty() {
            self.began_at = now;
        }
        let worked = now.saturating_sub(self.began_at).min(self.call_time);
        let response_after = self.call_time * (self.calls.len() as u32 + 1) - worked;
        let is_taken_in = response_after <= self.timeout;
        if is_taken_in {
            self.calls.push_back(call);
        }
        is_taken_in
    }

    /// Removes the calls that were given up. If the service works on one of them, it begins with the next.
    pub fn remove_given_up(&mut self, now: Duration, is_given_up: impl Fn(C) -> bool) {
        let first = self.calls.front().copied();
        self.calls.retain(|call| !is_given_up(*call));
        if self.calls.front().copied() != first {
            self.began_at = now;
        }
    }

    /// Returns the next call that the service has worked on.
    pub fn next_done(&mut self, now: Duration) -> Option<C> {
        self.next_done_if(now, |_| true)
    }

    /// Returns the next call that the service has worked on, if it is a certain one.
    pub fn next_done_if(&mut self, now: Duration, is_wanted: impl Fn(C) -> bool) -> Option<C> {
        let done_at = self.began_at + self.call_time;
        let done = self.calls.front().copied().filter(|call| done_at <= now && is_wanted(*call))?;
        self.calls.pop_front();
        self.began_at = done_at;
        Some(done)
    }
}
