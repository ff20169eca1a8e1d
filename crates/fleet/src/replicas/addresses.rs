//! The replicas that claim each address, and those that another one has displaced.
//!
//! Terms: an entry *claims* the address that it states. If several do, the replica whose entry was written
//! last has the address, and the others are *displaced*: they ended before the address was given away.
//!
//! Invariants: among the replicas of configured services, exactly one of those that claim an address isn't
//! displaced; a replica of another service neither displaces one nor is displaced.

use super::ReplicaKey;
use crate::directory::Cursor;
use rustc_hash::{FxHashMap, FxHashSet};
use std::net::SocketAddr;

/// A replica's claim to an address.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Claim {
    pub key: ReplicaKey,
    /// The position at which the entry was written.
    pub written_at: Cursor,
    /// True if the configuration names the replica's service.
    pub configured: bool,
}

/// All claims, by address.
#[derive(Debug, Default)]
pub(super) struct Addresses {
    /// The claims to each address, in the order in which they became known.
    claims: FxHashMap<SocketAddr, Vec<Claim>>,
    displaced: FxHashSet<ReplicaKey>,
}

impl Addresses {
    /// Adds a claim, or renews the one that the replica has. A renewed claim is never older than before.
    pub fn claim_at(&mut self, address: SocketAddr, claim: Claim) {
        let claims = self.claims.entry(address).or_default();
        match claims.iter_mut().find(|known| known.key == claim.key) {
            Some(known) => {
                known.written_at = known.written_at.max(claim.written_at);
                known.configured = claim.configured;
            }
            None => claims.push(claim),
        }
        self.settle(address);
    }

    /// Removes a replica's claim. Another replica may have the address then.
    pub fn release(&mut self, address: SocketAddr, key: ReplicaKey) {
        if let Some(claims) = self.claims.get_mut(&address) {
            claims.retain(|claim| claim.key != key);
            self.displaced.remove(&key);
            self.settle(address);
        }
    }

    /// Returns a replica's claim.
    pub fn claim(&self, address: SocketAddr, key: ReplicaKey) -> Option<&Claim> {
        let claims = self.claims.get(&address)?;
        claims.iter().find(|claim| claim.key == key)
    }

    /// Sets which replicas belong to configured services.
    pub fn set_configured(&mut self, is_configured: impl Fn(ReplicaKey) -> bool) {
        for claim in self.claims.values_mut().flatten() {
            claim.configured = is_configured(claim.key);
        }
        let contested = self.claims.iter().filter(|(_, claims)| claims.len() > 1);
        let contested: Vec<SocketAddr> = contested.map(|(address, _)| *address).collect();
        for address in contested {
            self.settle(address);
        }
    }

    /// Returns true if another replica of a configured service has this replica's address.
    pub fn is_displaced(&self, key: ReplicaKey) -> bool {
        self.displaced.contains(&key)
    }

    /// Returns the number of displaced replicas.
    pub fn displaced_count(&self) -> usize {
        self.displaced.len()
    }

    /// Returns the replica of a configured service that has an address.
    pub fn occupant(&self, address: SocketAddr) -> Option<ReplicaKey> {
        let configured = self.claims_at(address).filter(|claim| claim.configured);
        last_written(configured)
    }

    /// Returns the replicas that were displaced from an address.
    pub fn displaced_at(&self, address: SocketAddr) -> impl Iterator<Item = ReplicaKey> {
        let keys = self.claims_at(address).map(|claim| claim.key);
        keys.filter(|key| self.is_displaced(*key))
    }

    /// Returns the replica of any service whose entry for an address was written last.
    pub fn last_at(&self, address: SocketAddr) -> Option<ReplicaKey> {
        last_written(self.claims_at(address))
    }

    fn claims_at(&self, address: SocketAddr) -> impl Iterator<Item = &Claim> {
        self.claims.get(&address).into_iter().flatten()
    }

    /// Determines which of the replicas that claim an address are displaced.
    fn settle(&mut self, address: SocketAddr) {
        let occupant = self.occupant(address);
        let Some(claims) = self.claims.get(&address) else {
            return;
        };
        for claim in claims {
            match claim.configured && Some(claim.key) != occupant {
                true => self.displaced.insert(claim.key),
                false => self.displaced.remove(&claim.key),
            };
        }
        if claims.is_empty() {
            self.claims.remove(&address);
        }
    }
}

/// Returns the replica of the claim that was written last; of claims without a known position the one that
/// became known last.
fn last_written<'a>(claims: impl Iterator<Item = &'a Claim>) -> Option<ReplicaKey> {
    let last = claims.max_by_key(|claim| claim.written_at);
    last.map(|claim| claim.key)
}
