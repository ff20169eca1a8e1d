//! What a process tells of itself: log lines, metrics and the state dump.
//!
//! Terms: a *band* is a range of prompt lengths; a *section* is one part's word in a state dump.
//!
//! Invariants: no secret reaches a log line, a metric or a dump, because none is handed in here.

pub mod dump;
pub mod logs;
pub mod metrics;

pub use dump::StateDump;
pub use logs::{LogError, LogFormat, LogLevels, open_logs};
pub use metrics::{Metrics, MetricsError, Peer};
