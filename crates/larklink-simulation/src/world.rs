//! The whole world behind one door: faults and falling due go in with the time, deeds for the carrier come out.
use larklink_balancer::{TickDuration, Timestamp};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::book::{Answer, Ask, Book, DialEnd, End, Way, What};
use crate::clients::{Act, Clients};
use crate::faults::{Band, Event, Upon, timeline};
use crate::front::Front;
use crate::list::{Line, List, Status};
use crate::scenario::Scenario;
use crate::server::{Conn, Out, Profile, Say, Server};
use crate::spans::SECOND;
use crate::store::Store;

/// A line may be held for so long, and what is measured on sockets is so much late.
const HELD: TickDuration = SECOND + SECOND / 20;

/// What the carrier is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Deed {
    /// On a connection to a server.
    Say {
        server: usize,
        conn: Conn,
        say: Say,
    },
    /// Nobody listens there any more, and all its connections break.
    Down {
        server: usize,
    },
    /// It listens (again).
    Listen {
        server: usize,
    },
    Client(Act),
    /// These clients lose their connections.
    Drop(Vec<u64>),
    Proxy(usize, Upon),
    /// The list has a newer version.
    ListChanged,
}

pub struct World {
    pub servers: Vec<Server>,
    pub store: Store,
    pub clients: Clients,
    pub front: Front,
    pub list: List,
    pub book: Book,
    pub bands: Vec<Band>,
    faults: std::iter::Peekable<std::vec::IntoIter<(TickDuration, Event)>>,
}

fn profile(s: &crate::scenario::Servers) -> Profile {
    Profile {
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
        let mut list = List::new(servers.len(), scenario.list.lag.0);
        for (i, _) in scenario.each_server().enumerate().filter(|(_, s)| !s.listed) {
            servers[i].die(0, &mut Vec::new());
            list.leave_out(i);
        }
        Self {
            servers,
            list,
            store: Store::new(scenario.store.rate, scenario.store.bound.0),
            clients: Clients::new(listeners, scenario.length.0, chance(2)),
            front: Front::new(scenario.proxies.count, scenario.proxies.zones, scenario.front.notices_after.0),
            book: Book::default(),
            bands,
            faults: faults.into_iter().peekable(),
        }
    }

    pub fn due(&mut self) -> Timestamp {
        let servers = self.servers.iter().map(Server::due).min().unwrap_or(Timestamp::MAX);
        let fault = self.faults.peek().map_or(Timestamp::MAX, |&(at, _)| at);
        servers.min(fault).min(self.clients.due()).min(self.list.due())
    }

    /// All that happens by now.
    pub fn turn(&mut self, now: Timestamp) -> Vec<Deed> {
        let mut deeds = Vec::new();
        while let Some((_, event)) = self.faults.next_if(|&(at, _)| at <= now) {
            self.book.note(now, What::Fault(format!("{event:?}")));
            self.strike(now, event, &mut deeds);
        }
        let mut out = Vec::new();
        for server in 0..self.servers.len() {
            self.servers[server].turn(now, &mut out);
            self.carry(now, server, &mut out, &mut deeds);
        }
        let mut acts = Vec::new();
        self.clients.turn(now, &mut acts);
        for act in acts {
            match act {
                Act::GiveUp { id } => self.book.note(now, What::GaveUp { id }),
                Act::Leave { id } => self.book.note(now, What::Ended { id, how: End::Left }),
                Act::Silent { id, span } => self.book.note(now, What::SilentFor { id, span }),
                _ => {}
            }
            deeds.push(Deed::Client(act));
        }
        if self.list.turn(now) {
            deeds.push(Deed::ListChanged);
        }
        deeds
    }

    fn strike(&mut self, now: Timestamp, event: Event, deeds: &mut Vec<Deed>) {
        let mut out = Vec::new();
        match event {
            Event::Proxy(proxy, upon) => {
                if matches!(upon, Upon::Stop { .. }) {
                    self.front.take_out(proxy);
                }
                deeds.push(Deed::Proxy(proxy, upon));
            }
            Event::Silence { server, until } => {
                if self.servers[server].listens() {
                    self.servers[server].silence(until);
                    self.book.note(now, What::ServerSilent { server, until });
                }
            }
            Event::Pause { server, until } => self.servers[server].pause(until),
            Event::Die { server } => {
                self.servers[server].die(now, &mut out);
                self.carry(now, server, &mut out, deeds);
            }
            Event::Back { server } => {
                self.servers[server].start(now, &mut out);
                self.carry(now, server, &mut out, deeds);
            }
            Event::Drain { server } => {
                self.servers[server].drain();
                self.list
                    .change(now, Line { server, status: Status::Draining, started: self.started(server) });
            }
            Event::Gone { server } => {
                let sessions = self.servers[server].held();
                if sessions > 0 {
                    self.book.note(now, What::LeftBehind { server, sessions });
                }
                self.servers[server].send_away(&mut out);
                self.servers[server].die(now, &mut out);
                self.carry(now, server, &mut out, deeds);
            }
            Event::Drops { server, one_in } => self.servers[server].drop_one_in(one_in),
            Event::StoreSlow { factor } => self.store.slow(factor),
            Event::ListLost { until } => self.list.lose(until),
            Event::ListStill { until } => self.list.stand_still(until),
            Event::DropClients { share } => {
                let ids = self.clients.drawn(share);
                for &id in &ids {
                    self.book.note(now, What::Ended { id, how: End::Left });
                    self.clients.ended(now, id, End::Broken);
                }
                deeds.push(Deed::Drop(ids));
            }
        }
    }

    fn started(&self, server: usize) -> TickDuration {
        self.servers[server].started().unwrap_or(0)
    }

    fn carry(&mut self, now: Timestamp, server: usize, out: &mut Vec<Out>, deeds: &mut Vec<Deed>) {
        for one in out.drain(..) {
            match one {
                Out::Say(conn, say) => deeds.push(Deed::Say { server, conn, say }),
                Out::Ran(id) => self.book.note(now, What::Ran { id, server }),
                Out::RanLate(id) => self.book.note(now, What::RanLate { id, server }),
                Out::Over(ratio) => self.book.note(now, What::Over { server, ratio }),
                Out::Died => {
                    self.book.note(now, What::ServerDied { server });
                    self.list
                        .change(now, Line { server, status: Status::Removed, started: self.started(server) });
                    deeds.push(Deed::Down { server });
                }
                Out::Back => {
                    self.book.note(now, What::ServerBack { server });
                    self.list.change(now, Line { server, status: Status::Up, started: self.started(server) });
                    deeds.push(Deed::Listen { server });
                }
            }
        }
    }

    /// A first line has come to a server, telling that its sender waits for so many milliseconds.
    pub fn dialled(
        &mut self,
        now: Timestamp,
        server: usize,
        conn: Conn,
        id: u64,
        told: u64,
        listener: usize,
    ) -> Vec<Deed> {
        self.book.note(now, What::Dial { id, server, conn, told });
        let (mut out, mut deeds) = (Vec::new(), Vec::new());
        let load = self.clients.load(listener);
        self.servers[server].head(now, conn, id, load, &mut self.store, &mut out);
        self.carry(now, server, &mut out, &mut deeds);
        deeds
    }

    /// How a dial or an accepted session's connection ended at its server.
    pub fn dial_ended(&mut self, now: Timestamp, server: usize, conn: Conn, id: u64, how: DialEnd) {
        if how == DialEnd::GivenUp {
            self.servers[server].closed(conn);
        }
        self.book.note(now, What::DialEnded { id, server, conn, how });
    }

    /// A session's line has come to its server, sent then.
    pub fn line(
        &mut self,
        now: Timestamp,
        server: usize,
        conn: Conn,
        id: u64,
        sent: Option<Timestamp>,
        text: Vec<u8>,
    ) -> Vec<Deed> {
        self.held(now, id, Way::ToServer, sent);
        let work = self.clients.listener_of(id).map_or(0.0, |l| self.clients.line_work(l));
        let (mut out, mut deeds) = (Vec::new(), Vec::new());
        self.servers[server].line(now, conn, work, text, &mut out);
        self.carry(now, server, &mut out, &mut deeds);
        deeds
    }

    fn held(&mut self, now: Timestamp, id: u64, way: Way, sent: Option<Timestamp>) {
        let took = sent.map_or(0, |at| now.saturating_sub(at));
        if took > HELD {
            self.book.note(now, What::Held { id, way, took });
        }
    }

    pub fn answered(&mut self, now: Timestamp, id: u64, answer: Answer) {
        self.book.note(now, What::Answered { id, answer });
        self.clients.answered(now, id, answer);
    }

    /// A session's line is back at its client, sent back by its server then.
    pub fn back(
        &mut self,
        now: Timestamp,
        id: u64,
        number: u64,
        sent: Option<Timestamp>,
    ) -> Option<TickDuration> {
        self.held(now, id, Way::ToClient, sent);
        let (took, late) = self.clients.back(now, id, number)?;
        if late {
            self.book.note(now, What::LineLate { id, took });
        }
        Some(took)
    }

    /// A connection ended before it had an answer.
    pub fn unanswered(&mut self, now: Timestamp, id: u64, how: End) {
        self.book.note(now, What::Ended { id, how });
        self.clients.lost(now, id);
    }

    pub fn nobody_there(&mut self, now: Timestamp, id: u64, proxy: usize) {
        self.book.note(now, What::NobodyThere { id, proxy });
        self.clients.lost(now, id);
    }

    /// An accepted session's connection ended.
    pub fn ended(&mut self, now: Timestamp, id: u64, how: End) {
        self.book.note(now, What::Ended { id, how });
        self.clients.ended(now, id, how);
    }

    /// The proxy to which the front deals a session; where nobody is in front, its client tries again like one
    /// without an answer.
    pub fn deal(&mut self, now: Timestamp, ask: &Ask) -> Option<usize> {
        let proxy = self.front.deal(now, ask.key);
        if proxy.is_none() {
            self.clients.lost(now, ask.id);
        }
        proxy
    }

    pub fn proxy_up(&mut self, now: Timestamp, proxy: usize) {
        self.front.answered(proxy);
        self.book.note(now, What::ProxyUp { proxy });
    }

    pub fn proxy_gone(&mut self, now: Timestamp, proxy: usize, planned: bool) {
        self.front.died(now, proxy);
        self.book.note(now, What::ProxyGone { proxy, planned });
    }

    /// The lines of the list that are newer than what a proxy has, as they are written to it.
    pub fn tell(&mut self, now: Timestamp, proxy: usize, after: Option<u64>) -> (u64, Vec<Line>) {
        let lines = self.list.after(after);
        for line in &lines {
            let ready = line.status == Status::Up;
            self.book.note(now, What::Told { proxy, server: line.server, ready });
        }
        (self.list.version(), lines)
    }
}
