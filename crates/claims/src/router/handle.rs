//! The running handle of a node's claims.

use super::Claims;
use crate::owner::{OwnerParts, ShardReport};
use crate::settings::ClaimSettings;
use crate::{ClaimsPort, ShardOwner};
use bluebell_base::prelude::*;
use bluebell_peers::{ClaimAnswer, ClaimCall, PeerAnswer, PeerPort, SettleCall};
use bluebell_platform::LogPort;
use bluebell_timers::Timers;
use serde::{Deserialize, Serialize};
use stakker::{ActorOwn, Core, Ret, actor, call, ret_nop};
use std::rc::Rc;

/// What a node's claims work with.
pub struct ClaimsParts {
    /// The settings, checked against the log's retention.
    pub settings: ClaimSettings,
    /// The time.
    pub timers: Timers,
    /// The platform's log.
    pub log: Rc<dyn LogPort>,
    /// The peers.
    pub peers: Rc<dyn PeerPort>,
    /// This run of the process.
    pub incarnation: Incarnation,
    /// For the jitter of tries.
    pub seed: u64,
}

/// What a node's claims tell of themselves.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimsReport {
    /// The shards owned here.
    pub owned: Vec<ShardReport>,
    /// The shards whose owner is known.
    pub known_owners: usize,
    /// Claims that wait for an answer.
    pub claims_waiting: usize,
    /// Settlements that are not in the log yet.
    pub settlements_waiting: usize,
    /// Settlements dropped for lack of room.
    pub settlements_dropped: u64,
    /// Claims that were given up.
    pub given_up: u64,
}

/// A node's running claims; cheap to clone, they end with the last handle.
#[derive(Clone)]
pub struct ClaimsHandle {
    actor: Rc<ActorOwn<Claims>>,
}

impl Claims {
    /// Starts the claims of a node that owns no shard yet.
    pub fn spawn(core: &mut Core, parts: ClaimsParts) -> ClaimsHandle {
        let peers = parts.peers;
        let parts = OwnerParts {
            settings: parts.settings,
            timers: parts.timers,
            log: parts.log,
            incarnation: parts.incarnation,
            seed: parts.seed,
        };
        let actor = actor!(core, Claims::init(parts, peers), ret_nop!());
        ClaimsHandle {
            actor: Rc::new(actor),
        }
    }
}

impl ClaimsHandle {
    /// Says who owns a shard now, as read from the leases stream.
    pub fn set_owner(&self, _core: &mut Core, owner: ShardOwner) {
        call!([self.actor], set_owner(owner));
    }

    /// Says that this node owns a shard until the instant, for the first time or again.
    pub fn shard_held(&self, _core: &mut Core, shard: ShardId, fencing: Fencing, until_ms: MonoMs) {
        call!([self.actor], shard_held(shard, fencing, until_ms));
    }

    /// Says that this node does not own a shard any more.
    pub fn shard_lost(&self, _core: &mut Core, shard: ShardId) {
        call!([self.actor], shard_lost(shard));
    }

    /// Takes a peer's [`PeerCall::Claim`](bluebell_peers::PeerCall::Claim).
    pub fn incoming_claim(
        &self,
        _core: &mut Core,
        call: ClaimCall,
        ret: Ret<Result<PeerAnswer, Error>>,
    ) {
        call!([self.actor], incoming_claim(call, ret));
    }

    /// Takes a peer's [`PeerCall::Settle`](bluebell_peers::PeerCall::Settle).
    pub fn incoming_settle(
        &self,
        _core: &mut Core,
        call: SettleCall,
        ret: Ret<Result<PeerAnswer, Error>>,
    ) {
        call!([self.actor], incoming_settle(call, ret));
    }

    /// Tells the state and the counters.
    pub fn report(&self, _core: &mut Core, ret: Ret<ClaimsReport>) {
        call!([self.actor], report(ret));
    }

    /// Prints the keys of a shard owned here.
    pub fn print(&self, _core: &mut Core, shard: ShardId, ret: Ret<String>) {
        call!([self.actor], print(shard, ret));
    }
}

impl ClaimsPort for ClaimsHandle {
    fn claim(&self, _core: &mut Core, call: ClaimCall, ret: Ret<Result<ClaimAnswer, Error>>) {
        call!([self.actor], claim(call, ret));
    }

    fn settle(&self, _core: &mut Core, call: SettleCall) {
        call!([self.actor], settle(call));
    }
}
