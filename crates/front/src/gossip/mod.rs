//! What nodes tell each other: the work that each has placed on engines, so that all place theirs
//! around it.
//!
//! Terms: *gossip* is one change; a *digest* lists all of a node's work, so that lost gossip is made up
//! for; a *peer* is a node that was heard of.
//!
//! Invariants: gossip is advice only, and a node that hears nobody serves all the same; a datagram
//! that can't be read changes nothing.
//!
//! Load pattern: a burst of requests arrives at all nodes at once; a node that doesn't know what the
//! others have just placed sends its own to the same engines. So gossip goes out at once, gathered
//! over [`GATHER_MS`] only.

mod message;
mod outbox;
mod receive;
mod replicas;
mod send;

pub use outbox::Outbox;
pub use receive::receive;
pub use send::send;

use bluebell_base::prelude::*;

/// How long gossip is gathered into one datagram. Peers are a few ms apart, so less would hardly make
/// it fresher.
const GATHER_MS: SpanMs = SpanMs(2);

/// How long a silent peer counts as there: two digests and more, of which one may be lost.
const PEER_SILENT_MS: SpanMs = SpanMs(2_500);

/// How long a silent peer still gets digests, so that a cut that heals is noticed on both sides.
const PEER_FORGOTTEN_MS: SpanMs = SpanMs(60_000);

/// The largest datagram that passes links unbroken.
const DATAGRAM_BYTES: usize = 1_350;
