//! Fairness by work between client accounts, with no weights from operators.
//!
//! Terms: *offered* is the work an account asked for, *admitted* what it got, both as decaying
//! sums of tokens; the *level* is the most that each account may have when what all got is shared
//! out evenly and nobody gets more than it asked for (max-min fairness).
//!
//! An account's *custom* is what it got over a much longer past; it *surges* where it asks for much
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
/// A prompt counts up to this much where surges are looked for, in tokens.
const CAP_TOKENS: f64 = 32_768.0;
/// An account surges that offers so many times its custom.
const SURGE: f64 = 1.5;
/// So many deviations above that may be chance.
const CHANCE: f64 = 2.5;
/// How often the level is computed anew.
const LEVEL_EVERY_MS: SpanMs = SpanMs(1_000);
/// Sums are brought down to the present scale when it has grown by this factor.
const RESCALE: f64 = 1e9;

/// One account's work, in the scale of [`Shares`].
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Work {
    offered: f64,
    admitted: f64,
    /// Offered, each prompt counted up to [`CAP_TOKENS`].
    recent: f64,
    /// Admitted, counted likewise.
    got: f64,
    /// The same over the longer past, in a scale of its own.
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
    /// All accounts' customs, and how many accounts have one.
    customs: f64,
    customers: u32,
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
            customs: 0.0,
            customers: 0,
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
        self.customs = self.work.iter().map(|work| work.custom).sum();
        self.customers = self.work.iter().filter(|work| work.custom > 0.0).count() as u32;
        self.level_ms = None;
    }

    /// Notes work that an account asks for.
    pub fn offer(&mut self, account: AccountId, tokens: f64, now_ms: MonoMs) {
        if self.opened_ms.is_none() {
            self.opened_ms = Some(now_ms);
            self.scale_ms = now_ms;
            self.custom_ms = now_ms;
        }
        let scale = self.scale(now_ms);
        let work = self.work_of(account);
        work.offered += tokens * scale;
        work.recent += tokens.min(CAP_TOKENS) * scale;
    }

    /// Notes work that an account got.
    pub fn admit(&mut self, account: AccountId, tokens: f64, now_ms: MonoMs) {
        let slow = self.custom_scale(now_ms);
        let scale = self.scale(now_ms);
        let work = self.work_of(account);
        work.admitted += tokens * scale;
        let capped = tokens.min(CAP_TOKENS);
        work.got += capped * scale;
        let got = work.got / scale;
        // A surge must not become a custom within minutes.
        if self.seen_ms(now_ms) < DECAY_MS || got <= self.usual(account, slow, now_ms) * SURGE {
            self.add_custom(account, capped * slow);
        }
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

    /// Whether an account asks for much more than its custom now and has got its custom already.
    ///
    /// A node sees few requests of one account, and a single long prompt can be most of its work;
    /// so each prompt counts up to a cap, and the bound leaves room for chance.
    pub fn surges(&mut self, account: AccountId, now_ms: MonoMs) -> bool {
        let slow = self.custom_scale(now_ms);
        let scale = self.scale(now_ms);
        let usual = self.usual(account, slow, now_ms);
        let work = self.work_of(account);
        let chance = CHANCE * (usual * CAP_TOKENS).sqrt() + CAP_TOKENS;
        work.recent / scale > usual * SURGE + chance && work.got / scale > usual * SURGE
    }

    /// What an account may be expected to get in the recent past: its custom, or the mean of all
    /// accounts' where that is more, so that small and new ones have room to grow.
    fn usual(&self, account: AccountId, slow: f64, now_ms: MonoMs) -> f64 {
        let seen_ms = self.seen_ms(now_ms);
        // A sum that has not run for long is not yet as large as its rate will make it.
        let filled = |decay_ms: f64| decay_ms * (1.0 - (-seen_ms / decay_ms).exp());
        let own = self
            .work
            .get(account.index())
            .map_or(0.0, |work| work.custom);
        let mean = self.customs / f64::from(self.customers.max(1));
        own.max(mean) / slow / filled(CUSTOM_MS).max(1.0) * filled(DECAY_MS)
    }

    fn seen_ms(&self, now_ms: MonoMs) -> f64 {
        now_ms.since(self.opened_ms.unwrap_or(now_ms)).0 as f64
    }

    fn add_custom(&mut self, account: AccountId, tokens: f64) {
        let work = self.work_of(account);
        let first = work.custom == 0.0;
        work.custom += tokens;
        self.customs += tokens;
        self.customers += u32::from(first);
    }

    fn custom_scale(&mut self, now_ms: MonoMs) -> f64 {
        let scale = (now_ms.since(self.custom_ms).0 as f64 / CUSTOM_MS).exp();
        if scale < RESCALE {
            return scale;
        }
        for work in &mut self.work {
            work.custom /= scale;
        }
        self.customs /= scale;
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
            work.recent /= scale;
            work.got /= scale;
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
