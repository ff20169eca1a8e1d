//! At most one run per idempotency key, under faults, with production actors under virtual time.

mod owners;
mod rig;
