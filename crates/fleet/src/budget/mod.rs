//! Retry budget: limits the number of *repeats* that a node may send, so that all nodes together stay
//! within the operators' limit. A repeat is a further attempt at a request.
//!
//! Load pattern: when replicas fail or lose answers, every request needs a second attempt at once,
//! and the second attempts would double the load on the replicas that are left.
//!
//! Reason for the limit: nodes can't agree on each attempt, least of all when they are cut off from
//! each other. So each node has a share that keeps the sum within the limit whatever the others do:
//! the ratio of its own requests, and its part of the fixed allowance.
//!
//! Invariants: within any window a node's repeats stay within `ratio` of its own requests of that
//! window plus its part of the allowance.

use bluebell_base::prelude::*;
use rustc_hash::FxHashMap;
use std::collections::VecDeque;

/// Share of the allowed ratio that is used. The rest covers requests that reach the replicas in a
/// later window than the one in which they were counted.
const RATIO_USED_SHARE: f64 = 0.7;

/// Share of the fixed allowance that all nodes together use. The rest is for nodes that start or
/// return without being known yet, and that take a part as well.
const ALLOWANCE_USED_SHARE: f64 = 0.6;

/// Limits on repeats that the operators set for all nodes together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryLimits {
    /// The number of repeats allowed for each request.
    pub ratio: f64,
    /// The number of repeats allowed in addition.
    pub allowance: f64,
    /// The window over which both count.
    pub window_ms: SpanMs,
}

#[derive(Debug, Default)]
struct Window {
    requests_at: VecDeque<MonoMs>,
    repeats_at: VecDeque<MonoMs>,
}

impl Window {
    fn expire(&mut self, before_ms: MonoMs) {
        for events in [&mut self.requests_at, &mut self.repeats_at] {
            while events.front().is_some_and(|at_ms| *at_ms < before_ms) {
                events.pop_front();
            }
        }
    }
}

/// This node's share of the retry budget, by service.
#[derive(Debug)]
pub struct RetryBudget {
    limits: RetryLimits,
    windows: FxHashMap<ServiceName, Window>,
}

impl RetryBudget {
    /// Creates a budget within `limits`.
    pub fn new(limits: RetryLimits) -> Self {
        Self {
            limits,
            windows: FxHashMap::default(),
        }
    }

    /// Counts a caller's request for `service`.
    pub fn on_request(&mut self, service: &ServiceName, now_ms: MonoMs) {
        let window = self.windows.entry(service.clone()).or_default();
        window.expire(now_ms - self.limits.window_ms);
        window.requests_at.push_back(now_ms);
    }

    /// Returns true if a node's share, with `nodes` nodes in the fleet, has a repeat left for
    /// `service`.
    pub fn has_left(&mut self, service: &ServiceName, nodes: usize, now_ms: MonoMs) -> bool {
        let window = self.windows.entry(service.clone()).or_default();
        window.expire(now_ms - self.limits.window_ms);
        let own = window.requests_at.len() as f64 * self.limits.ratio * RATIO_USED_SHARE;
        let part = self.limits.allowance * ALLOWANCE_USED_SHARE / nodes.max(1) as f64;
        window.repeats_at.len() as f64 + 1.0 <= own + part
    }

    /// Takes a repeat for `service` from a node's share, with `nodes` nodes in the fleet. Returns
    /// false if none is left.
    pub fn take(&mut self, service: &ServiceName, nodes: usize, now_ms: MonoMs) -> bool {
        if !self.has_left(service, nodes, now_ms) {
            return false;
        }
        if let Some(window) = self.windows.get_mut(service) {
            window.repeats_at.push_back(now_ms);
        }
        true
    }
}
