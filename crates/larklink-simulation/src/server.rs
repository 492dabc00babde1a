//! A server. It works at set-ups and messages with its cores, in the order in which they came; it is slow in slow start,
//! and dies when it is sent more than a multiple of what it can do then; it may pause, go silent, die, drain, and reset
//! what it has just accepted.
use std::collections::BTreeMap;

use crate::event_queue::EventQueue;
use crate::server::load_meter::{LoadMeter, SessionLoad};
use crate::server::overload::OverloadDetector;
use crate::session_store::SessionStore;
use crate::time::{TickDuration, Timestamp};

mod load_meter;
mod load_report;
mod overload;

pub use load_report::LoadReport;

/// Microseconds in a second.
const MICROS_PER_SECOND: f64 = 1e6;
/// Microseconds in one tick of a tenth of a millisecond.
const MICROS_PER_TICK: f64 = 100.0;

/// A connection to a server, numbered by whoever carries it.
pub type ConnectionId = u64;

/// What a server is made of. Work is in microseconds of a core of speed 1 after slow start.
#[derive(Clone, Debug)]
pub struct ServerProfile {
    /// The number of cores, at least one.
    pub cores: usize,
    /// The speed of a core.
    pub speed: f64,
    /// The most sessions that it holds.
    pub max_sessions: usize,
    /// The work of a set-up.
    pub setup_work: f64,
    /// Set-ups are rejected while one would wait for longer than this.
    pub max_queue_wait: TickDuration,
    /// The share of its capacity that it has when it starts.
    pub initial_capacity: f64,
    /// How long its slow start takes.
    pub slow_start_duration: TickDuration,
    /// How many times its capacity it may be sent in slow start.
    pub overload_multiple: f64,
    /// The window over which that is counted.
    pub overload_window: TickDuration,
    /// Whether it dies when it is sent more.
    pub dies_when_overloaded: bool,
    /// How long after that it starts again.
    pub restart_after: TickDuration,
    /// How often it makes a load report.
    pub report_interval: TickDuration,
}

/// The state of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerState {
    /// It accepts sessions.
    Up,
    /// It accepts no new sessions.
    Draining,
    /// Connections stay, but nothing is read or written.
    Silent,
    /// It listens no more.
    Dead,
}

/// What a server sends on a connection or does to it.
#[derive(Clone, Debug, PartialEq)]
pub enum ServerMessage {
    /// The session is accepted.
    Accepted,
    /// The session is rejected.
    AtCapacity,
    /// The session has failed.
    Failed,
    /// The session's load, microseconds of work a second.
    Load(f64),
    /// A message of the session, sent back.
    Message(Vec<u8>),
    /// The session is to be migrated.
    Migrate,
    /// The answer to a health check.
    HealthReport(LoadReport),
    /// The connection is reset.
    Reset,
}

/// What a server did.
#[derive(Clone, Debug, PartialEq)]
pub enum ServerOutput {
    /// It sends a message on a connection.
    Send(ConnectionId, ServerMessage),
    /// It has set the session of that id up for a connection that was closed before.
    RanAfterAbandoned(u64),
    /// It has set the session of that id up.
    Ran(u64),
    /// It was sent so many times its capacity in slow start.
    Overloaded(f64),
    /// It has died.
    Died,
    /// It accepts connections.
    Started,
}

enum ServerTimer {
    /// The session store has served a call.
    StoreServed(ConnectionId),
    /// The session store has failed a call.
    StoreFailed(ConnectionId),
    /// A set-up is done.
    SetUp(ConnectionId),
    /// The work of a message is done.
    MessageDone(ConnectionId, Vec<u8>),
    /// A health check is answered.
    HealthReport(ConnectionId),
    /// The server starts again.
    Restart,
    /// A pause or a silence is over.
    Resume,
}

struct ServerSession {
    id: u64,
    /// Microseconds of work a second.
    load: f64,
    established: bool,
}

/// A server.
pub struct Server {
    profile: ServerProfile,
    state: ServerState,
    /// When its slow start began; none if it started long ago.
    started_at: Option<Timestamp>,
    /// When each core is free, in ticks.
    cores: Vec<f64>,
    sessions: BTreeMap<ConnectionId, ServerSession>,
    /// The ids of sessions whose connections were closed during their set-up.
    abandoned: BTreeMap<ConnectionId, u64>,
    timers: EventQueue<ServerTimer>,
    paused_until: Timestamp,
    silent_until: Timestamp,
    /// One in so many sessions is reset when it was just accepted; 0 for none.
    reset_one_in: u64,
    /// The sessions accepted so far.
    accepted: u64,
    overload: OverloadDetector,
    load_meter: LoadMeter,
    /// All work done so far, microseconds of a core of speed 1 after slow start.
    pub done: f64,
}

impl Server {
    /// A server that started long ago.
    pub fn new(profile: ServerProfile) -> Self {
        Self {
            state: ServerState::Up,
            started_at: None,
            cores: vec![0.0; profile.cores],
            sessions: BTreeMap::new(),
            abandoned: BTreeMap::new(),
            timers: EventQueue::default(),
            paused_until: 0,
            silent_until: 0,
            reset_one_in: 0,
            accepted: 0,
            overload: OverloadDetector::new(profile.overload_window, profile.overload_multiple),
            load_meter: LoadMeter::new(profile.report_interval),
            done: 0.0,
            profile,
        }
    }

    /// Its state.
    pub fn state(&self) -> ServerState {
        self.state
    }

    /// The sessions that are established.
    pub fn sessions_held(&self) -> usize {
        self.sessions.values().filter(|session| session.established).count()
    }

    /// When it last started; none if that was long ago.
    pub fn started(&self) -> Option<Timestamp> {
        self.started_at
    }

    /// The share of its full capacity that it has now.
    pub fn warmth(&self, now: Timestamp) -> f64 {
        let Some(started_at) = self.started_at else { return 1.0 };
        let elapsed =
            now.saturating_sub(started_at) as f64 / (self.profile.slow_start_duration as f64).max(1.0);
        (self.profile.initial_capacity + (1.0 - self.profile.initial_capacity) * elapsed).min(1.0)
    }

    /// Microseconds of work that it can do in a second now.
    pub fn capacity(&self, now: Timestamp) -> f64 {
        self.profile.cores as f64 * self.profile.speed * self.warmth(now) * MICROS_PER_SECOND
    }

    fn is_in_slow_start(&self, now: Timestamp) -> bool {
        self.started_at.is_some_and(|started_at| now < started_at + self.profile.slow_start_duration)
    }

    /// Whether it answers those who connect.
    pub fn listens(&self) -> bool {
        matches!(self.state, ServerState::Up | ServerState::Draining)
    }

    /// A request for a session of that load, in microseconds of work a second, has come.
    pub fn receive_request(
        &mut self,
        now: Timestamp,
        connection: ConnectionId,
        id: u64,
        load: f64,
        store: &mut SessionStore,
        outputs: &mut Vec<ServerOutput>,
    ) {
        let mut send = |message| outputs.push(ServerOutput::Send(connection, message));
        match self.state {
            ServerState::Dead => return send(ServerMessage::Reset),
            ServerState::Silent => return,
            ServerState::Draining => return send(ServerMessage::AtCapacity),
            ServerState::Up => {}
        }
        self.receive_work(now, self.profile.setup_work, outputs);
        let mut send = |message| outputs.push(ServerOutput::Send(connection, message));
        if self.state == ServerState::Dead {
            return send(ServerMessage::Reset);
        }
        let wait = self.cores.iter().copied().fold(f64::MAX, f64::min) - now as f64;
        if self.sessions.len() >= self.profile.max_sessions || wait > self.profile.max_queue_wait as f64 {
            return send(ServerMessage::AtCapacity);
        }
        self.accepted += 1;
        if self.reset_one_in > 0 && self.accepted.is_multiple_of(self.reset_one_in) {
            return send(ServerMessage::Reset);
        }
        self.sessions.insert(connection, ServerSession { id, load, established: false });
        match store.call(now) {
            Ok(at) => self.timers.push(at, ServerTimer::StoreServed(connection)),
            Err(at) => self.timers.push(at, ServerTimer::StoreFailed(connection)),
        }
    }

    /// A message of an established session has come, with its work in microseconds; it is sent back when that is done.
    pub fn receive_message(
        &mut self,
        now: Timestamp,
        connection: ConnectionId,
        work: f64,
        text: Vec<u8>,
        outputs: &mut Vec<ServerOutput>,
    ) {
        if !self.sessions.contains_key(&connection) || !self.listens() {
            return;
        }
        self.receive_work(now, work, outputs);
        if self.state != ServerState::Dead {
            let done_at = self.work(now, work);
            self.timers.push(done_at, ServerTimer::MessageDone(connection, text));
        }
    }

    /// A health check has come.
    pub fn check_health(&mut self, now: Timestamp, connection: ConnectionId) {
        if self.listens() {
            self.timers.push(now, ServerTimer::HealthReport(connection));
        }
    }

    /// A connection was closed by the other side.
    pub fn connection_closed(&mut self, connection: ConnectionId) {
        let closed = self.sessions.remove(&connection);
        if let Some(session) = closed.filter(|session| !session.established) {
            self.abandoned.insert(connection, session.id);
        }
    }

    /// The core that is free first works: returns when it is done.
    fn work(&mut self, now: Timestamp, work: f64) -> Timestamp {
        // The speed at the start of the work, which is the least: it only grows.
        let speed = self.profile.speed * self.warmth(now);
        let core = self.cores.iter_mut().min_by(|a, b| a.total_cmp(b));
        // Unreachable by a checked scenario: each server has a core.
        let core = core.expect("a server has a core");
        *core = core.max(now as f64) + work / MICROS_PER_TICK / speed;
        let done_at = core.ceil() as Timestamp;
        self.done += work;
        self.load_meter.note_worked(work);
        done_at
    }

    /// Work was sent here: if it is too much for too long, a server in slow start dies.
    fn receive_work(&mut self, now: Timestamp, work: f64, outputs: &mut Vec<ServerOutput>) {
        self.load_meter.note_asked(work);
        let capacity = self.capacity(now);
        let slow_start = self.is_in_slow_start(now);
        if let Some(ratio) = self.overload.receive(now, work, capacity, slow_start) {
            outputs.push(ServerOutput::Overloaded(ratio));
            if self.profile.dies_when_overloaded {
                self.stop(now, outputs);
                self.timers.push(now + self.profile.restart_after, ServerTimer::Restart);
            }
        }
    }

    /// Sends a message on each connection of a session, and forgets the sessions.
    fn end_sessions(&mut self, message: &ServerMessage, outputs: &mut Vec<ServerOutput>) {
        let sessions = std::mem::take(&mut self.sessions);
        let send = |connection| ServerOutput::Send(connection, message.clone());
        outputs.extend(sessions.into_keys().map(send));
    }

    /// Dies: all its connections are reset.
    pub fn stop(&mut self, now: Timestamp, outputs: &mut Vec<ServerOutput>) {
        if self.state == ServerState::Dead {
            return;
        }
        self.state = ServerState::Dead;
        self.timers.clear();
        self.overload.clear();
        self.abandoned.clear();
        self.end_sessions(&ServerMessage::Reset, outputs);
        outputs.push(ServerOutput::Died);
        self.cores.fill(now as f64);
    }

    /// Starts, with a slow start.
    pub fn start(&mut self, now: Timestamp, outputs: &mut Vec<ServerOutput>) {
        self.stop(now, outputs);
        self.state = ServerState::Up;
        self.started_at = Some(now);
        self.overload.restart();
        self.paused_until = 0;
        self.silent_until = 0;
        outputs.push(ServerOutput::Started);
    }

    /// Accepts no new sessions from now on.
    pub fn drain(&mut self) {
        if self.state == ServerState::Up {
            self.state = ServerState::Draining;
        }
    }

    /// Asks for all its sessions to be migrated.
    pub fn migrate_sessions(&mut self, outputs: &mut Vec<ServerOutput>) {
        self.end_sessions(&ServerMessage::Migrate, outputs);
    }

    /// Does nothing until then, and then answers what waited.
    pub fn pause(&mut self, until: Timestamp) {
        self.paused_until = self.paused_until.max(until);
        self.timers.push(until, ServerTimer::Resume);
        self.cores.iter_mut().for_each(|free_at| *free_at = free_at.max(until as f64));
    }

    /// Is silent until then; its connections break when that is over.
    pub fn silence(&mut self, until: Timestamp) {
        if self.listens() {
            self.state = ServerState::Silent;
            self.silent_until = until;
            self.timers.push(until, ServerTimer::Resume);
        }
    }

    /// Resets one in so many of the sessions that it has just accepted; 0 ends that.
    pub fn drop_one_in(&mut self, one_in: u64) {
        self.reset_one_in = one_in;
    }

    /// When something happens next.
    pub fn next_event_at(&self) -> Timestamp {
        match self.state {
            ServerState::Silent => self.silent_until,
            _ => self.timers.next_at().max(self.paused_until),
        }
    }

    /// All that happens by now.
    pub fn advance(&mut self, now: Timestamp, outputs: &mut Vec<ServerOutput>) {
        if self.state == ServerState::Silent {
            if now < self.silent_until {
                return;
            }
            // Its connections break now; it has been running all the time, so that there is no slow start.
            self.stop(now, outputs);
            self.state = ServerState::Up;
            outputs.push(ServerOutput::Started);
        }
        if now < self.paused_until {
            return;
        }
        if self.load_meter.is_due(now) {
            let established = self.sessions.values().filter(|session| session.established);
            let load = established.map(|session| session.load).sum();
            let sessions = SessionLoad { held: self.sessions.len(), load };
            self.load_meter.make_report(now, self.capacity(now), sessions);
        }
        while let Some((due_at, timer)) = self.timers.pop_due(now) {
            self.timer_due(now, due_at, timer, outputs);
        }
    }

    fn timer_due(
        &mut self,
        now: Timestamp,
        due_at: Timestamp,
        timer: ServerTimer,
        outputs: &mut Vec<ServerOutput>,
    ) {
        let mut send = |connection, message| outputs.push(ServerOutput::Send(connection, message));
        match timer {
            ServerTimer::StoreServed(connection) => {
                // The work is done even if the connection was closed.
                let is_known =
                    self.sessions.contains_key(&connection) || self.abandoned.contains_key(&connection);
                if is_known {
                    let done_at = self.work(due_at.max(self.paused_until), self.profile.setup_work);
                    self.timers.push(done_at, ServerTimer::SetUp(connection));
                }
            }
            ServerTimer::StoreFailed(connection) => {
                self.abandoned.remove(&connection);
                if self.sessions.remove(&connection).is_some() {
                    send(connection, ServerMessage::Failed);
                }
            }
            ServerTimer::SetUp(connection) => self.set_up(connection, outputs),
            ServerTimer::MessageDone(connection, text) => {
                if self.sessions.contains_key(&connection) {
                    send(connection, ServerMessage::Message(text));
                }
            }
            ServerTimer::HealthReport(connection) => {
                send(connection, ServerMessage::HealthReport(self.load_meter.report()));
            }
            ServerTimer::Restart => self.start(now, outputs),
            ServerTimer::Resume => {}
        }
    }

    fn set_up(&mut self, connection: ConnectionId, outputs: &mut Vec<ServerOutput>) {
        let abandoned = self.abandoned.remove(&connection);
        if let Some(session) = self.sessions.get_mut(&connection) {
            session.established = true;
            outputs.push(ServerOutput::Ran(session.id));
            outputs.push(ServerOutput::Send(connection, ServerMessage::Accepted));
            outputs.push(ServerOutput::Send(connection, ServerMessage::Load(session.load)));
        } else if let Some(id) = abandoned {
            outputs.push(ServerOutput::RanAfterAbandoned(id));
        }
    }
}
