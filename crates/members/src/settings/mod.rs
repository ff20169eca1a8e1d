//! The dependencies and settings of membership.

use bluebell_base::prelude::*;
use bluebell_peers::PeerPort;
use bluebell_platform::{LogPort, VmListPort};
use std::rc::Rc;

/// The interfaces through which membership accesses the platform and the peers.
#[derive(Clone)]
pub struct MembersPorts {
    /// The platform's list of VMs.
    pub list: Rc<dyn VmListPort>,
    /// The platform's log.
    pub log: Rc<dyn LogPort>,
    /// The other nodes.
    pub peers: Rc<dyn PeerPort>,
}

/// The intervals and limits of membership. They must be the same on all nodes of a fleet.
#[derive(Clone, Debug, PartialEq)]
pub struct MembersSettings {
    /// The name of the directory stream.
    pub directory_stream: StreamName,
    /// Configured peer addresses, for a start while the list is unavailable.
    pub seeds: Vec<Address>,
    /// The interval at which the writer of the directory fetches the list. A long list is fetched
    /// less often; see `list_bytes`.
    pub writer_poll_ms: SpanMs,
    /// The maximum rate at which one node fetches the list, in bytes/s.
    pub list_bytes: PerSecond,
    /// The interval at which a node fetches the list itself while the directory stream is stale,
    /// with a jitter of half the interval in either direction.
    pub fallback_poll_ms: SpanMs,
    /// The time between reads of the directory stream.
    pub directory_tail_ms: SpanMs,
    /// The interval at which the writer writes a heartbeat if it has nothing else to write.
    pub beat_ms: SpanMs,
    /// The time without a directory record after which the stream is stale.
    pub stale_ms: SpanMs,
    /// The time for which the log keeps records.
    pub retention_ms: SpanMs,
    /// The maximum size of a record in the log.
    pub record_bytes: Bytes,
    /// The mean interval between probes. Each goes to one random peer.
    pub probe_ms: SpanMs,
    /// The number of peers that a node notifies at once of a leaving upstream or of its own stop.
    pub news_fanout: usize,
    /// The time for which an upstream's refusal overrides the list.
    pub refusal_ms: SpanMs,
    /// The number of lists in a row that must lack an entry before it is removed.
    pub absence_confirmations: u32,
}

impl Default for MembersSettings {
    fn default() -> Self {
        Self {
            directory_stream: "directory".into(),
            seeds: Vec::new(),
            writer_poll_ms: SpanMs(1_000),
            list_bytes: PerSecond(3_000.0),
            fallback_poll_ms: SpanMs::from_secs(20),
            directory_tail_ms: SpanMs(1_000),
            beat_ms: SpanMs::from_secs(10),
            stale_ms: SpanMs::from_secs(30),
            retention_ms: SpanMs::from_secs(24 * 3600),
            record_bytes: Bytes(64 * 1024),
            probe_ms: SpanMs(1_000),
            news_fanout: 4,
            refusal_ms: SpanMs::from_secs(60),
            absence_confirmations: 3,
        }
    }
}
