//! Rehearsals: the model of `larklink-simulation` on loopback sockets, with real daemons between its clients and its
//! servers. The book is kept by the stand-ins; the daemon that is judged has no hand in it.
pub mod clients;
pub mod daemons;
pub mod discovery;
pub mod doors;
pub mod operators;
pub mod plots;
pub mod report;
pub mod run;
pub mod servers;
pub mod stage;
pub mod wire;
