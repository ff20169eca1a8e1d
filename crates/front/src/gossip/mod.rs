//! Gossip between nodes. Each node reports the work that it has placed on engines, so that the others
//! take it into account in their own placements.
//!
//! Terms: a piece of *gossip* reports one change; a *digest* lists all of a node's work and makes up
//! for lost gossip; a *peer* is another node that this one knows of.
//!
//! Invariants: gossip is advisory, so a node that receives none serves requests all the same; a
//! datagram that can't be decoded changes nothing.
//!
//! Load pattern: a burst of requests arrives at all nodes at once. A node that doesn't know what the
//! others have just placed sends its own work to the same engines. Gossip is therefore sent at once,
//! gathered only for [`GATHER_MS`].

mod account_work;
mod introduction;
mod message;
mod outbox;
mod receive;
pub(crate) mod replicas;
mod send;

pub(crate) use introduction::on_introduced;
pub(crate) use message::{Origin, PromisesGossip};
pub use outbox::Outbox;
pub use receive::receive;
pub use send::send;

use bluebell_base::prelude::*;

/// The time for which urgent gossip is gathered into one datagram. Peers are a few ms apart, so a
/// shorter time would hardly make it fresher.
const GATHER_MS: SpanMs = SpanMs(2);

/// The silence after which a peer no longer counts as live. It spans more than two digests, one of
/// which may be lost.
const PEER_SILENT_MS: SpanMs = SpanMs(2_500);

/// The silence after which a peer is forgotten. Until then it still gets digests, so that both sides
/// notice when a network partition heals.
const PEER_FORGOTTEN_MS: SpanMs = SpanMs(60_000);

/// The size in bytes of the largest datagram that links carry without fragmentation.
const DATAGRAM_BYTES: usize = 1_350;
