//! Replicas that reported in their answers that they leave.
//!
//! Load pattern: a replica that leaves has its entry changed in the directory. The directory may be away
//! for longer than the replica may still get requests. Each answer of the replica reports the same.
//!
//! Reason for the limits: a replica that leaves doesn't stay, so its report applies to its whole run,
//! whatever an earlier entry says. A later start of it has another key. A node that received such a
//! report repeats it to its peers for some seconds, so that a lost datagram does no harm.
//!
//! Invariants: a report is forgotten only once the replica's entry has been gone for long.

use bluebell_base::prelude::*;
use rustc_hash::FxHashMap;

use crate::replicas::ReplicaKey;

/// The time for which this node notifies its peers of a replica whose own answer it received.
const NOTIFY_FOR_MS: SpanMs = SpanMs(10_000);

/// The time for which a replica that the directory doesn't list is remembered. After an outage its entry
/// may return.
const RETENTION_MS: SpanMs = SpanMs(600_000);

/// The maximum number of remembered replicas. It bounds the memory, since peers may name any keys.
const MAX_REPLICAS: usize = 8_192;

/// The source of a report that a replica leaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ReportSource {
    Answer,
    Peer,
}

#[derive(Clone, Copy, Debug)]
struct LeavingReplica {
    source: ReportSource,
    /// The time at which this node first received the report.
    since_ms: MonoMs,
    /// The time at which it was last listed.
    listed_ms: MonoMs,
}

/// The replicas that reported that they leave.
#[derive(Debug, Default)]
pub struct LeavingReplicas(FxHashMap<ReplicaKey, LeavingReplica>);

impl LeavingReplicas {
    /// Records that an answer of the replica reports that it leaves. Returns true if that is new.
    pub fn on_answer(&mut self, key: ReplicaKey, now_ms: MonoMs) -> bool {
        self.record(key, ReportSource::Answer, now_ms)
    }

    /// Records a peer's notice that the replica leaves. Returns true if that is new.
    pub fn on_notified(&mut self, key: ReplicaKey, now_ms: MonoMs) -> bool {
        self.record(key, ReportSource::Peer, now_ms)
    }

    fn record(&mut self, key: ReplicaKey, source: ReportSource, now_ms: MonoMs) -> bool {
        if self.0.contains_key(&key) || self.0.len() >= MAX_REPLICAS {
            return false;
        }
        let replica = LeavingReplica {
            source,
            since_ms: now_ms,
            listed_ms: now_ms,
        };
        self.0.insert(key, replica);
        true
    }

    /// Returns true if the replica reported that it leaves.
    pub fn contains(&self, key: ReplicaKey) -> bool {
        self.0.contains_key(&key)
    }

    /// Returns the replicas whose reports this node repeats to its peers.
    pub fn to_notify(&self, now_ms: MonoMs) -> Vec<ReplicaKey> {
        let reported = self.0.iter().filter(|(_, replica)| {
            replica.source == ReportSource::Answer && now_ms.since(replica.since_ms) < NOTIFY_FOR_MS
        });
        reported.map(|(key, _)| *key).collect()
    }

    /// Forgets replicas that haven't been listed for long.
    pub fn expire(&mut self, is_listed: impl Fn(ReplicaKey) -> bool, now_ms: MonoMs) {
        self.0.retain(|key, replica| {
            if is_listed(*key) {
                replica.listed_ms = now_ms;
            }
            now_ms.since(replica.listed_ms) < RETENTION_MS
        });
    }
}
