//! Runs the work of an idempotency key at most once. A claim goes to the owner of the key's shard,
//! which writes it in a batch to the shard's log stream before the upstream is called.
//!
//! Terms: a *shard* is a part of the key space with one *owner* at a time; an owner's *epoch*
//! begins with its epoch record in the shard's stream.
//!
//! Invariants: a claim is granted only when its record is read back with no newer epoch record
//! before it, so two owners never grant the same key, regardless of their clocks.

mod owner;
mod print;
pub mod records;
pub mod reduce;
mod router;
mod settings;
pub mod table;
pub mod verify;

pub use owner::{OwnerPhase, ShardReport};
pub use records::shard_of;
pub use router::{Claims, ClaimsHandle, ClaimsParts, ClaimsReport};
pub use settings::{ClaimSettings, SettingsError};

use bluebell_base::prelude::*;
use bluebell_peers::{ClaimAnswer, ClaimCall, SettleCall};
use stakker::{Core, Ret};

/// The owner of a shard, as read from the leases stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ShardOwner {
    /// The shard.
    pub shard: ShardId,
    /// The incarnation of the owner's process.
    pub incarnation: Incarnation,
    /// The address of the owner's peer interface.
    pub address: Address,
}

/// The interface through which requests claim and settle keys.
pub trait ClaimsPort {
    /// Claims a key.
    ///
    /// An error means `NotRun` for this request: without a grant it must not run. It must not claim
    /// the key again either, since its claim may already have been settled. A later retry is a new
    /// request.
    ///
    /// A grant holds for the key's validity. The request is forwarded or given up well within it.
    fn claim(&self, core: &mut Core, call: ClaimCall, ret: Ret<Result<ClaimAnswer, Error>>);

    /// Settles a claim. Retries in the background until the settlement is in the log or the key
    /// expires.
    fn settle(&self, core: &mut Core, call: SettleCall);
}
