//! The targets, each judged by the rows that tell of it.

mod judge;

pub use judge::judge;

use serde::Serialize;

/// One target on one fleet.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Judged {
    /// The description of the target.
    pub target: String,
    /// The measured value.
    pub measured: String,
    /// True if the target was met.
    pub met: bool,
}
