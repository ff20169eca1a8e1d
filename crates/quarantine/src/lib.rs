//! The quarantine of requests, and of parts of prompts, that crash the replicas that run them: which arrivals
//! are the same request or share a part, what their attempts have shown, and when they are refused.
//!
//! Terms:
//! - a *digest* identifies all arrivals of one request, whatever request id each of them has;
//! - a *part* is a piece of a prompt that other requests may share, as callers state it;
//! - a *run* is one start of a server (a replica). It has *crashed* under a request if it ended while it had
//!   the request;
//! - a *suspect* is a request with crashes that isn't in quarantine; a *fatal* request is one whose crashes
//!   suffice for quarantine;
//! - a *suspected* request, which one more crash would make fatal, is run once at a time, in *trials*. Servers of
//!   which it isn't known yet if they crashed count;
//! - a request in *quarantine* is refused. At the end of its *term* comes a *review*: one node runs one
//!   arrival as a *trial*.
//!
//! Load pattern: a request that crashes its replica comes again and again, at any node, and each time
//! crashes another replica with all work that it has in flight.
//!
//! Reason for the limits: a replica that crashes may have as many other requests as it has slots, so one
//! crash proves little about each of them. Three crashes without a success between them prove a lot. A
//! request that was refused wrongly is run again at its review. Parts have stricter rules, since refusing a
//! part refuses all its callers (`part_table`).
//!
//! Invariants: nothing here does I/O or reads a clock; every time is passed in as
//! [`MonoMs`](bluebell_base::prelude::MonoMs). Notices between nodes may come twice, late and in any
//! order.

pub mod detection;
pub mod digest;
pub mod evidence;
pub mod notice;
pub mod part;
pub mod part_table;
mod record;
mod records;
pub mod review;
pub mod subject;
pub mod table;
pub mod term;
pub mod trial;

/// The items that users of this package import.
pub mod prelude {
    pub use crate::detection::{DETECTION_DELAY_MS, Finding};
    pub use crate::digest::{RequestDigest, RequestParts};
    pub use crate::evidence::{CrashSighting, Evidence, ServerRun};
    pub use crate::notice::{PartNotice, QuarantineNotice};
    pub use crate::part::PartId;
    pub use crate::part_table::{PART_DETECTION_DELAY_MS, PartQuarantine};
    pub use crate::subject::QuarantineSubject;
    pub use crate::table::{
        JUDGEMENT_MS, PART_HOLD_MS, Quarantine, QuarantineChange, QuarantineStatus,
    };
    pub use crate::term::Term;
    pub use crate::trial::SuspectTrials;
}
