//! The reduction of the leases stream.
//!
//! Rule: a take counts if and only if nothing touched the duty since the taker looked, that is if
//! the last record that granted, renewed, released or reset it is the one the taker names. A
//! renewal or release counts where its fencing number is the current one.
//!
//! Why a take names the last renewal and not only the fencing number: a holder that was paused
//! past its lease may wake and renew just before a taker's record lands. With the fencing number
//! alone both would count, and the holder would believe in its renewal for a whole lease while
//! the taker already holds the duty.
//!
//! Invariants: a duty's fencing number only grows; at most one holder a duty.

use crate::Duty;
use crate::records::{Checkpoint, GrantRecord, HeldRecord, LeaseRecord, Release, Renew, Take};
use bluebell_base::prelude::*;
use std::collections::BTreeMap;

/// The lease of one duty.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Grant {
    /// The holder; none after a release.
    pub holder: Option<Incarnation>,
    /// Where the last holder's peer interface listens.
    pub address: Address,
    /// The fencing number: the offset of the take.
    pub fencing: Fencing,
    /// The last record that granted, renewed or released it.
    pub touched: Offset,
}

/// What one record did.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaseOutcome {
    /// A take counted.
    Granted {
        /// The taking.
        op: OperationId,
        /// The duty.
        duty: Duty,
    },
    /// A take came too late.
    Refused {
        /// The taking.
        op: OperationId,
        /// The duty.
        duty: Duty,
    },
    /// A duty was renewed.
    Renewed {
        /// The renewal.
        op: OperationId,
        /// The duty.
        duty: Duty,
    },
    /// A duty was released.
    Released {
        /// The duty.
        duty: Duty,
    },
    /// All grants changed: a checkpoint was adopted or a reset read.
    Replaced,
    /// A checkpoint was read; it changed nothing.
    CheckpointSeen {
        /// The first offset not in it.
        as_of: Offset,
    },
}

#[derive(Clone, Debug)]
enum State {
    Known,
    Unknown {
        since: Offset,
        pending: Vec<(Offset, LeaseRecord)>,
    },
}

/// Reduces the leases stream.
#[derive(Clone, Debug)]
pub struct LeaseReducer {
    state: State,
    grants: BTreeMap<Duty, Grant>,
    reset_at: Option<Offset>,
}

impl LeaseReducer {
    /// A reader that begins at `start`; it knows the state only if that is the very beginning.
    pub fn new(start: Offset) -> Self {
        let state = match start {
            Offset(0) => State::Known,
            since => State::Unknown {
                since,
                pending: Vec::new(),
            },
        };
        Self {
            state,
            grants: BTreeMap::new(),
            reset_at: None,
        }
    }

    /// Whether the state is known.
    pub fn is_known(&self) -> bool {
        matches!(self.state, State::Known)
    }

    /// The duty's lease, where the state is known and there is one.
    pub fn grant(&self, duty: Duty) -> Option<&Grant> {
        self.grants.get(&duty)
    }

    /// All leases, by duty.
    pub fn grants(&self) -> impl Iterator<Item = (Duty, &Grant)> {
        self.grants.iter().map(|(duty, grant)| (*duty, grant))
    }

    /// The record that last touched the duty; what a take has to name.
    pub fn touched(&self, duty: Duty) -> Option<Offset> {
        let grant = self.grants.get(&duty);
        grant.map(|grant| grant.touched).or(self.reset_at)
    }

    /// The state as of `as_of`, the offset behind the last applied record.
    pub fn checkpoint(&self, op: OperationId, as_of: Offset) -> Checkpoint {
        let grants = self.grants.iter().map(|(duty, grant)| GrantRecord {
            duty: *duty,
            holder: grant.holder,
            address: grant.address.clone(),
            fencing: grant.fencing,
            touched: grant.touched,
        });
        Checkpoint {
            op,
            as_of,
            reset_at: self.reset_at,
            grants: grants.collect(),
        }
    }

    /// Records before `to` were lost to this reader: it does not know the leases any more.
    pub fn skip_to(&mut self, to: Offset) {
        self.grants.clear();
        self.state = State::Unknown {
            since: to,
            pending: Vec::new(),
        };
    }

    /// Reduces the record at `offset`; offsets come in order without gaps.
    pub fn apply(&mut self, offset: Offset, record: LeaseRecord, out: &mut Vec<LeaseOutcome>) {
        match record {
            LeaseRecord::Reset(_) => self.reset(offset, out),
            LeaseRecord::Checkpoint(checkpoint) => self.adopt(checkpoint, out),
            record => match &mut self.state {
                State::Unknown { pending, .. } => pending.push((offset, record)),
                State::Known => self.apply_known(offset, record, out),
            },
        }
    }

    fn apply_known(&mut self, offset: Offset, record: LeaseRecord, out: &mut Vec<LeaseOutcome>) {
        match record {
            LeaseRecord::Take(take) => self.take(offset, take, out),
            LeaseRecord::Renew(renew) => self.renew(offset, &renew, out),
            LeaseRecord::Release(release) => self.release(offset, &release, out),
            LeaseRecord::Checkpoint(_) | LeaseRecord::Reset(_) => (),
        }
    }

    fn take(&mut self, offset: Offset, take: Take, out: &mut Vec<LeaseOutcome>) {
        let Take { op, duty, .. } = take;
        if self.touched(duty) != take.seen {
            return out.push(LeaseOutcome::Refused { op, duty });
        }
        let grant = Grant {
            holder: Some(take.holder),
            address: take.address,
            fencing: Fencing(offset.0),
            touched: offset,
        };
        self.grants.insert(duty, grant);
        out.push(LeaseOutcome::Granted { op, duty });
    }

    fn renew(&mut self, offset: Offset, renew: &Renew, out: &mut Vec<LeaseOutcome>) {
        for held in &renew.held {
            if let Some(grant) = self.current(renew.holder, held) {
                grant.touched = offset;
                let (op, duty) = (renew.op, held.duty);
                out.push(LeaseOutcome::Renewed { op, duty });
            }
        }
    }

    fn release(&mut self, offset: Offset, release: &Release, out: &mut Vec<LeaseOutcome>) {
        for held in &release.held {
            if let Some(grant) = self.current(release.holder, held) {
                grant.holder = None;
                grant.touched = offset;
                out.push(LeaseOutcome::Released { duty: held.duty });
            }
        }
    }

    /// The grant that `holder` still has under that fencing number.
    fn current(&mut self, holder: Incarnation, held: &HeldRecord) -> Option<&mut Grant> {
        let grant = self.grants.get_mut(&held.duty)?;
        let same = grant.fencing == held.fencing && grant.holder == Some(holder);
        same.then_some(grant)
    }

    /// Voids all leases. Every reader does so at the same offset, whatever it knew before, so it
    /// also ends the state of not knowing. Takers wait after it as after a renewal, since a
    /// holder may not have read it yet.
    fn reset(&mut self, offset: Offset, out: &mut Vec<LeaseOutcome>) {
        self.grants.clear();
        self.reset_at = Some(offset);
        self.state = State::Known;
        out.push(LeaseOutcome::Replaced);
    }

    /// As with config snapshots, a checkpoint helps only a reader that knows all records behind
    /// its `as_of`.
    fn adopt(&mut self, checkpoint: Checkpoint, out: &mut Vec<LeaseOutcome>) {
        let as_of = checkpoint.as_of;
        let pending = match &mut self.state {
            State::Unknown { since, pending } if as_of >= *since => std::mem::take(pending),
            _ => return out.push(LeaseOutcome::CheckpointSeen { as_of }),
        };
        self.state = State::Known;
        self.reset_at = checkpoint.reset_at;
        self.grants = checkpoint.grants.into_iter().map(from_record).collect();
        out.push(LeaseOutcome::Replaced);
        for (offset, record) in pending.into_iter().filter(|(at, _)| *at >= as_of) {
            self.apply_known(offset, record, out);
        }
    }
}

fn from_record(record: GrantRecord) -> (Duty, Grant) {
    let grant = Grant {
        holder: record.holder,
        address: record.address,
        fencing: record.fencing,
        touched: record.touched,
    };
    (record.duty, grant)
}
