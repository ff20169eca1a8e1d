//! The settings of both interfaces. The node validates them beforehand.

use bluebell_base::prelude::*;

/// Settings of the callers' interface.
#[derive(Clone, Debug)]
pub struct CallersSettings {
    /// The address to listen at, `ip:port`. Port 0 lets the system choose a port.
    pub address: Address,
    /// The maximum number of calls for work in progress at once. Further calls are refused as not
    /// run.
    pub max_calls: usize,
    /// The maximum total size of the request bodies in memory. Each body counts until its call
    /// ends.
    pub max_body_bytes: Bytes,
    /// The silence on a stream after which a comment is sent. Writing it also detects callers that
    /// hung up.
    pub keep_alive_ms: SpanMs,
    /// The silence after which a caller that waits for a whole answer is sent an interim response
    /// (`100 Continue`). Writing it also detects callers that hung up. `None` sends no interim
    /// responses.
    pub interim_ms: Option<SpanMs>,
    /// The timeout of a write to a caller that doesn't read. The caller then counts as
    /// disconnected.
    pub write_timeout_ms: SpanMs,
    /// The timeout of the node's answer to a report or cancel call.
    pub reply_timeout_ms: SpanMs,
    /// The `Retry-After` time sent to refused callers.
    pub retry_after_ms: SpanMs,
}

impl CallersSettings {
    /// Settings with the defaults, listening at `address`.
    pub fn at(address: Address) -> Self {
        Self {
            address,
            max_calls: 1024,
            max_body_bytes: Bytes(96 * 1024 * 1024),
            keep_alive_ms: SpanMs(1000),
            interim_ms: Some(SpanMs(5000)),
            write_timeout_ms: SpanMs(20_000),
            reply_timeout_ms: SpanMs(5000),
            retry_after_ms: SpanMs(1000),
        }
    }
}

/// Settings of the administration API.
#[derive(Clone)]
pub struct AdminSettings {
    /// The address to listen at, `ip:port`. Port 0 lets the system choose a port.
    pub address: Address,
    /// The operators' bearer credential.
    pub credential: Arc<str>,
    /// The maximum size of a request body.
    pub body_bytes: Bytes,
    /// The timeout of the node's answer to a call.
    pub reply_timeout_ms: SpanMs,
}

impl AdminSettings {
    /// Settings with the defaults, listening at `address`.
    pub fn at(address: Address, credential: Arc<str>) -> Self {
        Self {
            address,
            credential,
            body_bytes: Bytes(8 * 1024 * 1024),
            reply_timeout_ms: SpanMs(30_000),
        }
    }
}

// Implemented by hand so that the credential isn't printed in a log.
impl std::fmt::Debug for AdminSettings {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("AdminSettings")
            .field("address", &self.address)
            .field("body_bytes", &self.body_bytes)
            .field("reply_timeout_ms", &self.reply_timeout_ms)
            .finish_non_exhaustive()
    }
}

/// An error that prevented an interface from opening.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BindError {
    /// Listening at the address failed.
    #[error("can't listen at {address}: {reason}")]
    Listen {
        /// The address.
        address: Address,
        /// The error text of the operating system.
        reason: Arc<str>,
    },
    /// The bridge takes no more jobs, or its node has stopped.
    #[error("the bridge to the node takes no calls")]
    Bridge,
}
