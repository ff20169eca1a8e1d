//! The list as this node believes it, and the confirmation that an entry's absence needs.
//!
//! Terms: a *listing* is one answer of the platform's list; an entry *vanishes* when enough
//! listings in a row lack it.
//!
//! Why a late or wrong listing does no harm:
//! - An entry that appears too early or stays too long costs a refused connection, which is
//!   certain not to have run anything and is tried elsewhere.
//! - An entry that is missing by mistake is kept until several listings in a row lack it, and
//!   many more where most of the list is missing at once: a list that lost its store answers
//!   with few entries or none. An entry that vanished wrongly comes back with the next right
//!   listing; streams that run on it are not cut by its vanishing.
//!
//! Invariants: a change is reported once; applying the same listing twice changes nothing.

use bluebell_base::prelude::*;
use bluebell_platform::VmEntry;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// How much longer an absence has to last where more than half of the entries are missing.
const MASS_FACTOR: u32 = 20;

/// Entries below which a shrinking list is not taken for a broken one.
const MASS_ENTRIES: usize = 4;

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
        /// Its VM.
        name: VmName,
    },
}

/// The believed list.
#[derive(Clone, Debug, Default)]
pub struct Listing {
    entries: BTreeMap<VmName, VmEntry>,
    missing: BTreeMap<VmName, u32>,
}

impl Listing {
    /// The entries, by name.
    pub fn entries(&self) -> impl Iterator<Item = &VmEntry> {
        self.entries.values()
    }

    /// The entry of that VM.
    pub fn entry(&self, name: &VmName) -> Option<&VmEntry> {
        self.entries.get(name)
    }

    /// How many entries there are.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// What a fetched list changes, absences confirmed; the listing itself is not changed.
    pub fn compare(&mut self, fetched: &[VmEntry], confirmations: u32) -> Vec<ListChange> {
        let mut changes: Vec<ListChange> = Vec::new();
        let mut present = BTreeSet::new();
        for entry in fetched {
            // The first of two entries of one name counts, so that both don't alternate.
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
        let mass = self.entries.len() >= MASS_ENTRIES && absent.len() * 2 > self.entries.len();
        let needed = confirmations * if mass { MASS_FACTOR } else { 1 };
        for name in absent {
            let count = self.missing.entry(name.clone()).or_default();
            *count += 1;
            if *count >= needed {
                changes.push(ListChange::Gone { name });
            }
        }
        changes
    }

    /// What makes this list equal to `entries`, with no absence to be confirmed.
    pub fn replace(&self, entries: Vec<VmEntry>) -> Vec<ListChange> {
        let kept: BTreeSet<&VmName> = entries.iter().map(|e| &e.name).collect();
        let gone = self.entries.keys().filter(|name| !kept.contains(name));
        let gone = gone.map(|name| ListChange::Gone { name: name.clone() });
        let mut changes: Vec<ListChange> = gone.collect();
        let set = entries.into_iter().map(|entry| ListChange::Set { entry });
        changes.extend(set);
        changes
    }

    /// Takes a change over; `false` where it says nothing new.
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
