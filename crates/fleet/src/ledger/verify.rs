//! Check that the stored loads of engines are the sums of their work.

use rustc_hash::FxHashMap;

use super::{Ledger, Load, Stage, Tolerance, WorkId};
use crate::pace::Pace;
use crate::replicas::ReplicaKey;

/// Difference between the ledger's stored state and its work.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum LedgerError {
    /// The stored load of an engine isn't the sum of its work.
    #[error("engine {key} is stored as {stored:?}, but its work adds up to {recomputed:?}")]
    Load {
        /// The key of the engine.
        key: ReplicaKey,
        /// The stored load.
        stored: Box<Load>,
        /// The sum of its work.
        recomputed: Box<Load>,
    },
    /// A queue contains a part of work that is unknown or already read.
    #[error("a part of {work:?} is queued at engine {key}, but that work is at stage {stage:?}")]
    Part {
        /// The key of the engine.
        key: ReplicaKey,
        /// The id of the work that the part belongs to.
        work: WorkId,
        /// The stage of the work, or `None` if it is unknown.
        stage: Option<Stage>,
    },
}

impl Ledger {
    /// Recomputes all loads and compares them with the stored ones.
    ///
    /// # Errors
    /// [`LedgerError`] for the first difference.
    pub fn verify(&self) -> Result<(), LedgerError> {
        let mut recomputed: FxHashMap<ReplicaKey, Load> = FxHashMap::default();
        for work in self.works.values().flat_map(FxHashMap::values) {
            for (key, load) in work.shares() {
                recomputed.entry(key).or_default().add(&load);
            }
        }
        for key in self.engines.keys().chain(recomputed.keys()) {
            let stored = self.engines.get(key).map(|engine| &engine.load);
            let stored = counted(stored.cloned().unwrap_or_default());
            let recomputed = counted(recomputed.get(key).cloned().unwrap_or_default());
            if !agree(&stored, &recomputed) {
                return Err(LedgerError::Load {
                    key: *key,
                    stored: Box::new(stored),
                    recomputed: Box::new(recomputed),
                });
            }
        }
        self.verify_queues()
    }

    /// Checks that the queues contain only parts of prompts that are being read.
    fn verify_queues(&self) -> Result<(), LedgerError> {
        for (key, engine) in &self.engines {
            for (work, _) in engine.queue.read_ends() {
                let stage = self.get(work).map(|work| work.stage);
                if stage != Some(Stage::Reading) {
                    let key = *key;
                    return Err(LedgerError::Part { key, work, stage });
                }
            }
        }
        Ok(())
    }
}

/// Returns the values of a load that follow from work alone, with the tolerances sorted.
fn counted(mut load: Load) -> Load {
    for tolerances in [&mut load.tolerances, &mut load.late] {
        tolerances.sort_by(|a, b| a.gap_ms.total_cmp(&b.gap_ms));
    }
    Load {
        backlog_ms: 0.0,
        pace: Pace::CONFIGURED,
        read_ends: Vec::new(),
        ..load
    }
}

/// Returns true if two loads are equal except for the last digits of weights, which depend on the
/// order in which they were added.
fn agree(stored: &Load, recomputed: &Load) -> bool {
    let same = |(a, b): (&Tolerance, &Tolerance)| {
        let near = (a.weight - b.weight).abs() <= WEIGHT_ERROR;
        near && (a.gap_ms, a.writers) == (b.gap_ms, b.writers)
    };
    let all_same =
        |a: &[Tolerance], b: &[Tolerance]| a.len() == b.len() && a.iter().zip(b).all(same);
    let without_tolerances = |load: &Load| Load {
        tolerances: Vec::new(),
        late: Vec::new(),
        ..load.clone()
    };
    let weights = all_same(&stored.tolerances, &recomputed.tolerances);
    weights
        && all_same(&stored.late, &recomputed.late)
        && without_tolerances(stored) == without_tolerances(recomputed)
}

/// Largest accepted difference between two sums of weights: far below the weight of the shortest
/// prompt.
const WEIGHT_ERROR: f64 = 1e-6;
