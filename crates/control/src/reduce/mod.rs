//! The pure reduction of the control streams: same records, same state, whoever reads.
//!
//! Terms: a reader *knows* the state where it has read every record that made it, or adopted a
//! snapshot that stands for those it has not; otherwise the state is *unknown* and later records
//! are *pending*.
//!
//! Invariants: no clock, no randomness and nothing of the reader enters; of two readers that
//! started at different offsets, either both know and agree, or one knows and the other does not.

mod assembly;
pub mod config;
pub mod leases;

pub use assembly::MAX_TEXT_BYTES;
pub use config::{ConfigOutcome, ConfigReducer, InForce};
pub use leases::{Grant, LeaseOutcome, LeaseReducer};
