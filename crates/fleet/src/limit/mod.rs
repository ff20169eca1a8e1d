//! The rate limits that replicas set, and what this node may send to them.
//!
//! Terms: a replica under pressure *sets* a limit, the requests a second that it accepts from all
//! nodes together. Its answers repeat the limit for as long as it applies, and the first answer
//! without it ends it. A node *holds* a limit if it may send a part of it.
//!
//! Load pattern: one engine among others accepts one request a second, and each of hundreds of nodes
//! finds it idle. Only the node that sent a request last has received the limit.
//!
//! Reason for the limits: see the module `share`, which divides a limit among the nodes. Everything that
//! reaches a replica counts against its limit: requests, parts of prompts that are read there, probes and
//! orders.
//!
//! Invariants: a limit belongs to one run of a replica. An unreadable limit changes nothing. A report
//! that is older than what is known changes nothing.

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

use crate::ledger::OwnerId;
use crate::replicas::ReplicaKey;

/// The time after which a node that doesn't hold a limit drops it if it received no report of it. The
/// nodes that announce a limit repeat it at least once a second, so after this time none of them knows of
/// it.
const UNREPORTED_EXPIRY_MS: SpanMs = SpanMs(10_000);

/// The time for which the end of a limit is remembered and reported. Older gossip of the limit takes less
/// time to arrive.
const END_RETENTION_MS: SpanMs = SpanMs(10_000);

/// The time for which computed shares are used before they are computed again from the current nodes.
const SHARE_REFRESH_MS: SpanMs = SpanMs(200);

/// The maximum number of peers that a look-up of a limit's holders returns. A request is forwarded to a few.
const MAX_HOLDERS: usize = 16;

/// The silence after which a replica with a limit is probed. Until then, requests sent there show more.
const PROBE_AFTER_SILENCE_MS: SpanMs = SpanMs(4_000);

/// The kind of answer that reported a limit or its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// An answer to a request of a caller.
    Answer,
    /// An answer to a probe.
    Probe,
    /// An answer to an order.
    Order,
}

impl Source {
    /// Returns the name used in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Source::Answer => "answer",
            Source::Probe => "probe",
            Source::Order => "order",
        }
    }
}

/// The part of a replica's answer that concerns its limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitReport {
    /// The limit in the answer.
    pub signal: LimitSignal,
    /// The kind of answer.
    pub source: Source,
    /// The time at which the request, probe or order was sent.
    pub sent_ms: MonoMs,
}

/// A change of a replica's limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LimitChange {
    /// The replica set a limit of this rate.
    Set(PerSecond),
    /// The replica has no limit any more.
    Ended,
}

/// The permission to send a request to a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// A request may be sent now.
    Now,
    /// A request may be sent after this time.
    After(SpanMs),
    /// Only other nodes may send requests.
    OtherNodes,
}

#[derive(Clone, Copy, Debug)]
struct Limit {
    rate: PerSecond,
    /// The time at which the replica last set it.
    set_ms: MonoMs,
    /// The time of the replica's last answer of any kind, as far as this node knows.
    answered_ms: MonoMs,
    /// The time at which this node last received a report of the limit, from the replica or from a peer.
    received_ms: MonoMs,
    /// True if answers to probes carry the limit too, so that a probe's answer without it ends it.
    probes_carry_limit: bool,
    allowance: Allowance,
    share: Option<Share>,
}

impl Limit {
    fn is_held(&self) -> bool {
        self.share.is_some_and(|share| share.rate.0 > 0.0)
    }

    fn is_announced(&self) -> bool {
        self.share.is_some_and(|share| share.announces)
    }
}

/// The end of a limit.
#[derive(Clone, Copy, Debug)]
struct End {
    at_ms: MonoMs,
    /// True if this node repeats the end to its peers.
    announces: bool,
}

/// The limits of all replicas that have one, as far as this node knows, and this node's share of each.
#[derive(Debug, Default)]
pub struct Limits {
    known: FxHashMap<ReplicaKey, Limit>,
    ended: FxHashMap<ReplicaKey, End>,
    /// The time at which shares were last computed, or `None` if a share is missing.
    shares_computed_ms: Option<MonoMs>,
    /// The peers that hold each limit, as far as they were looked up since then.
    holders: FxHashMap<ReplicaKey, Vec<OwnerId>>,
}

impl Limits {
    /// Records an answer of a replica. Returns the change of its limit, if any.
    pub fn on_answer(
        &mut self,
        key: ReplicaKey,
        report: LimitReport,
        now_ms: MonoMs,
    ) -> Option<LimitChange> {
        match report.signal {
            LimitSignal::Set(rate) => {
                let probes_carry_limit = report.source == Source::Probe;
                self.set(key, rate, now_ms, probes_carry_limit, now_ms)
            }
            LimitSignal::Absent => self.on_absent(key, report, now_ms),
            LimitSignal::Unreadable => None,
        }
    }

    /// Records a peer's report of a limit or of its end. Returns the change of the limit, if any.
    pub fn on_notified(&mut self, notice: &LimitNotice, now_ms: MonoMs) -> Option<LimitChange> {
        let at_ms = notice.at_ms(now_ms);
        let known = self.known.get_mut(&notice.replica);
        let known_ms = known.as_ref().map(|limit| limit.set_ms);
        let ended_ms = self.ended.get(&notice.replica).map(|end| end.at_ms);
        let Some(rate) = notice.rate else {
            let latest_ms = known_ms.max(ended_ms);
            if latest_ms.is_some_and(|latest_ms| at_ms <= latest_ms) {
                return None;
            }
            return self.end(notice.replica, at_ms);
        };
        if let Some(limit) = known {
            limit.received_ms = now_ms;
            limit.probes_carry_limit |= notice.probes_carry_limit;
        }
        if known_ms
            .max(ended_ms)
            .is_some_and(|latest_ms| at_ms <= latest_ms)
        {
            return None;
        }
        self.set(
            notice.replica,
            rate,
            at_ms,
            notice.probes_carry_limit,
            now_ms,
        )
    }

    fn set(
        &mut self,
        key: ReplicaKey,
        rate: PerSecond,
        set_ms: MonoMs,
        probes_carry_limit: bool,
        now_ms: MonoMs,
    ) -> Option<LimitChange> {
        self.ended.remove(&key);
        let before = self.known.get(&key).copied();
        let same = before.is_some_and(|before| before.rate == rate);
        if !same {
            self.shares_computed_ms = None;
        }
        let limit = Limit {
            rate,
            set_ms,
            answered_ms: set_ms,
            received_ms: now_ms,
            probes_carry_limit: probes_carry_limit
                || before.is_some_and(|limit| limit.probes_carry_limit),
            allowance: before.map_or(Allowance::none(now_ms), |limit| limit.allowance),
            share: before.and_then(|limit| limit.share),
        };
        self.known.insert(key, limit);
        (!same).then_some(LimitChange::Set(rate))
    }

    /// Sets a limit that no answer reports, unless the replica has one of this rate.
    pub fn impose(&mut self, key: ReplicaKey, rate: PerSecond, now_ms: MonoMs) {
        self.set(key, rate, now_ms, false, now_ms);
    }

    /// Removes the limits of all replicas but those for which `is_limited` returns true.
    pub fn retain(&mut self, is_limited: impl Fn(ReplicaKey) -> bool) {
        self.known.retain(|key, _| is_limited(*key));
    }

    /// Records an answer without a limit. Answers overtake each other, so if it belongs to a request sent
    /// before the limit was last set, it may be older than the limit and doesn't end it.
    fn on_absent(
        &mut self,
        key: ReplicaKey,
        report: LimitReport,
        now_ms: MonoMs,
    ) -> Option<LimitChange> {
        let limit = self.known.get_mut(&key)?;
        limit.answered_ms = now_ms;
        limit.received_ms = now_ms;
        let conclusive = match report.source {
            Source::Answer => true,
            Source::Probe => limit.probes_carry_limit,
            Source::Order => false,
        };
        let newer = report.sent_ms > limit.set_ms;
        (conclusive && newer)
            .then(|| self.end(key, now_ms))
            .flatten()
    }

    /// Records the end of a limit, which may be one that only a peer knew of.
    fn end(&mut self, key: ReplicaKey, at_ms: MonoMs) -> Option<LimitChange> {
        let limit = self.known.remove(&key);
        let announces = limit.is_some_and(|limit| limit.is_announced());
        self.ended.insert(key, End { at_ms, announces });
        limit.map(|_| LimitChange::Ended)
    }

    /// Returns true if shares must be computed before limits are used.
    pub fn has_stale_shares(&self, now_ms: MonoMs) -> bool {
        let old = |at_ms: MonoMs| now_ms.since(at_ms) >= SHARE_REFRESH_MS;
        !self.is_empty() && self.shares_computed_ms.is_none_or(old)
    }

    /// Computes the share of this node in each limit.
    pub fn share(&mut self, nodes: &Nodes<'_>, now_ms: MonoMs) {
        self.shares_computed_ms = Some(now_ms);
        self.holders.clear();
        for (key, limit) in &mut self.known {
            let share = Share::of(nodes, *key, limit.rate);
            limit.share = Some(share);
            limit.allowance.set_rate(share.rate, now_ms);
        }
    }

    /// Returns the permission to send a request to a replica.
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

    /// Returns some of the peers that hold the limit of a replica, at most [`MAX_HOLDERS`], chosen by `draw`;
    /// none if it has no limit. All are looked up once for as long as shares are used.
    pub fn holding_peers(&mut self, nodes: &Nodes<'_>, key: ReplicaKey, draw: u64) -> Vec<OwnerId> {
        let known = &self.known;
        let holders = self.holders.entry(key).or_insert_with(|| {
            let limit = known.get(&key);
            limit.map_or_else(Vec::new, |limit| {
                share::holding_peers(nodes, key, limit.rate)
            })
        });
        let first = draw as usize % holders.len().max(1);
        let from_first = holders.iter().cycle().skip(first);
        let some = from_first.take(holders.len().min(MAX_HOLDERS));
        some.copied().collect()
    }

    /// Counts something that is sent to a replica.
    pub fn on_sent(&mut self, key: ReplicaKey, now_ms: MonoMs) {
        if let Some(limit) = self.known.get_mut(&key) {
            limit.allowance.spend(now_ms);
        }
    }

    /// Returns true if a replica has a limit.
    pub fn is_limited(&self, key: ReplicaKey) -> bool {
        self.known.contains_key(&key)
    }

    /// Returns true if a replica may be probed. Without a limit it always may; with one only if it
    /// hasn't answered anything for a few seconds and a request may be sent.
    pub fn admits_probe(&self, key: ReplicaKey, now_ms: MonoMs) -> bool {
        let Some(limit) = self.known.get(&key) else {
            return true;
        };
        let quiet = now_ms.since(limit.answered_ms) >= PROBE_AFTER_SILENCE_MS;
        quiet && self.admission(key, now_ms) == Admission::Now
    }

    /// Returns the notice for peers about a replica: its limit, or the end of it.
    pub fn notice(&self, key: ReplicaKey, now_ms: MonoMs) -> Option<LimitNotice> {
        if let Some(limit) = self.known.get(&key) {
            let age_ms = now_ms.since(limit.set_ms);
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

    /// Returns the notices that this node repeats with its digests.
    pub fn repeated_notices(&self, now_ms: MonoMs) -> Vec<LimitNotice> {
        let limits = self.known.iter().filter(|(_, limit)| limit.is_announced());
        let ends = self.ended.iter().filter(|(_, end)| end.announces);
        let keys = limits.map(|(key, _)| *key).chain(ends.map(|(key, _)| *key));
        keys.filter_map(|key| self.notice(key, now_ms)).collect()
    }

    /// Returns the number of replicas that have a limit.
    pub fn len(&self) -> usize {
        self.known.len()
    }

    /// Returns true if no replica has a limit.
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }

    /// Removes what is out of date, and the limits of replicas that are gone. Returns the replicas whose
    /// limits are taken to have ended because no report of them came any more.
    pub fn expire(
        &mut self,
        is_known: impl Fn(ReplicaKey) -> bool,
        now_ms: MonoMs,
    ) -> Vec<ReplicaKey> {
        self.ended
            .retain(|_, end| now_ms.since(end.at_ms) < END_RETENTION_MS);
        self.known.retain(|key, _| is_known(*key));
        let expired = self.known.iter().filter(|(_, limit)| {
            !limit.is_held() && now_ms.since(limit.received_ms) >= UNREPORTED_EXPIRY_MS
        });
        let expired: Vec<ReplicaKey> = expired.map(|(key, _)| *key).collect();
        for key in &expired {
            self.known.remove(key);
        }
        expired
    }
}
