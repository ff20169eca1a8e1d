//! A node's decision state, and the components that its tasks share.

use super::{Clock, FrontSettings};
use crate::copies::Copies;
use crate::crash_checks::CrashChecks;
use crate::forward::ForwardedCalls;
use crate::gossip::Outbox;
use crate::http::{HeldMemory, Pool};
use crate::journal::Journal;
use crate::links::LinkChecks;
use crate::platform::Platform;
use crate::shares::ShareState;
use crate::watch::DirectoryWatch;
use bluebell_base::prelude::*;
use bluebell_fleet::prelude::*;
use bluebell_quarantine::prelude::*;
use rustc_hash::FxHashMap;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use tokio::sync::{Notify, watch};

/// The state on which the node bases its decisions.
#[derive(Debug)]
pub struct State {
    /// The configuration in force. `None` before the first.
    pub config: Option<Rc<ServingConfig>>,
    /// The known replicas with their health, by the directory's entries and the replicas' answers.
    pub replicas: ReplicaTable,
    /// All work in flight on engines, of this node and of its peers.
    pub ledger: Ledger,
    /// This node's warm-up, with what it was told of work that it hasn't heard of.
    pub startup: Startup,
    /// The paces of slow engines, from this node's probes and its peers' reports.
    pub paces: Paces,
    /// The request rate limits that replicas set.
    pub limits: Limits,
    /// The request rates that cold replicas bear.
    pub cold_limits: Limits,
    /// The replicas that are backing off from this node's requests.
    pub replica_backoffs: ReplicaBackoffs,
    /// This node's contact with the replicas of each service.
    pub links: Links,
    /// The peers to which this node forwards requests.
    pub forward_peers: ForwardPeers,
    /// The number of this node's calls in flight, by plain replica.
    pub calls: FxHashMap<ReplicaKey, u32>,
    /// This node's share of the retry budget.
    pub budget: RetryBudget,
    /// The return times that this node and its peers promised.
    pub returns: Returns,
    /// The requests that are suspected of being fatal or are in quarantine.
    pub quarantine: Quarantine,
    /// The trials of suspected requests that this node runs.
    pub suspect_trials: SuspectTrials,
    /// The parts of prompts that are suspected of being fatal or are in quarantine.
    pub parts: PartQuarantine,
    /// True while a task judges the suspected parts.
    pub judges_parts: bool,
    /// True while a task judges requests again whose crashes a part may explain.
    pub judges_held_requests: bool,
    /// The shares of client accounts.
    pub share_state: ShareState,
}

impl State {
    /// Adds a request that was placed on engines to the ledger.
    pub fn put_work(&mut self, id: WorkId, work: Work, now_ms: MonoMs) {
        if let Some(replica) = self.replicas.get(work.first) {
            self.returns.on_placed(&replica.service, now_ms);
        }
        self.ledger.put(id, work, now_ms);
    }

    /// Removes a request that has ended from the ledger.
    pub fn remove_work(&mut self, id: WorkId, now_ms: MonoMs) {
        if let Some(work) = self.ledger.get(id)
            && let Some(replica) = self.replicas.get(work.first)
        {
            self.returns.on_ended(&replica.service, work, now_ms);
        }
        self.ledger.remove(id);
    }

    /// Counts something that is sent to a replica against its limits.
    pub fn on_sent(&mut self, key: ReplicaKey, now_ms: MonoMs) {
        self.limits.on_sent(key, now_ms);
        self.cold_limits.on_sent(key, now_ms);
    }
}

/// A node, with its state and the components that its tasks share.
pub struct Node {
    /// The node's settings, with the ports that the system picked in place of port 0.
    pub settings: FrontSettings,
    /// The random id of this run of the node.
    pub owner: OwnerId,
    /// The monotonic clock that gives the instants of the node's decisions.
    pub clock: Clock,
    /// The platform that the node runs on.
    pub platform: Platform,
    /// The pool of connections to replicas and peers.
    pub pool: Rc<Pool>,
    /// The memory that is held for the readers of answers.
    pub held: Rc<HeldMemory>,
    /// The checks of replicas whose connections broke.
    pub crash_checks: CrashChecks,
    /// The checks of this node's links to replicas.
    pub link_checks: LinkChecks,
    /// Notified when a trial of a suspected request ends.
    pub trial_ended: Notify,
    /// The requests that peers forwarded to this node.
    pub forwarded_calls: ForwardedCalls,
    /// The queue of gossip, and the peer table.
    pub outbox: Outbox,
    /// The text of the configuration in force, for peers that copy it.
    pub copies: Copies,
    /// The state that the directory watchers share.
    pub directory_watch: DirectoryWatch,
    /// The log of decisions.
    pub journal: Journal,
    state: RefCell<State>,
    sequence: Cell<u32>,
    stopping: watch::Sender<Option<StopPlan>>,
    replicas_read: Cell<bool>,
}

impl Node {
    /// Creates a node with empty state.
    pub fn open(settings: FrontSettings, platform: Platform, journal: Journal) -> Rc<Self> {
        let clock = Clock::open();
        let state = State {
            config: None,
            replicas: ReplicaTable::default(),
            ledger: Ledger::default(),
            startup: Startup::default(),
            paces: Paces::default(),
            limits: Limits::default(),
            cold_limits: Limits::default(),
            replica_backoffs: ReplicaBackoffs::default(),
            links: Links::default(),
            forward_peers: ForwardPeers::default(),
            calls: FxHashMap::default(),
            budget: RetryBudget::new(settings.retry_limits),
            returns: Returns::default(),
            quarantine: Quarantine::default(),
            suspect_trials: SuspectTrials::default(),
            parts: PartQuarantine::default(),
            judges_parts: false,
            judges_held_requests: false,
            share_state: ShareState::default(),
        };
        Rc::new(Self {
            owner: OwnerId(rand::random()),
            clock,
            platform,
            pool: Pool::open(clock),
            held: HeldMemory::open(clock, settings.memory),
            crash_checks: CrashChecks::default(),
            link_checks: LinkChecks::default(),
            trial_ended: Notify::new(),
            forwarded_calls: ForwardedCalls::default(),
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

    /// Returns the current instant of the node's clock.
    pub fn now_ms(&self) -> MonoMs {
        self.clock.now_ms()
    }

    /// Runs `change` on the decision state and returns its result.
    pub fn with<T>(&self, change: impl FnOnce(&mut State) -> T) -> T {
        change(&mut self.state.borrow_mut())
    }

    /// Returns the version of the configuration in force. `None` before the first.
    pub fn config_version(&self) -> Option<ConfigVersion> {
        self.with(|state| state.config.as_ref().map(|config| config.version()))
    }

    /// Returns the id of a new piece of work.
    pub fn next_work_id(&self) -> WorkId {
        let sequence = self.sequence.get().wrapping_add(1);
        self.sequence.set(sequence);
        WorkId {
            owner: self.owner,
            sequence,
        }
    }

    /// Records that the replica list was read.
    pub fn on_replicas_read(&self) {
        self.replicas_read.set(true);
        self.directory_watch.data_changed.notify_waiters();
    }

    /// Returns true if the node has read a configuration and the replica list, and can serve.
    pub fn is_initialized(&self) -> bool {
        let known = self.with(|state| state.config.is_some());
        known && self.replicas_read.get()
    }

    /// Waits until the node has read a configuration and the replica list.
    pub async fn wait_until_initialized(&self) {
        loop {
            let data_changed = self.directory_watch.data_changed.notified();
            if self.is_initialized() {
                return;
            }
            data_changed.await;
        }
    }

    /// Returns true if the node accepts new connections.
    pub fn is_ready(&self) -> bool {
        self.is_initialized() && !self.is_stopping()
    }

    /// Returns true during a planned stop.
    pub fn is_stopping(&self) -> bool {
        self.stopping.borrow().is_some()
    }

    /// Begins a planned stop and returns its plan.
    pub fn begin_stop(&self) -> StopPlan {
        let plan = StopPlan::begin(self.now_ms(), self.settings.grace_ms);
        self.stopping.send_replace(Some(plan));
        plan
    }

    /// Returns a receiver that is notified when a planned stop begins.
    pub fn stop_signal(&self) -> watch::Receiver<Option<StopPlan>> {
        self.stopping.subscribe()
    }

    /// Returns true if a request that may last until `deadline_ms` is accepted. Outside a planned stop
    /// it always is.
    pub fn accepts(&self, deadline_ms: MonoMs) -> bool {
        let now_ms = self.now_ms();
        let plan = *self.stopping.borrow();
        plan.is_none_or(|plan| plan.accepts(deadline_ms, now_ms))
    }

    /// Returns the number of nodes that share the fleet, including this one and silent peers.
    pub fn node_count(&self) -> usize {
        self.outbox.peer_count() + 1
    }
}
