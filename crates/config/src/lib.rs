//! The operators' configuration: classes of work with targets, client accounts, models, plain
//! services, and the check that names every fault with its path.
//!
//! Terms: a *target* says by when answers of a class begin and end; a *deployment* is a kind of
//! upstream, of which the operators say only whether it checks fencing numbers.
//!
//! Invariants: a configuration in force has passed [`check::check`] of the program that published
//! it, which may have been an older one; it holds no weights and no names of engines or VMs.

pub mod check;
pub mod fleet;

pub use check::{Fault, check, decode, parse};
pub use fleet::{
    Account, Class, Deployment, FirstTokenTarget, FleetConfig, Limits, Model, NoRepeat, Service,
};
