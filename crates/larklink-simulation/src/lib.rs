//! What a proxy serves and is served by, as a model: servers that tire, a session store, clients with their
//! patience, the front that deals them out, the list of servers, and the book in which each of them writes
//! what it saw. The time is an argument and chance comes from a seed, so that the same model runs in simulated
//! time ([`simulate`]) and, carried by `larklink-testbed`, on sockets.
pub mod audit;
pub mod book;
pub mod clients;
pub mod contest;
pub mod explore;
pub mod faults;
pub mod front;
pub mod goodput;
pub mod list;
pub mod register;
pub mod scenario;
pub mod server;
pub mod simulate;
pub mod spans;
pub mod store;
pub mod world;
