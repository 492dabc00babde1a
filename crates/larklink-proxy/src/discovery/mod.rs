//! Follows the endpoint list at the discovery service.
pub mod client;
pub mod http;
pub mod schedule;
