//! The actor that owns a node's requests. It finds the live request that a message is for, runs one
//! transition on it and carries out the transition's effects.
//!
//! Invariants: after each message every live request has a timer for its next due time, and the
//! policy's due decisions are carried out.

mod arrivals;
mod cleanup;
mod effects;
mod foreign;
mod handle;
mod inspect;
mod readers;
mod upstreams;

pub use handle::RequestsHandle;
pub use upstreams::EngineDescription;

use crate::budget::Budgets;
use crate::call::CallerId;
use crate::cleanup::CleanupTasks;
use crate::cursor::Signer;
use crate::finished::{Finished, FinishedRequests};
use crate::fleet::Fleet;
use crate::lengths::Lengths;
use crate::lookup::RequestLookup;
use crate::names::Names;
use crate::observe::RequestObserver;
use crate::request::{Context, Effect, LiveRequest, RequestTimer, Work};
use crate::settings::RequestsSettings;
use crate::table::{EntryId, Table};
use crate::waiting_callers::WaitingCallers;
use bluebell_base::prelude::*;
use bluebell_claims::ClaimsPort;
use bluebell_config::FleetConfig;
use bluebell_policy::{Decision, Policy};
use bluebell_quarantine::prelude::*;
use bluebell_timers::{Subscription, Timers};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use stakker::{CX, Core, Ret, actor, call, fwd_to, ret_nop};
use std::rc::Rc;

/// The limit of decision rounds after one message. A policy with more decisions due is called again
/// right after the messages already queued.
const DECISION_ROUNDS: usize = 8;

/// The services and parameters that the requests get from the rest of the node.
pub struct RequestsPorts {
    /// The timers and the clock.
    pub timers: Timers,
    /// This run of the process.
    pub incarnation: Incarnation,
    /// The fleet's shared secret, which signs cursors.
    pub fleet_secret: Vec<u8>,
    /// The claims of idempotency keys.
    pub claims: Rc<dyn ClaimsPort>,
    /// The policy.
    pub policy: Box<dyn Policy>,
    /// The metrics.
    pub observer: Box<dyn RequestObserver>,
    /// The queries to other nodes about their requests.
    pub lookup: Rc<dyn RequestLookup>,
    /// The seed for jitter and reservation ids.
    pub seed: u64,
}

/// The requests of one node.
pub struct Requests {
    settings: RequestsSettings,
    timers: Timers,
    incarnation: Incarnation,
    signer: Signer,
    claims: Rc<dyn ClaimsPort>,
    policy: Box<dyn Policy>,
    observer: Box<dyn RequestObserver>,
    lookup: Rc<dyn RequestLookup>,
    rng: ChaCha8Rng,
    config: Option<Arc<FleetConfig>>,
    config_version: ConfigVersion,
    payers: Names<AccountName>,
    models: Names<ModelName>,
    domains: Names<DomainName>,
    fleet: Fleet,
    table: Table,
    cleanups: CleanupTasks,
    finished: FinishedRequests,
    waiting_callers: WaitingCallers,
    budgets: Budgets,
    quarantine: Quarantine,
    lengths: Lengths,
    next_sequence: u64,
    draining: Option<Vec<Ret<()>>>,
    policy_wake: Option<(MonoMs, Subscription)>,
    effects: Vec<Effect>,
    decisions: Vec<Decision>,
    verify_steps: bool,
}

impl Requests {
    /// Starts the requests of a node and returns their handle.
    pub fn spawn(
        core: &mut Core,
        settings: RequestsSettings,
        ports: RequestsPorts,
    ) -> RequestsHandle {
        let own = actor!(core, Requests::init(settings, ports), ret_nop!());
        RequestsHandle::new(own)
    }

    fn init(_: CX![], settings: RequestsSettings, ports: RequestsPorts) -> Option<Self> {
        Some(Self {
            budgets: Budgets::new(&settings),
            settings,
            timers: ports.timers,
            incarnation: ports.incarnation,
            signer: Signer::new(&ports.fleet_secret),
            claims: ports.claims,
            policy: ports.policy,
            observer: ports.observer,
            lookup: ports.lookup,
            rng: ChaCha8Rng::seed_from_u64(ports.seed),
            config: None,
            config_version: ConfigVersion(0),
            payers: Names::default(),
            models: Names::default(),
            domains: Names::default(),
            fleet: Fleet::default(),
            table: Table::default(),
            cleanups: CleanupTasks::default(),
            finished: FinishedRequests::default(),
            waiting_callers: WaitingCallers::default(),
            quarantine: Quarantine::default(),
            lengths: Lengths::default(),
            next_sequence: 0,
            draining: None,
            policy_wake: None,
            effects: Vec::new(),
            decisions: Vec::new(),
            verify_steps: false,
        })
    }

    /// Puts a configuration into force.
    fn set_config(&mut self, cx: CX![], version: ConfigVersion, config: Arc<FleetConfig>) {
        if version < self.config_version {
            return;
        }
        let now_ms = self.timers.now_ms(cx);
        self.policy.set_config(&config, now_ms);
        self.table
            .iter_mut()
            .for_each(|live| live.update_config_ids(&config));
        self.config_version = version;
        self.config = Some(config);
        self.finish_message(cx);
    }

    /// Runs a transition on a live request and carries out its effects. Returns `false` if the slot
    /// now holds another request or none.
    fn step(
        &mut self,
        cx: CX![],
        id: EntryId,
        request: RequestId,
        transition: impl FnOnce(&mut LiveRequest, &mut Context<'_>),
    ) -> bool {
        let now_ms = self.timers.now_ms(cx);
        let mut effects = std::mem::take(&mut self.effects);
        let Some(live) = self.table.get_mut(id, request) else {
            self.effects = effects;
            return false;
        };
        let (reader, bytes) = (live.reader_id(), live.held_bytes());
        let mut context = Context {
            now_ms,
            owner: self.incarnation,
            settings: &self.settings,
            policy: self.policy.as_mut(),
            observer: self.observer.as_mut(),
            budgets: &mut self.budgets,
            signer: &self.signer,
            quarantine: &mut self.quarantine,
            fleet: &self.fleet,
            lengths: &mut self.lengths,
            rng: &mut self.rng,
            out: &mut effects,
        };
        transition(live, &mut context);
        self.table.reindex(id, reader, bytes);
        for effect in effects.drain(..) {
            self.run_effect(cx, id, request, effect);
        }
        self.effects = effects;
        self.after_step(cx, id, request);
        true
    }

    /// Sets the request's timer to its next due time, or removes the request if it has ended.
    fn after_step(&mut self, cx: CX![], id: EntryId, request: RequestId) {
        let Some(live) = self.table.get_mut(id, request) else {
            return;
        };
        if live.is_done() {
            self.retire(cx, id);
            return;
        }
        let due_ms = live.next_due_ms();
        // A timer that fires too early finds nothing due and is set again, so a token need not move
        // it.
        if live.timer.is_some_and(|timer| timer.at_ms <= due_ms) {
            return;
        }
        if let Some(timer) = live.timer.take() {
            self.timers.cancel(cx, timer.subscription);
        }
        let fwd = fwd_to!([cx], on_timer(id, request) as (MonoMs));
        let subscription = self.timers.subscribe_at(cx, due_ms, fwd);
        live.timer = Some(RequestTimer {
            at_ms: due_ms,
            subscription,
        });
    }

    fn on_timer(&mut self, cx: CX![], id: EntryId, request: RequestId, _: MonoMs) {
        self.step(cx, id, request, |live, context| {
            live.timer = None;
            live.on_due(context);
        });
        self.finish_message(cx);
    }

    /// Removes an ended request from the table and keeps what its caller may still read.
    fn retire(&mut self, cx: CX![], id: EntryId) {
        let Some(mut live) = self.table.remove(id) else {
            return;
        };
        if let Some(timer) = live.timer.take() {
            self.timers.cancel(cx, timer.subscription);
        }
        let report = live.report(&self.fleet);
        for reply in live.cancel_replies.drain(..) {
            reply(Ok(report.clone()));
        }
        let Some(ended) = live.ended.take() else {
            return;
        };
        let (base, tokens) = match live.work {
            Work::Answer(answer) => (answer.base, answer.tokens),
            Work::Exchange(_) => (0, Vec::new()),
        };
        let finished = Finished {
            report,
            at_ms: ended.at_ms,
            base,
            tokens,
            last: ended.last,
        };
        self.finished.push(finished, &self.settings);
    }

    /// Completes each message: carries out due decisions, sets the policy's timer and completes a
    /// drain.
    fn finish_message(&mut self, cx: CX![]) {
        self.decide(cx);
        self.set_policy_wake(cx);
        self.end_drain();
        if self.verify_steps {
            let now_ms = self.timers.now_ms(cx);
            self.verify(now_ms)
                .expect("the invariants hold after each step");
        }
    }

    fn decide(&mut self, cx: CX![]) {
        for _ in 0..DECISION_ROUNDS {
            let now_ms = self.timers.now_ms(cx);
            let mut decisions = std::mem::take(&mut self.decisions);
            decisions.clear();
            self.policy.decide(now_ms, &mut decisions);
            let idle = decisions.is_empty();
            for decision in decisions.drain(..) {
                self.on_decision(cx, decision);
            }
            self.decisions = decisions;
            if idle {
                return;
            }
        }
        call!([cx], finish_message());
    }

    fn on_decision(&mut self, cx: CX![], decision: Decision) {
        let request = match &decision {
            Decision::Send { request, .. }
            | Decision::Group { request, .. }
            | Decision::Recall { request }
            | Decision::Refuse { request, .. } => *request,
        };
        let Some(id) = self.table.find(request) else {
            // The request ended without the policy's knowledge; the policy must free the resources
            // that it counts for it.
            let now_ms = self.timers.now_ms(cx);
            let outcome = bluebell_policy::Outcome::NotRun;
            self.policy.on_end(request, outcome, now_ms);
            return;
        };
        self.step(cx, id, request, |live, context| match decision {
            Decision::Send {
                upstream, priority, ..
            } => live.on_send(upstream, priority, context),
            Decision::Group {
                leader,
                members,
                priority,
                ..
            } => live.on_group(leader, &members, priority, context),
            Decision::Recall { .. } => live.on_recall(context),
            Decision::Refuse { refusal, .. } => live.on_refuse(refusal, context),
        });
    }

    fn set_policy_wake(&mut self, cx: CX![]) {
        let wanted = self.policy.next_wake_ms();
        if wanted == self.policy_wake.map(|(at_ms, _)| at_ms) {
            return;
        }
        if let Some((_, subscription)) = self.policy_wake.take() {
            self.timers.cancel(cx, subscription);
        }
        let Some(at_ms) = wanted else { return };
        let fwd = fwd_to!([cx], on_policy_wake() as (MonoMs));
        let subscription = self.timers.subscribe_at(cx, at_ms, fwd);
        self.policy_wake = Some((at_ms, subscription));
    }

    fn on_policy_wake(&mut self, cx: CX![], _: MonoMs) {
        self.policy_wake = None;
        self.finish_message(cx);
    }

    /// Refuses new calls; `ret` is called once the last request and cleanup task have ended.
    fn drain(&mut self, cx: CX![], ret: Ret<()>) {
        self.draining.get_or_insert_default().push(ret);
        self.finish_message(cx);
    }

    fn end_drain(&mut self) {
        if !self.table.is_empty() || !self.cleanups.is_empty() || !self.waiting_callers.is_empty() {
            return;
        }
        if let Some(waiting) = &mut self.draining {
            for ret in waiting.drain(..) {
                ret.ret(());
            }
        }
    }

    fn on_disconnected(&mut self, cx: CX![], caller: CallerId) {
        if let Some(id) = self.table.find_caller(caller)
            && let Some(request) = self.table.get(id).map(|live| live.request)
        {
            self.step(cx, id, request, |live, context| live.detach(context));
        }
        self.waiting_callers.forget(caller);
        self.finish_message(cx);
    }
}
