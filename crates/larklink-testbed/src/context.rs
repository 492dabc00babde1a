//! State shared by all tasks of a run: the model, its clock, and the channels to each connection.
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
use larklink_simulation::model::Model;
use larklink_simulation::scenario::Scenario;
use larklink_simulation::server::{ConnectionId, ServerMessage};
use larklink_simulation::time::{TickDuration, Timestamp};

use crate::histogram::new_histogram;

/// Microseconds per tick.
const US_PER_TICK: u64 = 100;

/// Converts model ticks to a wall-clock duration.
pub(crate) fn ticks_to_duration(ticks: TickDuration) -> Duration {
    Duration::from_micros(ticks * US_PER_TICK)
}

/// A command from the model to a client's task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ClientCommand {
    /// Send the message with this number.
    SendMessage(u64),
    /// Close the connection: the session is complete, or the client stopped waiting for it.
    Close,
    /// Reset the connection.
    Reset,
}

/// A command from the model to a server's listener.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ListenerCommand {
    /// Accept connections.
    Listen,
    /// Close the listening socket, so that the kernel refuses connections.
    StopListening,
}

/// A fault to inject into a proxy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ProxyCommand {
    /// The proxy's number.
    pub(crate) proxy: usize,
    /// The fault.
    pub(crate) fault: ProxyFault,
}

/// A connection that a stand-in server has accepted.
pub(crate) struct ServerConnection {
    /// The server's number.
    pub(crate) server: usize,
    /// Messages to send on the connection.
    pub(crate) messages: Sender<ServerMessage>,
}

/// The addresses that clients and proxies connect to.
pub(crate) struct TestbedAddresses {
    /// The address of each server.
    pub(crate) servers: Vec<SocketAddr>,
    /// The address at which clients reach each proxy: the proxy's own, or that of a faulty relay in front of it.
    pub(crate) client_facing: Vec<SocketAddr>,
}

/// The channels to tasks that live for the whole run.
pub(crate) struct TestbedChannels {
    /// Wakes the task that advances the model.
    pub(crate) wake: Sender<()>,
    /// Commands to the supervisor of the proxies.
    pub(crate) proxies: Sender<ProxyCommand>,
    /// Commands to the listener of each server.
    pub(crate) listeners: Vec<Sender<ListenerCommand>>,
}

/// State shared by all tasks of a run.
pub(crate) struct TestbedContext {
    pub(crate) scenario: Scenario,
    pub(crate) model: RefCell<Model>,
    pub(crate) addresses: TestbedAddresses,
    pub(crate) channels: TestbedChannels,
    /// Command channels to the client tasks, by session id.
    pub(crate) clients: RefCell<HashMap<u64, Sender<ClientCommand>>>,
    pub(crate) server_connections: RefCell<HashMap<ConnectionId, ServerConnection>>,
    /// Round-trip times of messages in ticks, by listener.
    pub(crate) message_round_trips: RefCell<Vec<Histogram<u64>>>,
    next_connection_id: Cell<ConnectionId>,
    /// Proxies to kill when they accept their next connection, with the delay before they are restarted.
    kill_on_next_accept: RefCell<BTreeMap<usize, Option<TickDuration>>>,
    /// When the run began. The model's clock reads 0 until then.
    began_at: Cell<Option<Instant>>,
    /// The start of the run as Unix time in milliseconds.
    began_at_unix_ms: Cell<u64>,
    /// Weak, because the tasks that the executor owns hold this context: a strong reference would keep them all alive
    /// after the run.
    executor: Weak<LocalExecutor<'static>>,
}

impl TestbedContext {
    pub(crate) fn new(
        scenario: Scenario,
        model: Model,
        addresses: TestbedAddresses,
        channels: TestbedChannels,
        executor: &Rc<LocalExecutor<'static>>,
    ) -> Rc<Self> {
        let message_round_trips = scenario.listeners.iter().map(|_| new_histogram()).collect();
        Rc::new(Self {
            scenario,
            model: model.into(),
            addresses,
            channels,
            clients: RefCell::default(),
            server_connections: RefCell::default(),
            message_round_trips: RefCell::new(message_round_trips),
            next_connection_id: Cell::new(1),
            kill_on_next_accept: RefCell::default(),
            began_at: Cell::new(None),
            began_at_unix_ms: Cell::new(0),
            executor: Rc::downgrade(executor),
        })
    }

    /// Spawns a detached task. It is dropped with the executor at the end of the run.
    pub(crate) fn spawn(&self, task: impl Future<Output = ()> + 'static) {
        if let Some(executor) = self.executor.upgrade() {
            executor.spawn(task).detach();
        }
    }

    /// Returns the model's current time.
    pub(crate) fn now(&self) -> Timestamp {
        self.began_at.get().map_or(0, |began| (began.elapsed().as_micros() / u128::from(US_PER_TICK)) as u64)
    }

    /// Starts the model's clock.
    pub(crate) fn start_clock(&self) {
        let wall = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        self.began_at_unix_ms.set(wall.as_millis() as u64);
        self.began_at.set(Some(Instant::now()));
    }

    /// Converts a server's start time to Unix milliseconds. A start time of 0 means long before the run and stays 0.
    pub(crate) fn to_unix_ms(&self, started_at: Timestamp) -> u64 {
        if started_at == 0 { 0 } else { self.began_at_unix_ms.get() + started_at / TICKS_PER_MS }
    }

    /// Advances the model now instead of at its next event, which may have changed.
    pub(crate) fn wake(&self) {
        let _ = self.channels.wake.try_send(());
    }

    /// Allocates an id for a connection that a server has accepted.
    pub(crate) fn next_connection_id(&self) -> ConnectionId {
        let id = self.next_connection_id.get();
        self.next_connection_id.set(id + 1);
        id
    }

    /// Sends a command to the client task of a session, if it still runs.
    pub(crate) fn command_client(&self, session: u64, command: ClientCommand) {
        if let Some(commands) = self.clients.borrow().get(&session) {
            let _ = commands.try_send(command);
        }
    }

    /// Asks the supervisor to inject a fault into a proxy.
    pub(crate) fn command_proxy(&self, proxy: usize, fault: ProxyFault) {
        let _ = self.channels.proxies.try_send(ProxyCommand { proxy, fault });
    }

    /// Arranges for a proxy to be killed when it accepts its next connection, and restarted after the given delay.
    pub(crate) fn kill_on_next_accept(&self, proxy: usize, restart_after: Option<TickDuration>) {
        self.kill_on_next_accept.borrow_mut().insert(proxy, restart_after);
    }

    /// Called when a client has connected to a proxy. Kills the proxy if that was requested for its next accept.
    pub(crate) fn client_connected(self: &Rc<Self>, proxy: usize) {
        let Some(restart_after) = self.kill_on_next_accept.borrow_mut().remove(&proxy) else { return };
        self.command_proxy(proxy, ProxyFault::Kill);
        if let Some(ticks) = restart_after {
            let context = Rc::clone(self);
            self.spawn(async move {
                Timer::after(ticks_to_duration(ticks)).await;
                context.command_proxy(proxy, ProxyFault::Start);
            });
        }
    }
}
