//! Requests that a node which reaches no replica forwards to a peer.
//!
//! Terms: the *first node* of a request received it from its caller. It *forwards* the request to a peer,
//! which sends it to replicas as if it were the caller's, and passes the answer back.
//!
//! Load pattern: all requests of the nodes that are cut off arrive at the others, in addition to those of
//! their own callers.
//!
//! Reason for the limits: a peer bounds the forwarded requests that it has in hand, as each holds two
//! connections and its body; beyond that, first nodes ask others.
//!
//! Invariants: a request is forwarded once and never onwards. The peer admits it by a configuration that
//! is at least as new as the first node's, within the deadline and the number of attempts that are left.
//! The answer states if it is a replica's own, and otherwise if the request has run.

mod head;
mod serve;

pub use head::{HopHead, HopHeadError, Outcome, ResumePoint};
pub use serve::{ForwardedCalls, ForwardedGuard, answer};
