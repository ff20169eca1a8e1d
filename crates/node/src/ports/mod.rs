//! Adapters: the ports that parts ask for, made from other parts.

pub mod lookup;
pub mod observer;
