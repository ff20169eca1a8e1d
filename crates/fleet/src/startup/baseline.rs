//! Work on engines that a starting node hasn't heard of.
//!
//! Invariants: a baseline holds at most what its engine can hold; a report only lowers what a peer handed
//! over.

use crate::engine::EngineSpec;
use crate::ledger::{Load, Loads};
use crate::placement::MAX_QUEUED;
use crate::replicas::ReplicaKey;
use bluebell_base::prelude::*;
use rustc_hash::FxHashMap;
use serde::{Deserialize, Serialize};

/// The work on one engine, as one that knows it hands it over.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Baseline {
    /// The number of requests that the engine writes or will write.
    pub writers: u32,
    /// The length of the prompts of those requests.
    pub context_tokens: u64,
    /// The time that the engine still needs for reading.
    pub backlog_ms: u32,
    /// The number of requests that it helps to read.
    pub helping: u32,
    /// The memory that is in use or reserved.
    pub memory_tokens: u64,
}

/// The work that an engine itself reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EngineWork {
    /// The number of requests that run.
    pub running: u32,
    /// The number of requests in the engine's queue.
    pub waiting: u32,
    /// The memory that is in use.
    pub memory_tokens: Tokens,
}

impl EngineWork {
    /// Returns the number of requests at the engine.
    fn requests(&self) -> u32 {
        self.running.saturating_add(self.waiting)
    }
}

impl Baseline {
    /// Returns the baseline that a load makes for others.
    fn of(load: &Load) -> Self {
        Self {
            writers: load.writers,
            context_tokens: load.context_tokens.0,
            backlog_ms: load.backlog_ms as u32,
            helping: load.helping,
            memory_tokens: load.memory_tokens.0,
        }
    }

    /// Lowers the baseline to what its engine reports.
    fn lower_to(&mut self, work: &EngineWork) {
        self.writers = self.writers.min(work.requests());
        self.memory_tokens = self.memory_tokens.min(work.memory_tokens.0);
        if work.waiting == 0 && work.running == 0 {
            self.backlog_ms = 0;
            self.context_tokens = 0;
        }
    }

    /// Raises a load to the baseline, as far as the engine can hold it.
    pub(super) fn raise(&self, load: &mut Load, spec: &EngineSpec) {
        let memory_tokens = spec.memory_tokens.0;
        let max_backlog_ms = spec.read_ms(spec.memory_tokens);
        load.writers = load.writers.max(self.writers.min(spec.slots + MAX_QUEUED));
        load.helping = load.helping.max(self.helping.min(spec.slots));
        let raise = |tokens: &mut Tokens, to: u64| tokens.0 = tokens.0.max(to.min(memory_tokens));
        raise(&mut load.context_tokens, self.context_tokens);
        raise(&mut load.memory_tokens, self.memory_tokens);
        let backlog_ms = f64::from(self.backlog_ms).min(max_backlog_ms);
        load.backlog_ms = load.backlog_ms.max(backlog_ms);
    }
}

impl From<EngineWork> for Baseline {
    fn from(work: EngineWork) -> Self {
        Self {
            writers: work.requests(),
            context_tokens: work.memory_tokens.0,
            memory_tokens: work.memory_tokens.0,
            ..Self::default()
        }
    }
}

/// The baselines of the engines.
#[derive(Clone, Debug, Default)]
pub struct Baselines {
    engines: FxHashMap<ReplicaKey, Baseline>,
    /// True if a peer whose knowledge was complete handed baselines over.
    from_peer: bool,
}

impl Baselines {
    /// Returns the baselines that loads make for others, of the engines that have work.
    pub fn of_loads(
        engines: impl Iterator<Item = ReplicaKey>,
        loads: Loads<'_>,
    ) -> Vec<(ReplicaKey, Baseline)> {
        let all = engines.map(|key| (key, Baseline::of(loads.of(key))));
        all.filter(|(_, baseline)| *baseline != Baseline::default())
            .collect()
    }

    /// Records what a peer whose knowledge is complete handed over. The newest replaces what is known.
    pub fn on_handed_over(&mut self, engines: impl Iterator<Item = (ReplicaKey, Baseline)>) {
        self.engines = engines.collect();
        self.from_peer = true;
    }

    /// Records what a peer knows of engines' reports that itself has just started. What is known isn't
    /// replaced.
    pub fn on_relayed(&mut self, engines: impl Iterator<Item = (ReplicaKey, Baseline)>) {
        for (key, baseline) in engines {
            self.engines.entry(key).or_insert(baseline);
        }
    }

    /// Returns the baselines, for a node that starts at the same time.
    pub fn iter(&self) -> impl Iterator<Item = (ReplicaKey, Baseline)> {
        self.engines.iter().map(|(key, baseline)| (*key, *baseline))
    }

    /// Records an engine's report.
    pub fn on_report(&mut self, key: ReplicaKey, work: EngineWork) {
        match self.engines.get_mut(&key) {
            Some(baseline) => baseline.lower_to(&work),
            None if self.from_peer => {}
            None => {
                self.engines.insert(key, work.into());
            }
        }
    }

    /// Returns true if a peer handed the baselines over, so that no report is needed.
    pub fn are_from_peer(&self) -> bool {
        self.from_peer
    }

    /// Returns the baseline of an engine.
    pub fn of(&self, key: ReplicaKey) -> Option<&Baseline> {
        self.engines.get(&key)
    }

    /// Returns the number of engines with a baseline.
    pub fn len(&self) -> usize {
        self.engines.len()
    }

    /// Returns true if no engine has a baseline.
    pub fn is_empty(&self) -> bool {
        self.engines.is_empty()
    }

    /// Removes all baselines.
    pub(super) fn clear(&mut self) {
        self.engines = FxHashMap::default();
    }
}
