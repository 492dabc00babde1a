//! Coordination between larklink processes through leases in an external key-value store, the lease store.
//!
//! The crate does no I/O and reads no clock: the current time is an argument, randomness comes from a seed, and requests
//! to the lease store are returned as plain values. `docs/design/leases.md` explains why the protocol is safe.
//!
//! - [`lease`]: the state machine for one lease in one process, and how to drive it.
//! - [`record`]: the data in the lease store.
//! - [`request`]: requests to the lease store, its responses, and the fencing token.
//! - [`safety`]: the timing conditions that keep two processes from holding a lease at once.
//! - [`settings`]: lease durations, which must be the same for all candidates.
//! - [`time`]: timestamps and durations.
pub mod lease;
pub mod record;
pub mod request;
pub mod safety;
pub mod settings;
pub mod time;
