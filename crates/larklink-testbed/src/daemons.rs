//! The daemons under test: their configurations, their processes, what they use and how they end.
use std::cell::RefCell;
use std::fs::File;
use std::net::{SocketAddr, TcpStream};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_channel::Receiver;
use async_io::{Async, Timer};
use futures_lite::FutureExt;
use larklink_simulation::faults::ProxyFault;
use larklink_simulation::simulate;
use rustix::process::{Pid, Signal, kill_process, set_parent_process_death_signal};

use crate::discovery::entry;
use crate::operators::{Operators, call};
use crate::stage::Stage;
use crate::wire::Lines;

/// A daemon is ready when it answers a probe, within this from its start.
const READY: Duration = Duration::from_secs(10);
const TRIES_EVERY: Duration = Duration::from_millis(20);
/// A planned stop is over within this, or killed.
const STOPS: Duration = Duration::from_millis(3700);
/// Lines of a log that are told of a daemon that failed.
const TAIL: usize = 12;

/// A daemon's process; it does not outlive this, nor the thread that started it.
pub struct Process(Child);

impl Process {
    pub fn signal(&self, signal: Signal) {
        let _ = kill_process(Pid::from_child(&self.0), signal);
    }

    pub fn exited(&mut self) -> Option<ExitStatus> {
        self.0.try_wait().ok().flatten()
    }

    pub fn kill(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }

    /// Processor seconds and peak memory in kilobytes so far.
    fn used(&self) -> Option<(f64, u64)> {
        let pid = self.0.id();
        let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
        let fields: Vec<_> = stat.rsplit_once(')')?.1.split_whitespace().collect();
        let ticks = fields.get(11)?.parse::<u64>().ok()? + fields.get(12)?.parse::<u64>().ok()?;
        let status = std::fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
        let peak = status.lines().find_map(|l| l.strip_prefix("VmHWM:"))?;
        let peak = peak.split_whitespace().next()?.parse().ok()?;
        Some((ticks as f64 / rustix::param::clock_ticks_per_second() as f64, peak))
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// What a daemon used in all its lives.
#[derive(Clone, Copy, Debug, Default, PartialEq, serde::Serialize)]
pub struct Use {
    pub cpu_s: f64,
    pub peak_kb: u64,
    pub starts: u32,
}

/// One proxy under its name and addresses, running or not.
pub struct Slot {
    program: PathBuf,
    folder: PathBuf,
    number: usize,
    listen: SocketAddr,
    /// Where it finds discovery; the second one after a reload, and so on by turns.
    agents: [SocketAddr; 2],
    /// Where its processes' operators' doors are, by turns; none for no door.
    doors: Vec<SocketAddr>,
    reloads: usize,
    process: Option<Process>,
    before: Use,
    now: Use,
}

impl Slot {
    pub fn new(
        program: &Path,
        folder: &Path,
        number: usize,
        listen: SocketAddr,
        agents: [SocketAddr; 2],
        doors: Vec<SocketAddr>,
    ) -> Self {
        Self {
            program: program.to_owned(),
            folder: folder.to_owned(),
            number,
            listen,
            agents,
            doors,
            reloads: 0,
            process: None,
            before: Use::default(),
            now: Use::default(),
        }
    }

    /// The process that runs, by its proxy and start, and its door.
    pub fn door(&self) -> Option<((usize, u32), SocketAddr)> {
        self.process.as_ref()?;
        Some(((self.number, self.now.starts), self.latest_door()?))
    }

    fn latest_door(&self) -> Option<SocketAddr> {
        self.doors.get(self.now.starts as usize % self.doors.len().max(1)).copied()
    }

    /// Whether it may still get ready after its start; else why not.
    fn may_start(&mut self, until: Instant) -> Result<(), String> {
        let proxy = self.number;
        if let Some(status) = self.process.as_mut().and_then(Process::exited) {
            return Err(format!("proxy {proxy} ended at its start ({status})\n{}", self.tail()));
        }
        if Instant::now() >= until {
            return Err(format!("proxy {proxy} does not answer {READY:?} after its start\n{}", self.tail()));
        }
        Ok(())
    }

    fn config(&self) -> PathBuf {
        self.folder.join(format!("proxy-{}.json", self.number))
    }

    fn log(&self) -> PathBuf {
        self.folder.join(format!("proxy-{}.log", self.number))
    }

    fn write_config(&self, stage: &Stage) -> std::io::Result<()> {
        let scenario = &stage.scenario;
        let lines = stage.world.borrow().endpoint_list.entries_after(None);
        let known: Vec<_> = lines.iter().map(|line| entry(stage, line)).collect();
        let seed = scenario.seed.wrapping_mul(64).wrapping_add(self.number as u64);
        let config = serde_json::json!({
            "name": format!("n{}", self.number), "listen": self.listen.to_string(),
            "discovery": self.agents[self.reloads % 2].to_string(),
            "seed": format!("{:x}", seed.wrapping_add(u64::from(self.now.starts) << 32)),
            "limits": {"cores": 1.0, "memory_mb": scenario.proxies.memory_mb, "sockets": scenario.proxies.descriptors},
            "known": {"index": 1, "snapshot": true, "endpoints": known},
            "settings": simulate::settings(scenario, self.number),
        });
        std::fs::write(self.config(), config.to_string())
    }

    pub fn start(&mut self, stage: &Stage) -> std::io::Result<()> {
        self.now.starts += 1;
        self.write_config(stage)?;
        let log = File::options().create(true).append(true).open(self.log())?;
        let mut command = Command::new(&self.program);
        command.arg(self.config()).stdin(Stdio::null()).stdout(log.try_clone()?).stderr(log);
        if let Some(door) = self.latest_door() {
            let own = self.folder.join(format!("proxy-{}", self.number));
            std::fs::create_dir_all(&own)?;
            command.env("ROUTER_CONSOLE", door.to_string()).env("TMPDIR", own);
        }
        // SAFETY: only one system call is made between fork and exec, and nothing is allocated.
        unsafe {
            command.pre_exec(|| Ok(set_parent_process_death_signal(Some(Signal::KILL))?));
        }
        self.process = Some(Process(command.spawn()?));
        Ok(())
    }

    /// The end of its log.
    pub fn tail(&self) -> String {
        let text = std::fs::read(self.log()).unwrap_or_default();
        let text = String::from_utf8_lossy(&text);
        let lines: Vec<_> = text.lines().collect();
        lines[lines.len().saturating_sub(TAIL)..].join("\n")
    }

    fn measure(&mut self) {
        if let Some((cpu, peak)) = self.process.as_ref().and_then(Process::used) {
            self.now.cpu_s = self.before.cpu_s + cpu;
            self.now.peak_kb = self.before.peak_kb.max(peak);
        }
    }

    /// Notes what it used, and kills it if it still runs.
    fn end(&mut self) {
        self.measure();
        self.before = self.now;
        self.process = None;
    }

    pub fn usage(&mut self) -> Use {
        self.measure();
        self.now
    }
}

/// Carries out the orders for the daemons and looks after them; ends with the first that ended by itself.
pub async fn keep(
    stage: Rc<Stage>,
    slots: Rc<RefCell<Vec<Slot>>>,
    orders: Receiver<(usize, ProxyFault)>,
    operators: Rc<Operators>,
) -> String {
    loop {
        let order = async { orders.recv().await.ok() };
        let tick = async {
            Timer::after(Duration::from_millis(100)).await;
            None
        };
        match order.or(tick).await {
            Some((proxy, ProxyFault::Kill)) => {
                // First the book: who is cut off by it is to find it there.
                stage.world.borrow_mut().proxy_exited(stage.now(), proxy, false);
                slots.borrow_mut()[proxy].end();
            }
            // The stage waits for the connection, and orders the kill then.
            Some((_, ProxyFault::KillAtAccept { .. })) => {}
            Some((proxy, ProxyFault::Start)) => {
                if let Err(wrong) = start(&stage, &slots, proxy).await {
                    return wrong;
                }
            }
            Some((proxy, ProxyFault::Stop { back })) => {
                let (stage, slots) = (Rc::clone(&stage), Rc::clone(&slots));
                Rc::clone(&stage).spawn(stop(stage, slots, proxy, back));
            }
            Some((proxy, ProxyFault::Replace)) => {
                if let Err(wrong) = replace(&stage, &slots, proxy, &operators).await {
                    return wrong;
                }
            }
            Some((proxy, ProxyFault::Reload)) => {
                let mut slots = slots.borrow_mut();
                slots[proxy].reloads += 1;
                let _ = slots[proxy].write_config(&stage);
                if let Some(process) = &slots[proxy].process {
                    process.signal(Signal::HUP);
                }
            }
            None => {
                for slot in slots.borrow_mut().iter_mut() {
                    if let Some(status) = slot.process.as_mut().and_then(Process::exited) {
                        let killed = if status.code().is_none() { "was killed" } else { "ended by itself" };
                        return format!("proxy {} {killed} ({status})\n{}", slot.number, slot.tail());
                    }
                }
            }
        }
    }
}

/// Starts a daemon and waits until it answers.
///
/// # Errors
/// How it ended, or that it does not answer, with the end of its log.
pub async fn start(stage: &Stage, slots: &RefCell<Vec<Slot>>, proxy: usize) -> Result<(), String> {
    let listen = {
        let slot = &mut slots.borrow_mut()[proxy];
        slot.start(stage).map_err(|e| format!("{}: {e}", slot.program.display()))?;
        slot.listen
    };
    let until = Instant::now() + READY;
    while !answers(listen).await {
        slots.borrow_mut()[proxy].may_start(until)?;
    }
    stage.world.borrow_mut().proxy_up(stage.now(), proxy);
    Ok(())
}

/// Starts a second process beside the first, and stops that one when the new one says that it is ready.
async fn replace(
    stage: &Rc<Stage>,
    slots: &RefCell<Vec<Slot>>,
    proxy: usize,
    operators: &Rc<Operators>,
) -> Result<(), String> {
    let (old, door) = {
        let slot = &mut slots.borrow_mut()[proxy];
        let Some(door) = slot.door() else { return Ok(()) };
        slot.measure();
        slot.before = slot.now;
        let Some(old) = slot.process.take() else { return Ok(()) };
        slot.start(stage).map_err(|e| format!("{}: {e}", slot.program.display()))?;
        (old, door)
    };
    let new = slots.borrow()[proxy].door().map(|(_, at)| at);
    let until = Instant::now() + READY;
    while let Some(at) = new {
        if matches!(call(at, "/ready").await, Ok((200, _))) {
            break;
        }
        slots.borrow_mut()[proxy].may_start(until)?;
        Timer::after(TRIES_EVERY).await;
    }
    old.signal(Signal::TERM);
    let operators = Rc::clone(operators);
    stage.spawn(async move {
        let (mut old, until) = (old, Instant::now() + STOPS);
        while old.exited().is_none() && Instant::now() < until {
            // Its last figures; it may have ended meanwhile.
            let _ = operators.ask(door.0, door.1).await;
            Timer::after(TRIES_EVERY).await;
        }
    });
    Ok(())
}

/// Whether a probe is answered there; if not, a moment has gone by.
async fn answers(at: SocketAddr) -> bool {
    let asked = async {
        let mut lines = Lines::new(Async::<TcpStream>::connect(at).await?);
        lines.say("PING\r\n").await?;
        lines.next().await
    };
    let limit = async {
        Timer::after(Duration::from_secs(1)).await;
        Ok(None)
    };
    let answered = matches!(asked.or(limit).await, Ok(Some(line)) if line == b"PONG");
    if !answered {
        Timer::after(TRIES_EVERY).await;
    }
    answered
}

async fn stop(stage: Rc<Stage>, slots: Rc<RefCell<Vec<Slot>>>, proxy: usize, back: Option<u64>) {
    // Seldom, and not while it runs: such a look takes the kit milliseconds.
    slots.borrow_mut()[proxy].measure();
    let process = slots.borrow_mut()[proxy].process.take();
    let Some(mut process) = process else { return };
    process.signal(Signal::TERM);
    let until = Instant::now() + STOPS;
    while process.exited().is_none() && Instant::now() < until {
        Timer::after(TRIES_EVERY).await;
    }
    process.kill();
    slots.borrow_mut()[proxy].end();
    stage.world.borrow_mut().proxy_exited(stage.now(), proxy, true);
    if let Some(back) = back {
        Timer::after(Duration::from_micros(back * 100)).await;
        let _ = stage.daemons.try_send((proxy, ProxyFault::Start));
    }
}
