//! The retry budget: limits retries, by account and by node, to a small share of the admitted
//! requests, so that a failing fleet is not overloaded by retries.

use crate::settings::RequestsSettings;
use std::collections::HashMap;

bluebell_base::define_id! {
    /// A client account's id in the retry budget; stable for the lifetime of the process, while the
    /// configuration's own ids change with its version.
    PayerId(u32) = "payer";
}

/// A token bucket: admitted requests fill it and retries empty it.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Bucket {
    saved: f64,
}

/// The retry budgets of one node and its accounts.
#[derive(Clone, Debug)]
pub struct Budgets {
    share: f64,
    account_burst: f64,
    node_burst: f64,
    node: Bucket,
    accounts: HashMap<PayerId, Bucket>,
}

impl Budgets {
    /// Creates full buckets with the sizes of the settings.
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

    /// Credits the account and the node with a share of a retry for an admitted request.
    pub fn earn(&mut self, account: PayerId) {
        let (share, burst) = (self.share, self.account_burst);
        let bucket = self.account(account);
        bucket.saved = (bucket.saved + share).min(burst);
        self.node.saved = (self.node.saved + self.share).min(self.node_burst);
    }

    /// Takes one retry; returns `false` if the account or the node has none left.
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

    /// Returns the number of retries that the node has left.
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
