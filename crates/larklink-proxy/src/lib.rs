//! A proxy for long-lived connections on sockets, round the larklink decisions. One thread runs it all; one
//! task owns the decisions (`decisions`), and every other reaches them through its queue only.
mod accept;
pub mod admin;
pub mod clock;
pub mod config;
pub mod connection;
pub mod decision_task;
pub mod discovery;
pub mod endpoint_list;
pub mod events;
pub mod handover;
pub mod limiter;
pub mod log;
pub mod metrics;
pub mod protocol;
pub mod proxy;
pub mod reload;
pub mod session;
pub mod timeout;
pub mod upstream;
