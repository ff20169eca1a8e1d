//! The claims of one node: each claim and settlement goes to the owner of its key's shard, here
//! or at a peer.
//!
//! Terms: an *attempt* is one try to get an answer to a claim; a claim is *given up* when its time
//! is over or trying again makes no sense.
//!
//! Invariants: a claim is answered once, within `claim_timeout_ms`; a grant that comes after the
//! claim was given up reaches nobody; a claim that was given up and may be recorded is settled
//! `NotRun` in the background, which is true because its request never got the grant.

mod handle;
mod pending;
mod settling;

pub use handle::{ClaimsHandle, ClaimsParts, ClaimsReport};

use crate::ShardOwner;
use crate::owner::{ClaimRet, Owner, OwnerParts, SettleRet, ShardReport, Tenure};
use crate::records::{Epoch, shard_of};
use bluebell_base::prelude::*;
use bluebell_peers::{ClaimCall, ClaimKey, PeerAnswer, PeerCall, PeerPort, SettleCall};
use pending::PendingClaims;
use settling::Settling;
use stakker::{Actor, ActorOwn, CX, Ret, actor, call, fwd_to, ret_nop};
use std::cell::RefCell;
use std::rc::Rc;

/// The actor that routes a node's claims.
pub struct Claims {
    parts: OwnerParts,
    peers: Rc<dyn PeerPort>,
    shards: Vec<Shard>,
    pending: PendingClaims,
    settling: Settling,
    rounds: u64,
}

/// One shard as this node sees it.
#[derive(Default)]
struct Shard {
    owner: Option<ShardOwner>,
    /// Since when claims have found no owner.
    ownerless_ms: Option<MonoMs>,
    held: Option<Held>,
}

/// A shard that this node owns.
struct Held {
    epoch: Epoch,
    actor: ActorOwn<Owner>,
    report: Rc<RefCell<ShardReport>>,
}

/// Where a shard's claims go now.
enum Route {
    Here(Actor<Owner>),
    Peer(Incarnation, Address),
    Nowhere,
}

impl Claims {
    pub(crate) fn init(_cx: CX![], parts: OwnerParts, peers: Rc<dyn PeerPort>) -> Option<Self> {
        let count = parts.settings.shards.max(1);
        let shards = (0..count).map(|_| Shard::default()).collect();
        Some(Self {
            pending: PendingClaims::default(),
            settling: Settling::new(parts.settings.settlements),
            parts,
            peers,
            shards,
            rounds: 0,
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
            slot.ownerless_ms = None;
        }
        self.ask_new_owner(cx, shard);
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
        if let Some(held) = slot
            .held
            .as_ref()
            .filter(|held| held.epoch.fencing >= fencing)
        {
            if held.epoch.fencing == fencing {
                call!([held.actor], renew(until_ms));
            }
            return;
        }
        let held = self.begin_tenure(cx, shard, fencing, until_ms);
        if let Some(slot) = self.shards.get_mut(shard.index()) {
            slot.held = Some(held);
            slot.ownerless_ms = None;
        }
        self.ask_new_owner(cx, shard);
    }

    /// Starts an owner for a lease that is new here.
    fn begin_tenure(
        &mut self,
        cx: CX![],
        shard: ShardId,
        fencing: Fencing,
        until_ms: MonoMs,
    ) -> Held {
        let report = Rc::new(RefCell::new(ShardReport::default()));
        self.rounds += 1;
        let epoch = Epoch {
            fencing,
            round: self.rounds,
        };
        let tenure = Tenure {
            shard,
            epoch,
            until_ms,
        };
        let ended = fwd_to!([cx], |this, cx, ended: Epoch| this
            .owner_ended(cx, shard, ended));
        let parts = self.parts.clone();
        let own_report = Rc::clone(&report);
        let actor = actor!(
            cx,
            Owner::init(parts, tenure, own_report, ended),
            ret_nop!()
        );
        Held {
            epoch,
            actor,
            report,
        }
    }

    /// Until when claims of a shard without an owner may wait for one.
    fn owner_due_ms(&mut self, shard: ShardId, now_ms: MonoMs) -> MonoMs {
        let hold_ms = self.parts.settings.hold_ms;
        match self.shards.get_mut(shard.index()) {
            Some(slot) => *slot.ownerless_ms.get_or_insert(now_ms) + hold_ms,
            None => now_ms,
        }
    }

    fn owner_answered(&mut self, shard: ShardId) {
        if let Some(slot) = self.shards.get_mut(shard.index()) {
            slot.ownerless_ms = None;
        }
    }

    pub(crate) fn shard_lost(&mut self, _cx: CX![], shard: ShardId) {
        // Dropping the owner drops the `Ret`s of what waits there: their records are unsure.
        if let Some(slot) = self.shards.get_mut(shard.index()) {
            slot.held = None;
        }
    }

    fn owner_ended(&mut self, _cx: CX![], shard: ShardId, epoch: Epoch) {
        if let Some(slot) = self.shards.get_mut(shard.index()) {
            slot.held.take_if(|held| held.epoch == epoch);
        }
    }

    fn route(&self, key: ClaimKey) -> Route {
        let shard = shard_of(key, self.parts.settings.shards);
        let Some(slot) = self.shards.get(shard.index()) else {
            return Route::Nowhere;
        };
        if let Some(held) = &slot.held {
            return Route::Here(held.actor.clone());
        }
        match &slot.owner {
            Some(owner) if owner.incarnation != self.parts.incarnation => {
                Route::Peer(owner.incarnation, owner.address.clone())
            }
            _ => Route::Nowhere,
        }
    }

    fn nowhere(&self) -> Error {
        // `NotFound` tells other nodes that they asked the wrong one; callers never see it.
        Error::not_run(ErrorKind::NotFound, "the key's shard has no owner here now")
            .retry_after(self.parts.settings.retry_after_ms)
    }

    /// A claim from a peer, for a shard that this node should own.
    pub(crate) fn incoming_claim(
        &mut self,
        _cx: CX![],
        call: ClaimCall,
        ret: Ret<Result<PeerAnswer, Error>>,
    ) {
        let Route::Here(owner) = self.route(call.key) else {
            ret.ret(Err(self.nowhere()));
            return;
        };
        let ret: ClaimRet = Ret::new(move |answer: Option<Result<_, _>>| {
            let answer = answer.unwrap_or_else(|| Err(dropped()));
            ret.ret(answer.map(PeerAnswer::Claim));
        });
        call!([owner], claim(call, ret));
    }

    /// A settlement from a peer, for a shard that this node should own.
    pub(crate) fn incoming_settle(
        &mut self,
        _cx: CX![],
        call: SettleCall,
        ret: Ret<Result<PeerAnswer, Error>>,
    ) {
        let Route::Here(owner) = self.route(call.key) else {
            ret.ret(Err(self.nowhere()));
            return;
        };
        let ret: SettleRet = Ret::new(move |answer: Option<Result<_, _>>| {
            let answer = answer.unwrap_or_else(|| Err(dropped()));
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
        let held = self.shards.iter().filter_map(|shard| shard.held.as_ref());
        let owned = held.map(|held| held.report.borrow().clone()).collect();
        let owners = self.shards.iter().filter(|shard| shard.owner.is_some());
        ret.ret(ClaimsReport {
            owned,
            known_owners: owners.count(),
            claims_waiting: self.pending.len(),
            settlements_waiting: self.settling.len(),
            settlements_dropped: self.settling.dropped(),
            given_up: self.pending.given_up(),
        });
    }

    pub(crate) fn print(&mut self, _cx: CX![], shard: ShardId, ret: Ret<String>) {
        let held = self.shards.get(shard.index());
        match held.and_then(|slot| slot.held.as_ref()) {
            Some(held) => call!([held.actor], print(ret)),
            None => ret.ret(format!("{shard} is not owned here\n")),
        }
    }
}

/// For a `Ret` that was dropped: the owner ended before it answered.
fn dropped() -> Error {
    Error::may_have_run(ErrorKind::Unavailable, "the shard's owner changed")
}

/// Turns the answer to [`PeerCall::Claim`] into that to a claim.
fn claim_answer(answer: Result<PeerAnswer, Error>) -> Result<bluebell_peers::ClaimAnswer, Error> {
    match answer? {
        PeerAnswer::Claim(answer) => Ok(answer),
        _ => Err(Error::may_have_run(
            ErrorKind::Internal,
            "the owner answered something else",
        )),
    }
}

/// Turns the answer to [`PeerCall::Settle`] into that to a settlement.
fn settle_answer(answer: Result<PeerAnswer, Error>) -> Result<(), Error> {
    match answer? {
        PeerAnswer::Settled => Ok(()),
        _ => Err(Error::may_have_run(
            ErrorKind::Internal,
            "the owner answered something else",
        )),
    }
}
