//! The administration API, on an address of its own.
//!
//! Invariants: every path asks for the operators' credential; a configuration reaches the node
//! only after the whole check; no answer carries a secret.

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

/// How many of the largest bodies may be in memory at once.
const BODIES: u64 = 4;

/// How long a write to an operator that doesn't read may take.
const WRITE_TIMEOUT_MS: SpanMs = SpanMs(20_000);

/// The running administration API.
pub struct Admin {
    listener: Listener,
}

/// What the threads of the API share.
pub(crate) struct Shared {
    settings: AdminSettings,
    credential: KeyHash,
    calls: EventSender<AdminCall>,
    last_call: AtomicU64,
    body_budget: Budget,
}

impl Admin {
    /// Listens, and hands calls to `calls` on the actor thread.
    ///
    /// # Errors
    /// Where the address can't be listened at or the bridge takes no jobs.
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
            body_budget: Budget::open(settings.body_bytes.0.saturating_mul(BODIES)),
            settings,
        };
        let handler = Arc::new(move |request| exchange::handle(&shared, request));
        let listener = Listener::bind("admin", &address, WRITE_TIMEOUT_MS, handler)?;
        Ok(Self { listener })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.listener.address()
    }

    /// Stops taking calls; those in progress go on to their end.
    pub fn stop(self) {
        self.listener.stop();
    }
}
