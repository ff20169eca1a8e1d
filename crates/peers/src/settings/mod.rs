//! The settings of the peer interface and the fleet's shared secret.
//!
//! Invariants: the secret is never printed; its `Debug` output only shows that it exists.

use bluebell_base::prelude::*;
use std::fmt;

/// The minimum length of the secret, in bytes.
const MIN_SECRET_BYTES: usize = 16;

/// The `Retry-After` time of a call that is refused because too many calls are in progress.
pub(crate) const RETRY_AFTER_MS: SpanMs = SpanMs(500);

/// The secret shared by all nodes of the fleet.
#[derive(Clone, PartialEq, Eq)]
pub struct FleetSecret(Arc<[u8]>);

/// An error for a secret that is too short.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the fleet's secret has fewer than {MIN_SECRET_BYTES} bytes")]
pub struct WeakSecret;

impl FleetSecret {
    /// Creates the secret from the text in the settings.
    ///
    /// # Errors
    /// [`WeakSecret`] if the text is shorter than the minimum length.
    pub fn new(text: &str) -> Result<Self, WeakSecret> {
        if text.len() < MIN_SECRET_BYTES {
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
    /// The timeout of a call, including the time to connect.
    pub call_timeout_ms: SpanMs,
    /// The maximum number of calls to peers in progress at once.
    pub max_calls: usize,
    /// The maximum number of peers' calls served at once.
    pub max_served: usize,
    /// The maximum number of open connections from peers.
    pub max_connections: u32,
    /// The maximum size of a call or answer.
    pub max_body_bytes: Bytes,
    /// The maximum difference between two VMs' wall clocks. A call outside it is refused as a
    /// possible replay.
    pub max_clock_skew_ms: SpanMs,
    /// The number of threads of the runtime.
    pub worker_threads: usize,
}

impl PeerSettings {
    /// Returns the maximum size of a call or answer in the library's type.
    pub(crate) fn body_limit_bytes(&self) -> u32 {
        u32::try_from(self.max_body_bytes.0).unwrap_or(u32::MAX)
    }

    /// Returns the default settings with the given secret.
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
