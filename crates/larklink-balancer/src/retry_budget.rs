//! The retry budget, which limits the retries of a proxy in a sliding window and spaces them.

use std::collections::VecDeque;

use crate::settings::{RetryBudgetSettings, Settings};
use crate::time::{TickDuration, Timestamp};

/// The fraction by which the spacing between two retries is reduced for a retry of the highest value.
const MAX_SPACING_DISCOUNT: f64 = 0.5;
/// The tolerance for inaccuracy of the caller's times. A retry that may still be in the window counts; a
/// session that may have left it does not.
const TIME_TOLERANCE: TickDuration = TickDuration::from_ticks(1);

/// Counts sessions and retries in a sliding window. Without a configured budget, all retries are allowed.
#[derive(Debug)]
pub(crate) struct RetryBudget {
    settings: Option<RetryBudgetSettings>,
    /// When the sessions in the window were received, oldest first.
    sessions_received_at: VecDeque<Timestamp>,
    /// When the retries in the window were sent, oldest first.
    retries_sent_at: VecDeque<Timestamp>,
    /// Until this time the predecessor may use the minimum number of retries.
    predecessor_spends_until: Timestamp,
}

impl RetryBudget {
    pub(crate) fn new(settings: &Settings) -> Self {
        Self {
            settings: settings.retry_budget,
            sessions_received_at: VecDeque::new(),
            retries_sent_at: VecDeque::new(),
            predecessor_spends_until: Timestamp::ZERO,
        }
    }

    /// Records that this process takes over from another one, which may still send retries for its sessions.
    /// The minimum number of retries counts as used until the last of those retries has left the window.
    ///
    /// `max_dial_timeout` is the longest time that a client waits; `TickDuration::MAX` if unknown.
    pub(crate) fn take_over_from_predecessor(&mut self, now: Timestamp, max_dial_timeout: TickDuration) {
        let Some(settings) = self.settings else { return };
        let last_retry_within =
            if max_dial_timeout == TickDuration::MAX { settings.window } else { max_dial_timeout };
        self.predecessor_spends_until = now + last_retry_within + settings.window;
    }

    /// Counts a session that has reached this proxy.
    pub(crate) fn record_session(&mut self, now: Timestamp) {
        let Some(settings) = self.settings else { return };
        self.sessions_received_at.push_back(now);
        self.drop_expired(now, settings.window);
    }

    /// Acquires one retry from the budget. Returns false if none may be sent now.
    ///
    /// Retries are spaced over the window so that a burst of failures does not use up the budget at once.
    /// `value` is the value of the retry from 0 to 1: the higher it is, the sooner the retry may follow the
    /// previous one.
    pub(crate) fn try_acquire(&mut self, now: Timestamp, value: f64) -> bool {
        let Some(settings) = self.settings else { return true };
        self.drop_expired(now, settings.window);
        let min_retries = if now < self.predecessor_spends_until { 0.0 } else { settings.min_retries };
        let allowed = min_retries + settings.retry_ratio * self.sessions_received_at.len() as f64;
        let spacing = settings.window.as_ticks_f64() / allowed * (1.0 - value * MAX_SPACING_DISCOUNT);
        let within_budget = self.retries_sent_at.len() as f64 + 1.0 <= allowed;
        let spaced = self.retries_sent_at.back().is_none_or(|&last| (now - last).as_ticks_f64() >= spacing);
        let acquired = within_budget && spaced;
        if acquired {
            self.retries_sent_at.push_back(now);
        }
        acquired
    }

    /// Returns to the budget a retry that was acquired at `acquired_at` but never sent. Later retries still
    /// count.
    pub(crate) fn refund(&mut self, acquired_at: Timestamp) {
        if let Some(position) = self.retries_sent_at.iter().rposition(|sent_at| *sent_at == acquired_at) {
            self.retries_sent_at.remove(position);
        }
    }

    fn drop_expired(&mut self, now: Timestamp, window: TickDuration) {
        while self.sessions_received_at.front().is_some_and(|&at| at + window <= now + TIME_TOLERANCE) {
            self.sessions_received_at.pop_front();
        }
        while self.retries_sent_at.front().is_some_and(|&at| at + window + TIME_TOLERANCE < now) {
            self.retries_sent_at.pop_front();
        }
    }
}
