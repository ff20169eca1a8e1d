//! The node's monotonic clock.

use bluebell_base::prelude::*;
use tokio::time::Instant;

/// A monotonic clock in milliseconds that starts with the node. It is cheap to copy.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin: Instant,
}

impl Clock {
    /// The reading of the clock when it starts. It is above 0 so that spans can be subtracted from early
    /// instants.
    const START_MS: u64 = 600_000;

    /// Creates a clock that starts now.
    pub fn open() -> Self {
        Self {
            origin: Instant::now(),
        }
    }

    /// Returns the current instant.
    pub fn now_ms(&self) -> MonoMs {
        let since = Instant::now().saturating_duration_since(self.origin);
        MonoMs(Self::START_MS + since.as_millis() as u64)
    }
}
