//! The settings of both interfaces, already checked by the node.

use bluebell_base::prelude::*;

/// Settings of the callers' interface.
#[derive(Clone, Debug)]
pub struct CallersSettings {
    /// Where to listen, `ip:port`; port 0 lets the system choose.
    pub address: Address,
    /// The calls for work that may be in progress at once; one over it is refused as not run.
    pub max_calls: usize,
    /// The bytes of request bodies held in memory over all calls, as long as those last.
    pub max_body_bytes: Bytes,
    /// After how much silence a stream gets a comment, which also finds callers that hung up.
    pub keep_alive_ms: SpanMs,
    /// After how much silence a caller that waits for a whole answer gets an interim response
    /// (`100 Continue`), which also finds callers that hung up; none: never.
    pub interim_ms: Option<SpanMs>,
    /// How long a write to a caller that doesn't read may take before the caller counts as gone.
    pub write_timeout_ms: SpanMs,
    /// How long the node may take to answer a report or cancel call.
    pub reply_timeout_ms: SpanMs,
    /// What refused callers are told as the time to come back.
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
    /// Where to listen, `ip:port`; port 0 lets the system choose.
    pub address: Address,
    /// The operators' bearer credential.
    pub credential: Arc<str>,
    /// The largest request body.
    pub body_bytes: Bytes,
    /// How long the node may take to answer.
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

// Written by hand so that the credential can't reach a log.
impl std::fmt::Debug for AdminSettings {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("AdminSettings")
            .field("address", &self.address)
            .field("body_bytes", &self.body_bytes)
            .field("reply_timeout_ms", &self.reply_timeout_ms)
            .finish_non_exhaustive()
    }
}

/// Why an interface could not be opened.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BindError {
    /// The address can't be listened at.
    #[error("can't listen at {address}: {reason}")]
    Listen {
        /// The address.
        address: Address,
        /// The system's reason.
        reason: Arc<str>,
    },
    /// The bridge takes no more jobs, or its node is gone.
    #[error("the bridge to the node takes no calls")]
    Bridge,
}
