//! Readings of what other parts count, copied into the metrics at a fixed interval.
//!
//! Invariants: a counter is advanced by the difference to the last reading, so it never goes back.

use super::Hub;
use bluebell_base::prelude::*;
use bluebell_peers::{CallKind, PeerStats};
use bluebell_telemetry::Peer;
use stakker::{CX, fwd_to};

/// The pause between two readings.
const READING_PAUSE_MS: SpanMs = SpanMs::from_secs(5);

/// The last readings.
#[derive(Debug, Default)]
pub struct Meter {
    peer_bytes: Bytes,
}

impl Hub {
    pub(super) fn read_meters(&mut self, cx: CX![]) {
        let parts = &self.parts;
        let peer_bytes = bytes_of(&parts.peer_stats);
        let news = peer_bytes.saturating_sub(self.meter.peer_bytes);
        self.meter.peer_bytes = peer_bytes;
        parts.metrics.control_bytes(Peer::Node, news);
        parts.metrics.in_flight(parts.callers.calls_in_progress());
        let again = fwd_to!([cx], on_meters_due() as (MonoMs));
        parts.timers.subscribe_in(cx, READING_PAUSE_MS, again);
    }

    fn on_meters_due(&mut self, cx: CX![], _now_ms: MonoMs) {
        self.read_meters(cx);
    }
}

/// All bytes sent to and received from other nodes.
fn bytes_of(stats: &PeerStats) -> Bytes {
    let counts = CallKind::ALL.iter().map(|kind| stats.count(*kind));
    counts.map(|c| c.sent_bytes + c.received_bytes).sum()
}
