//! The list of the largest accounts, for operators.

use crate::node::Node;
use bluebell_base::prelude::*;
use bluebell_fleet::prelude::*;
use bluebell_fleet::shares::MAX_REPORTED;
use rustc_hash::FxHashMap;
use serde::{Deserialize, Serialize};

/// One of the largest accounts, by the work that it asked for.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ListedShare {
    /// The name of the account, or the hash of its name if the configuration in force doesn't have
    /// it.
    pub account: Arc<str>,
    /// The priority of its requests.
    pub priority: u8,
    /// The service whose engines it asked for, or the hash of its name.
    pub service: Arc<str>,
    /// The engine time that it asked for, as a decaying sum in milliseconds.
    pub demand_ms: u64,
    /// The engine time that was placed for it.
    pub placed_ms: u64,
    /// The level of its priority. `None` if no account of the priority asks for more than its share.
    pub level_ms: Option<u64>,
}

/// Lists the accounts with the largest demand, as far as this node knows.
pub fn list(node: &Node) -> Vec<ListedShare> {
    let now_ms = node.now_ms();
    node.with(|state| {
        let largest = state.share_state.shares.largest(MAX_REPORTED, now_ms);
        let config = state.config.as_deref();
        let (accounts, services) = config.map(names).unwrap_or_default();
        let name = |names: &FxHashMap<u64, Arc<str>>, hash: u64| {
            let known = names.get(&hash).cloned();
            known.unwrap_or_else(|| format!("{hash:016x}").into())
        };
        let listed = largest.into_iter().map(|(service, share)| ListedShare {
            account: name(&accounts, share.account.name_hash),
            priority: share.account.priority,
            service: name(&services, service.0),
            demand_ms: share.work.demand_ms as u64,
            placed_ms: share.work.placed_ms as u64,
            level_ms: share.level.finite_ms(),
        });
        listed.collect()
    })
}

/// The names of accounts and of services, by their hashes.
type Names = (FxHashMap<u64, Arc<str>>, FxHashMap<u64, Arc<str>>);

fn names(config: &ServingConfig) -> Names {
    let accounts = config.accounts().map(|account| {
        let hash = AccountKey::name_hash(&account.name);
        (hash, account.name.0.clone())
    });
    let services = config.services().map(|service| {
        let hash = ServiceKey::of(&service.name).0;
        (hash, service.name.0.clone())
    });
    (accounts.collect(), services.collect())
}
