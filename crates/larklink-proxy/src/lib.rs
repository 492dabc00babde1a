//! A proxy for long-lived connections on sockets, around the larklink decisions. One thread runs all tasks but the admin
//! endpoint and the log. One task owns the decisions ([`decision_task`]); the others reach them through its queue only and
//! get commands back ([`events`]).
//!
//! - [`proxy`] assembles the tasks and stops them; `accept` accepts connections.
//! - `session` runs a client's session: first line, attempts, relay, migration.
//! - [`upstream`] makes attempts and health checks at endpoints; [`discovery`] follows the endpoint list.
//! - [`handover`] takes over from a predecessor process, and hands over to a successor.
//! - [`limiter`] counts file descriptors; [`metrics`], [`admin`] and [`log`] report.
//! - [`config`], [`reload`], [`protocol`] and [`endpoint_list`] hold the external formats.
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
mod session;
pub mod timeout;
pub mod upstream;
