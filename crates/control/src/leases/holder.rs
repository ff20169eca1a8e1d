//! The duties that this node holds and the end of each lease.
//!
//! Invariants: a lease is valid only after its take or renewal was read back and counted; its
//! validity starts before that record was handed to the appender; a duty that this node gave up is
//! not held again under the same fencing number.

use crate::records::HeldRecord;
use crate::reduce::Grant;
use crate::{Duty, Lease};
use bluebell_base::prelude::*;
use std::collections::{BTreeMap, VecDeque};

/// The maximum number of own takes and renewals that are remembered until they are read back.
/// Older ones are forgotten, which only shortens the validity of a lease.
const MAX_SENT_RECORDS: usize = 256;

/// A change of the duties that this node holds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// The node holds the duty until `until_ms`.
    Held {
        /// The lease.
        lease: Lease,
        /// The end of the lease on this node's clock.
        until_ms: MonoMs,
    },
    /// The node no longer holds the duty.
    Lost(Duty),
}

#[derive(Clone, Debug)]
struct HeldDuty {
    lease: Lease,
    until_ms: MonoMs,
    valid: bool,
}

/// The leases of one node as their holder.
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
    /// Returns the state of a node that holds nothing. `valid_ms` is the duration of a lease less
    /// the margin.
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

    /// Records that a take or renewal is about to be sent. The caller calls this before it hands
    /// the record to the appender.
    pub fn on_send(&mut self, op: OperationId, now_ms: MonoMs) {
        self.sent.insert(op, now_ms);
        self.sent_order.push_back(op);
        if self.sent_order.len() > MAX_SENT_RECORDS
            && let Some(oldest) = self.sent_order.pop_front()
        {
            self.sent.remove(&oldest);
        }
    }

    /// Records that a take or renewal of `duty` was read and counted.
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
        // A record that this process does not remember sending gives no validity, since it may
        // have waited in the log service for any time.
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

    /// Returns true if this node decided to release the duty under that fencing number or a later
    /// one.
    ///
    /// A renewal that was in flight at that time may be read before the release, whose append may
    /// take any time. Once the release is in the log, another node takes the duty at once, so this
    /// node must not hold it again.
    fn is_given_up(&self, duty: Duty, fencing: Fencing) -> bool {
        let given_up = self.given_up.get(&duty);
        given_up.is_some_and(|given_up| fencing <= *given_up)
    }

    /// Records that this node is about to release the duty. The node never holds it again under
    /// that fencing number.
    pub fn give_up(&mut self, duty: Duty) -> Option<Change> {
        if let Some(held) = self.held.get(&duty) {
            self.given_up.insert(duty, held.lease.fencing);
        }
        self.drop_duty(duty)
    }

    /// Removes the duty after it was released or its lease became void.
    pub fn drop_duty(&mut self, duty: Duty) -> Option<Change> {
        let held = self.held.remove(&duty)?;
        held.valid.then_some(Change::Lost(duty))
    }

    /// Removes the duties that are no longer granted to this node according to `grant_of`.
    pub fn drop_revoked(&mut self, grant_of: impl Fn(Duty) -> Option<Grant>) -> Vec<Change> {
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

    /// Ends the leases that have expired. They stay renewable until another node takes the duty.
    pub fn expire(&mut self, now_ms: MonoMs) -> Vec<Change> {
        let mut lost = Vec::new();
        for (duty, held) in &mut self.held {
            if held.valid && now_ms >= held.until_ms {
                held.valid = false;
                lost.push(Change::Lost(*duty));
            }
        }
        lost
    }

    /// Returns the lease if it is valid at `now_ms`.
    pub fn valid(&self, duty: Duty, now_ms: MonoMs) -> Option<&Lease> {
        let held = self.held.get(&duty)?;
        (held.valid && now_ms < held.until_ms).then_some(&held.lease)
    }

    /// Returns all leases that may be renewed, including those that expired on this clock and that
    /// no other node took.
    pub fn renewable(&self) -> Vec<HeldRecord> {
        let records = self.held.values().map(|held| HeldRecord {
            duty: held.lease.duty,
            fencing: held.lease.fencing,
        });
        records.collect()
    }

    /// Returns the leases with the end of each, for the state dump.
    pub fn leases(&self) -> impl Iterator<Item = (&Lease, MonoMs)> {
        self.held.values().map(|held| (&held.lease, held.until_ms))
    }
}
