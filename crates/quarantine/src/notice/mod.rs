//! The notices that nodes send each other about requests and parts of prompts that crash replicas.
//!
//! Times are sent as ages, since nodes have no common clock.

use crate::digest::RequestDigest;
use crate::evidence::{Evidence, ServerRun};
use crate::part::PartId;
use crate::term::Term;
use bluebell_base::prelude::*;
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
    /// A connection to a server broke under the request, and nothing shows yet if the server crashed.
    Undecided {
        /// The digest of the request.
        digest: RequestDigest,
        /// The run of the server.
        run: ServerRun,
        /// The time since the connection broke, in milliseconds, when the notice was sent.
        age_ms: u32,
    },
}

/// A crash, a quarantine or a clearing of one part of prompts, as a node reports it to its peers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PartNotice {
    /// A server crashed under a request whose prompt has the part.
    Ended {
        /// The part.
        part: PartId,
        /// The run of the server that crashed.
        run: ServerRun,
        /// The number of the request's digest.
        request: u64,
        /// The time since the crash, in milliseconds, when the notice was sent.
        age_ms: u32,
    },
    /// The part is in quarantine.
    Quarantined {
        /// The part.
        part: PartId,
        /// The time since the current term began, in milliseconds, when the notice was sent.
        age_ms: u32,
        /// The term of the quarantine, at the end of which comes a review.
        term: Term,
    },
    /// A replica has written an answer to a request with the part, or an operator lifted its quarantine.
    /// Nothing known from before the answer began counts.
    Cleared {
        /// The part.
        part: PartId,
        /// The time since the answer began, in milliseconds, when the notice was sent.
        age_ms: u32,
    },
}

/// Returns the age of an event for a notice, in milliseconds.
pub(crate) fn age(at_ms: MonoMs, now_ms: MonoMs) -> u32 {
    u32::try_from(now_ms.since(at_ms).0).unwrap_or(u32::MAX)
}
