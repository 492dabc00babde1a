//! The model of the clients: when they arrive and leave, what they send, how long they wait for a response, and when
//! they retry or reconnect.
use std::collections::HashMap;

use rand::{Rng, RngExt};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp1};

use crate::duration::{SECOND, TICKS_PER_MS};
use crate::event_log::{ClientRequest, ClientResponse, ConnectionEnd};
use crate::event_queue::EventQueue;
use crate::scenario::{ListenerSpec, RetryBehavior};
use crate::time::{TickDuration, Timestamp};

/// An action of a client, to be performed by the caller: the simulation or the testbed.
#[derive(Clone, Debug, PartialEq)]
pub enum ClientAction {
    /// Connects and sends a session request.
    Connect(ClientRequest),
    /// Sends a message on an established session.
    SendMessage {
        /// The session id.
        id: u64,
        /// The sequence number of the message, from 1.
        number: u64,
    },
    /// Closes a session that got no response in time.
    TimeOut {
        /// The session id.
        id: u64,
    },
    /// Closes an established session at the end of its stay.
    Leave {
        /// The session id.
        id: u64,
    },
    /// Reports a session on which no message has come back for too long. Nothing has to be performed.
    Silent {
        /// The session id.
        id: u64,
        /// How long nothing has come back.
        duration: TickDuration,
    },
}

/// How long after the dial timeout a client still waits, so that a late response is received and logged.
const LATE_RESPONSE_GRACE: TickDuration = SECOND / 4;
/// The maximum number of messages in flight on a session. The client sends no more until one comes back.
const MAX_MESSAGES_IN_FLIGHT: usize = 8;
/// A connection on which nothing comes back from a running server must be closed within this time.
pub const MAX_SILENCE: TickDuration = 7 * SECOND;
/// The minimum time for which a client stays.
const MIN_STAY: TickDuration = SECOND / 2;
/// The retry delay of a client that retries at once.
const IMMEDIATE_RETRY_DELAY: TickDuration = TICKS_PER_MS;
/// A randomized wait is between these multiples of its mean.
const MIN_WAIT_FRACTION: f64 = 0.5;
const MAX_WAIT_FRACTION: f64 = 1.5;
/// The difference between consecutive group keys of a listener. The listener index is added to each key, so listeners
/// share no groups.
const GROUP_KEY_STEP: u64 = 0x9e37;
/// Microseconds in a second.
const MICROS_PER_SECOND: f64 = 1e6;
/// Microseconds in one tick of a tenth of a millisecond.
const MICROS_PER_TICK: f64 = 100.0;

enum ClientTimer {
    /// A new client of a listener arrives.
    Arrive { listener: usize },
    /// A client sends a session request.
    Request { client: usize },
    /// The time for the response to a session request is over.
    TimeOut { id: u64 },
    /// The next message of a session is due.
    Message { id: u64 },
    /// A client leaves at the end of its stay.
    Leave { id: u64 },
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum ClientSessionState {
    Waiting,
    Established,
}

struct Client {
    listener: usize,
    key: u64,
    group: u64,
    arrives_at: Timestamp,
    leaves_at: Timestamp,
    /// Requests sent since it last had an established session.
    unaccepted_requests: u32,
    reconnecting: bool,
    retry: bool,
}

#[derive(Clone, Copy)]
struct MessageInFlight {
    number: u64,
    sent_at: Timestamp,
}

struct ClientSession {
    client: usize,
    state: ClientSessionState,
    /// The sequence number of its latest message.
    latest_message: u64,
    messages_in_flight: Vec<MessageInFlight>,
    /// When the session was established or a message last came back, whichever is later.
    last_received_at: Timestamp,
    /// Since when the session has been well served; `None` after a late message.
    well_served_since: Option<Timestamp>,
}

/// A message that has come back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReturnedMessage {
    /// The round-trip time.
    pub took: TickDuration,
    /// Whether that exceeds the latency objective.
    pub late: bool,
}

/// Service statistics of the clients of one listener.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ListenerTally {
    /// The total time for which clients wanted a session.
    pub wanted: TickDuration,
    /// The total time for which they were well served: established, with messages that came back within the objective.
    pub well_served: TickDuration,
    /// The number of messages that came back.
    pub messages: u64,
    /// How many of those were late.
    pub late_messages: u64,
    /// The number of clients that gave up without an accepted session.
    pub gave_up: u64,
}

/// The clients of a run and their sessions.
pub struct Clients {
    listeners: Vec<ListenerSpec>,
    clients: Vec<Client>,
    /// By session id. Anything that depends on the order has to sort them, to keep runs reproducible.
    sessions: HashMap<u64, ClientSession>,
    timers: EventQueue<ClientTimer>,
    rng: ChaCha8Rng,
    /// The end of the run: no sessions are opened from then on.
    length: TickDuration,
    /// Service statistics by listener.
    pub tallies: Vec<ListenerTally>,
    /// The number of sessions that wait for a response.
    pub waiting: usize,
    /// The number of established sessions.
    pub established: usize,
}

impl Clients {
    /// Creates the clients of a run of the given length.
    pub fn new(listeners: Vec<ListenerSpec>, length: TickDuration, rng: ChaCha8Rng) -> Self {
        let tallies = vec![ListenerTally::default(); listeners.len()];
        let mut clients = Self {
            listeners,
            clients: Vec::new(),
            sessions: HashMap::new(),
            timers: EventQueue::default(),
            rng,
            length,
            tallies,
            waiting: 0,
            established: 0,
        };
        for listener in 0..clients.listeners.len() {
            for _ in 0..clients.listeners[listener].initial_clients {
                let at = clients.draw_fraction(clients.listeners[listener].initial_spread.0, 0.0, 1.0);
                clients.add_client(at, listener);
            }
            clients.schedule_arrival(0, listener);
        }
        clients
    }

    /// Returns the work of one message, in microseconds on a core of speed 1.
    pub fn message_work(&self, listener: usize) -> f64 {
        let listener = &self.listeners[listener];
        listener.load * listener.message_interval.0 as f64 * MICROS_PER_TICK
    }

    /// Returns the load of one session, in microseconds of work per second.
    pub fn load(&self, listener: usize) -> f64 {
        self.listeners[listener].load * MICROS_PER_SECOND
    }

    /// Returns the listener index of a session, or `None` if the session has ended.
    pub fn listener_of(&self, id: u64) -> Option<usize> {
        self.sessions.get(&id).map(|session| self.listener_index(session))
    }

    fn listener_index(&self, session: &ClientSession) -> usize {
        self.clients[session.client].listener
    }

    /// Returns when [`advance`](Self::advance) has to be called next.
    pub fn next_event_at(&self) -> Timestamp {
        self.timers.next_due_at()
    }

    fn draw_fraction(&mut self, duration: TickDuration, from: f64, to: f64) -> TickDuration {
        (duration as f64 * self.rng.random_range(from..to)) as TickDuration
    }

    fn draw_wait(&mut self, mean: TickDuration) -> TickDuration {
        self.draw_fraction(mean, MIN_WAIT_FRACTION, MAX_WAIT_FRACTION)
    }

    fn draw_exponential(&mut self, mean: f64) -> TickDuration {
        let drawn: f64 = Exp1.sample(&mut self.rng);
        (drawn * mean) as TickDuration
    }

    fn schedule_arrival(&mut self, now: Timestamp, listener: usize) {
        let rate = self.listeners[listener].arrivals_per_second;
        if rate > 0.0 {
            let at = now + self.draw_exponential(SECOND as f64 / rate);
            if at < self.length {
                self.timers.push(at, ClientTimer::Arrive { listener });
            }
        }
    }

    fn add_client(&mut self, at: Timestamp, listener: usize) {
        let spec = &self.listeners[listener];
        // The number of groups that gives each the configured mean number of clients.
        let mean_clients = spec.initial_clients as f64
            + spec.arrivals_per_second * spec.mean_session_duration.0 as f64 / SECOND as f64;
        let groups = ((mean_clients / spec.clients_per_group as f64).ceil() as u64).max(1);
        let mean_session_duration = spec.mean_session_duration.0 as f64;
        let leaves_at = at + self.draw_exponential(mean_session_duration).max(MIN_STAY);
        let group_number = self.rng.random_range(0..groups);
        let group = (group_number + 1) * GROUP_KEY_STEP + listener as u64;
        let key = self.rng.next_u64();
        let client = self.clients.len();
        self.clients.push(Client {
            listener,
            key,
            group,
            arrives_at: at,
            leaves_at,
            unaccepted_requests: 0,
            reconnecting: false,
            retry: false,
        });
        self.tallies[listener].wanted += leaves_at.min(self.length).saturating_sub(at);
        self.timers.push(at, ClientTimer::Request { client });
    }

    /// Adds the actions that are due by `now`.
    pub fn advance(&mut self, now: Timestamp, actions: &mut Vec<ClientAction>) {
        while let Some((due_at, timer)) = self.timers.pop_due(now) {
            match timer {
                ClientTimer::Arrive { listener } => {
                    self.add_client(due_at, listener);
                    self.schedule_arrival(due_at, listener);
                }
                ClientTimer::Request { client } => self.request(now, client, actions),
                ClientTimer::TimeOut { id } => {
                    let session = self.sessions.get(&id);
                    if session.is_some_and(|session| session.state == ClientSessionState::Waiting) {
                        actions.push(ClientAction::TimeOut { id });
                        self.handle_failure(now, id, 0);
                    }
                }
                ClientTimer::Message { id } => self.send_message(now, id, actions),
                ClientTimer::Leave { id } => {
                    if self.sessions.contains_key(&id) {
                        self.end_session(now, id);
                        actions.push(ClientAction::Leave { id });
                    }
                }
            }
        }
    }

    fn request(&mut self, now: Timestamp, client: usize, actions: &mut Vec<ClientAction>) {
        let id = self.rng.next_u64();
        let sender = &mut self.clients[client];
        if now >= self.length || now >= sender.leaves_at {
            return;
        }
        sender.unaccepted_requests += 1;
        let dial_timeout = self.listeners[sender.listener].dial_timeout.0;
        let request = ClientRequest {
            client,
            id,
            key: sender.key,
            group: sender.group,
            listener: sender.listener,
            dial_timeout,
            reconnecting: sender.reconnecting,
            retry: sender.retry,
        };
        let session = ClientSession {
            client,
            state: ClientSessionState::Waiting,
            latest_message: 0,
            messages_in_flight: Vec::new(),
            last_received_at: now,
            well_served_since: None,
        };
        self.sessions.insert(id, session);
        self.waiting += 1;
        self.timers.push(now + dial_timeout + LATE_RESPONSE_GRACE, ClientTimer::TimeOut { id });
        actions.push(ClientAction::Connect(request));
    }

    fn send_message(&mut self, now: Timestamp, id: u64, actions: &mut Vec<ClientAction>) {
        let session = self.sessions.get_mut(&id);
        let established = session.filter(|session| session.state == ClientSessionState::Established);
        let Some(session) = established else { return };
        let listener_index = self.clients[session.client].listener;
        let listener = &self.listeners[listener_index];
        self.timers.push(now + listener.message_interval.0, ClientTimer::Message { id });
        if let Some(&oldest) = session.messages_in_flight.first() {
            // A message in flight for longer than the objective ends the well-served time, even if it comes back later.
            if now - oldest.sent_at > listener.message_objective.0
                && let Some(since) = session.well_served_since.take()
            {
                self.tallies[listener_index].well_served += oldest.sent_at.saturating_sub(since);
            }
            let silent_for = now - session.last_received_at;
            if silent_for > MAX_SILENCE && listener.unread_kb == 0 {
                actions.push(ClientAction::Silent { id, duration: silent_for });
            }
        }
        if session.messages_in_flight.len() < MAX_MESSAGES_IN_FLIGHT {
            session.latest_message += 1;
            let number = session.latest_message;
            session.messages_in_flight.push(MessageInFlight { number, sent_at: now });
            actions.push(ClientAction::SendMessage { id, number });
        }
    }

    /// Handles the final response to a session request.
    pub fn response_received(&mut self, now: Timestamp, id: u64, response: ClientResponse) {
        match response {
            ClientResponse::Accepted => self.session_established(now, id),
            ClientResponse::Rejected(retry_after_ms) => {
                self.handle_failure(now, id, retry_after_ms * TICKS_PER_MS);
            }
            ClientResponse::Failed => self.handle_failure(now, id, 0),
        }
    }

    fn session_established(&mut self, now: Timestamp, id: u64) {
        let session = self.sessions.get_mut(&id);
        let waiting = session.filter(|session| session.state == ClientSessionState::Waiting);
        let Some(session) = waiting else { return };
        session.state = ClientSessionState::Established;
        session.last_received_at = now;
        session.well_served_since = Some(now);
        self.waiting -= 1;
        self.established += 1;
        let client = &mut self.clients[session.client];
        client.unaccepted_requests = 0;
        client.retry = false;
        client.reconnecting = false;
        let listener = client.listener;
        self.timers.push(client.leaves_at.max(now), ClientTimer::Leave { id });
        let first = self.draw_fraction(self.listeners[listener].message_interval.0, 0.0, 1.0);
        self.timers.push(now + first, ClientTimer::Message { id });
    }

    /// Handles a message that has come back. Returns `None` if it was not in flight.
    pub fn message_returned(&mut self, now: Timestamp, id: u64, number: u64) -> Option<ReturnedMessage> {
        let session = self.sessions.get_mut(&id)?;
        session.last_received_at = now;
        let index = session.messages_in_flight.iter().position(|message| message.number == number)?;
        let MessageInFlight { sent_at, .. } = session.messages_in_flight.remove(index);
        let listener = self.clients[session.client].listener;
        let tally = &mut self.tallies[listener];
        let took = now - sent_at;
        let late = took > self.listeners[listener].message_objective.0;
        tally.messages += 1;
        if late {
            tally.late_messages += 1;
            if let Some(since) = session.well_served_since.take() {
                tally.well_served += sent_at.saturating_sub(since);
            }
        } else if session.well_served_since.is_none() {
            session.well_served_since = Some(now);
        }
        Some(ReturnedMessage { took, late })
    }

    /// Handles a session that got no response because its proxy was unreachable or its connection ended.
    pub fn ended_without_response(&mut self, now: Timestamp, id: u64) {
        self.handle_failure(now, id, 0);
    }

    /// Handles the end of the connection of an established session. The client reconnects unless it left itself.
    pub fn connection_ended(&mut self, now: Timestamp, id: u64, end: ConnectionEnd) {
        let ended = self.end_session(now, id);
        let Some(client) = ended.filter(|_| end != ConnectionEnd::Left) else { return };
        self.clients[client].reconnecting = true;
        let wait = self.listeners[self.clients[client].listener].reconnect_wait.0;
        let at = now + self.draw_wait(wait);
        self.timers.push(at, ClientTimer::Request { client });
    }

    /// Handles a session that was not accepted. Its client retries, but not before `retry_after`, or gives up.
    fn handle_failure(&mut self, now: Timestamp, id: u64, retry_after: TickDuration) {
        let Some(client) = self.end_session(now, id) else { return };
        let sender = &mut self.clients[client];
        let listener = &self.listeners[sender.listener];
        if sender.unaccepted_requests >= listener.max_client_attempts
            || listener.retry == RetryBehavior::Never
        {
            self.tallies[sender.listener].gave_up += 1;
            return;
        }
        sender.retry = true;
        let mean_wait = listener.retry_wait.0.max(retry_after);
        let at = match listener.retry {
            RetryBehavior::AtOnce => now + IMMEDIATE_RETRY_DELAY,
            RetryBehavior::After | RetryBehavior::Never => now + self.draw_wait(mean_wait).max(retry_after),
        };
        self.timers.push(at, ClientTimer::Request { client });
    }

    /// Removes a session and returns its client.
    fn end_session(&mut self, now: Timestamp, id: u64) -> Option<usize> {
        let session = self.sessions.remove(&id)?;
        match session.state {
            ClientSessionState::Waiting => self.waiting -= 1,
            ClientSessionState::Established => self.established -= 1,
        }
        if let Some(since) = session.well_served_since {
            // The time since the oldest message in flight was sent does not count as well served.
            let oldest = session.messages_in_flight.first();
            let to = oldest.map_or(now, |message| message.sent_at).min(self.length);
            let listener = self.listener_index(&session);
            self.tallies[listener].well_served += to.saturating_sub(since);
        }
        Some(session.client)
    }

    /// Selects a random fraction of the established sessions, ordered by client.
    pub fn sample_established(&mut self, share: f64) -> Vec<u64> {
        let established = |(&id, session): (&u64, &ClientSession)| {
            (session.state == ClientSessionState::Established).then_some((session.client, id))
        };
        let mut sampled: Vec<_> = self.sessions.iter().filter_map(established).collect();
        sampled.sort_unstable();
        sampled.retain(|_| self.rng.random_bool(share.clamp(0.0, 1.0)));
        sampled.into_iter().map(|(_, id)| id).collect()
    }

    /// Removes all sessions at the end of a run and completes the statistics.
    pub fn finish(&mut self, now: Timestamp) {
        let ids: Vec<_> = self.sessions.keys().copied().collect();
        for id in ids {
            self.end_session(now, id);
        }
    }

    /// Returns the fraction of the clients that currently want a session whose messages come back in time, weighted by
    /// priority weight.
    pub fn current_service(&self, now: Timestamp) -> f64 {
        let priority_weight = |client: &Client| self.listeners[client.listener].priority_weight;
        let wants = |client: &&Client| (client.arrives_at..client.leaves_at.min(self.length)).contains(&now);
        let wanted: f64 = self.clients.iter().filter(wants).map(priority_weight).sum();
        let well_served = self.sessions.values().filter(|session| {
            let objective = self.listeners[self.listener_index(session)].message_objective.0;
            let oldest = session.messages_in_flight.first();
            session.well_served_since.is_some()
                && oldest.is_none_or(|message| now - message.sent_at <= objective)
        });
        let served: f64 = well_served.map(|session| priority_weight(&self.clients[session.client])).sum();
        if wanted > 0.0 { (served / wanted).min(1.0) } else { 1.0 }
    }

    /// Returns the well-served time as a fraction of the wanted time, weighted by priority weight.
    pub fn service(&self) -> f64 {
        let sum = |time: fn(&ListenerTally) -> TickDuration| -> f64 {
            let by_listener = self.tallies.iter().zip(&self.listeners);
            by_listener.map(|(tally, listener)| time(tally) as f64 * listener.priority_weight).sum()
        };
        let wanted = sum(|tally| tally.wanted);
        if wanted > 0.0 { sum(|tally| tally.well_served) / wanted } else { 1.0 }
    }
}
