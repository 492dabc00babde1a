//! Sessions. Each client connection has a task of its own, which runs through these modules:
//!
//! 1. [`handler`] reads the first line and validates it.
//! 2. `connect` sends the session to the endpoints that the decisions choose, until one accepts it; `reconnect` sends one
//!    that was established before to the endpoint that its first line names.
//! 3. `relay` forwards lines both ways until the session ends, is migrated or handed over.
//!
//! They share [`context`], which uses `registry` (open sessions) and [`shutdown`] (its deadlines), and `client` (answering
//! and closing).
mod client;
mod client_watch;
mod connect;
pub(crate) mod context;
pub(crate) mod handler;
mod reconnect;
pub(crate) mod registry;
mod relay;
mod request;
mod send_permit;
pub(crate) mod shutdown;
