//! The state of one live request, from admission to its last event. The submodules implement the
//! state transitions, one per stage of the request. A transition reads and changes only this state
//! and the ports in [`Context`], and pushes what must be sent as [`Effect`]s.
//!
//! Terms: the *phase* is the stage that the request is in. The *reader* is the caller's connection,
//! or the grace period after it broke. A *link* is one call of the request to an upstream; its
//! number distinguishes the answer to an earlier call from the answer that is awaited now. An
//! *adopted* request was admitted by another node; this node only continues its stream.
//!
//! Invariants:
//! - Only events of this request and its current attempt reach the reader, in order and once each.
//! - A request that may not be repeated is generated again only while [`LiveRequest::verdict`] is
//!   `NotRun`.
//! - The reader receives exactly one last event, by the deadline.

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
    /// The number of a link: one call of a request to an upstream, counted from 1.
    LinkNo(u32) = "link";
}

/// Receives the answer to a caller's cancel call.
pub type CancelReply = Box<dyn FnOnce(Result<RequestReport, Error>) + Send>;

/// One live request.
pub struct LiveRequest {
    /// The request's id.
    pub request: RequestId,
    /// The client account that sent it.
    pub account: AccountName,
    /// The same account under the id that the retry budget uses.
    pub payer: PayerId,
    /// The time of arrival.
    pub arrived_ms: MonoMs,
    /// The time by which the request must have ended.
    pub deadline_ms: MonoMs,
    /// The digest that is equal for all requests with the same content; `None` for an adopted
    /// request.
    pub digest: Option<RequestDigest>,
    /// True if the request may be run again after it may have run.
    pub repeatable: bool,
    /// The claim of its idempotency key; `None` if the request may be repeated or has no key.
    pub claim: Option<ClaimCall>,
    /// True if the caller was sent `Admitted`.
    pub admitted: bool,
    /// The current phase.
    pub phase: Phase,
    /// The reader of the answer.
    pub reader: Reader,
    /// The current or last attempt; 0 before the first.
    pub attempt: AttemptNo,
    /// The verdict on the attempts before the current one.
    pub earlier_verdict: Verdict,
    /// The verdict on the current attempt.
    pub current_verdict: Verdict,
    /// The last link used.
    pub link: LinkNo,
    /// The work that the request asks for.
    pub work: Work,
    /// The engine or replica that it was last sent to.
    pub last_upstream: Option<UpstreamId>,
    /// The callers that wait for its cancellation.
    pub cancel_replies: Vec<CancelReply>,
    /// The number of backoffs before another admission by the policy.
    pub requeues: u32,
    /// The attempts that were recalled from engines.
    pub recalls: Recalls,
    /// The outcome; `None` until the request has ended.
    pub ended: Option<Ended>,
    /// The timer for the next due time; used only by the actor.
    pub timer: Option<RequestTimer>,
}

/// A timer set for a request.
#[derive(Clone, Copy, Debug)]
pub struct RequestTimer {
    /// The time at which it fires.
    pub at_ms: MonoMs,
    /// The handle that cancels it.
    pub subscription: Subscription,
}

/// The stage that a request is in.
#[derive(Debug)]
pub enum Phase {
    /// The idempotency key is being claimed.
    Claiming {
        /// The time at which the claim is given up.
        until_ms: MonoMs,
    },
    /// The policy has admitted the request and decides where to send it.
    Queued,
    /// The request waits before it is submitted to the policy again.
    Backoff {
        /// The end of the wait.
        until_ms: MonoMs,
    },
    /// Memory for its group is being reserved.
    Reserving(Group),
    /// An engine has the request.
    Running(Run),
    /// A replica of a plain service has the request.
    Exchanging {
        /// The replica.
        upstream: UpstreamId,
    },
    /// The policy recalled the request; the engine's answer to the cancel is awaited.
    Recalling {
        /// The time at which the answer is given up.
        until_ms: MonoMs,
        /// The engine.
        upstream: UpstreamId,
    },
    /// The caller cancelled the request; the engine's answer to the cancel is awaited.
    Cancelling {
        /// The time at which the answer is given up.
        until_ms: MonoMs,
        /// The engine.
        upstream: UpstreamId,
    },
    /// The request has ended.
    Done,
}

/// The work that a request asks for.
pub enum Work {
    /// A model's answer.
    Answer(Box<Answer>),
    /// A call to a plain service.
    Exchange(Box<Exchange>),
}

/// A model's answer, as far as it was received.
pub struct Answer {
    /// The class of work.
    pub class: ClassName,
    /// The model.
    pub model: ModelName,
    /// The prompt, while an attempt may still need it.
    pub prompt: Option<Arc<str>>,
    /// The prompt's size.
    pub prompt_bytes: Bytes,
    /// The prompt's length as counted by the engine; `None` until the engine reported it.
    pub prompt_tokens: Option<Tokens>,
    /// The limit of tokens to generate.
    pub max_tokens: Tokens,
    /// The job as submitted to the policy; `None` for an adopted request.
    pub job: Option<Job>,
    /// The position of the first of `tokens`; above 0 only for an adopted request.
    pub base: u64,
    /// The token texts in order, as they were sent to the reader.
    pub tokens: Vec<Arc<str>>,
    /// The time at which the last token was received.
    pub last_token_ms: Option<MonoMs>,
}

/// A call to a plain service.
pub struct Exchange {
    /// The service.
    pub service: ServiceName,
    /// The call, which is cloned for each attempt.
    pub call: ServiceCall,
    /// The replicas at which the call already failed.
    pub avoid: Vec<UpstreamId>,
}

/// The reader of an answer.
pub enum Reader {
    /// A caller's connection.
    Attached {
        /// The connection.
        caller: CallerId,
        /// The receiver of its events.
        sink: Box<dyn CallerSink>,
        /// The position of the first token wanted.
        from: u64,
    },
    /// No reader. The request is cancelled unless a caller resumes reading.
    Detached {
        /// The end of the grace period.
        until_ms: MonoMs,
    },
}

/// The outcome of a request.
#[derive(Clone, Debug, PartialEq)]
pub struct Ended {
    /// The time of the end.
    pub at_ms: MonoMs,
    /// The last event; the body of a plain service's answer is not kept.
    pub last: FinalEvent,
}

/// The last event of a request.
#[derive(Clone, Debug, PartialEq)]
pub enum FinalEvent {
    /// A complete answer.
    Finished {
        /// The reason for the end: `stop` or `length`.
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

/// The ports and shared state that a transition reads, changes and reports to.
pub struct Context<'a> {
    /// The time of this step.
    pub now_ms: MonoMs,
    /// This node's incarnation.
    pub owner: Incarnation,
    /// The limits.
    pub settings: &'a RequestsSettings,
    /// The policy.
    pub policy: &'a mut dyn Policy,
    /// The metrics.
    pub observer: &'a mut dyn RequestObserver,
    /// The retry budgets.
    pub budgets: &'a mut Budgets,
    /// The signer of cursors.
    pub signer: &'a Signer,
    /// The requests under which upstreams crashed.
    pub quarantine: &'a mut Quarantine,
    /// The upstreams.
    pub fleet: &'a Fleet,
    /// The bytes per token, by model.
    pub lengths: &'a mut Lengths,
    /// The random numbers for jitter and reservation ids.
    pub rng: &'a mut ChaCha8Rng,
    /// The effects to carry out after the step.
    pub out: &'a mut Vec<Effect>,
}

impl LiveRequest {
    /// Returns whether the request ran, as far as it is known now, over all attempts.
    pub fn verdict(&self) -> Verdict {
        self.earlier_verdict.max(self.current_verdict)
    }

    /// Returns the caller that reads the answer.
    pub fn reader_id(&self) -> Option<CallerId> {
        match &self.reader {
            Reader::Attached { caller, .. } => Some(*caller),
            Reader::Detached { .. } => None,
        }
    }

    /// Returns true if the request has ended.
    pub fn is_done(&self) -> bool {
        matches!(self.phase, Phase::Done)
    }

    /// Returns the model's answer; `None` for a service call.
    pub fn answer(&self) -> Option<&Answer> {
        match &self.work {
            Work::Answer(answer) => Some(answer),
            Work::Exchange(_) => None,
        }
    }

    /// Returns the model's answer for changes; `None` for a service call.
    pub fn answer_mut(&mut self) -> Option<&mut Answer> {
        match &mut self.work {
            Work::Answer(answer) => Some(answer),
            Work::Exchange(_) => None,
        }
    }

    /// Returns true if another node admitted the request.
    pub fn is_adopted(&self) -> bool {
        self.answer().is_some_and(|answer| answer.job.is_none())
    }

    /// Returns the engine or replica that has the request now.
    pub fn upstream(&self) -> Option<UpstreamId> {
        match &self.phase {
            Phase::Running(run) => Some(run.upstream),
            Phase::Exchanging { upstream }
            | Phase::Recalling { upstream, .. }
            | Phase::Cancelling { upstream, .. } => Some(*upstream),
            _ => None,
        }
    }

    /// Returns the size of the prompt or body that is held.
    pub fn held_bytes(&self) -> Bytes {
        Bytes(match &self.work {
            Work::Answer(answer) => answer
                .prompt
                .as_ref()
                .map_or(0, |prompt| prompt.len() as u64),
            Work::Exchange(exchange) => exchange.call.body.len() as u64,
        })
    }

    /// Returns the metric labels; `None` for a service call.
    pub fn labels(&self) -> Option<(&ClassName, LengthBand)> {
        let answer = self.answer()?;
        Some((&answer.class, LengthBand::of(answer.estimated_tokens())))
    }

    /// Takes the number of the next link.
    pub(crate) fn next_link(&mut self) -> LinkNo {
        self.link = LinkNo(self.link.0 + 1);
        self.link
    }

    /// Sends an event to the reader. Detaches a reader that is known to be gone.
    pub(crate) fn send_to_reader(&mut self, event: CallerEvent, cx: &Context<'_>) {
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

    /// Returns the report of the request's state.
    pub fn report(&self, fleet: &Fleet) -> RequestReport {
        let state = match (&self.ended, &self.phase) {
            (Some(ended), _) if matches!(ended.last, FinalEvent::Failed(_)) => RequestState::Failed,
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
        let upstream = self.last_upstream.and_then(|id| fleet.name(id)).cloned();
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

impl FinalEvent {
    /// Returns the event as sent to a reader; `None` for a plain service's answer, whose body is
    /// not kept.
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
    /// Returns the position of the next event to receive.
    pub fn next_seq(&self) -> u64 {
        self.base + self.tokens.len() as u64
    }

    /// Returns the prompt's length as counted by the engine, or the estimate before that.
    pub fn estimated_tokens(&self) -> Tokens {
        let estimated = self.job.as_ref().map(|job| job.prompt_tokens);
        self.prompt_tokens.or(estimated).unwrap_or_default()
    }
}
