//! What all tasks of a rehearsal share: the world, its time, and the ways to each connection.
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use async_channel::Sender;
use async_executor::LocalExecutor;
use async_io::Timer;
use hdrhistogram::Histogram;
use larklink_balancer::{TickDuration, Timestamp};
use larklink_simulation::clients::ClientAction;
use larklink_simulation::faults::ProxyFault;
use larklink_simulation::scenario::Scenario;
use larklink_simulation::server::{ConnectionId, ServerMessage};
use larklink_simulation::world::{World, WorldAction};

/// What a client's task is to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Order {
    Line(u64),
    Leave,
    Drop,
}

/// What a server's listener is to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Listening {
    Yes,
    /// Refuses connections; those it has break.
    No,
}

/// What a [`Stage`] is made of.
pub struct Parts {
    pub scenario: Scenario,
    pub world: World,
    pub wake: Sender<()>,
    /// Orders for the task that keeps the daemons.
    pub daemons: Sender<(usize, ProxyFault)>,
    pub listening: Vec<Sender<Listening>>,
    pub server_at: Vec<SocketAddr>,
    pub front_at: Vec<SocketAddr>,
}

pub struct Stage {
    pub scenario: Scenario,
    pub world: RefCell<World>,
    /// Not its owner: with the run's end all its tasks go.
    executor: Weak<LocalExecutor<'static>>,
    /// When the run began; nothing happens before.
    pub go: Cell<Option<Instant>>,
    pub wall: Cell<u64>,
    pub wake: Sender<()>,
    /// Orders for the task that keeps the daemons.
    pub daemons: Sender<(usize, ProxyFault)>,
    pub clients: RefCell<HashMap<u64, Sender<Order>>>,
    pub conns: RefCell<HashMap<ConnectionId, (usize, Sender<ServerMessage>)>>,
    pub next_conn: Cell<ConnectionId>,
    /// Proxies that are killed with the next connection that they take, and how long after they start again.
    armed: RefCell<BTreeMap<usize, Option<TickDuration>>>,
    pub listening: Vec<Sender<Listening>>,
    pub server_at: Vec<SocketAddr>,
    /// Where clients reach each proxy: its own address, or that of a door before it.
    pub front_at: Vec<SocketAddr>,
    /// Round trips of lines, tenths of a millisecond, by listener.
    pub trips: RefCell<Vec<Histogram<u64>>>,
}

impl Stage {
    pub fn new(parts: Parts, executor: &Rc<LocalExecutor<'static>>) -> Rc<Self> {
        let trips =
            parts.scenario.listeners.iter().map(|_| Histogram::new(3).expect("three digits")).collect();
        Rc::new(Self {
            scenario: parts.scenario,
            world: parts.world.into(),
            executor: Rc::downgrade(executor),
            go: Cell::new(None),
            wall: Cell::new(0),
            wake: parts.wake,
            daemons: parts.daemons,
            clients: RefCell::default(),
            conns: RefCell::default(),
            next_conn: Cell::new(1),
            armed: RefCell::default(),
            listening: parts.listening,
            server_at: parts.server_at,
            front_at: parts.front_at,
            trips: RefCell::new(trips),
        })
    }

    /// Runs a task to the end of the run at most.
    pub fn spawn(&self, task: impl Future<Output = ()> + 'static) {
        if let Some(executor) = self.executor.upgrade() {
            executor.spawn(task).detach();
        }
    }

    pub fn now(&self) -> Timestamp {
        self.go.get().map_or(0, |go| (go.elapsed().as_micros() / 100) as TickDuration)
    }

    pub fn begin(&self) {
        let wall = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        self.wall.set(wall.as_millis() as u64);
        self.go.set(Some(Instant::now()));
    }

    /// A server's start as wall time in milliseconds; 0 for long ago.
    pub fn since_ms(&self, started: Timestamp) -> u64 {
        if started == 0 { 0 } else { self.wall.get() + started / 10 }
    }

    /// Lets the world go on, whatever its next event was before.
    pub fn stir(&self) {
        let _ = self.wake.try_send(());
    }

    /// Carries out what the world asks for.
    pub fn carry(self: &Rc<Self>, deeds: Vec<WorldAction>) {
        for deed in deeds {
            match deed {
                WorldAction::Send { connection: conn, message: say, .. } => {
                    if let Some((_, to)) = self.conns.borrow().get(&conn) {
                        let _ = to.try_send(say);
                    }
                }
                WorldAction::StopListening { server } => {
                    let _ = self.listening[server].try_send(Listening::No);
                    for (_, to) in self.conns.borrow().values().filter(|(s, _)| *s == server) {
                        let _ = to.try_send(ServerMessage::Reset);
                    }
                }
                WorldAction::Listen { server } => _ = self.listening[server].try_send(Listening::Yes),
                // The agents look by themselves.
                WorldAction::EndpointListChanged => {}
                WorldAction::Client(ClientAction::Connect(ask)) => crate::clients::start(self, ask),
                WorldAction::Client(ClientAction::SendMessage { id, number }) => {
                    self.order(id, Order::Line(number))
                }
                WorldAction::Client(ClientAction::TimeOut { id } | ClientAction::Leave { id }) => {
                    self.order(id, Order::Leave)
                }
                WorldAction::Client(ClientAction::Silent { .. }) => {}
                WorldAction::DisconnectClients(ids) => {
                    ids.into_iter().for_each(|id| self.order(id, Order::Drop))
                }
                WorldAction::Proxy(proxy, ProxyFault::KillAtAccept { back }) => {
                    self.armed.borrow_mut().insert(proxy, back);
                }
                WorldAction::Proxy(proxy, upon) => _ = self.daemons.try_send((proxy, upon)),
            }
        }
    }

    /// A client's connection to a proxy stands: it may be the last that this one took.
    pub fn connected(self: &Rc<Self>, proxy: usize) {
        let Some(back) = self.armed.borrow_mut().remove(&proxy) else { return };
        let _ = self.daemons.try_send((proxy, ProxyFault::Kill));
        if let Some(back) = back {
            let stage = Rc::clone(self);
            self.spawn(async move {
                Timer::after(Duration::from_micros(back * 100)).await;
                let _ = stage.daemons.try_send((proxy, ProxyFault::Start));
            });
        }
    }

    fn order(&self, id: u64, order: Order) {
        if let Some(to) = self.clients.borrow().get(&id) {
            let _ = to.try_send(order);
        }
    }
}

/// Turns the world whenever something falls due.
pub async fn pace(stage: Rc<Stage>, wake: async_channel::Receiver<()>) {
    loop {
        let now = stage.now();
        let deeds = stage.world.borrow_mut().advance(now);
        stage.carry(deeds);
        let due = stage.world.borrow_mut().next_event_at();
        let wait = due.saturating_sub(stage.now()).min(500);
        let timer = async {
            Timer::after(Duration::from_micros(wait * 100)).await;
        };
        let woken = async {
            let _ = wake.recv().await;
        };
        futures_lite::future::or(timer, woken).await;
    }
}
