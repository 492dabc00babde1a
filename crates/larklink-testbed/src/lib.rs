//! The model of `larklink-simulation` on loopback sockets, with real proxy processes between its clients and its servers.
//!
//! [`run`](run::run) starts the proxies, plays a [`Scenario`](larklink_simulation::scenario::Scenario) and returns a
//! [`Report`](report::Report). The event log that the audit judges by is written by the stand-in clients and servers;
//! the proxies under test add nothing to it.
//!
//! Everything runs on one thread. Tasks are spawned by `TestbedContext::spawn` and are
//! dropped with the executor when the run ends.

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
mod run_folder;
pub mod sample;
mod servers;
mod supervisor;
pub mod timer_delay;

pub use error::TestbedError;
