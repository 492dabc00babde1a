//! The task that owns the decisions. Socket code reaches them through a [`Queue`] and hears back by orders.
use std::collections::{BTreeMap, HashMap};
use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Instant;

use async_channel::{Receiver, Sender};
use async_executor::LocalExecutor;
use async_io::Timer;
use futures_lite::{FutureExt, future};
use larklink_balancer::types::*;
use larklink_engine::core::{Action, Core};
use larklink_engine::settings::ProxySettings;

use crate::clock::{Clock, tenths};
use crate::delays::Delays;
use crate::events::{Event, Order};
use crate::figures::Figures;
use crate::list::{Endpoint, server_id};
use crate::probes::Probes;

/// Events that are heard before the others have their turn: a whole queue of sessions and a list of 1,024 servers
/// take longer than a client that has left may go unnoticed, while its connection comes up.
const TURN: usize = 64;

pub struct Owner {
    core: Core,
    clock: Clock,
    zones: Vec<String>,
    delays: Option<Delays>,
    addresses: HashMap<u32, SocketAddr>,
    /// The list as it stands.
    listed: BTreeMap<u32, Endpoint>,
    /// Where the orders of each session go.
    orders: HashMap<u32, Sender<Order>>,
    probes: Rc<Probes>,
    executor: Rc<LocalExecutor<'static>>,
    figures: Arc<Figures>,
    /// Closes with the first list that discovery sends.
    fresh: Option<Sender<Infallible>>,
}

impl Owner {
    pub fn new(
        facts: &ProxySettings,
        seed: u64,
        known: Vec<Endpoint>,
        probes: Rc<Probes>,
        executor: Rc<LocalExecutor<'static>>,
        figures: Arc<Figures>,
        fresh: Sender<Infallible>,
    ) -> Self {
        let clock = Clock::start();
        let mut owner = Self {
            core: Core::new(facts, seed, clock.now()),
            clock,
            zones: facts.zones.clone(),
            delays: facts.tells_delay.then(|| Delays::new(facts.settings.message_target)),
            addresses: HashMap::new(),
            listed: BTreeMap::new(),
            orders: HashMap::new(),
            probes,
            executor,
            figures,
            fresh: Some(fresh),
        };
        owner.heard_list(clock.now(), Scope::Cached, known);
        owner
    }

    pub async fn run(mut self, events: Receiver<Event>) {
        loop {
            let due = self.clock.instant(self.core.due());
            let first = async { events.recv().await.ok() }
                .or(async {
                    Timer::at(due).await;
                    None
                })
                .await;
            let now = self.clock.now();
            // What has come by now, up to a turn of it, then polls once.
            let more = std::iter::from_fn(|| events.try_recv().ok());
            first.into_iter().chain(more).take(TURN).for_each(|event| self.hear(now, event));
            for action in self.core.poll(now) {
                self.act(now, action);
            }
            let (known, avoided) = self.core.census();
            self.figures.servers(known, avoided);
            if !events.is_empty() {
                future::yield_now().await;
            }
        }
    }

    fn hear(&mut self, now: Time, event: Event) {
        tracing::debug!(?event);
        match event {
            Event::Open { session, came, mut ask, orders } => {
                ask.patience = ask.patience.saturating_sub(tenths(came.elapsed()));
                self.orders.insert(session, orders);
                if let Some(action) = self.core.open(now, session, ask) {
                    self.act(now, action);
                }
            }
            Event::Stands { session, server, orders } => {
                let address = self.addresses.get(&server).copied();
                let now = Instant::now();
                let _ = orders.try_send(Order::Dial { dial: 0, server, address, until: now, by: now });
                self.orders.insert(session, orders);
            }
            Event::Adopt { session, ask, server } => self.core.adopt(now, session, ask, server),
            Event::Stood { session, dial } => self.core.stood(now, session, dial),
            Event::Settled { session, dial, how, over } => {
                if over {
                    self.orders.remove(&session);
                }
                if let Some(action) = self.core.settled(now, session, dial, how, over) {
                    self.act(now, action);
                }
            }
            Event::Left { session } => {
                self.orders.remove(&session);
                self.core.left(session);
            }
            Event::Noted { session, dial, note } => self.core.noted(now, session, dial, note),
            Event::Echo { session, dial, server, took } => {
                if let Some(delay) = self.delays.as_mut().and_then(|d| d.echo(now, server, took)) {
                    self.core.noted(now, session, dial, Note::Delay(delay));
                }
            }
            Event::Probed { server, how, took, report } => self.core.probed(now, server, how, took, &report),
            Event::List(scope, endpoints) => {
                self.heard_list(now, scope, endpoints);
                self.fresh = None;
            }
            Event::Succeeds => self.core.succeeds(now),
            Event::Listed(to) => _ = to.try_send(self.listed.values().cloned().collect()),
            Event::ListFailed => self.core.list_failed(now),
        }
    }

    fn heard_list(&mut self, now: Time, scope: Scope, endpoints: Vec<Endpoint>) {
        if scope != Scope::Changes {
            self.listed.clear();
        }
        for e in &endpoints {
            let id = server_id(&e.name);
            match e.address.parse() {
                Ok(address) => {
                    self.addresses.insert(id, address);
                }
                Err(_) if e.status == "up" => tracing::warn!("server {} has no address we can read", e.name),
                Err(_) => {}
            }
            if e.status == "removed" {
                self.listed.remove(&id);
            } else {
                self.listed.insert(id, e.clone());
            }
            tracing::info!("server {} {} is {:08x}, since {}", e.name, e.status, id, e.since_ms);
        }
        self.probes.listed(&self.listed);
        self.core.heard_list(now, scope, endpoints.iter().map(|e| e.entry(&self.zones)).collect());
    }

    fn act(&mut self, now: Time, action: Action) {
        tracing::debug!(?action);
        let (session, order) = match action {
            Action::Dial { session, dial, server, limit, by } => {
                let address = self.addresses.get(&server).copied();
                let (until, by) = (self.clock.instant(now + limit), self.clock.instant(by));
                (session, Order::Dial { dial, server, address, until, by })
            }
            Action::SendBy { session, dial, by } => {
                (session, Order::SendBy { dial, by: self.clock.instant(by) })
            }
            Action::Refuse { session, retry_after } => (session, Order::Refuse { retry_after }),
            Action::TearDown { session } => (session, Order::TearDown),
            Action::Move { session } => (session, Order::Move),
            Action::Probe { server } => {
                match self.addresses.get(&server) {
                    Some(&address) => {
                        let probes = Rc::clone(&self.probes);
                        self.executor.spawn(async move { probes.ask(server, address).await }).detach();
                    }
                    None => self.core.probed(now, server, Outcome::Unmade, 0, &[]),
                }
                return;
            }
            // The list is followed all the time.
            Action::Subscribe => return,
            Action::Log(text) => return tracing::info!("{text}"),
        };
        let last = !matches!(order, Order::Dial { .. } | Order::SendBy { .. });
        if let Some(orders) = self.orders.get(&session) {
            // A session has at most a dial, word on it and a move waiting for it; one that has ended hears no more.
            let _ = orders.try_send(order);
        }
        if last {
            self.orders.remove(&session);
        }
    }
}
