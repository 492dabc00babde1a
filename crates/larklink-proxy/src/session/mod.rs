//! Client sessions. Each client connection has its own task, which passes through these modules:
//!
//! 1. [`handler`] reads the first line and validates it.
//! 2. `connect` makes attempts at the endpoints that the decision task chooses until one accepts the session;
//!    `reconnect` instead makes attempts at the endpoint that the first line names, for a session that was established
//!    before.
//! 3. `relay` forwards lines in both directions until the session ends, is migrated or is handed over.
//!
//! Shared by them: [`context`], which holds the session registry and [`shutdown`] (the shutdown deadlines), and `client`
//! (answers to clients and closing of connections).
mod client;
mod client_watch;
mod connect;
pub(crate) mod context;
pub(crate) mod handler;
mod reconnect;
mod relay;
mod request;
mod send_permit;
pub(crate) mod shutdown;
