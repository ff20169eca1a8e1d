//! The notices that nodes send each other about requests that crash replicas.
//!
//! Times are sent as ages, since nodes have no common clock.

use crate::digest::RequestDigest;
use crate::evidence::{Evidence, ServerRun};
use crate::table::Term;
use serde::{Deserialize, Serialize};

/// A notice about one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum QuarantineNotice {
    /// A server crashed under the request.
    Ended {
        /// The request.
        digest: RequestDigest,
        /// The run.
        run: ServerRun,
        /// The state of the request on that server.
        evidence: Evidence,
        /// The time since the crash.
        age_ms: u32,
    },
    /// The request is in quarantine.
    Quarantined {
        /// The request.
        digest: RequestDigest,
        /// The time since the quarantine began, when the notice was sent.
        age_ms: u32,
        /// The term of the quarantine, at the end of which comes a review.
        term: Term,
    },
    /// The request was served, or an operator lifted its quarantine. Nothing known from before counts.
    Cleared {
        /// The request.
        digest: RequestDigest,
        /// The time since the success or the operator's action.
        age_ms: u32,
    },
}
