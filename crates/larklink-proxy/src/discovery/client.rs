//! The discovery client: polls the endpoint list for as long as the proxy runs, at the latest configured address.
use std::convert::Infallible;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Instant;

use async_channel::Receiver;
use async_io::Timer;
use futures_lite::{FutureExt, future};
use larklink_balancer::ListScope;
use rand_chacha::ChaCha8Rng;

use crate::discovery::open_polls::OpenPolls;
use crate::discovery::poll::{DiscoveryConnection, PollError, PollProgress, PollResponse, poll};
use crate::discovery::poll_task::{EndedPoll, PollTask};
use crate::discovery::schedule::{POLL_TIMEOUT, PollSchedule};
use crate::discovery::watch_state::{ListUse, PollRequest, WatchState};
use crate::endpoint_list::EndpointList;
use crate::events::{DecisionEvent, DecisionQueue};
use crate::metrics::Metrics;
use crate::timeout::with_timeout;

/// What the discovery client needs.
pub struct DiscoveryClient {
    /// The timing of polls.
    pub schedule: PollSchedule,
    /// Whether the process has a list from before its start.
    pub has_list: bool,
    /// The highest version of a list that the process has had.
    pub newest_index: u64,
    /// Where lists are sent.
    pub queue: DecisionQueue,
    /// The metrics of the process.
    pub metrics: Arc<Metrics>,
    /// The source of random intervals.
    pub rng: ChaCha8Rng,
}

/// Polls the endpoint list until dropped, always at the latest address. A new address resets all state, since list
/// indices of different addresses cannot be compared.
pub async fn follow(
    mut client: DiscoveryClient,
    mut address: SocketAddr,
    new_addresses: Receiver<SocketAddr>,
) {
    loop {
        let mut watch = Watch::new(&mut client, address);
        let new_address = async {
            match new_addresses.recv().await {
                Ok(address) => address,
                Err(_) => future::pending().await,
            }
        };
        // A new address cancels the polls and pauses that are in progress.
        address = new_address.or(async { match watch.run().await {} }).await;
        let (has_list, newest_index) = (watch.state.has_list(), watch.state.newest_index());
        client.has_list = has_list;
        client.newest_index = newest_index;
    }
}

/// Polls the endpoint list at one address.
struct Watch<'a> {
    client: &'a mut DiscoveryClient,
    address: SocketAddr,
    state: WatchState,
    /// The connection of the last answered poll, if it can be reused.
    idle_connection: Option<DiscoveryConnection>,
    open_polls: OpenPolls<PollTask>,
    /// The poll of the complete list beside the watch.
    complete_list_poll: Option<PollTask>,
}

/// What happens next at an address.
enum WatchEvent {
    /// The next poll is due.
    PollDue,
    /// The complete list is to be polled beside the watch.
    CompleteListDue,
    /// A poll has ended.
    Ended(EndedPoll),
    /// The poll of the complete list beside the watch has ended.
    CompleteListEnded(Result<PollResponse, PollError>),
}

impl<'a> Watch<'a> {
    fn new(client: &'a mut DiscoveryClient, address: SocketAddr) -> Self {
        let state = WatchState::new(client.schedule, client.has_list, client.newest_index, Instant::now());
        Self {
            client,
            address,
            state,
            idle_connection: None,
            open_polls: OpenPolls::default(),
            complete_list_poll: None,
        }
    }

    async fn run(&mut self) -> Infallible {
        loop {
            match self.next_event().await {
                WatchEvent::PollDue => self.start_due_poll().await,
                WatchEvent::CompleteListDue => self.start_complete_list_poll(),
                WatchEvent::Ended(poll) => self.handle_end(poll).await,
                WatchEvent::CompleteListEnded(result) => self.handle_complete_list(result).await,
            }
        }
    }

    async fn next_event(&mut self) -> WatchEvent {
        let ended = async { WatchEvent::Ended(self.open_polls.next_end().await) };
        let complete_list = &mut self.complete_list_poll;
        let complete_list_at = self.state.complete_list_at();
        let complete_list_ended = async {
            match (complete_list, complete_list_at) {
                (Some(poll), _) => WatchEvent::CompleteListEnded(poll.future.as_mut().await),
                (None, Some(at)) => {
                    Timer::at(at).await;
                    WatchEvent::CompleteListDue
                }
                (None, None) => future::pending().await,
            }
        };
        let due = async {
            Timer::at(self.state.next_poll_at()).await;
            WatchEvent::PollDue
        };
        ended.or(complete_list_ended).or(due).await
    }

    /// Starts the poll that is due. An earlier one that is still open has not been answered in time.
    async fn start_due_poll(&mut self) {
        let newest_responds = self.open_polls.newest().is_some_and(|open| open.progress.response_begun.get());
        if newest_responds && self.state.extend_for_response(Instant::now()) {
            return;
        }
        if self.open_polls.newest().is_some() {
            self.state.record_unanswered();
            self.report_failure(&PollError::Io(ErrorKind::TimedOut.into())).await;
        }
        let request = self.state.start_poll(Instant::now(), &mut self.client.rng);
        let reused = self.idle_connection.take();
        let poll = self.open_poll(request, reused);
        // The kernel repeats a connection attempt too late, and nothing is lost with it.
        self.open_polls.retain(|open| open.progress.connected.get());
        self.open_polls.push(poll);
    }

    fn start_complete_list_poll(&mut self) {
        let request = self.state.start_complete_list_poll(Instant::now(), &mut self.client.rng);
        self.complete_list_poll = Some(self.open_poll(request, None));
    }

    /// Opens a poll. It is given up [`POLL_TIMEOUT`] after discovery may hold its response.
    fn open_poll(&self, request: PollRequest, reused: Option<DiscoveryConnection>) -> PollTask {
        let address = self.address;
        let progress = Rc::new(PollProgress::default());
        let poll_progress = Rc::clone(&progress);
        let on_reused_connection = reused.is_some();
        let future = async move {
            let path = request.path();
            let polled = async { Ok(poll(address, reused, &path, &poll_progress).await) };
            with_timeout(request.wait() + POLL_TIMEOUT, polled).await?
        };
        PollTask { future: Box::pin(future), progress, started_at: Instant::now(), on_reused_connection }
    }

    async fn handle_end(&mut self, poll: EndedPoll) {
        let now = Instant::now();
        match poll.result {
            Ok(response) => {
                self.handle_response(response, poll.on_reused_connection, poll.started_at).await;
            }
            Err(error)
                if poll.on_reused_connection
                    && !poll.progress.response_begun.get()
                    && !error.is_timeout() =>
            {
                self.state.record_closed_connection(poll.started_at, now);
            }
            // That an earlier poll was not answered has been recorded when a later one was started.
            Err(error) if !poll.is_newest && error.is_timeout() => {}
            Err(error) => {
                self.state.record_failure(error.failure(), now, &mut self.client.rng);
                self.report_failure(&error).await;
            }
        }
    }

    /// Handles a response. Other polls are given up: whatever they bring is older, or is polled for again.
    async fn handle_response(
        &mut self,
        response: PollResponse,
        on_reused_connection: bool,
        started_at: Instant,
    ) {
        self.open_polls.clear();
        let PollResponse { list, connection } = response;
        let verdict = self.state.record_list(
            list.header(),
            on_reused_connection,
            started_at,
            Instant::now(),
            &mut self.client.rng,
        );
        // Any further response on a connection that delivered an outdated list would be late, too.
        self.idle_connection = connection.filter(|_| verdict != ListUse::Outdated);
        match verdict {
            ListUse::Apply => self.apply_list(list, false).await,
            ListUse::ApplyOlder => self.apply_list(list, true).await,
            ListUse::Outdated => self.log_outdated(&list),
            ListUse::UnknownChanges => {
                self.log_if_available_again();
                tracing::warn!(
                    address = %self.address,
                    index = list.index,
                    "discovery sent changes to an unknown endpoint list, polling the complete list"
                );
            }
        }
    }

    async fn handle_complete_list(&mut self, result: Result<PollResponse, PollError>) {
        self.complete_list_poll = None;
        match result {
            Ok(response) => match self.state.record_complete_list(response.list.header()) {
                ListUse::Apply => self.apply_list(response.list, false).await,
                ListUse::ApplyOlder => self.apply_list(response.list, true).await,
                _ => self.log_outdated(&response.list),
            },
            Err(error) if error.is_list_too_long() => self.report_failure(&error).await,
            Err(error) => {
                tracing::info!(address = %self.address, %error, "complete endpoint list not received");
            }
        }
    }

    async fn apply_list(&mut self, list: EndpointList, may_be_older: bool) {
        self.log_if_available_again();
        let scope = match (list.snapshot, may_be_older) {
            (true, false) => ListScope::Complete,
            (true, true) => ListScope::OlderComplete,
            (false, false) => ListScope::Changes,
            (false, true) => ListScope::OlderChanges,
        };
        if list.snapshot || !list.endpoints.is_empty() {
            self.client.queue.send(DecisionEvent::EndpointList(scope, list.endpoints)).await;
        }
    }

    async fn report_failure(&mut self, error: &PollError) {
        if error.is_list_too_long() {
            self.client.metrics.record_list_too_long();
        }
        // Logged once per outage, since polls may fail several times a second.
        if self.state.record_unavailable() {
            tracing::warn!(address = %self.address, %error, "discovery unavailable");
        }
        self.client.queue.send(DecisionEvent::DiscoveryFailed).await;
    }

    fn log_outdated(&self, list: &EndpointList) {
        tracing::warn!(address = %self.address, index = list.index, "discovery sent an outdated endpoint list");
    }

    fn log_if_available_again(&mut self) {
        if self.state.record_available() {
            tracing::info!(address = %self.address, "discovery available again");
        }
    }
}
