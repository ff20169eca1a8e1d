//! Requests that end the replicas that run them: which arrivals are the same request, and what its
//! tries have shown so far.
//!
//! Terms: a *digest* stands for all arrivals of one request, whatever id each of them bears.
//!
//! Invariants: nothing here does I/O or reads a clock; every instant comes in as
//! [`MonoMs`](bluebell_base::prelude::MonoMs).

pub mod digest;

/// What users of this package import.
pub mod prelude {
    pub use crate::digest::{RequestDigest, RequestParts};
}
