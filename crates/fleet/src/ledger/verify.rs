//! Whether what is kept of engines is what their work adds up to.

use rustc_hash::FxHashMap;

use super::{Ledger, Load, Stage, Tolerance, WorkId};
use crate::pace::Pace;
use crate::replicas::ReplicaKey;

/// What is kept wrongly.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum LedgerError {
    /// Something else is kept of an engine than its work adds up to.
    #[error("engine {key} is kept as {kept:?}, its work adds up to {summed:?}")]
    Load {
        /// The engine.
        key: ReplicaKey,
        /// What is kept of it.
        kept: Box<Load>,
        /// What its work adds up to.
        summed: Box<Load>,
    },
    /// A part waits to be read of work that is read, or unknown.
    #[error("a part of {work:?} waits at engine {key}, which is at {stage:?}")]
    Part {
        /// The engine.
        key: ReplicaKey,
        /// The work.
        work: WorkId,
        /// How far the work is, where it is known.
        stage: Option<Stage>,
    },
}

impl Ledger {
    /// Adds all work up afresh, and compares.
    ///
    /// # Errors
    /// [`LedgerError`] for the first thing that differs.
    pub fn verify(&self) -> Result<(), LedgerError> {
        let mut summed: FxHashMap<ReplicaKey, Load> = FxHashMap::default();
        for work in self.works.values().flat_map(FxHashMap::values) {
            for (key, load) in work.shares() {
                summed.entry(key).or_default().add(&load);
            }
        }
        for key in self.engines.keys().chain(summed.keys()) {
            let kept = self.engines.get(key).map(|engine| &engine.load);
            let kept = counted(kept.cloned().unwrap_or_default());
            let summed = counted(summed.get(key).cloned().unwrap_or_default());
            if !agree(&kept, &summed) {
                return Err(LedgerError::Load {
                    key: *key,
                    kept: Box::new(kept),
                    summed: Box::new(summed),
                });
            }
        }
        self.verify_queues()
    }

    fn verify_queues(&self) -> Result<(), LedgerError> {
        for (key, engine) in &self.engines {
            for (work, _) in engine.queue.ends() {
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

/// The parts of a load that follow from work alone, in an order of their own.
fn counted(mut load: Load) -> Load {
    for tolerances in [&mut load.tolerances, &mut load.late] {
        tolerances.sort_by(|a, b| a.gap_ms.total_cmp(&b.gap_ms));
    }
    Load {
        backlog_ms: 0.0,
        pace: Pace::SOUND,
        ends: Vec::new(),
        ..load
    }
}

/// Whether two loads are the same but for the last digits of weights, which depend on the order in
/// which they were added.
fn agree(kept: &Load, summed: &Load) -> bool {
    let same = |(a, b): (&Tolerance, &Tolerance)| {
        let near = (a.weight - b.weight).abs() <= WEIGHT_ERROR;
        near && (a.gap_ms, a.writers) == (b.gap_ms, b.writers)
    };
    let all_same =
        |a: &[Tolerance], b: &[Tolerance]| a.len() == b.len() && a.iter().zip(b).all(same);
    let aside = |load: &Load| Load {
        tolerances: Vec::new(),
        late: Vec::new(),
        ..load.clone()
    };
    let weights = all_same(&kept.tolerances, &summed.tolerances);
    weights && all_same(&kept.late, &summed.late) && aside(kept) == aside(summed)
}

/// The error of a sum of weights: far below the weight of the shortest prompt.
const WEIGHT_ERROR: f64 = 1e-6;
