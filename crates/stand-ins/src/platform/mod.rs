//! The stand-in for the platform: log, weight store and VM list, with faults that are switched
//! while it runs.
//!
//! Terms: the *model* is the platform's state without I/O or clock; the *server* puts it behind
//! HTTP; the *fake* implements the ports on it under virtual time.

mod fake;
mod faults;
mod model;
mod operator;
mod server;

pub use fake::{FakePlatform, FakeSettings};
pub use faults::{Fate, Fault, FaultRule, Faults, Operation};
pub use model::{PlatformModel, PlatformSettings, PlatformStats, VmChange};
pub use operator::Operator;
pub use server::PlatformServer;
