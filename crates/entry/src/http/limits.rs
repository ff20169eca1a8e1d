//! Limits across all connections: calls in progress and bytes of bodies in memory.
//!
//! Invariants: the amount that a permit took is returned exactly once, when the permit is dropped.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

/// A limited quantity that permits are taken from. It is cheap to clone.
#[derive(Clone, Debug)]
pub(crate) struct Budget {
    taken: Arc<AtomicU64>,
    limit: u64,
}

impl Budget {
    /// Returns a budget of `limit` units.
    pub(crate) fn open(limit: u64) -> Self {
        Self {
            taken: Arc::default(),
            limit,
        }
    }

    /// Takes `amount` units. Returns `None` and takes nothing if that would exceed the limit.
    pub(crate) fn take(&self, amount: u64) -> Option<Permit> {
        let add = |taken: u64| {
            let sum = taken.checked_add(amount)?;
            (sum <= self.limit).then_some(sum)
        };
        let taken = self
            .taken
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, add);
        taken.ok().map(|_| Permit {
            budget: self.clone(),
            amount,
        })
    }

    /// Returns the number of units that are taken.
    pub(crate) fn taken(&self) -> u64 {
        self.taken.load(Ordering::Acquire)
    }
}

/// A part of a budget that is returned when the permit is dropped.
#[derive(Debug)]
pub(crate) struct Permit {
    budget: Budget,
    amount: u64,
}

impl Permit {
    /// Adds `amount` units to this permit. Returns `false` and takes nothing if that would exceed
    /// the limit.
    pub(crate) fn grow(&mut self, amount: u64) -> bool {
        let Some(mut more) = self.budget.take(amount) else {
            return false;
        };
        self.amount += std::mem::take(&mut more.amount);
        true
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.budget.taken.fetch_sub(self.amount, Ordering::AcqRel);
    }
}
