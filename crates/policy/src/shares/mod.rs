//! Fairness by work between client accounts, with no weights from operators.
//!
//! Terms: *offered* is the work an account asked for, *admitted* what it got, both as decaying
//! sums of tokens; the *level* is the most that each account may have when what all got is shared
//! out evenly and nobody gets more than it asked for (max-min fairness).
//!
//! An account's *custom* is what it offered over a much longer past; it *surges* where it offers much
//! more than that now.
//!
//! Invariants: an account that asks for less than the level is never over its share, however much
//! the others ask for.

use bluebell_base::prelude::*;
use bluebell_config::FleetConfig;
use std::collections::HashMap;

/// After this long a token counts for 1/e.
pub const DECAY_MS: f64 = 60_000.0;
/// After this long an offered token counts for 1/e in the custom.
const CUSTOM_MS: f64 = 600_000.0;
/// How often the level is computed anew.
const LEVEL_EVERY_MS: SpanMs = SpanMs(1_000);
/// Sums are brought down to the present scale when it has grown by this factor.
const RESCALE: f64 = 1e9;

/// One account's work, in the scale of [`Shares`].
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Work {
    offered: f64,
    admitted: f64,
    /// Offered over the longer past, in a scale of its own.
    custom: f64,
}

/// The accounts' work and the level.
///
/// Instead of letting all sums decay, new work counts for more and more; the comparison of the sums
/// is the same, and no pass over all accounts is needed but now and then to rescale.
#[derive(Debug)]
pub struct Shares {
    names: Vec<AccountName>,
    work: Vec<Work>,
    opened_ms: Option<MonoMs>,
    scale_ms: MonoMs,
    custom_ms: MonoMs,
    level: f64,
    level_ms: Option<MonoMs>,
}

impl Shares {
    /// Shares for the configuration's accounts.
    pub fn open(config: &FleetConfig) -> Self {
        let mut shares = Self {
            names: Vec::new(),
            work: Vec::new(),
            opened_ms: None,
            scale_ms: MonoMs(0),
            custom_ms: MonoMs(0),
            level: f64::INFINITY,
            level_ms: None,
        };
        shares.set_config(config);
        shares
    }

    /// Takes a new list of accounts; an account known by name keeps its work, for ids are valid
    /// for one version of the configuration only.
    pub fn set_config(&mut self, config: &FleetConfig) {
        let old = std::mem::take(&mut self.names);
        let work = std::mem::take(&mut self.work);
        let known: HashMap<&AccountName, Work> = old.iter().zip(work).collect();
        for account in &config.accounts {
            let work = known.get(&account.name).copied();
            self.work.push(work.unwrap_or_default());
            self.names.push(account.name.clone());
        }
        self.level_ms = None;
    }

    /// Notes work that an account asks for.
    pub fn offer(&mut self, account: AccountId, tokens: f64, now_ms: MonoMs) {
        if self.opened_ms.is_none() {
            self.opened_ms = Some(now_ms);
            self.scale_ms = now_ms;
            self.custom_ms = now_ms;
        }
        let slow = self.custom_scale(now_ms);
        let scale = self.scale(now_ms);
        let work = self.work_of(account);
        work.offered += tokens * scale;
        work.custom += tokens * slow;
    }

    /// Notes work that an account got.
    pub fn admit(&mut self, account: AccountId, tokens: f64, now_ms: MonoMs) {
        let tokens = tokens * self.scale(now_ms);
        self.work_of(account).admitted += tokens;
    }

    /// Takes back work that was admitted and will not be done.
    pub fn give_back(&mut self, account: AccountId, tokens: f64, now_ms: MonoMs) {
        let tokens = tokens * self.scale(now_ms);
        let work = self.work_of(account);
        work.admitted = (work.admitted - tokens).max(0.0);
    }

    /// How much an account has compared to the level: over 1, it is over its share. With `cut`,
    /// the level shares out that part less than what all got.
    pub fn over(&mut self, account: AccountId, cut: f64, now_ms: MonoMs) -> f64 {
        let scale = self.scale(now_ms);
        let stale = |at: MonoMs| now_ms.since(at) >= LEVEL_EVERY_MS;
        if self.level_ms.is_none_or(stale) {
            self.step_level(cut);
            self.level_ms = Some(now_ms);
        }
        let admitted = self.work_of(account).admitted;
        admitted / self.level.max(scale)
    }

    /// How many times its custom an account offers now.
    pub fn surge(&mut self, account: AccountId, now_ms: MonoMs) -> f64 {
        let seen_ms = now_ms.since(self.opened_ms.unwrap_or(now_ms)).0 as f64;
        let slow = self.custom_scale(now_ms);
        let scale = self.scale(now_ms);
        let work = self.work_of(account);
        // A sum that has not run for long is not yet as large as its rate will make it.
        let rate = |sum: f64, decay_ms: f64| sum / decay_ms / (1.0 - (-seen_ms / decay_ms).exp());
        let custom = rate(work.custom / slow, CUSTOM_MS);
        rate(work.offered / scale, DECAY_MS) / custom.max(f64::MIN_POSITIVE)
    }

    fn custom_scale(&mut self, now_ms: MonoMs) -> f64 {
        let scale = (now_ms.since(self.custom_ms).0 as f64 / CUSTOM_MS).exp();
        if scale < RESCALE {
            return scale;
        }
        for work in &mut self.work {
            work.custom /= scale;
        }
        self.custom_ms = now_ms;
        1.0
    }

    fn work_of(&mut self, account: AccountId) -> &mut Work {
        if self.work.len() <= account.index() {
            self.work.resize(account.index() + 1, Work::default());
        }
        &mut self.work[account.index()]
    }

    /// What a token of now counts for.
    fn scale(&mut self, now_ms: MonoMs) -> f64 {
        let scale = (now_ms.since(self.scale_ms).0 as f64 / DECAY_MS).exp();
        if scale < RESCALE {
            return scale;
        }
        for work in &mut self.work {
            work.offered /= scale;
            work.admitted /= scale;
        }
        self.level /= scale;
        self.scale_ms = now_ms;
        1.0
    }

    /// One step of Newton's method to the level at which all that may be had is shared out. What
    /// is shared out grows with the level in straight pieces, so that few steps suffice, and one a
    /// second follows the demand.
    fn step_level(&mut self, cut: f64) {
        let mut admitted = 0.0;
        let mut highest: f64 = 0.0;
        for work in &self.work {
            admitted += work.admitted;
            highest = highest.max(work.offered);
        }
        self.level = self.level.min(highest);
        let wanted = admitted * (1.0 - cut);
        let (mut filled, mut above) = (0.0, 0.0);
        for work in &self.work {
            filled += work.offered.min(self.level);
            above += f64::from(u8::from(work.offered >= self.level));
        }
        self.level = (self.level + (wanted - filled) / f64::max(above, 1.0)).max(0.0);
    }
}
