//! Adapters that implement the ports of some parts with other parts.

pub mod lookup;
pub mod observer;
