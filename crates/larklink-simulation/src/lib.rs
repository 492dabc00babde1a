//! A model of the environment of the proxies, without I/O and without a clock: servers, their session store, clients,
//! the external load balancer and the endpoint list, with an event log of what each of them observed. Time is passed in
//! and randomness comes from a seed, so the same model runs in simulated time ([`simulate`]) and, driven by
//! `larklink-testbed`, on sockets.
//!
//! - [`scenario`] describes a run, [`faults`] expands its faults into timed events, and [`model`] combines all parts.
//! - [`audit`] and [`goodput`] evaluate an event log.
//! - [`list_service`] is a discovery service of fixed capacity.
//! - [`lease_model`], [`lease_store`] and [`state_search`] check the leases of `larklink-coordination`.
pub mod audit;
pub mod clients;
pub mod duration;
pub mod endpoint_list;
pub mod event_log;
pub mod event_queue;
pub mod external_load_balancer;
pub mod faults;
pub mod goodput;
pub mod lease_model;
pub mod lease_store;
pub mod list_service;
pub mod model;
pub mod scenario;
pub mod server;
pub mod session_store;
pub mod simulate;
pub mod state_search;
pub mod time;
