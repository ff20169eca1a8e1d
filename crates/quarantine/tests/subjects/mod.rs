//! Requests, times and sightings of crashes that the tests use.

use bluebell_base::prelude::*;
use bluebell_quarantine::prelude::*;

/// Returns the digest of a request that is like the others but for its body.
pub fn digest(number: u32) -> RequestDigest {
    RequestDigest::of(&RequestParts {
        account: "a",
        method: "POST",
        host: "h",
        target: "/",
        body: &number.to_be_bytes(),
    })
}

/// Returns a time long after a node's start.
pub fn at(ms: u64) -> MonoMs {
    MonoMs(1_000_000 + ms)
}

/// Returns the sighting of a crash that is known when it happens.
#[allow(dead_code, reason = "each test file uses a part of it")]
pub fn sighting(ms: u64, in_trial: bool) -> CrashSighting {
    CrashSighting {
        at_ms: at(ms),
        known_ms: at(ms),
        in_trial,
    }
}

/// Returns the sighting of a crash at `ms` that is known at `known_ms`.
#[allow(dead_code, reason = "each test file uses a part of it")]
pub fn late_sighting(ms: u64, known_ms: u64, in_trial: bool) -> CrashSighting {
    CrashSighting {
        known_ms: at(known_ms),
        ..sighting(ms, in_trial)
    }
}
