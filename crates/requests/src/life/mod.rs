//! One request from admission to its last event: the data. The passes over it stand in the
//! modules below, one for each part of its life; they are pure but for the ports in [`Context`]
//! and leave what must be sent as [`Effect`]s.
//!
//! Terms: the *phase* is where the request is; the *reader* is its caller's connection, or the
//! grace after it broke; a *link* numbers one call to an upstream, so that an answer to an earlier
//! call can be told from one to the call awaited now; an *adopted* request was admitted by another
//! node and is only read on here.
//!
//! Invariants:
//! - only events of this request and its present attempt reach the reader, in order, once each;
//! - a request that may not be repeated is generated again only while [`Life::verdict`] is
//!   `NotRun`;
//! - the reader gets one last event, by the deadline.

pub mod begin;
pub mod due;
pub mod effect;
pub mod end;
pub mod exchange;
pub mod fatal;
pub mod group;
pub mod read;
pub mod recall;
pub mod recover;
pub mod run;
pub mod stream;

pub use effect::Effect;
pub use recall::Recalls;
pub use run::{Group, Member, Mode, Run};

use crate::budget::{Budgets, PayerId};
use crate::call::{CallerEvent, CallerId, CallerSink};
use crate::cursor::Signer;
use crate::fleet::Fleet;
use crate::lengths::Lengths;
use crate::observe::{LengthBand, RequestObserver};
use crate::settings::RequestsSettings;
use bluebell_base::prelude::*;
use bluebell_peers::{ClaimCall, RequestReport, RequestState};
use bluebell_policy::{Job, Policy};
use bluebell_quarantine::prelude::*;
use bluebell_timers::Subscription;
use bluebell_upstreams::ServiceCall;
use rand_chacha::ChaCha8Rng;

bluebell_base::define_id! {
    /// A call of one request to an upstream, counted from 1.
    LinkNo(u32) = "link";
}

/// Takes the answer to a caller's wish to cancel.
pub type CancelReply = Box<dyn FnOnce(Result<RequestReport, Error>) + Send>;

/// One request.
pub struct Life {
    /// Its identity.
    pub request: RequestId,
    /// Whose it is.
    pub account: AccountName,
    /// The same as the retry budget counts it.
    pub payer: PayerId,
    /// When it arrived.
    pub arrived_ms: MonoMs,
    /// When it must have ended.
    pub deadline_ms: MonoMs,
    /// The same for all requests that ask for the same; none for an adopted request.
    pub digest: Option<RequestDigest>,
    /// Whether it may be run again after it may have run.
    pub repeatable: bool,
    /// Its claim, where it may not be repeated and has an idempotency key.
    pub claim: Option<ClaimCall>,
    /// Whether its caller was told that it is admitted.
    pub admitted: bool,
    /// Where it is.
    pub phase: Phase,
    /// Who reads its answer.
    pub reader: Reader,
    /// The present or last attempt; 0 before the first.
    pub attempt: AttemptNo,
    /// What is known of the attempts before the present one.
    pub earlier: Verdict,
    /// What is known of the present attempt.
    pub present: Verdict,
    /// The last link used.
    pub link: LinkNo,
    /// What is to be done.
    pub work: Work,
    /// The engine or replica that it was last sent to.
    pub sent_to: Option<UpstreamId>,
    /// Callers that wait for its cancellation.
    pub cancels: Vec<CancelReply>,
    /// How often it went back to the policy with nothing run.
    pub requeues: u32,
    /// How often it was taken back from engines.
    pub recalls: Recalls,
    /// How it ended, once it has.
    pub ended: Option<Ended>,
    /// The timer set for it; only the actor touches it.
    pub alarm: Option<Alarm>,
}

/// A timer set for a request.
#[derive(Clone, Copy, Debug)]
pub struct Alarm {
    /// When it fires.
    pub at_ms: MonoMs,
    /// To cancel it.
    pub subscription: Subscription,
}

/// Where a request is.
#[derive(Debug)]
pub enum Phase {
    /// Its idempotency key is being claimed.
    Claiming {
        /// When the claim is given up.
        until_ms: MonoMs,
    },
    /// The policy has it and will decide.
    Queued,
    /// It waits before it is handed to the policy again.
    Backoff {
        /// Until when.
        until_ms: MonoMs,
    },
    /// Memory for its group is being reserved.
    Reserving(Group),
    /// An engine has it.
    Running(Run),
    /// A plain service has it.
    Exchanging {
        /// The replica.
        upstream: UpstreamId,
    },
    /// The policy takes it back from its engine, whose word is awaited.
    Recalling {
        /// Until when.
        until_ms: MonoMs,
        /// The engine.
        upstream: UpstreamId,
    },
    /// Its caller cancelled it; the engine's word is awaited.
    Cancelling {
        /// Until when.
        until_ms: MonoMs,
        /// The engine.
        upstream: UpstreamId,
    },
    /// It has ended.
    Done,
}

/// What a request asks for.
pub enum Work {
    /// A model's answer.
    Answer(Box<Answer>),
    /// A plain service's.
    Exchange(Box<Exchange>),
}

/// A model's answer, as far as it has come.
pub struct Answer {
    /// The class of work.
    pub class: ClassName,
    /// The model.
    pub model: ModelName,
    /// The prompt, while an attempt may still need it.
    pub prompt: Option<Arc<str>>,
    /// The prompt's size.
    pub prompt_bytes: Bytes,
    /// The prompt's length by the engine, once it said so.
    pub prompt_tokens: Option<Tokens>,
    /// The most tokens to generate.
    pub max_tokens: Tokens,
    /// What the policy knows; none for an adopted request.
    pub job: Option<Job>,
    /// The position of the first of `tokens`; above 0 only for an adopted request.
    pub base: u64,
    /// The token texts, in order, as they were given to the reader.
    pub tokens: Vec<Arc<str>>,
    /// When the last of them came.
    pub last_token_ms: Option<MonoMs>,
}

/// A call to a plain service.
pub struct Exchange {
    /// The service.
    pub service: ServiceName,
    /// The call; its body is given away with the last attempt.
    pub call: ServiceCall,
    /// Replicas that already failed it.
    pub avoid: Vec<UpstreamId>,
}

/// Who reads an answer.
pub enum Reader {
    /// A caller's connection.
    Attached {
        /// The connection.
        caller: CallerId,
        /// Where events go.
        sink: Box<dyn CallerSink>,
        /// The first token wanted.
        from: u64,
    },
    /// Nobody; the request is cancelled unless somebody reads on.
    Detached {
        /// Until when.
        until_ms: MonoMs,
    },
}

/// How a request ended.
#[derive(Clone, Debug, PartialEq)]
pub struct Ended {
    /// When.
    pub at_ms: MonoMs,
    /// The last event; the body of a plain service's answer is not kept.
    pub last: Last,
}

/// A request's last event.
#[derive(Clone, Debug, PartialEq)]
pub enum Last {
    /// A whole answer.
    Finished {
        /// Why it ended.
        reason: Arc<str>,
        /// The prompt's length.
        prompt_tokens: Tokens,
        /// The answer's length.
        answer_tokens: Tokens,
    },
    /// A plain service's answer.
    Service,
    /// A failure.
    Failed(Error),
}

/// What a pass may read, decide by and tell.
pub struct Context<'a> {
    /// The instant of the step.
    pub now_ms: MonoMs,
    /// This node's incarnation.
    pub owner: Incarnation,
    /// The bounds.
    pub settings: &'a RequestsSettings,
    /// The policy.
    pub policy: &'a mut dyn Policy,
    /// The metrics.
    pub observer: &'a mut dyn RequestObserver,
    /// The retry budgets.
    pub budgets: &'a mut Budgets,
    /// Signs cursors.
    pub signer: &'a Signer,
    /// The requests that end upstreams.
    pub quarantine: &'a mut Quarantine,
    /// The upstreams.
    pub fleet: &'a Fleet,
    /// Bytes per token, by model.
    pub lengths: &'a mut Lengths,
    /// For jitter and reservation ids.
    pub rng: &'a mut ChaCha8Rng,
    /// What must be sent.
    pub out: &'a mut Vec<Effect>,
}

impl Life {
    /// Whether the request may have run, as far as it is known now.
    pub fn verdict(&self) -> Verdict {
        self.earlier.max(self.present)
    }

    /// The caller that reads it.
    pub fn reader_id(&self) -> Option<CallerId> {
        match &self.reader {
            Reader::Attached { caller, .. } => Some(*caller),
            Reader::Detached { .. } => None,
        }
    }

    /// Whether it has ended.
    pub fn is_done(&self) -> bool {
        matches!(self.phase, Phase::Done)
    }

    /// The model's answer, where it asks for one.
    pub fn answer(&self) -> Option<&Answer> {
        match &self.work {
            Work::Answer(answer) => Some(answer),
            Work::Exchange(_) => None,
        }
    }

    /// The model's answer, to change it.
    pub fn answer_mut(&mut self) -> Option<&mut Answer> {
        match &mut self.work {
            Work::Answer(answer) => Some(answer),
            Work::Exchange(_) => None,
        }
    }

    /// Whether another node admitted it.
    pub fn is_adopted(&self) -> bool {
        self.answer().is_some_and(|answer| answer.job.is_none())
    }

    /// The engine or replica that has it.
    pub fn upstream(&self) -> Option<UpstreamId> {
        match &self.phase {
            Phase::Running(run) => Some(run.upstream),
            Phase::Exchanging { upstream }
            | Phase::Recalling { upstream, .. }
            | Phase::Cancelling { upstream, .. } => Some(*upstream),
            _ => None,
        }
    }

    /// The bytes of the prompt or body that it holds.
    pub fn held_bytes(&self) -> Bytes {
        Bytes(match &self.work {
            Work::Answer(answer) => answer
                .prompt
                .as_ref()
                .map_or(0, |prompt| prompt.len() as u64),
            Work::Exchange(exchange) => exchange.call.body.len() as u64,
        })
    }

    /// The metrics' labels of a model's answer.
    pub fn labels(&self) -> Option<(&ClassName, LengthBand)> {
        let answer = self.answer()?;
        Some((&answer.class, LengthBand::of(answer.estimated_tokens())))
    }

    /// The next link.
    pub(crate) fn next_link(&mut self) -> LinkNo {
        self.link = LinkNo(self.link.0 + 1);
        self.link
    }

    /// Gives the reader an event; a reader known to be gone is let go.
    pub(crate) fn tell(&mut self, event: CallerEvent, cx: &Context<'_>) {
        let Reader::Attached { sink, from, .. } = &self.reader else {
            return;
        };
        if matches!(&event, CallerEvent::Token { seq, .. } if seq.0 < *from) {
            return;
        }
        if !sink.send(event) {
            self.detach(cx);
        }
    }

    /// What is known of it, for reports.
    pub fn report(&self, fleet: &Fleet) -> RequestReport {
        let state = match (&self.ended, &self.phase) {
            (Some(ended), _) if matches!(ended.last, Last::Failed(_)) => RequestState::Failed,
            (Some(_), _) => RequestState::Finished,
            (
                _,
                Phase::Running(_)
                | Phase::Exchanging { .. }
                | Phase::Recalling { .. }
                | Phase::Cancelling { .. },
            ) => RequestState::Running,
            _ => RequestState::Queued,
        };
        let upstream = self.sent_to.and_then(|id| fleet.name(id)).cloned();
        RequestReport {
            request: self.request,
            account: self.account.clone(),
            state,
            verdict: self.verdict(),
            events: self.answer().map_or(0, Answer::next_seq),
            upstream,
            attempt: self.attempt,
        }
    }
}

impl Last {
    /// The event that tells a reader; none for a plain service's answer, whose body is not kept.
    pub fn event(&self, request: RequestId) -> Option<CallerEvent> {
        match self {
            Self::Finished {
                reason,
                prompt_tokens,
                answer_tokens,
            } => Some(CallerEvent::Finished {
                reason: reason.clone(),
                prompt_tokens: *prompt_tokens,
                answer_tokens: *answer_tokens,
            }),
            Self::Failed(error) => Some(CallerEvent::Failed {
                request: Some(request),
                error: error.clone(),
            }),
            Self::Service => None,
        }
    }
}

impl Answer {
    /// The position of the next event wanted.
    pub fn next_seq(&self) -> u64 {
        self.base + self.tokens.len() as u64
    }

    /// The prompt's length, by the engine or estimated.
    pub fn estimated_tokens(&self) -> Tokens {
        let estimated = self.job.as_ref().map(|job| job.prompt_tokens);
        self.prompt_tokens.or(estimated).unwrap_or_default()
    }
}
