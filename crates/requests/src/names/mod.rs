//! Small integers for names, stable for the life of the process.
//!
//! The configuration's own positions change with each version, but the policy keeps what it
//! learned by account, class and model across versions; so ids are given out here, in the order
//! of first sight, and never given away again.

use std::collections::HashMap;
use std::hash::Hash;

/// Gives each name an index, counted from 0.
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
    /// The name's index, new where it is first seen.
    pub fn intern(&mut self, name: &N) -> u32 {
        if let Some(&index) = self.by_name.get(name) {
            return index;
        }
        let index = self.names.len() as u32;
        self.names.push(name.clone());
        self.by_name.insert(name.clone(), index);
        index
    }

    /// The name's index, where it was seen before.
    pub fn get(&self, name: &N) -> Option<u32> {
        self.by_name.get(name).copied()
    }

    /// The name of an index given out here.
    pub fn name(&self, index: u32) -> Option<&N> {
        self.names.get(index as usize)
    }
}
