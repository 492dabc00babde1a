//! Connects the larklink engine to the simulator: decodes the events in the simulator's binary frames, and encodes the
//! engine's actions as replies.
mod action;
pub mod error;
mod event;
pub mod proxies;
pub mod wire;
