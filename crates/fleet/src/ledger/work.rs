//! One request in flight, and its share in the load of each of its engines.

use bluebell_base::prelude::*;

use super::load::{Load, Tolerance};
use crate::replicas::ReplicaKey;

/// One run of one node, as peers know it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct OwnerId(pub u64);

/// Identifier of a request in flight, unique in the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WorkId {
    /// The node that placed the request.
    pub owner: OwnerId,
    /// The node's own number for it.
    pub sequence: u32,
}

/// Progress of a request, in this order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Stage {
    /// The prompt is being read.
    Reading,
    /// The answer is being written, and all events have been on time.
    Writing,
    /// The answer is being written, and an event has been late.
    Late,
}

/// A request in flight on one engine, or on several that read its prompt together.
#[derive(Clone, Debug, PartialEq)]
pub struct Work {
    /// The engine that writes the answer.
    pub first: ReplicaKey,
    /// The engines that read parts of the prompt together with the first.
    pub helpers: Vec<ReplicaKey>,
    /// The memory that is reserved for the prompt at helpers.
    pub memory: Vec<(ReplicaKey, Tokens)>,
    /// The request's progress.
    pub stage: Stage,
    /// The time at which the request was placed, by this node's clock.
    pub placed_ms: MonoMs,
    /// The length of the prompt.
    pub prompt_tokens: Tokens,
    /// The time that each of its engines reads, at its configured speed.
    pub part_ms: f64,
    /// The longest pause between events that is on time.
    pub gap_ms: SpanMs,
    /// The time until which the first event is on time.
    pub due_ms: MonoMs,
}

/// Returns the weight of a request against others. Operators set no weights. The weight grows with
/// the prompt, but less than in proportion, so that no long prompt outweighs the many short ones
/// that it delays.
pub fn weight(prompt_tokens: Tokens) -> f64 {
    (prompt_tokens.0.max(1) as f64 / 1000.0).powf(0.75)
}

impl Work {
    /// Returns the engines that read the prompt, with the writing engine first.
    pub(super) fn engines(&self) -> impl Iterator<Item = ReplicaKey> {
        std::iter::once(self.first).chain(self.helpers.iter().copied())
    }

    /// Returns the request as a writer: its longest allowed pause and its weight.
    pub(super) fn tolerance(&self) -> Tolerance {
        Tolerance {
            gap_ms: self.gap_ms.0 as f64,
            weight: weight(self.prompt_tokens),
            writers: 1,
        }
    }

    /// Returns what the request adds to the load of each of its engines, without the reading.
    pub(super) fn shares(&self) -> Vec<(ReplicaKey, Load)> {
        let writer = (self.first, self.writer_share());
        let helpers = self.helpers.iter().map(|key| {
            let helping = Load {
                helping: 1,
                ..Load::default()
            };
            (*key, helping)
        });
        let memory = self.memory.iter().map(|(key, tokens)| {
            let set_aside = Load {
                memory_tokens: *tokens,
                ..Load::default()
            };
            (*key, set_aside)
        });
        std::iter::once(writer)
            .chain(helpers)
            .chain(memory)
            .collect()
    }

    fn writer_share(&self) -> Load {
        let elsewhere: u64 = self.memory.iter().map(|(_, tokens)| tokens.0).sum();
        let mut share = Load {
            writers: 1,
            context_tokens: self.prompt_tokens,
            memory_tokens: Tokens(self.prompt_tokens.0.saturating_sub(elsewhere)),
            ..Load::default()
        };
        match self.stage {
            Stage::Late => share.late.push(self.tolerance()),
            Stage::Reading | Stage::Writing => share.tolerances.push(self.tolerance()),
        }
        share
    }
}
