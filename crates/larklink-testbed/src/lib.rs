//! Runs the model of `larklink-simulation` on loopback sockets, with real proxy processes between its clients and servers.
//!
//! [`run`](run::run) starts the proxies, runs a [`Scenario`](larklink_simulation::scenario::Scenario) and returns a
//! [`Report`](report::Report). The stand-in clients and servers write the event log that the audit checks; the
//! proxies under test add nothing to it.
//!
//! Everything runs on one thread. Tasks are spawned with `TestbedContext::spawn` and are dropped together with the
//! executor when the run ends.

mod addresses;
mod admin_client;
mod clients;
mod context;
mod descriptors;
mod discovery;
mod dispatch;
mod error;
pub mod faulty_relay;
mod histogram;
pub mod html_report;
mod metrics_poller;
pub mod options;
mod protocol;
pub mod proxy_process;
mod proxy_slot;
pub mod report;
pub mod run;
mod run_directory;
pub mod sample;
mod servers;
mod supervisor;
pub mod timer_delay;

pub use error::TestbedError;
