//! Chores: cancels and releases that go on until the upstream answers or its hold has expired,
//! also when the request they belong to has long ended.
//!
//! Invariants: a chore is tried a bounded number of times; afterwards the hold's own expiry on the
//! engine frees the memory.

use crate::table::EntryId;
use bluebell_base::prelude::*;
use bluebell_peers::ClaimKey;

bluebell_base::define_id! {
    /// A chore's slot; reused after its end.
    ChoreId(u32) = "chore";
}

/// What a chore does.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ChoreKind {
    /// Cancels an attempt.
    Cancel {
        /// The attempt.
        attempt: AttemptNo,
        /// The live request that waits for the answer.
        tell: Option<EntryId>,
        /// The claim to settle by the answer.
        settle: Option<ClaimKey>,
        /// Whether another node may own the stream still, so that "not owner" is asked again.
        adopting: bool,
    },
    /// Releases a reservation.
    Release {
        /// The reservation.
        reservation: ReservationId,
    },
}

/// One chore.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Chore {
    /// The request it belongs to.
    pub request: RequestId,
    /// The engine.
    pub upstream: UpstreamId,
    /// What it does.
    pub kind: ChoreKind,
    /// Tries so far.
    pub tries: u32,
}

/// The chores of one node.
#[derive(Debug, Default)]
pub struct Chores {
    slots: Vec<Option<Chore>>,
    free: Vec<ChoreId>,
    count: usize,
}

impl Chores {
    /// Adds a chore.
    pub fn insert(&mut self, chore: Chore) -> ChoreId {
        let id = self.free.pop();
        let id = id.unwrap_or(ChoreId(self.slots.len() as u32));
        if id.index() == self.slots.len() {
            self.slots.push(None);
        }
        self.slots[id.index()] = Some(chore);
        self.count += 1;
        id
    }

    /// The chore, where it has had just `tries` tries; guards against late timers and answers.
    pub fn at_try(&mut self, id: ChoreId, request: RequestId, tries: u32) -> Option<&mut Chore> {
        let chore = self.slots.get_mut(id.index())?.as_mut()?;
        (chore.request == request && chore.tries == tries).then_some(chore)
    }

    /// Takes a chore out.
    pub fn remove(&mut self, id: ChoreId) -> Option<Chore> {
        let chore = self.slots.get_mut(id.index())?.take()?;
        self.free.push(id);
        self.count -= 1;
        Some(chore)
    }

    /// The chores under way.
    pub fn iter(&self) -> impl Iterator<Item = &Chore> {
        self.slots.iter().flatten()
    }

    /// How many are under way.
    pub fn len(&self) -> usize {
        self.count
    }

    /// Whether none is under way.
    pub fn is_empty(&self) -> bool {
        self.count == 0
    }
}
