//! The runtime for calls to and from peers, shared by client and server.

use crate::settings::PeerSettings;
use crate::stats::PeerStats;
use bluebell_base::prelude::*;
use bluebell_bridge::Bridge;
use std::io;
use std::time::{SystemTime, UNIX_EPOCH};
use tokio::runtime::{Builder, Runtime};

/// The threads, settings and counters of a node's peer interface. It is cheap to clone.
#[derive(Clone, Debug)]
pub struct PeerRuntime {
    pub(crate) runtime: Arc<BackgroundRuntime>,
    pub(crate) settings: Arc<PeerSettings>,
    pub(crate) bridge: Bridge,
    pub(crate) stats: Arc<PeerStats>,
}

/// A runtime that shuts down without waiting for its tasks.
#[derive(Debug)]
pub(crate) struct BackgroundRuntime(Option<Runtime>);

impl PeerRuntime {
    /// Starts the runtime's threads.
    pub fn open(settings: PeerSettings, bridge: &Bridge) -> io::Result<Self> {
        let runtime = Builder::new_multi_thread()
            .worker_threads(settings.worker_threads.max(1))
            .thread_name("peers")
            .enable_all()
            .build()?;
        Ok(Self {
            runtime: Arc::new(BackgroundRuntime(Some(runtime))),
            settings: Arc::new(settings),
            bridge: bridge.clone(),
            stats: Arc::default(),
        })
    }

    /// Returns the counters of calls and bytes.
    pub fn stats(&self) -> Arc<PeerStats> {
        Arc::clone(&self.stats)
    }
}

impl BackgroundRuntime {
    pub(crate) fn get(&self) -> &Runtime {
        self.0.as_ref().expect("taken only when dropped")
    }
}

impl Drop for BackgroundRuntime {
    fn drop(&mut self) {
        if let Some(runtime) = self.0.take() {
            runtime.shutdown_background();
        }
    }
}

/// Returns this VM's wall-clock time. It is only used in signed calls.
pub(crate) fn wall_ms() -> WallMs {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    WallMs(since.map_or(0, |since| since.as_millis() as u64))
}
