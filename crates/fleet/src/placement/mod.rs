//! Placement of requests: chooses the engine that writes the answer and the helpers that read the
//! prompt with it, or the replica for a plain call.
//!
//! Load pattern: for some ten seconds long prompts take most of the fleet, and then short ones
//! arrive at several times their usual rate. A long prompt that is read next to short writers makes
//! all of them pause. With a fixed division of the engines, one of the two phases has too few.
//!
//! Reason for the limits: all nodes know the engines in one shared order. Short work is preferred
//! at its front and long work at its end, and each decision considers only its effect on the work
//! that is there. So the division moves with demand, and nodes needn't agree on it. Engines read
//! shared parts newest first, so long prompts wait for engines that read nothing: otherwise those
//! that came first would begin last.
//!
//! Invariants: a decision depends only on its arguments.

mod contention;
mod cost;
mod estimate;
mod memory;
mod plain;
mod price;
mod search;
mod spread;

pub use contention::is_contended;
pub(crate) use estimate::MAX_QUEUED;
pub(crate) use estimate::WRITTEN_SHARE;
pub use memory::needs_helper_memory;
pub use plain::{PlainCandidate, place_plain};
pub use price::Prices;
pub use search::place_engine;

use bluebell_base::prelude::*;

use rustc_hash::FxHashMap;

use crate::ledger::{Load, Loads, ReadingRequest, RecentReading, WorkId};
use crate::replicas::ReplicaKey;

/// Needs of a request that is to be placed on an engine.
#[derive(Clone, Debug, PartialEq)]
pub struct Demand {
    /// The length of the prompt.
    pub prompt_tokens: Tokens,
    /// The highest number of tokens of the answer.
    pub answer_tokens: Tokens,
    /// The longest pause between events that is on time.
    pub gap_ms: SpanMs,
    /// The time within which a first event is on time.
    pub target_ms: f64,
    /// The time left to the target.
    pub target_left_ms: f64,
    /// The time left until the caller gives up waiting for a first event.
    pub caller_timeout_left_ms: f64,
    /// The time left to the deadline.
    pub deadline_left_ms: f64,
    /// The share of the request's weight that its placement may cost. It rises to the whole weight
    /// while the request waits, so that a request with time to spare lets others end first.
    pub cost_limit: f64,
    /// True if the caller already has a part of the answer. The request is then placed wherever it
    /// fits: a stream that breaks off is worse for its caller than one that makes others late.
    pub partly_answered: bool,
    /// True if the request has waited for as long as it may. It is then placed at a reduced price
    /// and may overtake prompts that are being read.
    pub wait_expired: bool,
    /// True if the request was refused before and returns at the moment that it was promised.
    pub returned: bool,
    /// True if the request is of the part of its account's demand beyond the account's share. It is
    /// then placed only where it costs little and is in time.
    pub held: bool,
}

/// An engine that may be given work.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate<'a> {
    /// The engine's key.
    pub key: ReplicaKey,
    /// The engine's work.
    pub load: &'a Load,
    /// The number of requests that the deciding node has there, which moves it on to other engines; 0 for
    /// a node that knows its peers' work.
    pub own_placements: u32,
}

/// Input of a decision: the engines and the work on them.
#[derive(Clone, Debug)]
pub struct Fleet<'a> {
    /// The engines that may be given work, in the order that all nodes share.
    pub candidates: Vec<Candidate<'a>>,
    /// The requests whose prompts are being read.
    pub reading_requests: &'a FxHashMap<WorkId, ReadingRequest>,
    /// The reading that was placed recently.
    pub recent_reading: &'a RecentReading,
    /// The number of nodes that place work here, including this one.
    pub nodes: usize,
    /// A random number for each decision, so that nodes that decide at the same time choose
    /// differently.
    pub draw: u64,
    /// The number of the candidate at which the deciding node's rotation of the shared order begins.
    pub order_start: usize,
    /// How far the random choice between equal engines counts.
    pub spread: Spread,
}

/// How far the random choice between equal engines counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Spread {
    /// By the number of placements that are probably unknown to the deciding node.
    Estimated,
    /// Fully: the node doesn't know what the others place.
    Full,
}

impl<'a> Fleet<'a> {
    /// Collects the input of a decision that may use `engines`, given in the order that all nodes
    /// share.
    pub fn of(
        engines: impl Iterator<Item = ReplicaKey>,
        loads: Loads<'a>,
        nodes: usize,
        draw: u64,
    ) -> Self {
        let candidates = sample(engines.collect(), draw).map(|key| Candidate {
            key,
            load: loads.of(key),
            own_placements: 0,
        });
        Self {
            candidates: candidates.collect(),
            reading_requests: loads.reading_requests,
            recent_reading: loads.recent_reading,
            nodes,
            draw,
            order_start: 0,
            spread: Spread::Estimated,
        }
    }

    /// Replaces the loads of the engines that `loads` contains.
    pub fn with_loads(mut self, loads: &'a FxHashMap<ReplicaKey, Load>) -> Self {
        for candidate in &mut self.candidates {
            candidate.load = loads.get(&candidate.key).unwrap_or(candidate.load);
        }
        self
    }

    /// Makes the random choice between equal engines count fully, and the shared order begin at the point
    /// `order_start`, from 0 to 1.
    pub fn with_full_spread(mut self, order_start: f64) -> Self {
        let count = self.candidates.len();
        self.order_start = ((order_start * count as f64) as usize).min(count.saturating_sub(1));
        self.spread = Spread::Full;
        self
    }

    /// Returns the position of a candidate in the deciding node's rotation of the shared order, from 0 for
    /// the front to 1 for the end.
    fn order_position(&self, at: usize) -> f64 {
        let count = self.candidates.len();
        let rotated = (at + count - self.order_start) % count.max(1);
        rotated as f64 / (count.max(2) - 1) as f64
    }
}

/// Highest number of engines that one decision compares. A larger fleet is sampled evenly over the
/// shared order: the best engine of the sample is about as good as the best of all, and the time of
/// a decision is bounded. With 1,800 engines a decision takes 0.9 ms for a prompt of 45,000 tokens.
const MAX_CANDIDATES: usize = 400;

/// Returns the engines that a decision compares.
fn sample(engines: Vec<ReplicaKey>, draw: u64) -> impl Iterator<Item = ReplicaKey> {
    let count = engines.len();
    let sampled = count.min(MAX_CANDIDATES);
    // Each decision begins at another offset, so that no engine is left out for long.
    let offset = (draw % count.max(1) as u64) as usize % count.div_ceil(MAX_CANDIDATES).max(1);
    let indices = (0..sampled).map(move |n| (offset + n * count / sampled).min(count - 1));
    indices.map(move |at| engines[at])
}

/// Engines chosen for a request, and the timing and load on which the choice was based.
#[derive(Clone, Debug, PartialEq)]
pub struct Placement {
    /// The engine that writes the answer.
    pub first: ReplicaKey,
    /// The engines that read parts of the prompt together with the first.
    pub helpers: Vec<ReplicaKey>,
    /// The memory to reserve at helpers for what the writing engine can't hold.
    pub memory: Vec<(ReplicaKey, Tokens)>,
    /// The time that each of these engines reads, at its configured speed.
    pub part_ms: f64,
    /// The time until the expected first event, from now.
    pub first_event_ms: f64,
    /// The number of requests that the writing engine already had.
    pub writers: u32,
    /// The time that the writing engine still needed for reading.
    pub backlog_ms: f64,
}

/// Reason for not placing a request. In every case the request has not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Refusal {
    /// No replica of the service accepts work.
    #[error("no replica takes work")]
    NoReplica,
    /// This node and the peers that it asked reach no replica of the service.
    #[error("no replica of the service can be reached")]
    Unreachable {
        /// The time after which a retry may succeed.
        retry_after_ms: SpanMs,
    },
    /// The replicas that could run the request are in evacuated failure domains.
    #[error("the failure domains of the replicas are evacuated")]
    Evacuated {
        /// The time after which a domain may have been taken back.
        retry_after_ms: SpanMs,
    },
    /// The prompt is longer than all memory that can be reserved for one.
    #[error("the prompt is longer than the engines' memory")]
    TooLong,
    /// No engine has both a slot and the memory for the request now. Both become free as answers
    /// end.
    #[error("no engine has room for it now")]
    NoRoom {
        /// The time after which a retry may succeed.
        retry_after_ms: SpanMs,
    },
    /// The replicas that could run the request accept only a limited rate of requests, or none for
    /// some time.
    #[error("the replicas take no more requests now")]
    Limited {
        /// The time after which a retry may succeed.
        retry_after_ms: SpanMs,
        /// True if this node may send a request then; otherwise only other nodes may.
        here: bool,
    },
    /// Replicas that ran the request may have crashed under it, and it runs only once at a time.
    #[error("replicas that ran it may have ended, and it is being tried")]
    Suspected {
        /// The time after which the request may be tried again.
        retry_after_ms: SpanMs,
    },
    /// Each replica that ran the request has crashed.
    #[error("each replica that ran it has ended")]
    Quarantined {
        /// The time after which the request may be tried again.
        retry_after_ms: SpanMs,
    },
    /// Each replica that began to answer a prompt with one of its parts has crashed.
    #[error("each replica that began to answer a prompt with its part {part:x} has ended")]
    PartQuarantined {
        /// The id of the part.
        part: u128,
        /// The time after which the part may be tried again.
        retry_after_ms: SpanMs,
    },
    /// Serving the request would cost others more than it gains.
    #[error("the engines are full: the best place costs {cost_pct} % of what it gains")]
    Overloaded {
        /// The cost of the cheapest placement to others and to the request itself, including
        /// prices, in hundredths of the request's weight.
        cost_pct: u32,
        /// True if idle engines could read the prompt within the time left to its target.
        in_time: bool,
        /// The time after which a retry may succeed.
        retry_after_ms: SpanMs,
    },
}
