//! The discovery client: polls the endpoint list for as long as the proxy runs, at the latest configured address.
use std::convert::Infallible;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use async_channel::Receiver;
use async_io::Timer;
use futures_lite::{FutureExt, future};
use larklink_balancer::ListScope;
use rand_chacha::ChaCha8Rng;

use crate::discovery::pending_polls::{PendingPoll, PendingPolls, PollResponse};
use crate::discovery::poll::{DiscoveryConnection, PollError, PollProgress, poll};
use crate::discovery::schedule::{MIN_POLL_INTERVAL, POLL_TIMEOUT, PollSchedule, backoff};
use crate::discovery::watch_state::{BackoffRule, PollOutcome, WatchState};
use crate::endpoint_list::EndpointList;
use crate::events::{DecisionEvent, DecisionQueue};
use crate::metrics::Metrics;
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
    metrics: Arc<Metrics>,
    mut rng: ChaCha8Rng,
) {
    let mut failures = 0;
    loop {
        let mut watch = Watch {
            address,
            schedule: &schedule,
            queue: &queue,
            metrics: &metrics,
            rng: &mut rng,
            state: WatchState::new(failures),
            idle_connection: None,
            pending: PendingPolls::default(),
            next_poll_at: Instant::now(),
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
    metrics: &'a Metrics,
    rng: &'a mut ChaCha8Rng,
    state: WatchState,
    /// The connection of the last poll, if it can be reused.
    idle_connection: Option<DiscoveryConnection>,
    /// Earlier polls that may be answered yet.
    pending: PendingPolls,
    /// When the next poll is due.
    next_poll_at: Instant,
}

/// How the wait for a poll ends.
enum PollEnd {
    /// The poll has ended.
    Ended(Result<PollResponse, PollError>),
    /// An earlier poll was answered.
    EarlierAnswered(PollResponse),
    TimedOut,
}

impl Watch<'_> {
    async fn run(&mut self) -> Infallible {
        loop {
            self.poll_once().await;
        }
    }

    /// Polls once when the next poll is due, unless an earlier one is answered, and handles the outcome.
    async fn poll_once(&mut self) {
        let earlier = self.wait_until_due().await;
        let polled_at = Instant::now();
        let progress = Rc::new(PollProgress::default());
        let outcome = match earlier {
            Some(response) => self.accept(response),
            None => self.poll(&progress).await,
        };
        match outcome {
            PollOutcome::ReusedConnectionClosed => self.state.record_closed_connection(polled_at),
            PollOutcome::OutdatedList(list) => self.ignore_outdated(&list, polled_at).await,
            PollOutcome::List(list) => self.apply_list(list, polled_at).await,
            PollOutcome::UnknownChanges(list) => self.reject_changes(&list),
            PollOutcome::Failed(error) => self.handle_failure(&error, progress.connected.get()).await,
        }
    }

    /// Waits until the next poll is due. Returns the response of an earlier one if that comes first.
    async fn wait_until_due(&mut self) -> Option<PollResponse> {
        let due = async {
            Timer::at(self.next_poll_at).await;
            None
        };
        let earlier = async { Some(self.pending.response().await) };
        earlier.or(due).await
    }

    /// Polls once, unless an earlier poll is answered meanwhile.
    async fn poll(&mut self, progress: &Rc<PollProgress>) -> PollOutcome {
        let reused = self.idle_connection.take();
        let is_reused = reused.is_some();
        let mut poll = self.start_poll(reused, progress);
        let total_timeout = self.state.total_timeout(self.schedule);
        let ended = async { PollEnd::Ended((&mut poll).await) };
        let earlier = async { PollEnd::EarlierAnswered(self.pending.response().await) };
        let timed_out = async {
            Timer::after(total_timeout).await;
            PollEnd::TimedOut
        };
        match earlier.or(ended).or(timed_out).await {
            PollEnd::EarlierAnswered(response) | PollEnd::Ended(Ok(response)) => self.accept(response),
            PollEnd::Ended(Err(error))
                if is_reused && !progress.response_begun.get() && !error.is_timeout() =>
            {
                PollOutcome::ReusedConnectionClosed
            }
            PollEnd::Ended(Err(error)) => PollOutcome::Failed(error),
            PollEnd::TimedOut => {
                let may_be_answered = progress.connected.get() && !progress.response_begun.get();
                if self.schedule.keeps_unanswered_polls && may_be_answered {
                    self.pending.keep(poll);
                }
                PollOutcome::Failed(PollError::Io(ErrorKind::TimedOut.into()))
            }
        }
    }

    /// Starts a poll. It is given up after [`POLL_TIMEOUT`].
    fn start_poll(&self, reused: Option<DiscoveryConnection>, progress: &Rc<PollProgress>) -> PendingPoll {
        let address = self.address;
        let path = self.state.request_path(self.schedule);
        let timeouts = self.state.phase_timeouts(self.schedule);
        let progress = Rc::clone(progress);
        let on_reused_connection = reused.is_some();
        let polled = async move { Ok(poll(address, reused, &path, &timeouts, &progress).await) };
        Box::pin(async move {
            let (list, connection) = with_timeout(POLL_TIMEOUT, polled).await??;
            Ok(PollResponse { list, connection, on_reused_connection })
        })
    }

    /// Classifies a response, and keeps its connection if it can be reused. Other polls are given up: whatever they
    /// bring is older, or is polled for again. A backoff ends, since a long poll must follow at once to continue.
    fn accept(&mut self, response: PollResponse) -> PollOutcome {
        self.pending.clear();
        self.next_poll_at = Instant::now();
        let outcome = self.state.classify(response.list, response.on_reused_connection);
        // Any further response on a connection that delivered an outdated list would be late, too.
        let outdated = matches!(outcome, PollOutcome::OutdatedList(_));
        self.idle_connection = response.connection.filter(|_| !outdated);
        outcome
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

    fn reject_changes(&mut self, list: &EndpointList) {
        self.log_if_available_again();
        tracing::warn!(
            address = %self.address,
            index = list.index,
            "discovery sent changes to an unknown endpoint list, polling the complete list"
        );
        let rule = self.state.record_unknown_changes();
        self.back_off(rule);
    }

    async fn handle_failure(&mut self, error: &PollError, connected: bool) {
        if error.is_list_too_long() {
            self.metrics.record_list_too_long();
        }
        // Logged once per outage, since polls may fail several times a second.
        if self.state.record_unavailable() {
            tracing::warn!(address = %self.address, %error, "discovery unavailable");
        }
        let rule = self.state.record_failure(error, connected);
        self.queue.send(DecisionEvent::DiscoveryFailed).await;
        self.back_off(rule);
    }

    fn log_if_available_again(&mut self) {
        if self.state.record_response() {
            tracing::info!(address = %self.address, "discovery available again");
        }
    }

    fn back_off(&mut self, rule: BackoffRule) {
        let duration: Duration = match rule {
            BackoffRule::Rejected(rejections) => {
                backoff(rejections, self.schedule.max_rejection_backoff, self.rng)
            }
            BackoffRule::Failed(failures) => backoff(failures, self.schedule.max_backoff, self.rng),
        };
        self.next_poll_at = Instant::now() + duration;
    }
}
