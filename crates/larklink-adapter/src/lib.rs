//! Speaks the simulator's wire for the larklink decisions: frames, settings, and the translation of times and words.
pub mod proxy;
pub mod settings;
pub mod wire;
