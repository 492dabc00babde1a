//! The discovery client: polls the endpoint list without end, at the latest address that it was given.
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

/// A proxy has to be notified by a new address four seconds after SIGHUP: its first poll is timed like one after a
/// failure.
const FAILURES_AT_NEW_ADDRESS: u32 = 1;

/// Follows the endpoint list for as long as it is run, always at the latest address. A new address starts a new watch:
/// list indices of another address cannot be compared.
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
        // A new address drops the watch of the old one wherever it waits.
        address = new_address.or(async { match watch.run().await {} }).await;
        failures = FAILURES_AT_NEW_ADDRESS;
    }
}

/// Polls at one address.
struct Watch<'a> {
    address: SocketAddr,
    schedule: &'a PollSchedule,
    queue: &'a DecisionQueue,
    rng: &'a mut ChaCha8Rng,
    state: WatchState,
    /// The connection of the last poll, if the next can use it.
    idle_connection: Option<DiscoveryConnection>,
}

impl Watch<'_> {
    async fn run(&mut self) -> Infallible {
        loop {
            self.poll_once().await;
        }
    }

    /// Polls, acts on the outcome, and rests as long as that asks for.
    async fn poll_once(&mut self) {
        let polled_at = Instant::now();
        let progress = PollProgress::default();
        match self.poll(&progress).await {
            PollOutcome::ReusedConnectionClosed => self.state.record_closed_connection(polled_at),
            PollOutcome::OutdatedList(list) => self.ignore_outdated(&list, polled_at).await,
            PollOutcome::List(list) => self.accept(list, polled_at).await,
            PollOutcome::UnknownChanges(list) => self.reject_changes(&list).await,
            PollOutcome::Failed(error) => self.fail(&error, progress.connected.get()).await,
        }
    }

    /// Polls, and keeps the connection open where the next poll can use it.
    async fn poll(&mut self, progress: &PollProgress) -> PollOutcome {
        let reused = self.idle_connection.take();
        let is_reused = reused.is_some();
        let path = self.state.request_path(self.schedule);
        let timeouts = self.state.part_timeouts(self.schedule);
        let total_timeout = self.state.total_timeout(self.schedule);
        let polled = async { Ok(poll(self.address, reused, &path, &timeouts, progress).await) };
        let response = with_timeout(total_timeout, polled).await.unwrap_or_else(|e| Err(PollError::Io(e)));
        match response {
            Ok((list, connection)) => {
                let outcome = self.state.classify(list, is_reused);
                // What else a connection with an outdated list brings would be outdated, too.
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

    async fn ignore_outdated(&mut self, list: &EndpointList, polled_at: Instant) {
        tracing::warn!(address = %self.address, index = list.index, "discovery sent an outdated endpoint list");
        if self.state.record_outdated_list(polled_at) {
            Timer::after(MIN_POLL_INTERVAL).await;
        }
    }

    async fn accept(&mut self, list: EndpointList, polled_at: Instant) {
        self.log_response();
        let is_new = self.state.record_list(&list);
        let scope = if list.snapshot { ListScope::Complete } else { ListScope::Changes };
        if list.snapshot || !list.endpoints.is_empty() {
            self.queue.send(DecisionEvent::EndpointList(scope, list.endpoints)).await;
        }
        // Discovery that does not hold its responses must not be polled in a tight loop.
        if !is_new && polled_at.elapsed() < MIN_POLL_INTERVAL {
            Timer::after(MIN_POLL_INTERVAL).await;
        }
    }

    async fn reject_changes(&mut self, list: &EndpointList) {
        self.log_response();
        tracing::warn!(
            address = %self.address,
            index = list.index,
            "discovery sent changes to an unknown endpoint list, polling the complete list"
        );
        let rule = self.state.record_unknown_changes();
        self.back_off(rule).await;
    }

    async fn fail(&mut self, error: &PollError, connected: bool) {
        // Logged once per outage, as polls may fail several times a second.
        if self.state.record_unavailable() {
            tracing::warn!(address = %self.address, %error, "discovery unavailable");
        }
        let rule = self.state.record_failure(error, connected);
        self.queue.send(DecisionEvent::DiscoveryFailed).await;
        self.back_off(rule).await;
    }

    fn log_response(&mut self) {
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
