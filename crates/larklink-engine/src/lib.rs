//! What every way of running the decisions of larklink shares: the settings object of a proxy, and the balancer behind
//! the ids of endpoints, sessions and attempts. No I/O and no clock: time is an argument.
pub mod engine;
pub mod settings;
pub mod units;
pub mod validation;
mod wire;
