//! Connections to endpoints: the attempts of sessions, health checks, and the latency of messages.
pub mod attempt;
pub mod health_check;
pub mod message_latency;
