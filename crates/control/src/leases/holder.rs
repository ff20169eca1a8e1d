//! The duties this node holds, and until when.
//!
//! Invariants: a duty is valid only after its take or renewal was read back as having counted;
//! its validity is counted from before that record was handed in to be appended; a duty given up
//! is not held again under the same fencing number.

use crate::records::HeldRecord;
use crate::reduce::Grant;
use crate::{Duty, Lease};
use bluebell_base::prelude::*;
use std::collections::{BTreeMap, VecDeque};

/// Own records that may be on their way at once; older ones are forgotten, which only shortens
/// validity.
const SENT_KEPT: usize = 256;

/// A change of what this node holds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// It is held until the instant.
    Held {
        /// The lease.
        lease: Lease,
        /// When it ends.
        until_ms: MonoMs,
    },
    /// It is held no more.
    Lost(Duty),
}

#[derive(Clone, Debug)]
struct HeldDuty {
    lease: Lease,
    until_ms: MonoMs,
    valid: bool,
}

/// The holder's side of the leases of one node.
#[derive(Clone, Debug)]
pub struct Holder {
    me: Incarnation,
    valid_ms: SpanMs,
    held: BTreeMap<Duty, HeldDuty>,
    given_up: BTreeMap<Duty, Fencing>,
    sent: BTreeMap<OperationId, MonoMs>,
    sent_order: VecDeque<OperationId>,
}

impl Holder {
    /// A node that holds nothing; `valid_ms` is the lease less the margin.
    pub fn new(me: Incarnation, valid_ms: SpanMs) -> Self {
        Self {
            me,
            valid_ms,
            held: BTreeMap::new(),
            given_up: BTreeMap::new(),
            sent: BTreeMap::new(),
            sent_order: VecDeque::new(),
        }
    }

    /// Notes that a take or renewal is about to be sent; to be called before the hand-in.
    pub fn sending(&mut self, op: OperationId, now_ms: MonoMs) {
        self.sent.insert(op, now_ms);
        self.sent_order.push_back(op);
        if self.sent_order.len() > SENT_KEPT
            && let Some(oldest) = self.sent_order.pop_front()
        {
            self.sent.remove(&oldest);
        }
    }

    /// A take or renewal of `duty` was read and counted.
    pub fn on_touched(
        &mut self,
        op: OperationId,
        duty: Duty,
        grant: &Grant,
        now_ms: MonoMs,
    ) -> Option<Change> {
        if grant.holder != Some(self.me) {
            return self.drop_duty(duty);
        }
        if self.is_given_up(duty, grant.fencing) {
            return None;
        }
        // A record that this process does not remember sending gives no validity: it may have
        // waited in the log service for any time.
        let sent_ms = self.sent.get(&op).copied();
        let until_ms = sent_ms.map_or(MonoMs(0), |sent_ms| sent_ms + self.valid_ms);
        let lease = Lease {
            duty,
            holder: self.me,
            address: grant.address.clone(),
            fencing: grant.fencing,
        };
        let before = self.held.get(&duty).filter(|held| held.lease == lease);
        let until_ms = before.map_or(until_ms, |held| held.until_ms.max(until_ms));
        let valid = until_ms > now_ms;
        let held = HeldDuty {
            lease: lease.clone(),
            until_ms,
            valid,
        };
        self.held.insert(duty, held);
        valid.then_some(Change::Held { lease, until_ms })
    }

    /// Whether this node decided to give the duty back under that fencing number.
    ///
    /// A renewal that was under way then may be read before the release is, which may still be on
    /// its way for any time. Once that lands, others take the duty at once; this node must not
    /// have gone back to holding it.
    fn is_given_up(&self, duty: Duty, fencing: Fencing) -> bool {
        let given_up = self.given_up.get(&duty);
        given_up.is_some_and(|given_up| fencing <= *given_up)
    }

    /// This node is about to release the duty: it is never held again under that fencing number.
    pub fn give_up(&mut self, duty: Duty) -> Option<Change> {
        if let Some(held) = self.held.get(&duty) {
            self.given_up.insert(duty, held.lease.fencing);
        }
        self.drop_duty(duty)
    }

    /// The duty was released, or its lease is void.
    pub fn drop_duty(&mut self, duty: Duty) -> Option<Change> {
        let held = self.held.remove(&duty)?;
        held.valid.then_some(Change::Lost(duty))
    }

    /// Drops what is no longer this node's by `grant_of`.
    pub fn compare(&mut self, grant_of: impl Fn(Duty) -> Option<Grant>) -> Vec<Change> {
        let mine = |held: &HeldDuty| {
            grant_of(held.lease.duty).is_some_and(|grant| {
                grant.holder == Some(held.lease.holder) && grant.fencing == held.lease.fencing
            })
        };
        let gone: Vec<Duty> = self
            .held
            .values()
            .filter(|held| !mine(held))
            .map(|held| held.lease.duty)
            .collect();
        gone.into_iter()
            .filter_map(|duty| self.drop_duty(duty))
            .collect()
    }

    /// Ends the leases whose time is over; they stay renewable until somebody takes them.
    pub fn lapse(&mut self, now_ms: MonoMs) -> Vec<Change> {
        let mut lost = Vec::new();
        for (duty, held) in &mut self.held {
            if held.valid && now_ms >= held.until_ms {
                held.valid = false;
                lost.push(Change::Lost(*duty));
            }
        }
        lost
    }

    /// The lease, if it is valid at this instant.
    pub fn valid(&self, duty: Duty, now_ms: MonoMs) -> Option<&Lease> {
        let held = self.held.get(&duty)?;
        (held.valid && now_ms < held.until_ms).then_some(&held.lease)
    }

    /// All that may be renewed, also what lapsed on this clock but was taken by nobody.
    pub fn renewable(&self) -> Vec<HeldRecord> {
        let records = self.held.values().map(|held| HeldRecord {
            duty: held.lease.duty,
            fencing: held.lease.fencing,
        });
        records.collect()
    }

    /// The duties held with the end of each, for the state dump.
    pub fn until(&self) -> impl Iterator<Item = (&Lease, MonoMs)> {
        self.held.values().map(|held| (&held.lease, held.until_ms))
    }
}
