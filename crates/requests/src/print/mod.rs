//! The state dump: JSON text without prompts, answers, keys and secrets.

use crate::actor::Requests;
use crate::cleanup::CleanupKind;
use crate::request::{LiveRequest, Phase, Reader, Work};
use bluebell_base::prelude::*;
use serde::Serialize;

/// The limit of live requests listed in a dump; the rest are only counted.
pub const MAX_LISTED_REQUESTS: usize = 200;

/// The dump of a node's requests.
#[derive(Debug, Serialize)]
pub struct Dump {
    /// This run of the process.
    pub incarnation: Incarnation,
    /// The version of the configuration in force.
    pub config: ConfigVersion,
    /// True if new calls are refused.
    pub draining: bool,
    /// The number of live requests.
    pub live_count: usize,
    /// The bytes of prompts and bodies that they hold.
    pub live_bytes: Bytes,
    /// The first [`MAX_LISTED_REQUESTS`] of them.
    pub live: Vec<LiveDump>,
    /// The cleanup tasks (cancels and releases) under way.
    pub chores: Vec<Arc<str>>,
    /// The number of ended requests kept.
    pub finished_count: usize,
    /// The bytes counted for them.
    pub finished_bytes: Bytes,
    /// The number of callers that wait for another node's report.
    pub waiting_callers: usize,
    /// The retries that the node has left.
    pub retries_left: f64,
    /// The engines and replicas.
    pub upstreams: Vec<UpstreamDump>,
    /// The policy's own dump.
    pub policy: Arc<str>,
}

/// The dump of a live request.
#[derive(Debug, Serialize)]
pub struct LiveDump {
    /// The request.
    pub request: RequestId,
    /// The client account.
    pub account: AccountName,
    /// The class, or the service.
    pub work: Arc<str>,
    /// The name of its phase.
    pub phase: &'static str,
    /// The verdict.
    pub verdict: Verdict,
    /// The current or last attempt.
    pub attempt: AttemptNo,
    /// The upstream that has it.
    pub upstream: Option<UpstreamName>,
    /// The number of events received.
    pub events: u64,
    /// The prompt's length, as counted by the engine or estimated.
    pub prompt_tokens: Tokens,
    /// True if a caller reads it.
    pub read: bool,
    /// The time since its arrival.
    pub age_ms: SpanMs,
    /// The time left until its deadline.
    pub left_ms: SpanMs,
}

/// The dump of an upstream.
#[derive(Debug, Serialize)]
pub struct UpstreamDump {
    /// Its name.
    pub name: UpstreamName,
    /// Its availability: live, leaving or gone.
    pub standing: Arc<str>,
    /// The calls in flight; only for a replica of a plain service.
    pub in_flight: Option<u32>,
}

impl Requests {
    /// Returns the state for the dump.
    pub(crate) fn to_dump(&self, now_ms: MonoMs) -> Dump {
        let live = self.table().iter().take(MAX_LISTED_REQUESTS);
        let live = live.map(|(_, live)| self.live_dump(live, now_ms));
        let chores = self.cleanups().iter();
        let chores = chores.map(|task| match &task.kind {
            CleanupKind::Cancel { attempt, .. } => {
                format!("cancel {} {attempt}, tries {}", task.request, task.tries).into()
            }
            CleanupKind::Release { reservation } => {
                let (request, tries) = (task.request, task.tries);
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
            finished_count: self.finished().len(),
            finished_bytes: self.finished().bytes(),
            waiting_callers: self.waiting_callers().len(),
            retries_left: self.budgets().node_left(),
            upstreams: self.upstreams_dump(),
            policy: self.policy().dump().into(),
        }
    }

    fn live_dump(&self, live: &LiveRequest, now_ms: MonoMs) -> LiveDump {
        let work = match &live.work {
            Work::Answer(answer) => answer.class.0.clone(),
            Work::Exchange(exchange) => exchange.service.0.clone(),
        };
        let upstream = live.upstream().and_then(|id| self.fleet().name(id));
        LiveDump {
            request: live.request,
            account: live.account.clone(),
            work,
            phase: phase_name(&live.phase),
            verdict: live.verdict(),
            attempt: live.attempt,
            upstream: upstream.cloned(),
            events: live.answer().map_or(0, |answer| answer.next_seq()),
            prompt_tokens: live
                .answer()
                .map_or(Tokens::ZERO, |answer| answer.estimated_tokens()),
            read: matches!(live.reader, Reader::Attached { .. }),
            age_ms: now_ms.since(live.arrived_ms),
            left_ms: live.deadline_ms.since(now_ms),
        }
    }

    fn upstreams_dump(&self) -> Vec<UpstreamDump> {
        let engines = self.fleet().engines().map(|(_, engine)| UpstreamDump {
            name: engine.name.clone(),
            standing: format!("{:?}", engine.availability).to_lowercase().into(),
            in_flight: None,
        });
        let replicas = self.fleet().replicas().map(|(_, replica)| UpstreamDump {
            name: replica.name.clone(),
            standing: format!("{:?}", replica.availability).to_lowercase().into(),
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
