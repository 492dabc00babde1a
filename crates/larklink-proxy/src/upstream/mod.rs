//! Connections to endpoints: attempts to establish sessions, health checks, and message latency.
pub mod attempt;
pub mod health_check;
pub mod message_latency;
