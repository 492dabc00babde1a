//! Keeps the endpoint list up to date by polling the discovery service.
mod client;
pub mod http;
pub mod open_polls;
mod poll;
mod poll_task;
pub mod schedule;
pub mod watch_state;

pub use client::{DiscoveryClient, follow};
