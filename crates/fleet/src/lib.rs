//! Decisions over a fleet of replicas that many equal nodes share: which replica runs a request,
//! when a request is refused, and when a failed attempt may be repeated.
//!
//! Terms:
//! - a *replica* is one running copy of a service; an *engine* is a replica that reads prompts and
//!   writes tokens; a *plain* replica answers whole calls;
//! - *reading* a prompt (prefill) ends with its first token, and *writing* (decode) follows; an
//!   engine advances all the requests that it writes, its *writers*, together in *passes*, and
//!   whatever is read in a pass delays all of them;
//! - a *helper* is an engine that reads a part of a prompt whose answer another engine writes;
//! - the *weight* of a request is what it counts against others; costs and prices are in units of
//!   weight;
//! - the *ledger* holds all work in flight, of this node and, as far as they reported it, of its
//!   peers.
//!
//! Invariants: nothing here does I/O or reads a clock; every instant is passed in as [`MonoMs`].
//!
//! [`MonoMs`]: bluebell_base::prelude::MonoMs

pub mod backoff;
pub mod budget;
pub mod cold;
pub mod directory;
pub mod distribution;
pub mod engine;
pub mod evacuation;
pub mod fanout;
pub mod forwarding;
pub mod freshness;
pub mod leaving;
pub mod ledger;
pub mod limit;
pub mod links;
pub mod long_poll;
pub mod pace;
pub mod placement;
pub mod rendezvous;
pub mod replicas;
pub mod returns;
pub mod serving;
pub mod shares;
pub mod silence;
pub mod startup;
pub mod stopping;
pub mod urgency;
pub mod waiting;

/// Items that users of this package import.
pub mod prelude {
    pub use crate::backoff::{ReplicaBackoffs, RetryAfterSignal};
    pub use crate::budget::{RetryBudget, RetryLimits};
    pub use crate::cold::ColdReplicas;
    pub use crate::engine::EngineSpec;
    pub use crate::evacuation::{EvacuationEntry, Evacuations};
    pub use crate::forwarding::{ForwardPeers, PeerCandidate};
    pub use crate::freshness::{ConfigAges, ConfigFreshness, ConfigLag};
    pub use crate::leaving::LeavingReplicas;
    pub use crate::ledger::{Ledger, OwnerId, Stage, Work, WorkId};
    pub use crate::limit::{
        Admission, LimitChange, LimitNotice, LimitReport, LimitSignal, Limits, Nodes, Source,
    };
    pub use crate::links::Links;
    pub use crate::pace::{Pace, Paces};
    pub use crate::placement::{Demand, Placement, Refusal, place_engine, place_plain};
    pub use crate::replicas::{
        ChangePosition, Fingerprint, PositionedChange, Replica, ReplicaChange, ReplicaKey,
        ReplicaStart, ReplicaState, ReplicaTable, Symptom,
    };
    pub use crate::returns::{ExpectedLoad, RefusedRequest, ReturnTime, Returning, Returns};
    pub use crate::serving::{
        Account, ClientLimits, ColdSpec, Route, RouteKind, RouteLookup, Service, ServingConfig,
        Split,
    };
    pub use crate::shares::{AccountKey, ServiceKey, ShareRequest, Shares, WorkReport};
    pub use crate::startup::{Baseline, Baselines, EngineWork, PeerKnowledge, Startup};
    pub use crate::stopping::StopPlan;
    pub use crate::urgency::Urgency;
    pub use crate::waiting::WaitTimeouts;
}
