//! A tired server. It works at set-ups and lines with its cores, in the order they came; it is slow while cold
//! and falls over when it is sent more than a multiple of what it can do then; it may pause, go silent, die,
//! drain, and drop what it has just taken.
use std::collections::{BTreeMap, VecDeque};

use larklink_balancer::{TickDuration, Timestamp};

use crate::duration::{EventQueue, SECOND};
use crate::session_store::SessionStore;

/// A connection to a server, numbered by whoever carries it.
pub type ConnectionId = u64;

/// What a server is made of. Work is in microseconds of a core that is warm and of speed 1.
#[derive(Clone, Debug)]
pub struct ServerProfile {
    pub cores: usize,
    pub speed: f64,
    pub holds: usize,
    pub setup_work: f64,
    /// Set-ups are turned away while more work than this waits.
    pub queue: TickDuration,
    pub start_capacity: f64,
    pub warm_up: TickDuration,
    pub fall_multiple: f64,
    pub fall_after: TickDuration,
    /// Whether it dies of that, and after how long it is back.
    pub falls: bool,
    pub back_after: TickDuration,
    /// Load reports are made so often, and are told until the next.
    pub report_every: TickDuration,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerState {
    Up,
    Draining,
    /// Connections stand, nothing is read or written.
    Silent,
    Dead,
}

/// What a server tells of its load when probed.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    pub held: usize,
    /// Share of the last span that its cores worked.
    pub used: f64,
    /// Work asked for in it over what it could have done.
    pub asked: f64,
}

/// What a server says on a connection or does to it.
#[derive(Clone, Debug, PartialEq)]
pub enum ServerMessage {
    Accepted,
    AtCapacity,
    Failed,
    /// The session's load, microseconds of work a second.
    Load(f64),
    Message(Vec<u8>),
    Migrate,
    HealthReport(LoadReport),
    /// The connection breaks.
    Reset,
}

/// What is to be carried out, and what goes into the book.
#[derive(Clone, Debug, PartialEq)]
pub enum ServerOutput {
    Send(ConnectionId, ServerMessage),
    /// A set-up was done for a connection that is gone: it ran all the same.
    RanAfterAbandoned(u64),
    Ran(u64),
    /// Sent more than its multiple for too long, by so much.
    Overloaded(f64),
    Died,
    /// Takes connections (again).
    Started,
}

enum ServerTimer {
    Stored(ConnectionId, bool),
    Ready(ConnectionId),
    Line(ConnectionId, Vec<u8>),
    Pong(ConnectionId),
    Back,
    Wakes,
}

struct ServerSession {
    session: u64,
    load: f64,
    stands: bool,
}

pub struct Server {
    profile: ServerProfile,
    state: ServerState,
    /// When it last started cold; nothing if it was warm from the first.
    cold_since: Option<TickDuration>,
    /// When each core is free.
    cores: Vec<f64>,
    held: BTreeMap<ConnectionId, ServerSession>,
    /// Sessions of connections that were given up while their set-up was under way.
    orphans: BTreeMap<ConnectionId, u64>,
    timers: EventQueue<ServerTimer>,
    paused_until: TickDuration,
    silent_until: TickDuration,
    /// One in so many of those just taken is dropped; 0: none.
    drops: u64,
    taken: u64,
    /// Work received of late, for falling over.
    received: VecDeque<(TickDuration, f64)>,
    sum: f64,
    over: bool,
    report: LoadReport,
    reported: TickDuration,
    worked: f64,
    asked: f64,
    /// All work done so far, microseconds at the speed of a warm core.
    pub done: f64,
}

impl Server {
    pub fn new(profile: ServerProfile) -> Self {
        Self {
            cores: vec![0.0; profile.cores],
            profile,
            state: ServerState::Up,
            cold_since: None,
            held: BTreeMap::new(),
            orphans: BTreeMap::new(),
            timers: EventQueue::default(),
            paused_until: 0,
            silent_until: 0,
            drops: 0,
            taken: 0,
            received: VecDeque::new(),
            sum: 0.0,
            over: false,
            report: LoadReport::default(),
            reported: 0,
            worked: 0.0,
            asked: 0.0,
            done: 0.0,
        }
    }

    pub fn state(&self) -> ServerState {
        self.state
    }

    pub fn sessions_held(&self) -> usize {
        self.held.values().filter(|h| h.stands).count()
    }

    /// When it last started, for the list; nothing if long ago.
    pub fn started(&self) -> Option<TickDuration> {
        self.cold_since
    }

    /// The share of its full capacity that it has now.
    pub fn warmth(&self, now: Timestamp) -> f64 {
        let Some(since) = self.cold_since else { return 1.0 };
        let gone = now.saturating_sub(since) as f64 / (self.profile.warm_up as f64).max(1.0);
        (self.profile.start_capacity + (1.0 - self.profile.start_capacity) * gone).min(1.0)
    }

    /// Microseconds of work that it can do in a second now.
    pub fn capacity(&self, now: Timestamp) -> f64 {
        self.profile.cores as f64 * self.profile.speed * self.warmth(now) * 1e6
    }

    fn cold(&self, now: Timestamp) -> bool {
        self.cold_since.is_some_and(|since| now < since + self.profile.warm_up)
    }

    /// Whether it answers those who connect.
    pub fn listens(&self) -> bool {
        matches!(self.state, ServerState::Up | ServerState::Draining)
    }

    /// A session's first line has come.
    pub fn receive_request(
        &mut self,
        now: Timestamp,
        conn: ConnectionId,
        session: u64,
        load: f64,
        store: &mut SessionStore,
        out: &mut Vec<ServerOutput>,
    ) {
        match self.state {
            ServerState::Dead => return out.push(ServerOutput::Send(conn, ServerMessage::Reset)),
            ServerState::Silent => return,
            ServerState::Draining => return out.push(ServerOutput::Send(conn, ServerMessage::AtCapacity)),
            ServerState::Up => {}
        }
        self.receive(now, self.profile.setup_work, out);
        if self.state == ServerState::Dead {
            return out.push(ServerOutput::Send(conn, ServerMessage::Reset));
        }
        let waits = self.cores.iter().copied().fold(f64::MAX, f64::min) - now as f64;
        if self.held.len() >= self.profile.holds || waits > self.profile.queue as f64 {
            return out.push(ServerOutput::Send(conn, ServerMessage::AtCapacity));
        }
        self.taken += 1;
        if self.drops > 0 && self.taken.is_multiple_of(self.drops) {
            return out.push(ServerOutput::Send(conn, ServerMessage::Reset));
        }
        self.held.insert(conn, ServerSession { session, load, stands: false });
        match store.call(now) {
            Ok(at) => self.timers.push(at, ServerTimer::Stored(conn, true)),
            Err(at) => self.timers.push(at, ServerTimer::Stored(conn, false)),
        }
    }

    /// A line of an accepted session has come; it is sent back when its work is done.
    pub fn receive_message(
        &mut self,
        now: Timestamp,
        conn: ConnectionId,
        work: f64,
        text: Vec<u8>,
        out: &mut Vec<ServerOutput>,
    ) {
        if !self.held.contains_key(&conn) || !self.listens() {
            return;
        }
        self.receive(now, work, out);
        if self.state != ServerState::Dead {
            let at = self.work(now, work);
            self.timers.push(at, ServerTimer::Line(conn, text));
        }
    }

    pub fn check_health(&mut self, now: Timestamp, conn: ConnectionId) {
        if self.listens() {
            self.timers.push(now, ServerTimer::Pong(conn));
        }
    }

    /// A connection has ended from the other side.
    pub fn connection_closed(&mut self, conn: ConnectionId) {
        if let Some(held) = self.held.remove(&conn).filter(|h| !h.stands) {
            self.orphans.insert(conn, held.session);
        }
    }

    /// The first core that is free does it: when it is done.
    fn work(&mut self, now: Timestamp, work: f64) -> TickDuration {
        let speed = self.profile.speed * self.warmth(now);
        let core = self.cores.iter_mut().min_by(|a, b| a.total_cmp(b)).expect("a server has a core");
        // Never faster than it is at the start of the work: it only warms up.
        *core = core.max(now as f64) + work / 100.0 / speed;
        self.done += work;
        self.worked += work;
        core.ceil() as TickDuration
    }

    /// Notes work that was sent here; too much of it for too long, and a cold server falls over.
    fn receive(&mut self, now: Timestamp, work: f64, out: &mut Vec<ServerOutput>) {
        self.asked += work;
        self.received.push_back((now, work));
        self.sum += work;
        while let Some(&(at, old)) =
            self.received.front().filter(|(at, _)| at + self.profile.fall_after <= now)
        {
            debug_assert!(at <= now);
            self.received.pop_front();
            self.sum -= old;
        }
        let may = self.capacity(now) * self.profile.fall_after as f64 / SECOND as f64;
        let ratio = self.sum / may.max(1e-9);
        let over = self.cold(now) && ratio > self.profile.fall_multiple;
        if over && !self.over {
            out.push(ServerOutput::Overloaded(ratio));
            if self.profile.falls {
                self.stop(now, out);
                self.timers.push(now + self.profile.back_after, ServerTimer::Back);
            }
        }
        self.over = over;
    }

    pub fn stop(&mut self, now: Timestamp, out: &mut Vec<ServerOutput>) {
        if self.state == ServerState::Dead {
            return;
        }
        self.state = ServerState::Dead;
        self.timers.clear();
        (self.received, self.sum) = (VecDeque::new(), 0.0);
        self.orphans.clear();
        out.extend(
            std::mem::take(&mut self.held)
                .into_keys()
                .map(|conn| ServerOutput::Send(conn, ServerMessage::Reset)),
        );
        out.push(ServerOutput::Died);
        self.cores.fill(now as f64);
    }

    /// Starts anew: cold from now on.
    pub fn start(&mut self, now: Timestamp, out: &mut Vec<ServerOutput>) {
        self.stop(now, out);
        (self.state, self.cold_since, self.over) = (ServerState::Up, Some(now), false);
        (self.paused_until, self.silent_until) = (0, 0);
        out.push(ServerOutput::Started);
    }

    pub fn drain(&mut self) {
        if self.state == ServerState::Up {
            self.state = ServerState::Draining;
        }
    }

    /// Sends all that still stand away.
    pub fn migrate_sessions(&mut self, out: &mut Vec<ServerOutput>) {
        out.extend(
            std::mem::take(&mut self.held)
                .into_keys()
                .map(|conn| ServerOutput::Send(conn, ServerMessage::Migrate)),
        );
    }

    /// Does nothing until then, and then answers what waited.
    pub fn pause(&mut self, until: Timestamp) {
        self.paused_until = self.paused_until.max(until);
        self.timers.push(until, ServerTimer::Wakes);
        self.cores.iter_mut().for_each(|free| *free = free.max(until as f64));
    }

    /// Cut off until then; its connections break when it is back.
    pub fn silence(&mut self, until: Timestamp) {
        if self.listens() {
            self.state = ServerState::Silent;
            self.silent_until = until;
            self.timers.push(until, ServerTimer::Wakes);
        }
    }

    /// Drops one in so many of those it takes; 0 ends that.
    pub fn drop_one_in(&mut self, n: u64) {
        self.drops = n;
    }

    pub fn next_event_at(&self) -> Timestamp {
        match self.state {
            ServerState::Silent => self.silent_until,
            _ => self.timers.next_at().max(self.paused_until),
        }
    }

    /// All that is done by now.
    pub fn advance(&mut self, now: Timestamp, out: &mut Vec<ServerOutput>) {
        if self.state == ServerState::Silent {
            if now < self.silent_until {
                return;
            }
            // What it held breaks now; it has been running all the time and is as warm as it was.
            self.stop(now, out);
            self.state = ServerState::Up;
            out.push(ServerOutput::Started);
        }
        if now < self.paused_until {
            return;
        }
        self.measure(now);
        while let Some((at, due)) = self.timers.pop_due(now) {
            match due {
                ServerTimer::Stored(conn, true) => {
                    // Given up or not, it is worked at.
                    if self.held.contains_key(&conn) || self.orphans.contains_key(&conn) {
                        let ready = self.work(at.max(self.paused_until), self.profile.setup_work);
                        self.timers.push(ready, ServerTimer::Ready(conn));
                    }
                }
                ServerTimer::Stored(conn, false) => {
                    self.orphans.remove(&conn);
                    if self.held.remove(&conn).is_some() {
                        out.push(ServerOutput::Send(conn, ServerMessage::Failed));
                    }
                }
                ServerTimer::Ready(conn) => match (self.held.get_mut(&conn), self.orphans.remove(&conn)) {
                    (Some(held), _) => {
                        held.stands = true;
                        let load = held.load;
                        out.push(ServerOutput::Ran(held.session));
                        out.push(ServerOutput::Send(conn, ServerMessage::Accepted));
                        out.push(ServerOutput::Send(conn, ServerMessage::Load(load)));
                    }
                    (None, Some(session)) => out.push(ServerOutput::RanAfterAbandoned(session)),
                    (None, None) => {}
                },
                ServerTimer::Line(conn, text) => {
                    if self.held.contains_key(&conn) {
                        out.push(ServerOutput::Send(conn, ServerMessage::Message(text)));
                    }
                }
                ServerTimer::Pong(conn) => {
                    out.push(ServerOutput::Send(conn, ServerMessage::HealthReport(self.report)))
                }
                ServerTimer::Back => self.start(now, out),
                ServerTimer::Wakes => {}
            }
        }
    }

    fn measure(&mut self, now: Timestamp) {
        let span = now.saturating_sub(self.reported);
        if span < self.profile.report_every {
            return;
        }
        let could = self.capacity(now) * span as f64 / SECOND as f64;
        let load: f64 = self.held.values().filter(|h| h.stands).map(|h| h.load).sum();
        // What it holds asks for so much, whatever has come of it yet; set-ups come on top.
        let asked = (load * span as f64 / SECOND as f64).max(self.asked);
        self.report =
            LoadReport { held: self.held.len(), used: (self.worked / could).min(1.0), asked: asked / could };
        (self.worked, self.asked, self.reported) = (0.0, 0.0, now);
    }
}
