//! Decisions over a fleet of replicas that many equal nodes share: which replica takes a request,
//! when a request is turned away, and when a broken try may be repeated.
//!
//! Terms:
//! - a *replica* is one running copy of a service; an *engine* is a replica that reads prompts and
//!   writes tokens, a *plain* replica answers whole calls;
//! - *reading* a prompt ends with its first token, *writing* follows; writers of one engine advance
//!   together in *passes*, and whatever is read in a pass delays all of its writers;
//! - the *ledger* holds all work in flight, of this node and, as far as they told, of its peers.
//!
//! Invariants: nothing here does I/O or reads a clock; every instant comes in as [`MonoMs`].
//!
//! [`MonoMs`]: bluebell_base::prelude::MonoMs

pub mod backoff;
pub mod budget;
pub mod distribution;
pub mod engine;
pub mod fanout;
pub mod freshness;
pub mod leaving;
pub mod ledger;
pub mod limit;
pub mod long_poll;
pub mod pace;
pub mod placement;
pub mod rendezvous;
pub mod replicas;
pub mod serving;
pub mod silence;
pub mod stopping;
pub mod urgency;
pub mod waiting;

/// What users of this package import.
pub mod prelude {
    pub use crate::backoff::{ReplicaBackoffs, RetryAfterSignal};
    pub use crate::budget::{RetryBudget, RetryLimits};
    pub use crate::engine::EngineSpec;
    pub use crate::freshness::{ConfigAges, ConfigFreshness, ConfigLag};
    pub use crate::leaving::LeavingReplicas;
    pub use crate::ledger::{Ledger, OwnerId, Stage, Work, WorkId};
    pub use crate::limit::{
        Admission, LimitChange, LimitNotice, LimitReport, LimitSignal, Limits, Nodes, Source,
    };
    pub use crate::pace::{Pace, Paces};
    pub use crate::placement::{Demand, Placement, Refusal, place_engine, place_plain};
    pub use crate::replicas::{
        Fingerprint, Replica, ReplicaChange, ReplicaKey, ReplicaStart, ReplicaState, ReplicaTable,
        Symptom,
    };
    pub use crate::serving::{
        Account, ClientLimits, Route, RouteKind, RouteLookup, Service, ServingConfig, Split,
    };
    pub use crate::stopping::StopPlan;
    pub use crate::urgency::Urgency;
    pub use crate::waiting::WaitTimeouts;
}
