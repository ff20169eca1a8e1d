//! The peer interface of a node: a JSON-RPC server with one method, which accepts a signed
//! [`PeerCall`].
//!
//! There is one method for all kinds of call, rather than one per kind: the signature covers kind
//! and arguments alike, a new kind needs no registration, and an older node answers an unknown kind
//! with a signed error of the same form as any other refusal.
//!
//! Invariants: no part of an unsigned call reaches an actor; the number of calls served at once is
//! bounded; no content of a call can make the server panic.

use crate::Incoming;
use crate::envelope::{ReplayGuard, Reply, SealedAnswer, SealedCall};
use crate::message::{PeerAnswer, PeerCall};
use crate::runtime::{PeerRuntime, wall_ms};
use crate::settings::{PeerSettings, RETRY_AFTER_MS};
use crate::stats::{CallKind, PeerStats};
use bluebell_base::prelude::*;
use bluebell_bridge::EventSender;
use jsonrpsee::RpcModule;
use jsonrpsee::server::{BatchRequestConfig, ServerBuilder, ServerConfig, ServerHandle};
use jsonrpsee::types::{ErrorObjectOwned, Params};
use stakker::{Fwd, Ret};
use std::io;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;
use tokio::sync::{Semaphore, oneshot};

/// The name of the JSON-RPC method.
pub(crate) const CALL_METHOD: &str = "peer";

/// JSON-RPC error codes of refusals that are sent before a call is known to come from a peer.
const UNAUTHENTICATED_CODE: i32 = -32001;
const MALFORMED_CODE: i32 = -32602;
const INTERNAL_CODE: i32 = -32603;

type Answer = Result<PeerAnswer, Error>;

/// A running peer interface. It stops when dropped.
#[derive(Debug)]
pub struct PeerServer {
    address: Address,
    handle: ServerHandle,
    _runtime: PeerRuntime,
}

/// A received call that is passed to the actor thread.
struct ReceivedCall {
    call: PeerCall,
    reply: oneshot::Sender<Answer>,
}

/// The state that serving a call requires.
struct Service {
    settings: Arc<PeerSettings>,
    stats: Arc<PeerStats>,
    guard: Mutex<ReplayGuard>,
    slots: Semaphore,
    received_calls: EventSender<ReceivedCall>,
}

impl PeerServer {
    /// Listens on `address` and sends each call to `incoming`. Port 0 selects any free port.
    pub fn bind(
        runtime: &PeerRuntime,
        address: &Address,
        incoming: Fwd<Incoming>,
    ) -> io::Result<Self> {
        let service = Service::new(runtime, incoming);
        let module = service.module().map_err(io::Error::other)?;
        let config = server_config(&runtime.settings);
        let tokio = runtime.runtime.get();
        let server = tokio.block_on(
            ServerBuilder::new()
                .set_config(config)
                .build(address.as_str()),
        )?;
        let address = Address(server.local_addr()?.to_string().into());
        let _entered = tokio.enter();
        Ok(Self {
            address,
            handle: server.start(module),
            _runtime: runtime.clone(),
        })
    }

    /// Returns the address that it listens at.
    pub fn address(&self) -> &Address {
        &self.address
    }

    /// Stops listening. Calls in progress may still be answered.
    pub fn stop(&self) {
        // An error means that the server has already stopped.
        let _ = self.handle.stop();
    }
}

impl Drop for PeerServer {
    fn drop(&mut self) {
        self.stop();
    }
}

fn server_config(settings: &PeerSettings) -> ServerConfig {
    let limit_bytes = settings.body_limit_bytes();
    ServerConfig::builder()
        .http_only()
        .max_request_body_size(limit_bytes)
        .max_response_body_size(limit_bytes)
        .max_connections(settings.max_connections)
        .set_batch_request_config(BatchRequestConfig::Disabled)
        .set_tcp_no_delay(true)
        .build()
}

impl Service {
    fn new(runtime: &PeerRuntime, incoming: Fwd<Incoming>) -> Self {
        let settings = Arc::clone(&runtime.settings);
        let received_calls = Fwd::new(move |received_call: ReceivedCall| {
            incoming.fwd(received_call.into_incoming())
        });
        Self {
            stats: runtime.stats(),
            guard: Mutex::new(ReplayGuard::new(settings.max_clock_skew_ms)),
            slots: Semaphore::new(settings.max_served),
            received_calls: runtime.bridge.sender_to(received_calls),
            settings,
        }
    }

    fn module(self) -> Result<RpcModule<Self>, jsonrpsee::core::RegisterMethodError> {
        let mut module = RpcModule::new(self);
        module.register_async_method(CALL_METHOD, |params, service, _| async move {
            service.serve(params).await
        })?;
        Ok(module)
    }

    async fn serve(&self, params: Params<'static>) -> Result<SealedAnswer, ErrorObjectOwned> {
        let sealed = self.open(&params)?;
        let bytes = params.as_str().map_or(0, str::len);
        let (kind, answer) = match serde_json::from_str::<PeerCall>(sealed.body.get()) {
            Ok(call) => {
                let kind = CallKind::of(&call);
                self.stats.call_received(kind, bytes);
                (Some(kind), self.answer(call).await)
            }
            Err(error) => (None, self.undecodable(&error)),
        };
        let reply = Reply::from(answer);
        let answer = SealedAnswer::seal(&self.settings.secret, sealed.nonce, &reply)
            .map_err(|error| refusal(INTERNAL_CODE, &error.to_string()))?;
        if let Some(kind) = kind {
            self.stats
                .answer_sent(kind, answer.mac.len() + answer.body.get().len());
        }
        Ok(answer)
    }

    fn open(&self, params: &Params<'static>) -> Result<SealedCall, ErrorObjectOwned> {
        let sealed: SealedCall = params.parse().map_err(|_| {
            self.stats.call_refused();
            refusal(MALFORMED_CODE, "not a signed call")
        })?;
        let mut guard = self.guard.lock().unwrap_or_else(PoisonError::into_inner);
        sealed
            .verify(&self.settings.secret, wall_ms(), &mut guard)
            .map_err(|error| {
                let count = self.stats.call_refused();
                // Anybody can send such calls, so only counts that are powers of two are logged.
                if count.is_power_of_two() {
                    log::warn!("refused a call to the peer interface ({count} so far): {error}");
                }
                refusal(UNAUTHENTICATED_CODE, &error.to_string())
            })?;
        Ok(sealed)
    }

    /// Returns the error for a signed call that can't be decoded. A peer of another version sent a
    /// kind or form of call that is unknown here.
    fn undecodable(&self, error: &serde_json::Error) -> Answer {
        self.stats.call_refused();
        Err(Error::not_run(
            ErrorKind::Invalid,
            format!("the call is unknown here: {error}"),
        ))
    }

    async fn answer(&self, call: PeerCall) -> Answer {
        let Ok(_slot) = self.slots.try_acquire() else {
            let error = Error::not_run(ErrorKind::Overloaded, "too many calls of peers");
            return Err(error.retry_after(RETRY_AFTER_MS));
        };
        let (reply, answer) = oneshot::channel();
        if !self.received_calls.send(ReceivedCall { call, reply }) {
            return Err(Error::not_run(ErrorKind::Unavailable, "the node has ended"));
        }
        let limit = Duration::from(self.settings.call_timeout_ms);
        match tokio::time::timeout(limit, answer).await {
            Ok(Ok(answer)) => answer,
            Ok(Err(_)) | Err(_) => Err(unanswered()),
        }
    }
}

impl ReceivedCall {
    /// Converts the call on the actor thread, because a `Ret` can't leave that thread.
    fn into_incoming(self) -> Incoming {
        let reply = self.reply;
        let ret = Ret::new(move |answer: Option<Answer>| {
            // Sending fails if the caller has disconnected. The answer is then discarded.
            let _ = reply.send(answer.unwrap_or_else(|| Err(unanswered())));
        });
        Incoming {
            call: self.call,
            ret,
        }
    }
}

fn unanswered() -> Error {
    Error::may_have_run(ErrorKind::Unavailable, "the node did not answer")
}

fn refusal(code: i32, message: &str) -> ErrorObjectOwned {
    ErrorObjectOwned::owned(code, message, None::<()>)
}
