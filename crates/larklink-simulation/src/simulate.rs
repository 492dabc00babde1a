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
use crate::book::{Answer, Ask, Book, DialEnd, End, What};
use crate::clients::Act;
use crate::faults::Upon;
use crate::goodput::{Recovery, recovery};
use crate::list::{Line, Status};
use crate::scenario::{Kind, Scenario};
use crate::server::{Conn, Say};
use crate::spans::{Agenda, SECOND};
use crate::world::{Deed, World};

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
    pub book: Book,
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

enum Hop {
    Open(usize, Ask),
    ToServer(usize, Conn),
    FromServer(usize, Conn, Say),
    ToClient(u64, Told),
    ClientLine(u64, u64),
    /// A dial that its proxy gives up at its limit, and one whose connection does not come up.
    Limit(Conn),
    Unmade(Conn),
    List(usize),
    Start(usize),
    /// A proxy that stops sends a session away, and looks whether it has ended.
    SendAway(u64),
    Stops(usize),
    Wakes,
}

#[derive(Clone)]
enum Told {
    Answer(Answer),
    Move,
    Ended,
    Line(u64),
}

struct Flow {
    proxy: usize,
    number: u32,
    ask: Ask,
    conn: Option<Conn>,
    /// The connection on which it was accepted.
    stands: Option<Conn>,
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

struct Sim<'a> {
    scenario: &'a Scenario,
    world: World,
    proxies: Vec<Proxy>,
    flows: BTreeMap<u64, Flow>,
    peers: BTreeMap<Conn, (usize, Peer)>,
    next_conn: Conn,
    hops: Agenda<Hop>,
    seed: u64,
}

/// The settings object that a scenario's daemon of that number is given.
pub fn settings(scenario: &Scenario, proxy: usize) -> serde_json::Value {
    let ns = |t: TickDuration| t * 100_000;
    let grades = scenario.listeners.iter().map(|l| {
        let l = l.get_ref();
        let kind = match l.kind {
            Kind::Repeatable => "idempotent",
            Kind::Referenced => "deduplicated",
            Kind::OnceOnly => "at_most_once",
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
    let mut sim = Sim {
        scenario,
        world,
        proxies: Vec::new(),
        flows: BTreeMap::new(),
        peers: BTreeMap::new(),
        next_conn: 1,
        hops: Agenda::default(),
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
        while let Some((_, hop)) = sim.hops.pop(now) {
            sim.hop(now, hop);
        }
        let deeds = sim.world.turn(now);
        sim.carry(now, deeds);
        for proxy in 0..sim.proxies.len() {
            sim.poll(now, proxy);
        }
        let engine =
            |p: &Proxy| if p.alive { p.engine.next_wakeup().saturating_sub(ORIGIN) } else { Timestamp::MAX };
        let cores = sim.proxies.iter().map(engine).min().unwrap_or(Timestamp::MAX);
        now = sim.world.due().min(sim.hops.due()).min(cores).max(now + 1);
    }
    sim.world.clients.finish(end);
    let service = sim.world.clients.service();
    let findings = audit(scenario, &sim.world.book, end);
    let recovery = recovery(scenario, &sim.world.book);
    Run { book: sim.world.book, findings, service, recovery }
}

impl Sim<'_> {
    fn engine(&self, now: Timestamp, proxy: usize) -> Engine {
        let facts = settings(self.scenario, proxy).to_string();
        let facts = ProxySettings::read(facts.as_bytes()).expect("settings of our own make");
        let seed = self.seed.wrapping_mul(1000).wrapping_add(proxy as u64 + now);
        Engine::new(&facts, seed, ORIGIN + now)
    }

    fn hear_list(&mut self, now: Timestamp, proxy: usize) {
        if !self.proxies[proxy].alive || !self.world.list.answers(now) {
            return;
        }
        let known = self.proxies[proxy].known;
        let (version, lines) = self.world.tell(now, proxy, known);
        let scope = if known.is_some() { ListScope::Changes } else { ListScope::Complete };
        let weights: Vec<f64> = self.scenario.each_server().map(|s| s.weight).collect();
        let zones = self.scenario.proxies.zones;
        let entry = |line: &Line| EndpointEntry {
            endpoint: 0,
            id: line.server as u32 + 1,
            zone: (line.server % zones) as u16,
            cell: 0,
            state: match line.status {
                Status::Up => EndpointState::Ready,
                Status::Draining => EndpointState::Draining,
                Status::Removed => EndpointState::Removed,
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

    fn carry(&mut self, now: Timestamp, deeds: Vec<Deed>) {
        for deed in deeds {
            match deed {
                Deed::Say { server, conn, say } => {
                    self.hops.add(now + HOP, Hop::FromServer(server, conn, say))
                }
                Deed::Down { server } => {
                    let broken: Vec<_> =
                        self.peers.iter().filter(|(_, (s, _))| *s == server).map(|(&conn, _)| conn).collect();
                    for conn in broken {
                        self.hops.add(now + HOP, Hop::FromServer(server, conn, Say::Cut));
                    }
                }
                Deed::Listen { .. } | Deed::Proxy(_, Upon::Reload | Upon::Replace) => {}
                Deed::Client(act) => self.client(now, act),
                Deed::Drop(ids) => ids.into_iter().for_each(|id| self.client_gone(now, id)),
                Deed::Proxy(proxy, Upon::KillAtAccept { back }) => {
                    let p = &mut self.proxies[proxy];
                    (p.armed, p.back) = (p.alive, back);
                }
                Deed::Proxy(proxy, Upon::Kill) => self.end_proxy(now, proxy, false),
                Deed::Proxy(proxy, Upon::Stop { back }) => self.stop_proxy(now, proxy, back),
                Deed::Proxy(proxy, Upon::Start) => self.start_proxy(now, proxy),
                Deed::ListChanged => {
                    for proxy in 0..self.proxies.len() {
                        self.hops.add(now + HOP, Hop::List(proxy));
                    }
                }
            }
        }
        // A list that was out of reach is read as soon as it answers.
        if self.proxies.iter().any(|p| p.alive && p.known != Some(self.world.list.version())) {
            self.hops.add(now + SECOND / 10, Hop::Wakes);
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
        self.hops.add(now + STILL_COMING, Hop::Stops(proxy));
    }

    /// Where its proxy stops, a session that stands leaves within its share of the time; its id is drawn by chance.
    fn move_by_chance(&mut self, now: Timestamp, proxy: usize, id: u64) {
        if let Some((_, until)) = self.proxies[proxy].stops {
            let share = (id % 1024) as f64 / 1024.0 * MOVED_BY;
            let wait = until.saturating_sub(now) as f64 * share;
            self.hops.add(now + wait as TickDuration, Hop::SendAway(id));
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
            self.hops.add(now + LOOK, Hop::Stops(proxy));
        }
    }

    /// It starts again when it is to, after its end.
    fn start_again(&mut self, now: Timestamp, proxy: usize) {
        if let Some(back) = self.proxies[proxy].back.take() {
            self.hops.add(now + back, Hop::Start(proxy));
        }
    }

    /// There is no more time for an answer of the module's.
    fn last_answer(&mut self, now: Timestamp, id: u64) {
        let flow = &self.flows[&id];
        let (proxy, number) = (flow.proxy, flow.number);
        let may_have_run = flow.may_have_run || flow.conn.is_some();
        self.close_dial(now, id);
        self.proxies[proxy].engine.client_left(number);
        self.answer(now, proxy, number, if may_have_run { Answer::TornDown } else { Answer::Refused(0) });
    }

    fn send_away(&mut self, now: Timestamp, id: u64) {
        let Some(flow) = self.flows.get(&id) else { return };
        let (proxy, number) = (flow.proxy, flow.number);
        if self.proxies[proxy].flows.remove(&number).is_some() {
            self.proxies[proxy].engine.client_left(number);
            self.close_dial(now, id);
            self.hops.add(now + HOP, Hop::ToClient(id, Told::Move));
        }
    }

    fn end_proxy(&mut self, now: Timestamp, proxy: usize, planned: bool) {
        let p = &mut self.proxies[proxy];
        p.alive = false;
        let flows = std::mem::take(&mut p.flows);
        self.world.proxy_gone(now, proxy, planned);
        for id in flows.into_values() {
            let how = if planned { Told::Move } else { Told::Ended };
            self.close_dial(now, id);
            self.hops.add(now + HOP, Hop::ToClient(id, how));
        }
        self.peers.retain(|_, (_, peer)| !matches!(peer, Peer::Probe { proxy: p, .. } if *p == proxy));
    }

    fn client(&mut self, now: Timestamp, act: Act) {
        match act {
            Act::Open(ask) => {
                if let Some(proxy) = self.world.deal(now, &ask) {
                    self.world.book.note(now, What::Opened { ask: ask.clone(), proxy });
                    self.hops.add(now + HOP, Hop::Open(proxy, ask));
                }
            }
            Act::Line { id, number } => self.hops.add(now + HOP, Hop::ClientLine(id, number)),
            Act::GiveUp { id } | Act::Leave { id } => self.client_gone(now, id),
            Act::Silent { .. } => {}
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
            self.world.dial_ended(now, server, conn, id, DialEnd::GivenUp);
        }
    }

    fn hop(&mut self, now: Timestamp, hop: Hop) {
        match hop {
            Hop::Wakes => (0..self.proxies.len()).for_each(|p| self.hear_list(now, p)),
            Hop::Start(proxy) => self.start_proxy(now, proxy),
            Hop::SendAway(id) => self.send_away(now, id),
            Hop::Stops(proxy) => self.stopping(now, proxy),
            Hop::List(proxy) => self.hear_list(now, proxy),
            Hop::Open(proxy, ask) => self.open(now, proxy, ask),
            Hop::ToServer(server, conn) => self.reach_server(now, server, conn),
            Hop::FromServer(server, conn, say) => self.server_says(now, server, conn, say),
            Hop::Limit(conn) => self.settle(now, conn, AttemptOutcome::TimedOut),
            Hop::Unmade(conn) => self.settle(now, conn, AttemptOutcome::ConnectFailed),
            Hop::ClientLine(id, number) => {
                let at = self.flows.get(&id).and_then(|f| f.conn);
                if let Some((conn, (server, _))) = at.and_then(|c| self.peers.get(&c).map(|p| (c, *p))) {
                    let text = number.to_le_bytes().to_vec();
                    let deeds = self.world.line(now, server, conn, id, None, text);
                    self.carry(now, deeds);
                }
            }
            Hop::ToClient(id, told) => self.tell_client(now, id, told),
        }
    }

    fn tell_client(&mut self, now: Timestamp, id: u64, told: Told) {
        match told {
            Told::Answer(answer) => self.world.answered(now, id, answer),
            Told::Line(number) => {
                self.world.back(now, id, number, None);
            }
            Told::Move => {
                self.flows.remove(&id);
                self.world.ended(now, id, End::Moved);
            }
            Told::Ended => {
                self.flows.remove(&id);
                self.world.ended(now, id, End::Broken);
            }
        }
    }

    fn open(&mut self, now: Timestamp, proxy: usize, ask: Ask) {
        if !self.proxies[proxy].alive {
            return self.world.nobody_there(now, ask.id, proxy);
        }
        let session = SessionRequest {
            listener: ask.listener,
            group_key: ask.group,
            client_key: ask.key,
            dial_timeout: ask.patience,
            established: false,
            reconnecting: ask.again,
            client_retry: ask.retry,
        };
        let p = &mut self.proxies[proxy];
        let number = p.next;
        p.next += 1;
        p.flows.insert(number, ask.id);
        let told = ask.patience / 10;
        self.flows
            .insert(ask.id, Flow { proxy, number, ask, conn: None, stands: None, told, may_have_run: false });
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
                self.hops.add(now + limit, Hop::Limit(conn));
            }
            ProxyAction::Reject { session, retry_after } => {
                self.answer(now, proxy, session, Answer::Refused(retry_after.div_ceil(10)));
            }
            ProxyAction::Fail { session } => self.answer(now, proxy, session, Answer::TornDown),
            ProxyAction::Migrate { session } => {
                if let Some(id) = self.proxies[proxy].flows.remove(&session) {
                    self.close_dial(now, id);
                    self.hops.add(now + HOP, Hop::ToClient(id, Told::Move));
                }
            }
            ProxyAction::CheckHealth { endpoint: server } => {
                let server = server as usize - 1;
                let conn = self.connect(server, Peer::Probe { proxy, sent: now });
                self.reach(now, server, conn, self.scenario.rules.connect_timeout.0);
                self.hops.add(now + self.scenario.rules.connect_timeout.0, Hop::Limit(conn));
            }
            ProxyAction::LimitSendDeadline { .. } | ProxyAction::PollEndpointList | ProxyAction::Log(_) => {}
        }
    }

    fn connect(&mut self, server: usize, peer: Peer) -> Conn {
        self.next_conn += 1;
        self.peers.insert(self.next_conn, (server, peer));
        self.next_conn
    }

    /// A dead server refuses at once; a silent one never answers.
    fn reach(&mut self, now: Timestamp, server: usize, conn: Conn, connect: TickDuration) {
        match self.world.servers[server].life() {
            crate::server::Life::Dead => self.hops.add(now + 2 * HOP, Hop::Unmade(conn)),
            crate::server::Life::Silent => self.hops.add(now + connect, Hop::Unmade(conn)),
            _ => self.hops.add(now + HOP, Hop::ToServer(server, conn)),
        }
    }

    fn answer(&mut self, now: Timestamp, proxy: usize, session: u32, answer: Answer) {
        if let Some(id) = self.proxies[proxy].flows.remove(&session) {
            self.flows.remove(&id);
            self.hops.add(now + HOP, Hop::ToClient(id, Told::Answer(answer)));
        }
    }

    fn reach_server(&mut self, now: Timestamp, server: usize, conn: Conn) {
        match self.peers.get(&conn) {
            Some((_, Peer::Probe { .. })) => self.world.servers[server].probe(now, conn),
            Some(&(_, Peer::Session { id, .. })) => {
                let Some(flow) = self.flows.get(&id) else { return };
                let (told, listener) = (flow.told, flow.ask.listener);
                let deeds = self.world.dialled(now, server, conn, id, told, listener);
                self.carry(now, deeds);
            }
            None => {}
        }
    }

    fn server_says(&mut self, now: Timestamp, server: usize, conn: Conn, say: Say) {
        let Some(&(_, peer)) = self.peers.get(&conn) else { return };
        let (proxy, number, dial, id) = match peer {
            Peer::Session { proxy, number, dial, id } => (proxy, number, dial, id),
            Peer::Probe { proxy, sent } => {
                self.peers.remove(&conn);
                let (how, values) = match say {
                    Say::Pong(r) => (AttemptOutcome::Succeeded, vec![r.held as f64, r.used, r.asked]),
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
            Say::Up => {
                engine.established(ORIGIN + now, number, dial);
                let Some(flow) = self.flows.get_mut(&id) else { return };
                flow.stands = Some(conn);
                self.move_by_chance(now, proxy, id);
                self.world.book.note(now, What::DialEnded { id, server, conn, how: DialEnd::Accepted });
                self.hops.add(now + HOP, Hop::ToClient(id, Told::Answer(Answer::Accepted)));
            }
            Say::Pong(_) => {}
            Say::Load(load) => engine.observe(ORIGIN + now, number, dial, Observation::Load(load)),
            Say::Line(text) => {
                let number = u64::from_le_bytes(text.try_into().unwrap_or_default());
                self.hops.add(now + HOP, Hop::ToClient(id, Told::Line(number)));
            }
            Say::Busy => self.settle(now, conn, AttemptOutcome::AtCapacity),
            Say::Error => self.settle(now, conn, AttemptOutcome::Failed),
            Say::Cut => self.settle(now, conn, AttemptOutcome::Reset),
            Say::Move => self.settle(now, conn, AttemptOutcome::Cancelled),
        }
    }

    /// A dial, or an accepted session's connection, has ended so.
    fn settle(&mut self, now: Timestamp, conn: Conn, how: AttemptOutcome) {
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
            AttemptOutcome::AtCapacity => Some(DialEnd::TurnedAway),
            AttemptOutcome::Failed => Some(DialEnd::Failed),
            AttemptOutcome::Reset => Some(DialEnd::Cut),
            AttemptOutcome::Cancelled => Some(DialEnd::SentAway),
            AttemptOutcome::TimedOut => Some(DialEnd::GivenUp),
            _ => None,
        };
        if let Some(seen) = seen {
            self.world.dial_ended(now, server, conn, id, seen);
        }
        if let Some(flow) = self.flows.get_mut(&id) {
            flow.conn = None;
            flow.may_have_run |= !how.never_ran();
        }
        let action = self.proxies[proxy].engine.attempt_ended(ORIGIN + now, number, dial, how, stood);
        if let Some(action) = action {
            self.act(now, proxy, action);
        } else if stood && self.proxies[proxy].flows.remove(&number).is_some() {
            let told = if how == AttemptOutcome::Cancelled { Told::Move } else { Told::Ended };
            self.hops.add(now + HOP, Hop::ToClient(id, told));
        }
    }
}
