//! One proxy of a run under its name and addresses, whether it runs or not.
use std::cell::RefCell;
use std::fs::File;
use std::net::SocketAddr;
use std::os::unix::process::CommandExt;
use std::path::PathBuf;
use std::process::{Command, Stdio};
use std::rc::Rc;

use larklink_simulation::simulate;
use rustix::process::{Signal, set_parent_process_death_signal};

use crate::context::TestbedContext;
use crate::discovery::entry_json;
use crate::error::TestbedError;
use crate::proxy_process::{ProxyProcess, ProxyUsage};

/// Lines of a log that are shown of a proxy that failed.
const LOG_TAIL_LINES: usize = 12;
/// Proxies of one scenario's seed that have seeds of their own.
const SEEDS_PER_SCENARIO: u64 = 64;

/// All proxies of a run, by number.
pub(crate) type ProxySlots = Rc<RefCell<Vec<ProxySlot>>>;

/// Identifies a process: which start of which proxy.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct ProcessKey {
    /// The proxy's number.
    pub(crate) proxy: usize,
    /// Which of its starts, from 1.
    pub(crate) start: u32,
}

/// A process that runs and has an admin endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct AdminEndpoint {
    /// The process.
    pub(crate) process: ProcessKey,
    /// Where it answers.
    pub(crate) address: SocketAddr,
}

/// The program, folder and addresses of a proxy.
pub(crate) struct ProxyPlace {
    pub(crate) program: PathBuf,
    /// Where its configuration and log go.
    pub(crate) folder: PathBuf,
    /// Where it listens.
    pub(crate) listen: SocketAddr,
    /// Where it finds discovery, in turn: each reload takes the next.
    pub(crate) discovery: [SocketAddr; 2],
    /// Where its processes have their admin endpoints, in turn; empty for none.
    pub(crate) admin: Vec<SocketAddr>,
}

/// One proxy under its name and addresses, whether it runs or not.
pub(crate) struct ProxySlot {
    number: usize,
    place: ProxyPlace,
    reloads: usize,
    process: Option<ProxyProcess>,
    /// What all its processes before this one have used.
    usage_before: ProxyUsage,
    usage: ProxyUsage,
}

impl ProxySlot {
    pub(crate) fn new(number: usize, place: ProxyPlace) -> Self {
        Self {
            number,
            place,
            reloads: 0,
            process: None,
            usage_before: ProxyUsage::default(),
            usage: ProxyUsage::default(),
        }
    }

    pub(crate) fn listen(&self) -> SocketAddr {
        self.place.listen
    }

    /// The admin endpoint of the process that runs.
    pub(crate) fn admin_endpoint(&self) -> Option<AdminEndpoint> {
        self.process.as_ref()?;
        let process = ProcessKey { proxy: self.number, start: self.usage.starts };
        Some(AdminEndpoint { process, address: self.admin_address()? })
    }

    /// The admin address of its latest start.
    fn admin_address(&self) -> Option<SocketAddr> {
        let addresses = &self.place.admin;
        addresses.get(self.usage.starts as usize % addresses.len().max(1)).copied()
    }

    /// Starts a process.
    ///
    /// # Errors
    /// The configuration cannot be written or the program not started.
    pub(crate) fn start(&mut self, context: &TestbedContext) -> Result<(), TestbedError> {
        self.spawn(context)
            .map_err(|source| TestbedError::StartProxy { program: self.place.program.clone(), source })
    }

    fn spawn(&mut self, context: &TestbedContext) -> std::io::Result<()> {
        self.usage.starts += 1;
        self.write_config(context)?;
        let log = File::options().create(true).append(true).open(self.log_path())?;
        let mut command = Command::new(&self.place.program);
        command.arg(self.config_path()).stdin(Stdio::null()).stdout(log.try_clone()?).stderr(log);
        if let Some(address) = self.admin_address() {
            let own_folder = self.place.folder.join(format!("proxy-{}", self.number));
            std::fs::create_dir_all(&own_folder)?;
            command.env("ROUTER_CONSOLE", address.to_string()).env("TMPDIR", own_folder);
        }
        // SAFETY: only one system call is made between fork and exec, and nothing is allocated.
        unsafe {
            command.pre_exec(|| Ok(set_parent_process_death_signal(Some(Signal::KILL))?));
        }
        self.process = Some(ProxyProcess::new(command.spawn()?));
        Ok(())
    }

    /// Has it read a configuration that names its other discovery address.
    pub(crate) fn reload(&mut self, context: &TestbedContext) {
        self.reloads += 1;
        let _ = self.write_config(context);
        if let Some(process) = &self.process {
            process.signal(Signal::HUP);
        }
    }

    fn write_config(&self, context: &TestbedContext) -> std::io::Result<()> {
        let scenario = &context.scenario;
        let entries = context.world.borrow().endpoint_list.entries_after(None);
        let known: Vec<_> = entries.iter().map(|entry| entry_json(context, entry)).collect();
        let seed = scenario.seed.wrapping_mul(SEEDS_PER_SCENARIO).wrapping_add(self.number as u64);
        let config = serde_json::json!({
            "name": format!("n{}", self.number), "listen": self.place.listen.to_string(),
            "discovery": self.place.discovery[self.reloads % self.place.discovery.len()].to_string(),
            "seed": format!("{:x}", seed.wrapping_add(u64::from(self.usage.starts) << 32)),
            "limits": {"cores": 1.0, "memory_mb": scenario.proxies.memory_mb, "sockets": scenario.proxies.descriptors},
            "known": {"index": 1, "snapshot": true, "endpoints": known},
            "settings": simulate::settings(scenario, self.number),
        });
        std::fs::write(self.config_path(), config.to_string())
    }

    fn config_path(&self) -> PathBuf {
        self.place.folder.join(format!("proxy-{}.json", self.number))
    }

    fn log_path(&self) -> PathBuf {
        self.place.folder.join(format!("proxy-{}.log", self.number))
    }

    /// The last lines of its log.
    pub(crate) fn log_tail(&self) -> String {
        let text = std::fs::read(self.log_path()).unwrap_or_default();
        let text = String::from_utf8_lossy(&text);
        let lines: Vec<_> = text.lines().collect();
        lines[lines.len().saturating_sub(LOG_TAIL_LINES)..].join("\n")
    }

    /// An error if its process has ended at its start.
    ///
    /// # Errors
    /// How it ended.
    pub(crate) fn check_started(&mut self) -> Result<(), TestbedError> {
        let Some(status) = self.process.as_mut().and_then(ProxyProcess::exited) else { return Ok(()) };
        Err(TestbedError::EndedAtStart { proxy: self.number, status, log_tail: self.log_tail() })
    }

    /// An error if its process has ended by itself.
    ///
    /// # Errors
    /// How it ended.
    pub(crate) fn check_running(&mut self) -> Result<(), TestbedError> {
        let Some(status) = self.process.as_mut().and_then(ProxyProcess::exited) else { return Ok(()) };
        Err(TestbedError::Ended { proxy: self.number, status, log_tail: self.log_tail() })
    }

    /// Gives its process away, to be stopped by the caller.
    pub(crate) fn take_process(&mut self) -> Option<ProxyProcess> {
        self.process.take()
    }

    /// Closes the account of the process that runs.
    pub(crate) fn close_usage(&mut self) {
        self.measure();
        self.usage_before = self.usage;
    }

    /// Closes its account, and kills it if it still runs.
    pub(crate) fn end(&mut self) {
        self.close_usage();
        self.process = None;
    }

    /// What its processes have used so far.
    pub(crate) fn usage(&mut self) -> ProxyUsage {
        self.measure();
        self.usage
    }

    pub(crate) fn measure(&mut self) {
        if let Some(used) = self.process.as_ref().and_then(ProxyProcess::resources) {
            self.usage.cpu_s = self.usage_before.cpu_s + used.cpu_s;
            self.usage.peak_kb = self.usage_before.peak_kb.max(used.peak_kb);
        }
    }
}
