//! The permission to send the first byte of an attempt, which may expire early while the attempt is connecting.
use std::cell::Cell;
use std::time::Instant;

use async_channel::Receiver;
use async_io::Timer;
use futures_lite::{FutureExt, future};
use larklink_balancer::AttemptOutcome;
use larklink_engine::engine::AttemptNumber;

use crate::events::SessionCommand;

/// The send deadline of an attempt. A watch event about its endpoint may bring it forward.
pub(super) struct SendPermit {
    attempt: AttemptNumber,
    send_deadline: Cell<Instant>,
    /// When the attempt times out.
    attempt_deadline: Instant,
    used: Cell<bool>,
}

impl SendPermit {
    /// Creates a permit for an attempt.
    pub(super) fn new(attempt: AttemptNumber, send_deadline: Instant, attempt_deadline: Instant) -> Self {
        Self { attempt, send_deadline: Cell::new(send_deadline), attempt_deadline, used: Cell::new(false) }
    }

    /// Uses the permit if the send deadline has not passed. Returns whether the first byte may be sent now.
    pub(super) fn try_use(&self) -> bool {
        self.used.set(Instant::now() <= self.send_deadline.get());
        self.used.get()
    }

    /// Applies the commands that bring the send deadline forward. Resolves when the permit expires unused, so that the
    /// session is retried at once and not only when the connection is up.
    pub(super) async fn expired(&self, commands: &Receiver<SessionCommand>) -> AttemptOutcome {
        loop {
            let command = async {
                match commands.recv().await {
                    Ok(command) => Some(command),
                    Err(_) => future::pending().await,
                }
            };
            let expiry = async {
                if self.send_deadline.get() >= self.attempt_deadline {
                    return future::pending().await;
                }
                Timer::at(self.send_deadline.get()).await;
                None
            };
            match command.or(expiry).await {
                Some(SessionCommand::LimitSendDeadline { attempt, send_deadline })
                    if attempt == self.attempt =>
                {
                    self.send_deadline.set(send_deadline.min(self.send_deadline.get()));
                }
                Some(_) => {}
                None if self.used.get() => return future::pending().await,
                None => return AttemptOutcome::NotSent,
            }
        }
    }
}
