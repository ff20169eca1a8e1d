//! What membership is set up with.

use bluebell_base::prelude::*;
use bluebell_peers::PeerPort;
use bluebell_platform::{LogPort, VmListPort};
use std::rc::Rc;

/// What membership reaches the outside through.
#[derive(Clone)]
pub struct MembersPorts {
    /// The platform's list of VMs.
    pub list: Rc<dyn VmListPort>,
    /// The platform's log.
    pub log: Rc<dyn LogPort>,
    /// The other nodes.
    pub peers: Rc<dyn PeerPort>,
}

/// The intervals and limits of membership; the same on all nodes of a fleet.
#[derive(Clone, Debug, PartialEq)]
pub struct MembersSettings {
    /// The stream of directory records.
    pub directory_stream: StreamName,
    /// Peer addresses known from settings, for a start while the list is down.
    pub seeds: Vec<Address>,
    /// How often the holder of the duty fetches the list, where it is short.
    pub writer_poll_ms: SpanMs,
    /// The rate at which one node may fetch lists; a long list is fetched less often.
    pub list_bytes: PerSecond,
    /// How often a node fetches the list itself while the directory stream is stale; varied by
    /// half of itself either way.
    pub own_poll_ms: SpanMs,
    /// The time between reads of the directory stream.
    pub directory_tail_ms: SpanMs,
    /// How often the holder writes that it is at work, if nothing else is to be written.
    pub beat_ms: SpanMs,
    /// How long without a directory record until the stream counts as stale.
    pub stale_ms: SpanMs,
    /// How long the log keeps records.
    pub retention_ms: SpanMs,
    /// The largest record the log takes.
    pub record_bytes: Bytes,
    /// The time between probes of random peers, one at a time.
    pub probe_ms: SpanMs,
    /// How many peers are told at once of an upstream that begins to leave.
    pub news_fanout: usize,
    /// How long an upstream's own refusal counts against the list.
    pub refusal_ms: SpanMs,
    /// In how many answers in a row an entry has to be missing before it is gone.
    pub confirmations: u32,
}

impl Default for MembersSettings {
    fn default() -> Self {
        Self {
            directory_stream: "directory".into(),
            seeds: Vec::new(),
            writer_poll_ms: SpanMs(1_000),
            list_bytes: PerSecond(3_000.0),
            own_poll_ms: SpanMs::from_secs(20),
            directory_tail_ms: SpanMs(1_000),
            beat_ms: SpanMs::from_secs(10),
            stale_ms: SpanMs::from_secs(30),
            retention_ms: SpanMs::from_secs(24 * 3600),
            record_bytes: Bytes(64 * 1024),
            probe_ms: SpanMs(1_000),
            news_fanout: 4,
            refusal_ms: SpanMs::from_secs(60),
            confirmations: 3,
        }
    }
}
