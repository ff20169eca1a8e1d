//! The list as known to this node, and the confirmation of absent entries.
//!
//! Terms: a *listing* is one answer of the platform's list; an entry *vanishes* when enough
//! listings in a row lack it.
//!
//! A late or wrong listing does no harm:
//! - An entry that appears too early or stays too long costs a refused connection. Such a request
//!   has certainly not run and is sent to another upstream.
//! - An entry that is missing by mistake is kept until several listings in a row lack it, and
//!   many more if most of the list is missing at once: a platform that lost the store of its list
//!   answers with few entries or none. An entry that vanished wrongly returns with the next correct
//!   listing, and streams that run on it are not cut when it vanishes.
//!
//! Invariants: a change is reported once; applying the same listing twice changes nothing.

use bluebell_base::prelude::*;
use bluebell_platform::VmEntry;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// The factor by which more listings must lack an entry if more than half of all entries are missing.
const MASS_ABSENCE_FACTOR: u32 = 20;

/// The number of entries below which a mass absence is not assumed to be an error of the list.
const MIN_MASS_ABSENCE_ENTRIES: usize = 4;

/// A difference between two states of the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "change", rename_all = "snake_case")]
pub enum ListChange {
    /// An entry is new or changed.
    Set {
        /// The entry as it is now.
        entry: VmEntry,
    },
    /// An entry vanished.
    Gone {
        /// The entry's VM.
        name: VmName,
    },
}

/// The list as known to this node.
#[derive(Clone, Debug, Default)]
pub struct Listing {
    entries: BTreeMap<VmName, VmEntry>,
    missing: BTreeMap<VmName, u32>,
}

impl Listing {
    /// Returns the entries, sorted by name.
    pub fn entries(&self) -> impl Iterator<Item = &VmEntry> {
        self.entries.values()
    }

    /// Returns the entry of a VM.
    pub fn entry(&self, name: &VmName) -> Option<&VmEntry> {
        self.entries.get(name)
    }

    /// Returns the number of entries.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns true if there are no entries.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the changes that a fetched list makes, with absences that `confirmations` listings in a
    /// row confirm. Counts absences but does not apply the changes.
    pub fn compare(&mut self, fetched: &[VmEntry], confirmations: u32) -> Vec<ListChange> {
        let mut changes: Vec<ListChange> = Vec::new();
        let mut present = BTreeSet::new();
        for entry in fetched {
            // Of two entries with the same name only the first is used, so that they don't
            // alternate.
            if present.insert(&entry.name) && self.entries.get(&entry.name) != Some(entry) {
                let entry = entry.clone();
                changes.push(ListChange::Set { entry });
            }
        }
        let absent: Vec<VmName> = self
            .entries
            .keys()
            .filter(|name| !present.contains(name))
            .cloned()
            .collect();
        self.missing.retain(|name, _| absent.contains(name));
        let mass =
            self.entries.len() >= MIN_MASS_ABSENCE_ENTRIES && absent.len() * 2 > self.entries.len();
        let needed = confirmations * if mass { MASS_ABSENCE_FACTOR } else { 1 };
        for name in absent {
            let count = self.missing.entry(name.clone()).or_default();
            *count += 1;
            if *count >= needed {
                changes.push(ListChange::Gone { name });
            }
        }
        changes
    }

    /// Returns the changes that make this list equal to `entries`, without confirmation of absences.
    pub fn replace(&self, entries: Vec<VmEntry>) -> Vec<ListChange> {
        let kept: BTreeSet<&VmName> = entries.iter().map(|e| &e.name).collect();
        let gone = self.entries.keys().filter(|name| !kept.contains(name));
        let gone = gone.map(|name| ListChange::Gone { name: name.clone() });
        let mut changes: Vec<ListChange> = gone.collect();
        let set = entries.into_iter().map(|entry| ListChange::Set { entry });
        changes.extend(set);
        changes
    }

    /// Applies a change. Returns false if it had no effect.
    pub fn apply(&mut self, change: &ListChange) -> bool {
        match change {
            ListChange::Set { entry } => {
                self.missing.remove(&entry.name);
                let before = self.entries.insert(entry.name.clone(), entry.clone());
                before.as_ref() != Some(entry)
            }
            ListChange::Gone { name } => {
                self.missing.remove(name);
                self.entries.remove(name).is_some()
            }
        }
    }
}
