//! What replicas say of how many requests they take, and what this node may send there.
//!
//! Terms: a replica in need *names* a limit, the requests a second that it takes from all nodes
//! together; its answers repeat it for as long as it holds, and the first without it ends it. A node
//! *holds* a limit where it may send a part of it.
//!
//! Load pattern: an engine that takes one request a second stands among others, and each of hundreds
//! of nodes finds it idle. Whoever sent last has heard the limit, the others have not.
//!
//! Reason for the limits: see [`Nodes`] and its module. Whatever reaches a replica counts: requests,
//! parts of prompts read there, looks and orders.
//!
//! Invariants: a limit belongs to one run of a replica; what can't be read changes nothing; what is
//! older than what is known changes nothing.

mod allowance;
mod notice;
mod share;
mod signal;

pub use notice::LimitNotice;
pub use share::Nodes;
pub use signal::LimitSignal;

use allowance::Allowance;
use bluebell_base::prelude::*;
use rustc_hash::FxHashMap;
use share::Share;

use crate::replicas::ReplicaKey;

/// How long a node that doesn't hold a limit believes in it without a word: its holders tell of it at
/// least each second, so they no longer know of it.
const BELIEVED_MS: SpanMs = SpanMs(10_000);

/// How long the end of a limit is remembered and told: older gossip of the limit is on its way for less.
const END_REMEMBERED_MS: SpanMs = SpanMs(10_000);

/// How long shares are used before the nodes are looked through again.
const SHARED_MS: SpanMs = SpanMs(200);

/// How long a replica may say nothing before it is looked at: requests that are sent there tell more.
const QUIET_MS: SpanMs = SpanMs(4_000);

/// How a limit, or its end, became known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// The answer to a request of a caller.
    Answer,
    /// The answer to a look at the replica.
    Probe,
    /// The answer to an order.
    Order,
}

impl Source {
    /// Its name in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Source::Answer => "answer",
            Source::Probe => "probe",
            Source::Order => "order",
        }
    }
}

/// An answer of a replica, as far as it matters for limits.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitReport {
    /// What it says.
    pub signal: LimitSignal,
    /// What was answered.
    pub source: Source,
    /// When that was sent.
    pub sent_ms: MonoMs,
}

/// What changed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LimitChange {
    /// The replica takes so much.
    Set(PerSecond),
    /// It no longer names a limit.
    Ended,
}

/// Whether a request may be sent to a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It may.
    Now,
    /// It may after this time.
    After(SpanMs),
    /// Other nodes may.
    OtherNodes,
}

#[derive(Clone, Copy, Debug)]
struct Limit {
    rate: PerSecond,
    /// When the replica last named it.
    named_ms: MonoMs,
    /// When the replica last answered anything, as far as this node knows.
    answered_ms: MonoMs,
    /// When this node last heard of the limit, from the replica or from a peer.
    heard_ms: MonoMs,
    /// Whether answers to looks name it as well, so that one without it ends it.
    probes_carry_limit: bool,
    allowance: Allowance,
    share: Option<Share>,
}

impl Limit {
    fn is_held(&self) -> bool {
        self.share.is_some_and(|share| share.rate.0 > 0.0)
    }

    fn is_announced(&self) -> bool {
        self.share.is_some_and(|share| share.tells)
    }
}

/// The end of a limit.
#[derive(Clone, Copy, Debug)]
struct End {
    at_ms: MonoMs,
    /// Whether this node tells the others of it.
    tells: bool,
}

/// The limits that are known.
#[derive(Debug, Default)]
pub struct Limits {
    known: FxHashMap<ReplicaKey, Limit>,
    ended: FxHashMap<ReplicaKey, End>,
    /// When the shares were last worked out; none where one is missing.
    shared_ms: Option<MonoMs>,
}

impl Limits {
    /// A replica answered; returns what changed.
    pub fn on_answer(
        &mut self,
        key: ReplicaKey,
        heard: LimitReport,
        now_ms: MonoMs,
    ) -> Option<LimitChange> {
        match heard.signal {
            LimitSignal::Set(rate) => {
                let probes_carry_limit = heard.source == Source::Probe;
                self.name(key, rate, now_ms, probes_carry_limit, now_ms)
            }
            LimitSignal::Absent => self.unname(key, heard, now_ms),
            LimitSignal::Unreadable => None,
        }
    }

    /// A peer told of a limit, or of its end; returns what changed.
    pub fn on_notified(&mut self, told: &LimitNotice, now_ms: MonoMs) -> Option<LimitChange> {
        let at_ms = told.at_ms(now_ms);
        let known = self.known.get_mut(&told.replica);
        let known_ms = known.as_ref().map(|limit| limit.named_ms);
        let ended_ms = self.ended.get(&told.replica).map(|end| end.at_ms);
        let Some(rate) = told.rate else {
            let latest_ms = known_ms.max(ended_ms);
            if latest_ms.is_some_and(|latest_ms| at_ms <= latest_ms) {
                return None;
            }
            return self.end(told.replica, at_ms);
        };
        if let Some(limit) = known {
            limit.heard_ms = now_ms;
            limit.probes_carry_limit |= told.probes_carry_limit;
        }
        if known_ms
            .max(ended_ms)
            .is_some_and(|latest_ms| at_ms <= latest_ms)
        {
            return None;
        }
        self.name(told.replica, rate, at_ms, told.probes_carry_limit, now_ms)
    }

    fn name(
        &mut self,
        key: ReplicaKey,
        rate: PerSecond,
        named_ms: MonoMs,
        probes_carry_limit: bool,
        now_ms: MonoMs,
    ) -> Option<LimitChange> {
        self.ended.remove(&key);
        let before = self.known.get(&key).copied();
        let same = before.is_some_and(|before| before.rate == rate);
        if !same {
            self.shared_ms = None;
        }
        let limit = Limit {
            rate,
            named_ms,
            answered_ms: named_ms,
            heard_ms: now_ms,
            probes_carry_limit: probes_carry_limit
                || before.is_some_and(|limit| limit.probes_carry_limit),
            allowance: before.map_or(Allowance::none(now_ms), |limit| limit.allowance),
            share: before.and_then(|limit| limit.share),
        };
        self.known.insert(key, limit);
        (!same).then_some(LimitChange::Set(rate))
    }

    /// An answer names no limit. One that was asked for before the limit was last named may have been
    /// given before as well, since answers overtake each other; it ends nothing.
    fn unname(
        &mut self,
        key: ReplicaKey,
        heard: LimitReport,
        now_ms: MonoMs,
    ) -> Option<LimitChange> {
        let limit = self.known.get_mut(&key)?;
        limit.answered_ms = now_ms;
        limit.heard_ms = now_ms;
        let tells = match heard.source {
            Source::Answer => true,
            Source::Probe => limit.probes_carry_limit,
            Source::Order => false,
        };
        let newer = heard.sent_ms > limit.named_ms;
        (tells && newer).then(|| self.end(key, now_ms)).flatten()
    }

    /// A limit has ended, which a peer may know of that this node never heard of.
    fn end(&mut self, key: ReplicaKey, at_ms: MonoMs) -> Option<LimitChange> {
        let limit = self.known.remove(&key);
        let tells = limit.is_some_and(|limit| limit.is_announced());
        self.ended.insert(key, End { at_ms, tells });
        limit.map(|_| LimitChange::Ended)
    }

    /// Whether the shares have to be worked out before they are used.
    pub fn has_stale_shares(&self, now_ms: MonoMs) -> bool {
        let old = |at_ms: MonoMs| now_ms.since(at_ms) >= SHARED_MS;
        !self.is_empty() && self.shared_ms.is_none_or(old)
    }

    /// Works out what this node may send.
    pub fn share(&mut self, nodes: &Nodes<'_>, now_ms: MonoMs) {
        self.shared_ms = Some(now_ms);
        for (key, limit) in &mut self.known {
            let share = Share::of(nodes, *key, limit.rate);
            limit.share = Some(share);
            limit.allowance.set_rate(share.rate, now_ms);
        }
    }

    /// Whether a request may be sent to a replica.
    pub fn admission(&self, key: ReplicaKey, now_ms: MonoMs) -> Admission {
        let Some(limit) = self.known.get(&key) else {
            return Admission::Now;
        };
        match limit.allowance.wait_ms(now_ms) {
            Some(SpanMs::ZERO) => Admission::Now,
            Some(wait_ms) => Admission::After(wait_ms),
            None => Admission::OtherNodes,
        }
    }

    /// Something is sent to a replica.
    pub fn on_sent(&mut self, key: ReplicaKey, now_ms: MonoMs) {
        if let Some(limit) = self.known.get_mut(&key) {
            limit.allowance.spend(now_ms);
        }
    }

    /// Whether a replica names a limit.
    pub fn is_limited(&self, key: ReplicaKey) -> bool {
        self.known.contains_key(&key)
    }

    /// Whether a replica is to be looked at: always without a limit; with one only where nothing else
    /// was heard of it for a while and a request may be sent.
    pub fn admits_probe(&self, key: ReplicaKey, now_ms: MonoMs) -> bool {
        let Some(limit) = self.known.get(&key) else {
            return true;
        };
        let quiet = now_ms.since(limit.answered_ms) >= QUIET_MS;
        quiet && self.admission(key, now_ms) == Admission::Now
    }

    /// What peers are notified of about this replica: its limit, or that it has ended.
    pub fn notice(&self, key: ReplicaKey, now_ms: MonoMs) -> Option<LimitNotice> {
        if let Some(limit) = self.known.get(&key) {
            let age_ms = now_ms.since(limit.named_ms);
            return Some(LimitNotice {
                replica: key,
                rate: Some(limit.rate),
                age_ms,
                probes_carry_limit: limit.probes_carry_limit,
            });
        }
        let end = self.ended.get(&key)?;
        Some(LimitNotice {
            replica: key,
            rate: None,
            age_ms: now_ms.since(end.at_ms),
            probes_carry_limit: false,
        })
    }

    /// All that this node tells again with its digests.
    pub fn repeated_notices(&self, now_ms: MonoMs) -> Vec<LimitNotice> {
        let limits = self.known.iter().filter(|(_, limit)| limit.is_announced());
        let ends = self.ended.iter().filter(|(_, end)| end.tells);
        let keys = limits.map(|(key, _)| *key).chain(ends.map(|(key, _)| *key));
        keys.filter_map(|key| self.notice(key, now_ms)).collect()
    }

    /// How many replicas name a limit.
    pub fn len(&self) -> usize {
        self.known.len()
    }

    /// Whether none does.
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }

    /// Forgets what no longer counts, and what is known of replicas that are gone; returns the limits
    /// that this takes to have ended.
    pub fn expire(
        &mut self,
        is_known: impl Fn(ReplicaKey) -> bool,
        now_ms: MonoMs,
    ) -> Vec<ReplicaKey> {
        self.ended
            .retain(|_, end| now_ms.since(end.at_ms) < END_REMEMBERED_MS);
        self.known.retain(|key, _| is_known(*key));
        let unheard = self
            .known
            .iter()
            .filter(|(_, limit)| !limit.is_held() && now_ms.since(limit.heard_ms) >= BELIEVED_MS);
        let unheard: Vec<ReplicaKey> = unheard.map(|(key, _)| *key).collect();
        for key in &unheard {
            self.known.remove(key);
        }
        unheard
    }
}
