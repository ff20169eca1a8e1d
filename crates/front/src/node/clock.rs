//! The node's monotonic clock.

use bluebell_base::prelude::*;
use tokio::time::Instant;

/// Milliseconds since the node started; cheap to copy.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin: Instant,
}

impl Clock {
    /// How far after 0 a node's time begins, so that spans can be taken off it.
    const HEAD_START_MS: u64 = 600_000;

    /// A clock that starts now.
    pub fn open() -> Self {
        Self {
            origin: Instant::now(),
        }
    }

    /// The instant now.
    pub fn now_ms(&self) -> MonoMs {
        let since = Instant::now().saturating_duration_since(self.origin);
        MonoMs(Self::HEAD_START_MS + since.as_millis() as u64)
    }
}
