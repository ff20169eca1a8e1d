//! The basic types used by every other package: ids, sizes, rates, instants, text names and the
//! error type with its verdict, and the macros that derive their common traits.
//!
//! Terms:
//! - an *id* is a small integer newtype that prints as a short name (`node3`) and parses back;
//! - a *name* is an `Arc<str>` newtype taken from settings or configuration;
//! - a *verdict* says whether a request may have run upstream.
//!
//! Invariants: every type here prints with `Display` and parses with `FromStr` to an equal value;
//! no type here does I/O or reads a clock.

pub mod bands;
pub mod ids;
mod macros;
pub mod text;
pub mod units;
pub mod verdict;

/// The types that nearly every package imports.
pub mod prelude {
    pub use crate::bands::LengthBand;
    pub use crate::ids::*;
    pub use crate::text::*;
    pub use crate::units::*;
    pub use crate::verdict::{Error, ErrorKind, Verdict};
    pub use std::sync::Arc;
}

/// Items used by the exported macros; not part of the public interface.
#[doc(hidden)]
pub mod __private {
    pub use serde;
}
