//! Checks that enough file descriptors are available for a scenario.
use larklink_simulation::scenario::Scenario;
use rustix::process::{Resource, Rlimit, getrlimit, setrlimit};

use crate::error::TestbedError;

/// The most proxies that the testbed starts on one machine. Larger fleets can be run in simulated time.
const MAX_PROXIES: usize = 64;
/// Descriptors that the testbed needs besides those of clients and servers: logs, discovery, the event loop.
const OTHER_DESCRIPTORS: u64 = 128;
/// Descriptors that a proxy needs besides those of its sessions and servers.
const OTHER_PROXY_DESCRIPTORS: usize = 32;

/// Raises the descriptor limit of this process as far as the system allows and checks that it suffices for the scenario.
/// Each session takes one descriptor at its client and one at its server, and as many again while it reconnects.
///
/// # Errors
/// Fails if the scenario has too many proxies, or needs more descriptors than the testbed or a proxy may open.
pub(crate) fn prepare(scenario: &Scenario) -> Result<(), TestbedError> {
    let proxies = scenario.proxies.count;
    if proxies > MAX_PROXIES {
        return Err(TestbedError::TooManyProxies { count: proxies, max: MAX_PROXIES });
    }
    let allowed = raise_limit();
    let servers = scenario.server_count();
    let sessions = scenario.expected_sessions();
    let needed = 4 * sessions as u64 + servers as u64 * (1 + proxies as u64) + OTHER_DESCRIPTORS;
    if needed > allowed {
        return Err(TestbedError::TooFewDescriptors { needed, sessions, allowed });
    }
    grow_descriptor_table(needed.min(allowed.saturating_sub(1)));
    let needed_by_proxy = (2 * sessions).div_ceil(proxies) + 2 * servers + OTHER_PROXY_DESCRIPTORS;
    if needed_by_proxy > scenario.proxies.descriptors {
        return Err(TestbedError::TooFewProxyDescriptors {
            needed: needed_by_proxy,
            sessions,
            allowed: scenario.proxies.descriptors,
        });
    }
    Ok(())
}

/// Raises the soft limit to the hard limit and returns the resulting soft limit.
fn raise_limit() -> u64 {
    let limit = getrlimit(Resource::Nofile);
    let _ = setrlimit(Resource::Nofile, Rlimit { current: limit.maximum, ..limit });
    getrlimit(Resource::Nofile).current.unwrap_or(u64::MAX)
}

/// Grows the descriptor table of this process once, before the run. When threads share the table, the kernel waits for
/// all processors to pass a quiescent state (an RCU grace period) before it grows it, which would delay the testbed in
/// the middle of a run.
fn grow_descriptor_table(last: u64) {
    let last = i32::try_from(last).unwrap_or(i32::MAX);
    drop(rustix::io::fcntl_dupfd_cloexec(std::io::stderr(), last));
}
