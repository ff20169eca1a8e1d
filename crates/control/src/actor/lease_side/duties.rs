//! The work on duties at each tick: expires and renews leases, takes and balances duties, and
//! writes checkpoints.

use super::Taking;
use crate::actor::Control;
use crate::leases::{Candidate, take_delay_ms, weight};
use crate::records::{HeldRecord, LeaseRecord, Release, Renew, Take};
use crate::{ControlEvent, Duty};
use bluebell_base::prelude::*;
use bluebell_peers::NodeCard;
use rand::Rng;
use stakker::{CX, Ret};

/// The number of renewals within one lease. After one lost append there is still another.
const RENEWALS_PER_LEASE: u64 = 3;

/// The number of records after which a checkpoint is written early, so that a new node finds one
/// in the window that it reads.
const MAX_RECORDS_PER_CHECKPOINT: u64 = 512;

/// The maximum random delay of a take, for nodes that compute the same rank.
const TAKE_JITTER_MS: u64 = 100;

/// The maximum time between two releases for balance.
const MAX_BALANCE_PAUSE_MS: SpanMs = SpanMs::from_secs(600);

/// The time for which a duty released for balance is left to other nodes. If the intended node has
/// not taken it by then, it is better held by this node than by none.
const RETAKE_DELAY_MS: SpanMs = SpanMs(5_000);

/// The schedule of releases for balance.
#[derive(Clone, Copy, Debug)]
pub(super) struct Balance {
    next_ms: MonoMs,
    pause_ms: SpanMs,
    /// The smallest number of duties that any node held when this node last released a duty for
    /// balance; `None` if it released none at the last check.
    fewest: Option<usize>,
}

impl Control {
    pub(in crate::actor) fn tick_leases(&mut self, cx: CX![], now_ms: MonoMs) {
        for change in self.leases.holder.expire(now_ms) {
            self.announce(Some(change));
        }
        if self.leases.tail.is_none() {
            return;
        }
        self.tick_reset(cx, now_ms);
        self.finish_drain(now_ms);
        if self.drained {
            return self.release_late(cx);
        }
        self.renew(cx, now_ms);
        self.take_free(cx, now_ms);
        self.balance(cx, now_ms);
        self.checkpoint(cx, now_ms);
    }

    fn renew(&mut self, cx: CX![], now_ms: MonoMs) {
        let interval_ms = SpanMs(self.settings.ttl_ms.0 / RENEWALS_PER_LEASE);
        let renewed_ms = self.leases.renewed_ms;
        let due = renewed_ms.is_none_or(|at_ms| now_ms.since(at_ms) >= interval_ms);
        let held = self.leases.holder.renewable();
        if !due || held.is_empty() {
            return;
        }
        self.leases.renewed_ms = Some(now_ms);
        let op = self.operation();
        self.leases.holder.on_send(op, now_ms);
        let holder = self.me.incarnation;
        self.append_lease(cx, &LeaseRecord::Renew(Renew { op, holder, held }));
    }

    fn take_free(&mut self, cx: CX![], now_ms: MonoMs) {
        let ttl_ms = self.settings.ttl_ms;
        self.leases
            .taking
            .retain(|_, taking| now_ms.since(taking.sent_ms) < ttl_ms);
        if !self.may_take(now_ms) {
            return;
        }
        for duty in self.settings.duties() {
            if self.take_due(duty, now_ms) {
                self.take(cx, duty, now_ms);
            }
        }
    }

    /// Returns true if this node has read the log recently enough to take duties.
    ///
    /// After an outage of the log all leases have expired on all clocks, and all nodes would take
    /// duties at once. So the old holders first get half the duration of a lease, which is enough
    /// for one renewal.
    fn may_take(&self, now_ms: MonoMs) -> bool {
        let leases = &self.leases;
        let settled = now_ms.since(self.started_ms) >= self.settings.settle_ms;
        let grace_ms = match leases.had_outage {
            true => SpanMs(self.settings.ttl_ms.0 / 2),
            false => SpanMs::ZERO,
        };
        let up = leases.up_since_ms;
        let up = up.is_some_and(|since_ms| now_ms.since(since_ms) >= grace_ms);
        // The stream must have been read recently and to its end, since an older state may lack a
        // renewal. The reduction refuses such a take, so this only saves appends.
        let fresh_ms = SpanMs(self.settings.leases_tail_ms.0 * 4);
        let fresh = leases
            .read_ms
            .is_some_and(|at_ms| now_ms.since(at_ms) <= fresh_ms);
        settled && up && fresh && leases.at_end && leases.reducer.is_known()
    }

    fn take_due(&mut self, duty: Duty, now_ms: MonoMs) -> bool {
        let leases = &self.leases;
        let busy = leases.taking.contains_key(&duty);
        let retake_ms = leases.retake_after.get(&duty);
        let released = retake_ms.is_some_and(|until_ms| now_ms < *until_ms);
        if busy || released || self.leases.holder_of(duty) == Some(self.me.incarnation) {
            return false;
        }
        let wait_ms = self.settings.ttl_ms + self.settings.margin_ms;
        let Some(free_ms) = leases.availability.free_at(duty, wait_ms) else {
            return false;
        };
        let free_ms = free_ms.max(self.started_ms + self.settings.settle_ms);
        if now_ms < free_ms {
            return false;
        }
        let delay_ms = take_delay_ms(duty, self.me.incarnation, &self.candidates());
        let jitter_ms = SpanMs(self.random.random_range(0..=TAKE_JITTER_MS));
        now_ms >= free_ms + delay_ms + jitter_ms
    }

    fn take(&mut self, cx: CX![], duty: Duty, now_ms: MonoMs) {
        let op = self.operation();
        self.leases.holder.on_send(op, now_ms);
        let taking = Taking {
            op,
            sent_ms: now_ms,
        };
        self.leases.taking.insert(duty, taking);
        let take = Take {
            op,
            duty,
            holder: self.me.incarnation,
            address: self.me.address.clone(),
            seen: self.leases.reducer.touched(duty),
        };
        self.append_lease(cx, &LeaseRecord::Take(take));
    }

    /// Returns the live nodes with the number of duties that they hold according to the log. The
    /// number of this node includes the duties that it is taking.
    fn candidates(&self) -> Vec<Candidate> {
        // The log shows that a node is stopping before its card reaches all nodes.
        let stays =
            |card: &&NodeCard| !card.leaving && !self.leases.leaving.contains(&card.incarnation);
        let live = self.nodes.iter().filter(stays);
        let candidate = |card: &NodeCard| Candidate {
            node: card.incarnation,
            held: self.held_by(card.incarnation),
        };
        let mut candidates: Vec<Candidate> = live.map(candidate).collect();
        candidates.push(Candidate {
            node: self.me.incarnation,
            held: self.held_by(self.me.incarnation) + self.leases.taking.len(),
        });
        candidates
    }

    fn held_by(&self, node: Incarnation) -> usize {
        let grants = self.leases.reducer.grants();
        let held = grants.filter(|(_, grant)| grant.holder == Some(node));
        held.count()
    }

    /// Releases one duty if another node holds at least two fewer.
    ///
    /// With a difference of one, a duty would move back and forth. A node releases at most one duty
    /// per duration of a lease, since each move costs the users of the duty a takeover. If the node
    /// with the fewest duties holds no more than at the last release, it may be unable to take any
    /// (paused, or cut off from the log but not from its peers). Then the pause doubles, so that
    /// duties do not keep moving without effect.
    fn balance(&mut self, cx: CX![], now_ms: MonoMs) {
        let ttl_ms = self.settings.ttl_ms;
        let balance = self.leases.balance.get_or_insert(Balance {
            next_ms: now_ms + ttl_ms,
            pause_ms: ttl_ms,
            fewest: None,
        });
        if now_ms < balance.next_ms || !self.may_take(now_ms) {
            return;
        }
        let held = self.leases.holder.renewable();
        let fewest = self
            .candidates()
            .iter()
            .map(|candidate| candidate.held)
            .min();
        let fewest = fewest.filter(|fewest| held.len() >= fewest + 2);
        let last = self.leases.balance.take();
        let no_effect = last.is_some_and(|last| last.fewest.is_some() && last.fewest >= fewest);
        let last_ms = last.map_or(ttl_ms, |last| last.pause_ms);
        let pause_ms = match no_effect && fewest.is_some() {
            true => (last_ms + last_ms).min(MAX_BALANCE_PAUSE_MS),
            false => ttl_ms,
        };
        let jitter_ms = self.random.random_range(0..=ttl_ms.0 / 2);
        self.leases.balance = Some(Balance {
            next_ms: now_ms + pause_ms + SpanMs(jitter_ms),
            pause_ms,
            fewest,
        });
        if fewest.is_none() {
            return;
        }
        let me = self.me.incarnation;
        let lowest_weight = held.into_iter().min_by_key(|held| weight(held.duty, me));
        if let Some(record) = lowest_weight {
            let until_ms = now_ms + RETAKE_DELAY_MS;
            self.leases.retake_after.insert(record.duty, until_ms);
            self.release(cx, vec![record]);
        }
    }

    /// Stops acting on the duties, then appends their release.
    fn release(&mut self, cx: CX![], held: Vec<HeldRecord>) {
        for record in &held {
            if self.leases.holder.give_up(record.duty).is_some() {
                self.emit(ControlEvent::Lost(record.duty));
            }
        }
        let op = self.operation();
        let holder = self.me.incarnation;
        self.append_lease(
            cx,
            &LeaseRecord::Release(Release {
                op,
                holder,
                held,
                leaving: self.drained,
            }),
        );
    }

    pub(in crate::actor) fn begin_drain(&mut self, cx: CX![], ret: Ret<()>) {
        let held = self.leases.holder.renewable();
        self.drained = true;
        if held.is_empty() {
            // The record is written all the same, so that other nodes do not release duties for
            // this node to take.
            self.release(cx, held);
            return ret.ret(());
        }
        self.drain_ends_ms = self.timers.now_ms(cx) + self.settings.ttl_ms;
        self.draining = Some(ret);
        self.release(cx, held);
    }

    fn release_late(&mut self, cx: CX![]) {
        let held = self.leases.holder.renewable();
        if !held.is_empty() {
            self.release(cx, held);
        }
    }

    /// Answers a drain once the release is read back, or once the leases have ended. While the log
    /// is down, other nodes take the duties after the leases end, and a stopping node must not wait
    /// for the log.
    pub(in crate::actor) fn finish_drain(&mut self, now_ms: MonoMs) {
        if self.draining.is_none() {
            return;
        }
        let me = self.me.incarnation;
        let mut grants = self.leases.reducer.grants();
        let released = grants.all(|(_, grant)| grant.holder != Some(me));
        if (released || now_ms >= self.drain_ends_ms)
            && let Some(ret) = self.draining.take()
        {
            ret.ret(());
        }
    }

    fn checkpoint(&mut self, cx: CX![], now_ms: MonoMs) {
        let leases = &self.leases;
        if !leases.at_end
            || !leases.reducer.is_known()
            || !self.leases.valid(Duty::Snapshot, now_ms)
        {
            return;
        }
        let since_ms = |at_ms: MonoMs| now_ms.since(at_ms);
        let written_ms = self.leases.checkpoint_ms;
        // If no checkpoint was read, one is due, since nodes that start now can't know the leases.
        let old = written_ms.is_none_or(|at_ms| since_ms(at_ms) >= self.settings.checkpoint_ms);
        let many = self.leases.next.0 >= self.leases.checkpoint_at.0 + MAX_RECORDS_PER_CHECKPOINT;
        let spaced = written_ms.is_none_or(|at_ms| since_ms(at_ms) >= self.settings.leases_tail_ms);
        if old || (many && spaced) {
            self.leases.checkpoint_ms = Some(now_ms);
            let op = self.operation();
            let checkpoint = self.leases.reducer.checkpoint(op, self.leases.next);
            self.append_lease(cx, &LeaseRecord::Checkpoint(checkpoint));
        }
    }
}
