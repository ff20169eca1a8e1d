//! The node: opens every part with its settings, connects the parts and runs them on one thread.
//!
//! Terms: the *hub* is the actor that passes events between the parts; a *running node* is the
//! handle to the thread that runs the node.
//!
//! Invariants: all mutable state belongs to actors of one thread; a node that is asked to stop
//! first finishes the requests that it accepted and hands its duties over.

pub mod hub;
pub mod launch;
pub mod ports;

pub use launch::{LaunchError, Node, NodeAddresses};
