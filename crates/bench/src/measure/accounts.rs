//! The measurements of each client account.

use bluebell_base::prelude::*;
use serde::Serialize;

/// The measurements of the accounts.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct AccountReport {
    /// Jain's index over the shares of work within target: 1 where all fare alike.
    pub jain: f64,
    /// The worst account's share of requests that missed their target, refused ones included.
    pub worst_miss: f64,
    /// The share of requests that missed their target, by account.
    pub miss: Vec<f64>,
}

/// One account's requests.
#[derive(Clone, Copy, Debug, Default)]
struct Row {
    arrived: u64,
    within: u64,
    offered_tokens: u64,
    within_tokens: u64,
}

/// The accounts' requests.
pub(super) struct AccountTally {
    rows: Vec<Row>,
}

impl AccountTally {
    pub fn new(accounts: usize) -> Self {
        Self {
            rows: vec![Row::default(); accounts],
        }
    }

    pub fn add(&mut self, account: AccountId, tokens: u64, within: bool) {
        let row = &mut self.rows[account.index()];
        row.arrived += 1;
        row.offered_tokens += tokens;
        if within {
            row.within += 1;
            row.within_tokens += tokens;
        }
    }

    pub fn report(&self) -> AccountReport {
        let some = || self.rows.iter().filter(|row| row.arrived > 0);
        let served = |row: &Row| row.within_tokens as f64 / row.offered_tokens.max(1) as f64;
        let sum: f64 = some().map(served).sum();
        let squares: f64 = some().map(|row| served(row).powi(2)).sum();
        let count = some().count() as f64;
        let jain = if squares > 0.0 {
            sum * sum / (count * squares)
        } else {
            1.0
        };
        let missed = |row: &Row| 1.0 - row.within as f64 / row.arrived.max(1) as f64;
        let miss: Vec<f64> = self.rows.iter().map(missed).collect();
        AccountReport {
            jain,
            worst_miss: miss.iter().copied().fold(0.0, f64::max),
            miss,
        }
    }
}
