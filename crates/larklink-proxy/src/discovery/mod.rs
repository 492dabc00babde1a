//! Follows the endpoint list at the discovery service.
mod client;
pub mod http;
pub mod schedule;

pub use client::follow;
