//! The settings, the identity and the ports of a node's control actor.

use crate::Duty;
use bluebell_base::prelude::*;
use bluebell_peers::PeerPort;
use bluebell_platform::{LogPort, WeightPort};
use std::rc::Rc;

/// The identity of this node in its leases and towards its peers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NodeIdentity {
    /// The incarnation of the node's process.
    pub incarnation: Incarnation,
    /// The address of the node's peer interface.
    pub address: Address,
}

/// The ports through which control reaches the platform and the other nodes.
#[derive(Clone)]
pub struct ControlPorts {
    /// The platform's log.
    pub log: Rc<dyn LogPort>,
    /// The calls to other nodes.
    pub peers: Rc<dyn PeerPort>,
    /// The weight store, whose limits set the rate of model loads.
    pub weights: Rc<dyn WeightPort>,
}

/// The limits and intervals of control. They are the same on all nodes of a fleet.
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
    /// The duration of a lease. It starts before the append was sent.
    pub ttl_ms: SpanMs,
    /// The margin by which a holder ends its lease early and other nodes wait longer before they
    /// take the duty. It covers clocks that run at different rates and slow handlers.
    pub margin_ms: SpanMs,
    /// The time between reads of the config stream.
    pub config_tail_ms: SpanMs,
    /// The time between reads of the leases stream.
    pub leases_tail_ms: SpanMs,
    /// The time for which the log keeps records.
    pub retention_ms: SpanMs,
    /// The maximum size of a record that the log accepts.
    pub record_bytes: Bytes,
    /// The time after which an unresolved publication is answered with an error.
    pub publish_timeout_ms: SpanMs,
    /// The time between checkpoints of the leases.
    pub checkpoint_ms: SpanMs,
    /// The number of records at the end of the leases stream that a new node reads.
    pub leases_window: u64,
    /// The time for which a new node waits before it takes duties, so that it learns of the other
    /// nodes.
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

/// The maximum size of one duty in a checkpoint or renewal, with a long address.
const MAX_DUTY_BYTES: u64 = 200;

/// The minimum number of reads of the leases stream within a lease.
const MIN_READS_PER_LEASE: u64 = 4;

/// The minimum duration of a lease, in margins.
const MIN_MARGINS_PER_LEASE: u64 = 4;

impl ControlSettings {
    /// Returns a description of each setting that can't work; empty if all are valid.
    pub fn faults(&self) -> Vec<Arc<str>> {
        let duties = self.duties().len() as u64;
        let checks = [
            (
                // Every reader would refuse an oversized checkpoint, and each new node would void
                // all leases.
                duties * MAX_DUTY_BYTES > self.record_bytes.0,
                format!(
                    "{duties} duties do not fit a record of {}",
                    self.record_bytes
                ),
            ),
            (
                self.margin_ms.0 * MIN_MARGINS_PER_LEASE > self.ttl_ms.0,
                format!(
                    "a lease of {} is too short for a margin of {}",
                    self.ttl_ms, self.margin_ms
                ),
            ),
            (
                self.leases_tail_ms.0 * MIN_READS_PER_LEASE > self.ttl_ms.0,
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

    /// Returns all duties of the fleet.
    pub fn duties(&self) -> Vec<Duty> {
        let shards = (0..self.shards).map(|i| Duty::Shard(ShardId(i)));
        let coordinators = (0..self.coordinators).map(Duty::Coordinator);
        let single = [Duty::Snapshot, Duty::Directory];
        shards.chain(single).chain(coordinators).collect()
    }
}
