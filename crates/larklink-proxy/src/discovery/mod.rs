//! Keeps the endpoint list up to date by polling the discovery service.
mod client;
pub mod http;
mod pending_polls;
mod poll;
pub mod schedule;
mod watch_state;

pub use client::follow;
