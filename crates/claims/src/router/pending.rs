//! The claims that wait for an answer, and their attempts.

use super::{Claims, Route, claim_answer, dropped};
use crate::owner::ClaimRet;
use crate::records::shard_of;
use bluebell_base::prelude::*;
use bluebell_peers::{ClaimAnswer, ClaimCall, PeerAnswer, PeerCall, SettleCall, Settlement};
use bluebell_timers::Subscription;
use stakker::{CX, call, fwd_to, ret_to};
use std::collections::HashMap;

/// Tries again after lost answers, for one claim.
const LOST_TRIES: u32 = 1;

/// How often a claim that waits for an owner looks for one.
const OWNER_POLL_MS: SpanMs = SpanMs(100);

/// The claims that wait, by number.
#[derive(Default)]
pub(super) struct PendingClaims {
    by_number: HashMap<u64, PendingClaim>,
    next_number: u64,
    given_up: u64,
}

struct PendingClaim {
    call: ClaimCall,
    ret: ClaimRet,
    deadline: Subscription,
    /// The attempts made so far; an answer names its own.
    attempts: u32,
    /// The peer that the last attempt went to; none: the owner here.
    asked: Option<Incarnation>,
    /// Answers lost so far.
    lost: u32,
    /// Whether no attempt is under way, for want of an owner.
    waits: bool,
    /// Whether the claim may be in the log without our knowing.
    unsure: bool,
}

impl PendingClaims {
    pub(super) fn len(&self) -> usize {
        self.by_number.len()
    }

    pub(super) fn given_up(&self) -> u64 {
        self.given_up
    }
}

impl Claims {
    pub(crate) fn claim(&mut self, cx: CX![], call: ClaimCall, ret: ClaimRet) {
        self.pending.next_number += 1;
        let number = self.pending.next_number;
        let fwd = fwd_to!([cx], |this, cx, _now_ms: MonoMs| this
            .claim_late(cx, number));
        let span_ms = self.parts.settings.claim_timeout_ms;
        let deadline = self.parts.timers.subscribe_in(cx, span_ms, fwd);
        let claim = PendingClaim {
            call,
            ret,
            deadline,
            attempts: 0,
            asked: None,
            lost: 0,
            waits: false,
            unsure: false,
        };
        self.pending.by_number.insert(number, claim);
        self.attempt(cx, number);
    }

    /// Asks a shard's new owner about the claims that still wait for the old one, which may be
    /// dead or paused, so that its answer comes too late or never.
    pub(super) fn ask_new_owner(&mut self, cx: CX![], shard: ShardId) {
        let shards = self.parts.settings.shards;
        let claims = self.pending.by_number.iter();
        let numbers: Vec<u64> = claims
            .filter(|(_, claim)| shard_of(claim.call.key, shards) == shard)
            .filter(|(_, claim)| claim.waits || self.has_moved(claim))
            .map(|(number, _)| *number)
            .collect();
        for number in numbers {
            if let Some(claim) = self.pending.by_number.get_mut(&number) {
                // The old owner may have recorded it.
                claim.unsure |= !claim.waits;
            }
            self.attempt(cx, number);
        }
    }

    /// Whether another owner serves the claim's shard than the one asked last.
    fn has_moved(&self, claim: &PendingClaim) -> bool {
        match self.route(claim.call.key) {
            Route::Nowhere => false,
            Route::Here(_) => claim.asked.is_some(),
            Route::Peer(incarnation, _) => claim.asked != Some(incarnation),
        }
    }

    fn attempt(&mut self, cx: CX![], number: u64) {
        let Some(claim) = self.pending.by_number.get(&number) else {
            return;
        };
        let call = claim.call.clone();
        let attempt = claim.attempts + 1;
        let route = self.route(call.key);
        let asked = match &route {
            Route::Peer(incarnation, _) => Some(*incarnation),
            Route::Here(_) | Route::Nowhere => None,
        };
        if let Some(claim) = self.pending.by_number.get_mut(&number) {
            claim.attempts = attempt;
            claim.asked = asked;
            claim.waits = false;
        }
        match route {
            Route::Nowhere => {
                let nowhere = self.nowhere();
                self.without_owner(cx, number, nowhere);
            }
            Route::Here(owner) => {
                let ret = ret_to!(
                    [cx],
                    |this, cx, answer: Option<Result<ClaimAnswer, Error>>| {
                        let answer = answer.unwrap_or_else(|| Err(dropped()));
                        this.attempt_done(cx, number, attempt, answer)
                    }
                );
                call!([owner], claim(call, ret));
            }
            Route::Peer(_, to) => {
                let ret = ret_to!(
                    [cx],
                    |this, cx, answer: Option<Result<PeerAnswer, Error>>| {
                        let answer = answer.unwrap_or_else(|| Err(dropped()));
                        this.attempt_done(cx, number, attempt, claim_answer(answer))
                    }
                );
                self.call_peer(cx, &to, PeerCall::Claim(call), ret);
            }
        }
    }

    fn attempt_done(
        &mut self,
        cx: CX![],
        number: u64,
        attempt: u32,
        answer: Result<ClaimAnswer, Error>,
    ) {
        // The late grant: the claim was given up, its settlement is on its way, nobody runs.
        let Some(claim) = self.pending.by_number.get_mut(&number) else {
            return;
        };
        let error = match answer {
            Ok(answer) => {
                let shard = shard_of(claim.call.key, self.parts.settings.shards);
                self.owner_answered(shard);
                if let Some(claim) = self.pending.by_number.remove(&number) {
                    self.parts.timers.cancel(cx, claim.deadline);
                    claim.ret.ret(Ok(answer));
                }
                return;
            }
            Err(error) => error,
        };
        claim.unsure |= error.verdict != Verdict::NotRun;
        if claim.attempts != attempt {
            return;
        }
        if self.is_worth_another(number, &error) {
            self.attempt(cx, number);
        } else if is_ownerless(&error) {
            self.without_owner(cx, number, error);
        } else {
            self.give_up(cx, number, error);
        }
    }

    /// Another attempt helps where another owner serves now, or where only the answer was lost:
    /// the owner answers the same request again. An error that says when to come back is the
    /// owner's own answer, not a lost one.
    fn is_worth_another(&mut self, number: u64, error: &Error) -> bool {
        let Some(claim) = self.pending.by_number.get_mut(&number) else {
            return false;
        };
        let lost = error.verdict != Verdict::NotRun && error.retry_after_ms.is_none();
        claim.lost += u32::from(lost);
        let again = lost && claim.lost <= LOST_TRIES;
        self.pending
            .by_number
            .get(&number)
            .is_some_and(|claim| again || self.has_moved(claim))
    }

    /// Lets a claim wait while its shard may just be changing owners, as at every planned stop.
    /// Where the shard has been without one for longer, the claim is given up at once.
    fn without_owner(&mut self, cx: CX![], number: u64, error: Error) {
        let now_ms = self.parts.timers.now_ms(cx);
        let Some(claim) = self.pending.by_number.get_mut(&number) else {
            return;
        };
        let shard = shard_of(claim.call.key, self.parts.settings.shards);
        claim.waits = true;
        let due_ms = self.owner_due_ms(shard, now_ms);
        if now_ms >= due_ms {
            self.give_up(cx, number, error);
            return;
        }
        let fwd = fwd_to!([cx], |this, cx, _now_ms: MonoMs| this
            .look_for_owner(cx, number));
        let at_ms = due_ms.min(now_ms + OWNER_POLL_MS);
        self.parts.timers.subscribe_at(cx, at_ms, fwd);
    }

    fn look_for_owner(&mut self, cx: CX![], number: u64) {
        let claim = self.pending.by_number.get(&number);
        if claim.is_some_and(|claim| claim.waits) {
            self.attempt(cx, number);
        }
    }

    /// The claim's time is over; where an attempt is under way, it may still be recorded.
    fn claim_late(&mut self, cx: CX![], number: u64) {
        if let Some(claim) = self.pending.by_number.get_mut(&number) {
            claim.unsure |= !claim.waits;
        }
        let late = Error::not_run(ErrorKind::Unavailable, "the key's owner does not answer");
        self.give_up(cx, number, late);
    }

    /// Answers that the request must not run.
    ///
    /// The failure this guards against: the claim is recorded but its answer was lost, so the key
    /// would stay held by a request that never runs. The settlement frees it. It is true, since
    /// this request's answer is given here and is no grant.
    fn give_up(&mut self, cx: CX![], number: u64, error: Error) {
        let Some(claim) = self.pending.by_number.remove(&number) else {
            return;
        };
        self.pending.given_up += 1;
        self.parts.timers.cancel(cx, claim.deadline);
        if claim.unsure {
            let call = SettleCall {
                key: claim.call.key,
                request: claim.call.request,
                settlement: Settlement::NotRun,
            };
            self.settle(cx, call);
        }
        let wait_ms = self.parts.settings.retry_after_ms;
        let kind = match error.kind {
            ErrorKind::NotFound => ErrorKind::Unavailable,
            kind => kind,
        };
        let answer = Error::not_run(kind, error.message)
            .retry_after(error.retry_after_ms.unwrap_or(wait_ms));
        claim.ret.ret(Err(answer));
    }
}

/// Whether an error says that nobody serves the shard at that place: no owner is known, the node
/// asked is none, or nobody listens there.
fn is_ownerless(error: &Error) -> bool {
    let refused = error.kind == ErrorKind::Unavailable && error.retry_after_ms.is_none();
    error.verdict == Verdict::NotRun && (error.kind == ErrorKind::NotFound || refused)
}
