//! What the control duties of a node are set up with.

use crate::Duty;
use bluebell_base::prelude::*;
use bluebell_peers::PeerPort;
use bluebell_platform::{LogPort, WeightPort};
use std::rc::Rc;

/// Who this node is, as its leases and its peers know it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NodeIdentity {
    /// This run of its process.
    pub incarnation: Incarnation,
    /// Where its peer interface listens.
    pub address: Address,
}

/// What control reaches the outside through.
#[derive(Clone)]
pub struct ControlPorts {
    /// The platform's log.
    pub log: Rc<dyn LogPort>,
    /// The other nodes.
    pub peers: Rc<dyn PeerPort>,
    /// The weight store, for the pace of loading.
    pub weights: Rc<dyn WeightPort>,
}

/// The limits and intervals of control; the same on all nodes of a fleet.
#[derive(Clone, Debug, PartialEq)]
pub struct ControlSettings {
    /// The stream of configuration records.
    pub config_stream: StreamName,
    /// The stream of lease records.
    pub leases_stream: StreamName,
    /// The number of shards of idempotency keys.
    pub shards: u32,
    /// The number of groups of upstreams, each with a coordinator.
    pub coordinators: u32,
    /// How long a lease lasts from before its append was sent.
    pub ttl_ms: SpanMs,
    /// What is taken off a lease at its holder and added at its takers, for clocks that run at
    /// different rates and for handlers that take a while.
    pub margin_ms: SpanMs,
    /// The time between reads of the config stream.
    pub config_tail_ms: SpanMs,
    /// The time between reads of the leases stream.
    pub leases_tail_ms: SpanMs,
    /// How long the log keeps records.
    pub retention_ms: SpanMs,
    /// The largest record the log takes.
    pub record_bytes: Bytes,
    /// How long a publication may stay unresolved.
    pub publish_timeout_ms: SpanMs,
    /// The time between checkpoints of the leases.
    pub checkpoint_ms: SpanMs,
    /// How many records at the end of the leases stream a fresh node reads.
    pub leases_window: u64,
    /// How long a fresh node waits before it takes duties, to learn who else is there.
    pub settle_ms: SpanMs,
}

impl Default for ControlSettings {
    fn default() -> Self {
        Self {
            config_stream: "config".into(),
            leases_stream: "leases".into(),
            shards: 16,
            coordinators: 4,
            ttl_ms: SpanMs::from_secs(10),
            margin_ms: SpanMs::from_secs(1),
            config_tail_ms: SpanMs(1_000),
            leases_tail_ms: SpanMs(1_000),
            retention_ms: SpanMs::from_secs(24 * 3600),
            record_bytes: Bytes(64 * 1024),
            publish_timeout_ms: SpanMs::from_secs(10),
            checkpoint_ms: SpanMs::from_secs(30),
            leases_window: 2048,
            settle_ms: SpanMs::from_secs(2),
        }
    }
}

/// What one duty takes in a checkpoint or renewal at most, with a long address.
const DUTY_BYTES: u64 = 200;

/// How often within a lease the leases stream has to be read at least.
const READS_PER_LEASE: u64 = 4;

/// How many times the margin a lease has to last at least.
const MARGINS_PER_LEASE: u64 = 4;

impl ControlSettings {
    /// What can't work, in words; empty where all is well.
    pub fn faults(&self) -> Vec<Arc<str>> {
        let duties = self.duties().len() as u64;
        let checks = [
            (
                // An oversized checkpoint would be refused by every reader, and each fresh node
                // would void all leases.
                duties * DUTY_BYTES > self.record_bytes.0,
                format!(
                    "{duties} duties do not fit a record of {}",
                    self.record_bytes
                ),
            ),
            (
                self.margin_ms.0 * MARGINS_PER_LEASE > self.ttl_ms.0,
                format!(
                    "a lease of {} is too short for a margin of {}",
                    self.ttl_ms, self.margin_ms
                ),
            ),
            (
                self.leases_tail_ms.0 * READS_PER_LEASE > self.ttl_ms.0,
                format!(
                    "a lease of {} is too short for reading each {}",
                    self.ttl_ms, self.leases_tail_ms
                ),
            ),
            (
                self.coordinators == 0,
                "at least one coordinator is needed".to_owned(),
            ),
            (
                self.retention_ms <= self.publish_timeout_ms,
                format!(
                    "records kept for {} expire before a publication is given up",
                    self.retention_ms
                ),
            ),
        ];
        let wrong = checks.into_iter().filter(|(wrong, _)| *wrong);
        wrong.map(|(_, text)| text.into()).collect()
    }

    /// All duties of the fleet.
    pub fn duties(&self) -> Vec<Duty> {
        let shards = (0..self.shards).map(|i| Duty::Shard(ShardId(i)));
        let coordinators = (0..self.coordinators).map(Duty::Coordinator);
        let single = [Duty::Snapshot, Duty::Directory];
        shards.chain(single).chain(coordinators).collect()
    }
}
