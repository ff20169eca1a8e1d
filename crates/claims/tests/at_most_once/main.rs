//! Tests that each idempotency key runs at most once under faults, with the production actors and
//! virtual time.

mod gate;
mod log_faults;
mod owners;
mod random;
mod rig;
