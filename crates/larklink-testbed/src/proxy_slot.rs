//! A proxy of a run, which keeps its name and addresses across its processes.
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

/// Lines of a proxy's log to include in an error.
const LOG_TAIL_LINES: usize = 12;
/// Seeds reserved per scenario seed; must be at least `descriptors::MAX_PROXIES`.
const SEEDS_PER_SCENARIO: u64 = 64;

/// All proxies of a run, by number.
pub(crate) type ProxySlots = Rc<RefCell<Vec<ProxySlot>>>;

/// Identifies a proxy process by its proxy and its start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct ProcessKey {
    /// The proxy's number.
    pub(crate) proxy: usize,
    /// The number of the start, from 1.
    pub(crate) start: u32,
}

/// The admin endpoint of a running process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct AdminEndpoint {
    /// The process.
    pub(crate) process: ProcessKey,
    /// The address of the admin endpoint.
    pub(crate) address: SocketAddr,
}

/// The executable, directory and addresses of a proxy.
pub(crate) struct ProxySpec {
    pub(crate) program: PathBuf,
    /// The directory for its configuration and log.
    pub(crate) directory: PathBuf,
    /// The address on which it listens.
    pub(crate) listen: SocketAddr,
    /// Addresses of its discovery. Each reload switches to the other one.
    pub(crate) discovery: [SocketAddr; 2],
    /// Addresses of its admin endpoints, which its processes use in turn; empty for none.
    pub(crate) admin: Vec<SocketAddr>,
}

/// A proxy of a run, which keeps its name and addresses across its processes.
pub(crate) struct ProxySlot {
    number: usize,
    spec: ProxySpec,
    reloads: usize,
    process: Option<ProxyProcess>,
    /// The CPU time of all earlier processes, and the highest peak memory of any of them.
    previous_usage: ProxyUsage,
    /// The same including the running process, as last measured, and the number of starts.
    usage: ProxyUsage,
}

impl ProxySlot {
    pub(crate) fn new(number: usize, spec: ProxySpec) -> Self {
        Self {
            number,
            spec,
            reloads: 0,
            process: None,
            previous_usage: ProxyUsage::default(),
            usage: ProxyUsage::default(),
        }
    }

    pub(crate) fn listen(&self) -> SocketAddr {
        self.spec.listen
    }

    /// Returns the admin endpoint of the running process, if there is one.
    pub(crate) fn admin_endpoint(&self) -> Option<AdminEndpoint> {
        self.process.as_ref()?;
        let process = ProcessKey { proxy: self.number, start: self.usage.starts };
        Some(AdminEndpoint { process, address: self.admin_address()? })
    }

    /// Returns the admin address of the latest process.
    fn admin_address(&self) -> Option<SocketAddr> {
        let addresses = &self.spec.admin;
        addresses.get(self.usage.starts as usize % addresses.len().max(1)).copied()
    }

    /// Starts a process.
    ///
    /// # Errors
    /// Fails if the configuration cannot be written or the executable cannot be started.
    pub(crate) fn start(&mut self, context: &TestbedContext) -> Result<(), TestbedError> {
        self.spawn(context)
            .map_err(|source| TestbedError::StartProxy { program: self.spec.program.clone(), source })
    }

    fn spawn(&mut self, context: &TestbedContext) -> std::io::Result<()> {
        self.usage.starts += 1;
        self.write_config(context)?;
        let log = File::options().create(true).append(true).open(self.log_path())?;
        let mut command = Command::new(&self.spec.program);
        command.arg(self.config_path()).stdin(Stdio::null()).stdout(log.try_clone()?).stderr(log);
        if let Some(address) = self.admin_address() {
            let temp_directory = self.spec.directory.join(format!("proxy-{}", self.number));
            std::fs::create_dir_all(&temp_directory)?;
            command.env("ROUTER_CONSOLE", address.to_string()).env("TMPDIR", temp_directory);
        }
        // SAFETY: the closure makes a single system call and allocates nothing, so it is safe between fork and exec.
        unsafe {
            command.pre_exec(|| Ok(set_parent_process_death_signal(Some(Signal::KILL))?));
        }
        self.process = Some(ProxyProcess::new(command.spawn()?));
        Ok(())
    }

    /// Writes a configuration with the other discovery address and makes the process read it.
    pub(crate) fn reload(&mut self, context: &TestbedContext) {
        self.reloads += 1;
        let _ = self.write_config(context);
        if let Some(process) = &self.process {
            process.signal(Signal::HUP);
        }
    }

    fn write_config(&self, context: &TestbedContext) -> std::io::Result<()> {
        let scenario = &context.scenario;
        let entries = context.model.borrow().endpoint_list.entries_after(None);
        let known: Vec<_> = entries.iter().map(|entry| entry_json(context, entry)).collect();
        let seed = scenario.seed.wrapping_mul(SEEDS_PER_SCENARIO).wrapping_add(self.number as u64);
        // The number of the start in the upper half gives each start its own seed.
        let seed = seed.wrapping_add(u64::from(self.usage.starts) << 32);
        let config = serde_json::json!({
            "name": format!("n{}", self.number), "listen": self.spec.listen.to_string(),
            "discovery": self.spec.discovery[self.reloads % self.spec.discovery.len()].to_string(),
            "seed": format!("{seed:x}"),
            "limits": {"cores": 1.0, "memory_mb": scenario.proxies.memory_mb, "sockets": scenario.proxies.descriptors},
            "known": {"index": 1, "snapshot": true, "endpoints": known},
            "settings": simulate::settings_object(scenario, self.number),
        });
        std::fs::write(self.config_path(), config.to_string())
    }

    fn config_path(&self) -> PathBuf {
        self.spec.directory.join(format!("proxy-{}.json", self.number))
    }

    fn log_path(&self) -> PathBuf {
        self.spec.directory.join(format!("proxy-{}.log", self.number))
    }

    /// Returns the last lines of the log.
    pub(crate) fn log_tail(&self) -> String {
        let text = std::fs::read(self.log_path()).unwrap_or_default();
        let text = String::from_utf8_lossy(&text);
        let lines: Vec<_> = text.lines().collect();
        lines[lines.len().saturating_sub(LOG_TAIL_LINES)..].join("\n")
    }

    /// Checks that a process which is starting still runs.
    ///
    /// # Errors
    /// Fails if the process has exited.
    pub(crate) fn check_started(&mut self) -> Result<(), TestbedError> {
        let Some(status) = self.process.as_mut().and_then(ProxyProcess::exit_status) else { return Ok(()) };
        Err(TestbedError::ExitedAtStartup { proxy: self.number, status, log_tail: self.log_tail() })
    }

    /// Checks that a process which was ready still runs.
    ///
    /// # Errors
    /// Fails if the process has exited.
    pub(crate) fn check_running(&mut self) -> Result<(), TestbedError> {
        let Some(status) = self.process.as_mut().and_then(ProxyProcess::exit_status) else { return Ok(()) };
        Err(TestbedError::Ended { proxy: self.number, status, log_tail: self.log_tail() })
    }

    /// Hands the process over to the caller, who stops it.
    pub(crate) fn take_process(&mut self) -> Option<ProxyProcess> {
        self.process.take()
    }

    /// Adds the running process's final usage to that of the earlier ones.
    pub(crate) fn finalize_usage(&mut self) {
        self.update_usage();
        self.previous_usage = self.usage;
    }

    /// Finalizes the usage of the process, and kills it if it still runs.
    pub(crate) fn kill_process(&mut self) {
        self.finalize_usage();
        self.process = None;
    }

    /// Measures the running process and returns the usage of all processes so far.
    pub(crate) fn usage(&mut self) -> ProxyUsage {
        self.update_usage();
        self.usage
    }

    /// Measures the running process, if there is one.
    pub(crate) fn update_usage(&mut self) {
        if let Some(used) = self.process.as_ref().and_then(ProxyProcess::resources) {
            self.usage.cpu_s = self.previous_usage.cpu_s + used.cpu_s;
            self.usage.peak_kb = self.previous_usage.peak_kb.max(used.peak_kb);
        }
    }
}
