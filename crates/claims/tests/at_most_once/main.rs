//! At most one run per idempotency key, under faults, with production actors under virtual time.

mod gate;
mod log_faults;
mod owners;
mod random;
mod rig;
