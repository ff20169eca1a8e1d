//! The life of a request: identity, at most one run, attempts, deadline, answer assembly, resume
//! and drain.

pub mod call;
