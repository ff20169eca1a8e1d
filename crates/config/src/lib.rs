//! The operators' configuration: classes of work with targets, client accounts, models and plain
//! services, and the check that reports every fault with its path.
//!
//! Terms: a *target* is the time by which answers of a class begin or end; a *deployment* is a kind
//! of upstream, of which the configuration says only whether it checks fencing numbers.
//!
//! Invariants: a configuration in force has passed [`check::check`] of the program that published
//! it, which may have been an older version; it contains no weights and no names of engines or VMs.

pub mod check;
pub mod fleet;

pub use check::{Fault, check, decode, parse};
pub use fleet::{
    Account, Class, Deployment, FirstTokenTarget, FleetConfig, Limits, Model, NoRepeat, Service,
};
