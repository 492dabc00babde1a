//! What the simulator's adapter and the proxy on sockets share: the settings object, ids mapped to small
//! indices, the current dial of each session, and the module's verdicts and chores as plain actions. No I/O
//! and no clock.
pub mod engine;
pub mod settings;
