//! Keys of accounts and services, the same on all nodes, and an account's decaying sums.

use bluebell_base::prelude::*;
use rustc_hash::FxHasher;
use std::hash::Hasher;

use super::DECAY_MS;
use crate::urgency::LAST_RANK;

/// Number of priorities among which accounts are distinguished, as engines' queues distinguish
/// them.
pub const PRIORITIES: usize = LAST_RANK as usize + 1;

/// A service's key: a hash of its name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServiceKey(pub u64);

/// An account's key: a hash of its name, with the priority of its requests.
///
/// An account whose requests come with several priorities counts as one account for each.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AccountKey {
    /// The hash of the name.
    pub name_hash: u64,
    /// The priority, from 0, the highest, to [`PRIORITIES`] - 1.
    pub priority: u8,
}

impl ServiceKey {
    /// Returns the key of the service called `name`.
    pub fn of(name: &ServiceName) -> Self {
        Self(hash(name.as_str()))
    }
}

impl AccountKey {
    /// Returns the key of the account called `name` for requests of this priority. Priorities
    /// beyond the last that is distinguished count as that one.
    pub fn of(name: &AccountName, priority: u8) -> Self {
        Self {
            name_hash: Self::name_hash(name),
            priority: priority.min(LAST_RANK),
        }
    }

    /// Returns the hash of an account's name.
    pub fn name_hash(name: &AccountName) -> u64 {
        hash(name.as_str())
    }
}

fn hash(name: &str) -> u64 {
    let mut hasher = FxHasher::default();
    hasher.write(name.as_bytes());
    hasher.finish()
}

/// Work of one account, as decaying sums of engine time at one moment.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct AccountWork {
    /// The work that the account asked for.
    pub demand_ms: f64,
    /// The work that was placed for it.
    pub placed_ms: f64,
}

impl AccountWork {
    /// Returns the sums after they have decayed for `age_ms`.
    pub(super) fn decayed(self, age_ms: SpanMs) -> Self {
        self.scaled((-(age_ms.0 as f64) / DECAY_MS).exp())
    }

    /// Returns the sums multiplied by `factor`.
    pub(super) fn scaled(self, factor: f64) -> Self {
        Self {
            demand_ms: self.demand_ms * factor,
            placed_ms: self.placed_ms * factor,
        }
    }

    /// Adds other sums of the same moment.
    pub(super) fn add(&mut self, other: Self) {
        self.demand_ms += other.demand_ms;
        self.placed_ms += other.placed_ms;
    }

    /// Returns the sums without values that no account can have: negative ones, values that aren't
    /// numbers, and values above `max_ms`.
    pub(super) fn plausible(self, max_ms: f64) -> Self {
        let bounded = |value: f64| match value.is_nan() {
            true => 0.0,
            false => value.clamp(0.0, max_ms),
        };
        let demand_ms = bounded(self.demand_ms);
        Self {
            demand_ms,
            placed_ms: bounded(self.placed_ms),
        }
    }
}
