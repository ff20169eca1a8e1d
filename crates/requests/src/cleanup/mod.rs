//! Cleanup tasks: cancels and releases that are retried until the upstream answers or its hold has
//! expired, even after the end of the request they belong to.
//!
//! Invariants: a task is tried a bounded number of times. After that the hold's own expiry on the
//! engine frees the memory.

use crate::table::EntryId;
use bluebell_base::prelude::*;
use bluebell_peers::ClaimKey;

bluebell_base::define_id! {
    /// A cleanup task's slot; reused after its end.
    ChoreId(u32) = "chore";
}

/// The action of a cleanup task.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CleanupKind {
    /// Cancels an attempt.
    Cancel {
        /// The attempt.
        attempt: AttemptNo,
        /// The live request that waits for the answer.
        awaited_by: Option<EntryId>,
        /// The key of the claim to settle by the answer.
        settle: Option<ClaimKey>,
        /// True if another node may still own the stream, so that the cancel is retried on "not
        /// owner".
        adopting: bool,
    },
    /// Releases a reservation.
    Release {
        /// The reservation.
        reservation: ReservationId,
    },
}

/// One cleanup task.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CleanupTask {
    /// The request that it belongs to.
    pub request: RequestId,
    /// The engine.
    pub upstream: UpstreamId,
    /// The action.
    pub kind: CleanupKind,
    /// The number of tries so far.
    pub tries: u32,
}

/// The cleanup tasks of one node.
#[derive(Debug, Default)]
pub struct CleanupTasks {
    slots: Vec<Option<CleanupTask>>,
    free: Vec<ChoreId>,
    count: usize,
}

impl CleanupTasks {
    /// Adds a task.
    pub fn insert(&mut self, task: CleanupTask) -> ChoreId {
        let id = self.free.pop();
        let id = id.unwrap_or(ChoreId(self.slots.len() as u32));
        if id.index() == self.slots.len() {
            self.slots.push(None);
        }
        self.slots[id.index()] = Some(task);
        self.count += 1;
        id
    }

    /// Returns the task if it has had exactly `tries` tries; guards against late timers and
    /// answers.
    pub fn get_at_try(
        &mut self,
        id: ChoreId,
        request: RequestId,
        tries: u32,
    ) -> Option<&mut CleanupTask> {
        let task = self.slots.get_mut(id.index())?.as_mut()?;
        (task.request == request && task.tries == tries).then_some(task)
    }

    /// Removes a task.
    pub fn remove(&mut self, id: ChoreId) -> Option<CleanupTask> {
        let task = self.slots.get_mut(id.index())?.take()?;
        self.free.push(id);
        self.count -= 1;
        Some(task)
    }

    /// Iterates over the tasks under way.
    pub fn iter(&self) -> impl Iterator<Item = &CleanupTask> {
        self.slots.iter().flatten()
    }

    /// Returns the number of tasks under way.
    pub fn len(&self) -> usize {
        self.count
    }

    /// Returns true if no task is under way.
    pub fn is_empty(&self) -> bool {
        self.count == 0
    }
}
