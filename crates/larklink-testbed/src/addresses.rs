//! Loopback addresses of one run.
use std::net::{Ipv4Addr, SocketAddr};

/// The first port of a process's first run.
const FIRST_PORT: u16 = 10_000;
/// Ports of each run.
const PORTS_PER_RUN: u16 = 1000;
/// Runs of one process that have ports of their own at the same time.
const RUNS: u32 = 50;

/// Addresses that no other run has: a loopback address of this process, from which nothing connects, and a range of
/// ports of the run.
pub(crate) struct AddressRange {
    ip: Ipv4Addr,
    last_port: u16,
}

impl AddressRange {
    /// Those of the run with that number in this process.
    pub(crate) fn of_run(run: u32) -> Self {
        let [_, a, b, c] = std::process::id().to_be_bytes();
        Self {
            ip: Ipv4Addr::new(127, 64 | (a & 63), b, c),
            last_port: FIRST_PORT + (run % RUNS) as u16 * PORTS_PER_RUN,
        }
    }

    /// The next so many.
    pub(crate) fn take(&mut self, count: usize) -> Vec<SocketAddr> {
        (0..count).map(|_| self.next()).collect()
    }

    fn next(&mut self) -> SocketAddr {
        self.last_port += 1;
        SocketAddr::from((self.ip, self.last_port))
    }
}
