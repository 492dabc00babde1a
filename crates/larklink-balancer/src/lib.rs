//! The decisions of larklink, a balancer for long-lived connections.
//! `types` holds the plain values that go in and out, `balancer` decides.
pub mod balancer;
pub mod types;
