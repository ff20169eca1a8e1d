//! The datagrams, encoded by `postcard`.

use super::DATAGRAM_BYTES;
use super::replicas::ReplicasGossip;
use crate::platform::Era;
use bluebell_base::prelude::*;
use bluebell_fleet::prelude::*;
use bluebell_quarantine::prelude::*;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// The version of the format; datagrams of another are ignored, so that nodes of two releases can
/// run beside each other.
const FORMAT: u8 = 7;

/// One datagram.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(super) struct Datagram {
    format: u8,
    /// Whether whoever gets it sends it on to all peers of its failure domain.
    pub pass_on: bool,
    /// The node whose gossip it is, which isn't always the one that it comes from.
    pub origin: Origin,
    /// What it tells.
    pub gossip: Vec<Gossip>,
}

/// A node, as its datagrams name it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Origin {
    /// Its run.
    pub owner: u64,
    /// Where it takes gossip.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: Arc<str>,
}

/// One piece of gossip.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(super) enum Gossip {
    /// Work was placed.
    Placed(WorkGossip),
    /// Work got further.
    Stage { sequence: u32, late: bool },
    /// Work has ended.
    Ended { sequence: u32 },
    /// All work from `from` to `to` is in `works`.
    Digest {
        from: u32,
        to: u32,
        works: Vec<WorkGossip>,
    },
    /// A replica failed and is doubted for so long.
    Doubted { replica: u32, for_ms: u32 },
    /// An engine takes this many hundredths of its configured time for its work.
    Pace { replica: u32, pace_pct: u32 },
    /// A request ends replicas, or doesn't.
    Request(QuarantineNotice),
    /// A replica takes so many requests a second from all nodes together, or any number.
    Limit(LimitGossip),
    /// An answer of a replica says that it leaves.
    Leaving { replica: u32 },
    /// The directory answers the sender again.
    DirectoryBack,
    /// The directory's history is another since.
    Era(Era),
    /// The sender has seen this version of the configuration.
    Config { version: u64 },
    /// The sender has just read the directory's replicas.
    Replicas(ReplicasGossip),
}

/// Work, as peers need to know it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(super) struct WorkGossip {
    pub sequence: u32,
    first: u32,
    helpers: Vec<u32>,
    memory: Vec<(u32, u32)>,
    stage: u8,
    age_ms: u32,
    prompt_tokens: u32,
    part_ms: f32,
    gap_ms: u32,
    /// From when the gossip was sent; below 0 where it is late.
    due_in_ms: i32,
}

impl WorkGossip {
    /// Describes own work.
    pub fn of(sequence: u32, work: &Work, now_ms: MonoMs) -> Self {
        Self {
            sequence,
            first: work.first.0,
            helpers: work.helpers.iter().map(|key| key.0).collect(),
            memory: work
                .memory
                .iter()
                .map(|(key, t)| (key.0, t.0 as u32))
                .collect(),
            stage: match work.stage {
                Stage::Reading => 0,
                Stage::Writing => 1,
                Stage::Late => 2,
            },
            age_ms: now_ms.since(work.placed_ms).0 as u32,
            prompt_tokens: work.prompt_tokens.0 as u32,
            part_ms: work.part_ms as f32,
            gap_ms: work.gap_ms.0 as u32,
            due_in_ms: (work.due_ms.0 as i64 - now_ms.0 as i64) as i32,
        }
    }

    /// The work, by this node's clock.
    pub fn work(&self, now_ms: MonoMs) -> Work {
        Work {
            first: ReplicaKey(self.first),
            helpers: self.helpers.iter().map(|key| ReplicaKey(*key)).collect(),
            memory: self
                .memory
                .iter()
                .map(|(key, tokens)| (ReplicaKey(*key), Tokens(u64::from(*tokens))))
                .collect(),
            stage: match self.stage {
                0 => Stage::Reading,
                1 => Stage::Writing,
                _ => Stage::Late,
            },
            placed_ms: now_ms - SpanMs(u64::from(self.age_ms)),
            prompt_tokens: Tokens(u64::from(self.prompt_tokens)),
            part_ms: f64::from(self.part_ms.max(0.0)),
            gap_ms: SpanMs(u64::from(self.gap_ms)),
            due_ms: MonoMs(now_ms.0.saturating_add_signed(i64::from(self.due_in_ms))),
        }
    }
}

/// What a replica said of its limit.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub(super) struct LimitGossip {
    replica: u32,
    rate_per_s: Option<f64>,
    age_ms: u32,
    probes_name: bool,
}

impl From<LimitNotice> for LimitGossip {
    fn from(told: LimitNotice) -> Self {
        Self {
            replica: told.replica.0,
            rate_per_s: told.rate.map(|rate| rate.0),
            age_ms: told.age_ms.0.min(u64::from(u32::MAX)) as u32,
            probes_name: told.probes_carry_limit,
        }
    }
}

impl From<LimitGossip> for LimitNotice {
    fn from(gossip: LimitGossip) -> Self {
        Self {
            replica: ReplicaKey(gossip.replica),
            rate: gossip.rate_per_s.map(PerSecond),
            age_ms: SpanMs(u64::from(gossip.age_ms)),
            probes_carry_limit: gossip.probes_name,
        }
    }
}

impl Datagram {
    /// Reads a datagram; none where it isn't one of this format.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        let datagram: Self = postcard::from_bytes(bytes).ok()?;
        (datagram.format == FORMAT).then_some(datagram)
    }

    /// The bytes of a datagram that is to be passed on, or not.
    pub fn encode(&self, pass_on: bool) -> Vec<u8> {
        let datagram = Self {
            pass_on,
            ..self.clone()
        };
        postcard::to_allocvec(&datagram).expect("plain data can be encoded")
    }
}

/// Packs gossip into as few datagrams as fit.
pub(super) fn pack(origin: &Origin, gossip: Vec<Gossip>) -> Vec<Datagram> {
    let whole = Datagram {
        format: FORMAT,
        pass_on: false,
        origin: origin.clone(),
        gossip,
    };
    if whole.encode(true).len() <= DATAGRAM_BYTES || whole.gossip.len() < 2 {
        return vec![whole];
    }
    let mut left = whole.gossip;
    let right = left.split_off(left.len() / 2);
    let mut packed = pack(origin, left);
    packed.extend(pack(origin, right));
    packed
}

/// How many pieces of work a digest holds at most: each takes up to 100 bytes with all helpers.
const DIGEST_WORKS: usize = 12;

/// Makes the digest of all own work, in parts that fit a datagram each.
pub(super) fn digest(mut works: Vec<WorkGossip>) -> Vec<Gossip> {
    works.sort_unstable_by_key(|work| work.sequence);
    let mut parts: Vec<Gossip> = Vec::new();
    let mut from = 0;
    while works.len() > DIGEST_WORKS {
        let rest = works.split_off(DIGEST_WORKS);
        let to = rest[0].sequence - 1;
        parts.push(Gossip::Digest { from, to, works });
        from = to + 1;
        works = rest;
    }
    parts.push(Gossip::Digest {
        from,
        to: u32::MAX,
        works,
    });
    parts
}
