//! Speaks the simulator's wire for the larklink decisions: its frames, and the events and actions in them.
mod action;
pub mod error;
mod event;
pub mod proxies;
pub mod wire;
