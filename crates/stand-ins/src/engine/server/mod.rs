//! The stand-in engine as a process: the engine's HTTP interface over a model that runs by the
//! real clock.
//!
//! Terms: the *driver* is the thread that advances the model; a *reader* a thread that writes one
//! stream's events; *model time* runs [`EngineSettings::time_scale`] times as fast as the clock.
//!
//! Beside the engine's interface there are `GET|POST /faults` for the switches and `GET /stats`
//! for what was computed and is held, and `GET /runs` for how often work of each request was
//! begun; all answer whatever the switches say.

mod routes;
mod shared;
mod streams;

use super::call::EngineStats;
use super::settings::EngineSettings;
use crate::faults::FaultSwitches;
use crate::serve::{self, Listening, Registration};
use bluebell_base::prelude::*;
use bluebell_platform::{VmEntry, VmState};
use routes::Routes;
use shared::Shared;
use std::io;
use std::net::SocketAddr;
use std::thread;
use std::time::Duration;

/// What a stand-in engine's process takes beside the settings of the engine itself.
#[derive(Clone, Debug, Default)]
pub struct ServerOptions {
    /// The credential that callers must give, if any.
    pub credential: Option<Arc<str>>,
    /// The switches it starts with.
    pub faults: FaultSwitches,
    /// Decides which cache events are lost.
    pub seed: u64,
}

/// A running stand-in engine; dropping it ends it.
#[derive(Debug)]
pub struct EngineServer {
    listening: Listening,
    shared: Arc<Shared>,
}

impl EngineServer {
    /// Serves an engine on `address`; port 0 lets the system pick one.
    ///
    /// # Errors
    /// Where the address can't be listened on or no thread be started.
    pub fn bind(
        address: &str,
        settings: EngineSettings,
        options: ServerOptions,
    ) -> io::Result<Self> {
        let shared = Arc::new(Shared::open(settings, options.seed));
        shared.set_faults(options.faults);
        let driver = Arc::clone(&shared);
        thread::Builder::new()
            .name("engine".into())
            .spawn(move || driver.drive())?;
        let routes = Routes::new(Arc::clone(&shared), options.credential);
        let listening = Listening::bind(address, move |request| routes.handle(request))?;
        Ok(Self { listening, shared })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.listening.address()
    }

    /// Registers it with the platform's list of VMs every `interval`, as leaving where its switch
    /// says so; until the handle is dropped.
    pub fn register(&self, platform: Address, entry: VmEntry, interval: Duration) -> Registration {
        let shared = Arc::clone(&self.shared);
        serve::register(platform, entry, interval, move || {
            match shared.lock().faults.leaving {
                true => VmState::Leaving,
                false => VmState::Live,
            }
        })
    }

    /// Sets the fault switches.
    pub fn set_faults(&self, faults: FaultSwitches) {
        self.shared.set_faults(faults);
    }

    /// What was computed and is held.
    pub fn stats(&self) -> EngineStats {
        self.shared.with(|state, _| state.model.stats())
    }
}

impl Drop for EngineServer {
    fn drop(&mut self) {
        self.shared.stop();
    }
}
