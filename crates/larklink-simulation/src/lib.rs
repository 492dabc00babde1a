//! What a proxy serves and is served by, as a model: servers that tire, a session store, clients with their
//! patience, the front that deals them out, the list of servers, and the book in which each of them writes
//! what it saw. The time is an argument and chance comes from a seed, so that the same model runs in simulated
//! time ([`simulate`]) and, carried by `larklink-testbed`, on sockets.
pub mod audit;
pub mod clients;
pub mod duration;
pub mod endpoint_list;
pub mod event_log;
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
pub mod world;
