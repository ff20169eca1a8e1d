//! What a request holds, released when its future is dropped.

use super::Call;
use crate::journal::Event;
use crate::node::Node;
use bluebell_fleet::prelude::*;
use std::rc::Rc;

/// What a try holds at a replica.
#[derive(Clone, Copy, Debug)]
pub(super) enum Holding {
    /// Work on engines.
    Work(WorkId),
    /// A call at a plain replica.
    Call(ReplicaKey),
}

/// The hold of one try. Dropping it releases the hold and tells the peers.
pub(super) struct Held {
    node: Rc<Node>,
    holding: Holding,
    on_trial: Option<ReplicaKey>,
    stage: Stage,
    /// Whether several engines read its prompt.
    shared: bool,
}

impl Held {
    /// Notes the hold of work that was placed.
    pub fn placed(node: &Rc<Node>, key: ReplicaKey, work: Work) -> Self {
        let id = node.next_work_id();
        let shared = !work.helpers.is_empty();
        node.outbox.placed(id.sequence, &work, node.now_ms());
        let now_ms = node.now_ms();
        node.with(|state| {
            for engine in work.helpers.iter().chain([&work.first]) {
                state.limits.on_sent(*engine, now_ms);
                state.replica_backoffs.on_sent(*engine, now_ms);
            }
            state.ledger.put(id, work, now_ms);
        });
        Self::begin(node, key, Holding::Work(id), shared)
    }

    /// Notes the hold of a call at a plain replica.
    pub fn call(node: &Rc<Node>, key: ReplicaKey) -> Self {
        let now_ms = node.now_ms();
        node.with(|state| {
            state.limits.on_sent(key, now_ms);
            state.replica_backoffs.on_sent(key, now_ms);
            *state.calls.entry(key).or_default() += 1;
        });
        Self::begin(node, key, Holding::Call(key), false)
    }

    fn begin(node: &Rc<Node>, key: ReplicaKey, holding: Holding, shared: bool) -> Self {
        let on_trial = node.with(|state| {
            let health = state.replicas.health_mut(key);
            health.is_some_and(|health| health.begin())
        });
        Self {
            node: node.clone(),
            holding,
            on_trial: on_trial.then_some(key),
            stage: Stage::Reading,
            shared,
        }
    }

    /// The work on engines that it holds; none for a call at a plain replica.
    pub fn work_id(&self) -> Option<WorkId> {
        match self.holding {
            Holding::Work(id) => Some(id),
            Holding::Call(_) => None,
        }
    }

    /// Events arrive, all on time so far or not.
    pub fn set_stage(&mut self, stage: Stage) {
        if stage == self.stage || self.stage == Stage::Late {
            return;
        }
        self.stage = stage;
        if let Holding::Work(id) = self.holding {
            self.node.with(|state| state.ledger.set_stage(id, stage));
            self.node.outbox.stage(id.sequence, stage, self.shared);
        }
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        self.node.with(|state| {
            if let Some(health) = self.on_trial.and_then(|key| state.replicas.health_mut(key)) {
                health.end_trial();
            }
            match self.holding {
                Holding::Work(id) => state.ledger.remove(id),
                Holding::Call(key) => {
                    if let Some(calls) = state.calls.get_mut(&key) {
                        *calls = calls.saturating_sub(1);
                    }
                }
            }
        });
        if let Holding::Work(id) = self.holding {
            self.node.outbox.ended(id.sequence);
        }
    }
}

/// Tells when a caller left before its request was answered.
pub(super) struct CallWatch {
    call: Rc<Call>,
    answered: bool,
}

impl CallWatch {
    pub fn begin(call: Rc<Call>) -> Self {
        Self {
            call,
            answered: false,
        }
    }

    pub fn answered(&mut self) {
        self.answered = true;
    }
}

impl Drop for CallWatch {
    fn drop(&mut self) {
        if !self.answered {
            self.call.node.journal.record(&Event::Cancelled {
                request: self.call.head.request.clone(),
                age_ms: self.call.age_ms(),
            });
        }
    }
}
