//! The targets, each judged by the rows that tell of it.

mod judge;

pub use judge::judge;

use serde::Serialize;

/// One target on one fleet.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Judged {
    /// What was wanted.
    pub target: String,
    /// What was measured.
    pub measured: String,
    /// Whether it was met.
    pub met: bool,
}
