//! Whether there are descriptors enough for a scenario.
use larklink_simulation::scenario::Scenario;
use rustix::process::{Resource, Rlimit, getrlimit, setrlimit};

use crate::error::TestbedError;

/// The most proxies that one machine starts; larger fleets can be run in simulated time.
const MAX_PROXIES: usize = 64;
/// Descriptors of the testbed beside those of clients and servers: logs, discovery, the event loop.
const OTHER_DESCRIPTORS: u64 = 128;
/// The same of a proxy.
const OTHER_PROXY_DESCRIPTORS: usize = 32;

/// Raises the limit of this process as far as the system allows, and checks what the scenario needs: each session takes a
/// descriptor at its client and one at its server, and as many again while it reconnects.
///
/// # Errors
/// Too many proxies, or too few descriptors for the testbed or for a proxy.
pub(crate) fn reserve(scenario: &Scenario) -> Result<(), TestbedError> {
    let proxies = scenario.proxies.count;
    if proxies > MAX_PROXIES {
        return Err(TestbedError::TooManyProxies { count: proxies, most: MAX_PROXIES });
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

/// Raises the soft limit to the hard one; returns the limit that counts.
fn raise_limit() -> u64 {
    let limit = getrlimit(Resource::Nofile);
    let _ = setrlimit(Resource::Nofile, Rlimit { current: limit.maximum, ..limit });
    getrlimit(Resource::Nofile).current.unwrap_or(u64::MAX)
}

/// Has the kernel grow this process's table of descriptors once, before the run: where threads share the table, it grows
/// only once all processors have been idle for a moment, which would delay the testbed in the middle of a run.
fn grow_descriptor_table(last: u64) {
    let last = i32::try_from(last).unwrap_or(i32::MAX);
    drop(rustix::io::fcntl_dupfd_cloexec(std::io::stderr(), last));
}
