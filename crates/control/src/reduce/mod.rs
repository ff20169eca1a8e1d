//! Reduction of the control streams to their state. The state depends only on the records, not on
//! the reader.
//!
//! Terms: a reader *knows* the state if it has read every record that contributes to it, or has
//! adopted a snapshot that replaces those that it has not read. Otherwise the state is *unknown*
//! and later records are *pending*.
//!
//! Invariants: the reduction uses no clock, no randomness and no property of the reader. Two
//! readers that started at different offsets and both know the state agree on it.

mod assembly;
pub mod config;
pub mod leases;

pub use assembly::MAX_TEXT_BYTES;
pub use config::{ConfigOutcome, ConfigReducer, InForce};
pub use leases::{Grant, LeaseOutcome, LeaseReducer};
