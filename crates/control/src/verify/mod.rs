//! Checks of the invariants of the reduced states. Tests run them after each step.

use crate::Duty;
use crate::reduce::{ConfigReducer, LeaseReducer};
use bluebell_base::prelude::*;

/// A violated invariant.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Violation {
    /// A fencing number is later than the last record that touched its lease.
    #[error("{duty:?}: fencing {fencing} is newer than its last touch {touched}")]
    TouchedBeforeGranted {
        /// The duty.
        duty: Duty,
        /// The fencing number.
        fencing: Fencing,
        /// The offset of the last record that touched the lease.
        touched: Offset,
    },
    /// A lease names a record that was not read yet.
    #[error("{duty:?} was touched at {touched}, but only records before {next} are read")]
    TouchedInFuture {
        /// The duty.
        duty: Duty,
        /// The offset of the last record that touched the lease.
        touched: Offset,
        /// The next offset to read.
        next: Offset,
    },
    /// One record granted two duties.
    #[error("two duties have the fencing number {0}")]
    FencingTwice(Fencing),
    /// A reader whose state is unknown has leases.
    #[error("the state is unknown, but has leases")]
    LeasesWhileUnknown,
    /// The version decreased.
    #[error("the version decreased from {before} to {after}")]
    VersionDown {
        /// The version before.
        before: ConfigVersion,
        /// The version after.
        after: ConfigVersion,
    },
}

/// Checks the leases after all records before `next` were applied.
///
/// # Errors
/// Returns the first violation found.
pub fn verify_leases(leases: &LeaseReducer, next: Offset) -> Result<(), Violation> {
    let mut fencings = Vec::new();
    for (duty, grant) in leases.grants() {
        let (fencing, touched) = (grant.fencing, grant.touched);
        if touched.0 < fencing.0 {
            return Err(Violation::TouchedBeforeGranted {
                duty,
                fencing,
                touched,
            });
        }
        if touched >= next {
            return Err(Violation::TouchedInFuture {
                duty,
                touched,
                next,
            });
        }
        fencings.push(fencing);
    }
    fencings.sort();
    if let Some(pair) = fencings.windows(2).find(|pair| pair[0] == pair[1]) {
        return Err(Violation::FencingTwice(pair[0]));
    }
    if !leases.is_known() && !fencings.is_empty() {
        return Err(Violation::LeasesWhileUnknown);
    }
    Ok(())
}

/// Checks that the version did not decrease and returns the highest version known now. `before` is
/// the highest version known so far.
///
/// # Errors
/// Returns the violation if the version is below `before`.
pub fn verify_config(
    config: &ConfigReducer,
    before: ConfigVersion,
) -> Result<ConfigVersion, Violation> {
    let Some(known) = config.known() else {
        return Ok(before);
    };
    let after = known.version;
    if after < before {
        return Err(Violation::VersionDown { before, after });
    }
    Ok(after)
}
