//! What many processes of larklink decide together: leases in an outside lease store. No I/O and no clock: time is an
//! argument, chance comes from a seed, and requests to the lease store come out as plain values.
//! `docs/design/leases.md` has the argument.
//!
//! - [`lease`]: the state machine of one process and one lease, and how to call it.
//! - [`record`]: what the lease store keeps.
//! - [`request`]: requests to the lease store, its responses, and the fencing token.
//! - [`safety`]: the inequalities on which the lease rests.
//! - [`settings`]: the durations on which all candidates agree.
//! - [`time`]: the unit of all times.
pub mod lease;
pub mod record;
pub mod request;
pub mod safety;
pub mod settings;
pub mod time;
