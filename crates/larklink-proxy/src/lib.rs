//! A proxy for long-lived TCP connections, built on the larklink decision engine. One thread runs all tasks except the
//! admin endpoint and the log writer. One task owns the engine ([`decision_task`]); all others send it events through a
//! queue, and session tasks receive commands back ([`events`]).
//!
//! - [`proxy`] starts the tasks and shuts them down; `accept` accepts connections.
//! - `session` runs a client's session: first line, attempts, relay, migration.
//! - [`upstream`] makes attempts and health checks at endpoints; [`discovery`] follows the endpoint list.
//! - [`handover`] takes sessions over from a predecessor process and hands them over to a successor.
//! - [`session_registry`] tracks the sessions and their ids; [`limiter`] limits the open file descriptors; [`metrics`],
//!   [`admin`] and [`log`] report.
//! - [`config`], [`reload`], [`protocol`] and [`endpoint_list`] define the external formats.
mod accept;
pub mod admin;
pub mod clock;
pub mod config;
pub mod connection;
mod connection_slots;
pub mod decision_task;
pub mod discovery;
mod endpoint_directory;
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
pub mod session_registry;
pub mod timeout;
pub mod upstream;
