//! The discovery client: polls the endpoint list for as long as the proxy runs, at the latest configured address.
use std::convert::Infallible;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use async_channel::Receiver;
use async_io::Timer;
use futures_lite::{FutureExt, future};
use larklink_balancer::ListScope;
use rand_chacha::ChaCha8Rng;

use crate::discovery::poll::{DiscoveryConnection, PollError, PollProgress, poll};
use crate::discovery::schedule::{MIN_POLL_INTERVAL, PollSchedule, backoff};
use crate::discovery::watch_state::{BackoffRule, PollOutcome, WatchState};
use crate::endpoint_list::EndpointList;
use crate::events::{DecisionEvent, DecisionQueue};
use crate::timeout::with_timeout;

/// Failures that are assumed when the address changes. A proxy counts as notified by the new address four seconds after
/// SIGHUP, so its first poll there uses the short timeouts that apply after a failure.
const INITIAL_FAILURES_AT_NEW_ADDRESS: u32 = 1;

/// Polls the endpoint list until dropped, always at the latest address. A new address resets all state, since list
/// indices of different addresses cannot be compared.
pub async fn follow(
    mut address: SocketAddr,
    new_addresses: Receiver<SocketAddr>,
    schedule: PollSchedule,
    queue: DecisionQueue,
    mut rng: ChaCha8Rng,
) {
    let mut failures = 0;
    loop {
        let mut watch = Watch {
            address,
            schedule: &schedule,
            queue: &queue,
            rng: &mut rng,
            state: WatchState::new(failures),
            idle_connection: None,
        };
        let new_address = async {
            match new_addresses.recv().await {
                Ok(address) => address,
                Err(_) => future::pending().await,
            }
        };
        // A new address cancels the poll or backoff that is in progress.
        address = new_address.or(async { match watch.run().await {} }).await;
        failures = INITIAL_FAILURES_AT_NEW_ADDRESS;
    }
}

/// Polls the endpoint list at one address.
struct Watch<'a> {
    address: SocketAddr,
    schedule: &'a PollSchedule,
    queue: &'a DecisionQueue,
    rng: &'a mut ChaCha8Rng,
    state: WatchState,
    /// The connection of the last poll, if it can be reused.
    idle_connection: Option<DiscoveryConnection>,
}

impl Watch<'_> {
    async fn run(&mut self) -> Infallible {
        loop {
            self.poll_once().await;
        }
    }

    /// Polls once, handles the outcome, and waits until the next poll is due.
    async fn poll_once(&mut self) {
        let polled_at = Instant::now();
        let progress = PollProgress::default();
        match self.poll(&progress).await {
            PollOutcome::ReusedConnectionClosed => self.state.record_closed_connection(polled_at),
            PollOutcome::OutdatedList(list) => self.ignore_outdated(&list, polled_at).await,
            PollOutcome::List(list) => self.apply_list(list, polled_at).await,
            PollOutcome::UnknownChanges(list) => self.reject_changes(&list).await,
            PollOutcome::Failed(error) => self.handle_failure(&error, progress.connected.get()).await,
        }
    }

    /// Polls once, and keeps the connection if it can be reused.
    async fn poll(&mut self, progress: &PollProgress) -> PollOutcome {
        let reused = self.idle_connection.take();
        let is_reused = reused.is_some();
        let path = self.state.request_path(self.schedule);
        let timeouts = self.state.phase_timeouts(self.schedule);
        let total_timeout = self.state.total_timeout(self.schedule);
        let polled = async { Ok(poll(self.address, reused, &path, &timeouts, progress).await) };
        let response = with_timeout(total_timeout, polled).await.unwrap_or_else(|e| Err(PollError::Io(e)));
        match response {
            Ok((list, connection)) => {
                let outcome = self.state.classify(list, is_reused);
                // Any further response on a connection that delivered an outdated list would be late, too.
                let outdated = matches!(outcome, PollOutcome::OutdatedList(_));
                self.idle_connection = connection.filter(|_| !outdated);
                outcome
            }
            Err(error) if is_reused && !progress.response_begun.get() && !error.is_timeout() => {
                PollOutcome::ReusedConnectionClosed
            }
            Err(error) => PollOutcome::Failed(error),
        }
    }

    /// Drops an outdated list. The known index is forgotten as well, so the complete list is polled next.
    async fn ignore_outdated(&mut self, list: &EndpointList, polled_at: Instant) {
        tracing::warn!(address = %self.address, index = list.index, "discovery sent an outdated endpoint list");
        if self.state.record_outdated_list(polled_at) {
            Timer::after(MIN_POLL_INTERVAL).await;
        }
    }

    async fn apply_list(&mut self, list: EndpointList, polled_at: Instant) {
        self.log_if_available_again();
        let is_new = self.state.record_list(&list);
        let scope = if list.snapshot { ListScope::Complete } else { ListScope::Changes };
        if list.snapshot || !list.endpoints.is_empty() {
            self.queue.send(DecisionEvent::EndpointList(scope, list.endpoints)).await;
        }
        // A service that answers long polls at once must not be polled in a tight loop.
        if !is_new && polled_at.elapsed() < MIN_POLL_INTERVAL {
            Timer::after(MIN_POLL_INTERVAL).await;
        }
    }

    async fn reject_changes(&mut self, list: &EndpointList) {
        self.log_if_available_again();
        tracing::warn!(
            address = %self.address,
            index = list.index,
            "discovery sent changes to an unknown endpoint list, polling the complete list"
        );
        let rule = self.state.record_unknown_changes();
        self.back_off(rule).await;
    }

    async fn handle_failure(&mut self, error: &PollError, connected: bool) {
        // Logged once per outage, since polls may fail several times a second.
        if self.state.record_unavailable() {
            tracing::warn!(address = %self.address, %error, "discovery unavailable");
        }
        let rule = self.state.record_failure(error, connected);
        self.queue.send(DecisionEvent::DiscoveryFailed).await;
        self.back_off(rule).await;
    }

    fn log_if_available_again(&mut self) {
        if self.state.record_response() {
            tracing::info!(address = %self.address, "discovery available again");
        }
    }

    async fn back_off(&mut self, rule: BackoffRule) {
        let duration: Duration = match rule {
            BackoffRule::Rejected(rejections) => {
                backoff(rejections, self.schedule.max_rejection_backoff, self.rng)
            }
            BackoffRule::Failed(failures) => backoff(failures, self.schedule.max_backoff, self.rng),
        };
        Timer::after(duration).await;
    }
}
