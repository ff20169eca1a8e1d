//! What nodes tell each other of requests that end replicas.
//!
//! Instants travel as ages, since nodes have no clock in common.

use crate::digest::RequestDigest;
use crate::evidence::{Evidence, ServerRun};
use crate::table::Term;
use serde::{Deserialize, Serialize};

/// One piece of what is known of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum QuarantineNotice {
    /// A run of a server ended under it.
    Ended {
        /// The request.
        digest: RequestDigest,
        /// The run.
        run: ServerRun,
        /// What is known of the request there.
        evidence: Evidence,
        /// How long ago.
        age_ms: u32,
    },
    /// It is in quarantine.
    Quarantined {
        /// The request.
        digest: RequestDigest,
        /// For how long it had been in quarantine when this was told.
        age_ms: u32,
        /// How long that lasts before its review.
        term: Term,
    },
    /// It was served, or an operator lifted its quarantine: what was known before counts no more.
    Cleared {
        /// The request.
        digest: RequestDigest,
        /// How long ago.
        age_ms: u32,
    },
}
