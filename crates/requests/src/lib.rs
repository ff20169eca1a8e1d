//! The requests of one node: identity, at most one run, attempts, deadline, answer assembly, resume
//! and drain.
//!
//! Terms: a *live request* is a request from admission to its last event. An *attempt* is one try
//! to run it on an upstream. A *cleanup task* is a cancel or release that may outlast its request.
//! A *cursor* is a signed position in an answer from which a caller resumes reading.
//!
//! Invariants: see [`request`]; [`verify`] re-checks them.

pub mod actor;
pub mod budget;
pub mod call;
pub mod cleanup;
pub mod cursor;
pub mod finished;
pub mod fleet;
pub mod lengths;
pub mod lookup;
pub mod names;
pub mod observe;
pub mod print;
pub mod request;
pub mod settings;
pub mod table;
pub mod verify;
pub mod waiting_callers;

pub use actor::{EngineDescription, Requests, RequestsHandle, RequestsPorts};
pub use lookup::RequestLookup;
pub use observe::{LengthBand, NoObserver, RefusedBy, RequestObserver};
pub use settings::RequestsSettings;
