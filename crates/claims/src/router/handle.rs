//! The handle to the claims actor of a node.

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

/// The dependencies of a node's claims.
pub struct ClaimsParts {
    /// The settings, checked against the log's retention.
    pub settings: ClaimSettings,
    /// The timer service.
    pub timers: Timers,
    /// The platform's log.
    pub log: Rc<dyn LogPort>,
    /// The interface to the peers.
    pub peers: Rc<dyn PeerPort>,
    /// The incarnation of this process.
    pub incarnation: Incarnation,
    /// The seed for the jitter of retries.
    pub seed: u64,
}

/// The state and counters of a node's claims.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimsReport {
    /// The reports of the shards that this node owns.
    pub owned: Vec<ShardReport>,
    /// Number of shards whose owner is known.
    pub known_owners: usize,
    /// Number of claims that wait for an answer.
    pub claims_waiting: usize,
    /// Number of settlements that are not in the log yet.
    pub settlements_waiting: usize,
    /// Number of settlements dropped because too many were waiting.
    pub settlements_dropped: u64,
    /// Number of claims that were given up.
    pub given_up: u64,
}

/// A handle to the claims actor. It is cheap to clone, and the actor ends with the last handle.
#[derive(Clone)]
pub struct ClaimsHandle {
    actor: Rc<ActorOwn<Claims>>,
}

impl Claims {
    /// Starts the claims actor of a node that owns no shard yet.
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
    /// Sets the owner of a shard, as read from the leases stream.
    pub fn set_owner(&self, _core: &mut Core, owner: ShardOwner) {
        call!([self.actor], set_owner(owner));
    }

    /// Reports that this node owns a shard until `until_ms`, with a new or a renewed lease.
    pub fn shard_held(&self, _core: &mut Core, shard: ShardId, fencing: Fencing, until_ms: MonoMs) {
        call!([self.actor], shard_held(shard, fencing, until_ms));
    }

    /// Reports that this node no longer owns a shard.
    pub fn shard_lost(&self, _core: &mut Core, shard: ShardId) {
        call!([self.actor], shard_lost(shard));
    }

    /// Handles a peer's [`PeerCall::Claim`](bluebell_peers::PeerCall::Claim).
    pub fn incoming_claim(
        &self,
        _core: &mut Core,
        call: ClaimCall,
        ret: Ret<Result<PeerAnswer, Error>>,
    ) {
        call!([self.actor], incoming_claim(call, ret));
    }

    /// Handles a peer's [`PeerCall::Settle`](bluebell_peers::PeerCall::Settle).
    pub fn incoming_settle(
        &self,
        _core: &mut Core,
        call: SettleCall,
        ret: Ret<Result<PeerAnswer, Error>>,
    ) {
        call!([self.actor], incoming_settle(call, ret));
    }

    /// Reports the state and the counters.
    pub fn report(&self, _core: &mut Core, ret: Ret<ClaimsReport>) {
        call!([self.actor], report(ret));
    }

    /// Returns the keys of a shard as text, if this node owns it.
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
