//! The format of gossip datagrams, encoded with `postcard`.

use super::DATAGRAM_BYTES;
use super::account_work::AccountWorkGossip;
use super::replicas::ReplicasGossip;
use crate::node::Node;
use crate::platform::Era;
use bluebell_base::prelude::*;
use bluebell_fleet::prelude::*;
use bluebell_quarantine::prelude::*;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// The version of the datagram format. Datagrams of any other version are ignored, so that nodes of
/// two releases can run in one fleet.
const FORMAT: u8 = 8;

/// A gossip datagram.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(super) struct Datagram {
    format: u8,
    /// True if the receiver forwards the datagram to all peers of its own failure domain.
    pub pass_on: bool,
    /// The node that wrote the gossip. A relay may have forwarded the datagram.
    pub origin: Origin,
    /// The gossip that the datagram carries.
    pub gossip: Vec<Gossip>,
}

/// The sender of gossip, as its datagrams identify it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Origin {
    /// The id of this run of the node.
    pub owner: u64,
    /// The address at which it receives gossip.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: Arc<str>,
}

impl Origin {
    /// Returns the identity of `node`.
    pub fn of(node: &Node) -> Self {
        Self {
            owner: node.owner.0,
            address: node.settings.gossip,
            domain: node.settings.domain.0.clone(),
        }
    }
}

/// One piece of gossip.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(super) enum Gossip {
    /// The sender placed work on a replica.
    Placed(WorkGossip),
    /// Events of work have begun to arrive. `late` is true if one of them was late.
    Stage { sequence: u32, late: bool },
    /// Work of the sender ended.
    Ended { sequence: u32 },
    /// A digest: `works` lists all of the sender's work with a sequence number from `from` to `to`,
    /// both included.
    Digest {
        from: u32,
        to: u32,
        works: Vec<WorkGossip>,
    },
    /// A replica failed. The sender doubts it for `for_ms` milliseconds and sends it no work.
    Doubted { replica: u32, for_ms: u32 },
    /// The pace of an engine: the time that it takes for its work, in percent of the configured time.
    Pace { replica: u32, pace_pct: u32 },
    /// A change of what is known about a request that may be fatal to replicas.
    Request(QuarantineNotice),
    /// The requests per second that a replica accepts from all nodes together, or the end of that
    /// limit.
    Limit(LimitGossip),
    /// A replica said in an answer that it is leaving.
    Leaving { replica: u32 },
    /// The directory answers the sender again after an outage.
    DirectoryBack,
    /// The directory was renewed: it came back with a new history.
    Era(Era),
    /// The sender knows this version of the configuration.
    Config { version: u64 },
    /// The sender has just read the replica list from the directory.
    Replicas(ReplicasGossip),
    /// Operators evacuated a failure domain or took it back.
    Evacuation(EvacuationEntry),
    /// A change of what is known about a part of prompts that may be fatal to replicas.
    Part(PartNotice),
    /// Return times that the sender promised to requests which it refused.
    Promises(PromisesGossip),
    /// The engine time that the sender's largest accounts asked for and that it placed.
    AccountWork(AccountWorkGossip),
    /// The work that an engine reported of itself, for nodes that haven't heard of it.
    EngineWork {
        replica: u32,
        running: u32,
        waiting: u32,
        memory_tokens: u64,
    },
}

impl Gossip {
    /// Returns the kinds with which the gossip may share a datagram. Releases that don't know one kind of a
    /// datagram ignore all of it.
    pub fn generation(&self) -> Generation {
        match self {
            Gossip::Promises(_) | Gossip::AccountWork(_) | Gossip::EngineWork { .. } => {
                Generation::Load
            }
            Gossip::Part(_) | Gossip::Request(QuarantineNotice::Undecided { .. }) => {
                Generation::Parts
            }
            _ => Generation::Base,
        }
    }
}

/// Kinds of gossip that came with the same release.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Generation {
    /// The kinds that all releases know.
    Base,
    /// The kinds about parts of prompts in quarantine.
    Parts,
    /// The kinds about returning requests, accounts and the engines' own reports of their work.
    Load,
}

/// A piece of work in flight, with what peers need for their own placements.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(super) struct WorkGossip {
    /// The sequence number of the work at its node.
    pub sequence: u32,
    /// The engine that writes the answer.
    first: u32,
    /// The engines that read parts of the prompt besides the first.
    helpers: Vec<u32>,
    /// The memory reserved at other engines, in tokens.
    memory: Vec<(u32, u32)>,
    /// The stage: 0 for reading, 1 for writing, 2 for late.
    stage: u8,
    /// The time since the work was placed, in milliseconds.
    age_ms: u32,
    prompt_tokens: u32,
    /// The time that a healthy engine takes to read its part of the prompt, in milliseconds.
    part_ms: f32,
    /// The longest pause between two events that is on time, in milliseconds.
    gap_ms: u32,
    /// The time from sending the gossip until the first event is due, in milliseconds. Negative if it
    /// is late.
    due_in_ms: i32,
}

impl WorkGossip {
    /// Describes a piece of this node's own work.
    pub fn from_work(sequence: u32, work: &Work, now_ms: MonoMs) -> Self {
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

    /// Returns the work, with its instants converted to this node's clock.
    pub fn to_work(&self, now_ms: MonoMs) -> Work {
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

/// The limit on requests per second that a replica set, or the end of the limit.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub(super) struct LimitGossip {
    replica: u32,
    /// The limit in requests per second from all nodes together. `None` if the limit ended.
    rate_per_s: Option<f64>,
    /// The age of the replica's statement, in milliseconds.
    age_ms: u32,
    /// True if the replica's answers to probes carry the limit as well.
    probes_name: bool,
}

impl From<LimitNotice> for LimitGossip {
    fn from(notice: LimitNotice) -> Self {
        Self {
            replica: notice.replica.0,
            rate_per_s: notice.rate.map(|rate| rate.0),
            age_ms: notice.age_ms.0.min(u64::from(u32::MAX)) as u32,
            probes_name: notice.probes_carry_limit,
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

/// Return times that a node promised to requests of one service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct PromisesGossip {
    pub service: Arc<str>,
    /// The first 64 bits of each request's digest, and the time from sending the gossip until the
    /// promised moment, in milliseconds.
    pub promises: Vec<(u64, u32)>,
}

impl Datagram {
    /// Decodes a datagram. Returns `None` if it is malformed or has another format version.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        let datagram: Self = postcard::from_bytes(bytes).ok()?;
        (datagram.format == FORMAT).then_some(datagram)
    }

    /// Encodes the datagram. `pass_on` replaces the field of the same name.
    pub fn encode(&self, pass_on: bool) -> Vec<u8> {
        let datagram = Self {
            pass_on,
            ..self.clone()
        };
        postcard::to_allocvec(&datagram).expect("postcard can encode a datagram")
    }
}

/// Packs gossip into datagrams of at most [`DATAGRAM_BYTES`] bytes, by halving it until each part
/// fits. A single piece of gossip is never split.
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

/// The maximum number of pieces of work in one digest. Each takes up to 100 bytes with all helpers.
const MAX_DIGEST_WORKS: usize = 12;

/// Builds the digest of all of this node's work, in parts that each fit one datagram.
pub(super) fn digest(mut works: Vec<WorkGossip>) -> Vec<Gossip> {
    works.sort_unstable_by_key(|work| work.sequence);
    let mut parts: Vec<Gossip> = Vec::new();
    let mut from = 0;
    while works.len() > MAX_DIGEST_WORKS {
        let rest = works.split_off(MAX_DIGEST_WORKS);
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
