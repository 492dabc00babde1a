//! Runs a scenario: sets up its parts on loopback sockets, runs it to its end, and builds the report.
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use async_channel::{Receiver, Sender};
use async_executor::LocalExecutor;
use async_io::Timer;
use async_signal::{Signal, Signals};
use futures_lite::{FutureExt, StreamExt};
use larklink_simulation::audit::audit;
use larklink_simulation::model::Model;
use larklink_simulation::scenario::Scenario;

use crate::addresses::AddressRange;
use crate::context::{
    ListenerCommand, ProxyCommand, TestbedAddresses, TestbedChannels, TestbedContext, ticks_to_duration,
};
use crate::dispatch::advance_world;
use crate::error::TestbedError;
use crate::faulty_relay::{self, PlantedFault, RelayAddresses};
use crate::metrics_poller::MetricsPoller;
use crate::options::Options;
use crate::proxy_slot::{ProxySlot, ProxySlots, ProxySpec};
use crate::report::{Report, RunMeasurements};
use crate::run_directory::RunDirectory;
use crate::sample::Sample;
use crate::supervisor::Supervisor;
use crate::timer_delay::{TimerDelay, TimerDelayMonitor};
use crate::{descriptors, discovery, servers};

/// Admin addresses per proxy. Successive processes use them in turn, so that a predecessor and its successor have
/// different ones.
const ADMIN_ADDRESSES: usize = 4;
/// How often the state is sampled.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(250);

/// The number of the next run of this process. It gives each run its own addresses and directory.
static NEXT_RUN: AtomicU32 = AtomicU32::new(0);

/// Runs a scenario on loopback sockets.
///
/// # Errors
/// Fails if there are too few descriptors, if a proxy does not start or exits unexpectedly, or if SIGINT or SIGTERM is
/// received.
pub fn run(scenario: &Scenario, options: &Options) -> Result<Report, TestbedError> {
    descriptors::prepare(scenario)?;
    let number = NEXT_RUN.fetch_add(1, Ordering::Relaxed);
    let directory = RunDirectory::create(&options.parent_directory, number)
        .map_err(|source| TestbedError::CreateDirectory { path: options.parent_directory.clone(), source })?;
    let executor = Rc::new(LocalExecutor::new());
    let task = async {
        let run = Run::set_up(scenario, options, number, directory.path(), &executor)?;
        run.execute().await
    };
    async_io::block_on(executor.run(task))
}

/// The addresses of all parts of a run.
struct AddressLayout {
    servers: Vec<SocketAddr>,
    proxies: Vec<SocketAddr>,
    /// Two for each proxy: a reload switches to the other one.
    discovery: Vec<[SocketAddr; 2]>,
    /// The admin addresses of each proxy; empty if the scenario has none.
    admin: Vec<Vec<SocketAddr>>,
    /// The address at which clients reach each proxy.
    client_facing: Vec<SocketAddr>,
}

impl AddressLayout {
    fn new(scenario: &Scenario, options: &Options, run: u32) -> Self {
        let proxy_count = scenario.proxies.count;
        let mut range = AddressRange::for_run(run);
        let servers = range.take(scenario.server_count());
        let proxies = range.take(proxy_count);
        let discovery = range.take(2 * proxy_count).chunks(2).map(|pair| [pair[0], pair[1]]).collect();
        let admin_addresses = if scenario.proxies.admin_endpoints { ADMIN_ADDRESSES } else { 0 };
        let admin = (0..proxy_count).map(|_| range.take(admin_addresses)).collect();
        let client_facing =
            if options.planted_fault.is_some() { range.take(proxy_count) } else { proxies.clone() };
        Self { servers, proxies, discovery, admin, client_facing }
    }
}

/// The receiving ends of the channels in [`TestbedChannels`].
struct ChannelReceivers {
    wake: Receiver<()>,
    proxies: Receiver<ProxyCommand>,
    listeners: Vec<Receiver<ListenerCommand>>,
}

fn channels(servers: usize) -> (TestbedChannels, ChannelReceivers) {
    let (wake_sender, wake) = async_channel::bounded(1);
    let (proxy_sender, proxies) = async_channel::unbounded();
    let (listener_senders, listeners) = (0..servers).map(|_| async_channel::unbounded()).unzip();
    let senders = TestbedChannels { wake: wake_sender, proxies: proxy_sender, listeners: listener_senders };
    (senders, ChannelReceivers { wake, proxies, listeners })
}

/// A run whose stand-ins are running and whose proxies have not been started yet.
struct Run<'a> {
    options: &'a Options,
    context: Rc<TestbedContext>,
    slots: ProxySlots,
    metrics: Rc<MetricsPoller>,
    wake: Receiver<()>,
    proxy_commands: Receiver<ProxyCommand>,
    signals: Signals,
}

impl<'a> Run<'a> {
    /// Starts the stand-ins. Their tasks are dropped with the executor.
    fn set_up(
        scenario: &Scenario,
        options: &'a Options,
        number: u32,
        directory: &Path,
        executor: &Rc<LocalExecutor<'static>>,
    ) -> Result<Self, TestbedError> {
        let layout = AddressLayout::new(scenario, options, number);
        let (senders, receivers) = channels(layout.servers.len());
        let model = Model::new(scenario, options.seed);
        let addresses =
            TestbedAddresses { servers: layout.servers.clone(), client_facing: layout.client_facing.clone() };
        let context = TestbedContext::new(scenario.clone(), model, addresses, senders, executor);
        spawn_servers(&context, receivers.listeners);
        spawn_discovery(&context, &layout);
        if let Some(planted) = options.planted_fault {
            spawn_relays(&context, &layout, planted);
        }
        let signals = Signals::new([Signal::Int, Signal::Term]).map_err(TestbedError::Signals)?;
        Ok(Self {
            options,
            context,
            slots: Rc::new(RefCell::new(proxy_slots(&layout, options, directory))),
            metrics: MetricsPoller::new(options.planted_fault == Some(PlantedFault::MiscountsMetrics)),
            wake: receivers.wake,
            proxy_commands: receivers.proxies,
            signals,
        })
    }

    /// Starts the proxies, runs the scenario to its end and returns the report.
    async fn execute(mut self) -> Result<Report, TestbedError> {
        let supervisor = Supervisor {
            context: Rc::clone(&self.context),
            slots: Rc::clone(&self.slots),
            metrics: Rc::clone(&self.metrics),
        };
        start_proxies(&supervisor).or(wait_for_interrupt(&mut self.signals)).await?;
        self.context.start_clock();
        // These tasks are dropped with the executor.
        self.context.spawn(advance_world(Rc::clone(&self.context), self.wake.clone()));
        let delays = TimerDelayMonitor::new();
        self.context.spawn(Rc::clone(&delays).run());
        let samples = Rc::new(RefCell::new(Vec::new()));
        let progress = self.options.progress.clone();
        self.context.spawn(take_samples(Rc::clone(&self.context), Rc::clone(&samples), progress));
        self.context.spawn(Rc::clone(&self.metrics).run(Rc::clone(&self.slots)));
        let ended = async {
            wait_for_end(&self.context).await;
            Ok(())
        };
        let failed = async { Err(supervisor.run(self.proxy_commands.clone()).await) };
        ended.or(failed).or(wait_for_interrupt(&mut self.signals)).await?;
        self.metrics.poll_all(&self.slots).await;
        Ok(self.finish(samples.take(), delays.summary()))
    }

    /// Kills the proxies, audits the event log and builds the report.
    fn finish(&self, samples: Vec<Sample>, timer_delay: TimerDelay) -> Report {
        let scenario = &self.context.scenario;
        let proxies = self.slots.borrow_mut().iter_mut().map(ProxySlot::usage).collect();
        // Kills the proxies before the stand-ins are dropped. The audit ignores everything after this.
        self.slots.borrow_mut().clear();
        let end = scenario.end();
        let now = self.context.now().min(end);
        let mut model = self.context.model.borrow_mut();
        model.clients.finish(now);
        let measured = RunMeasurements {
            findings: audit(scenario, &model.event_log, end),
            message_round_trips: self.context.message_round_trips.take(),
            proxies,
            samples,
            timer_delay,
        };
        let mut report = Report::new(scenario, self.options.seed, &model, measured);
        if scenario.proxies.admin_endpoints {
            report.unmet_requirements.extend(self.metrics.findings(&report.listeners));
        }
        report
    }
}

fn spawn_servers(context: &Rc<TestbedContext>, commands: Vec<Receiver<ListenerCommand>>) {
    let listed: Vec<_> = context.scenario.server_groups_by_index().map(|server| server.listed).collect();
    for (server, commands) in commands.into_iter().enumerate() {
        context.spawn(servers::serve(Rc::clone(context), server, commands, listed[server]));
    }
}

fn spawn_discovery(context: &Rc<TestbedContext>, layout: &AddressLayout) {
    for (proxy, addresses) in layout.discovery.iter().enumerate() {
        for &address in addresses {
            context.spawn(discovery::serve(Rc::clone(context), proxy, address));
        }
    }
}

fn spawn_relays(context: &Rc<TestbedContext>, layout: &AddressLayout, planted: PlantedFault) {
    let connections = Rc::new(Cell::new(0));
    for (&listen, &proxy) in layout.client_facing.iter().zip(&layout.proxies) {
        let addresses = RelayAddresses { listen, proxy };
        context.spawn(faulty_relay::serve(Rc::clone(context), addresses, planted, Rc::clone(&connections)));
    }
}

fn proxy_slots(layout: &AddressLayout, options: &Options, directory: &Path) -> Vec<ProxySlot> {
    let slot = |number: usize| {
        let spec = ProxySpec {
            program: options.proxy_program.clone(),
            directory: directory.to_owned(),
            listen: layout.proxies[number],
            discovery: layout.discovery[number],
            admin: layout.admin[number].clone(),
        };
        ProxySlot::new(number, spec)
    };
    (0..layout.proxies.len()).map(slot).collect()
}

async fn start_proxies(supervisor: &Supervisor) -> Result<(), TestbedError> {
    let count = supervisor.slots.borrow().len();
    for proxy in 0..count {
        supervisor.start(proxy).await?;
    }
    Ok(())
}

/// Waits for SIGINT or SIGTERM, then returns [`TestbedError::Interrupted`].
async fn wait_for_interrupt(signals: &mut Signals) -> Result<(), TestbedError> {
    signals.next().await;
    Err(TestbedError::Interrupted)
}

async fn wait_for_end(context: &TestbedContext) {
    let end = context.scenario.end();
    while context.now() < end {
        Timer::after(ticks_to_duration(end.saturating_sub(context.now()))).await;
    }
}

/// Samples the state periodically. Never returns.
async fn take_samples(
    context: Rc<TestbedContext>,
    samples: Rc<RefCell<Vec<Sample>>>,
    progress: Option<Sender<Sample>>,
) {
    loop {
        Timer::after(SAMPLE_INTERVAL).await;
        let sample = Sample::take(context.now(), &context.model.borrow());
        if let Some(progress) = &progress {
            let _ = progress.try_send(sample.clone());
        }
        samples.borrow_mut().push(sample);
    }
}
