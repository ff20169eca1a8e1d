//! The table of live requests: dense slots by a small id, with indexes by request and by caller.
//!
//! Invariants: every indexed id names an occupied slot; a request is in one slot; a caller reads
//! at most one request.

use crate::call::CallerId;
use crate::life::Life;
use bluebell_base::prelude::*;
use std::collections::HashMap;

bluebell_base::define_id! {
    /// A live request's slot in this node's table; reused after the request's end.
    EntryId(u32) = "entry";
}

/// The live requests of one node.
#[derive(Default)]
pub struct Table {
    slots: Vec<Option<Life>>,
    free: Vec<EntryId>,
    by_request: HashMap<RequestId, EntryId>,
    by_caller: HashMap<CallerId, EntryId>,
    held_bytes: u64,
}

impl Table {
    /// Adds a request.
    pub fn insert(&mut self, life: Life) -> EntryId {
        let request = life.request;
        let id = self.free.pop().unwrap_or(EntryId(self.slots.len() as u32));
        if id.index() == self.slots.len() {
            self.slots.push(None);
        }
        if let Some(caller) = life.reader_id() {
            self.by_caller.insert(caller, id);
        }
        self.held_bytes += life.held_bytes().0;
        self.slots[id.index()] = Some(life);
        self.by_request.insert(request, id);
        id
    }

    /// Takes a request out.
    pub fn remove(&mut self, id: EntryId) -> Option<Life> {
        let life = self.slots.get_mut(id.index())?.take()?;
        self.by_request.remove(&life.request);
        if let Some(caller) = life.reader_id() {
            self.by_caller.remove(&caller);
        }
        self.held_bytes -= life.held_bytes().0;
        self.free.push(id);
        Some(life)
    }

    /// The request in a slot, where it is still the one meant; guards against reuse of the slot.
    pub fn get_mut(&mut self, id: EntryId, request: RequestId) -> Option<&mut Life> {
        let life = self.slots.get_mut(id.index())?.as_mut()?;
        (life.request == request).then_some(life)
    }

    /// The request in a slot.
    pub fn get(&self, id: EntryId) -> Option<&Life> {
        self.slots.get(id.index())?.as_ref()
    }

    /// The slot of a request.
    pub fn find(&self, request: RequestId) -> Option<EntryId> {
        self.by_request.get(&request).copied()
    }

    /// The slot of the request that a caller reads.
    pub fn find_caller(&self, caller: CallerId) -> Option<EntryId> {
        self.by_caller.get(&caller).copied()
    }

    /// Brings the index of callers and the bytes held up to date after a step that began with
    /// reader `before` and `before_bytes`.
    pub fn reindex(&mut self, id: EntryId, before: Option<CallerId>, before_bytes: Bytes) {
        let life = self.get(id);
        let now = life.and_then(Life::reader_id);
        let now_bytes = life.map_or(Bytes::ZERO, Life::held_bytes);
        self.held_bytes = self.held_bytes + now_bytes.0 - before_bytes.0;
        if before == now {
            return;
        }
        if let Some(caller) = before {
            self.by_caller.remove(&caller);
        }
        if let Some(caller) = now {
            self.by_caller.insert(caller, id);
        }
    }

    /// The live requests.
    pub fn iter(&self) -> impl Iterator<Item = (EntryId, &Life)> {
        let indexed = self.slots.iter().enumerate();
        indexed.filter_map(|(i, life)| Some((EntryId(i as u32), life.as_ref()?)))
    }

    /// The live requests, to change them.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = &mut Life> {
        self.slots.iter_mut().flatten()
    }

    /// How many live requests there are.
    pub fn len(&self) -> usize {
        self.by_request.len()
    }

    /// The bytes of prompts and bodies held.
    pub fn held_bytes(&self) -> Bytes {
        Bytes(self.held_bytes)
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.by_request.is_empty()
    }

    /// The index of callers, for the verifier.
    pub fn callers(&self) -> impl Iterator<Item = (CallerId, EntryId)> {
        self.by_caller.iter().map(|(caller, id)| (*caller, *id))
    }
}
