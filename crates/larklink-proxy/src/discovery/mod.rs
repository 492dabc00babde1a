//! Keeps the endpoint list up to date by polling the discovery service.
mod client;
pub mod http;
mod open_polls;
mod poll;
pub mod schedule;
pub mod watch_state;

pub use client::{DiscoveryClient, follow};
