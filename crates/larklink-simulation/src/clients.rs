//! Clients: when they come, how long they wait, what they send, when they retry, and how long they stay.
use std::collections::HashMap;

use rand::{Rng, RngExt};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp1};

use crate::duration::{SECOND, TICKS_PER_MS};
use crate::event_log::{ClientRequest, ClientResponse, ConnectionEnd};
use crate::event_queue::EventQueue;
use crate::scenario::{ListenerSpec, RetryBehavior};
use crate::time::{TickDuration, Timestamp};

/// What a client does, for whoever carries it.
#[derive(Clone, Debug, PartialEq)]
pub enum ClientAction {
    /// It connects and sends a request.
    Connect(ClientRequest),
    /// It sends a message.
    SendMessage {
        /// The session.
        id: u64,
        /// The number of the message, from 1.
        number: u64,
    },
    /// It has had no response in time, and leaves.
    TimeOut {
        /// The session.
        id: u64,
    },
    /// It has had what it came for, and leaves.
    Leave {
        /// The session.
        id: u64,
    },
    /// No message has come back for longer than any connection may be silent.
    Silent {
        /// The session.
        id: u64,
        /// For how long.
        duration: TickDuration,
    },
}

/// A response that comes so long after the dial timeout is still received, as a late one.
const LATE_RESPONSE_GRACE: TickDuration = SECOND / 4;
/// The most messages of a client in flight; it sends no more until one comes back.
const MAX_MESSAGES_IN_FLIGHT: usize = 8;
/// A connection that brings nothing back from a running server must be ended within this.
pub const SILENT: TickDuration = 7 * SECOND;
/// The shortest time for which a client stays.
const MIN_STAY: TickDuration = SECOND / 2;
/// How long after a failure a client retries that does so at once.
const RETRY_AT_ONCE_AFTER: TickDuration = TICKS_PER_MS;
/// A wait is drawn between these fractions of its mean.
const MIN_WAIT_FRACTION: f64 = 0.5;
const MAX_WAIT_FRACTION: f64 = 1.5;
/// The distance between the group keys of a listener; listeners share no groups.
const GROUP_KEY_STEP: u64 = 0x9e37;
/// Microseconds in a second.
const MICROS_PER_SECOND: f64 = 1e6;
/// Microseconds in one tick of a tenth of a millisecond.
const MICROS_PER_TICK: f64 = 100.0;

enum ClientTimer {
    /// A new client of a listener comes.
    Arrive { listener: usize },
    /// A client sends a request.
    Request { client: usize },
    /// A session has had no response in time.
    TimeOut { id: u64 },
    /// A message is sent.
    Message { id: u64 },
    /// A client leaves.
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
    /// When it comes and when it leaves.
    from: Timestamp,
    until: Timestamp,
    /// Requests since it last had an established session.
    tries: u32,
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
    /// The number of its latest message.
    latest_message: u64,
    messages_in_flight: Vec<MessageInFlight>,
    /// When it was established, or a message last came back.
    last_received_at: Timestamp,
    /// Since when it is well served; none after a message that was late.
    well_served_from: Option<Timestamp>,
}

/// A message that has come back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReturnedMessage {
    /// How long it took there and back.
    pub took: TickDuration,
    /// Whether that is longer than the objective.
    pub late: bool,
}

/// The service of a listener's clients.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ListenerTally {
    /// The time for which clients wanted a session.
    pub wanted: TickDuration,
    /// The time for which they were well served.
    pub well_served: TickDuration,
    /// Messages that came back.
    pub messages: u64,
    /// Those of them that were late.
    pub late_messages: u64,
    /// Clients that left for good without a session.
    pub gave_up: u64,
}

/// All clients of a run.
pub struct Clients {
    listeners: Vec<ListenerSpec>,
    clients: Vec<Client>,
    /// By id; what depends on their order sorts them first.
    sessions: HashMap<u64, ClientSession>,
    timers: EventQueue<ClientTimer>,
    rng: ChaCha8Rng,
    /// No new sessions from then on.
    length: TickDuration,
    /// For each listener, its clients' service.
    pub tallies: Vec<ListenerTally>,
    /// Sessions without a response.
    pub waiting: usize,
    /// Established sessions.
    pub established: usize,
}

impl Clients {
    /// The clients of a run of that length.
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
                clients.arrive(at, listener);
            }
            clients.schedule_arrival(0, listener);
        }
        clients
    }

    /// The work of one message, microseconds of a core.
    pub fn message_work(&self, listener: usize) -> f64 {
        let listener = &self.listeners[listener];
        listener.load * listener.message_interval.0 as f64 * MICROS_PER_TICK
    }

    /// The load of one session, microseconds of work a second.
    pub fn load(&self, listener: usize) -> f64 {
        self.listeners[listener].load * MICROS_PER_SECOND
    }

    /// The listener of a session.
    pub fn listener_of(&self, id: u64) -> Option<usize> {
        self.sessions.get(&id).map(|session| self.listener_index(session))
    }

    fn listener_index(&self, session: &ClientSession) -> usize {
        self.clients[session.client].listener
    }

    /// When something happens next.
    pub fn next_event_at(&self) -> Timestamp {
        self.timers.next_due_at()
    }

    fn draw_fraction(&mut self, of: TickDuration, from: f64, to: f64) -> TickDuration {
        (of as f64 * self.rng.random_range(from..to)) as TickDuration
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

    fn arrive(&mut self, at: Timestamp, listener: usize) {
        let spec = &self.listeners[listener];
        // As many groups as have the mean number of clients each.
        let mean_clients =
            spec.initial_clients as f64 + spec.arrivals_per_second * spec.mean_stay.0 as f64 / SECOND as f64;
        let groups = ((mean_clients / spec.clients_per_group as f64).ceil() as u64).max(1);
        let mean_stay = spec.mean_stay.0 as f64;
        let until = at + self.draw_exponential(mean_stay).max(MIN_STAY);
        let group_number = self.rng.random_range(0..groups);
        let group = (group_number + 1) * GROUP_KEY_STEP + listener as u64;
        let key = self.rng.next_u64();
        let client = self.clients.len();
        self.clients.push(Client {
            listener,
            key,
            group,
            from: at,
            until,
            tries: 0,
            reconnecting: false,
            retry: false,
        });
        self.tallies[listener].wanted += until.min(self.length).saturating_sub(at);
        self.timers.push(at, ClientTimer::Request { client });
    }

    /// All that clients do by now.
    pub fn advance(&mut self, now: Timestamp, actions: &mut Vec<ClientAction>) {
        while let Some((due_at, timer)) = self.timers.pop_due(now) {
            match timer {
                ClientTimer::Arrive { listener } => {
                    self.arrive(due_at, listener);
                    self.schedule_arrival(due_at, listener);
                }
                ClientTimer::Request { client } => self.request(now, client, actions),
                ClientTimer::TimeOut { id } => {
                    let session = self.sessions.get(&id);
                    if session.is_some_and(|session| session.state == ClientSessionState::Waiting) {
                        actions.push(ClientAction::TimeOut { id });
                        self.failed(now, id, 0);
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
        if now >= self.length || now >= sender.until {
            return;
        }
        sender.tries += 1;
        let patience = self.listeners[sender.listener].dial_timeout.0;
        let request = ClientRequest {
            client,
            id,
            key: sender.key,
            group: sender.group,
            listener: sender.listener,
            patience,
            reconnecting: sender.reconnecting,
            retry: sender.retry,
        };
        let session = ClientSession {
            client,
            state: ClientSessionState::Waiting,
            latest_message: 0,
            messages_in_flight: Vec::new(),
            last_received_at: now,
            well_served_from: None,
        };
        self.sessions.insert(id, session);
        self.waiting += 1;
        self.timers.push(now + patience + LATE_RESPONSE_GRACE, ClientTimer::TimeOut { id });
        actions.push(ClientAction::Connect(request));
    }

    fn send_message(&mut self, now: Timestamp, id: u64, actions: &mut Vec<ClientAction>) {
        let session = self.sessions.get_mut(&id);
        let established = session.filter(|session| session.state == ClientSessionState::Established);
        let Some(session) = established else { return };
        let listener_index = self.clients[session.client].listener;
        let listener = &self.listeners[listener_index];
        self.timers.push(now + listener.message_interval.0, ClientTimer::Message { id });
        if let Some(&first) = session.messages_in_flight.first() {
            // What is in flight for longer than the objective is no service, whether or not it comes back.
            if now - first.sent_at > listener.message_objective.0
                && let Some(from) = session.well_served_from.take()
            {
                self.tallies[listener_index].well_served += first.sent_at.saturating_sub(from);
            }
            let silent_for = now - session.last_received_at;
            if silent_for > SILENT && listener.unread_kb == 0 {
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

    /// The final response to a session.
    pub fn response_received(&mut self, now: Timestamp, id: u64, response: ClientResponse) {
        match response {
            ClientResponse::Accepted => self.established(now, id),
            ClientResponse::Rejected(retry_after_ms) => {
                self.failed(now, id, retry_after_ms * TICKS_PER_MS);
            }
            ClientResponse::Failed => self.failed(now, id, 0),
        }
    }

    fn established(&mut self, now: Timestamp, id: u64) {
        let session = self.sessions.get_mut(&id);
        let waiting = session.filter(|session| session.state == ClientSessionState::Waiting);
        let Some(session) = waiting else { return };
        session.state = ClientSessionState::Established;
        session.last_received_at = now;
        session.well_served_from = Some(now);
        self.waiting -= 1;
        self.established += 1;
        let client = &mut self.clients[session.client];
        client.tries = 0;
        client.retry = false;
        client.reconnecting = false;
        let listener = client.listener;
        self.timers.push(client.until.max(now), ClientTimer::Leave { id });
        let first = self.draw_fraction(self.listeners[listener].message_interval.0, 0.0, 1.0);
        self.timers.push(now + first, ClientTimer::Message { id });
    }

    /// The message of that number is back; nothing if it was not in flight.
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
            if let Some(from) = session.well_served_from.take() {
                tally.well_served += sent_at.saturating_sub(from);
            }
        } else if session.well_served_from.is_none() {
            session.well_served_from = Some(now);
        }
        Some(ReturnedMessage { took, late })
    }

    /// A session had no response: its proxy could not be reached, or its connection ended.
    pub fn ended_without_response(&mut self, now: Timestamp, id: u64) {
        self.failed(now, id, 0);
    }

    /// The connection of an established session has ended: its client reconnects.
    pub fn connection_ended(&mut self, now: Timestamp, id: u64, end: ConnectionEnd) {
        let ended = self.end_session(now, id);
        let Some(client) = ended.filter(|_| end != ConnectionEnd::Left) else { return };
        self.clients[client].reconnecting = true;
        let wait = self.listeners[self.clients[client].listener].reconnect_wait.0;
        let at = now + self.draw_wait(wait);
        self.timers.push(at, ClientTimer::Request { client });
    }

    /// A session was not accepted: its client retries, not before `retry_after`, or leaves for good.
    fn failed(&mut self, now: Timestamp, id: u64, retry_after: TickDuration) {
        let Some(client) = self.end_session(now, id) else { return };
        let sender = &mut self.clients[client];
        let listener = &self.listeners[sender.listener];
        if sender.tries >= listener.max_tries || listener.retry == RetryBehavior::Never {
            self.tallies[sender.listener].gave_up += 1;
            return;
        }
        sender.retry = true;
        let mean_wait = listener.retry_wait.0.max(retry_after);
        let at = match listener.retry {
            RetryBehavior::AtOnce => now + RETRY_AT_ONCE_AFTER,
            RetryBehavior::After | RetryBehavior::Never => now + self.draw_wait(mean_wait).max(retry_after),
        };
        self.timers.push(at, ClientTimer::Request { client });
    }

    /// Ends a session, and returns its client.
    fn end_session(&mut self, now: Timestamp, id: u64) -> Option<usize> {
        let session = self.sessions.remove(&id)?;
        match session.state {
            ClientSessionState::Waiting => self.waiting -= 1,
            ClientSessionState::Established => self.established -= 1,
        }
        if let Some(from) = session.well_served_from {
            // A message in flight speaks against the time since it was sent.
            let first = session.messages_in_flight.first();
            let to = first.map_or(now, |message| message.sent_at).min(self.length);
            let listener = self.listener_index(&session);
            self.tallies[listener].well_served += to.saturating_sub(from);
        }
        Some(session.client)
    }

    /// Draws a share of the established sessions, in the order of their clients.
    pub fn sample_established(&mut self, share: f64) -> Vec<u64> {
        let established = |(&id, session): (&u64, &ClientSession)| {
            (session.state == ClientSessionState::Established).then_some((session.client, id))
        };
        let mut sampled: Vec<_> = self.sessions.iter().filter_map(established).collect();
        sampled.sort_unstable();
        sampled.retain(|_| self.rng.random_bool(share.clamp(0.0, 1.0)));
        sampled.into_iter().map(|(_, id)| id).collect()
    }

    /// Ends all sessions at the end of a run.
    pub fn finish(&mut self, now: Timestamp) {
        let ids: Vec<_> = self.sessions.keys().copied().collect();
        for id in ids {
            self.end_session(now, id);
        }
    }

    /// The share of clients that want a session now, by utility, whose messages come back in time.
    pub fn served_now(&self, now: Timestamp) -> f64 {
        let utility = |client: &Client| self.listeners[client.listener].utility;
        let wants = |client: &&Client| (client.from..client.until.min(self.length)).contains(&now);
        let wanted: f64 = self.clients.iter().filter(wants).map(utility).sum();
        let well_served = self.sessions.values().filter(|session| {
            let objective = self.listeners[self.listener_index(session)].message_objective.0;
            let first = session.messages_in_flight.first();
            session.well_served_from.is_some()
                && first.is_none_or(|message| now - message.sent_at <= objective)
        });
        let served: f64 = well_served.map(|session| utility(&self.clients[session.client])).sum();
        if wanted > 0.0 { (served / wanted).min(1.0) } else { 1.0 }
    }

    /// Utility of well-served time over time asked for.
    pub fn service(&self) -> f64 {
        let sum = |time: fn(&ListenerTally) -> TickDuration| -> f64 {
            let by_listener = self.tallies.iter().zip(&self.listeners);
            by_listener.map(|(tally, listener)| time(tally) as f64 * listener.utility).sum()
        };
        let wanted = sum(|tally| tally.wanted);
        if wanted > 0.0 { sum(|tally| tally.well_served) / wanted } else { 1.0 }
    }
}
