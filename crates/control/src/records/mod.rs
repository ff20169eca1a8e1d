//! The records of the two control streams, as typed JSON.
//!
//! Terms: the *config stream* carries [`ConfigRecord`]s, the *leases stream* [`LeaseRecord`]s. A
//! text too large for one record is cut into *parts* at consecutive offsets.
//!
//! Invariants: unknown fields are ignored and unknown kinds are skipped, so that a node can read
//! the records of a newer version. Whether a record counts depends on its text alone, never on the
//! reader.

mod codec;
mod config;
mod leases;
mod parts;
mod splice;

pub use codec::{DecodeError, Record, decode, encode};
pub use config::{ConfigRecord, Snapshot, Update};
pub use leases::{Checkpoint, GrantRecord, HeldRecord, LeaseRecord, Release, Renew, Reset, Take};
pub use parts::{MAX_PARTS, Part, cut};
pub use splice::Splice;
