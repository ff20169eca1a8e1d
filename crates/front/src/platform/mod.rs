//! What the node needs of the platform that it runs on.
//!
//! Terms: the *directory* holds the operators' configuration, the list of replicas and the list of
//! nodes; a *cursor* is a place in the directory's history; the *dialect* is how callers and
//! replicas name things in headers.
//!
//! Invariants: an implementation translates and calls; it decides nothing and keeps no state that a
//! restart would miss.

use bluebell_base::prelude::*;
use bluebell_fleet::prelude::*;
use bluebell_quarantine::prelude::*;
use bytes::Bytes as Buffer;
use http_body_util::Full;
use hyper::{HeaderMap, Request};
use serde::{Deserialize, Serialize};
use std::fmt;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;

/// A read of the directory that is under way.
pub type PendingRead<'a, T> = Pin<Box<dyn Future<Output = Result<T, DirectoryError>> + 'a>>;

/// One history of the directory. A directory that comes back from an older copy of itself begins
/// another, in which places are given out again.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Era(pub u64);

impl Era {
    /// The directory names none.
    pub const UNNAMED: Self = Self(0);
}

impl fmt::Display for Era {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "era{}", self.0)
    }
}

/// A place in the directory's history; one of a later era is the later.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Cursor {
    /// The history that it is a place of. It says nothing in any other.
    pub era: Era,
    /// How much of that history lies before it.
    pub offset: u64,
}

impl Cursor {
    /// A place in the history of a directory that names no era.
    pub const fn at(offset: u64) -> Self {
        Self {
            era: Era::UNNAMED,
            offset,
        }
    }

    /// The first place of an era.
    pub const fn first(era: Era) -> Self {
        Self { era, offset: 0 }
    }
}

/// Why the directory gave no gossip.
#[derive(Clone, Debug, thiserror::Error)]
pub enum DirectoryError {
    /// It didn't answer in time, or can't be reached.
    #[error("the directory can't be reached: {0}")]
    Unreachable(Arc<str>),
    /// It turned the call away.
    #[error("the directory refused with status {0}")]
    Refused(u16),
    /// Its answer can't be read.
    #[error("the directory's answer can't be read: {0}")]
    Malformed(Arc<str>),
}

/// What is new of the configuration.
#[derive(Clone, Debug)]
pub struct ConfigUpdate {
    /// Where to read on.
    pub cursor: Cursor,
    /// The newest configuration, where there is a new one.
    pub config: Option<Rc<ServingConfig>>,
    /// The operators' text of it, for nodes that copy it from this one; none where it can't be copied.
    pub text: Option<Buffer>,
}

/// What is new of the replicas.
#[derive(Clone, Debug)]
pub struct ReplicaUpdate {
    /// Where to read on.
    pub cursor: Cursor,
    /// Changes in the order in which they happened.
    pub changes: Vec<ReplicaChange>,
    /// Whether `changes` lists everything that there is, so that what it misses is gone.
    pub is_snapshot: bool,
}

/// A node, as nodes announce themselves.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeEntry {
    /// One run of the node's process.
    pub incarnation: Incarnation,
    /// Where it takes its peers' gossip.
    pub address: SocketAddr,
}

/// The platform's directory.
pub trait Directory {
    /// The configuration after `cursor`; waits up to `wait_ms` for a new one.
    fn read_config(&self, cursor: Option<Cursor>, wait_ms: SpanMs)
    -> PendingRead<'_, ConfigUpdate>;
    /// Changes of replicas after `cursor`, without waiting.
    fn read_replicas(&self, cursor: Option<Cursor>) -> PendingRead<'_, ReplicaUpdate>;
    /// The nodes that announced themselves and didn't withdraw.
    fn read_nodes(&self) -> PendingRead<'_, Vec<NodeEntry>>;
    /// The requests that were put into quarantine and not let out.
    fn read_quarantine(&self) -> PendingRead<'_, Vec<(RequestDigest, Term)>>;
    /// Remembers a request's quarantine, or forgets it.
    fn write_quarantine(&self, digest: RequestDigest, term: Option<Term>) -> PendingRead<'_, ()>;
    /// Announces this node.
    fn announce(&self, node: NodeEntry) -> PendingRead<'_, ()>;
}

/// What a caller's head says.
#[derive(Clone, Debug, PartialEq)]
pub struct CallHead {
    /// The caller's id of this try of its own.
    pub request: Arc<str>,
    /// How long the caller waits.
    pub deadline_ms: Option<SpanMs>,
    /// The caller's key.
    pub key: Option<Arc<str>>,
    /// The length of the prompt, where the request has one.
    pub prompt_tokens: Option<Tokens>,
    /// The most tokens of the answer.
    pub answer_tokens: Tokens,
}

/// A head that can't be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CallHeadError {
    /// It has no id.
    #[error("the request has no id")]
    NoRequestId,
    /// One of its numbers can't be read.
    #[error("a number in the request's head can't be read")]
    BadNumber,
}

/// A replica that helps to read a prompt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Helper {
    /// Where it is.
    pub address: SocketAddr,
    /// The memory that is set aside there, by its name; none where it only reads.
    pub reservation: Option<Arc<str>>,
}

/// An order about memory that an engine sets aside.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MemoryOrder {
    /// Set memory aside, or keep it aside for longer.
    Reserve {
        /// Its name.
        name: Arc<str>,
        /// How much.
        tokens: Tokens,
        /// For how long from the order's arrival.
        hold_ms: SpanMs,
    },
    /// Free it.
    Release {
        /// Its name.
        name: Arc<str>,
    },
}

impl MemoryOrder {
    /// The memory's name.
    pub fn name(&self) -> &Arc<str> {
        match self {
            MemoryOrder::Reserve { name, .. } | MemoryOrder::Release { name } => name,
        }
    }

    /// The order's name in logs.
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
    /// It is done.
    Done,
    /// The memory isn't free.
    Full,
    /// The order can't be carried out.
    Refused,
}

impl MemoryAnswer {
    /// Its name in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            MemoryAnswer::Done => "done",
            MemoryAnswer::Full => "full",
            MemoryAnswer::Refused => "refused",
        }
    }
}

/// What an engine says of itself.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineReport {
    /// How slow it is.
    pub pace: Pace,
}

/// What the node adds to a head that it sends on.
#[derive(Clone, Debug)]
pub struct ForwardHead<'a> {
    /// The time left.
    pub deadline_ms: SpanMs,
    /// The run of the replica that is meant.
    pub instance: &'a str,
    /// The caller's account.
    pub account: Option<&'a AccountName>,
    /// How urgent it is beside others that wait at the replica.
    pub urgency: Urgency,
    /// The replicas that help to read the prompt.
    pub helpers: &'a [Helper],
    /// The last event that the caller has, where this try goes on from it.
    pub last_event: Option<&'a str>,
}

/// What a replica's head says.
#[derive(Clone, Debug, PartialEq)]
pub struct AnswerHead {
    /// Whether it answers this request by name.
    pub names_this_request: bool,
    /// Whether it names another request, so that nothing in it is about this one.
    pub names_other_request: bool,
    /// Whether it carries the replica's signature.
    pub signed: bool,
    /// Whether the replica states that it didn't run the request.
    pub not_run: bool,
    /// Whether another run of a replica has the address.
    pub instance_mismatch: bool,
    /// Whether its body is encoded, so that it isn't the replica's own.
    pub encoded: bool,
    /// How long the replica keeps the connection, where it says so.
    pub keep_alive_ms: Option<SpanMs>,
    /// The replica at fault, by instance or address, where it isn't the one that answers.
    pub faulty_replica: Option<Arc<str>>,
    /// What it says of the replica.
    pub signals: ReplicaSignals,
}

/// What any answer of a replica, to a request, a probe or an order, says of it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReplicaSignals {
    /// How many requests it takes.
    pub limit: LimitSignal,
    /// Whether it leaves.
    pub leaving: bool,
    /// For how long it wants no requests from this node.
    pub rest: RetryAfterSignal,
}

/// How callers and replicas name things.
pub trait Dialect {
    /// Reads a caller's head.
    fn call_head(&self, headers: &HeaderMap) -> Result<CallHead, CallHeadError>;
    /// The head to send to a replica.
    fn forward_headers(&self, headers: &HeaderMap, send: &ForwardHead<'_>) -> HeaderMap;
    /// Reads a replica's head, the answer to `request`.
    fn answer_head(&self, request: &str, status: u16, headers: &HeaderMap) -> AnswerHead;
    /// What any answer of a replica says of it.
    fn signals(&self, status: u16, headers: &HeaderMap) -> ReplicaSignals;
    /// The headers of a replica's answer that the caller gets.
    fn answer_headers(&self, headers: &HeaderMap) -> HeaderMap;
    /// The headers of an answer of the node's own to `request`.
    fn node_answer_headers(&self, request: &str) -> HeaderMap;
    /// Reads the operators' text of a configuration.
    fn config(&self, text: &[u8]) -> Result<ServingConfig, DirectoryError>;
    /// An order to an engine about memory.
    fn memory_order(&self, address: SocketAddr, order: &MemoryOrder) -> Request<Full<Buffer>>;
    /// What an engine's answer to such an order says.
    fn memory_answer(&self, status: u16) -> MemoryAnswer;
    /// Asks an engine how it is.
    fn report_request(&self, address: SocketAddr) -> Request<Full<Buffer>>;
    /// What an engine says of itself; none where that can't be read.
    fn report(&self, body: &[u8]) -> Option<EngineReport>;
    /// The path on which the balancer asks whether the node takes new connections.
    fn ready_path(&self) -> &str;
}

/// The platform.
#[derive(Clone)]
pub struct Platform {
    /// Its directory.
    pub directory: Rc<dyn Directory>,
    /// Its words.
    pub dialect: Rc<dyn Dialect>,
}
