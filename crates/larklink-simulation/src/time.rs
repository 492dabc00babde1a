//! Simulated time, in ticks of a tenth of a millisecond since the start of a run.
pub use larklink_coordination::time::{TickDuration, Timestamp};
