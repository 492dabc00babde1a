//! What many processes decide together, with no I/O and no clock: time is an argument, chance comes from a seed, and
//! what is to be asked of the register comes out as plain values. `docs/design/leases.md` has the argument.
pub mod lease;
