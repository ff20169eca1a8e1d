//! Where a request runs: the engine that writes it and those that help to read it, or the replica
//! that answers a plain call.
//!
//! Load pattern: for some ten seconds long prompts take most of the fleet, then short ones come at
//! several times their usual rate. A long prompt read next to short writers makes all of them
//! pause; kept apart by a fixed border, one of the two phases has too few engines.
//!
//! Reason for the limits: all nodes know the engines in one shared order. Short work is drawn to
//! its front and long work to its back, and each looks only at what it would do to the work that is
//! there. So the border moves with demand, and nobody has to agree on it.
//! Engines read shared parts newest first, so long prompts wait for engines that read nothing: placed
//! over each other, those that came first would begin last.
//!
//! Invariants: a decision depends only on its arguments.

mod cost;
mod memory;
mod plain;
mod price;
mod search;
mod spread;
mod survey;

pub use memory::needs_helper_memory;
pub use plain::{PlainCandidate, place_plain};
pub use price::Prices;
pub use search::place_engine;

use bluebell_base::prelude::*;

use rustc_hash::FxHashMap;

use crate::ledger::{Load, Loads, PlacedLately, Reader, WorkId};
use crate::replicas::ReplicaKey;

/// What a request needs of an engine.
#[derive(Clone, Debug, PartialEq)]
pub struct Demand {
    /// The length of its prompt.
    pub prompt_tokens: Tokens,
    /// The most tokens of its answer.
    pub answer_tokens: Tokens,
    /// The longest pause between its events that is on time.
    pub gap_ms: SpanMs,
    /// The time within which a first event is on time.
    pub target_ms: f64,
    /// The time left of it.
    pub target_left_ms: f64,
    /// The time left until its caller gives up waiting for a first event.
    pub caller_timeout_left_ms: f64,
    /// The time left to its deadline.
    pub deadline_left_ms: f64,
    /// The part of its weight that its placement may cost: it rises from little to all of it while
    /// the request waits, so that a request with time to spare lets others end first.
    pub cost_limit: f64,
    /// Whether its caller has a part of the answer. It is then placed wherever it fits: a stream
    /// that breaks off midway is worse for its caller than one that is late for others.
    pub partly_answered: bool,
    /// Whether it has waited for as long as it may, and is placed whatever others lose.
    pub wait_expired: bool,
}

/// An engine that may take work.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate<'a> {
    /// Which one.
    pub key: ReplicaKey,
    /// What it has to do.
    pub load: &'a Load,
}

/// What a decision looks at.
#[derive(Clone, Debug)]
pub struct Fleet<'a> {
    /// The engines that may take work, in the order that all nodes share.
    pub candidates: Vec<Candidate<'a>>,
    /// The requests whose prompts are being read.
    pub readers: &'a FxHashMap<WorkId, Reader>,
    /// The reading that was placed lately.
    pub placed: &'a PlacedLately,
    /// How many nodes place work here, this one included.
    pub nodes: usize,
    /// Drawn anew for each decision, so that nodes which decide at the same moment differ.
    pub draw: u64,
}

impl<'a> Fleet<'a> {
    /// What a decision looks at that may use `engines`, in the order that all nodes share.
    pub fn of(
        engines: impl Iterator<Item = ReplicaKey>,
        loads: Loads<'a>,
        nodes: usize,
        draw: u64,
    ) -> Self {
        let candidates = sample(engines.collect(), draw).map(|key| Candidate {
            key,
            load: loads.of(key),
        });
        Self {
            candidates: candidates.collect(),
            readers: loads.readers,
            placed: loads.placed,
            nodes,
            draw,
        }
    }
}

/// The most engines that one decision looks at. Of a larger fleet it looks at so many, spread evenly
/// over the shared order: the best of them is about as good as the best of all, and a decision takes
/// no longer the larger the fleet is.
const MOST_LOOKED_AT: usize = 400;

/// The engines that a decision looks at.
fn sample(engines: Vec<ReplicaKey>, draw: u64) -> impl Iterator<Item = ReplicaKey> {
    let count = engines.len();
    let looked_at = count.min(MOST_LOOKED_AT);
    // Each decision begins elsewhere, so that no engine is left out for long.
    let begin = (draw % count.max(1) as u64) as usize % count.div_ceil(MOST_LOOKED_AT).max(1);
    let places = (0..looked_at).map(move |n| (begin + n * count / looked_at).min(count - 1));
    places.map(move |at| engines[at])
}

/// Where a request runs.
#[derive(Clone, Debug, PartialEq)]
pub struct Placement {
    /// The engine that writes.
    pub first: ReplicaKey,
    /// Those that read parts of the prompt beside it.
    pub helpers: Vec<ReplicaKey>,
    /// The memory to set aside at helpers for what the engine that writes can't hold.
    pub memory: Vec<(ReplicaKey, Tokens)>,
    /// What each of them reads, as time.
    pub part_ms: f64,
    /// When the first event is expected, from now.
    pub first_event_ms: f64,
    /// What the writing engine had in hand: writers, and prompts to read as time.
    pub writers: u32,
    /// See `writers`.
    pub backlog_ms: f64,
}

/// Why a request isn't placed; in every case it has not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Refusal {
    /// No replica of the service takes work.
    #[error("no replica takes work")]
    NoReplica,
    /// The prompt is longer than all memory that can be set aside for one.
    #[error("the prompt is longer than the engines' memory")]
    TooLong,
    /// No engine has a slot and the memory for it now; either comes free as answers end.
    #[error("no engine has room for it now")]
    NoRoom {
        /// When coming back may help.
        retry_after_ms: SpanMs,
    },
    /// The replicas that could run it said how many requests they take, or for how long none.
    #[error("the replicas take no more requests now")]
    Limited {
        /// When coming back may help.
        retry_after_ms: SpanMs,
        /// Whether this node may send one then; else other nodes may.
        here: bool,
    },
    /// Each replica that ran it has ended.
    #[error("each replica that ran it has ended")]
    Quarantined {
        /// When it may be tried again.
        retry_after_ms: SpanMs,
    },
    /// Serving it would cost others more than it gains.
    #[error("the engines are full: the best place costs {cost_pct} % of what it gains")]
    Overloaded {
        /// What the cheapest placement would cost others and itself, prices included, in hundredths
        /// of the request's weight.
        cost_pct: u32,
        /// Whether free engines could read it within what is left of its target.
        in_time: bool,
        /// When coming back may help.
        retry_after_ms: SpanMs,
    },
}
