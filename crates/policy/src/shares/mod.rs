//! Fairness by work between client accounts, with no weights from operators.
//!
//! Terms: *offered* is the work an account asked for, *admitted* what it got, both as decaying
//! sums of tokens; the *level* is the most that each account may have when what all got is shared
//! out evenly and nobody gets more than it asked for (max-min fairness).
//!
//! Invariants: an account that asks for less than the level is never over its share, however much
//! the others ask for.

use bluebell_base::prelude::*;
use bluebell_config::FleetConfig;

/// After this long a token counts for 1/e.
const DECAY_MS: f64 = 30_000.0;
/// How often the level is computed anew.
const LEVEL_EVERY_MS: SpanMs = SpanMs(250);
/// The rounds of halving that find the level to about one thousandth.
const LEVEL_ROUNDS: usize = 12;

/// One account's work.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Work {
    offered: f64,
    admitted: f64,
    at_ms: MonoMs,
}

impl Work {
    fn at(self, now_ms: MonoMs) -> Self {
        let decay = (-(now_ms.since(self.at_ms).0 as f64) / DECAY_MS).exp();
        Self {
            offered: self.offered * decay,
            admitted: self.admitted * decay,
            at_ms: now_ms,
        }
    }
}

/// The accounts' work and the level.
#[derive(Debug, Default)]
pub struct Shares {
    names: Vec<AccountName>,
    work: Vec<Work>,
    level: f64,
    level_ms: Option<MonoMs>,
}

impl Shares {
    /// Shares for the configuration's accounts.
    pub fn open(config: &FleetConfig) -> Self {
        let mut shares = Self::default();
        shares.set_config(config);
        shares
    }

    /// Takes a new list of accounts; an account known by name keeps its work, for ids are valid
    /// for one version of the configuration only.
    pub fn set_config(&mut self, config: &FleetConfig) {
        let old = std::mem::take(&mut self.names);
        let work = std::mem::take(&mut self.work);
        for account in &config.accounts {
            let known = old.iter().position(|name| *name == account.name);
            self.work.push(known.map_or(Work::default(), |i| work[i]));
            self.names.push(account.name.clone());
        }
        self.level_ms = None;
    }

    /// Notes work that an account asks for.
    pub fn offer(&mut self, account: AccountId, tokens: f64, now_ms: MonoMs) {
        let work = self.work_of(account);
        *work = work.at(now_ms);
        work.offered += tokens;
    }

    /// Notes work that an account got.
    pub fn admit(&mut self, account: AccountId, tokens: f64, now_ms: MonoMs) {
        let work = self.work_of(account);
        *work = work.at(now_ms);
        work.admitted += tokens;
    }

    /// Takes back work that was admitted and will not be done.
    pub fn give_back(&mut self, account: AccountId, tokens: f64, now_ms: MonoMs) {
        let work = self.work_of(account);
        *work = work.at(now_ms);
        work.admitted = (work.admitted - tokens).max(0.0);
    }

    /// How much an account has compared to the level: over 1, it is over its share.
    pub fn over(&mut self, account: AccountId, now_ms: MonoMs) -> f64 {
        let stale = |at: MonoMs| now_ms.since(at) >= LEVEL_EVERY_MS;
        if self.level_ms.is_none_or(stale) {
            self.level = self.compute_level(now_ms);
            self.level_ms = Some(now_ms);
        }
        let work = self.work_of(account).at(now_ms);
        work.admitted / self.level.max(1.0)
    }

    fn work_of(&mut self, account: AccountId) -> &mut Work {
        if self.work.len() <= account.index() {
            self.work.resize(account.index() + 1, Work::default());
        }
        &mut self.work[account.index()]
    }

    /// Finds the level by halving: what all got, shared out evenly, nobody above what it asked.
    fn compute_level(&mut self, now_ms: MonoMs) -> f64 {
        let mut admitted = 0.0;
        let mut highest: f64 = 0.0;
        for work in &mut self.work {
            *work = work.at(now_ms);
            admitted += work.admitted;
            highest = highest.max(work.offered);
        }
        let (mut low, mut high) = (0.0, highest);
        for _ in 0..LEVEL_ROUNDS {
            let middle = (low + high) / 2.0;
            let filled: f64 = self.work.iter().map(|w| w.offered.min(middle)).sum();
            if filled < admitted {
                low = middle;
            } else {
                high = middle;
            }
        }
        high
    }
}
