//! The table of live requests: dense slots by a small id, with indexes by request and by caller.
//!
//! Invariants: every indexed id refers to an occupied slot. A request occupies one slot. A caller
//! reads at most one request.

use crate::call::CallerId;
use crate::request::LiveRequest;
use bluebell_base::prelude::*;
use std::collections::HashMap;

bluebell_base::define_id! {
    /// A live request's slot in this node's table; reused after the request's end.
    EntryId(u32) = "entry";
}

/// The live requests of one node.
#[derive(Default)]
pub struct Table {
    slots: Vec<Option<LiveRequest>>,
    free: Vec<EntryId>,
    by_request: HashMap<RequestId, EntryId>,
    by_caller: HashMap<CallerId, EntryId>,
    held_bytes: u64,
}

impl Table {
    /// Adds a request.
    pub fn insert(&mut self, live: LiveRequest) -> EntryId {
        let request = live.request;
        let id = self.free.pop().unwrap_or(EntryId(self.slots.len() as u32));
        if id.index() == self.slots.len() {
            self.slots.push(None);
        }
        if let Some(caller) = live.reader_id() {
            self.by_caller.insert(caller, id);
        }
        self.held_bytes += live.held_bytes().0;
        self.slots[id.index()] = Some(live);
        self.by_request.insert(request, id);
        id
    }

    /// Removes a request.
    pub fn remove(&mut self, id: EntryId) -> Option<LiveRequest> {
        let live = self.slots.get_mut(id.index())?.take()?;
        self.by_request.remove(&live.request);
        if let Some(caller) = live.reader_id() {
            self.by_caller.remove(&caller);
        }
        self.held_bytes -= live.held_bytes().0;
        self.free.push(id);
        Some(live)
    }

    /// Returns the request in a slot; `None` if the slot was reused for another request.
    pub fn get_mut(&mut self, id: EntryId, request: RequestId) -> Option<&mut LiveRequest> {
        let live = self.slots.get_mut(id.index())?.as_mut()?;
        (live.request == request).then_some(live)
    }

    /// Returns the request in a slot.
    pub fn get(&self, id: EntryId) -> Option<&LiveRequest> {
        self.slots.get(id.index())?.as_ref()
    }

    /// Returns the slot of a request.
    pub fn find(&self, request: RequestId) -> Option<EntryId> {
        self.by_request.get(&request).copied()
    }

    /// Returns the slot of the request that a caller reads.
    pub fn find_caller(&self, caller: CallerId) -> Option<EntryId> {
        self.by_caller.get(&caller).copied()
    }

    /// Updates the index of callers and the count of bytes held after a step that began with reader
    /// `before` and `before_bytes`.
    pub fn reindex(&mut self, id: EntryId, before: Option<CallerId>, before_bytes: Bytes) {
        let live = self.get(id);
        let now = live.and_then(LiveRequest::reader_id);
        let now_bytes = live.map_or(Bytes::ZERO, LiveRequest::held_bytes);
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

    /// Iterates over the live requests and their slots.
    pub fn iter(&self) -> impl Iterator<Item = (EntryId, &LiveRequest)> {
        let indexed = self.slots.iter().enumerate();
        indexed.filter_map(|(i, live)| Some((EntryId(i as u32), live.as_ref()?)))
    }

    /// Iterates over the live requests for changes.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = &mut LiveRequest> {
        self.slots.iter_mut().flatten()
    }

    /// Returns the number of live requests.
    pub fn len(&self) -> usize {
        self.by_request.len()
    }

    /// Returns the bytes of prompts and bodies held.
    pub fn held_bytes(&self) -> Bytes {
        Bytes(self.held_bytes)
    }

    /// Returns true if there are no live requests.
    pub fn is_empty(&self) -> bool {
        self.by_request.is_empty()
    }

    /// Iterates over the index of callers, for the verifier.
    pub fn callers(&self) -> impl Iterator<Item = (CallerId, EntryId)> {
        self.by_caller.iter().map(|(caller, id)| (*caller, *id))
    }
}
