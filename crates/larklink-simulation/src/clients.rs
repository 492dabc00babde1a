//! Clients: when they come, how long they wait, what they send, when they try again, and how long they stay.
use std::collections::HashMap;

use larklink_balancer::{TickDuration, Timestamp};
use rand::{Rng, RngExt};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp1};

use crate::duration::{EventQueue, SECOND};
use crate::event_log::{ClientRequest, ClientResponse, ConnectionEnd};
use crate::scenario::{ListenerSpec, RetryBehavior};

/// What a client does, for whoever carries it.
#[derive(Clone, Debug, PartialEq)]
pub enum ClientAction {
    Connect(ClientRequest),
    /// Its line of that number.
    SendMessage {
        id: u64,
        number: u64,
    },
    /// It has not had an answer in time, and a little more for one that is late.
    TimeOut {
        id: u64,
    },
    /// It has had what it came for.
    Leave {
        id: u64,
    },
    /// A line has been without one back for longer than any connection may be silent.
    Silent {
        id: u64,
        duration: TickDuration,
    },
}

/// An answer that comes so long after the dial timeout is still seen, as late.
const SEES_LATE: TickDuration = SECOND / 4;
/// Lines out at once; a client that has had none of them back sends no more.
const OUT_AT_ONCE: usize = 8;
/// A connection that brings nothing back from a running server is to be ended within this.
pub const SILENT: TickDuration = 7 * SECOND;

enum ClientTimer {
    Comes(usize),
    Tries(usize),
    GivesUp(u64),
    Line(u64),
    Done(u64),
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum ClientSessionState {
    Waiting,
    Standing,
}

struct Client {
    listener: usize,
    key: u64,
    group: u64,
    from: Timestamp,
    until: Timestamp,
    tries: u32,
    again: bool,
    retry: bool,
}

struct ClientSession {
    client: usize,
    state: ClientSessionState,
    number: u64,
    /// When the lines went out that are not back yet.
    out: Vec<(u64, TickDuration)>,
    heard: Timestamp,
    /// Well served since then; nothing after a line that was late.
    well_from: Option<TickDuration>,
}

/// Figures of a listener.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ListenerTally {
    /// Tenths of a millisecond.
    pub asked: Timestamp,
    pub well: TickDuration,
    pub lines: u64,
    pub late: u64,
    pub gone_without: u64,
}

pub struct Clients {
    listeners: Vec<ListenerSpec>,
    people: Vec<Client>,
    /// Asked for by id only, never in their order.
    sessions: HashMap<u64, ClientSession>,
    timers: EventQueue<ClientTimer>,
    chance: ChaCha8Rng,
    /// No new ones from then on.
    length: TickDuration,
    pub tallies: Vec<ListenerTally>,
    pub waiting: usize,
    pub standing: usize,
}

impl Clients {
    pub fn new(listeners: Vec<ListenerSpec>, length: TickDuration, chance: ChaCha8Rng) -> Self {
        let tallies = vec![ListenerTally::default(); listeners.len()];
        let mut new = Self {
            listeners,
            people: Vec::new(),
            sessions: HashMap::new(),
            timers: EventQueue::default(),
            chance,
            length,
            tallies,
            waiting: 0,
            standing: 0,
        };
        for listener in 0..new.listeners.len() {
            for _ in 0..new.listeners[listener].standing {
                let at = new.share(new.listeners[listener].spread.0, 0.0, 1.0);
                new.comes(at, listener);
            }
            new.next(0, listener);
        }
        new
    }

    /// The work of one line, microseconds of a core.
    pub fn line_work(&self, listener: usize) -> f64 {
        let l = &self.listeners[listener];
        l.load * l.every.0 as f64 * 100.0
    }

    /// The load that one session is, microseconds of work a second.
    pub fn load(&self, listener: usize) -> f64 {
        self.listeners[listener].load * 1e6
    }

    /// The listener of a session's client.
    pub fn listener_of(&self, id: u64) -> Option<usize> {
        self.sessions.get(&id).map(|s| self.people[s.client].listener)
    }

    pub fn next_event_at(&self) -> Timestamp {
        self.timers.next_at()
    }

    fn share(&mut self, of: TickDuration, from: f64, to: f64) -> TickDuration {
        (of as f64 * self.chance.random_range(from..to)) as TickDuration
    }

    fn exponential(&mut self, mean: f64) -> TickDuration {
        let drawn: f64 = Exp1.sample(&mut self.chance);
        (drawn * mean) as TickDuration
    }

    fn next(&mut self, now: Timestamp, listener: usize) {
        let rate = self.listeners[listener].rate;
        if rate > 0.0 {
            let at = now + self.exponential(SECOND as f64 / rate);
            if at < self.length {
                self.timers.push(at, ClientTimer::Comes(listener));
            }
        }
    }

    fn comes(&mut self, at: Timestamp, listener: usize) {
        let l = &self.listeners[listener];
        // As many groups as hold so many clients each in the mean.
        let people = l.standing as f64 + l.rate * l.life.0 as f64 / SECOND as f64;
        let groups = ((people / l.group as f64).ceil() as u64).max(1);
        let life = l.life.0;
        let until = at + self.exponential(life as f64).max(SECOND / 2);
        let drawn = self.chance.random_range(0..groups);
        // Listeners share no groups.
        let group = (drawn + 1) * 0x9e37 + listener as u64;
        let key = self.chance.next_u64();
        self.people.push(Client {
            listener,
            key,
            group,
            from: at,
            until,
            tries: 0,
            again: false,
            retry: false,
        });
        self.tallies[listener].asked += until.min(self.length).saturating_sub(at);
        self.timers.push(at, ClientTimer::Tries(self.people.len() - 1));
    }

    /// All that clients do by now.
    pub fn advance(&mut self, now: Timestamp, acts: &mut Vec<ClientAction>) {
        while let Some((at, due)) = self.timers.pop_due(now) {
            match due {
                ClientTimer::Comes(listener) => {
                    self.comes(at, listener);
                    self.next(at, listener);
                }
                ClientTimer::Tries(client) => self.tries(now, client, acts),
                ClientTimer::GivesUp(id) => {
                    if self.sessions.get(&id).is_some_and(|s| s.state == ClientSessionState::Waiting) {
                        acts.push(ClientAction::TimeOut { id });
                        self.failed(now, id, 0);
                    }
                }
                ClientTimer::Line(id) => self.line(now, id, acts),
                ClientTimer::Done(id) => {
                    if self.sessions.contains_key(&id) {
                        self.over(now, id);
                        acts.push(ClientAction::Leave { id });
                    }
                }
            }
        }
    }

    fn tries(&mut self, now: Timestamp, client: usize, acts: &mut Vec<ClientAction>) {
        let id = self.chance.next_u64();
        let p = &mut self.people[client];
        if now >= self.length || now >= p.until {
            return;
        }
        p.tries += 1;
        let patience = self.listeners[p.listener].dial_timeout.0;
        let ask = ClientRequest {
            client,
            id,
            key: p.key,
            group: p.group,
            listener: p.listener,
            patience,
            reconnecting: p.again,
            retry: p.retry,
        };
        let session = ClientSession {
            client,
            state: ClientSessionState::Waiting,
            number: 0,
            out: Vec::new(),
            heard: now,
            well_from: None,
        };
        self.sessions.insert(id, session);
        self.waiting += 1;
        self.timers.push(now + patience + SEES_LATE, ClientTimer::GivesUp(id));
        acts.push(ClientAction::Connect(ask));
    }

    fn line(&mut self, now: Timestamp, id: u64, acts: &mut Vec<ClientAction>) {
        let Some(session) = self.sessions.get_mut(&id).filter(|s| s.state == ClientSessionState::Standing)
        else {
            return;
        };
        let listener = &self.listeners[self.people[session.client].listener];
        self.timers.push(now + listener.every.0, ClientTimer::Line(id));
        if let Some(&(_, first)) = session.out.first() {
            // What is out for longer than the target is no service, whether or not it comes back.
            if now - first > listener.line_target.0
                && let Some(from) = session.well_from.take()
            {
                self.tallies[self.people[session.client].listener].well += first.saturating_sub(from);
            }
            if now - session.heard > SILENT && listener.deaf_kb == 0 {
                acts.push(ClientAction::Silent { id, duration: now - session.heard });
            }
        }
        if session.out.len() < OUT_AT_ONCE {
            session.number += 1;
            session.out.push((session.number, now));
            acts.push(ClientAction::SendMessage { id, number: session.number });
        }
    }

    /// A session has had its final answer.
    pub fn response_received(&mut self, now: Timestamp, id: u64, answer: ClientResponse) {
        match answer {
            ClientResponse::Accepted => {
                let Some(session) =
                    self.sessions.get_mut(&id).filter(|s| s.state == ClientSessionState::Waiting)
                else {
                    return;
                };
                (session.state, session.heard, session.well_from) =
                    (ClientSessionState::Standing, now, Some(now));
                let client = session.client;
                self.waiting -= 1;
                self.standing += 1;
                let p = &mut self.people[client];
                (p.tries, p.retry, p.again) = (0, false, false);
                let (until, listener) = (p.until, p.listener);
                self.timers.push(until.max(now), ClientTimer::Done(id));
                let first = self.share(self.listeners[listener].every.0, 0.0, 1.0);
                self.timers.push(now + first, ClientTimer::Line(id));
            }
            ClientResponse::Rejected(ms) => self.failed(now, id, ms * 10),
            ClientResponse::Failed => self.failed(now, id, 0),
        }
    }

    /// A session's line is back: how long it was away, if it was out at all, and if that is late.
    pub fn message_returned(&mut self, now: Timestamp, id: u64, number: u64) -> Option<(TickDuration, bool)> {
        let session = self.sessions.get_mut(&id)?;
        session.heard = now;
        let at = session.out.iter().position(|&(n, _)| n == number)?;
        let (_, sent) = session.out.remove(at);
        let listener = self.people[session.client].listener;
        let (took, tally) = (now - sent, &mut self.tallies[listener]);
        tally.lines += 1;
        let late = took > self.listeners[listener].line_target.0;
        if late {
            tally.late += 1;
            if let Some(from) = session.well_from.take() {
                tally.well += sent.saturating_sub(from);
            }
        } else if session.well_from.is_none() {
            session.well_from = Some(now);
        }
        Some((took, late))
    }

    /// A session without an answer that went to a proxy where nobody was, or whose connection ended.
    pub fn ended_without_response(&mut self, now: Timestamp, id: u64) {
        self.failed(now, id, 0);
    }

    /// An accepted session's connection has ended: its client comes again.
    pub fn connection_ended(&mut self, now: Timestamp, id: u64, how: ConnectionEnd) {
        let Some(client) = self.over(now, id).filter(|_| how != ConnectionEnd::Left) else { return };
        let p = &mut self.people[client];
        p.again = true;
        let wait = self.listeners[p.listener].again_after.0;
        let at = now + self.share(wait, 0.5, 1.5);
        self.timers.push(at, ClientTimer::Tries(client));
    }

    fn failed(&mut self, now: Timestamp, id: u64, at_least: TickDuration) {
        let Some(client) = self.over(now, id) else { return };
        let p = &mut self.people[client];
        let listener = p.listener;
        let l = &self.listeners[listener];
        if p.tries >= l.tries || l.retry == RetryBehavior::Never {
            self.tallies[listener].gone_without += 1;
            return;
        }
        p.retry = true;
        let (retry, wait) = (l.retry, l.wait.0.max(at_least));
        let at = match retry {
            RetryBehavior::AtOnce => now + 10,
            _ => now + self.share(wait, 0.5, 1.5).max(at_least),
        };
        self.timers.push(at, ClientTimer::Tries(client));
    }

    /// Ends a session, and says whose it was.
    fn over(&mut self, now: Timestamp, id: u64) -> Option<usize> {
        let session = self.sessions.remove(&id)?;
        match session.state {
            ClientSessionState::Waiting => self.waiting -= 1,
            ClientSessionState::Standing => self.standing -= 1,
        }
        if let Some(from) = session.well_from {
            // A line that is out speaks against the time since it was sent.
            let to = session.out.first().map_or(now, |&(_, sent)| sent).min(self.length);
            let listener = self.people[session.client].listener;
            self.tallies[listener].well += to.saturating_sub(from);
        }
        Some(session.client)
    }

    /// Draws that share of those who stand now, in the order of their clients.
    pub fn sample_established(&mut self, share: f64) -> Vec<u64> {
        let stands = |(&id, s): (&u64, &ClientSession)| {
            (s.state == ClientSessionState::Standing).then_some((s.client, id))
        };
        let mut all: Vec<_> = self.sessions.iter().filter_map(stands).collect();
        all.sort_unstable();
        all.retain(|_| self.chance.random_bool(share.clamp(0.0, 1.0)));
        all.into_iter().map(|(_, id)| id).collect()
    }

    /// Closes the accounts at the end of a run.
    pub fn finish(&mut self, now: Timestamp) {
        let ids: Vec<_> = self.sessions.keys().copied().collect();
        for id in ids {
            self.over(now, id);
        }
    }

    /// The share of those who want a session now, by utility, that have one whose lines come back in time.
    pub fn served_now(&self, now: Timestamp) -> f64 {
        let utility = |p: &Client| self.listeners[p.listener].utility;
        let wants = self.people.iter().filter(|p| (p.from..p.until.min(self.length)).contains(&now));
        let wanted: f64 = wants.map(utility).sum();
        let well = self.sessions.values().filter(|s| {
            let target = self.listeners[self.people[s.client].listener].line_target.0;
            s.well_from.is_some() && s.out.first().is_none_or(|&(_, sent)| now - sent <= target)
        });
        let served: f64 = well.map(|s| utility(&self.people[s.client])).sum();
        if wanted > 0.0 { (served / wanted).min(1.0) } else { 1.0 }
    }

    /// Utility of well-served seconds over seconds asked for.
    pub fn service(&self) -> f64 {
        let sum = |of: fn(&ListenerTally) -> TickDuration| -> f64 {
            self.tallies.iter().zip(&self.listeners).map(|(t, l)| of(t) as f64 * l.utility).sum()
        };
        let asked = sum(|t| t.asked);
        if asked > 0.0 { sum(|t| t.well) / asked } else { 1.0 }
    }
}
