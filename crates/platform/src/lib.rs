//! The ports to the platform's services as trait objects, with their HTTP clients: the append-only
//! log, the rate-limited weight store and the lagging list of VMs.
//!
//! Terms: a *stream* is a named sequence of log records with offsets; *retained* records are those
//! that the log still keeps; a *port* is the trait object through which actors call one of the
//! platform's services without blocking. A [`Tail`] follows a stream, an [`Appender`] appends to
//! one in batches; both are actors on top of a [`LogPort`].
//!
//! Invariants: an append whose answer is lost is reported as `MayHaveRun`, never as `NotRun`; the
//! offsets of a stream only grow.

pub mod appender;
pub mod backoff;
pub mod http;
pub mod log_port;
pub mod pace;
pub mod tail;
pub mod vms;
pub mod weights;

pub use appender::{Appender, AppenderSettings, AppenderStats};
pub use backoff::{Backoff, BackoffSettings};
pub use http::{CallTimeouts, PlatformClient};
pub use log_port::{HttpLog, LogPort, LogRecord, ReadBatch};
pub use pace::TokenBucket;
pub use tail::{StreamPosition, Tail, TailEvent, TailSettings, TailStats};
pub use vms::{HttpVmList, VmEntry, VmListPort, VmRole, VmState};
pub use weights::{HttpWeights, WeightInfo, WeightPort};
