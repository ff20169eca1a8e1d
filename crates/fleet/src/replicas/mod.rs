//! The replicas that are known, and how far each is to be trusted.
//!
//! Terms:
//! - a *listed* replica has an entry in the directory; a *lapsed* one lost its entry while the
//!   directory was away, and is kept until the directory had time to hear of it again;
//! - a *doubted* replica failed lately and gets no work until its pause is over, then one request
//!   on *trial* at a time until an answer is good;
//! - a replica that crashed may *start* again under its instance name: it then has nothing in hand,
//!   and nothing that was believed of its earlier start holds. Each start has a key of its own, so
//!   trust, work and memory of the earlier one are forgotten with its key.
//!
//! Invariants: a draining or removed replica gets no new work; two replicas of configured services
//! never share an address; an entry of an earlier start changes nothing.

mod health;
mod replica;
mod table;

pub use health::{Health, Symptom};
pub use replica::{Replica, ReplicaChange, ReplicaKey, ReplicaStart, ReplicaState};
pub use table::{Fingerprint, ReplicaTable, TableEvent};
