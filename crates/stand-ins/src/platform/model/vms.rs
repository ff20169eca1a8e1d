//! The list of VMs, on which changes are seen late.

use bluebell_base::prelude::*;
use bluebell_platform::{VmEntry, VmState};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

/// A change of the list of VMs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VmChange {
    /// Adds the VM, or replaces the one of its name.
    Put(VmEntry),
    /// Sets the state of a VM.
    SetState {
        /// Its name.
        name: VmName,
        /// Its new state.
        state: VmState,
    },
    /// Takes a VM off the list.
    Remove(VmName),
}

#[derive(Debug)]
pub(super) struct VmTable {
    lag_ms: SpanMs,
    /// The list without lag.
    truth: BTreeMap<VmName, VmEntry>,
    /// The list as it is seen.
    seen: BTreeMap<VmName, VmEntry>,
    /// Changes not seen yet, the oldest first.
    unseen: VecDeque<UnseenChange>,
}

#[derive(Debug)]
struct UnseenChange {
    seen_ms: u64,
    name: VmName,
    entry: Option<VmEntry>,
}

impl VmTable {
    pub(super) fn new(lag_ms: SpanMs) -> Self {
        Self {
            lag_ms,
            truth: BTreeMap::new(),
            seen: BTreeMap::new(),
            unseen: VecDeque::new(),
        }
    }

    pub(super) fn change(&mut self, now_ms: WallMs, change: VmChange) -> Result<(), Error> {
        let (name, entry) = match change {
            VmChange::Put(entry) => (entry.name.clone(), Some(entry)),
            VmChange::SetState { name, state } => {
                let mut entry = self.known(&name)?;
                entry.state = state;
                (name, Some(entry))
            }
            VmChange::Remove(name) => {
                self.known(&name)?;
                (name, None)
            }
        };
        set(&mut self.truth, &name, entry.clone());
        self.unseen.push_back(UnseenChange {
            seen_ms: now_ms.0 + self.lag_ms.0,
            name,
            entry,
        });
        Ok(())
    }

    pub(super) fn list(&mut self, now_ms: WallMs) -> Vec<VmEntry> {
        while let Some(change) = self.unseen.pop_front_if(|c| c.seen_ms <= now_ms.0) {
            set(&mut self.seen, &change.name, change.entry);
        }
        self.seen.values().cloned().collect()
    }

    fn known(&self, name: &VmName) -> Result<VmEntry, Error> {
        let found = self.truth.get(name).cloned();
        found.ok_or_else(|| Error::not_run(ErrorKind::NotFound, format!("no VM {name}")))
    }
}

fn set(list: &mut BTreeMap<VmName, VmEntry>, name: &VmName, entry: Option<VmEntry>) {
    match entry {
        Some(entry) => list.insert(name.clone(), entry),
        None => list.remove(name),
    };
}
