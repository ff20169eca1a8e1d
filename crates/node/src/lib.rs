//! The node: opens every part with its settings, wires them together and runs them on one thread.
//!
//! Terms: the *hub* is the actor through which the parts' events reach one another; a *running
//! node* is the handle to the thread that runs it.
//!
//! Invariants: all mutable state belongs to actors of one thread; a node that stops by request
//! first finishes what it took and hands its duties over.

pub mod hub;
pub mod launch;
pub mod ports;

pub use launch::{LaunchError, Node, NodeAddresses};
