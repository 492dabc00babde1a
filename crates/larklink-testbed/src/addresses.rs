//! Allocation of the loopback addresses of a run.
use std::net::{Ipv4Addr, SocketAddr};

/// The port below the first one of the first run.
const BASE_PORT: u16 = 10_000;
/// Ports reserved for each run.
const PORTS_PER_RUN: u16 = 1000;
/// The number of port ranges per process. A later run reuses the range of the run this many before it.
const PORT_RANGES: u32 = 50;

/// Allocates addresses that no concurrent run uses: a loopback IP address derived from the process id, and a port range
/// per run. Outgoing connections never use this IP address as their source, so they cannot take these ports.
pub(crate) struct AddressRange {
    ip: Ipv4Addr,
    last_port: u16,
}

impl AddressRange {
    /// The addresses of the run with this number within the process.
    pub(crate) fn for_run(run: u32) -> Self {
        let [_, a, b, c] = std::process::id().to_be_bytes();
        Self {
            ip: Ipv4Addr::new(127, 64 | (a & 63), b, c),
            last_port: BASE_PORT + (run % PORT_RANGES) as u16 * PORTS_PER_RUN,
        }
    }

    /// Allocates the next `count` addresses.
    pub(crate) fn take(&mut self, count: usize) -> Vec<SocketAddr> {
        (0..count).map(|_| self.next()).collect()
    }

    fn next(&mut self) -> SocketAddr {
        self.last_port += 1;
        SocketAddr::from((self.ip, self.last_port))
    }
}
