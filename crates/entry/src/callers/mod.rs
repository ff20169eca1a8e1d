//! The callers' interface: completions, calls of plain services, and reports on requests.
//!
//! Terms: a *call* is one HTTP exchange and has a number at this node; a *request* has an identity
//! in the fleet, which it receives on admission.
//!
//! Invariants: a call reaches the node only after it was authenticated, decoded and checked against
//! the limits; a caller that hangs up is reported with [`CallerCall::Disconnected`].

mod decode;
mod deliver;
mod encode;
mod exchange;
mod route;
mod sink;

#[doc(hidden)]
pub mod decoding {
    //! Access to the decoder for tests that feed it hostile input.

    use bluebell_base::prelude::*;
    use bluebell_config::FleetConfig;

    /// Decodes a body as each form of completion. It never panics.
    pub fn completion(body: &[u8], config: &FleetConfig) -> [Result<(), Error>; 2] {
        use crate::callers::decode::{CallHeaders, completion};
        use crate::callers::route::Form;
        let account = AccountName::from("test");
        [Form::Text, Form::Chat].map(|form| {
            completion(form, body, CallHeaders::default(), &account, config).map(|_| ())
        })
    }
}

use crate::calls::open_calls;
use crate::http::credentials::{self, KeyHash};
use crate::http::limits::Budget;
use crate::http::listener::Listener;
use crate::settings::{BindError, CallersSettings};
use bluebell_base::prelude::*;
use bluebell_bridge::{Bridge, EventSender};
use bluebell_config::FleetConfig;
use bluebell_requests::call::CallerCall;
use stakker::Fwd;
use std::net::SocketAddr;
use std::sync::RwLock;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

/// The running callers' interface.
pub struct Callers {
    listener: Listener,
    shared: Arc<Shared>,
}

/// The state shared by the threads of the interface.
pub(crate) struct Shared {
    settings: CallersSettings,
    in_force: RwLock<Option<Arc<InForce>>>,
    ready: AtomicBool,
    calls: EventSender<CallerCall>,
    last_caller: AtomicU64,
    call_budget: Budget,
    body_budget: Budget,
}

/// The configuration in force, with the hashes of the accounts' keys in the form used for
/// comparison.
pub(crate) struct InForce {
    config: Arc<FleetConfig>,
    keys: Vec<KeyHash>,
}

impl Callers {
    /// Starts listening and sends calls to `calls` on the actor thread.
    ///
    /// Every call is refused as not run until [`Callers::set_config`] is called.
    ///
    /// # Errors
    /// [`BindError::Listen`] if listening at the address fails, [`BindError::Bridge`] if the bridge
    /// takes no jobs.
    pub fn bind(
        settings: CallersSettings,
        bridge: &Bridge,
        calls: Fwd<CallerCall>,
    ) -> Result<Self, BindError> {
        let address = settings.address.clone();
        let write_timeout_ms = settings.write_timeout_ms;
        let shared = Arc::new(Shared {
            in_force: RwLock::default(),
            ready: AtomicBool::new(false),
            calls: open_calls(bridge, calls)?,
            last_caller: AtomicU64::new(0),
            call_budget: Budget::open(settings.max_calls as u64),
            body_budget: Budget::open(settings.max_body_bytes.0),
            settings,
        });
        let own = Arc::clone(&shared);
        let handler = Arc::new(move |request| exchange::handle(&own, request));
        let listener = Listener::bind("callers", &address, write_timeout_ms, handler)?;
        Ok(Self { listener, shared })
    }

    /// Returns the address that the interface listens at.
    pub fn address(&self) -> SocketAddr {
        self.listener.address()
    }

    /// Applies a configuration to this interface: accounts, models, classes, services and limits.
    pub fn set_config(&self, config: Arc<FleetConfig>) {
        let in_force = InForce::new(config);
        let mut current = self
            .shared
            .in_force
            .write()
            .unwrap_or_else(|e| e.into_inner());
        *current = Some(Arc::new(in_force));
    }

    /// Sets the readiness that `GET /readyz` reports to the load balancer, which then sends new
    /// calls here or stops doing so.
    pub fn set_ready(&self, ready: bool) {
        self.shared.ready.store(ready, Ordering::Release);
    }

    /// Returns the number of calls for work in progress.
    pub fn calls_in_progress(&self) -> u64 {
        self.shared.call_budget.taken()
    }

    /// Returns the total size of the request bodies in memory.
    pub fn body_bytes_held(&self) -> Bytes {
        Bytes(self.shared.body_budget.taken())
    }

    /// Stops accepting calls. Calls in progress run to completion.
    pub fn stop(self) {
        self.shared.ready.store(false, Ordering::Release);
        self.listener.stop();
    }
}

impl InForce {
    fn new(config: Arc<FleetConfig>) -> Self {
        let hash = |account: &bluebell_config::Account| {
            let hash = KeyHash::from_hex(&account.key_sha256);
            // Validation of the configuration accepts only valid hashes. A hash of no account's key
            // keeps the positions of the other accounts.
            hash.unwrap_or_else(|| KeyHash::of(""))
        };
        let keys = config.accounts.iter().map(hash).collect();
        Self { config, keys }
    }

    /// Returns the account that a credential belongs to.
    fn account(&self, credential: &str) -> Option<&AccountName> {
        if credential.is_empty() {
            return None;
        }
        let index = credentials::find(&self.keys, &KeyHash::of(credential))?;
        Some(&self.config.accounts[index].name)
    }
}
