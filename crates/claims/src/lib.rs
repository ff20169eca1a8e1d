//! At most one run per idempotency key: claims go to the owner of the key's shard, which writes
//! them in batches to the shard's log stream before the upstream is called.
//!
//! Terms: a *shard* is a part of the key space with one *owner* at a time; an owner's *epoch*
//! begins with its epoch record in the shard's stream.
//!
//! Invariants: a claim is granted only when its record is read back with no newer epoch record
//! before it, so two owners never grant the same key, whatever their clocks say.

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

/// Who owns a shard, as the leases stream says.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ShardOwner {
    /// The shard.
    pub shard: ShardId,
    /// The owner's process.
    pub incarnation: Incarnation,
    /// Where its peer interface listens.
    pub address: Address,
}

/// Claims, as the requests use them.
pub trait ClaimsPort {
    /// Claims a key.
    ///
    /// An error is `NotRun` as far as this request goes: without a grant it must not run, and it
    /// must not claim the key again, since its claim may have been settled for it. A request that
    /// tries later is a new one.
    ///
    /// A grant is good for the key's validity; the request is sent on, or given up, well within.
    fn claim(&self, core: &mut Core, call: ClaimCall, ret: Ret<Result<ClaimAnswer, Error>>);

    /// Settles a claim; goes on in the background until it is in the log or the key expires.
    fn settle(&self, core: &mut Core, call: SettleCall);
}
