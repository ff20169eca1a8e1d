//! What replicas say of how many requests they take.
//!
//! Terms: a replica in need *names* a limit, the requests a second that it takes from all nodes
//! together; its answers repeat it for as long as it holds, and the first without it ends it.
//!
//! Invariants: a limit belongs to one run of a replica; what can't be read changes nothing.

mod word;

pub use word::LimitWord;

use bluebell_base::prelude::*;
use rustc_hash::FxHashMap;

use crate::replicas::ReplicaKey;

/// How a limit, or its end, became known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// The answer to a request of a caller.
    Answer,
    /// The answer to a look at the replica.
    Look,
    /// The answer to an order.
    Order,
}

impl Source {
    /// Its name in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Source::Answer => "answer",
            Source::Look => "look",
            Source::Order => "order",
        }
    }
}

/// An answer of a replica, as far as it matters for limits.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Heard {
    /// What it says.
    pub word: LimitWord,
    /// What was answered.
    pub source: Source,
    /// When that was sent.
    pub sent_ms: MonoMs,
}

/// What changed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LimitChange {
    /// The replica takes so much.
    Named(PerSecond),
    /// It no longer names a limit.
    Ended,
}

#[derive(Clone, Copy, Debug)]
struct Limit {
    rate: PerSecond,
    named_ms: MonoMs,
    /// Whether answers to looks name it as well, so that one without it ends it.
    looks_name: bool,
}

/// The limits that are known.
#[derive(Debug, Default)]
pub struct Limits {
    known: FxHashMap<ReplicaKey, Limit>,
}

impl Limits {
    /// A replica answered; returns what changed.
    pub fn on_answer(
        &mut self,
        key: ReplicaKey,
        heard: Heard,
        now_ms: MonoMs,
    ) -> Option<LimitChange> {
        match heard.word {
            LimitWord::Named(rate) => self.name(key, rate, heard.source, now_ms),
            LimitWord::Unnamed => self.end(key, heard),
            LimitWord::Unreadable => None,
        }
    }

    fn name(
        &mut self,
        key: ReplicaKey,
        rate: PerSecond,
        source: Source,
        now_ms: MonoMs,
    ) -> Option<LimitChange> {
        let before = self.known.get(&key).copied();
        let limit = Limit {
            rate,
            named_ms: now_ms,
            looks_name: source == Source::Look || before.is_some_and(|limit| limit.looks_name),
        };
        self.known.insert(key, limit);
        let same = before.is_some_and(|before| before.rate == rate);
        (!same).then_some(LimitChange::Named(rate))
    }

    /// An answer that was asked for before the limit was last named may have been given before as well:
    /// answers overtake each other.
    fn end(&mut self, key: ReplicaKey, heard: Heard) -> Option<LimitChange> {
        let limit = self.known.get(&key)?;
        let tells = match heard.source {
            Source::Answer => true,
            Source::Look => limit.looks_name,
            Source::Order => false,
        };
        if !tells || heard.sent_ms <= limit.named_ms {
            return None;
        }
        self.known.remove(&key);
        Some(LimitChange::Ended)
    }

    /// How many replicas name a limit.
    pub fn len(&self) -> usize {
        self.known.len()
    }

    /// Whether none does.
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }

    /// Forgets the limits of replicas that aren't known any more.
    pub fn retain(&mut self, is_known: impl Fn(ReplicaKey) -> bool) {
        self.known.retain(|key, _| is_known(*key));
    }
}
