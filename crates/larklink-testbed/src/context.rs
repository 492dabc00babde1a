//! What all tasks of a run share: the model, its time, and the channels to each connection.
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use async_channel::Sender;
use async_executor::LocalExecutor;
use async_io::Timer;
use hdrhistogram::Histogram;
use larklink_simulation::duration::TICKS_PER_MS;
use larklink_simulation::faults::ProxyFault;
use larklink_simulation::scenario::Scenario;
use larklink_simulation::server::{ConnectionId, ServerMessage};
use larklink_simulation::time::{TickDuration, Timestamp};
use larklink_simulation::world::World;

use crate::histogram::new_histogram;

/// Microseconds in a tick.
const US_PER_TICK: u64 = 100;

/// The wall time that a number of ticks takes.
pub(crate) fn duration_of(ticks: TickDuration) -> Duration {
    Duration::from_micros(ticks * US_PER_TICK)
}

/// What a client's task is to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ClientCommand {
    /// Send the message of that number.
    SendMessage(u64),
    /// End the session: its client has what it wanted, or waits no longer.
    Leave,
    /// Reset the connection.
    Reset,
}

/// What a server's listener is to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ListenerCommand {
    /// Accept connections.
    Listen,
    /// Refuse connections.
    StopListening,
}

/// A fault that a proxy is to suffer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ProxyCommand {
    /// The proxy's number.
    pub(crate) proxy: usize,
    /// What is to happen to it.
    pub(crate) fault: ProxyFault,
}

/// A connection that a server has accepted.
pub(crate) struct ServerConnection {
    /// The server's number.
    pub(crate) server: usize,
    /// What the server is to send on it.
    pub(crate) messages: Sender<ServerMessage>,
}

/// The addresses of a run's parts.
pub(crate) struct TestbedAddresses {
    /// Each server's.
    pub(crate) servers: Vec<SocketAddr>,
    /// Where clients reach each proxy: its own address, or that of a faulty relay before it.
    pub(crate) client_side: Vec<SocketAddr>,
}

/// The channels to tasks that stay for the whole run.
pub(crate) struct TestbedChannels {
    /// Wakes the task that advances the model.
    pub(crate) wake: Sender<()>,
    /// To the supervisor of the proxies.
    pub(crate) proxies: Sender<ProxyCommand>,
    /// To each server's listener.
    pub(crate) listeners: Vec<Sender<ListenerCommand>>,
}

/// What all tasks of a run share.
pub(crate) struct TestbedContext {
    pub(crate) scenario: Scenario,
    pub(crate) world: RefCell<World>,
    pub(crate) addresses: TestbedAddresses,
    pub(crate) channels: TestbedChannels,
    /// The task of each session's client, by session id.
    pub(crate) clients: RefCell<HashMap<u64, Sender<ClientCommand>>>,
    pub(crate) server_connections: RefCell<HashMap<ConnectionId, ServerConnection>>,
    /// Round trips of messages in ticks, by listener.
    pub(crate) message_times: RefCell<Vec<Histogram<u64>>>,
    next_connection: Cell<ConnectionId>,
    /// Proxies that are killed with the next connection that they accept, and how long after that they restart.
    kill_at_accept: RefCell<BTreeMap<usize, Option<TickDuration>>>,
    /// When the run began; the model's time stands still before.
    began_at: Cell<Option<Instant>>,
    /// The same as wall time, in milliseconds.
    began_at_wall_ms: Cell<u64>,
    /// Weak, so that all tasks are dropped with the executor at the run's end.
    executor: Weak<LocalExecutor<'static>>,
}

impl TestbedContext {
    pub(crate) fn new(
        scenario: Scenario,
        world: World,
        addresses: TestbedAddresses,
        channels: TestbedChannels,
        executor: &Rc<LocalExecutor<'static>>,
    ) -> Rc<Self> {
        let message_times = scenario.listeners.iter().map(|_| new_histogram()).collect();
        Rc::new(Self {
            scenario,
            world: world.into(),
            addresses,
            channels,
            clients: RefCell::default(),
            server_connections: RefCell::default(),
            message_times: RefCell::new(message_times),
            next_connection: Cell::new(1),
            kill_at_accept: RefCell::default(),
            began_at: Cell::new(None),
            began_at_wall_ms: Cell::new(0),
            executor: Rc::downgrade(executor),
        })
    }

    /// Runs a task until it ends, or until the executor is dropped at the end of the run.
    pub(crate) fn spawn(&self, task: impl Future<Output = ()> + 'static) {
        if let Some(executor) = self.executor.upgrade() {
            executor.spawn(task).detach();
        }
    }

    /// The model's time.
    pub(crate) fn now(&self) -> Timestamp {
        self.began_at.get().map_or(0, |began| (began.elapsed().as_micros() / u128::from(US_PER_TICK)) as u64)
    }

    /// Starts the model's time.
    pub(crate) fn begin(&self) {
        let wall = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        self.began_at_wall_ms.set(wall.as_millis() as u64);
        self.began_at.set(Some(Instant::now()));
    }

    /// A server's start as wall time in milliseconds; 0 if that was long ago.
    pub(crate) fn wall_ms(&self, started_at: Timestamp) -> u64 {
        if started_at == 0 { 0 } else { self.began_at_wall_ms.get() + started_at / TICKS_PER_MS }
    }

    /// Has the model advance now, whatever its next event was before.
    pub(crate) fn wake(&self) {
        let _ = self.channels.wake.try_send(());
    }

    /// The id of a connection that a server has accepted.
    pub(crate) fn next_connection(&self) -> ConnectionId {
        let id = self.next_connection.get();
        self.next_connection.set(id + 1);
        id
    }

    /// Sends a command to the task of a session's client, if there is one.
    pub(crate) fn command_client(&self, session: u64, command: ClientCommand) {
        if let Some(commands) = self.clients.borrow().get(&session) {
            let _ = commands.try_send(command);
        }
    }

    /// Sends a command to the supervisor of the proxies.
    pub(crate) fn command_proxy(&self, proxy: usize, fault: ProxyFault) {
        let _ = self.channels.proxies.try_send(ProxyCommand { proxy, fault });
    }

    /// Has a proxy killed with the next connection that it accepts, and restarted so long after that.
    pub(crate) fn kill_at_accept(&self, proxy: usize, restart_after: Option<TickDuration>) {
        self.kill_at_accept.borrow_mut().insert(proxy, restart_after);
    }

    /// A client's connection to a proxy is established: it may be the last that this proxy accepted.
    pub(crate) fn client_connected(self: &Rc<Self>, proxy: usize) {
        let Some(restart_after) = self.kill_at_accept.borrow_mut().remove(&proxy) else { return };
        self.command_proxy(proxy, ProxyFault::Kill);
        if let Some(ticks) = restart_after {
            let context = Rc::clone(self);
            self.spawn(async move {
                Timer::after(duration_of(ticks)).await;
                context.command_proxy(proxy, ProxyFault::Start);
            });
        }
    }
}
