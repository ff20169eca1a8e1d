//! What a node believes, and the parts that its tasks share.

use super::{Clock, FrontSettings};
use crate::copies::Copies;
use crate::crash_checks::CrashChecks;
use crate::gossip::Outbox;
use crate::http::Pool;
use crate::journal::Journal;
use crate::platform::Platform;
use crate::watch::DirectoryWatch;
use bluebell_base::prelude::*;
use bluebell_fleet::prelude::*;
use bluebell_quarantine::prelude::*;
use rustc_hash::FxHashMap;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use tokio::sync::watch;

/// What the node believes.
#[derive(Debug)]
pub struct State {
    /// The configuration in force; none before the first.
    pub config: Option<Rc<ServingConfig>>,
    /// The replicas.
    pub replicas: ReplicaTable,
    /// All work in flight on engines.
    pub ledger: Ledger,
    /// How slow engines are.
    pub paces: Paces,
    /// How many requests replicas take that named a limit.
    pub limits: Limits,
    /// The replicas that want no requests from this node for a while.
    pub replica_backoffs: ReplicaBackoffs,
    /// This node's calls in hand, by plain replica.
    pub calls: FxHashMap<ReplicaKey, u32>,
    /// This node's share of the retry budget.
    pub budget: RetryBudget,
    /// The requests that end replicas.
    pub quarantine: Quarantine,
}

/// A node's state, and what its tasks share.
pub struct Node {
    /// Its settings.
    pub settings: FrontSettings,
    /// This run of it.
    pub owner: OwnerId,
    /// Its clock.
    pub clock: Clock,
    /// The platform.
    pub platform: Platform,
    /// Kept connections to replicas.
    pub pool: Rc<Pool>,
    /// Its looks at replicas whose connections broke.
    pub crash_checks: CrashChecks,
    /// Gossip for its peers.
    pub outbox: Outbox,
    /// The text of its configuration, for its peers.
    pub copies: Copies,
    /// What its watchers of the directory share.
    pub directory_watch: DirectoryWatch,
    /// Its log of decisions.
    pub journal: Journal,
    state: RefCell<State>,
    sequence: Cell<u32>,
    stopping: watch::Sender<Option<StopPlan>>,
    replicas_read: Cell<bool>,
}

impl Node {
    /// A node that knows nothing yet.
    pub fn open(settings: FrontSettings, platform: Platform, journal: Journal) -> Rc<Self> {
        let clock = Clock::open();
        let state = State {
            config: None,
            replicas: ReplicaTable::default(),
            ledger: Ledger::default(),
            paces: Paces::default(),
            limits: Limits::default(),
            replica_backoffs: ReplicaBackoffs::default(),
            calls: FxHashMap::default(),
            budget: RetryBudget::new(settings.retry_limits),
            quarantine: Quarantine::default(),
        };
        Rc::new(Self {
            owner: OwnerId(rand::random()),
            clock,
            platform,
            pool: Pool::open(clock),
            crash_checks: CrashChecks::default(),
            outbox: Outbox::default(),
            copies: Copies::default(),
            directory_watch: DirectoryWatch::default(),
            journal,
            state: RefCell::new(state),
            sequence: Cell::new(0),
            stopping: watch::Sender::new(None),
            replicas_read: Cell::new(false),
            settings,
        })
    }

    /// The instant now.
    pub fn now_ms(&self) -> MonoMs {
        self.clock.now_ms()
    }

    /// Looks at or changes what the node believes.
    pub fn with<T>(&self, change: impl FnOnce(&mut State) -> T) -> T {
        change(&mut self.state.borrow_mut())
    }

    /// The version of the configuration in force; none before the first.
    pub fn config_version(&self) -> Option<ConfigVersion> {
        self.with(|state| state.config.as_ref().map(|config| config.version()))
    }

    /// A number for a new piece of work.
    pub fn next_work_id(&self) -> WorkId {
        let sequence = self.sequence.get().wrapping_add(1);
        self.sequence.set(sequence);
        WorkId {
            owner: self.owner,
            sequence,
        }
    }

    /// The list of replicas has been read.
    pub fn on_replicas_read(&self) {
        self.replicas_read.set(true);
        self.directory_watch.data_changed.notify_waiters();
    }

    /// Whether the node has read what it needs to serve.
    pub fn is_initialized(&self) -> bool {
        let known = self.with(|state| state.config.is_some());
        known && self.replicas_read.get()
    }

    /// Ends once the node has read what it needs to serve.
    pub async fn wait_until_initialized(&self) {
        loop {
            let data_changed = self.directory_watch.data_changed.notified();
            if self.is_initialized() {
                return;
            }
            data_changed.await;
        }
    }

    /// Whether the node wants new connections.
    pub fn is_ready(&self) -> bool {
        self.is_initialized() && !self.is_stopping()
    }

    /// Whether a planned stop is under way.
    pub fn is_stopping(&self) -> bool {
        self.stopping.borrow().is_some()
    }

    /// Begins a planned stop.
    pub fn begin_stop(&self) -> StopPlan {
        let plan = StopPlan::begin(self.now_ms(), self.settings.grace_ms);
        self.stopping.send_replace(Some(plan));
        plan
    }

    /// Tells of a planned stop.
    pub fn stop_signal(&self) -> watch::Receiver<Option<StopPlan>> {
        self.stopping.subscribe()
    }

    /// Whether a request that may last until `deadline_ms` is taken.
    pub fn accepts(&self, deadline_ms: MonoMs) -> bool {
        let now_ms = self.now_ms();
        let plan = *self.stopping.borrow();
        plan.is_none_or(|plan| plan.accepts(deadline_ms, now_ms))
    }

    /// How many nodes share the fleet, this one included.
    pub fn node_count(&self) -> usize {
        self.outbox.peer_count() + 1
    }
}
