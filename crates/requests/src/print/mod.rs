//! The state dump: JSON text without prompts, answers, keys and secrets.

use crate::actor::Requests;
use crate::chores::ChoreKind;
use crate::life::{Life, Phase, Reader, Work};
use bluebell_base::prelude::*;
use serde::Serialize;

/// Live requests listed in full in a dump; the rest are counted.
pub const LISTED: usize = 200;

/// A node's requests, as dumped.
#[derive(Debug, Serialize)]
pub struct Dump {
    /// This run of the process.
    pub incarnation: Incarnation,
    /// The configuration in force.
    pub config: ConfigVersion,
    /// Whether new calls are refused.
    pub draining: bool,
    /// Live requests.
    pub live_count: usize,
    /// The bytes of prompts and bodies that they hold.
    pub live_bytes: Bytes,
    /// The first of them.
    pub live: Vec<LiveDump>,
    /// Cancels and releases under way.
    pub chores: Vec<Arc<str>>,
    /// Ended requests kept.
    pub finished_count: usize,
    /// Their size.
    pub finished_bytes: Bytes,
    /// Callers waiting for a peer's word.
    pub waiting_callers: usize,
    /// Retries the node has left.
    pub retries_left: f64,
    /// Engines and replicas.
    pub upstreams: Vec<UpstreamDump>,
    /// What the policy knows.
    pub policy: Arc<str>,
}

/// A live request, as dumped.
#[derive(Debug, Serialize)]
pub struct LiveDump {
    /// The request.
    pub request: RequestId,
    /// Whose it is.
    pub account: AccountName,
    /// The class, or the service.
    pub work: Arc<str>,
    /// Where it is.
    pub phase: &'static str,
    /// What is known of it.
    pub verdict: Verdict,
    /// The attempt.
    pub attempt: AttemptNo,
    /// Who has it.
    pub upstream: Option<UpstreamName>,
    /// Events delivered.
    pub events: u64,
    /// The prompt's length.
    pub prompt_tokens: Tokens,
    /// Whether a caller reads it.
    pub read: bool,
    /// How old it is.
    pub age_ms: SpanMs,
    /// How long it has left.
    pub left_ms: SpanMs,
}

/// An upstream, as dumped.
#[derive(Debug, Serialize)]
pub struct UpstreamDump {
    /// Its name.
    pub name: UpstreamName,
    /// Live, leaving or gone.
    pub standing: Arc<str>,
    /// Calls on the way, for a replica of a plain service.
    pub in_flight: Option<u32>,
}

impl Requests {
    /// The state, for a person.
    pub(crate) fn to_dump(&self, now_ms: MonoMs) -> Dump {
        let live = self.table().iter().take(LISTED);
        let live = live.map(|(_, life)| self.live_dump(life, now_ms));
        let chores = self.chores().iter();
        let chores = chores.map(|chore| match &chore.kind {
            ChoreKind::Cancel { attempt, .. } => {
                format!("cancel {} {attempt}, tries {}", chore.request, chore.tries).into()
            }
            ChoreKind::Release { reservation } => {
                let (request, tries) = (chore.request, chore.tries);
                format!("release {reservation} of {request}, tries {tries}").into()
            }
        });
        Dump {
            incarnation: self.incarnation(),
            config: self.config_version(),
            draining: self.is_draining(),
            live_count: self.table().len(),
            live_bytes: self.table().held_bytes(),
            live: live.collect(),
            chores: chores.collect(),
            finished_count: self.ring().len(),
            finished_bytes: self.ring().bytes(),
            waiting_callers: self.waits().len(),
            retries_left: self.budgets().node_left(),
            upstreams: self.upstreams_dump(),
            policy: self.policy().dump().into(),
        }
    }

    fn live_dump(&self, life: &Life, now_ms: MonoMs) -> LiveDump {
        let work = match &life.work {
            Work::Answer(answer) => answer.class.0.clone(),
            Work::Exchange(exchange) => exchange.service.0.clone(),
        };
        let upstream = life.upstream().and_then(|id| self.fleet().name(id));
        LiveDump {
            request: life.request,
            account: life.account.clone(),
            work,
            phase: phase_name(&life.phase),
            verdict: life.verdict(),
            attempt: life.attempt,
            upstream: upstream.cloned(),
            events: life.answer().map_or(0, |answer| answer.next_seq()),
            prompt_tokens: life
                .answer()
                .map_or(Tokens::ZERO, |answer| answer.estimated_tokens()),
            read: matches!(life.reader, Reader::Attached { .. }),
            age_ms: now_ms.since(life.arrived_ms),
            left_ms: life.deadline_ms.since(now_ms),
        }
    }

    fn upstreams_dump(&self) -> Vec<UpstreamDump> {
        let engines = self.fleet().engines().map(|(_, engine)| UpstreamDump {
            name: engine.name.clone(),
            standing: format!("{:?}", engine.standing).to_lowercase().into(),
            in_flight: None,
        });
        let replicas = self.fleet().replicas().map(|(_, replica)| UpstreamDump {
            name: replica.name.clone(),
            standing: format!("{:?}", replica.standing).to_lowercase().into(),
            in_flight: Some(replica.in_flight),
        });
        engines.chain(replicas).collect()
    }
}

fn phase_name(phase: &Phase) -> &'static str {
    match phase {
        Phase::Claiming { .. } => "claiming",
        Phase::Queued => "queued",
        Phase::Backoff { .. } => "backoff",
        Phase::Reserving(_) => "reserving",
        Phase::Running(run) if run.accepted => "streaming",
        Phase::Running(_) => "sent",
        Phase::Exchanging { .. } => "exchanging",
        Phase::Recalling { .. } => "recalling",
        Phase::Cancelling { .. } => "cancelling",
        Phase::Done => "done",
    }
}
