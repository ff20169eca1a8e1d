//! The events of a run in the order of their instants, and of their making where those are equal.

use bluebell_base::prelude::*;
use bluebell_policy::{GroupPart, Outcome};
use bluebell_upstreams::engine::CacheEvent;
use bluebell_upstreams::{LoadReport, Priority};
use std::cmp::Ordering;
use std::collections::BinaryHeap;

bluebell_base::define_id! {
    /// A deciding node.
    NodeNo(u32) = "node";
    /// A fake engine.
    EngineNo(u32) = "engine";
    /// A request's index in the workload.
    RequestNo(u32) = "request";
}

/// A try to run a request, on its way to an engine.
#[derive(Clone, Debug, PartialEq)]
pub struct Attempt {
    /// The request.
    pub request: RequestNo,
    /// The attempt's number.
    pub number: AttemptNo,
    /// The engine that runs it.
    pub engine: EngineNo,
    /// The engines that lend it memory.
    pub members: Vec<(EngineNo, GroupPart)>,
    /// Its priority.
    pub priority: Priority,
}

/// Something that happens.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A request arrives, for the first time or again after a refusal.
    Arrive(RequestNo),
    /// A call reaches its engine.
    Call(Attempt),
    /// A cancel reaches an engine.
    Cancel(RequestNo, AttemptNo, EngineNo),
    /// The load that rides on an engine's acceptance reaches the node.
    Accepted(RequestNo, AttemptNo, Tokens, LoadReport),
    /// An engine's next step or expiry is due.
    Step(EngineNo),
    /// A first token reaches the node.
    FirstToken(RequestNo, AttemptNo),
    /// The end of an attempt reaches the node.
    End(RequestNo, AttemptNo, Outcome),
    /// A node asks an engine for its load and cache events.
    Poll(NodeNo, EngineNo),
    /// A load report reaches a node.
    Load(NodeNo, EngineNo, LoadReport),
    /// Cache events reach a node.
    Cache(NodeNo, EngineNo, Vec<CacheEvent>, bool),
    /// A node wanted to be woken.
    Wake(NodeNo),
    /// The fault happens.
    Fault,
    /// An engine that was leaving is gone.
    Gone(EngineNo),
    /// A node learns from the platform's list that an engine leaves.
    ListLeaving(NodeNo, EngineNo),
    /// A node learns from the platform's list that an engine is gone.
    ListGone(NodeNo, EngineNo),
}

#[derive(Debug)]
struct Due {
    at_us: u64,
    number: u64,
    event: Event,
}

impl PartialEq for Due {
    fn eq(&self, other: &Self) -> bool {
        self.number == other.number
    }
}

impl Eq for Due {}

impl PartialOrd for Due {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Due {
    fn cmp(&self, other: &Self) -> Ordering {
        // The heap gives the greatest first, which shall be the earliest.
        (other.at_us, other.number).cmp(&(self.at_us, self.number))
    }
}

/// The events to come.
#[derive(Debug, Default)]
pub struct Queue {
    heap: BinaryHeap<Due>,
    made: u64,
}

impl Queue {
    /// Adds an event.
    pub fn push(&mut self, at_us: u64, event: Event) {
        self.made += 1;
        self.heap.push(Due {
            at_us,
            number: self.made,
            event,
        });
    }

    /// Removes and returns the next event with its instant.
    pub fn pop(&mut self) -> Option<(u64, Event)> {
        let due = self.heap.pop()?;
        Some((due.at_us, due.event))
    }
}
