//! Calls peers with `jsonrpsee`'s HTTP client.
//!
//! Invariants: connections are reused per address; the number of calls in progress is bounded; a
//! call is `NotRun` only if no connection could be made or the call was never sent.

use crate::envelope::{Reply, SealedAnswer, SealedCall};
use crate::message::{PeerAnswer, PeerCall};
use crate::runtime::{PeerRuntime, wall_ms};
use crate::server::CALL_METHOD;
use crate::settings::{PeerSettings, RETRY_AFTER_MS};
use crate::stats::{CallKind, PeerStats};
use crate::{PeerPort, nonce};
use bluebell_base::prelude::*;
use jsonrpsee::core::client::{ClientT, Error as ClientError};
use jsonrpsee::core::traits::ToRpcParams;
use jsonrpsee::http_client::{HttpClient, HttpClientBuilder};
use serde_json::value::RawValue;
use stakker::{Core, Ret};
use std::collections::HashMap;
use std::error::Error as StdError;
use std::io;
use std::rc::Rc;
use std::sync::{Mutex, PoisonError};
use tokio::sync::Semaphore;

/// The maximum number of peers with open connections. If one more is called, all clients are
/// discarded and opened again as needed.
const MAX_OPEN_PEERS: usize = 1024;

/// Calls peers by JSON-RPC over HTTP.
#[derive(Debug)]
pub struct JsonRpcPeers {
    runtime: PeerRuntime,
    clients: Arc<Clients>,
    slots: Arc<Semaphore>,
}

/// The HTTP clients by peer address.
#[derive(Debug)]
struct Clients {
    settings: Arc<PeerSettings>,
    stats: Arc<PeerStats>,
    by_address: Mutex<HashMap<Address, HttpClient>>,
}

/// The encoded parameters of the JSON-RPC method.
struct Encoded(Box<RawValue>);

impl ToRpcParams for Encoded {
    fn to_rpc_params(self) -> Result<Option<Box<RawValue>>, serde_json::Error> {
        Ok(Some(self.0))
    }
}

impl JsonRpcPeers {
    /// Opens the port. Connections are opened as needed.
    pub fn open(runtime: &PeerRuntime) -> Rc<dyn PeerPort> {
        let clients = Clients {
            settings: Arc::clone(&runtime.settings),
            stats: runtime.stats(),
            by_address: Mutex::default(),
        };
        Rc::new(Self {
            runtime: runtime.clone(),
            clients: Arc::new(clients),
            slots: Arc::new(Semaphore::new(runtime.settings.max_calls)),
        })
    }
}

impl PeerPort for JsonRpcPeers {
    fn call(
        &self,
        _core: &mut Core,
        to: &Address,
        call: PeerCall,
        ret: Ret<Result<PeerAnswer, Error>>,
    ) {
        let Ok(slot) = Arc::clone(&self.slots).try_acquire_owned() else {
            let error = Error::not_run(ErrorKind::Overloaded, "too many calls to peers");
            ret.ret(Err(error.retry_after(RETRY_AFTER_MS)));
            return;
        };
        let completer = self.runtime.bridge.completer(ret);
        let clients = Arc::clone(&self.clients);
        let to = to.clone();
        self.runtime.runtime.get().spawn(async move {
            let result = clients.call(&to, call).await;
            drop(slot);
            completer.complete(result);
        });
    }
}

impl Clients {
    async fn call(&self, to: &Address, call: PeerCall) -> Result<PeerAnswer, Error> {
        let client = self.client(to)?;
        let kind = CallKind::of(&call);
        let secret = &self.settings.secret;
        let nonce = nonce();
        let sealed = SealedCall::seal(secret, wall_ms(), nonce, &call).map_err(encode_error)?;
        let params = serde_json::value::to_raw_value(&sealed).map_err(encode_error)?;
        if params.get().len() as u64 > self.settings.max_body_bytes.0 {
            return Err(Error::not_run(
                ErrorKind::TooLarge,
                "the call is too large for a peer",
            ));
        }
        self.stats.call_sent(kind, params.get().len());
        let answer: SealedAnswer = client
            .request(CALL_METHOD, Encoded(params))
            .await
            .map_err(|error| call_error(to, &error))?;
        self.stats
            .answer_received(kind, answer.mac.len() + answer.body.get().len());
        // An answer without a valid signature doesn't come from a peer, so the effect of the call
        // is unknown.
        answer
            .verify(secret, nonce)
            .map_err(|error| lost_answer(to, &error))?;
        let reply: Reply =
            serde_json::from_str(answer.body.get()).map_err(|error| lost_answer(to, &error))?;
        reply.into()
    }

    fn client(&self, to: &Address) -> Result<HttpClient, Error> {
        let mut clients = self
            .by_address
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if let Some(client) = clients.get(to) {
            return Ok(client.clone());
        }
        if clients.len() >= MAX_OPEN_PEERS {
            clients.clear();
        }
        let client = self.open(to)?;
        clients.insert(to.clone(), client.clone());
        Ok(client)
    }

    fn open(&self, to: &Address) -> Result<HttpClient, Error> {
        let limit_bytes = self.settings.body_limit_bytes();
        HttpClientBuilder::default()
            .request_timeout(self.settings.call_timeout_ms.into())
            .max_request_size(limit_bytes)
            .max_response_size(limit_bytes)
            .build(format!("http://{to}"))
            .map_err(|error| {
                Error::not_run(
                    ErrorKind::Invalid,
                    format!("bad peer address {to}: {error}"),
                )
            })
    }
}

fn encode_error(error: serde_json::Error) -> Error {
    Error::not_run(
        ErrorKind::Internal,
        format!("a call can't be encoded: {error}"),
    )
}

fn lost_answer(to: &Address, error: &dyn StdError) -> Error {
    Error::may_have_run(
        ErrorKind::Unavailable,
        format!("the answer of peer {to} is lost: {error}"),
    )
}

/// Returns the error for a call without a signed answer.
///
/// Only a refused connection proves that the call did not arrive. A connection that timed out or
/// broke may have carried it, and a refusal that no peer signed proves nothing.
fn call_error(to: &Address, error: &ClientError) -> Error {
    if is_refused(error) {
        return Error::not_run(
            ErrorKind::Unavailable,
            format!("peer {to} refuses connections"),
        );
    }
    lost_answer(to, error)
}

fn is_refused(error: &(dyn StdError + 'static)) -> bool {
    let mut source: Option<&(dyn StdError + 'static)> = Some(error);
    while let Some(error) = source {
        let refused = error
            .downcast_ref::<io::Error>()
            .is_some_and(|error| error.kind() == io::ErrorKind::ConnectionRefused);
        if refused {
            return true;
        }
        source = error.source();
    }
    false
}
