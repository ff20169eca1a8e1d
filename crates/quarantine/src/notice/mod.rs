//! The notices that nodes send each other about requests that crash replicas.
//!
//! Times are sent as ages, since nodes have no common clock.

use crate::digest::RequestDigest;
use crate::evidence::{Evidence, ServerRun};
use crate::table::Term;
use serde::{Deserialize, Serialize};

/// A crash, a quarantine or a clearing of one request, as a node reports it to its peers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum QuarantineNotice {
    /// A server crashed under the request.
    Ended {
        /// The digest of the request.
        digest: RequestDigest,
        /// The run of the server that crashed.
        run: ServerRun,
        /// The state of the request on that server.
        evidence: Evidence,
        /// The time since the crash, in milliseconds, when the notice was sent.
        age_ms: u32,
    },
    /// The request is in quarantine.
    Quarantined {
        /// The digest of the request.
        digest: RequestDigest,
        /// The time since the current term began, in milliseconds, when the notice was sent.
        age_ms: u32,
        /// The term of the quarantine, at the end of which comes a review.
        term: Term,
    },
    /// The request was served, or an operator lifted its quarantine. Nothing known from before counts.
    Cleared {
        /// The digest of the request.
        digest: RequestDigest,
        /// The time since the success or the operator's action, in milliseconds, when the notice was
        /// sent.
        age_ms: u32,
    },
}
