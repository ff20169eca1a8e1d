//! What the control of the product's own interface costs, measured at several sizes of the fleet, and the
//! straight lines through it.
//!
//! Terms: a *rig* is a fleet of the production actors of control and membership on fakes of the
//! platform and the net, under virtual time; a *ledger* counts one node's calls and bytes by kind;
//! a *line* is a least-squares fit with its residual.
//!
//! Invariants: what is counted under virtual time is the same on each run with the same seed; only
//! processor time and memory are real. Bytes are JSON without HTTP's own, which the `wire` part
//! measures by itself over real sockets.

pub mod fit;
pub mod ledger;
pub mod measure;
pub mod report;
pub mod rig;

pub use fit::Line;
pub use measure::{Part, Sizes, run};
pub use report::{CapacityReport, Figure, Table};
