//! Why a scenario could not be run to its end.
use std::path::PathBuf;
use std::process::ExitStatus;
use std::time::Duration;

/// Why a scenario could not be run, or not to its end.
#[derive(Debug, thiserror::Error)]
pub enum TestbedError {
    /// The scenario has more proxies than one machine starts.
    #[error("proxies.count: {count} daemons, and one machine starts {most} at most")]
    TooManyProxies {
        /// Proxies of the scenario.
        count: usize,
        /// The most that are started.
        most: usize,
    },
    /// The testbed may not open as many descriptors as the scenario's sessions need.
    #[error(
        "{needed} descriptors are needed for some {sessions} sessions, and this process may hold {allowed}"
    )]
    TooFewDescriptors {
        /// Descriptors that clients and servers need.
        needed: u64,
        /// Sessions established at once.
        sessions: usize,
        /// What the system allows this process.
        allowed: u64,
    },
    /// The scenario allows each proxy fewer descriptors than its sessions need.
    #[error(
        "each daemon needs {needed} descriptors for its part of some {sessions} sessions, and proxies.descriptors is {allowed}"
    )]
    TooFewProxyDescriptors {
        /// Descriptors that each proxy needs.
        needed: usize,
        /// Sessions established at once.
        sessions: usize,
        /// What the scenario allows each proxy.
        allowed: usize,
    },
    /// The folder for configurations and logs cannot be made.
    #[error("{}: {source}", .path.display())]
    CreateFolder {
        /// Where it was to be made.
        path: PathBuf,
        /// The system's reason.
        source: std::io::Error,
    },
    /// Signals cannot be received.
    #[error("signals: {0}")]
    Signals(std::io::Error),
    /// A proxy cannot be started.
    #[error("{}: {source}", .program.display())]
    StartProxy {
        /// The proxy's program.
        program: PathBuf,
        /// The system's reason.
        source: std::io::Error,
    },
    /// A proxy ended before it answered.
    #[error("proxy {proxy} ended at its start ({status})\n{log_tail}")]
    EndedAtStart {
        /// The proxy's number.
        proxy: usize,
        /// How it ended.
        status: ExitStatus,
        /// The last lines of its log.
        log_tail: String,
    },
    /// A proxy runs and does not answer.
    #[error("proxy {proxy} does not answer {timeout:?} after its start\n{log_tail}")]
    NotReady {
        /// The proxy's number.
        proxy: usize,
        /// How long it was waited for.
        timeout: Duration,
        /// The last lines of its log.
        log_tail: String,
    },
    /// A proxy ended though the scenario did not ask for it.
    #[error("proxy {proxy} {} ({status})\n{log_tail}", if .status.code().is_none() { "was killed" } else { "ended by itself" })]
    Ended {
        /// The proxy's number.
        proxy: usize,
        /// How it ended.
        status: ExitStatus,
        /// The last lines of its log.
        log_tail: String,
    },
    /// SIGINT or SIGTERM came.
    #[error("interrupted")]
    Interrupted,
}
