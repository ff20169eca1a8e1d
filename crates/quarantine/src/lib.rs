//! Requests that end the replicas that run them: which arrivals are the same request, what its tries
//! have shown, and when it is run no more.
//!
//! Terms:
//! - a *digest* stands for all arrivals of one request, whatever id each of them bears;
//! - an *end* is a run of a server that ended under a request; a *run* is one start of it;
//! - a request in *quarantine* is refused; at the end of its *term* comes a *review*: one arrival is
//!   run, as a *trial*, by one node.
//!
//! Load pattern: one request that ends its replica comes again and again, at any node, and each time
//! ends another one with all that it has in hand.
//!
//! Reason for the limits: a replica that ends takes up to its slots of other requests along, so one
//! end says little of each. Three ends that no success interrupts say a lot; a request that was
//! refused wrongly is run again at its review.
//!
//! Invariants: nothing here does I/O or reads a clock; every instant comes in as
//! [`MonoMs`](bluebell_base::prelude::MonoMs); what nodes tell each other may come twice, late and in
//! any order.

pub mod detection;
pub mod digest;
pub mod evidence;
pub mod notice;
mod record;
pub mod review;
pub mod table;

/// What users of this package import.
pub mod prelude {
    pub use crate::detection::DETECTION_DELAY_MS;
    pub use crate::digest::{RequestDigest, RequestParts};
    pub use crate::evidence::{Evidence, ServerRun};
    pub use crate::notice::QuarantineNotice;
    pub use crate::table::{Quarantine, QuarantineChange, QuarantineStatus, Term};
}
