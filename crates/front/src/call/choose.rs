//! Choosing the replica for a try, from what the node believes.

use super::Call;
use super::fatal;
use super::held::Held;
use super::reserve::Reserved;
use crate::limits;
use crate::platform::Helper;
use bluebell_base::prelude::*;
use bluebell_fleet::placement::{Fleet, PlainCandidate, needs_helper_memory};
use bluebell_fleet::prelude::*;
use bluebell_fleet::replicas::Health;
use std::net::SocketAddr;
use std::time::Duration;

/// A replica that was chosen, with the hold on it.
pub(super) struct Chosen {
    pub key: ReplicaKey,
    pub replica: Arc<Replica>,
    pub helpers: Vec<Helper>,
    /// The memory that is to be set aside at helpers, by address.
    pub memory: Vec<(SocketAddr, Tokens)>,
    /// The memory that was set aside.
    pub reserved: Option<Reserved>,
    /// When the first event, or the answer, is expected, from now.
    pub expected_ms: f64,
    /// Why there: none for a plain replica.
    pub placement: Option<Placement>,
    pub held: Held,
}

/// The shortest time between two looks of a request that waits at the node for a place. Work ends on
/// some engine of a busy fleet about as often.
const LOOK_EVERY_MS: SpanMs = SpanMs(40);

/// The looks that a request takes within its target: long prompts look at more ways to be placed,
/// so each look reckons more.
const LOOKS: u64 = 25;

/// How much a request that looks for a place presses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Pressing {
    /// It may wait.
    No,
    /// It has waited for as long as it may.
    Waited,
    /// Its caller has a part of the answer.
    Begun,
}

/// Chooses a replica that isn't in `avoid` for a plain call.
pub(super) fn choose(call: &Call, avoid: &[ReplicaKey]) -> Result<Chosen, Refusal> {
    choose_now(call, avoid, Pressing::No)
}

/// Chooses a replica that isn't in `avoid` for the rest of a stream.
pub(super) fn choose_for_rest(call: &Call, avoid: &[ReplicaKey]) -> Result<Chosen, Refusal> {
    choose_now(call, avoid, Pressing::Begun)
}

/// Chooses a replica that isn't in `avoid`; waits for one for as long as that may help.
pub(super) async fn choose_waiting(call: &Call, avoid: &[ReplicaKey]) -> Result<Chosen, Refusal> {
    let timeouts = call.wait_timeouts();
    let look_ms = LOOK_EVERY_MS.max(SpanMs(call.route.target_ms.0 / LOOKS));
    loop {
        let waited_ms = call.age_ms();
        let over = waited_ms >= timeouts.max_wait_ms;
        let pressing = if over { Pressing::Waited } else { Pressing::No };
        let refusal = match choose_now(call, avoid, pressing) {
            Err(refusal) if !over && may_pass(&refusal, timeouts.max_wait_ms, waited_ms) => refusal,
            result => return result,
        };
        if call.left_ms() <= look_ms {
            return Err(refusal);
        }
        tokio::time::sleep(Duration::from(look_ms)).await;
    }
}

/// Whether a refusal of a request that has waited for `waited_ms` may be gone before it has waited for
/// `max_wait_ms`.
fn may_pass(refusal: &Refusal, max_wait_ms: SpanMs, waited_ms: SpanMs) -> bool {
    match refusal {
        Refusal::Limited {
            retry_after_ms,
            here,
        } => *here && waited_ms.0 + retry_after_ms.0 < max_wait_ms.0,
        Refusal::NoRoom { .. } => true,
        Refusal::Overloaded {
            cost_pct, in_time, ..
        } => WaitTimeouts::waiting_may_help(*cost_pct, *in_time),
        Refusal::NoReplica | Refusal::TooLong | Refusal::Quarantined { .. } => false,
    }
}

fn choose_now(call: &Call, avoid: &[ReplicaKey], pressing: Pressing) -> Result<Chosen, Refusal> {
    if let Some(refusal) = fatal::refusal(call) {
        return Err(refusal);
    }
    match &call.service.engine {
        Some(spec) => choose_engine(call, spec, avoid, pressing),
        None => choose_plain(call, avoid),
    }
}

/// Whether another replica than those in `avoid` would take the request now.
pub(super) fn is_taken_elsewhere(call: &Call, avoid: &[ReplicaKey]) -> bool {
    match &call.service.engine {
        Some(spec) => find_engine(call, spec, avoid, Pressing::No).is_ok(),
        None => call.node.with(|state| {
            let limited = Limited::WithinLimit;
            let asked = Asked {
                limits: &state.limits,
                replica_backoffs: &state.replica_backoffs,
            };
            let takers = Takers::of(&state.replicas, &asked, call, avoid, limited);
            !takers.ready.is_empty()
        }),
    }
}

/// Which replicas that named a limit may be chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Limited {
    /// Those to which this node may send a request now.
    WithinLimit,
    /// None.
    Never,
}

/// What replicas asked for.
struct Asked<'a> {
    limits: &'a Limits,
    replica_backoffs: &'a ReplicaBackoffs,
}

/// The replicas that may be chosen for a request.
struct Takers<'a> {
    ready: Vec<(ReplicaKey, &'a Arc<Replica>, &'a Health)>,
    left_out: Option<LeftOut>,
}

/// Replicas were left out for the limits or the rest that they named.
#[derive(Clone, Copy, Debug)]
struct LeftOut {
    /// The time until this node may send a request to one of them; none where others may.
    wait_ms: Option<SpanMs>,
}

impl LeftOut {
    /// One more is left out.
    fn with(before: Option<Self>, admission: Admission) -> Self {
        let before_ms = before.and_then(|left_out| left_out.wait_ms);
        let wait_ms = match admission {
            Admission::After(wait_ms) => Some(before_ms.map_or(wait_ms, |ms| ms.min(wait_ms))),
            Admission::Now | Admission::OtherNodes => before_ms,
        };
        Self { wait_ms }
    }

    fn refusal(self) -> Refusal {
        Refusal::Limited {
            retry_after_ms: self.wait_ms.unwrap_or(ELSEWHERE_RETRY_MS),
            here: self.wait_ms.is_some(),
        }
    }
}

impl<'a> Takers<'a> {
    /// The replicas that take work and are trusted; where none is trusted, those that are not.
    fn of(
        replicas: &'a ReplicaTable,
        asked: &Asked<'_>,
        call: &'a Call,
        avoid: &[ReplicaKey],
        limited: Limited,
    ) -> Self {
        let now_ms = call.node.now_ms();
        let Asked {
            limits,
            replica_backoffs,
        } = asked;
        let mut ready = replicas.ready(&call.service.name);
        ready.retain(|(key, _, _)| !avoid.contains(key));
        let trusted = ready.iter().any(|(_, _, health)| health.admits(now_ms));
        ready.retain(|(_, _, health)| !trusted || health.admits(now_ms));
        let mut left_out = None;
        if !limits.is_empty() || !replica_backoffs.is_empty() {
            // An engine that asks for little looks idle, and draws requests from all nodes at once.
            // Trust comes first: a replica that is doubted is none to fall back on.
            ready.retain(|(key, _, _)| {
                let admission = match replica_backoffs.admission(*key, now_ms) {
                    Admission::Now if limited == Limited::Never && limits.is_limited(*key) => {
                        Admission::OtherNodes
                    }
                    Admission::Now => limits.admission(*key, now_ms),
                    later => later,
                };
                let admitted = admission == Admission::Now;
                if !admitted {
                    left_out = Some(LeftOut::with(left_out, admission));
                }
                admitted
            });
        }
        Self { ready, left_out }
    }

    /// What to say instead of a refusal that would be true only without those left out.
    fn refusal(&self, refusal: Refusal) -> Refusal {
        match (refusal, self.left_out) {
            (Refusal::NoReplica | Refusal::TooLong, Some(left_out)) => left_out.refusal(),
            (refusal, _) => refusal,
        }
    }
}

/// When a caller is asked back whose request this node can't send anywhere, since others hold the limits
/// of all replicas: its next connection mostly leads to another node.
const ELSEWHERE_RETRY_MS: SpanMs = SpanMs(300);

/// Where an engine's work may go.
struct Found {
    placement: Placement,
    replica: Arc<Replica>,
    helpers: Vec<Helper>,
    memory: Vec<(SocketAddr, Tokens)>,
}

fn find_engine(
    call: &Call,
    spec: &EngineSpec,
    avoid: &[ReplicaKey],
    pressing: Pressing,
) -> Result<Found, Refusal> {
    let node = &call.node;
    let now_ms = node.now_ms();
    let demand = demand(call, now_ms, pressing);
    // Memory that is set aside takes an order each moment for as long as its request lives.
    let limited = match needs_helper_memory(spec, &demand) {
        true => Limited::Never,
        false => Limited::WithinLimit,
    };
    limits::update_shares(node);
    node.with(|state| {
        state.ledger.set_paces(&state.paces, now_ms);
        let loads = state.ledger.loads(now_ms);
        let asked = Asked {
            limits: &state.limits,
            replica_backoffs: &state.replica_backoffs,
        };
        let takers = Takers::of(&state.replicas, &asked, call, avoid, limited);
        let engines = takers.ready.iter().map(|(key, _, _)| *key);
        let fleet = Fleet::of(engines, loads, node.node_count(), rand::random());
        let placement =
            place_engine(spec, &fleet, &demand).map_err(|refusal| takers.refusal(refusal))?;
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
            .map(|(key, tokens)| Ok((address(*key)?, *tokens)))
            .collect();
        Ok(Found {
            placement,
            replica,
            helpers: helpers?,
            memory: memory?,
        })
    })
}

fn choose_engine(
    call: &Call,
    spec: &EngineSpec,
    avoid: &[ReplicaKey],
    pressing: Pressing,
) -> Result<Chosen, Refusal> {
    let node = &call.node;
    let Found {
        placement,
        replica,
        helpers,
        memory,
    } = find_engine(call, spec, avoid, pressing)?;
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
        held: Held::placed(node, placement.first, work),
        placement: Some(placement),
    })
}

fn gap_ms(call: &Call) -> SpanMs {
    match call.route.kind {
        RouteKind::Stream { gap_ms, .. } => gap_ms,
        RouteKind::Idempotent | RouteKind::AtMostOnce => call.route.target_ms,
    }
}

fn demand(call: &Call, now_ms: MonoMs, pressing: Pressing) -> Demand {
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
        partly_answered: pressing == Pressing::Begun,
        wait_expired: pressing != Pressing::No,
    }
}

fn choose_plain(call: &Call, avoid: &[ReplicaKey]) -> Result<Chosen, Refusal> {
    let node = &call.node;
    limits::update_shares(node);
    let (key, replica) = node.with(|state| {
        let limited = Limited::WithinLimit;
        let asked = Asked {
            limits: &state.limits,
            replica_backoffs: &state.replica_backoffs,
        };
        let takers = Takers::of(&state.replicas, &asked, call, avoid, limited);
        let candidates: Vec<PlainCandidate> = takers
            .ready
            .iter()
            .map(|(key, replica, _)| PlainCandidate {
                key: *key,
                calls: state.calls.get(key).copied().unwrap_or(0),
                same_domain: replica.domain == node.settings.domain,
            })
            .collect();
        let key = place_plain(&candidates, rand::random());
        let key = key.ok_or_else(|| takers.refusal(Refusal::NoReplica))?;
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
        held: Held::call(node, key),
    })
}
