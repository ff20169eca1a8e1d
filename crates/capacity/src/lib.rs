//! Measurements of the cost of control in the product's own interface, at several sizes of the fleet, with
//! fitted lines.
//!
//! Terms: a *rig* is a fleet of the production actors of control and membership on fakes of the
//! platform and the network, under virtual time; a *ledger* counts one node's calls and bytes by kind;
//! a *line* is a least-squares fit with its residual.
//!
//! Invariants: counts under virtual time are equal in all runs with the same seed; only processor time and
//! memory are real. Bytes are those of JSON without HTTP, which the `wire` part measures over real sockets.

pub mod fit;
pub mod ledger;
pub mod measure;
pub mod report;
pub mod rig;

pub use fit::Line;
pub use measure::{Part, Sizes, run};
pub use report::{CapacityReport, Figure, Table};
