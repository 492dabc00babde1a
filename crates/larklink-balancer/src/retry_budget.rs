//! The retry budget: how many retries a proxy may send within any window, and how they are spaced.

use std::collections::VecDeque;

use crate::settings::{RetryBudgetSettings, Settings};
use crate::time::{TickDuration, Timestamp};

/// How much of the spacing between two retries the most valuable retry is spared.
const MAX_SPACING_DISCOUNT: f64 = 0.5;
/// The caller's times may be off by this much: a retry that may still lie in the window counts, a session that
/// may have left it does not.
const TIME_INACCURACY: TickDuration = TickDuration::from_ticks(1);

/// Counts sessions and retries in a sliding window; without a configured budget, everything is allowed.
#[derive(Debug)]
pub(crate) struct RetryBudget {
    settings: Option<RetryBudgetSettings>,
    /// When the sessions of the window were received, oldest first.
    sessions_received_at: VecDeque<Timestamp>,
    /// When the retries of the window were sent, oldest first.
    retries_sent_at: VecDeque<Timestamp>,
    /// Until then the process before this one may spend the minimum number of retries.
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

    /// Another process of this proxy received its sessions until now and may still send retries for them: the
    /// minimum number of retries counts as spent until the last of those retries has left the window.
    ///
    /// `max_dial_timeout` is the longest time for which a client waits, `TickDuration::MAX` if unknown.
    pub(crate) fn take_over(&mut self, now: Timestamp, max_dial_timeout: TickDuration) {
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

    /// Takes one retry out of the budget; false if none may be sent now.
    ///
    /// Retries are spaced over the window so that a storm of failures leaves some for its end. `value`, from 0
    /// to 1, says how much this retry is worth: the more, the sooner it may follow the one before.
    pub(crate) fn try_acquire(&mut self, now: Timestamp, value: f64) -> bool {
        let Some(settings) = self.settings else { return true };
        self.drop_expired(now, settings.window);
        let min_retries = if now < self.predecessor_spends_until { 0.0 } else { settings.min_retries };
        let allowed = min_retries + settings.retry_ratio * self.sessions_received_at.len() as f64;
        let spacing = settings.window.as_f64() / allowed * (1.0 - value * MAX_SPACING_DISCOUNT);
        let within_budget = self.retries_sent_at.len() as f64 + 1.0 <= allowed;
        let spaced = self.retries_sent_at.back().is_none_or(|&last| (now - last).as_f64() >= spacing);
        let acquired = within_budget && spaced;
        if acquired {
            self.retries_sent_at.push_back(now);
        }
        acquired
    }

    /// Gives back a retry that was acquired at `acquired_at` but never sent. Later ones still count.
    pub(crate) fn refund(&mut self, acquired_at: Timestamp) {
        if let Some(position) = self.retries_sent_at.iter().rposition(|sent_at| *sent_at == acquired_at) {
            self.retries_sent_at.remove(position);
        }
    }

    fn drop_expired(&mut self, now: Timestamp, window: TickDuration) {
        while self.sessions_received_at.front().is_some_and(|&at| at + window <= now + TIME_INACCURACY) {
            self.sessions_received_at.pop_front();
        }
        while self.retries_sent_at.front().is_some_and(|&at| at + window + TIME_INACCURACY < now) {
            self.retries_sent_at.pop_front();
        }
    }
}
