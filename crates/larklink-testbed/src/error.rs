//! Errors that prevent a run or end it early.
use std::path::PathBuf;
use std::process::ExitStatus;
use std::time::Duration;

/// An error that prevents a run or ends it early.
#[derive(Debug, thiserror::Error)]
pub enum TestbedError {
    /// The scenario has more proxies than the testbed starts.
    #[error("proxies.count: {count} proxies, but the testbed starts at most {max}")]
    TooManyProxies {
        /// The number of proxies in the scenario.
        count: usize,
        /// The most that the testbed starts.
        max: usize,
    },
    /// The scenario needs more descriptors than the testbed may open.
    #[error(
        "{needed} descriptors are needed for about {sessions} sessions, but this process may open only {allowed}"
    )]
    TooFewDescriptors {
        /// The descriptors that the testbed needs.
        needed: u64,
        /// The expected number of concurrent sessions.
        sessions: usize,
        /// The descriptor limit of this process.
        allowed: u64,
    },
    /// The scenario allows each proxy fewer descriptors than its share of the sessions needs.
    #[error(
        "each proxy needs {needed} descriptors for its share of about {sessions} sessions, but proxies.descriptors is {allowed}"
    )]
    TooFewProxyDescriptors {
        /// The descriptors that each proxy needs.
        needed: usize,
        /// The expected number of concurrent sessions.
        sessions: usize,
        /// The descriptors that the scenario allows each proxy.
        allowed: usize,
    },
    /// The directory for configurations and logs cannot be created.
    #[error("cannot create the run directory in {}: {source}", .path.display())]
    CreateDirectory {
        /// The parent directory.
        path: PathBuf,
        /// The cause.
        source: std::io::Error,
    },
    /// The handlers for SIGINT and SIGTERM cannot be installed.
    #[error("cannot install signal handlers: {0}")]
    Signals(std::io::Error),
    /// A proxy process cannot be started.
    #[error("cannot start proxy process {}: {source}", .program.display())]
    StartProxy {
        /// The path of the proxy executable.
        program: PathBuf,
        /// The cause.
        source: std::io::Error,
    },
    /// A proxy process exited before it was ready.
    #[error("proxy {proxy} ended at its start ({status})\n{log_tail}")]
    ExitedAtStartup {
        /// The proxy's number.
        proxy: usize,
        /// The exit status.
        status: ExitStatus,
        /// The last lines of the proxy's log.
        log_tail: String,
    },
    /// A proxy process runs but does not become ready.
    #[error("proxy {proxy} did not become ready within {timeout:?} of its start\n{log_tail}")]
    NotReady {
        /// The proxy's number.
        proxy: usize,
        /// How long the testbed waited.
        timeout: Duration,
        /// The last lines of the proxy's log.
        log_tail: String,
    },
    /// A proxy process exited although no fault of the scenario ended it.
    #[error("proxy {proxy} {} ({status})\n{log_tail}", if .status.code().is_none() { "was killed" } else { "exited unexpectedly" })]
    Ended {
        /// The proxy's number.
        proxy: usize,
        /// The exit status.
        status: ExitStatus,
        /// The last lines of the proxy's log.
        log_tail: String,
    },
    /// SIGINT or SIGTERM was received.
    #[error("interrupted")]
    Interrupted,
}
