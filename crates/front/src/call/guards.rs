//! Guards that release what a request holds, or record its cancellation, when its future is
//! dropped.

use super::Call;
use crate::journal::Event;
use crate::node::Node;
use bluebell_fleet::prelude::*;
use bluebell_quarantine::prelude::*;
use std::rc::Rc;

/// The load that an attempt puts on replicas.
#[derive(Clone, Copy, Debug)]
pub(super) enum TryLoad {
    /// Work on one or more engines, in the ledger.
    Work(WorkId),
    /// A call to a plain replica.
    Call(ReplicaKey),
}

/// The load of one attempt. Dropping it removes the load and reports that to the peers.
pub(super) struct TryGuard {
    node: Rc<Node>,
    load: TryLoad,
    /// The replica, if it is doubted and this attempt tests it.
    on_trial: Option<ReplicaKey>,
    stage: Stage,
    /// True if several engines read the prompt.
    shared: bool,
}

impl TryGuard {
    /// Records work that was placed on engines.
    pub fn for_work(node: &Rc<Node>, key: ReplicaKey, work: Work) -> Self {
        let id = node.next_work_id();
        let shared = !work.helpers.is_empty();
        node.outbox.placed(id.sequence, &work, node.now_ms());
        let now_ms = node.now_ms();
        node.with(|state| {
            for engine in work.helpers.iter().chain([&work.first]) {
                state.on_sent(*engine, now_ms);
                state.replica_backoffs.on_sent(*engine, now_ms);
            }
            state.put_work(id, work, now_ms);
        });
        Self::begin(node, key, TryLoad::Work(id), shared)
    }

    /// Records a call to a plain replica.
    pub fn for_call(node: &Rc<Node>, key: ReplicaKey) -> Self {
        let now_ms = node.now_ms();
        node.with(|state| {
            state.on_sent(key, now_ms);
            state.replica_backoffs.on_sent(key, now_ms);
            *state.calls.entry(key).or_default() += 1;
        });
        Self::begin(node, key, TryLoad::Call(key), false)
    }

    fn begin(node: &Rc<Node>, key: ReplicaKey, load: TryLoad, shared: bool) -> Self {
        let on_trial = node.with(|state| {
            let health = state.replicas.health_mut(key);
            health.is_some_and(|health| health.begin())
        });
        Self {
            node: node.clone(),
            load,
            on_trial: on_trial.then_some(key),
            stage: Stage::Reading,
            shared,
        }
    }

    /// Returns the id of the work on engines, or `None` for a call to a plain replica.
    pub fn work_id(&self) -> Option<WorkId> {
        match self.load {
            TryLoad::Work(id) => Some(id),
            TryLoad::Call(_) => None,
        }
    }

    /// Records that events arrive, and if all were on time so far. A stage of `Late` is final.
    pub fn set_stage(&mut self, stage: Stage) {
        if stage == self.stage || self.stage == Stage::Late {
            return;
        }
        self.stage = stage;
        if let TryLoad::Work(id) = self.load {
            self.node.with(|state| state.ledger.set_stage(id, stage));
            self.node.outbox.stage(id.sequence, stage, self.shared);
        }
    }
}

impl Drop for TryGuard {
    fn drop(&mut self) {
        let now_ms = self.node.now_ms();
        self.node.with(|state| {
            if let Some(health) = self.on_trial.and_then(|key| state.replicas.health_mut(key)) {
                health.end_trial();
            }
            match self.load {
                TryLoad::Work(id) => state.remove_work(id, now_ms),
                TryLoad::Call(key) => {
                    if let Some(calls) = state.calls.get_mut(&key) {
                        *calls = calls.saturating_sub(1);
                    }
                }
            }
        });
        if let TryLoad::Work(id) = self.load {
            self.node.outbox.ended(id.sequence);
        }
    }
}

/// The trial of a suspected request. Dropping it lets another arrival be tried.
pub(super) struct SuspectTrial {
    node: Rc<Node>,
    digest: RequestDigest,
}

impl SuspectTrial {
    /// Begins the trial of a request. Returns `None` if one is under way.
    pub fn begin(node: &Rc<Node>, digest: RequestDigest) -> Option<Self> {
        let begun = node.with(|state| state.suspect_trials.begin(digest));
        begun.then(|| Self {
            node: node.clone(),
            digest,
        })
    }
}

impl Drop for SuspectTrial {
    fn drop(&mut self) {
        let digest = self.digest;
        self.node.with(|state| state.suspect_trials.end(&digest));
        self.node.trial_ended.notify_waiters();
    }
}

/// Records a cancellation if it is dropped before the request was answered.
pub(super) struct CancelRecorder {
    call: Rc<Call>,
    answered: bool,
}

impl CancelRecorder {
    /// Creates a recorder for a request that is about to be served.
    pub fn begin(call: Rc<Call>) -> Self {
        Self {
            call,
            answered: false,
        }
    }

    /// Records that the answer's head is ready, so that dropping this records no cancellation.
    pub fn answered(&mut self) {
        self.answered = true;
    }
}

impl Drop for CancelRecorder {
    fn drop(&mut self) {
        if !self.answered {
            self.call.node.journal.record(&Event::Cancelled {
                request: self.call.head.request.clone(),
                age_ms: self.call.age_ms(),
            });
        }
    }
}
