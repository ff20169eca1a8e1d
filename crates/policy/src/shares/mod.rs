//! Fairness between client accounts, measured in work. Operators set no weights.
//!
//! Terms: *offered* is the work that an account sent, *admitted* the part that was admitted, both
//! as decaying sums of tokens; the *level* is the most that each account may have when the admitted
//! work of all accounts is distributed evenly and none gets more than it offered (max-min
//! fairness). The *long-term* work of an account is its admitted work over a much longer time; an
//! account *surges* if it now offers much more than that.
//!
//! Invariants: an account that offers less than the level is never over its share, however much the
//! others offer.

use bluebell_base::prelude::*;
use bluebell_config::FleetConfig;
use std::collections::HashMap;

/// Time in milliseconds after which a token has the weight 1/e.
pub const DECAY_MS: f64 = 60_000.0;
/// Time in milliseconds after which a token has the weight 1/e in the long-term work.
const LONG_TERM_DECAY_MS: f64 = 600_000.0;
/// Maximum that a prompt counts in the detection of surges, in tokens.
const PROMPT_CAP_TOKENS: f64 = 32_768.0;
/// Multiple of its long-term work above which an account surges.
const SURGE_FACTOR: f64 = 1.5;
/// Number of standard deviations above that which may be random variation.
const SURGE_DEVIATIONS: f64 = 2.5;
/// Interval at which the level is recomputed.
const LEVEL_INTERVAL_MS: SpanMs = SpanMs(1_000);
/// Growth of the scale after which all sums are rescaled.
const RESCALE_FACTOR: f64 = 1e9;

/// The work of one account, in the scale of [`Shares`].
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Work {
    offered: f64,
    admitted: f64,
    /// Offered work, with each prompt counted up to [`PROMPT_CAP_TOKENS`].
    capped_offered: f64,
    /// Admitted work, counted in the same way.
    capped_admitted: f64,
    /// Long-term admitted work, counted in the same way, in a scale of its own.
    long_term: f64,
}

/// The work of all accounts, and the level.
///
/// The sums do not decay. Instead, new work is added with a growing weight. Comparisons between the
/// sums give the same results, and no pass over all accounts is needed except for an occasional
/// rescaling.
#[derive(Debug)]
pub struct Shares {
    names: Vec<AccountName>,
    work: Vec<Work>,
    first_offer_ms: Option<MonoMs>,
    scale_ms: MonoMs,
    long_term_scale_ms: MonoMs,
    /// Sum of the long-term work of all accounts.
    long_term_total: f64,
    /// Number of accounts that have long-term work.
    long_term_accounts: u32,
    level: f64,
    level_computed_ms: Option<MonoMs>,
}

impl Shares {
    /// Creates the shares for the accounts of a configuration.
    pub fn open(config: &FleetConfig) -> Self {
        let mut shares = Self {
            names: Vec::new(),
            work: Vec::new(),
            first_offer_ms: None,
            scale_ms: MonoMs(0),
            long_term_scale_ms: MonoMs(0),
            long_term_total: 0.0,
            long_term_accounts: 0,
            level: f64::INFINITY,
            level_computed_ms: None,
        };
        shares.set_config(config);
        shares
    }

    /// Replaces the list of accounts. Accounts keep their work by name, because ids are valid for
    /// one version of the configuration only.
    pub fn set_config(&mut self, config: &FleetConfig) {
        let old = std::mem::take(&mut self.names);
        let work = std::mem::take(&mut self.work);
        let known: HashMap<&AccountName, Work> = old.iter().zip(work).collect();
        for account in &config.accounts {
            let work = known.get(&account.name).copied();
            self.work.push(work.unwrap_or_default());
            self.names.push(account.name.clone());
        }
        self.long_term_total = self.work.iter().map(|work| work.long_term).sum();
        self.long_term_accounts =
            self.work.iter().filter(|work| work.long_term > 0.0).count() as u32;
        self.level_computed_ms = None;
    }

    /// Records work that an account sent.
    pub fn offer(&mut self, account: AccountId, tokens: f64, now_ms: MonoMs) {
        if self.first_offer_ms.is_none() {
            self.first_offer_ms = Some(now_ms);
            self.scale_ms = now_ms;
            self.long_term_scale_ms = now_ms;
        }
        let scale = self.scale(now_ms);
        let work = self.work_of(account);
        work.offered += tokens * scale;
        work.capped_offered += tokens.min(PROMPT_CAP_TOKENS) * scale;
    }

    /// Records work that was admitted for an account.
    pub fn admit(&mut self, account: AccountId, tokens: f64, now_ms: MonoMs) {
        let long_term_scale = self.long_term_scale(now_ms);
        let scale = self.scale(now_ms);
        let work = self.work_of(account);
        work.admitted += tokens * scale;
        let capped = tokens.min(PROMPT_CAP_TOKENS);
        work.capped_admitted += capped * scale;
        let capped_admitted = work.capped_admitted / scale;
        // A surge must not become long-term work within minutes.
        if self.observed_ms(now_ms) < DECAY_MS
            || capped_admitted
                <= self.expected_tokens(account, long_term_scale, now_ms) * SURGE_FACTOR
        {
            self.add_long_term(account, capped * long_term_scale);
        }
    }

    /// Subtracts work that was admitted and will not be done.
    pub fn give_back(&mut self, account: AccountId, tokens: f64, now_ms: MonoMs) {
        let tokens = tokens * self.scale(now_ms);
        let work = self.work_of(account);
        work.admitted = (work.admitted - tokens).max(0.0);
    }

    /// Returns the ratio of an account's admitted work to the level. Above 1, the account is over
    /// its share. `cut` is the part of the admitted work of all accounts that the level does not
    /// distribute.
    pub fn ratio_to_level(&mut self, account: AccountId, cut: f64, now_ms: MonoMs) -> f64 {
        let scale = self.scale(now_ms);
        let stale = |at: MonoMs| now_ms.since(at) >= LEVEL_INTERVAL_MS;
        if self.level_computed_ms.is_none_or(stale) {
            self.step_level(cut);
            self.level_computed_ms = Some(now_ms);
        }
        let admitted = self.work_of(account).admitted;
        admitted / self.level.max(scale)
    }

    /// Returns true if an account now offers much more than its long-term work and has already been
    /// admitted as much as that.
    ///
    /// A node receives few requests of one account, and a single long prompt can be most of its
    /// work. Therefore each prompt counts up to a cap, and the bound allows for random variation.
    pub fn is_surging(&mut self, account: AccountId, now_ms: MonoMs) -> bool {
        let long_term_scale = self.long_term_scale(now_ms);
        let scale = self.scale(now_ms);
        let expected_tokens = self.expected_tokens(account, long_term_scale, now_ms);
        let work = self.work_of(account);
        let chance =
            SURGE_DEVIATIONS * (expected_tokens * PROMPT_CAP_TOKENS).sqrt() + PROMPT_CAP_TOKENS;
        work.capped_offered / scale > expected_tokens * SURGE_FACTOR + chance
            && work.capped_admitted / scale > expected_tokens * SURGE_FACTOR
    }

    /// Returns the admitted work to be expected of an account in the recent past. It follows from
    /// the account's long-term work, or from the mean of all accounts if that is larger, so that
    /// small and new accounts can grow.
    fn expected_tokens(&self, account: AccountId, long_term_scale: f64, now_ms: MonoMs) -> f64 {
        let observed_ms = self.observed_ms(now_ms);
        // A sum that started recently has not yet reached the value that its rate leads to.
        let filled = |decay_ms: f64| decay_ms * (1.0 - (-observed_ms / decay_ms).exp());
        let own = self
            .work
            .get(account.index())
            .map_or(0.0, |work| work.long_term);
        let mean = self.long_term_total / f64::from(self.long_term_accounts.max(1));
        own.max(mean) / long_term_scale / filled(LONG_TERM_DECAY_MS).max(1.0) * filled(DECAY_MS)
    }

    fn observed_ms(&self, now_ms: MonoMs) -> f64 {
        now_ms.since(self.first_offer_ms.unwrap_or(now_ms)).0 as f64
    }

    fn add_long_term(&mut self, account: AccountId, tokens: f64) {
        let work = self.work_of(account);
        let first = work.long_term == 0.0;
        work.long_term += tokens;
        self.long_term_total += tokens;
        self.long_term_accounts += u32::from(first);
    }

    fn long_term_scale(&mut self, now_ms: MonoMs) -> f64 {
        let scale = (now_ms.since(self.long_term_scale_ms).0 as f64 / LONG_TERM_DECAY_MS).exp();
        if scale < RESCALE_FACTOR {
            return scale;
        }
        for work in &mut self.work {
            work.long_term /= scale;
        }
        self.long_term_total /= scale;
        self.long_term_scale_ms = now_ms;
        1.0
    }

    fn work_of(&mut self, account: AccountId) -> &mut Work {
        if self.work.len() <= account.index() {
            self.work.resize(account.index() + 1, Work::default());
        }
        &mut self.work[account.index()]
    }

    /// Returns the current weight of a token.
    fn scale(&mut self, now_ms: MonoMs) -> f64 {
        let scale = (now_ms.since(self.scale_ms).0 as f64 / DECAY_MS).exp();
        if scale < RESCALE_FACTOR {
            return scale;
        }
        for work in &mut self.work {
            work.offered /= scale;
            work.admitted /= scale;
            work.capped_offered /= scale;
            work.capped_admitted /= scale;
        }
        self.level /= scale;
        self.scale_ms = now_ms;
        1.0
    }

    /// Moves the level by one step of Newton's method towards the value at which all of the
    /// available work is distributed. The distributed work is a piecewise linear function of the
    /// level. Few steps are therefore enough, and one per second follows the demand.
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
