//! The administration API, which listens on an address of its own.
//!
//! Invariants: every path requires the operators' credential; a configuration reaches the node only
//! after it was fully validated; no answer contains a secret.

mod exchange;
mod route;

use crate::AdminCall;
use crate::calls::open_calls;
use crate::http::credentials::KeyHash;
use crate::http::limits::Budget;
use crate::http::listener::Listener;
use crate::settings::{AdminSettings, BindError};
use bluebell_base::prelude::*;
use bluebell_bridge::{Bridge, EventSender};
use stakker::Fwd;
use std::net::SocketAddr;
use std::sync::atomic::AtomicU64;

/// The number of bodies of the largest size that may be in memory at once.
const MAX_BODIES_IN_MEMORY: u64 = 4;

/// The timeout of a write to an operator that doesn't read.
const WRITE_TIMEOUT_MS: SpanMs = SpanMs(20_000);

/// The running administration API.
pub struct Admin {
    listener: Listener,
}

/// The state shared by the threads of the API.
pub(crate) struct Shared {
    settings: AdminSettings,
    credential: KeyHash,
    calls: EventSender<AdminCall>,
    last_call: AtomicU64,
    body_budget: Budget,
}

impl Admin {
    /// Starts listening and sends calls to `calls` on the actor thread.
    ///
    /// # Errors
    /// [`BindError::Listen`] if listening at the address fails, [`BindError::Bridge`] if the bridge
    /// takes no jobs.
    pub fn bind(
        settings: AdminSettings,
        bridge: &Bridge,
        calls: Fwd<AdminCall>,
    ) -> Result<Self, BindError> {
        let address = settings.address.clone();
        let shared = Shared {
            credential: KeyHash::of(&settings.credential),
            calls: open_calls(bridge, calls)?,
            last_call: AtomicU64::new(0),
            body_budget: Budget::open(settings.body_bytes.0.saturating_mul(MAX_BODIES_IN_MEMORY)),
            settings,
        };
        let handler = Arc::new(move |request| exchange::handle(&shared, request));
        let listener = Listener::bind("admin", &address, WRITE_TIMEOUT_MS, handler)?;
        Ok(Self { listener })
    }

    /// Returns the address that the API listens at.
    pub fn address(&self) -> SocketAddr {
        self.listener.address()
    }

    /// Stops accepting calls. Calls in progress run to completion.
    pub fn stop(self) {
        self.listener.stop();
    }
}
