//! The retry budget: retries are a small share of the requests admitted, by account and by node,
//! so that a failing fleet isn't brought down by its own retries.

use crate::settings::RequestsSettings;
use std::collections::HashMap;

bluebell_base::define_id! {
    /// A client account as the budget counts it; the same for the life of the process, where the
    /// configuration's own ids change with its version.
    PayerId(u32) = "payer";
}

/// A token bucket that requests fill and retries empty.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Bucket {
    saved: f64,
}

/// The budgets of one node.
#[derive(Clone, Debug)]
pub struct Budgets {
    share: f64,
    account_burst: f64,
    node_burst: f64,
    node: Bucket,
    accounts: HashMap<PayerId, Bucket>,
}

impl Budgets {
    /// Full buckets by the settings.
    pub fn new(settings: &RequestsSettings) -> Self {
        Self {
            share: settings.retry_share,
            account_burst: settings.retry_account_burst,
            node_burst: settings.retry_node_burst,
            node: Bucket {
                saved: settings.retry_node_burst,
            },
            accounts: HashMap::new(),
        }
    }

    /// A request was admitted: its account and the node earn a share of a retry.
    pub fn earn(&mut self, account: PayerId) {
        let (share, burst) = (self.share, self.account_burst);
        let bucket = self.account(account);
        bucket.saved = (bucket.saved + share).min(burst);
        self.node.saved = (self.node.saved + self.share).min(self.node_burst);
    }

    /// Takes one retry; `false` where the account or the node has none left.
    pub fn take(&mut self, account: PayerId) -> bool {
        let node_has = self.node.saved >= 1.0;
        let bucket = self.account(account);
        if !node_has || bucket.saved < 1.0 {
            return false;
        }
        bucket.saved -= 1.0;
        self.node.saved -= 1.0;
        true
    }

    /// The node's retries left.
    pub fn node_left(&self) -> f64 {
        self.node.saved
    }

    fn account(&mut self, account: PayerId) -> &mut Bucket {
        let burst = self.account_burst;
        self.accounts
            .entry(account)
            .or_insert(Bucket { saved: burst })
    }
}
