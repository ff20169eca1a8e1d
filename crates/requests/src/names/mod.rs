//! Small integer ids for names, stable for the lifetime of the process.
//!
//! The positions in the configuration change with each version, but the policy keeps what it
//! learned by account, class and model across versions. So ids are assigned here in the order of
//! first use and never reused.

use std::collections::HashMap;
use std::hash::Hash;

/// Assigns each name an index, counted from 0.
#[derive(Clone, Debug)]
pub struct Names<N> {
    by_name: HashMap<N, u32>,
    names: Vec<N>,
}

impl<N> Default for Names<N> {
    fn default() -> Self {
        Self {
            by_name: HashMap::new(),
            names: Vec::new(),
        }
    }
}

impl<N: Clone + Eq + Hash> Names<N> {
    /// Returns the name's index and assigns one on first use.
    pub fn intern(&mut self, name: &N) -> u32 {
        if let Some(&index) = self.by_name.get(name) {
            return index;
        }
        let index = self.names.len() as u32;
        self.names.push(name.clone());
        self.by_name.insert(name.clone(), index);
        index
    }

    /// Returns the name's index if one was assigned.
    pub fn get(&self, name: &N) -> Option<u32> {
        self.by_name.get(name).copied()
    }

    /// Returns the name of an index.
    pub fn name(&self, index: u32) -> Option<&N> {
        self.names.get(index as usize)
    }
}
