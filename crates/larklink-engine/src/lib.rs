//! The parts that are common to all programs that run the decision logic of larklink: the settings object of
//! a proxy, and an engine that addresses endpoints, sessions and attempts by the proxy's ids. This crate does
//! no I/O and reads no clock: time is an argument.
pub mod engine;
pub mod settings;
pub mod units;
pub mod validation;
mod wire;
