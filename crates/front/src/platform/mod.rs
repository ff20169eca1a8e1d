//! The interface of the platform that the node runs on.
//!
//! Terms: the *directory* holds the operators' configuration, the list of replicas and the list of
//! nodes. A *cursor* is a position in the directory's history. The *dialect* is the set of headers
//! and formats that callers and replicas use.
//!
//! Invariants: an implementation only translates and makes calls. It takes no decisions and keeps
//! no state that would be missed after a restart.

use bluebell_base::prelude::*;
use bluebell_fleet::prelude::*;
use bluebell_quarantine::prelude::*;
use bytes::Bytes as Buffer;
use http_body_util::Full;
use hyper::{HeaderMap, Request};
use serde::{Deserialize, Serialize};
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;

pub use bluebell_fleet::directory::{Cursor, Era};

/// The future of a call to the directory.
pub type PendingRead<'a, T> = Pin<Box<dyn Future<Output = Result<T, DirectoryError>> + 'a>>;

/// The error of a call to the directory.
#[derive(Clone, Debug, thiserror::Error)]
pub enum DirectoryError {
    /// The directory didn't answer in time or can't be reached.
    #[error("the directory can't be reached: {0}")]
    Unreachable(Arc<str>),
    /// The directory refused the call with this status.
    #[error("the directory refused with status {0}")]
    Refused(u16),
    /// The directory's answer can't be parsed.
    #[error("the directory's answer can't be read: {0}")]
    Malformed(Arc<str>),
}

/// The result of a read of the configuration.
#[derive(Clone, Debug)]
pub struct ConfigUpdate {
    /// The position at which the next read continues.
    pub cursor: Cursor,
    /// The newest configuration, or `None` if none was written after the cursor of the read.
    pub config: Option<Rc<ServingConfig>>,
    /// The operators' text of the configuration, for nodes that copy it from this one. `None` if it
    /// can't be copied.
    pub text: Option<Buffer>,
    /// The evacuations that were written or removed after the cursor of the read.
    pub evacuations: EvacuationUpdate,
}

/// The evacuations in a read of the operators' entries.
#[derive(Clone, Debug, Default)]
pub struct EvacuationUpdate {
    /// The entries, in the order in which they were written.
    pub entries: Vec<EvacuationEntry>,
    /// True if `entries` lists every evacuation, so that one that is missing has ended.
    pub is_snapshot: bool,
}

/// The result of a read of the replicas.
#[derive(Clone, Debug)]
pub struct ReplicaUpdate {
    /// The position at which the next read continues.
    pub cursor: Cursor,
    /// The changes, in the order in which they were written.
    pub changes: Vec<PositionedChange>,
    /// True if `changes` lists every replica, so that a replica that is missing is gone.
    pub is_snapshot: bool,
}

/// The entry with which a node announces itself in the directory.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeEntry {
    /// The incarnation of the node's process.
    pub incarnation: Incarnation,
    /// The address at which the node receives gossip.
    pub address: SocketAddr,
    /// The node's failure domain. `None` in entries of releases that don't state it.
    #[serde(default)]
    pub domain: Option<DomainName>,
}

/// The platform's directory.
pub trait Directory {
    /// Reads the configuration after `cursor`, and waits up to `wait_ms` for a new one.
    fn read_config(&self, cursor: Option<Cursor>, wait_ms: SpanMs)
    -> PendingRead<'_, ConfigUpdate>;
    /// Reads the changes of replicas after `cursor`, without waiting for new ones.
    fn read_replicas(&self, cursor: Option<Cursor>) -> PendingRead<'_, ReplicaUpdate>;
    /// Reads the entries of all nodes whose announcement is in the directory.
    fn read_nodes(&self) -> PendingRead<'_, Vec<NodeEntry>>;
    /// Reads the requests and parts that are in quarantine, with their terms.
    fn read_quarantine(&self) -> PendingRead<'_, Vec<(QuarantineSubject, Term)>>;
    /// Stores a quarantine, or deletes it if `term` is `None`.
    fn write_quarantine(
        &self,
        subject: QuarantineSubject,
        term: Option<Term>,
    ) -> PendingRead<'_, ()>;
    /// Announces this node in the directory.
    fn announce(&self, node: NodeEntry) -> PendingRead<'_, ()>;
}

/// The parsed head of a caller's request.
#[derive(Clone, Debug, PartialEq)]
pub struct CallHead {
    /// The id that the caller gave this arrival of the request. A caller that repeats a request gives it
    /// another id.
    pub request: Arc<str>,
    /// The time from the request's arrival for which the caller waits, or `None` if it states none.
    pub deadline_ms: Option<SpanMs>,
    /// The caller's API key, or `None` if it sent none.
    pub key: Option<Arc<str>>,
    /// The length of the prompt as the caller states it, or `None` if the request has no prompt.
    pub prompt_tokens: Option<Tokens>,
    /// The largest number of tokens in the answer; 0 if the request has no prompt.
    pub answer_tokens: Tokens,
    /// The parts of the prompt that other requests may share.
    pub parts: Vec<PartId>,
}

/// The error of a caller's head that can't be parsed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CallHeadError {
    /// The head has no request id.
    #[error("the request has no id")]
    NoRequestId,
    /// A number in the head can't be parsed.
    #[error("a number in the request's head can't be read")]
    BadNumber,
}

/// A replica that reads a part of a prompt for another.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Helper {
    /// The helper's address.
    pub address: SocketAddr,
    /// The name of the memory reserved there, or `None` if the helper only reads.
    pub reservation: Option<Arc<str>>,
}

/// An order to an engine to reserve or release memory.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MemoryOrder {
    /// Reserves memory, or holds it for longer.
    Reserve {
        /// The reservation's name.
        name: Arc<str>,
        /// The size of the memory.
        tokens: Tokens,
        /// The time for which it is held after the order's arrival.
        hold_ms: SpanMs,
    },
    /// Releases the memory.
    Release {
        /// The reservation's name.
        name: Arc<str>,
    },
}

impl MemoryOrder {
    /// Returns the reservation's name.
    pub fn name(&self) -> &Arc<str> {
        match self {
            MemoryOrder::Reserve { name, .. } | MemoryOrder::Release { name } => name,
        }
    }

    /// Returns the order's name in logs.
    pub fn as_str(&self) -> &'static str {
        match self {
            MemoryOrder::Reserve { .. } => "reserve",
            MemoryOrder::Release { .. } => "release",
        }
    }
}

/// An engine's answer to an order about memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemoryAnswer {
    /// The order was carried out.
    Done,
    /// The engine doesn't have that much memory free.
    Full,
    /// The engine refused the order.
    Refused,
}

impl MemoryAnswer {
    /// Returns the answer's name in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            MemoryAnswer::Done => "done",
            MemoryAnswer::Full => "full",
            MemoryAnswer::Refused => "refused",
        }
    }
}

/// The report of an engine about itself.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineReport {
    /// The factor by which the engine's work takes longer than configured.
    pub pace: Pace,
    /// The work that the engine has, if the report contains it.
    pub work: Option<EngineWork>,
}

/// The data that the node adds to the head of a request that it forwards.
#[derive(Clone, Debug)]
pub struct ForwardHead<'a> {
    /// The time left until the request's deadline.
    pub deadline_ms: SpanMs,
    /// The instance of the replica that the request is meant for.
    pub instance: &'a str,
    /// The caller's client account, or `None` if the route needs no key.
    pub account: Option<&'a AccountName>,
    /// The urgency of the request among others that wait at the replica.
    pub urgency: Urgency,
    /// The replicas that help to read the prompt.
    pub helpers: &'a [Helper],
    /// The id of the last event that was sent to the caller, if this attempt resumes a stream and its
    /// events have ids.
    pub last_event: Option<&'a str>,
}

/// The parsed head of a replica's answer.
#[derive(Clone, Debug, PartialEq)]
pub struct AnswerHead {
    /// True if the answer names the request that was sent.
    pub names_this_request: bool,
    /// True if the answer names another request, so that nothing in it applies to this one.
    pub names_other_request: bool,
    /// True if the answer carries the replica's signature.
    pub signed: bool,
    /// True if the replica states that it didn't run the request.
    pub not_run: bool,
    /// True if another replica instance has the address.
    pub instance_mismatch: bool,
    /// True if the body is encoded, so that it isn't the replica's own.
    pub encoded: bool,
    /// The time for which the replica keeps the idle connection open, if it states one.
    pub keep_alive_ms: Option<SpanMs>,
    /// The replica at fault, by instance or address, if the answer names one, such as a helper that is
    /// gone. `None` if it names none.
    pub faulty_replica: Option<Arc<str>>,
    /// The signals about the replica that the answer carries.
    pub signals: ReplicaSignals,
}

/// The signals that a replica sends about itself in any answer, to a request, a probe or an order.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReplicaSignals {
    /// The number of requests a second that the replica accepts from all nodes together.
    pub limit: LimitSignal,
    /// True if the replica is leaving.
    pub leaving: bool,
    /// The backoff: the time for which the replica wants no requests from this node.
    pub rest: RetryAfterSignal,
}

/// The headers and formats that callers and replicas use.
pub trait Dialect {
    /// Parses the head of a caller's request.
    fn call_head(&self, headers: &HeaderMap) -> Result<CallHead, CallHeadError>;
    /// Builds the headers to send to a replica from those of the caller.
    fn forward_headers(&self, headers: &HeaderMap, send: &ForwardHead<'_>) -> HeaderMap;
    /// Parses the head of a replica's answer to `request`.
    fn answer_head(&self, request: &str, status: u16, headers: &HeaderMap) -> AnswerHead;
    /// Parses the signals that any answer of a replica carries about it.
    fn signals(&self, status: u16, headers: &HeaderMap) -> ReplicaSignals;
    /// Returns the headers of a message that are passed on: all but those of its connection.
    fn end_to_end_headers(&self, headers: &HeaderMap) -> HeaderMap;
    /// Builds the headers of an answer to `request` that the node itself gives.
    fn node_answer_headers(&self, request: &str) -> HeaderMap;
    /// Parses the operators' text of a configuration.
    fn config(&self, text: &[u8]) -> Result<ServingConfig, DirectoryError>;
    /// Builds the HTTP request of a memory order to an engine.
    fn memory_order(&self, address: SocketAddr, order: &MemoryOrder) -> Request<Full<Buffer>>;
    /// Translates the status of an engine's answer to a memory order.
    fn memory_answer(&self, status: u16) -> MemoryAnswer;
    /// Builds the HTTP request for an engine's report about itself.
    fn report_request(&self, address: SocketAddr) -> Request<Full<Buffer>>;
    /// Returns the instance that a replica's answer to a request for its health names, if it names one.
    fn healthy_instance(&self, headers: &HeaderMap) -> Option<Arc<str>>;
    /// Builds the HTTP request for a replica's health at `path`, or `None` if the path isn't valid.
    fn health_request(&self, address: SocketAddr, path: &str) -> Option<Request<Full<Buffer>>>;
    /// Parses an engine's report about itself. Returns `None` if it can't be parsed.
    fn report(&self, body: &[u8]) -> Option<EngineReport>;
    /// Returns the path at which the balancer checks if the node accepts new connections.
    fn ready_path(&self) -> &str;
}

/// The platform that the node runs on.
#[derive(Clone)]
pub struct Platform {
    /// The platform's directory.
    pub directory: Rc<dyn Directory>,
    /// The platform's headers and formats.
    pub dialect: Rc<dyn Dialect>,
}
