//! The retry budget: how many second tries a node may send, so that all nodes together stay below
//! what the operators allow.
//!
//! Load pattern: when replicas fail or lose answers, every request asks for a second try at once,
//! and the second tries would double the load on the replicas that are left.
//!
//! Reason for the limit: nodes can't agree on each try, least of all when they are cut off from
//! each other. So each takes a share that can't exceed the whole whatever the others do: the ratio
//! of its own requests, and its part of the fixed allowance.
//!
//! Invariants: within any window a node's repeats stay within `ratio` of its own requests of that
//! window plus its part of the allowance.

use bluebell_base::prelude::*;
use rustc_hash::FxHashMap;
use std::collections::VecDeque;

/// The part of the allowed ratio that is used. The rest covers requests that reach the replicas of
/// a window later than they were counted.
const RATIO_USED: f64 = 0.7;

/// The part of the fixed allowance that all nodes together use; the rest is for nodes that start or
/// return unseen and take a part as well.
const ALLOWANCE_USED: f64 = 0.6;

/// The limits that the operators set for all nodes together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryLimits {
    /// Repeats allowed for each request.
    pub ratio: f64,
    /// Repeats allowed beside.
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
    /// A budget within `limits`.
    pub fn new(limits: RetryLimits) -> Self {
        Self {
            limits,
            windows: FxHashMap::default(),
        }
    }

    /// Counts a request of a caller for `service`.
    pub fn on_request(&mut self, service: &ServiceName, now_ms: MonoMs) {
        let window = self.windows.entry(service.clone()).or_default();
        window.expire(now_ms - self.limits.window_ms);
        window.requests_at.push_back(now_ms);
    }

    /// Whether the share of one of `nodes` nodes still has a repeat for `service`.
    pub fn has_left(&mut self, service: &ServiceName, nodes: usize, now_ms: MonoMs) -> bool {
        let window = self.windows.entry(service.clone()).or_default();
        window.expire(now_ms - self.limits.window_ms);
        let own = window.requests_at.len() as f64 * self.limits.ratio * RATIO_USED;
        let part = self.limits.allowance * ALLOWANCE_USED / nodes.max(1) as f64;
        window.repeats_at.len() as f64 + 1.0 <= own + part
    }

    /// Takes a repeat for `service` where the share of one of `nodes` nodes still has one.
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
