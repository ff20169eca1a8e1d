//! The claims that wait for an answer, and their attempts.

use super::{Claims, Route, claim_answer, owner_dropped_error};
use crate::owner::ClaimRet;
use crate::records::shard_of;
use bluebell_base::prelude::*;
use bluebell_peers::{ClaimAnswer, ClaimCall, PeerAnswer, PeerCall, SettleCall, Settlement};
use bluebell_timers::Subscription;
use stakker::{CX, call, fwd_to, ret_to};
use std::collections::HashMap;

/// Retries of a claim after lost answers.
const LOST_ANSWER_RETRIES: u32 = 1;

/// The interval at which a claim that waits for an owner is retried.
const OWNER_POLL_MS: SpanMs = SpanMs(100);

/// The waiting claims by number.
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
    /// The attempts made so far. An answer carries the number of its attempt.
    attempts: u32,
    /// The peer of the last attempt, or `None` if it went to the owner on this node or had no
    /// target.
    target: Option<Incarnation>,
    /// Number of lost answers.
    lost_answers: u32,
    /// True if no attempt is under way because the shard has no owner.
    awaits_owner: bool,
    /// True if the claim may be in the log although no answer confirmed it.
    may_be_recorded: bool,
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
            .on_claim_timeout(cx, number));
        let span_ms = self.parts.settings.claim_timeout_ms;
        let deadline = self.parts.timers.subscribe_in(cx, span_ms, fwd);
        let claim = PendingClaim {
            call,
            ret,
            deadline,
            attempts: 0,
            target: None,
            lost_answers: 0,
            awaits_owner: false,
            may_be_recorded: false,
        };
        self.pending.by_number.insert(number, claim);
        self.attempt(cx, number);
    }

    /// Retries the waiting claims of a shard at its new owner. The old one may be dead or paused, so
    /// that its answer arrives too late or never.
    pub(super) fn retry_at_new_owner(&mut self, cx: CX![], shard: ShardId) {
        let shards = self.parts.settings.shards;
        let claims = self.pending.by_number.iter();
        let numbers: Vec<u64> = claims
            .filter(|(_, claim)| shard_of(claim.call.key, shards) == shard)
            .filter(|(_, claim)| claim.awaits_owner || self.owner_changed(claim))
            .map(|(number, _)| *number)
            .collect();
        for number in numbers {
            if let Some(claim) = self.pending.by_number.get_mut(&number) {
                // The old owner may have recorded the claim.
                claim.may_be_recorded |= !claim.awaits_owner;
            }
            self.attempt(cx, number);
        }
    }

    /// Returns true if the claim's shard has another owner than the one of the last attempt.
    fn owner_changed(&self, claim: &PendingClaim) -> bool {
        match self.route(claim.call.key) {
            Route::NoOwner => false,
            Route::Local(_) => claim.target.is_some(),
            Route::Peer(incarnation, _) => claim.target != Some(incarnation),
        }
    }

    fn attempt(&mut self, cx: CX![], number: u64) {
        let Some(claim) = self.pending.by_number.get(&number) else {
            return;
        };
        let call = claim.call.clone();
        let attempt = claim.attempts + 1;
        let route = self.route(call.key);
        let target = match &route {
            Route::Peer(incarnation, _) => Some(*incarnation),
            Route::Local(_) | Route::NoOwner => None,
        };
        if let Some(claim) = self.pending.by_number.get_mut(&number) {
            claim.attempts = attempt;
            claim.target = target;
            claim.awaits_owner = false;
        }
        match route {
            Route::NoOwner => {
                let error = self.no_owner_error();
                self.wait_for_owner(cx, number, error);
            }
            Route::Local(owner) => {
                let ret = ret_to!(
                    [cx],
                    |this, cx, answer: Option<Result<ClaimAnswer, Error>>| {
                        let answer = answer.unwrap_or_else(|| Err(owner_dropped_error()));
                        this.attempt_done(cx, number, attempt, answer)
                    }
                );
                call!([owner], claim(call, ret));
            }
            Route::Peer(_, to) => {
                let ret = ret_to!(
                    [cx],
                    |this, cx, answer: Option<Result<PeerAnswer, Error>>| {
                        let answer = answer.unwrap_or_else(|| Err(owner_dropped_error()));
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
        // An answer after the claim was given up is discarded, even a grant: the request does not
        // run, and the claim is being settled.
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
        claim.may_be_recorded |= error.verdict != Verdict::NotRun;
        if claim.attempts != attempt {
            return;
        }
        if self.should_retry(number, &error) {
            self.attempt(cx, number);
        } else if is_no_owner_error(&error) {
            self.wait_for_owner(cx, number, error);
        } else {
            self.give_up(cx, number, error);
        }
    }

    /// Returns true if another attempt may help: another owner serves now, or only the answer was
    /// lost, and the owner answers the same request again. An error with a time to retry after is
    /// the owner's own answer, not a lost one.
    fn should_retry(&mut self, number: u64, error: &Error) -> bool {
        let Some(claim) = self.pending.by_number.get_mut(&number) else {
            return false;
        };
        let lost = error.verdict != Verdict::NotRun && error.retry_after_ms.is_none();
        claim.lost_answers += u32::from(lost);
        let again = lost && claim.lost_answers <= LOST_ANSWER_RETRIES;
        self.pending
            .by_number
            .get(&number)
            .is_some_and(|claim| again || self.owner_changed(claim))
    }

    /// Lets a claim wait while its shard may be changing owners, as happens at every planned stop.
    /// Gives the claim up at once if the shard has had no owner for longer than `max_wait_ms`.
    fn wait_for_owner(&mut self, cx: CX![], number: u64, error: Error) {
        let now_ms = self.parts.timers.now_ms(cx);
        let Some(claim) = self.pending.by_number.get_mut(&number) else {
            return;
        };
        let shard = shard_of(claim.call.key, self.parts.settings.shards);
        claim.awaits_owner = true;
        let due_ms = self.owner_wait_deadline_ms(shard, now_ms);
        if now_ms >= due_ms {
            self.give_up(cx, number, error);
            return;
        }
        let fwd = fwd_to!([cx], |this, cx, _now_ms: MonoMs| this
            .retry_waiting_claim(cx, number));
        let at_ms = due_ms.min(now_ms + OWNER_POLL_MS);
        self.parts.timers.subscribe_at(cx, at_ms, fwd);
    }

    fn retry_waiting_claim(&mut self, cx: CX![], number: u64) {
        let claim = self.pending.by_number.get(&number);
        if claim.is_some_and(|claim| claim.awaits_owner) {
            self.attempt(cx, number);
        }
    }

    /// Gives up a claim whose time is over. If an attempt is under way, the claim may still be
    /// recorded.
    fn on_claim_timeout(&mut self, cx: CX![], number: u64) {
        if let Some(claim) = self.pending.by_number.get_mut(&number) {
            claim.may_be_recorded |= !claim.awaits_owner;
        }
        let late = Error::not_run(ErrorKind::Unavailable, "the key's owner does not answer");
        self.give_up(cx, number, late);
    }

    /// Answers the claim with an error, so that its request doesn't run.
    ///
    /// If the claim was recorded but its answer was lost, the key would stay held by a request that
    /// never runs. A `NotRun` settlement frees it. The settlement is correct, since the answer given
    /// here is not a grant.
    fn give_up(&mut self, cx: CX![], number: u64, error: Error) {
        let Some(claim) = self.pending.by_number.remove(&number) else {
            return;
        };
        self.pending.given_up += 1;
        self.parts.timers.cancel(cx, claim.deadline);
        if claim.may_be_recorded {
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

/// Returns true if an error means that the target doesn't serve the shard: no owner is known, the
/// node that was called doesn't own the shard, or nothing listens at its address.
fn is_no_owner_error(error: &Error) -> bool {
    let refused = error.kind == ErrorKind::Unavailable && error.retry_after_ms.is_none();
    error.verdict == Verdict::NotRun && (error.kind == ErrorKind::NotFound || refused)
}
