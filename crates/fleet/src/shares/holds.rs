//! The accounts that are held now, for the operators' log.
//!
//! Invariants: each account has at most one begin and one end within [`HOLD_END_MS`], however often
//! contention comes and goes.

use bluebell_base::prelude::*;
use rustc_hash::FxHashMap;

use super::account::{AccountKey, ServiceKey};

/// Time without a held request after which an account is no longer held. Contention ends and begins
/// again within some 100 ms while slots near their limit are taken and become free.
const HOLD_END_MS: SpanMs = SpanMs(2_000);

/// An account that is held on a service.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Hold {
    /// The service.
    pub service: ServiceKey,
    /// The account's key.
    pub account: AccountKey,
    /// The account's name.
    pub name: AccountName,
}

/// The effect of a held request on the list of held accounts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HoldChange {
    /// The account wasn't held before.
    Begun,
    /// The account was held already.
    Known,
}

/// The accounts of which requests were held recently.
#[derive(Debug, Default)]
pub struct Holds {
    held: FxHashMap<Hold, MonoMs>,
}

impl Holds {
    /// Records that a request of an account is held.
    pub fn on_held(&mut self, hold: &Hold, now_ms: MonoMs) -> HoldChange {
        match self.held.insert(hold.clone(), now_ms) {
            Some(_) => HoldChange::Known,
            None => HoldChange::Begun,
        }
    }

    /// Removes and returns the accounts that are no longer held.
    pub fn expire(&mut self, now_ms: MonoMs) -> Vec<Hold> {
        let is_over = |at_ms: &MonoMs| now_ms.since(*at_ms) >= HOLD_END_MS;
        let ended = self.held.iter().filter(|(_, at_ms)| is_over(at_ms));
        let ended: Vec<Hold> = ended.map(|(hold, _)| hold.clone()).collect();
        self.held.retain(|_, at_ms| !is_over(at_ms));
        ended
    }
}
