//! The known replicas and their health.
//!
//! Terms:
//! - a *listed* replica has an entry in the directory. A *lapsed* one lost its entry while the directory
//!   was away, and is kept until the replica had time to be listed again;
//! - a *doubted* replica failed lately. It gets no work until its pause is over, then one request on
//!   *trial* at a time until an answer is good;
//! - a replica that crashed may *start* again under its instance name. It then has no work in flight, and
//!   nothing that was known of its earlier start applies. Each start has a key of its own, so health,
//!   work and memory of the earlier one are forgotten with its key;
//! - a *displaced* replica has an entry, but a later entry of another replica states the same address.
//!
//! Invariants: a draining, removed or displaced replica gets no new work; of the replicas of configured
//! services that state one address, exactly one isn't displaced; an entry of an earlier start changes
//! nothing.

mod addresses;
mod health;
mod replica;
mod table;

pub use health::{Health, Symptom};
pub use replica::{
    ChangePosition, PositionedChange, Replica, ReplicaChange, ReplicaKey, ReplicaStart,
    ReplicaState,
};
pub use table::{Fingerprint, ReplicaTable, TableEvent};
