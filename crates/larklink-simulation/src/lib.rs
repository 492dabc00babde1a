//! What a proxy serves and is served by, as a model without I/O and clock: servers, a session store, clients, the
//! external load balancer, the endpoint list, and the event log in which each of them records what it saw. Time is an
//! argument and chance comes from a seed, so that the same model runs in simulated time ([`simulate`]) and, carried by
//! `larklink-testbed`, on sockets.
//!
//! - [`scenario`] describes a run, [`faults`] makes its faults single events, and [`world`] joins all parts.
//! - [`audit`] and [`goodput`] judge an event log.
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
pub mod scenario;
pub mod server;
pub mod session_store;
pub mod simulate;
pub mod state_search;
pub mod time;
pub mod world;
