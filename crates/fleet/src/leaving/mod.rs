//! Replicas that said in their answers that they leave.
//!
//! Load pattern: a replica that leaves has its entry changed in the directory, which may be away for
//! longer than the replica may still get requests. Every answer of it says the same.
//!
//! Reason for the limits: a replica that leaves doesn't stay, so what it said holds for its run,
//! whatever an entry from before says. A later start of it has another key. What one node heard the
//! others hear of for some seconds, so that a lost datagram loses nothing.
//!
//! Invariants: what was said of a replica is forgotten only once its entry is long gone.

use bluebell_base::prelude::*;
use rustc_hash::FxHashMap;

use crate::replicas::ReplicaKey;

/// How long this node notifies its peers of a replica whose answer it heard.
const NOTIFIED_MS: SpanMs = SpanMs(10_000);

/// How long a replica is remembered that no directory lists: its entry may be back after an outage.
const REMEMBERED_MS: SpanMs = SpanMs(600_000);

/// The most replicas that are remembered; peers may name any.
const MOST: usize = 8_192;

/// How it became known that a replica leaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Origin {
    Answer,
    Peer,
}

#[derive(Clone, Copy, Debug)]
struct Leaver {
    origin: Origin,
    since_ms: MonoMs,
    /// When it was listed last.
    listed_ms: MonoMs,
}

/// The replicas that said that they leave.
#[derive(Debug, Default)]
pub struct LeavingReplicas(FxHashMap<ReplicaKey, Leaver>);

impl LeavingReplicas {
    /// An answer of the replica says that it leaves. Returns whether that is new.
    pub fn on_answer(&mut self, key: ReplicaKey, now_ms: MonoMs) -> bool {
        self.note(key, Origin::Answer, now_ms)
    }

    /// A peer heard that the replica leaves. Returns whether that is new.
    pub fn on_notified(&mut self, key: ReplicaKey, now_ms: MonoMs) -> bool {
        self.note(key, Origin::Peer, now_ms)
    }

    fn note(&mut self, key: ReplicaKey, origin: Origin, now_ms: MonoMs) -> bool {
        if self.0.contains_key(&key) || self.0.len() >= MOST {
            return false;
        }
        let leaver = Leaver {
            origin,
            since_ms: now_ms,
            listed_ms: now_ms,
        };
        self.0.insert(key, leaver);
        true
    }

    /// Whether the replica said that it leaves.
    pub fn contains(&self, key: ReplicaKey) -> bool {
        self.0.contains_key(&key)
    }

    /// The replicas of which peers are to be notified again.
    pub fn to_notify(&self, now_ms: MonoMs) -> Vec<ReplicaKey> {
        let heard = self.0.iter().filter(|(_, leaver)| {
            leaver.origin == Origin::Answer && now_ms.since(leaver.since_ms) < NOTIFIED_MS
        });
        heard.map(|(key, _)| *key).collect()
    }

    /// Forgets replicas that haven't been listed for long.
    pub fn expire(&mut self, is_listed: impl Fn(ReplicaKey) -> bool, now_ms: MonoMs) {
        self.0.retain(|key, leaver| {
            if is_listed(*key) {
                leaver.listed_ms = now_ms;
            }
            now_ms.since(leaver.listed_ms) < REMEMBERED_MS
        });
    }
}
