//! Re-checks the invariants of the reduced states; tests run it after each step.

use crate::Duty;
use crate::reduce::{ConfigReducer, LeaseReducer};
use bluebell_base::prelude::*;

/// An invariant that does not hold.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Violation {
    /// A fencing number lies behind the last record that touched its lease.
    #[error("{duty:?}: fencing {fencing} is newer than its last touch {touched}")]
    TouchedBeforeGranted {
        /// The duty.
        duty: Duty,
        /// The fencing number.
        fencing: Fencing,
        /// The last touch.
        touched: Offset,
    },
    /// A lease names a record that was not read yet.
    #[error("{duty:?} was touched at {touched}, but only records before {next} are read")]
    TouchedInFuture {
        /// The duty.
        duty: Duty,
        /// The last touch.
        touched: Offset,
        /// The next offset.
        next: Offset,
    },
    /// Two duties were granted by one record.
    #[error("two duties have the fencing number {0}")]
    FencingTwice(Fencing),
    /// An unknown state shows leases.
    #[error("leases are shown though the state is unknown")]
    ShownUnknown,
    /// The version went down.
    #[error("the version went from {before} to {after}")]
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
/// The first violation found.
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
        return Err(Violation::ShownUnknown);
    }
    Ok(())
}

/// Checks that the version did not go down, `before` being the highest one known so far; gives
/// the highest one known now.
///
/// # Errors
/// The violation.
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
