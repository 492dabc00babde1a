//! The model of a server. It processes session setups and messages on its cores in order of arrival. In slow start its
//! capacity is reduced, and it crashes if it receives more than a multiple of that. Faults can pause, silence, stop or
//! drain it, or make it reset sessions that it has just accepted.
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

/// The id of a connection to a server, assigned by the caller: the simulation or the testbed.
pub type ConnectionId = u64;

/// The properties of a server. Work is in microseconds on a core of speed 1 after slow start.
#[derive(Clone, Debug)]
pub struct ServerProfile {
    /// The number of cores, at least 1.
    pub cores: usize,
    /// The speed of each core relative to 1.
    pub speed: f64,
    /// The maximum number of sessions.
    pub max_sessions: usize,
    /// The work of a session setup.
    pub setup_work: f64,
    /// Sessions are rejected while a setup would wait longer than this for a core.
    pub max_queue_wait: TickDuration,
    /// The fraction of its capacity that it has at the beginning of slow start.
    pub initial_capacity: f64,
    /// The duration of slow start.
    pub slow_start_duration: TickDuration,
    /// How many times its current capacity it can receive in slow start without being overloaded.
    pub overload_multiple: f64,
    /// The sliding window over which received work is counted.
    pub overload_window: TickDuration,
    /// Whether it crashes when it is overloaded.
    pub dies_when_overloaded: bool,
    /// How long after such a crash it restarts.
    pub restart_after: TickDuration,
    /// The interval between load reports.
    pub report_interval: TickDuration,
}

/// The state of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerState {
    /// Accepts sessions.
    Up,
    /// Accepts no new sessions.
    Draining,
    /// Keeps its connections open, but reads and writes nothing.
    Silent,
    /// Does not listen.
    Dead,
}

/// What a server sends on a connection, or a reset of it.
#[derive(Clone, Debug, PartialEq)]
pub enum ServerMessage {
    /// The session is accepted.
    Accepted,
    /// The session is rejected.
    AtCapacity,
    /// The session has failed.
    Failed,
    /// The session's load in microseconds of work per second.
    Load(f64),
    /// A message of the session, echoed.
    Message(Vec<u8>),
    /// The session has to be migrated.
    Migrate,
    /// The response to a health check.
    HealthReport(LoadReport),
    /// The connection is reset.
    Reset,
}

/// What a server does as a result of an event.
#[derive(Clone, Debug, PartialEq)]
pub enum ServerOutput {
    /// Sends a message on a connection.
    Send(ConnectionId, ServerMessage),
    /// The setup of the session with this id is done, but its connection was closed before.
    RanAfterAbandoned(u64),
    /// The setup of the session with this id is done.
    SessionRan(u64),
    /// Became overloaded in slow start, with this ratio of received work to capacity.
    Overloaded(f64),
    /// Stopped or crashed.
    Died,
    /// Started, or became reachable again.
    Started,
}

enum ServerTimer {
    /// The session store has served a call.
    StoreServed(ConnectionId),
    /// The session store has failed a call.
    StoreFailed(ConnectionId),
    /// The work of a session setup is done.
    SetupDone(ConnectionId),
    /// The work of a message is done.
    MessageDone(ConnectionId, Vec<u8>),
    /// A health check is to be answered.
    HealthReport(ConnectionId),
    /// The server restarts.
    Restart,
    /// A pause or a silence ends.
    Resume,
}

struct ServerSession {
    id: u64,
    /// In microseconds of work per second.
    load: f64,
    established: bool,
}

/// A server and its sessions.
pub struct Server {
    profile: ServerProfile,
    state: ServerState,
    /// When it last started; `None` if that was before the run.
    started_at: Option<Timestamp>,
    /// When each core has finished its assigned work, in ticks.
    cores: Vec<f64>,
    sessions: BTreeMap<ConnectionId, ServerSession>,
    /// The ids of sessions whose connections were closed during setup.
    abandoned: BTreeMap<ConnectionId, u64>,
    timers: EventQueue<ServerTimer>,
    paused_until: Timestamp,
    silent_until: Timestamp,
    /// One in this many sessions is reset right after it was accepted; 0 for none.
    reset_one_in: u64,
    /// The number of sessions accepted so far.
    accepted: u64,
    overload: OverloadDetector,
    load_meter: LoadMeter,
    /// The total work assigned to its cores so far, in microseconds on a core of speed 1 after slow start.
    pub work_done: f64,
}

impl Server {
    /// Creates a running server that is past its slow start.
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
            work_done: 0.0,
            profile,
        }
    }

    /// Returns the state of the server.
    pub fn state(&self) -> ServerState {
        self.state
    }

    /// Returns the number of established sessions.
    pub fn established_sessions(&self) -> usize {
        self.sessions.values().filter(|session| session.established).count()
    }

    /// Returns when it last started, or `None` if that was before the run.
    pub fn started(&self) -> Option<Timestamp> {
        self.started_at
    }

    /// Returns the current fraction of its full capacity, which grows linearly in slow start.
    pub fn capacity_fraction(&self, now: Timestamp) -> f64 {
        let Some(started_at) = self.started_at else { return 1.0 };
        let elapsed =
            now.saturating_sub(started_at) as f64 / (self.profile.slow_start_duration as f64).max(1.0);
        (self.profile.initial_capacity + (1.0 - self.profile.initial_capacity) * elapsed).min(1.0)
    }

    /// Returns its current capacity in microseconds of work per second.
    pub fn capacity(&self, now: Timestamp) -> f64 {
        self.profile.cores as f64 * self.profile.speed * self.capacity_fraction(now) * MICROS_PER_SECOND
    }

    fn is_in_slow_start(&self, now: Timestamp) -> bool {
        self.started_at.is_some_and(|started_at| now < started_at + self.profile.slow_start_duration)
    }

    /// Returns whether it answers new connections.
    pub fn is_listening(&self) -> bool {
        matches!(self.state, ServerState::Up | ServerState::Draining)
    }

    /// Handles a session request. `load` is the load of the session in microseconds of work per second.
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
        self.record_received_work(now, self.profile.setup_work, outputs);
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

    /// Handles a message of a session. It is echoed when its `work`, in microseconds, is done.
    pub fn receive_message(
        &mut self,
        now: Timestamp,
        connection: ConnectionId,
        work: f64,
        payload: Vec<u8>,
        outputs: &mut Vec<ServerOutput>,
    ) {
        if !self.sessions.contains_key(&connection) || !self.is_listening() {
            return;
        }
        self.record_received_work(now, work, outputs);
        if self.state != ServerState::Dead {
            let done_at = self.schedule_work(now, work);
            self.timers.push(done_at, ServerTimer::MessageDone(connection, payload));
        }
    }

    /// Handles a health check.
    pub fn check_health(&mut self, now: Timestamp, connection: ConnectionId) {
        if self.is_listening() {
            self.timers.push(now, ServerTimer::HealthReport(connection));
        }
    }

    /// Handles a connection that the other side has closed. A setup in progress continues, but counts as abandoned.
    pub fn connection_closed(&mut self, connection: ConnectionId) {
        let closed = self.sessions.remove(&connection);
        if let Some(session) = closed.filter(|session| !session.established) {
            self.abandoned.insert(connection, session.id);
        }
    }

    /// Assigns work to the core that is free first. Returns when the work is done.
    fn schedule_work(&mut self, now: Timestamp, work: f64) -> Timestamp {
        // The whole work runs at the speed of this moment, a lower bound: the speed only grows in slow start.
        let speed = self.profile.speed * self.capacity_fraction(now);
        let core = self.cores.iter_mut().min_by(|a, b| a.total_cmp(b));
        // A validated scenario has at least one core per server.
        let core = core.expect("a server has a core");
        *core = core.max(now as f64) + work / MICROS_PER_TICK / speed;
        let done_at = core.ceil() as Timestamp;
        self.work_done += work;
        self.load_meter.add_completed_work(work);
        done_at
    }

    /// Counts received work. A server in slow start becomes overloaded by too much work within the window, and crashes
    /// if its profile says so.
    fn record_received_work(&mut self, now: Timestamp, work: f64, outputs: &mut Vec<ServerOutput>) {
        self.load_meter.add_requested_work(work);
        let capacity = self.capacity(now);
        let slow_start = self.is_in_slow_start(now);
        if let Some(ratio) = self.overload.record(now, work, capacity, slow_start) {
            outputs.push(ServerOutput::Overloaded(ratio));
            if self.profile.dies_when_overloaded {
                self.stop(now, outputs);
                self.timers.push(now + self.profile.restart_after, ServerTimer::Restart);
            }
        }
    }

    /// Removes all sessions and sends a message on the connection of each.
    fn end_sessions(&mut self, message: &ServerMessage, outputs: &mut Vec<ServerOutput>) {
        let sessions = std::mem::take(&mut self.sessions);
        let send = |connection| ServerOutput::Send(connection, message.clone());
        outputs.extend(sessions.into_keys().map(send));
    }

    /// Stops the server at once and resets all its connections.
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

    /// Starts the server, or restarts it if it is running. Slow start begins.
    pub fn start(&mut self, now: Timestamp, outputs: &mut Vec<ServerOutput>) {
        self.stop(now, outputs);
        self.state = ServerState::Up;
        self.started_at = Some(now);
        self.overload.restart();
        self.paused_until = 0;
        self.silent_until = 0;
        outputs.push(ServerOutput::Started);
    }

    /// Stops accepting new sessions.
    pub fn drain(&mut self) {
        if self.state == ServerState::Up {
            self.state = ServerState::Draining;
        }
    }

    /// Requests the migration of all sessions and removes them.
    pub fn migrate_sessions(&mut self, outputs: &mut Vec<ServerOutput>) {
        self.end_sessions(&ServerMessage::Migrate, outputs);
    }

    /// Pauses processing until the given time. Queued requests are handled after that.
    pub fn pause(&mut self, until: Timestamp) {
        self.paused_until = self.paused_until.max(until);
        self.timers.push(until, ServerTimer::Resume);
        self.cores.iter_mut().for_each(|free_at| *free_at = free_at.max(until as f64));
    }

    /// Makes the server silent until the given time, when its connections are reset.
    pub fn silence(&mut self, until: Timestamp) {
        if self.is_listening() {
            self.state = ServerState::Silent;
            self.silent_until = until;
            self.timers.push(until, ServerTimer::Resume);
        }
    }

    /// Makes the server reset one in this many sessions right after accepting them; 0 turns that off.
    pub fn set_reset_one_in(&mut self, one_in: u64) {
        self.reset_one_in = one_in;
    }

    /// Returns when [`advance`](Self::advance) has to be called next.
    pub fn next_event_at(&self) -> Timestamp {
        match self.state {
            ServerState::Silent => self.silent_until,
            _ => self.timers.next_due_at().max(self.paused_until),
        }
    }

    /// Handles everything that is due by `now`.
    pub fn advance(&mut self, now: Timestamp, outputs: &mut Vec<ServerOutput>) {
        if self.state == ServerState::Silent {
            if now < self.silent_until {
                return;
            }
            // Its connections are reset now. The process kept running, so there is no slow start.
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
            let sessions = SessionLoad { count: self.sessions.len(), load };
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
                // The setup continues even if the connection was closed.
                let is_known =
                    self.sessions.contains_key(&connection) || self.abandoned.contains_key(&connection);
                if is_known {
                    let done_at = self.schedule_work(due_at.max(self.paused_until), self.profile.setup_work);
                    self.timers.push(done_at, ServerTimer::SetupDone(connection));
                }
            }
            ServerTimer::StoreFailed(connection) => {
                self.abandoned.remove(&connection);
                if self.sessions.remove(&connection).is_some() {
                    send(connection, ServerMessage::Failed);
                }
            }
            ServerTimer::SetupDone(connection) => self.finish_setup(connection, outputs),
            ServerTimer::MessageDone(connection, payload) => {
                if self.sessions.contains_key(&connection) {
                    send(connection, ServerMessage::Message(payload));
                }
            }
            ServerTimer::HealthReport(connection) => {
                send(connection, ServerMessage::HealthReport(self.load_meter.report()));
            }
            ServerTimer::Restart => self.start(now, outputs),
            ServerTimer::Resume => {}
        }
    }

    fn finish_setup(&mut self, connection: ConnectionId, outputs: &mut Vec<ServerOutput>) {
        let abandoned = self.abandoned.remove(&connection);
        if let Some(session) = self.sessions.get_mut(&connection) {
            session.established = true;
            outputs.push(ServerOutput::SessionRan(session.id));
            outputs.push(ServerOutput::Send(connection, ServerMessage::Accepted));
            outputs.push(ServerOutput::Send(connection, ServerMessage::Load(session.load)));
        } else if let Some(id) = abandoned {
            outputs.push(ServerOutput::RanAfterAbandoned(id));
        }
    }
}
