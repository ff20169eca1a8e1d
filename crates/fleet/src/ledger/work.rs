//! One piece of work, and what it asks of each of its engines.

use bluebell_base::prelude::*;

use super::load::{Load, Tolerance};
use crate::replicas::ReplicaKey;

/// One run of one node, as peers know it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct OwnerId(pub u64);

/// A piece of work, unique in the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WorkId {
    /// The node that placed it.
    pub owner: OwnerId,
    /// Counted by that node.
    pub sequence: u32,
}

/// How far work is; it goes through these in turn.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Stage {
    /// Its prompt is being read.
    Reading,
    /// Its events arrive on time.
    Writing,
    /// Its events arrive, and one has already been late.
    Late,
}

/// A piece of work on one engine, or on several that read its prompt together.
#[derive(Clone, Debug, PartialEq)]
pub struct Work {
    /// The engine that writes it.
    pub first: ReplicaKey,
    /// The engines that read parts of its prompt beside the first.
    pub helpers: Vec<ReplicaKey>,
    /// The memory that is set aside for its prompt beside that of the engine that writes it.
    pub memory: Vec<(ReplicaKey, Tokens)>,
    /// How far it is.
    pub stage: Stage,
    /// When it was placed, by this node's clock.
    pub placed_ms: MonoMs,
    /// The length of its prompt.
    pub prompt_tokens: Tokens,
    /// What each of its engines reads, as the time that a sound engine takes.
    pub part_ms: f64,
    /// The longest pause between its events that is on time.
    pub gap_ms: SpanMs,
    /// Until when its first event is on time.
    pub due_ms: MonoMs,
}

/// What a request counts against others. Operators set no weights: longer prompts are wanted more,
/// but less than in proportion, so that no long prompt outweighs the many short ones in its way.
pub fn weight(prompt_tokens: Tokens) -> f64 {
    (prompt_tokens.0.max(1) as f64 / 1000.0).powf(0.75)
}

impl Work {
    /// The engines that read it; the one that writes it comes first.
    pub(super) fn engines(&self) -> impl Iterator<Item = ReplicaKey> {
        std::iter::once(self.first).chain(self.helpers.iter().copied())
    }

    /// How long a pause it bears, and what its lateness counts.
    pub(super) fn tolerance(&self) -> Tolerance {
        Tolerance {
            gap_ms: self.gap_ms.0 as f64,
            weight: weight(self.prompt_tokens),
            writers: 1,
        }
    }

    /// What it adds to the load of each of its engines, reading aside.
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
