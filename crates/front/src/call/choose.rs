//! Chooses the replica for an attempt from what the node currently knows of the fleet.

use super::Call;
use super::fatal;
use super::guards::TryGuard;
use super::reserve::ReservedMemory;
use crate::journal::ConnectionKind;
use crate::limits;
use crate::platform::Helper;
use crate::shares;
use bluebell_base::prelude::*;
use bluebell_fleet::placement::{Fleet, PlainCandidate, is_contended, needs_helper_memory};
use bluebell_fleet::prelude::*;
use bluebell_fleet::replicas::Health;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

/// A chosen replica, with the guard that counts the attempt as load on it.
pub(super) struct Chosen {
    /// The key of the replica, which for an engine is the one that writes the answer.
    pub key: ReplicaKey,
    /// The replica itself, as the directory listed it.
    pub replica: Arc<Replica>,
    /// The engines that read parts of the prompt with it.
    pub helpers: Vec<Helper>,
    /// The memory to reserve at helpers.
    pub memory: Vec<(Arc<Replica>, Tokens)>,
    /// The memory that has been reserved; `None` until the attempt starts to reserve.
    pub reserved: Option<ReservedMemory>,
    /// The expected time until the first event, or until a plain answer, in milliseconds.
    pub expected_ms: f64,
    /// The placement decision; `None` for a plain replica.
    pub placement: Option<Placement>,
    /// The time at which the attempt began.
    pub began_ms: MonoMs,
    /// The connection that the attempt uses.
    pub connection: Rc<Cell<ConnectionKind>>,
    /// The guard that counts the attempt as load on the replica until it is dropped.
    pub guard: TryGuard,
}

/// The replica of an attempt and its connection, for records of the attempt.
#[derive(Clone, Debug)]
pub(super) struct Target {
    pub replica: Arc<Replica>,
    /// The connection that the attempt uses.
    pub connection: Rc<Cell<ConnectionKind>>,
    /// The time at which the attempt began.
    pub began_ms: MonoMs,
}

impl Chosen {
    /// Returns the replica and the connection of the attempt.
    pub fn target(&self) -> Target {
        Target {
            replica: self.replica.clone(),
            connection: self.connection.clone(),
            began_ms: self.began_ms,
        }
    }
}

/// The shortest interval at which a request that waits at the node retries its placement. In a busy
/// fleet, work ends on some engine about as often.
const MIN_POLL_INTERVAL_MS: SpanMs = SpanMs(40);

/// The number of placement attempts within a request's target. Each attempt for a long prompt
/// evaluates more ways to place it, and attempts every 40 ms used processor time that small nodes
/// lack, so that other requests became late.
const POLLS_PER_TARGET: u64 = 25;

/// The wait state of a request that is to be placed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum WaitState {
    /// The request may wait longer.
    MayWait,
    /// The request has waited for the longest time that it may.
    Expired,
    /// The caller has received a part of the answer.
    Resuming,
}

/// Chooses a replica that isn't in `avoid`, without waiting, for a request with one whole answer.
pub(super) fn choose(call: &Call, avoid: &[ReplicaKey]) -> Result<Chosen, Refusal> {
    choose_now(call, avoid, WaitState::MayWait)
}

/// Chooses a replica that isn't in `avoid`, without waiting, for the rest of a stream that broke
/// off.
pub(super) fn choose_for_resume(call: &Call, avoid: &[ReplicaKey]) -> Result<Chosen, Refusal> {
    choose_now(call, avoid, WaitState::Resuming)
}

/// Chooses a replica that isn't in `avoid`, and waits for one for as long as that may help. If the replicas'
/// limits are the reason to wait and `may_forward` is true, returns at once, since a peer may send more.
pub(super) async fn choose_waiting(
    call: &Call,
    avoid: &[ReplicaKey],
    may_forward: bool,
) -> Result<Chosen, Refusal> {
    let timeouts = call.wait_timeouts();
    let poll_ms = MIN_POLL_INTERVAL_MS.max(SpanMs(call.route.target_ms.0 / POLLS_PER_TARGET));
    loop {
        let waited_ms = call.age_ms();
        let wait_expired = waited_ms >= timeouts.max_wait_ms;
        let wait_state = if call.resume().is_some() {
            WaitState::Resuming
        } else if wait_expired {
            WaitState::Expired
        } else {
            WaitState::MayWait
        };
        let refusal = match choose_now(call, avoid, wait_state) {
            Err(refusal @ Refusal::Limited { .. }) if may_forward => return Err(refusal),
            Err(refusal)
                if !wait_expired
                    && !is_held(call)
                    && may_clear_in_time(&refusal, timeouts.max_wait_ms, waited_ms) =>
            {
                refusal
            }
            result => return result,
        };
        if call.left_ms() <= poll_ms {
            return Err(refusal);
        }
        tokio::time::sleep(Duration::from(poll_ms)).await;
    }
}

/// Returns true if the last placement decision held the request to its account's share. It then
/// doesn't wait, as others would wait behind it.
fn is_held(call: &Call) -> bool {
    call.share.as_ref().is_some_and(|share| share.is_held())
}

/// Returns true if the cause of a refusal may disappear before the request, which has waited for
/// `waited_ms`, has waited for `max_wait_ms`.
fn may_clear_in_time(refusal: &Refusal, max_wait_ms: SpanMs, waited_ms: SpanMs) -> bool {
    match refusal {
        Refusal::Limited {
            retry_after_ms,
            here,
        } => *here && waited_ms.0 + retry_after_ms.0 < max_wait_ms.0,
        Refusal::NoRoom { .. } => true,
        Refusal::Overloaded {
            cost_pct, in_time, ..
        } => WaitTimeouts::waiting_may_help(*cost_pct, *in_time),
        Refusal::NoReplica
        | Refusal::Unreachable { .. }
        | Refusal::Evacuated { .. }
        | Refusal::TooLong
        | Refusal::Suspected { .. }
        | Refusal::Quarantined { .. }
        | Refusal::PartQuarantined { .. } => false,
    }
}

/// Chooses a replica from what is known now, unless the request is quarantined.
fn choose_now(call: &Call, avoid: &[ReplicaKey], wait_state: WaitState) -> Result<Chosen, Refusal> {
    if let Some(refusal) = fatal::refusal(call) {
        return Err(refusal);
    }
    let avoid = [avoid, &fatal::replicas_of_other_trials(call)].concat();
    let chosen = match &call.service.engine {
        Some(spec) => choose_engine(call, spec, &avoid, wait_state),
        None => choose_plain(call, &avoid),
    };
    if let Some(share) = call.share.as_ref().filter(|share| share.is_held()) {
        shares::on_held(&call.node, share);
    }
    let chosen = chosen?;
    fatal::on_chosen(call, &chosen);
    Ok(chosen)
}

/// Returns true if a replica that isn't in `avoid` would accept the request now.
pub(super) fn has_alternative(call: &Call, avoid: &[ReplicaKey]) -> bool {
    match &call.service.engine {
        Some(spec) => place_on_engine(call, spec, avoid, WaitState::MayWait).is_ok(),
        None => call.node.with(|state| {
            let limit_policy = LimitPolicy::WithinLimit;
            let throttles = Throttles {
                limits: &state.limits,
                cold_limits: &state.cold_limits,
                replica_backoffs: &state.replica_backoffs,
            };
            let candidates = Candidates::of(&state.replicas, &throttles, call, avoid, limit_policy);
            !candidates.ready.is_empty()
        }),
    }
}

/// The treatment of replicas that stated a request limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LimitPolicy {
    /// A limited replica may be chosen if this node may send it a request now.
    WithinLimit,
    /// No limited replica may be chosen.
    Exclude,
}

/// The request limits that replicas have stated and the backoffs that they have asked for.
struct Throttles<'a> {
    limits: &'a Limits,
    cold_limits: &'a Limits,
    replica_backoffs: &'a ReplicaBackoffs,
}

impl Throttles<'_> {
    /// Returns true if every replica may be sent to at any rate.
    fn are_empty(&self) -> bool {
        self.limits.is_empty() && self.cold_limits.is_empty() && self.replica_backoffs.is_empty()
    }

    /// Returns the permission to send a request to a replica.
    fn admission(&self, key: ReplicaKey, limit_policy: LimitPolicy, now_ms: MonoMs) -> Admission {
        let is_limited = || self.limits.is_limited(key) || self.cold_limits.is_limited(key);
        let backoff = self.replica_backoffs.admission(key, now_ms);
        if backoff != Admission::Now {
            return backoff;
        }
        if limit_policy == LimitPolicy::Exclude && is_limited() {
            return Admission::OtherNodes;
        }
        match self.limits.admission(key, now_ms) {
            Admission::Now => self.cold_limits.admission(key, now_ms),
            later => later,
        }
    }
}

/// The replicas that may be chosen for a request, and the record of those excluded.
struct Candidates<'a> {
    ready: Vec<(ReplicaKey, &'a Arc<Replica>, &'a Health)>,
    excluded: Option<Excluded>,
    /// The time after which a caller may return, if replicas are in evacuated failure domains.
    evacuated_retry_ms: Option<SpanMs>,
}

/// A record that replicas were excluded because of their limit or because they are backing off.
#[derive(Clone, Copy, Debug)]
struct Excluded {
    /// The time until this node may send a request to one of them; `None` if only other nodes may.
    wait_ms: Option<SpanMs>,
}

impl Excluded {
    /// Adds one more excluded replica to the record.
    fn with(before: Option<Self>, admission: Admission) -> Self {
        let before_ms = before.and_then(|excluded| excluded.wait_ms);
        let wait_ms = match admission {
            Admission::After(wait_ms) => Some(before_ms.map_or(wait_ms, |ms| ms.min(wait_ms))),
            Admission::Now | Admission::OtherNodes => before_ms,
        };
        Self { wait_ms }
    }

    /// Returns the refusal of a request that only excluded replicas could take.
    fn refusal(self) -> Refusal {
        Refusal::Limited {
            retry_after_ms: self.wait_ms.unwrap_or(OTHER_NODE_RETRY_MS),
            here: self.wait_ms.is_some(),
        }
    }
}

impl<'a> Candidates<'a> {
    /// Selects the replicas that accept work and are healthy. If all are doubted, they are used all
    /// the same.
    fn of(
        replicas: &'a ReplicaTable,
        throttles: &Throttles<'_>,
        call: &'a Call,
        avoid: &[ReplicaKey],
        limit_policy: LimitPolicy,
    ) -> Self {
        let now_ms = call.node.now_ms();
        let mut ready = replicas.ready(&call.service.name);
        ready.retain(|(key, _, _)| !avoid.contains(key));
        let any_healthy = ready.iter().any(|(_, _, health)| health.admits(now_ms));
        ready.retain(|(_, _, health)| !any_healthy || health.admits(now_ms));
        let mut excluded = None;
        if !throttles.are_empty() {
            // An engine with a low limit looks idle and would attract requests from all nodes at
            // once. Doubted replicas are removed first, so that they aren't used in place of
            // limited ones.
            ready.retain(|(key, _, _)| {
                let admission = throttles.admission(*key, limit_policy, now_ms);
                let admitted = admission == Admission::Now;
                if !admitted {
                    excluded = Some(Excluded::with(excluded, admission));
                }
                admitted
            });
        }
        let evacuated_retry_ms = replicas
            .has_evacuated(&call.service.name)
            .then(|| replicas.evacuations.retry_after_ms(now_ms));
        Self {
            ready,
            excluded,
            evacuated_retry_ms,
        }
    }

    /// Replaces a refusal that holds only because replicas were excluded.
    fn refusal(&self, refusal: Refusal) -> Refusal {
        if !matches!(refusal, Refusal::NoReplica | Refusal::TooLong) {
            return refusal;
        }
        match (self.excluded, self.evacuated_retry_ms) {
            (Some(excluded), _) => excluded.refusal(),
            (None, Some(retry_after_ms)) => Refusal::Evacuated { retry_after_ms },
            (None, None) => refusal,
        }
    }
}

/// The retry time of a request that this node can't send to any replica because other nodes hold all
/// shares of the replicas' limits. The caller's next connection usually reaches another node.
const OTHER_NODE_RETRY_MS: SpanMs = SpanMs(300);

/// The engines that a request is placed on.
struct EnginePlacement {
    placement: Placement,
    replica: Arc<Replica>,
    helpers: Vec<Helper>,
    memory: Vec<(Arc<Replica>, Tokens)>,
}

/// Places a request on one engine and its helpers, without recording it as work.
fn place_on_engine(
    call: &Call,
    spec: &EngineSpec,
    avoid: &[ReplicaKey],
    wait_state: WaitState,
) -> Result<EnginePlacement, Refusal> {
    let node = &call.node;
    let now_ms = node.now_ms();
    let mut demand = demand(call, now_ms, wait_state);
    // Reserved memory is renewed by frequent orders for as long as its request lives, and the
    // orders count against a replica's limit.
    let limit_policy = match needs_helper_memory(spec, &demand) {
        true => LimitPolicy::Exclude,
        false => LimitPolicy::WithinLimit,
    };
    limits::update_shares(node);
    node.with(|state| {
        state.ledger.set_paces(&state.paces, now_ms);
        let own = state.startup.own_placements(&state.ledger, node.owner);
        let loads = state.ledger.loads(now_ms);
        let throttles = Throttles {
            limits: &state.limits,
            cold_limits: &state.cold_limits,
            replica_backoffs: &state.replica_backoffs,
        };
        let candidates = Candidates::of(&state.replicas, &throttles, call, avoid, limit_policy);
        let engines = candidates.ready.iter().map(|(key, _, _)| *key);
        let corrected = state.startup.loads(engines.clone(), loads, spec, now_ms);
        let mut fleet = Fleet::of(engines, loads, node.node_count(), rand::random());
        fleet = fleet.with_loads(&corrected);
        if let Some(share) = &call.share {
            let is_contended = !demand.partly_answered && is_contended(spec, &fleet);
            let is_above = shares::is_above(&mut state.share_state, share, is_contended, now_ms);
            demand.held = is_above && node.settings.holds_accounts;
            share.set_held(demand.held);
        }
        if let Some(own) = own {
            let ready = state.replicas.ready(&call.service.name);
            let ready: Vec<ReplicaKey> = ready.iter().map(|(key, _, _)| *key).collect();
            let has_share = own.has_own_share(&ready, spec, node.node_count());
            if has_share && !demand.partly_answered {
                return Err(Refusal::NoRoom {
                    retry_after_ms: call.route.target_ms.max(OTHER_NODE_RETRY_MS),
                });
            }
            fleet = own.spread(fleet);
        }
        let placement =
            place_engine(spec, &fleet, &demand).map_err(|refusal| candidates.refusal(refusal))?;
        let find = |key| state.replicas.get(key).ok_or(Refusal::NoReplica).cloned();
        let replica = find(placement.first)?;
        let address = |key| find(key).map(|replica| replica.address);
        let helpers: Result<Vec<Helper>, Refusal> = placement
            .helpers
            .iter()
            .map(|key| {
                Ok(Helper {
                    address: address(*key)?,
                    reservation: None,
                })
            })
            .collect();
        let memory = placement.memory.iter();
        let memory: Result<Vec<_>, Refusal> = memory
            .map(|(key, tokens)| Ok((find(*key)?, *tokens)))
            .collect();
        Ok(EnginePlacement {
            placement,
            replica,
            helpers: helpers?,
            memory: memory?,
        })
    })
}

/// Places a request on engines and records it as their work.
fn choose_engine(
    call: &Call,
    spec: &EngineSpec,
    avoid: &[ReplicaKey],
    wait_state: WaitState,
) -> Result<Chosen, Refusal> {
    let node = &call.node;
    let EnginePlacement {
        placement,
        replica,
        helpers,
        memory,
    } = place_on_engine(call, spec, avoid, wait_state)?;
    if let Some(share) = &call.share {
        shares::on_placed(node, share);
    }
    let work = Work {
        first: placement.first,
        helpers: placement.helpers.clone(),
        memory: placement.memory.clone(),
        stage: Stage::Reading,
        placed_ms: node.now_ms(),
        prompt_tokens: call.head.prompt_tokens.unwrap_or_default(),
        part_ms: placement.part_ms,
        gap_ms: gap_ms(call),
        due_ms: call.arrived_ms + call.route.target_ms,
    };
    Ok(Chosen {
        key: placement.first,
        replica,
        helpers,
        memory,
        reserved: None,
        expected_ms: placement.first_event_ms,
        began_ms: node.now_ms(),
        connection: Rc::default(),
        guard: TryGuard::for_work(node, placement.first, work),
        placement: Some(placement),
    })
}

/// Returns the longest pause between two events that is on time.
fn gap_ms(call: &Call) -> SpanMs {
    match call.route.kind {
        RouteKind::Stream { gap_ms, .. } => gap_ms,
        RouteKind::Idempotent | RouteKind::AtMostOnce => call.route.target_ms,
    }
}

/// Describes a request for the placement decision.
fn demand(call: &Call, now_ms: MonoMs, wait_state: WaitState) -> Demand {
    let target_at_ms = call.arrived_ms + call.route.target_ms;
    Demand {
        prompt_tokens: call.head.prompt_tokens.unwrap_or_default(),
        answer_tokens: call.head.answer_tokens,
        gap_ms: gap_ms(call),
        target_ms: call.route.target_ms.0 as f64,
        target_left_ms: target_at_ms.since(now_ms).0 as f64,
        caller_timeout_left_ms: call.caller_timeout_left_ms().0 as f64,
        deadline_left_ms: call.deadline_ms.since(now_ms).0 as f64,
        cost_limit: WaitTimeouts::cost_limit(call.age_ms(), call.route.target_ms),
        partly_answered: wait_state == WaitState::Resuming,
        wait_expired: wait_state != WaitState::MayWait,
        returned: call.returning == Returning::InTime,
        held: false,
    }
}

/// Chooses a plain replica and counts a call to it.
fn choose_plain(call: &Call, avoid: &[ReplicaKey]) -> Result<Chosen, Refusal> {
    let node = &call.node;
    limits::update_shares(node);
    let (key, replica) = node.with(|state| {
        let limit_policy = LimitPolicy::WithinLimit;
        let throttles = Throttles {
            limits: &state.limits,
            cold_limits: &state.cold_limits,
            replica_backoffs: &state.replica_backoffs,
        };
        let candidates = Candidates::of(&state.replicas, &throttles, call, avoid, limit_policy);
        let plain: Vec<PlainCandidate> = candidates
            .ready
            .iter()
            .map(|(key, replica, _)| PlainCandidate {
                key: *key,
                calls: state.calls.get(key).copied().unwrap_or(0),
                same_domain: replica.domain == node.settings.domain,
            })
            .collect();
        let key = place_plain(&plain, rand::random());
        let key = key.ok_or_else(|| candidates.refusal(Refusal::NoReplica))?;
        let replica = state.replicas.get(key).ok_or(Refusal::NoReplica)?;
        Ok((key, replica.clone()))
    })?;
    Ok(Chosen {
        key,
        replica,
        helpers: Vec::new(),
        memory: Vec::new(),
        reserved: None,
        expected_ms: call.route.target_ms.0 as f64 / 2.0,
        placement: None,
        began_ms: node.now_ms(),
        connection: Rc::default(),
        guard: TryGuard::for_call(node, key),
    })
}
