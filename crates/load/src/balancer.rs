//! Selects a node for each call as the platform's load balancer does: in turn, without those that
//! are not ready.
//!
//! Invariants: if no node is ready, the next in turn is selected nevertheless, so that a call never
//! blocks here.

use bluebell_base::prelude::*;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;

/// The path at which a node reports whether it accepts new work.
const READY_PATH: &str = "/readyz";

/// The timeout for a readiness probe.
const PROBE_TIMEOUT: Duration = Duration::from_secs(2);

/// The address of one node and its readiness as last observed.
struct Target {
    address: Address,
    ready: AtomicBool,
}

/// A round-robin selection of nodes.
pub struct Balancer {
    targets: Vec<Target>,
    next: AtomicUsize,
}

impl Balancer {
    /// Creates a balancer for these nodes. All count as ready until a call or probe shows
    /// otherwise.
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

    /// Returns the number of nodes.
    pub fn len(&self) -> usize {
        self.targets.len()
    }

    /// Returns the next ready node in turn other than `avoid`. If there is none, returns the next
    /// one in turn other than `avoid`, or `avoid` itself if it is the only node.
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

    /// Records that a node refused a connection. It is skipped until a probe finds it ready.
    pub fn on_refused(&self, address: &Address) {
        let found = self
            .targets
            .iter()
            .find(|target| target.address == *address);
        if let Some(target) = found {
            target.ready.store(false, Ordering::Relaxed);
        }
    }

    /// Probes the readiness of every node.
    pub fn probe(&self, agent: &ureq::Agent) {
        for target in &self.targets {
            let url = format!("http://{}{READY_PATH}", target.address);
            let answer = agent
                .get(url)
                .config()
                .timeout_global(Some(PROBE_TIMEOUT))
                .build()
                .call();
            // A server without this path doesn't report readiness and counts as ready.
            let ready =
                answer.is_ok_and(|answer| matches!(answer.status().as_u16(), 200..300 | 404));
            target.ready.store(ready, Ordering::Relaxed);
        }
    }
}
