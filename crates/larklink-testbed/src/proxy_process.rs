//! A proxy's process, and what it uses.
use std::process::{Child, ExitStatus};

use rustix::process::{Pid, Signal, kill_process};
use serde::Serialize;

/// A proxy's process; it does not outlive this value, nor the thread that started it.
pub(crate) struct ProxyProcess(Child);

impl ProxyProcess {
    pub(crate) fn new(child: Child) -> Self {
        Self(child)
    }

    pub(crate) fn signal(&self, signal: Signal) {
        let _ = kill_process(Pid::from_child(&self.0), signal);
    }

    /// How it ended, if it has.
    pub(crate) fn exited(&mut self) -> Option<ExitStatus> {
        self.0.try_wait().ok().flatten()
    }

    pub(crate) fn kill(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }

    /// What it has used so far; none if it is gone.
    pub(crate) fn resources(&self) -> Option<ProcessResources> {
        let pid = self.0.id();
        let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
        // The fields behind the command's name: 11 and 12 are the user's and the system's clock ticks.
        let fields: Vec<_> = stat.rsplit_once(')')?.1.split_whitespace().collect();
        let ticks = fields.get(11)?.parse::<u64>().ok()? + fields.get(12)?.parse::<u64>().ok()?;
        let status = std::fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
        let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:"))?;
        Some(ProcessResources {
            cpu_s: ticks as f64 / rustix::param::clock_ticks_per_second() as f64,
            peak_kb: peak.split_whitespace().next()?.parse().ok()?,
        })
    }
}

impl Drop for ProxyProcess {
    fn drop(&mut self) {
        self.kill();
    }
}

/// What one process has used.
pub(crate) struct ProcessResources {
    /// Processor time in seconds.
    pub(crate) cpu_s: f64,
    /// The most memory that was resident, in kilobytes.
    pub(crate) peak_kb: u64,
}

/// What all processes of one proxy have used.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct ProxyUsage {
    /// Processor time in seconds.
    pub cpu_s: f64,
    /// The most memory that was resident, in kilobytes.
    pub peak_kb: u64,
    /// How often it was started.
    pub starts: u32,
}
