//! The settings of the peer interface, and the fleet's shared secret.
//!
//! Invariants: the secret never prints; its `Debug` shows only that there is one.

use bluebell_base::prelude::*;
use std::fmt;

/// The shortest secret accepted, in bytes.
const SHORTEST_SECRET_BYTES: usize = 16;

/// When to come back after too many calls were under way or being served.
pub(crate) const RETRY_AFTER_MS: SpanMs = SpanMs(500);

/// The secret that all nodes of the fleet share.
#[derive(Clone, PartialEq, Eq)]
pub struct FleetSecret(Arc<[u8]>);

/// A secret too short to protect anything.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the fleet's secret has fewer than {SHORTEST_SECRET_BYTES} bytes")]
pub struct WeakSecret;

impl FleetSecret {
    /// Takes the secret from settings.
    pub fn new(text: &str) -> Result<Self, WeakSecret> {
        if text.len() < SHORTEST_SECRET_BYTES {
            return Err(WeakSecret);
        }
        Ok(Self(text.as_bytes().into()))
    }

    pub(crate) fn bytes(&self) -> &[u8] {
        &self.0
    }
}

impl fmt::Debug for FleetSecret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("FleetSecret(..)")
    }
}

/// The settings of the peer interface.
#[derive(Clone, Debug)]
pub struct PeerSettings {
    /// The fleet's shared secret.
    pub secret: FleetSecret,
    /// How long a call may take, connecting included.
    pub call_timeout_ms: SpanMs,
    /// Calls that may be under way to peers at once.
    pub max_calls: usize,
    /// Calls of peers that may be served at once.
    pub max_served: usize,
    /// Connections of peers that may be open at once.
    pub max_connections: u32,
    /// The largest call or answer.
    pub max_body_bytes: Bytes,
    /// How far two VMs' wall clocks may differ before a call is refused as a replay.
    pub max_clock_skew_ms: SpanMs,
    /// Threads of the runtime that carries the calls.
    pub worker_threads: usize,
}

impl PeerSettings {
    /// The largest call or answer, as the library counts it.
    pub(crate) fn body_limit_bytes(&self) -> u32 {
        u32::try_from(self.max_body_bytes.0).unwrap_or(u32::MAX)
    }

    /// The defaults, with the secret given.
    pub fn new(secret: FleetSecret) -> Self {
        Self {
            secret,
            call_timeout_ms: SpanMs::from_secs(2),
            max_calls: 1024,
            max_served: 1024,
            max_connections: 1024,
            max_body_bytes: Bytes(4 * 1024 * 1024),
            max_clock_skew_ms: SpanMs::from_secs(300),
            worker_threads: 2,
        }
    }
}
