//! Log lines, metrics and the state dump of a process.
//!
//! Terms: a *band* is a range of prompt lengths; a *section* is the state of one part of the
//! process in a state dump.
//!
//! Invariants: no log line, metric or dump contains a secret, because callers pass none to this
//! package.

pub mod dump;
pub mod logs;
pub mod metrics;

pub use dump::StateDump;
pub use logs::{LogError, LogFormat, LogLevels, open_logs};
pub use metrics::{Metrics, MetricsError, Peer};
