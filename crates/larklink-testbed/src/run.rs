//! A rehearsal from its scenario to its report.
use std::cell::{Cell, RefCell};
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

use async_channel::Sender;
use async_executor::LocalExecutor;
use async_io::Timer;
use async_signal::{Signal, Signals};
use futures_lite::{FutureExt, StreamExt};
use hdrhistogram::Histogram;
use larklink_simulation::audit::audit;
use larklink_simulation::scenario::Scenario;
use larklink_simulation::world::World;

use crate::daemons::{self, Slot};
use crate::doors::{self, Planted};
use crate::operators::Operators;
use crate::report::{Report, Sample};
use crate::stage::{Parts, Stage, pace};
use crate::{discovery, servers};

/// The kit's own timer, and by how much it may be late before the run counts for nothing.
/// Larger fleets can be modelled, in simulated time.
const MOST_DAEMONS: usize = 64;
/// Doors of one proxy: a process that ends and those after it have each their own.
const DOORS: usize = 4;
const BEAT: Duration = Duration::from_millis(5);
const LATE: Duration = Duration::from_millis(20);
const SAMPLED: Duration = Duration::from_millis(250);
/// Descriptors beside those of clients and servers: logs, discovery, the event loop.
const OWN: u64 = 128;

/// How to run it.
#[derive(Clone, Debug)]
pub struct Options {
    /// The daemon's program.
    pub daemon: PathBuf,
    pub seed: u64,
    pub planted: Option<Planted>,
    /// Where configurations and logs go; a folder of its own is made there, and goes with the run.
    pub folder: PathBuf,
    /// Hears of the run four times a second.
    pub progress: Option<Sender<Sample>>,
}

impl Options {
    pub fn new(daemon: &Path, seed: u64) -> Self {
        Self { daemon: daemon.to_owned(), seed, planted: None, folder: std::env::temp_dir(), progress: None }
    }
}

/// Runs a scenario on loopback sockets.
///
/// # Errors
/// Why it could not be run, or not to its end: too few descriptors, a daemon that does not start or ends by
/// itself, an interrupt.
pub fn run(scenario: &Scenario, options: &Options) -> Result<Report, String> {
    room(scenario)?;
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let number = NEXT.fetch_add(1, Ordering::Relaxed);
    let folder =
        Folder::make(&options.folder, number).map_err(|e| format!("{}: {e}", options.folder.display()))?;
    let executor = Rc::new(LocalExecutor::new());
    let task = rehearse(scenario.clone(), options, (&folder.0, number), Rc::clone(&executor));
    async_io::block_on(executor.run(task))
}

/// Counts the descriptors that the kit itself needs; each session takes one at its client and one at its server,
/// and as many again while it comes anew.
fn room(scenario: &Scenario) -> Result<(), String> {
    let daemons = scenario.proxies.count;
    if daemons > MOST_DAEMONS {
        return Err(format!(
            "proxies.count: {daemons} daemons, and one machine starts {MOST_DAEMONS} at most"
        ));
    }
    use rustix::process::{Resource, Rlimit, getrlimit, setrlimit};
    let limit = getrlimit(Resource::Nofile);
    let _ = setrlimit(Resource::Nofile, Rlimit { current: limit.maximum, ..limit });
    let has = getrlimit(Resource::Nofile).current.unwrap_or(u64::MAX);
    let servers = scenario.server_count() as u64;
    let needs = 4 * scenario.standing() as u64 + servers * (1 + scenario.proxies.count as u64) + OWN;
    if needs > has {
        return Err(format!(
            "{needs} descriptors are needed for some {} sessions, and this process may hold {has}",
            scenario.standing()
        ));
    }
    // Where threads share it, the table of descriptors grows only once all processors have passed a quiet moment: that
    // held the kit up for 20 ms at 256 and at 512 of them. Grown once, before the run, it stays so.
    let last = i32::try_from(needs.min(has.saturating_sub(1))).unwrap_or(i32::MAX);
    drop(rustix::io::fcntl_dupfd_cloexec(std::io::stderr(), last));
    let each = (2 * scenario.standing()).div_ceil(scenario.proxies.count) + 2 * scenario.server_count() + 32;
    if each > scenario.proxies.descriptors {
        return Err(format!(
            "each daemon needs {each} descriptors for its part of some {} sessions, and proxies.descriptors is {}",
            scenario.standing(),
            scenario.proxies.descriptors
        ));
    }
    Ok(())
}

/// A folder that goes when this is dropped.
struct Folder(PathBuf);

impl Folder {
    fn make(within: &Path, number: u32) -> std::io::Result<Self> {
        let folder = within.join(format!("larklink-rehearsal-{}-{number}", std::process::id()));
        std::fs::create_dir_all(&folder)?;
        Ok(Self(folder))
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// Addresses of this run alone: a loopback address of its process, from which nothing connects, and a range of
/// ports of the run.
struct Addresses {
    ip: Ipv4Addr,
    next: u16,
}

impl Addresses {
    fn of(run: u32) -> Self {
        let [_, a, b, c] = std::process::id().to_be_bytes();
        Self { ip: Ipv4Addr::new(127, 64 | (a & 63), b, c), next: 10_000 + (run % 50) as u16 * 1000 }
    }

    fn take(&mut self, n: usize) -> Vec<SocketAddr> {
        (0..n)
            .map(|_| {
                self.next += 1;
                SocketAddr::from((self.ip, self.next))
            })
            .collect()
    }
}

async fn rehearse(
    scenario: Scenario,
    options: &Options,
    (folder, number): (&Path, u32),
    executor: Rc<LocalExecutor<'static>>,
) -> Result<Report, String> {
    let (count, servers) = (scenario.proxies.count, scenario.server_count());
    let mut addresses = Addresses::of(number);
    let (server_at, proxy_at, agents) =
        (addresses.take(servers), addresses.take(count), addresses.take(2 * count));
    let each = if scenario.proxies.doors { DOORS } else { 0 };
    let doors: Vec<_> = (0..count).map(|_| addresses.take(each)).collect();
    let front_at = if options.planted.is_some() { addresses.take(count) } else { proxy_at.clone() };
    let world = World::new(&scenario, options.seed);
    let listed: Vec<_> = scenario.each_server().map(|s| s.listed).collect();
    let (wake, woken) = async_channel::bounded(1);
    let (to_daemons, orders) = async_channel::unbounded();
    let (listening, heard): (Vec<_>, Vec<_>) = (0..servers).map(|_| async_channel::unbounded()).unzip();
    let parts = Parts { scenario, world, wake, daemons: to_daemons, listening, server_at, front_at };
    let stage = Stage::new(parts, &executor);
    for (server, orders) in heard.into_iter().enumerate() {
        stage.spawn(servers::serve(Rc::clone(&stage), server, orders, listed[server]));
    }
    for (i, &at) in agents.iter().enumerate() {
        stage.spawn(discovery::serve(Rc::clone(&stage), i / 2, at));
    }
    if let Some(planted) = options.planted {
        let count = Rc::new(Cell::new(0));
        for (&at, &daemon) in stage.front_at.iter().zip(&proxy_at) {
            stage.spawn(doors::serve(Rc::clone(&stage), at, daemon, planted, Rc::clone(&count)));
        }
    }
    let slots = (0..count).map(|i| {
        Slot::new(
            &options.daemon,
            folder,
            i,
            proxy_at[i],
            [agents[2 * i], agents[2 * i + 1]],
            doors[i].clone(),
        )
    });
    let slots = Rc::new(RefCell::new(slots.collect::<Vec<_>>()));
    let mut signals = Signals::new([Signal::Int, Signal::Term]).map_err(|e| format!("signals: {e}"))?;
    let started = async {
        for proxy in 0..count {
            daemons::start(&stage, &slots, proxy).await?;
        }
        Ok(())
    };
    let interrupted = async {
        signals.next().await;
        Err("interrupted".to_owned())
    };
    started.or(interrupted).await?;
    stage.begin();
    stage.spawn(pace(Rc::clone(&stage), woken));
    let late = Rc::new(RefCell::new(Histogram::<u64>::new(3).expect("three digits")));
    stage.spawn(beat(Rc::clone(&late)));
    let samples = Rc::new(RefCell::new(Vec::new()));
    stage.spawn(sample(Rc::clone(&stage), Rc::clone(&samples), options.progress.clone()));
    let counts_twice = options.planted == Some(Planted::CountsTwice);
    let operators = Operators::new(counts_twice);
    stage.spawn(Rc::clone(&operators).look(Rc::clone(&slots)));
    let end = stage.scenario.end();
    let over = async {
        while stage.now() < end {
            Timer::after(Duration::from_micros((end - stage.now()) * 100)).await;
        }
        None
    };
    let failed = async {
        Some(daemons::keep(Rc::clone(&stage), Rc::clone(&slots), orders, Rc::clone(&operators)).await)
    };
    let interrupted = async {
        signals.next().await;
        Some("interrupted".to_owned())
    };
    if let Some(wrong) = over.or(failed).or(interrupted).await {
        return Err(wrong);
    }
    operators.round(&slots).await;
    let usage: Vec<_> = slots.borrow_mut().iter_mut().map(Slot::usage).collect();
    // The daemons end before the stand-ins do, and nothing after this is judged.
    slots.borrow_mut().clear();
    let now = stage.now().min(end);
    let mut world = stage.world.borrow_mut();
    world.clients.finish(now);
    let findings = audit(&stage.scenario, &world.event_log, end);
    let late = late.borrow();
    let mut report = Report::new(
        &stage.scenario,
        options.seed,
        &world,
        findings,
        &stage.trips.borrow(),
        usage,
        samples.take(),
        (late.value_at_quantile(0.999), late.max()),
        late.max() > LATE.as_micros() as u64,
    );
    if stage.scenario.proxies.doors {
        report.unmet.extend(operators.findings(&report.rows));
    }
    Ok(report)
}

/// Measures how late the kit's own timers are.
async fn beat(late: Rc<RefCell<Histogram<u64>>>) {
    loop {
        let due = Instant::now() + BEAT;
        Timer::at(due).await;
        let by = Instant::now().saturating_duration_since(due).as_micros() as u64;
        let _ = late.borrow_mut().record(by);
    }
}

async fn sample(stage: Rc<Stage>, samples: Rc<RefCell<Vec<Sample>>>, progress: Option<Sender<Sample>>) {
    loop {
        Timer::after(SAMPLED).await;
        let sample = Sample::take(stage.now(), &stage.world.borrow());
        if let Some(progress) = &progress {
            let _ = progress.try_send(sample.clone());
        }
        samples.borrow_mut().push(sample);
    }
}
