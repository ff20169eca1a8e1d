//! The events that the log of decisions knows.

use crate::platform::Era;
use bluebell_base::prelude::*;
use bluebell_fleet::prelude::*;
use bluebell_quarantine::prelude::*;
use serde::Serialize;
use std::net::SocketAddr;

/// One line of the log.
#[derive(Clone, Debug, Serialize)]
#[serde(tag = "event", rename_all = "snake_case")]
#[allow(missing_docs)]
pub enum Event {
    /// The process serves.
    Started {
        callers: SocketAddr,
        incarnation: u64,
    },
    /// The process was told to read its settings again.
    Reloaded,
    /// A planned stop began.
    Stopping { connections: usize },
    /// The process ends.
    Stopped { connections: usize },
    /// A configuration is in force.
    ConfigInForce {
        version: ConfigVersion,
        routes: usize,
        replaced: Option<ConfigVersion>,
        /// Where it was read: at the directory or at a peer.
        from: &'static str,
        /// For how long the node had known of it, or of a version before it that it missed.
        behind_ms: SpanMs,
    },
    /// A peer named a newer configuration than the one in force.
    ConfigKnown { version: ConfigVersion, peer: u64 },
    /// The configuration in force has been older than the newest known one for long.
    ConfigBehind {
        in_force: ConfigVersion,
        newest: ConfigVersion,
        behind_ms: SpanMs,
    },
    /// A peer that was asked for a newer configuration didn't give it.
    ConfigCopyFailed { peer: u64, reason: Arc<str> },
    /// A read of the configuration failed.
    ConfigReadFailed { reason: Arc<str>, waited_ms: SpanMs },
    /// The directory can't be read.
    DirectoryLost { what: Arc<str>, reason: Arc<str> },
    /// The directory is read again.
    DirectoryFound { what: Arc<str>, away_ms: SpanMs },
    /// The directory came back with another history.
    DirectoryRenewed { era: Era },
    /// A replica is known now.
    ReplicaFound {
        instance: Arc<str>,
        key: ReplicaKey,
        address: SocketAddr,
    },
    /// A replica has started again; what its earlier start had in hand is lost.
    ReplicaRestarted {
        instance: Arc<str>,
        key: ReplicaKey,
        started: ReplicaStart,
    },
    /// A directory entry names no replica to use.
    EntryUnusable { instance: Arc<str>, why: Arc<str> },
    /// A replica takes no new work.
    ReplicaLeaving { instance: Arc<str> },
    /// A replica's entry lapsed while the directory was away.
    ReplicaLapsed { instance: Arc<str> },
    /// A replica whose entry had lapsed is listed again.
    ReplicaRelisted { instance: Arc<str> },
    /// A replica is gone.
    ReplicaGone { instance: Arc<str> },
    /// A replica gets no work for a while.
    ReplicaDoubted { instance: Arc<str>, why: Arc<str> },
    /// An engine's pace changed.
    EnginePace { key: ReplicaKey, pace: Arc<str> },
    /// A replica names how many requests it takes from all nodes together.
    LimitNamed {
        instance: Arc<str>,
        rate_per_s: PerSecond,
        how: &'static str,
        /// How many replicas name a limit now.
        limited: usize,
    },
    /// A replica no longer names a limit.
    LimitEnded {
        instance: Arc<str>,
        how: &'static str,
        limited: usize,
    },
    /// A replica says in its answers that it leaves.
    ReplicaSaysLeaving {
        instance: Arc<str>,
        how: &'static str,
    },
    /// A replica turned a request away and wants none for a while.
    ReplicaAsksForRest { instance: Arc<str>, rest_ms: SpanMs },
    /// A peer is known now.
    PeerFound { incarnation: u64 },
    /// A peer is silent.
    PeerLost { incarnation: u64, silent_ms: SpanMs },
    /// A request was turned away; it has not run.
    Refused {
        request: Arc<str>,
        status: u16,
        why: Arc<str>,
        prompt_tokens: Tokens,
        age_ms: SpanMs,
        retry_after_ms: SpanMs,
    },
    /// A request was sent to a replica.
    Placed {
        request: Arc<str>,
        attempt: u32,
        instance: Arc<str>,
        helpers: Vec<ReplicaKey>,
        /// What the engine had in hand, as this node knew it.
        writers: u32,
        backlog_ms: u64,
        prompt_tokens: Tokens,
        part_ms: u64,
        expected_first_ms: u64,
        age_ms: SpanMs,
    },
    /// A try failed.
    TryFailed {
        request: Arc<str>,
        attempt: u32,
        instance: Arc<str>,
        why: Arc<str>,
        ran: Verdict,
        /// The same for all arrivals of one request; told where it may have run.
        digest: Option<RequestDigest>,
        age_ms: SpanMs,
    },
    /// A replica ended under a request.
    ReplicaEnded {
        instance: Arc<str>,
        request: Arc<str>,
        digest: RequestDigest,
        evidence: Evidence,
    },
    /// A request is run no more, since each replica that ran it has ended.
    RequestQuarantined {
        digest: RequestDigest,
        term: Term,
        how: &'static str,
    },
    /// A request is run again.
    QuarantineEnded {
        digest: RequestDigest,
        how: &'static str,
    },
    /// Memory is set aside for a request at a helper.
    MemoryReserved {
        request: Arc<str>,
        name: Arc<str>,
        address: SocketAddr,
        tokens: Tokens,
    },
    /// An engine answered an order about memory, or didn't.
    MemoryOrdered {
        name: Arc<str>,
        address: SocketAddr,
        order: &'static str,
        answer: &'static str,
    },
    /// Memory isn't renewed, since the engine that writes for its request doesn't answer.
    MemoryLapses { name: Arc<str>, writer: Arc<str> },
    /// A request got no second try because the budget is spent.
    BudgetSpent { request: Arc<str> },
    /// A stream goes on at another replica.
    Resumed {
        request: Arc<str>,
        last_event: Option<Arc<str>>,
    },
    /// A request was answered.
    Answered {
        request: Arc<str>,
        status: u16,
        attempts: u32,
        prompt_tokens: Tokens,
        first_ms: SpanMs,
        end_ms: SpanMs,
        longest_pause_ms: SpanMs,
    },
    /// A request failed after it may have run.
    Failed {
        request: Arc<str>,
        status: u16,
        why: Arc<str>,
        age_ms: SpanMs,
    },
    /// The caller left.
    Cancelled { request: Arc<str>, age_ms: SpanMs },
    /// Lines that didn't fit the buffer.
    LinesDropped { count: u64 },
}
