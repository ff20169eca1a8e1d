//! The life of a request: identity, at most one run, attempts, deadline, answer assembly, resume
//! and drain.
//!
//! Terms: a *life* is one request from admission to its last event; an *attempt* one try to run it
//! on an upstream; a *chore* a cancel or release that outlives its request; a *cursor* the signed
//! place in an answer from which a caller reads on.
//!
//! Invariants: see [`life`]; [`verify`] re-checks them.

pub mod actor;
pub mod budget;
pub mod call;
pub mod chores;
pub mod cursor;
pub mod finished;
pub mod fleet;
pub mod lengths;
pub mod life;
pub mod lookup;
pub mod names;
pub mod observe;
pub mod print;
pub mod settings;
pub mod table;
pub mod verify;
pub mod waits;

pub use actor::{EngineDescription, Requests, RequestsHandle, RequestsPorts};
pub use lookup::RequestLookup;
pub use observe::{LengthBand, NoObserver, RefusedBy, RequestObserver};
pub use settings::RequestsSettings;
