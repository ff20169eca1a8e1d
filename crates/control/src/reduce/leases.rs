//! The reduction of the leases stream.
//!
//! Terms: a record *touches* a duty if it grants, renews, releases or resets the lease of that
//! duty.
//!
//! Rule: a take counts if and only if the last record that touched the duty is the one that the
//! take names. A renewal or release counts if its fencing number is the current one.
//!
//! A take names the last renewal and not only the fencing number, since a holder that was paused
//! for longer than its lease may resume and renew just before the take reaches the log. With the
//! fencing number alone both records would count, and the old holder would treat its renewal as
//! valid for a whole lease while the new one already holds the duty.
//!
//! Invariants: the fencing number of a duty only grows; a duty has at most one holder.

use crate::Duty;
use crate::records::{Checkpoint, GrantRecord, HeldRecord, LeaseRecord, Release, Renew, Take};
use bluebell_base::prelude::*;
use std::collections::BTreeMap;

/// The lease of one duty.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Grant {
    /// The holder; `None` after a release.
    pub holder: Option<Incarnation>,
    /// The address of the last holder's peer interface.
    pub address: Address,
    /// The fencing number: the offset of the take.
    pub fencing: Fencing,
    /// The last record that granted, renewed or released the lease.
    pub touched: Offset,
}

/// The effect of one record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaseOutcome {
    /// A take counted.
    Granted {
        /// The id of the take.
        op: OperationId,
        /// The duty.
        duty: Duty,
    },
    /// A take did not count, since another record had touched the duty.
    Refused {
        /// The id of the take.
        op: OperationId,
        /// The duty.
        duty: Duty,
    },
    /// A duty was renewed.
    Renewed {
        /// The id of the renewal.
        op: OperationId,
        /// The duty.
        duty: Duty,
    },
    /// A duty was released.
    Released {
        /// The duty.
        duty: Duty,
    },
    /// All leases were replaced: a checkpoint was adopted or a reset was read.
    Replaced,
    /// A checkpoint was read and changed nothing.
    CheckpointSeen {
        /// The first offset that the checkpoint does not include.
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

/// The reducer of the leases stream.
#[derive(Clone, Debug)]
pub struct LeaseReducer {
    state: State,
    grants: BTreeMap<Duty, Grant>,
    reset_at: Option<Offset>,
}

impl LeaseReducer {
    /// Returns a reader that begins at `start`. It knows the state only if `start` is 0.
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

    /// Returns true if the state is known.
    pub fn is_known(&self) -> bool {
        matches!(self.state, State::Known)
    }

    /// Returns the lease of a duty, if the state is known and there is one.
    pub fn grant(&self, duty: Duty) -> Option<&Grant> {
        self.grants.get(&duty)
    }

    /// Returns all leases, ordered by duty.
    pub fn grants(&self) -> impl Iterator<Item = (Duty, &Grant)> {
        self.grants.iter().map(|(duty, grant)| (*duty, grant))
    }

    /// Returns the record that last touched the duty, which a take has to name.
    pub fn touched(&self, duty: Duty) -> Option<Offset> {
        let grant = self.grants.get(&duty);
        grant.map(|grant| grant.touched).or(self.reset_at)
    }

    /// Returns a checkpoint of the state as of `as_of`, the offset after the last applied record.
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

    /// Continues at `to` after records before it were lost to this reader. The leases become
    /// unknown.
    pub fn skip_to(&mut self, to: Offset) {
        self.grants.clear();
        self.state = State::Unknown {
            since: to,
            pending: Vec::new(),
        };
    }

    /// Applies the record at `offset` and appends its effects to `out`. The caller passes offsets
    /// in order and without gaps.
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

    /// Returns the lease that `holder` still has under the fencing number of `held`.
    fn current(&mut self, holder: Incarnation, held: &HeldRecord) -> Option<&mut Grant> {
        let grant = self.grants.get_mut(&held.duty)?;
        let same = grant.fencing == held.fencing && grant.holder == Some(holder);
        same.then_some(grant)
    }

    /// Voids all leases. Every reader does so at the same offset, whatever it knew before, so the
    /// state becomes known. Nodes wait after a reset as after a renewal before they take a duty,
    /// since its holder may not have read the reset yet.
    fn reset(&mut self, offset: Offset, out: &mut Vec<LeaseOutcome>) {
        self.grants.clear();
        self.reset_at = Some(offset);
        self.state = State::Known;
        out.push(LeaseOutcome::Replaced);
    }

    /// Adopts a checkpoint if the state is unknown. As with config snapshots, a reader can use it
    /// only if it has read all records from `as_of` on.
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
