//! The parts of prompts on which answers have begun at this node.

use crate::part::PartId;
use bluebell_base::prelude::*;
use rustc_hash::FxHashMap;

/// The maximum number of parts that are kept. Those not served for longest are removed.
const MAX_PARTS: usize = 4_096;

/// The last time at which an answer began on each part.
#[derive(Debug, Default)]
pub(super) struct ServedParts {
    began_ms: FxHashMap<PartId, MonoMs>,
    /// The last time at which an answer began on a prompt that shares nothing.
    unshared_ms: Option<MonoMs>,
}

impl ServedParts {
    /// Records that an answer to a prompt with these parts began.
    pub fn note(&mut self, parts: &[PartId], began_ms: MonoMs) {
        if parts.is_empty() {
            self.unshared_ms = self.unshared_ms.max(Some(began_ms));
        }
        for part in parts {
            let known = self.began_ms.entry(*part).or_insert(began_ms);
            *known = began_ms.max(*known);
        }
        if self.began_ms.len() > MAX_PARTS {
            self.remove_older_half();
        }
    }

    /// Returns the last time at which an answer began on a part.
    pub fn last_ms(&self, part: &PartId) -> Option<MonoMs> {
        self.began_ms.get(part).copied()
    }

    /// Returns the last time at which an answer began on a prompt without the part, as far as it is known. An
    /// answer on which this part and another began at the same time isn't one.
    pub fn last_without_ms(&self, part: &PartId) -> Option<MonoMs> {
        let own_ms = self.last_ms(part);
        let others = self.began_ms.iter().filter(|(other, _)| *other != part);
        let others = others.map(|(_, began_ms)| *began_ms);
        let others = others.filter(|began_ms| Some(*began_ms) != own_ms);
        others.chain(self.unshared_ms).max()
    }

    fn remove_older_half(&mut self) {
        let mut times: Vec<MonoMs> = self.began_ms.values().copied().collect();
        times.sort_unstable();
        let median_ms = times[times.len() / 2];
        self.began_ms.retain(|_, began_ms| *began_ms > median_ms);
    }
}
