//! A proxy process and its resource usage.
use std::process::{Child, ExitStatus};

use rustix::process::{Pid, Signal, kill_process};
use serde::Serialize;

/// A running proxy process. It is killed when this value is dropped, or when the thread that started it ends.
pub(crate) struct ProxyProcess(Child);

impl ProxyProcess {
    pub(crate) fn new(child: Child) -> Self {
        Self(child)
    }

    pub(crate) fn signal(&self, signal: Signal) {
        let _ = kill_process(Pid::from_child(&self.0), signal);
    }

    /// Returns the exit status if the process has exited.
    pub(crate) fn exit_status(&mut self) -> Option<ExitStatus> {
        self.0.try_wait().ok().flatten()
    }

    pub(crate) fn kill(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }

    /// Returns the resources used so far, or `None` if the process no longer exists.
    pub(crate) fn resources(&self) -> Option<ProcessResources> {
        let pid = self.0.id();
        let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
        // Counting from 0 after the command name, fields 11 and 12 are the clock ticks in user and in kernel mode.
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

/// The resources used by one process.
pub(crate) struct ProcessResources {
    /// CPU time in seconds.
    pub(crate) cpu_s: f64,
    /// Peak resident memory in kilobytes.
    pub(crate) peak_kb: u64,
}

/// The resources used by all processes of one proxy.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct ProxyUsage {
    /// CPU time in seconds.
    pub cpu_s: f64,
    /// Peak resident memory in kilobytes.
    pub peak_kb: u64,
    /// The number of processes started.
    pub starts: u32,
}
