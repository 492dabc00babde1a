//! A proxy for long-lived connections on sockets, round the larklink decisions. One thread runs it all; one
//! task owns the decisions (`decisions`), and every other reaches them through its queue only.
pub mod clients;
pub mod clock;
pub mod config;
pub mod console;
pub mod decisions;
pub mod delays;
pub mod discovery;
pub mod events;
pub mod figures;
pub mod handover;
pub mod limiter;
pub mod lines;
pub mod list;
pub mod log;
mod pending;
pub mod probes;
pub mod proxy;
mod relay;
pub mod reload;
pub mod servers;
