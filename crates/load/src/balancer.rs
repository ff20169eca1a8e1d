//! Chooses a node for each call, as the platform's balancer would: in turn, skipping those that
//! are not ready.
//!
//! Invariants: where no node is ready, the next in turn is given all the same, so a call is never
//! stuck here.

use bluebell_base::prelude::*;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;

/// Where a node says whether it takes new work.
const READY_PATH: &str = "/readyz";

/// How long a probe may take.
const PROBE_TIMEOUT: Duration = Duration::from_secs(2);

/// One node's address and whether it was last seen ready.
struct Target {
    address: Address,
    ready: AtomicBool,
}

/// The nodes, used in turn.
pub struct Balancer {
    targets: Vec<Target>,
    next: AtomicUsize,
}

impl Balancer {
    /// All nodes count as ready until seen otherwise.
    pub fn new(addresses: &[Address]) -> Self {
        let target = |address: &Address| Target {
            address: address.clone(),
            ready: AtomicBool::new(true),
        };
        Self {
            targets: addresses.iter().map(target).collect(),
            next: AtomicUsize::new(0),
        }
    }

    /// How many nodes there are.
    pub fn len(&self) -> usize {
        self.targets.len()
    }

    /// The next ready node in turn; `avoid` only where no other is ready.
    pub fn next(&self, avoid: Option<&Address>) -> Address {
        let start = self.next.fetch_add(1, Ordering::Relaxed);
        let in_turn = || (0..self.len()).map(|i| &self.targets[(start + i) % self.len()]);
        let fits = |target: &&Target| {
            target.ready.load(Ordering::Relaxed) && Some(&target.address) != avoid
        };
        let chosen = in_turn()
            .find(fits)
            .or_else(|| in_turn().find(|target| Some(&target.address) != avoid));
        let chosen = chosen.unwrap_or(&self.targets[start % self.len()]);
        chosen.address.clone()
    }

    /// A node refused a connection; it is skipped until a probe finds it ready.
    pub fn refused(&self, address: &Address) {
        let found = self
            .targets
            .iter()
            .find(|target| target.address == *address);
        if let Some(target) = found {
            target.ready.store(false, Ordering::Relaxed);
        }
    }

    /// Asks every node whether it is ready.
    pub fn probe(&self, agent: &ureq::Agent) {
        for target in &self.targets {
            let url = format!("http://{}{READY_PATH}", target.address);
            let answer = agent
                .get(url)
                .config()
                .timeout_global(Some(PROBE_TIMEOUT))
                .build()
                .call();
            // A server without that path has no notion of readiness and counts as ready.
            let ready =
                answer.is_ok_and(|answer| matches!(answer.status().as_u16(), 200..300 | 404));
            target.ready.store(ready, Ordering::Relaxed);
        }
    }
}
