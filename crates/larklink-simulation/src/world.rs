//! The whole world behind one door: faults and falling due go in with the time, deeds for the carrier come out.
use larklink_balancer::{TickDuration, Timestamp};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::clients::{ClientAction, Clients};
use crate::duration::SECOND;
use crate::endpoint_list::{EndpointList, EndpointListEntry, EndpointStatus};
use crate::event_log::{
    AttemptEnd, ClientRequest, ClientResponse, ConnectionEnd, Direction, EventKind, EventLog,
};
use crate::external_load_balancer::ExternalLoadBalancer;
use crate::faults::{FaultBand, FaultEvent, ProxyFault, timeline};
use crate::scenario::Scenario;
use crate::server::{ConnectionId, Server, ServerMessage, ServerOutput, ServerProfile};
use crate::session_store::SessionStore;

/// A line may be held for so long, and what is measured on sockets is so much late.
const HELD: TickDuration = SECOND + SECOND / 20;

/// What the carrier is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum WorldAction {
    /// On a connection to a server.
    Send {
        server: usize,
        connection: ConnectionId,
        message: ServerMessage,
    },
    /// Nobody listens there any more, and all its connections break.
    StopListening {
        server: usize,
    },
    /// It listens (again).
    Listen {
        server: usize,
    },
    Client(ClientAction),
    /// These clients lose their connections.
    DisconnectClients(Vec<u64>),
    Proxy(usize, ProxyFault),
    /// The list has a newer version.
    EndpointListChanged,
}

pub struct World {
    pub servers: Vec<Server>,
    pub session_store: SessionStore,
    pub clients: Clients,
    pub load_balancer: ExternalLoadBalancer,
    pub endpoint_list: EndpointList,
    pub event_log: EventLog,
    pub fault_bands: Vec<FaultBand>,
    faults: std::iter::Peekable<std::vec::IntoIter<(TickDuration, FaultEvent)>>,
}

fn profile(s: &crate::scenario::ServerGroup) -> ServerProfile {
    ServerProfile {
        cores: s.cores,
        speed: s.speed,
        holds: s.holds,
        setup_work: s.setup_work.0 as f64 * 100.0,
        queue: s.queue.0,
        start_capacity: s.start_capacity,
        warm_up: s.warm_up.0,
        fall_multiple: s.fall_multiple,
        fall_after: s.fall_after.0,
        falls: s.falls,
        back_after: s.back_after.0,
        report_every: s.report_every.0,
    }
}

impl World {
    /// A world as its scenario and a seed have it.
    pub fn new(scenario: &Scenario, seed: u64) -> Self {
        // Streams of their own: one more fault draws no other clients.
        let chance = |stream| {
            let mut rng = ChaCha8Rng::seed_from_u64(seed);
            rng.set_stream(stream);
            rng
        };
        let (faults, bands) = timeline(scenario, &mut chance(1));
        let listeners = scenario.listeners.iter().map(|l| l.get_ref().clone()).collect();
        let mut servers: Vec<_> = scenario.each_server().map(|s| Server::new(profile(s))).collect();
        let mut endpoint_list = EndpointList::new(servers.len(), scenario.list.lag.0);
        for (i, _) in scenario.each_server().enumerate().filter(|(_, s)| !s.listed) {
            servers[i].stop(0, &mut Vec::new());
            endpoint_list.leave_out(i);
        }
        Self {
            servers,
            endpoint_list,
            session_store: SessionStore::new(scenario.store.rate, scenario.store.bound.0),
            clients: Clients::new(listeners, scenario.length.0, chance(2)),
            load_balancer: ExternalLoadBalancer::new(
                scenario.proxies.count,
                scenario.proxies.zones,
                scenario.front.notices_after.0,
            ),
            event_log: EventLog::default(),
            fault_bands: bands,
            faults: faults.into_iter().peekable(),
        }
    }

    pub fn next_event_at(&mut self) -> Timestamp {
        let servers = self.servers.iter().map(Server::next_event_at).min().unwrap_or(Timestamp::MAX);
        let fault = self.faults.peek().map_or(Timestamp::MAX, |&(at, _)| at);
        servers.min(fault).min(self.clients.next_event_at()).min(self.endpoint_list.next_event_at())
    }

    /// All that happens by now.
    pub fn advance(&mut self, now: Timestamp) -> Vec<WorldAction> {
        let mut deeds = Vec::new();
        while let Some((_, event)) = self.faults.next_if(|&(at, _)| at <= now) {
            self.event_log.record(now, EventKind::FaultInjected(format!("{event:?}")));
            self.strike(now, event, &mut deeds);
        }
        let mut out = Vec::new();
        for server in 0..self.servers.len() {
            self.servers[server].advance(now, &mut out);
            self.carry(now, server, &mut out, &mut deeds);
        }
        let mut acts = Vec::new();
        self.clients.advance(now, &mut acts);
        for act in acts {
            match act {
                ClientAction::TimeOut { id } => self.event_log.record(now, EventKind::ClientTimedOut { id }),
                ClientAction::Leave { id } => {
                    self.event_log.record(now, EventKind::ConnectionEnded { id, end: ConnectionEnd::Left })
                }
                ClientAction::Silent { id, duration: span } => {
                    self.event_log.record(now, EventKind::ConnectionSilent { id, duration: span })
                }
                _ => {}
            }
            deeds.push(WorldAction::Client(act));
        }
        if self.endpoint_list.advance(now) {
            deeds.push(WorldAction::EndpointListChanged);
        }
        deeds
    }

    fn strike(&mut self, now: Timestamp, event: FaultEvent, deeds: &mut Vec<WorldAction>) {
        let mut out = Vec::new();
        match event {
            FaultEvent::Proxy(proxy, upon) => {
                if matches!(upon, ProxyFault::Stop { .. }) {
                    self.load_balancer.remove_proxy(proxy);
                }
                deeds.push(WorldAction::Proxy(proxy, upon));
            }
            FaultEvent::Silence { server, until } => {
                if self.servers[server].listens() {
                    self.servers[server].silence(until);
                    self.event_log.record(now, EventKind::ServerSilent { server, until });
                }
            }
            FaultEvent::Pause { server, until } => self.servers[server].pause(until),
            FaultEvent::Die { server } => {
                self.servers[server].stop(now, &mut out);
                self.carry(now, server, &mut out, deeds);
            }
            FaultEvent::Back { server } => {
                self.servers[server].start(now, &mut out);
                self.carry(now, server, &mut out, deeds);
            }
            FaultEvent::Drain { server } => {
                self.servers[server].drain();
                self.endpoint_list.change(
                    now,
                    EndpointListEntry {
                        server,
                        status: EndpointStatus::Draining,
                        started: self.started(server),
                    },
                );
            }
            FaultEvent::Gone { server } => {
                let sessions = self.servers[server].sessions_held();
                if sessions > 0 {
                    self.event_log.record(now, EventKind::SessionsLeftBehind { server, sessions });
                }
                self.servers[server].migrate_sessions(&mut out);
                self.servers[server].stop(now, &mut out);
                self.carry(now, server, &mut out, deeds);
            }
            FaultEvent::Drops { server, one_in } => self.servers[server].drop_one_in(one_in),
            FaultEvent::StoreSlow { factor } => self.session_store.set_slowdown(factor),
            FaultEvent::ListLost { until } => self.endpoint_list.make_unreachable(until),
            FaultEvent::ListStill { until } => self.endpoint_list.freeze_until(until),
            FaultEvent::DropClients { share } => {
                let ids = self.clients.sample_established(share);
                for &id in &ids {
                    self.event_log.record(now, EventKind::ConnectionEnded { id, end: ConnectionEnd::Left });
                    self.clients.connection_ended(now, id, ConnectionEnd::Broken);
                }
                deeds.push(WorldAction::DisconnectClients(ids));
            }
        }
    }

    fn started(&self, server: usize) -> TickDuration {
        self.servers[server].started().unwrap_or(0)
    }

    fn carry(
        &mut self,
        now: Timestamp,
        server: usize,
        out: &mut Vec<ServerOutput>,
        deeds: &mut Vec<WorldAction>,
    ) {
        for one in out.drain(..) {
            match one {
                ServerOutput::Send(conn, say) => {
                    deeds.push(WorldAction::Send { server, connection: conn, message: say })
                }
                ServerOutput::Ran(id) => self.event_log.record(now, EventKind::SessionRan { id, server }),
                ServerOutput::RanAfterAbandoned(id) => {
                    self.event_log.record(now, EventKind::RanAfterAbandoned { id, server })
                }
                ServerOutput::Overloaded(ratio) => {
                    self.event_log.record(now, EventKind::Overloaded { server, ratio })
                }
                ServerOutput::Died => {
                    self.event_log.record(now, EventKind::ServerDied { server });
                    self.endpoint_list.change(
                        now,
                        EndpointListEntry {
                            server,
                            status: EndpointStatus::Removed,
                            started: self.started(server),
                        },
                    );
                    deeds.push(WorldAction::StopListening { server });
                }
                ServerOutput::Started => {
                    self.event_log.record(now, EventKind::ServerStarted { server });
                    self.endpoint_list.change(
                        now,
                        EndpointListEntry {
                            server,
                            status: EndpointStatus::Up,
                            started: self.started(server),
                        },
                    );
                    deeds.push(WorldAction::Listen { server });
                }
            }
        }
    }

    /// A first line has come to a server, telling that its sender waits for so many milliseconds.
    pub fn attempt_started(
        &mut self,
        now: Timestamp,
        server: usize,
        conn: ConnectionId,
        id: u64,
        told: u64,
        listener: usize,
    ) -> Vec<WorldAction> {
        self.event_log
            .record(now, EventKind::AttemptStarted { id, server, connection: conn, timeout_ms: told });
        let (mut out, mut deeds) = (Vec::new(), Vec::new());
        let load = self.clients.load(listener);
        self.servers[server].receive_request(now, conn, id, load, &mut self.session_store, &mut out);
        self.carry(now, server, &mut out, &mut deeds);
        deeds
    }

    /// How a dial or an accepted session's connection ended at its server.
    pub fn attempt_ended(
        &mut self,
        now: Timestamp,
        server: usize,
        conn: ConnectionId,
        id: u64,
        how: AttemptEnd,
    ) {
        if how == AttemptEnd::Abandoned {
            self.servers[server].connection_closed(conn);
        }
        self.event_log.record(now, EventKind::AttemptEnded { id, server, connection: conn, end: how });
    }

    /// A session's line has come to its server, sent then.
    pub fn message_to_server(
        &mut self,
        now: Timestamp,
        server: usize,
        conn: ConnectionId,
        id: u64,
        sent: Option<Timestamp>,
        text: Vec<u8>,
    ) -> Vec<WorldAction> {
        self.record_delay(now, id, Direction::ToServer, sent);
        let work = self.clients.listener_of(id).map_or(0.0, |l| self.clients.line_work(l));
        let (mut out, mut deeds) = (Vec::new(), Vec::new());
        self.servers[server].receive_message(now, conn, work, text, &mut out);
        self.carry(now, server, &mut out, &mut deeds);
        deeds
    }

    fn record_delay(&mut self, now: Timestamp, id: u64, way: Direction, sent: Option<Timestamp>) {
        let took = sent.map_or(0, |at| now.saturating_sub(at));
        if took > HELD {
            self.event_log.record(now, EventKind::MessageDelayed { id, direction: way, took });
        }
    }

    pub fn response_received(&mut self, now: Timestamp, id: u64, answer: ClientResponse) {
        self.event_log.record(now, EventKind::Answered { id, response: answer });
        self.clients.response_received(now, id, answer);
    }

    /// A session's line is back at its client, sent back by its server then.
    pub fn message_returned(
        &mut self,
        now: Timestamp,
        id: u64,
        number: u64,
        sent: Option<Timestamp>,
    ) -> Option<TickDuration> {
        self.record_delay(now, id, Direction::ToClient, sent);
        let (took, late) = self.clients.message_returned(now, id, number)?;
        if late {
            self.event_log.record(now, EventKind::MessageLate { id, took });
        }
        Some(took)
    }

    /// A connection ended before it had an answer.
    pub fn ended_without_response(&mut self, now: Timestamp, id: u64, how: ConnectionEnd) {
        self.event_log.record(now, EventKind::ConnectionEnded { id, end: how });
        self.clients.ended_without_response(now, id);
    }

    pub fn proxy_unreachable(&mut self, now: Timestamp, id: u64, proxy: usize) {
        self.event_log.record(now, EventKind::ProxyUnreachable { id, proxy });
        self.clients.ended_without_response(now, id);
    }

    /// An accepted session's connection ended.
    pub fn connection_ended(&mut self, now: Timestamp, id: u64, how: ConnectionEnd) {
        self.event_log.record(now, EventKind::ConnectionEnded { id, end: how });
        self.clients.connection_ended(now, id, how);
    }

    /// The proxy to which the front deals a session; where nobody is in front, its client tries again like one
    /// without an answer.
    pub fn assign_proxy(&mut self, now: Timestamp, ask: &ClientRequest) -> Option<usize> {
        let proxy = self.load_balancer.next_proxy(now, ask.key);
        if proxy.is_none() {
            self.clients.ended_without_response(now, ask.id);
        }
        proxy
    }

    pub fn proxy_up(&mut self, now: Timestamp, proxy: usize) {
        self.load_balancer.proxy_answered(proxy);
        self.event_log.record(now, EventKind::ProxyUp { proxy });
    }

    pub fn proxy_exited(&mut self, now: Timestamp, proxy: usize, planned: bool) {
        self.load_balancer.proxy_died(now, proxy);
        self.event_log.record(now, EventKind::ProxyExited { proxy, planned });
    }

    /// The lines of the list that are newer than what a proxy has, as they are written to it.
    pub fn notify_proxy(
        &mut self,
        now: Timestamp,
        proxy: usize,
        after: Option<u64>,
    ) -> (u64, Vec<EndpointListEntry>) {
        let lines = self.endpoint_list.entries_after(after);
        for line in &lines {
            let ready = line.status == EndpointStatus::Up;
            self.event_log.record(now, EventKind::EndpointNotified { proxy, server: line.server, ready });
        }
        (self.endpoint_list.version(), lines)
    }
}
