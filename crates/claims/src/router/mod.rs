//! Routes each claim and settlement of a node to the owner of its key's shard, on this node or a
//! peer.
//!
//! Terms: an *attempt* is one request to an owner for a claim; a claim is *given up* when its time
//! is over or another attempt would not help.
//!
//! Invariants: a claim is answered once, within `claim_timeout_ms`; a grant that arrives after the
//! claim was given up is discarded; a claim that was given up and may be recorded is settled
//! `NotRun` in the background, which is correct because its request never received the grant.

mod handle;
mod pending;
mod settlements;

pub use handle::{ClaimsHandle, ClaimsParts, ClaimsReport};

use crate::ShardOwner;
use crate::owner::{ClaimRet, Owner, OwnerLease, OwnerParts, SettleRet, ShardReport};
use crate::records::{Epoch, shard_of};
use bluebell_base::prelude::*;
use bluebell_peers::{ClaimCall, ClaimKey, PeerAnswer, PeerCall, PeerPort, SettleCall};
use pending::PendingClaims;
use settlements::PendingSettlements;
use stakker::{Actor, ActorOwn, CX, Ret, actor, call, fwd_to, ret_nop};
use std::cell::RefCell;
use std::rc::Rc;

/// The actor that routes a node's claims.
pub struct Claims {
    parts: OwnerParts,
    peers: Rc<dyn PeerPort>,
    shards: Vec<Shard>,
    pending: PendingClaims,
    settlements: PendingSettlements,
    last_round: u64,
}

/// A shard as known to this node.
#[derive(Default)]
struct Shard {
    owner: Option<ShardOwner>,
    /// The time since which claims have found no owner.
    no_owner_since_ms: Option<MonoMs>,
    owned: Option<OwnedShard>,
}

/// A shard that this node owns.
struct OwnedShard {
    epoch: Epoch,
    actor: ActorOwn<Owner>,
    report: Rc<RefCell<ShardReport>>,
}

/// The current destination of a shard's claims.
enum Route {
    Local(Actor<Owner>),
    Peer(Incarnation, Address),
    NoOwner,
}

impl Claims {
    pub(crate) fn init(_cx: CX![], parts: OwnerParts, peers: Rc<dyn PeerPort>) -> Option<Self> {
        let count = parts.settings.shards.max(1);
        let shards = (0..count).map(|_| Shard::default()).collect();
        Some(Self {
            pending: PendingClaims::default(),
            settlements: PendingSettlements::new(parts.settings.max_settlements),
            parts,
            peers,
            shards,
            last_round: 0,
        })
    }

    pub(crate) fn set_owner(&mut self, cx: CX![], owner: ShardOwner) {
        let shard = owner.shard;
        let Some(slot) = self.shards.get_mut(shard.index()) else {
            return;
        };
        let same = slot.owner.as_ref().map(|old| old.incarnation) == Some(owner.incarnation);
        slot.owner = Some(owner);
        if !same {
            slot.no_owner_since_ms = None;
        }
        self.retry_at_new_owner(cx, shard);
    }

    pub(crate) fn shard_held(
        &mut self,
        cx: CX![],
        shard: ShardId,
        fencing: Fencing,
        until_ms: MonoMs,
    ) {
        let Some(slot) = self.shards.get_mut(shard.index()) else {
            return;
        };
        if let Some(owned) = slot
            .owned
            .as_ref()
            .filter(|owned| owned.epoch.fencing >= fencing)
        {
            if owned.epoch.fencing == fencing {
                call!([owned.actor], renew(until_ms));
            }
            return;
        }
        let owned = self.start_owner(cx, shard, fencing, until_ms);
        if let Some(slot) = self.shards.get_mut(shard.index()) {
            slot.owned = Some(owned);
            slot.no_owner_since_ms = None;
        }
        self.retry_at_new_owner(cx, shard);
    }

    /// Starts an owner for a lease that is new on this node.
    fn start_owner(
        &mut self,
        cx: CX![],
        shard: ShardId,
        fencing: Fencing,
        until_ms: MonoMs,
    ) -> OwnedShard {
        let report = Rc::new(RefCell::new(ShardReport::default()));
        self.last_round += 1;
        let epoch = Epoch {
            fencing,
            round: self.last_round,
        };
        let lease = OwnerLease {
            shard,
            epoch,
            until_ms,
        };
        let ended = fwd_to!([cx], |this, cx, ended: Epoch| this
            .owner_ended(cx, shard, ended));
        let parts = self.parts.clone();
        let own_report = Rc::clone(&report);
        let actor = actor!(cx, Owner::init(parts, lease, own_report, ended), ret_nop!());
        OwnedShard {
            epoch,
            actor,
            report,
        }
    }

    /// Returns the time until which claims of a shard without an owner may wait for one.
    fn owner_wait_deadline_ms(&mut self, shard: ShardId, now_ms: MonoMs) -> MonoMs {
        let max_wait_ms = self.parts.settings.max_wait_ms;
        match self.shards.get_mut(shard.index()) {
            Some(slot) => *slot.no_owner_since_ms.get_or_insert(now_ms) + max_wait_ms,
            None => now_ms,
        }
    }

    fn owner_answered(&mut self, shard: ShardId) {
        if let Some(slot) = self.shards.get_mut(shard.index()) {
            slot.no_owner_since_ms = None;
        }
    }

    pub(crate) fn shard_lost(&mut self, _cx: CX![], shard: ShardId) {
        // Dropping the owner drops the `Ret`s of its waiting operations, which may be in the log.
        if let Some(slot) = self.shards.get_mut(shard.index()) {
            slot.owned = None;
        }
    }

    fn owner_ended(&mut self, _cx: CX![], shard: ShardId, epoch: Epoch) {
        if let Some(slot) = self.shards.get_mut(shard.index()) {
            slot.owned.take_if(|owned| owned.epoch == epoch);
        }
    }

    fn route(&self, key: ClaimKey) -> Route {
        let shard = shard_of(key, self.parts.settings.shards);
        let Some(slot) = self.shards.get(shard.index()) else {
            return Route::NoOwner;
        };
        if let Some(owned) = &slot.owned {
            return Route::Local(owned.actor.clone());
        }
        match &slot.owner {
            Some(owner) if owner.incarnation != self.parts.incarnation => {
                Route::Peer(owner.incarnation, owner.address.clone())
            }
            _ => Route::NoOwner,
        }
    }

    fn no_owner_error(&self) -> Error {
        // `NotFound` tells another node that its request went to the wrong node. Callers never get
        // it.
        Error::not_run(ErrorKind::NotFound, "the key's shard has no owner here now")
            .retry_after(self.parts.settings.retry_after_ms)
    }

    /// Handles a claim from a peer for a shard that this node should own.
    pub(crate) fn incoming_claim(
        &mut self,
        _cx: CX![],
        call: ClaimCall,
        ret: Ret<Result<PeerAnswer, Error>>,
    ) {
        let Route::Local(owner) = self.route(call.key) else {
            ret.ret(Err(self.no_owner_error()));
            return;
        };
        let ret: ClaimRet = Ret::new(move |answer: Option<Result<_, _>>| {
            let answer = answer.unwrap_or_else(|| Err(owner_dropped_error()));
            ret.ret(answer.map(PeerAnswer::Claim));
        });
        call!([owner], claim(call, ret));
    }

    /// Handles a settlement from a peer for a shard that this node should own.
    pub(crate) fn incoming_settle(
        &mut self,
        _cx: CX![],
        call: SettleCall,
        ret: Ret<Result<PeerAnswer, Error>>,
    ) {
        let Route::Local(owner) = self.route(call.key) else {
            ret.ret(Err(self.no_owner_error()));
            return;
        };
        let ret: SettleRet = Ret::new(move |answer: Option<Result<_, _>>| {
            let answer = answer.unwrap_or_else(|| Err(owner_dropped_error()));
            ret.ret(answer.map(|()| PeerAnswer::Settled));
        });
        call!([owner], settle(call, ret));
    }

    fn call_peer(
        &mut self,
        cx: CX![],
        to: &Address,
        call: PeerCall,
        ret: Ret<Result<PeerAnswer, Error>>,
    ) {
        let peers = Rc::clone(&self.peers);
        peers.call(cx, to, call, ret);
    }

    pub(crate) fn report(&mut self, _cx: CX![], ret: Ret<ClaimsReport>) {
        let owned = self.shards.iter().filter_map(|shard| shard.owned.as_ref());
        let owned = owned.map(|owned| owned.report.borrow().clone()).collect();
        let owners = self.shards.iter().filter(|shard| shard.owner.is_some());
        ret.ret(ClaimsReport {
            owned,
            known_owners: owners.count(),
            claims_waiting: self.pending.len(),
            settlements_waiting: self.settlements.len(),
            settlements_dropped: self.settlements.dropped(),
            given_up: self.pending.given_up(),
        });
    }

    pub(crate) fn print(&mut self, _cx: CX![], shard: ShardId, ret: Ret<String>) {
        let owned = self.shards.get(shard.index());
        match owned.and_then(|slot| slot.owned.as_ref()) {
            Some(owned) => call!([owned.actor], print(ret)),
            None => ret.ret(format!("{shard} is not owned here\n")),
        }
    }
}

/// Returns the error for a dropped `Ret`: the owner ended before it answered.
fn owner_dropped_error() -> Error {
    Error::may_have_run(ErrorKind::Unavailable, "the shard's owner changed")
}

/// Converts the answer to [`PeerCall::Claim`] into the answer to a claim.
fn claim_answer(answer: Result<PeerAnswer, Error>) -> Result<bluebell_peers::ClaimAnswer, Error> {
    match answer? {
        PeerAnswer::Claim(answer) => Ok(answer),
        _ => Err(Error::may_have_run(
            ErrorKind::Internal,
            "the owner answered something else",
        )),
    }
}

/// Converts the answer to [`PeerCall::Settle`] into the answer to a settlement.
fn settle_answer(answer: Result<PeerAnswer, Error>) -> Result<(), Error> {
    match answer? {
        PeerAnswer::Settled => Ok(()),
        _ => Err(Error::may_have_run(
            ErrorKind::Internal,
            "the owner answered something else",
        )),
    }
}
