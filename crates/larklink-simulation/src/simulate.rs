//! The world in simulated time, with the decisions of real proxies between clients and servers: no socket, no
//! clock, the same seed the same book. Each message takes one hop.
use std::collections::BTreeMap;

use larklink_balancer::{
    AttemptOutcome, EndpointEntry, EndpointState, ListScope, Observation, SessionRequest, TickDuration,
    Timestamp,
};
use larklink_engine::engine::{Engine, ProxyAction};
use larklink_engine::settings::ProxySettings;

use crate::audit::{Findings, audit};
use crate::clients::ClientAction;
use crate::duration::{EventQueue, SECOND};
use crate::endpoint_list::{EndpointListEntry, EndpointStatus};
use crate::event_log::{AttemptEnd, ClientRequest, ClientResponse, ConnectionEnd, EventKind, EventLog};
use crate::faults::ProxyFault;
use crate::goodput::{Recovery, recovery};
use crate::scenario::{Scenario, SessionKind};
use crate::server::{ConnectionId, ServerMessage};
use crate::world::{World, WorldAction};

/// From one end of a connection to the other.
const HOP: TickDuration = 2;
/// The decisions' time starts here, so that no server's start lies at 0, which means long ago.
const ORIGIN: TickDuration = 100 * SECOND;
/// A proxy that stops goes on for so long at least, and as much longer as its longest dial timeout, up to the second; who
/// stands is moved within this share of that, and who waits has the last answer so long before its end, as the daemon
/// has it.
const STILL_COMING: TickDuration = SECOND * 6 / 10;
const LONGEST: TickDuration = 3 * SECOND;
const MOVED_BY: f64 = 0.7;
const LAST: TickDuration = SECOND / 10;
/// So often it looks whether anybody is left.
const LOOK: TickDuration = SECOND / 100;

/// A run's book, what the audit found in it, and its service.
pub struct Run {
    pub event_log: EventLog,
    pub findings: Findings,
    pub service: f64,
    pub recovery: Option<Recovery>,
}

/// Who is at the other end of a connection to a server.
#[derive(Clone, Copy)]
enum Peer {
    Session { proxy: usize, number: u32, dial: u8, id: u64 },
    Probe { proxy: usize, sent: Timestamp },
}

enum ScheduledEvent {
    Open(usize, ClientRequest),
    ToServer(usize, ConnectionId),
    FromServer(usize, ConnectionId, ServerMessage),
    ToClient(u64, ClientMessage),
    ClientLine(u64, u64),
    /// A dial that its proxy gives up at its limit, and one whose connection does not come up.
    Limit(ConnectionId),
    Unmade(ConnectionId),
    List(usize),
    Start(usize),
    /// A proxy that stops sends a session away, and looks whether it has ended.
    SendAway(u64),
    Stops(usize),
    Wakes,
}

#[derive(Clone)]
enum ClientMessage {
    Response(ClientResponse),
    Migrate,
    ConnectionEnded,
    Message(u64),
}

struct ProxySession {
    proxy: usize,
    number: u32,
    ask: ClientRequest,
    conn: Option<ConnectionId>,
    /// The connection on which it was accepted.
    stands: Option<ConnectionId>,
    told: u64,
    /// A dial of it that is over may have run.
    may_have_run: bool,
}

struct Proxy {
    engine: Engine,
    alive: bool,
    next: u32,
    flows: BTreeMap<u32, u64>,
    known: Option<u64>,
    /// When it began to stop, and when it ends at the latest.
    stops: Option<(TickDuration, TickDuration)>,
    /// It starts again so long after its end.
    back: Option<Timestamp>,
    /// It is killed with the next connection that it takes.
    armed: bool,
}

impl Proxy {
    fn new(engine: Engine, next: u32) -> Self {
        Self {
            engine,
            alive: true,
            next,
            flows: BTreeMap::new(),
            known: None,
            stops: None,
            back: None,
            armed: false,
        }
    }
}

struct Simulation<'a> {
    scenario: &'a Scenario,
    world: World,
    proxies: Vec<Proxy>,
    flows: BTreeMap<u64, ProxySession>,
    peers: BTreeMap<ConnectionId, (usize, Peer)>,
    next_conn: ConnectionId,
    scheduled: EventQueue<ScheduledEvent>,
    seed: u64,
}

/// The settings object that a scenario's daemon of that number is given.
pub fn settings(scenario: &Scenario, proxy: usize) -> serde_json::Value {
    let ns = |t: TickDuration| t * 100_000;
    let grades = scenario.listeners.iter().map(|l| {
        let l = l.get_ref();
        let kind = match l.kind {
            SessionKind::Repeatable => "idempotent",
            SessionKind::Referenced => "deduplicated",
            SessionKind::OnceOnly => "at_most_once",
        };
        serde_json::json!({"name": l.name, "idempotency": kind, "group": "all", "window_ns": ns(l.window.0),
            "aim_ns": ns(l.handshake_target.0), "deadline_ns": ns(l.dial_timeout.0)})
    });
    let targets: Vec<_> = scenario.listeners.iter().map(|l| ns(l.get_ref().line_target.0)).collect();
    let moved = scenario.moved(proxy);
    let (rules, some) = (&scenario.rules, scenario.servers[0].get_ref());
    serde_json::json!({
        "discovery": "pushed",
        "domain": {"mode": if scenario.rules.passes { "pass" } else { "proxy" }, "groups": true, "message_aim_ns": targets, "tells_delay": true,
                   "tells_load": true},
        "feedback": {"names": ["inflight", "util", "x0"], "source": "on_probe"},
        "fees": if moved { serde_json::json!({"cross_zone": 0.06, "moves": 0.02}) } else { serde_json::json!({}) },
        "grades": grades.collect::<Vec<_>>(),
        "group_size": scenario.proxies.count,
        "policy_limits": {"dial_timeout_ns": ns(rules.connect_timeout.0), "send_cap": rules.dials,
                          "max_retry_after_ns": ns(rules.retry_after.0),
                          "retry_after": rules.retry_after.0 > 0, "probing": rules.probes && !moved},
        "safety": {"cold_ns": ns(some.warm_up.0), "drain_grace_ns": ns(rules.drain_grace.0),
                   "fall_multiple": some.fall_multiple, "must_ask_in_ns": ns(rules.must_ask_in.0),
                   "overload_for_ns": ns(some.fall_after.0), "start_capacity": some.start_capacity},
        "weights": "nominal",
        "zone": proxy % scenario.proxies.zones,
        "zones": (0..scenario.proxies.zones).map(|z| scenario.zone(z)).collect::<Vec<_>>(),
    })
}

/// Runs a scenario from a seed.
pub fn run(scenario: &Scenario, seed: u64) -> Run {
    let world = World::new(scenario, seed);
    let mut sim = Simulation {
        scenario,
        world,
        proxies: Vec::new(),
        flows: BTreeMap::new(),
        peers: BTreeMap::new(),
        next_conn: 1,
        scheduled: EventQueue::default(),
        seed,
    };
    for proxy in 0..scenario.proxies.count {
        let engine = sim.engine(0, proxy);
        sim.proxies.push(Proxy::new(engine, 0));
        sim.world.proxy_up(0, proxy);
        sim.hear_list(0, proxy);
    }
    let end = scenario.end();
    let mut now = 0;
    while now <= end {
        while let Some((_, hop)) = sim.scheduled.pop_due(now) {
            sim.hop(now, hop);
        }
        let deeds = sim.world.advance(now);
        sim.carry(now, deeds);
        for proxy in 0..sim.proxies.len() {
            sim.poll(now, proxy);
        }
        let engine =
            |p: &Proxy| if p.alive { p.engine.next_wakeup().saturating_sub(ORIGIN) } else { Timestamp::MAX };
        let cores = sim.proxies.iter().map(engine).min().unwrap_or(Timestamp::MAX);
        now = sim.world.next_event_at().min(sim.scheduled.next_at()).min(cores).max(now + 1);
    }
    sim.world.clients.finish(end);
    let service = sim.world.clients.service();
    let findings = audit(scenario, &sim.world.event_log, end);
    let recovery = recovery(scenario, &sim.world.event_log);
    Run { event_log: sim.world.event_log, findings, service, recovery }
}

impl Simulation<'_> {
    fn engine(&self, now: Timestamp, proxy: usize) -> Engine {
        let facts = settings(self.scenario, proxy).to_string();
        let facts = ProxySettings::read(facts.as_bytes()).expect("settings of our own make");
        let seed = self.seed.wrapping_mul(1000).wrapping_add(proxy as u64 + now);
        Engine::new(&facts, seed, ORIGIN + now)
    }

    fn hear_list(&mut self, now: Timestamp, proxy: usize) {
        if !self.proxies[proxy].alive || !self.world.endpoint_list.is_reachable(now) {
            return;
        }
        let known = self.proxies[proxy].known;
        let (version, lines) = self.world.notify_proxy(now, proxy, known);
        let scope = if known.is_some() { ListScope::Changes } else { ListScope::Complete };
        let weights: Vec<f64> = self.scenario.each_server().map(|s| s.weight).collect();
        let zones = self.scenario.proxies.zones;
        let entry = |line: &EndpointListEntry| EndpointEntry {
            endpoint: 0,
            id: line.server as u32 + 1,
            zone: (line.server % zones) as u16,
            cell: 0,
            state: match line.status {
                EndpointStatus::Up => EndpointState::Ready,
                EndpointStatus::Draining => EndpointState::Draining,
                EndpointStatus::Removed => EndpointState::Removed,
            },
            weight: weights[line.server],
            started_at: if line.started == 0 { 0 } else { ORIGIN + line.started },
        };
        self.proxies[proxy].known = Some(version);
        let engine = &mut self.proxies[proxy].engine;
        engine.update_endpoints(ORIGIN + now, scope, lines.iter().map(entry).collect());
    }

    fn poll(&mut self, now: Timestamp, proxy: usize) {
        if self.proxies[proxy].alive {
            for action in self.proxies[proxy].engine.poll(ORIGIN + now) {
                self.act(now, proxy, action);
            }
        }
    }

    fn carry(&mut self, now: Timestamp, deeds: Vec<WorldAction>) {
        for deed in deeds {
            match deed {
                WorldAction::Send { server, connection: conn, message: say } => {
                    self.scheduled.push(now + HOP, ScheduledEvent::FromServer(server, conn, say))
                }
                WorldAction::StopListening { server } => {
                    let broken: Vec<_> =
                        self.peers.iter().filter(|(_, (s, _))| *s == server).map(|(&conn, _)| conn).collect();
                    for conn in broken {
                        self.scheduled
                            .push(now + HOP, ScheduledEvent::FromServer(server, conn, ServerMessage::Reset));
                    }
                }
                WorldAction::Listen { .. }
                | WorldAction::Proxy(_, ProxyFault::Reload | ProxyFault::Replace) => {}
                WorldAction::Client(act) => self.client(now, act),
                WorldAction::DisconnectClients(ids) => {
                    ids.into_iter().for_each(|id| self.client_gone(now, id))
                }
                WorldAction::Proxy(proxy, ProxyFault::KillAtAccept { back }) => {
                    let p = &mut self.proxies[proxy];
                    (p.armed, p.back) = (p.alive, back);
                }
                WorldAction::Proxy(proxy, ProxyFault::Kill) => self.end_proxy(now, proxy, false),
                WorldAction::Proxy(proxy, ProxyFault::Stop { back }) => self.stop_proxy(now, proxy, back),
                WorldAction::Proxy(proxy, ProxyFault::Start) => self.start_proxy(now, proxy),
                WorldAction::EndpointListChanged => {
                    for proxy in 0..self.proxies.len() {
                        self.scheduled.push(now + HOP, ScheduledEvent::List(proxy));
                    }
                }
            }
        }
        // A list that was out of reach is read as soon as it answers.
        if self.proxies.iter().any(|p| p.alive && p.known != Some(self.world.endpoint_list.version())) {
            self.scheduled.push(now + SECOND / 10, ScheduledEvent::Wakes);
        }
    }

    fn start_proxy(&mut self, now: Timestamp, proxy: usize) {
        if !self.proxies[proxy].alive {
            let engine = self.engine(now, proxy);
            let next = self.proxies[proxy].next;
            self.proxies[proxy] = Proxy::new(engine, next);
            self.hear_list(now, proxy);
            self.world.proxy_up(now, proxy);
        }
    }

    /// Asked to stop, it moves who stands, spread over the time it has, and answers who waits.
    fn stop_proxy(&mut self, now: Timestamp, proxy: usize, back: Option<Timestamp>) {
        let longest = self.scenario.listeners.iter().map(|l| l.get_ref().dial_timeout.0).max().unwrap_or(0);
        let p = &mut self.proxies[proxy];
        if !p.alive || p.stops.is_some() {
            return;
        }
        (p.stops, p.back) = (Some((now, now + STILL_COMING + longest.min(LONGEST))), back);
        let stand: Vec<_> = p
            .flows
            .values()
            .copied()
            .filter(|id| self.flows.get(id).is_some_and(|f| f.stands.is_some()))
            .collect();
        stand.into_iter().for_each(|id| self.move_by_chance(now, proxy, id));
        self.scheduled.push(now + STILL_COMING, ScheduledEvent::Stops(proxy));
    }

    /// Where its proxy stops, a session that stands leaves within its share of the time; its id is drawn by chance.
    fn move_by_chance(&mut self, now: Timestamp, proxy: usize, id: u64) {
        if let Some((_, until)) = self.proxies[proxy].stops {
            let share = (id % 1024) as f64 / 1024.0 * MOVED_BY;
            let wait = until.saturating_sub(now) as f64 * share;
            self.scheduled.push(now + wait as TickDuration, ScheduledEvent::SendAway(id));
        }
    }

    fn stopping(&mut self, now: Timestamp, proxy: usize) {
        let Some((_, until)) = self.proxies[proxy].stops.filter(|_| self.proxies[proxy].alive) else {
            return;
        };
        if now + LAST >= until {
            let wait = |id: &u64| self.flows.get(id).is_some_and(|f| f.stands.is_none());
            let waiting: Vec<_> = self.proxies[proxy].flows.values().copied().filter(wait).collect();
            waiting.into_iter().for_each(|id| self.last_answer(now, id));
        }
        if self.proxies[proxy].flows.is_empty() || now >= until {
            self.end_proxy(now, proxy, true);
            self.start_again(now, proxy);
        } else {
            self.scheduled.push(now + LOOK, ScheduledEvent::Stops(proxy));
        }
    }

    /// It starts again when it is to, after its end.
    fn start_again(&mut self, now: Timestamp, proxy: usize) {
        if let Some(back) = self.proxies[proxy].back.take() {
            self.scheduled.push(now + back, ScheduledEvent::Start(proxy));
        }
    }

    /// There is no more time for an answer of the module's.
    fn last_answer(&mut self, now: Timestamp, id: u64) {
        let flow = &self.flows[&id];
        let (proxy, number) = (flow.proxy, flow.number);
        let may_have_run = flow.may_have_run || flow.conn.is_some();
        self.close_dial(now, id);
        self.proxies[proxy].engine.client_left(number);
        self.answer(
            now,
            proxy,
            number,
            if may_have_run { ClientResponse::Failed } else { ClientResponse::Rejected(0) },
        );
    }

    fn send_away(&mut self, now: Timestamp, id: u64) {
        let Some(flow) = self.flows.get(&id) else { return };
        let (proxy, number) = (flow.proxy, flow.number);
        if self.proxies[proxy].flows.remove(&number).is_some() {
            self.proxies[proxy].engine.client_left(number);
            self.close_dial(now, id);
            self.scheduled.push(now + HOP, ScheduledEvent::ToClient(id, ClientMessage::Migrate));
        }
    }

    fn end_proxy(&mut self, now: Timestamp, proxy: usize, planned: bool) {
        let p = &mut self.proxies[proxy];
        p.alive = false;
        let flows = std::mem::take(&mut p.flows);
        self.world.proxy_exited(now, proxy, planned);
        for id in flows.into_values() {
            let how = if planned { ClientMessage::Migrate } else { ClientMessage::ConnectionEnded };
            self.close_dial(now, id);
            self.scheduled.push(now + HOP, ScheduledEvent::ToClient(id, how));
        }
        self.peers.retain(|_, (_, peer)| !matches!(peer, Peer::Probe { proxy: p, .. } if *p == proxy));
    }

    fn client(&mut self, now: Timestamp, act: ClientAction) {
        match act {
            ClientAction::Connect(ask) => {
                if let Some(proxy) = self.world.assign_proxy(now, &ask) {
                    self.world.event_log.record(now, EventKind::Opened { request: ask.clone(), proxy });
                    self.scheduled.push(now + HOP, ScheduledEvent::Open(proxy, ask));
                }
            }
            ClientAction::SendMessage { id, number } => {
                self.scheduled.push(now + HOP, ScheduledEvent::ClientLine(id, number))
            }
            ClientAction::TimeOut { id } | ClientAction::Leave { id } => self.client_gone(now, id),
            ClientAction::Silent { .. } => {}
        }
    }

    fn client_gone(&mut self, now: Timestamp, id: u64) {
        self.close_dial(now, id);
        if let Some(flow) = self.flows.remove(&id) {
            let proxy = &mut self.proxies[flow.proxy];
            if proxy.flows.remove(&flow.number).is_some() {
                proxy.engine.client_left(flow.number);
            }
        }
    }

    /// The proxy's side of a dial or connection is closed.
    fn close_dial(&mut self, now: Timestamp, id: u64) {
        let conn = self.flows.get_mut(&id).and_then(|f| f.conn.take());
        if let Some((conn, (server, _))) = conn.and_then(|c| self.peers.remove(&c).map(|p| (c, p))) {
            self.world.attempt_ended(now, server, conn, id, AttemptEnd::Abandoned);
        }
    }

    fn hop(&mut self, now: Timestamp, hop: ScheduledEvent) {
        match hop {
            ScheduledEvent::Wakes => (0..self.proxies.len()).for_each(|p| self.hear_list(now, p)),
            ScheduledEvent::Start(proxy) => self.start_proxy(now, proxy),
            ScheduledEvent::SendAway(id) => self.send_away(now, id),
            ScheduledEvent::Stops(proxy) => self.stopping(now, proxy),
            ScheduledEvent::List(proxy) => self.hear_list(now, proxy),
            ScheduledEvent::Open(proxy, ask) => self.open(now, proxy, ask),
            ScheduledEvent::ToServer(server, conn) => self.reach_server(now, server, conn),
            ScheduledEvent::FromServer(server, conn, say) => self.server_says(now, server, conn, say),
            ScheduledEvent::Limit(conn) => self.settle(now, conn, AttemptOutcome::TimedOut),
            ScheduledEvent::Unmade(conn) => self.settle(now, conn, AttemptOutcome::ConnectFailed),
            ScheduledEvent::ClientLine(id, number) => {
                let at = self.flows.get(&id).and_then(|f| f.conn);
                if let Some((conn, (server, _))) = at.and_then(|c| self.peers.get(&c).map(|p| (c, *p))) {
                    let text = number.to_le_bytes().to_vec();
                    let deeds = self.world.message_to_server(now, server, conn, id, None, text);
                    self.carry(now, deeds);
                }
            }
            ScheduledEvent::ToClient(id, told) => self.tell_client(now, id, told),
        }
    }

    fn tell_client(&mut self, now: Timestamp, id: u64, told: ClientMessage) {
        match told {
            ClientMessage::Response(answer) => self.world.response_received(now, id, answer),
            ClientMessage::Message(number) => {
                self.world.message_returned(now, id, number, None);
            }
            ClientMessage::Migrate => {
                self.flows.remove(&id);
                self.world.connection_ended(now, id, ConnectionEnd::Migrated);
            }
            ClientMessage::ConnectionEnded => {
                self.flows.remove(&id);
                self.world.connection_ended(now, id, ConnectionEnd::Broken);
            }
        }
    }

    fn open(&mut self, now: Timestamp, proxy: usize, ask: ClientRequest) {
        if !self.proxies[proxy].alive {
            return self.world.proxy_unreachable(now, ask.id, proxy);
        }
        let session = SessionRequest {
            listener: ask.listener,
            group_key: ask.group,
            client_key: ask.key,
            dial_timeout: ask.patience,
            established: false,
            reconnecting: ask.reconnecting,
            client_retry: ask.retry,
        };
        let p = &mut self.proxies[proxy];
        let number = p.next;
        p.next += 1;
        p.flows.insert(number, ask.id);
        let told = ask.patience / 10;
        self.flows.insert(
            ask.id,
            ProxySession { proxy, number, ask, conn: None, stands: None, told, may_have_run: false },
        );
        if std::mem::take(&mut self.proxies[proxy].armed) {
            self.end_proxy(now, proxy, false);
            return self.start_again(now, proxy);
        }
        if let Some(action) = self.proxies[proxy].engine.open_session(ORIGIN + now, number, session) {
            self.act(now, proxy, action);
        }
    }

    fn act(&mut self, now: Timestamp, proxy: usize, action: ProxyAction) {
        let id_of = |sim: &Self, number| sim.proxies[proxy].flows.get(&number).copied();
        match action {
            ProxyAction::Connect { session, attempt: dial, endpoint: server, timeout: limit, .. } => {
                let Some(id) = id_of(self, session) else { return };
                let server = server as usize - 1;
                let conn = self.connect(server, Peer::Session { proxy, number: session, dial, id });
                let flow = self.flows.get_mut(&id).expect("a flow of its proxy");
                (flow.conn, flow.told) = (Some(conn), limit / 10);
                self.reach(now, server, conn, limit.min(self.scenario.rules.connect_timeout.0));
                self.scheduled.push(now + limit, ScheduledEvent::Limit(conn));
            }
            ProxyAction::Reject { session, retry_after } => {
                self.answer(now, proxy, session, ClientResponse::Rejected(retry_after.div_ceil(10)));
            }
            ProxyAction::Fail { session } => self.answer(now, proxy, session, ClientResponse::Failed),
            ProxyAction::Migrate { session } => {
                if let Some(id) = self.proxies[proxy].flows.remove(&session) {
                    self.close_dial(now, id);
                    self.scheduled.push(now + HOP, ScheduledEvent::ToClient(id, ClientMessage::Migrate));
                }
            }
            ProxyAction::CheckHealth { endpoint: server } => {
                let server = server as usize - 1;
                let conn = self.connect(server, Peer::Probe { proxy, sent: now });
                self.reach(now, server, conn, self.scenario.rules.connect_timeout.0);
                self.scheduled.push(now + self.scenario.rules.connect_timeout.0, ScheduledEvent::Limit(conn));
            }
            ProxyAction::LimitSendDeadline { .. } | ProxyAction::PollEndpointList | ProxyAction::Log(_) => {}
        }
    }

    fn connect(&mut self, server: usize, peer: Peer) -> ConnectionId {
        self.next_conn += 1;
        self.peers.insert(self.next_conn, (server, peer));
        self.next_conn
    }

    /// A dead server refuses at once; a silent one never answers.
    fn reach(&mut self, now: Timestamp, server: usize, conn: ConnectionId, connect: TickDuration) {
        match self.world.servers[server].state() {
            crate::server::ServerState::Dead => {
                self.scheduled.push(now + 2 * HOP, ScheduledEvent::Unmade(conn))
            }
            crate::server::ServerState::Silent => {
                self.scheduled.push(now + connect, ScheduledEvent::Unmade(conn))
            }
            _ => self.scheduled.push(now + HOP, ScheduledEvent::ToServer(server, conn)),
        }
    }

    fn answer(&mut self, now: Timestamp, proxy: usize, session: u32, answer: ClientResponse) {
        if let Some(id) = self.proxies[proxy].flows.remove(&session) {
            self.flows.remove(&id);
            self.scheduled.push(now + HOP, ScheduledEvent::ToClient(id, ClientMessage::Response(answer)));
        }
    }

    fn reach_server(&mut self, now: Timestamp, server: usize, conn: ConnectionId) {
        match self.peers.get(&conn) {
            Some((_, Peer::Probe { .. })) => self.world.servers[server].check_health(now, conn),
            Some(&(_, Peer::Session { id, .. })) => {
                let Some(flow) = self.flows.get(&id) else { return };
                let (told, listener) = (flow.told, flow.ask.listener);
                let deeds = self.world.attempt_started(now, server, conn, id, told, listener);
                self.carry(now, deeds);
            }
            None => {}
        }
    }

    fn server_says(&mut self, now: Timestamp, server: usize, conn: ConnectionId, say: ServerMessage) {
        let Some(&(_, peer)) = self.peers.get(&conn) else { return };
        let (proxy, number, dial, id) = match peer {
            Peer::Session { proxy, number, dial, id } => (proxy, number, dial, id),
            Peer::Probe { proxy, sent } => {
                self.peers.remove(&conn);
                let (how, values) = match say {
                    ServerMessage::HealthReport(r) => {
                        (AttemptOutcome::Succeeded, vec![r.held as f64, r.used, r.asked])
                    }
                    _ => (AttemptOutcome::Reset, Vec::new()),
                };
                let engine = &mut self.proxies[proxy].engine;
                return engine.health_checked(
                    ORIGIN + now,
                    server as u32 + 1,
                    how,
                    now + HOP - sent,
                    &values,
                );
            }
        };
        let engine = &mut self.proxies[proxy].engine;
        match say {
            ServerMessage::Accepted => {
                engine.established(ORIGIN + now, number, dial);
                let Some(flow) = self.flows.get_mut(&id) else { return };
                flow.stands = Some(conn);
                self.move_by_chance(now, proxy, id);
                self.world.event_log.record(
                    now,
                    EventKind::AttemptEnded { id, server, connection: conn, end: AttemptEnd::Accepted },
                );
                self.scheduled.push(
                    now + HOP,
                    ScheduledEvent::ToClient(id, ClientMessage::Response(ClientResponse::Accepted)),
                );
            }
            ServerMessage::HealthReport(_) => {}
            ServerMessage::Load(load) => engine.observe(ORIGIN + now, number, dial, Observation::Load(load)),
            ServerMessage::Message(text) => {
                let number = u64::from_le_bytes(text.try_into().unwrap_or_default());
                self.scheduled.push(now + HOP, ScheduledEvent::ToClient(id, ClientMessage::Message(number)));
            }
            ServerMessage::AtCapacity => self.settle(now, conn, AttemptOutcome::AtCapacity),
            ServerMessage::Failed => self.settle(now, conn, AttemptOutcome::Failed),
            ServerMessage::Reset => self.settle(now, conn, AttemptOutcome::Reset),
            ServerMessage::Migrate => self.settle(now, conn, AttemptOutcome::Cancelled),
        }
    }

    /// A dial, or an accepted session's connection, has ended so.
    fn settle(&mut self, now: Timestamp, conn: ConnectionId, how: AttemptOutcome) {
        let Some(&(server, peer)) = self.peers.get(&conn) else { return };
        let Peer::Session { proxy, number, dial, id } = peer else {
            self.peers.remove(&conn);
            if let Peer::Probe { proxy, sent } = peer {
                self.proxies[proxy].engine.health_checked(
                    ORIGIN + now,
                    server as u32 + 1,
                    how,
                    now - sent,
                    &[],
                );
            }
            return;
        };
        let stood = self.flows.get(&id).is_some_and(|f| f.stands == Some(conn));
        if how == AttemptOutcome::TimedOut && stood {
            return;
        }
        self.peers.remove(&conn);
        let seen = match how {
            AttemptOutcome::AtCapacity => Some(AttemptEnd::Rejected),
            AttemptOutcome::Failed => Some(AttemptEnd::Failed),
            AttemptOutcome::Reset => Some(AttemptEnd::Reset),
            AttemptOutcome::Cancelled => Some(AttemptEnd::Migrated),
            AttemptOutcome::TimedOut => Some(AttemptEnd::Abandoned),
            _ => None,
        };
        if let Some(seen) = seen {
            self.world.attempt_ended(now, server, conn, id, seen);
        }
        if let Some(flow) = self.flows.get_mut(&id) {
            flow.conn = None;
            flow.may_have_run |= !how.never_ran();
        }
        let action = self.proxies[proxy].engine.attempt_ended(ORIGIN + now, number, dial, how, stood);
        if let Some(action) = action {
            self.act(now, proxy, action);
        } else if stood && self.proxies[proxy].flows.remove(&number).is_some() {
            let told = if how == AttemptOutcome::Cancelled {
                ClientMessage::Migrate
            } else {
                ClientMessage::ConnectionEnded
            };
            self.scheduled.push(now + HOP, ScheduledEvent::ToClient(id, told));
        }
    }
}
