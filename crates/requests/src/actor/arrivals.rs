//! Incoming calls: validates them against the configuration and turns them into live requests.

use super::Requests;
use crate::budget::PayerId;
use crate::call::{CallerCall, CallerEvent, CallerId, CallerSink, Completion, ServiceRequest};
use crate::observe::RefusedBy;
use crate::request::fatal::quarantine_refusal;
use crate::request::{Answer, Exchange, LinkNo, LiveRequest, Phase, Reader, Recalls, Work};
use bluebell_base::prelude::*;
use bluebell_config::{FleetConfig, NoRepeat, Service};
use bluebell_peers::{ClaimCall, ClaimKey};
use bluebell_policy::{Job, Prefix};
use bluebell_quarantine::prelude::*;
use bluebell_upstreams::ServiceCall;
use bluebell_upstreams::prompt::{self, PrefixHash};
use sha2::{Digest, Sha256};
use stakker::CX;

/// A call that was refused before it became a request, with the reason and the error.
struct Refused {
    by: RefusedBy,
    error: Error,
}

impl Requests {
    /// Dispatches a call from the callers' interface.
    pub(super) fn call(&mut self, cx: CX![], call: CallerCall) {
        match call {
            CallerCall::Complete {
                caller,
                completion,
                sink,
            } => self.complete(cx, caller, completion, sink),
            CallerCall::Service { caller, call, sink } => self.service(cx, caller, call, sink),
            CallerCall::ResumeAnswer { caller, call, sink } => {
                self.resume_answer(cx, caller, call, sink)
            }
            CallerCall::Report {
                account,
                request,
                reply,
            } => self.report(cx, account, request, reply),
            CallerCall::Cancel {
                account,
                request,
                reply,
            } => self.cancel(cx, account, request, reply),
            CallerCall::Disconnected { caller } => self.on_disconnected(cx, caller),
        }
    }

    fn complete(
        &mut self,
        cx: CX![],
        caller: CallerId,
        completion: Completion,
        sink: Box<dyn CallerSink>,
    ) {
        let now_ms = self.timers.now_ms(cx);
        match self.completion_request(completion, now_ms) {
            Ok(mut live) => {
                live.reader = attached(caller, sink);
                self.add_request(cx, live);
            }
            Err(refused) => self.refuse_call(sink.as_ref(), refused),
        }
    }

    fn service(
        &mut self,
        cx: CX![],
        caller: CallerId,
        call: ServiceRequest,
        sink: Box<dyn CallerSink>,
    ) {
        let now_ms = self.timers.now_ms(cx);
        match self.service_request(call, now_ms) {
            Ok(mut live) => {
                live.reader = attached(caller, sink);
                self.add_request(cx, live);
            }
            Err(refused) => self.refuse_call(sink.as_ref(), refused),
        }
    }

    fn add_request(&mut self, cx: CX![], live: LiveRequest) {
        let request = live.request;
        let id = self.table.insert(live);
        self.step(cx, id, request, |live, context| live.begin(context));
        self.finish_message(cx);
    }

    fn refuse_call(&mut self, sink: &dyn CallerSink, refused: Refused) {
        self.observer.refused(refused.by);
        sink.send(CallerEvent::Failed {
            request: None,
            error: refused.error,
        });
    }

    /// Returns the configuration if the node accepts a new request with a prompt or body of
    /// `bytes`.
    fn config_for_new_request(&self, bytes: usize) -> Result<Arc<FleetConfig>, Refused> {
        if self.draining.is_some() {
            return Err(self.unavailable(RefusedBy::Draining, "the node is stopping"));
        }
        // Requests accumulate here while the claims or all engines are slow. Without a limit their
        // prompts would exhaust the node's memory and all its requests would be lost.
        let held_bytes = self.table.held_bytes() + Bytes(bytes as u64);
        let full = self.table.len() >= self.settings.live_count;
        if full || held_bytes > self.settings.live_bytes {
            return Err(self.unavailable(RefusedBy::NodeFull, "the node holds all it can"));
        }
        let config = self.config.clone();
        config.ok_or_else(|| self.unavailable(RefusedBy::NoConfig, "no configuration yet"))
    }

    fn unavailable(&self, by: RefusedBy, message: &str) -> Refused {
        let error = Error::not_run(ErrorKind::Unavailable, message);
        let error = error.retry_after(self.settings.retry_after_ms);
        Refused { by, error }
    }

    fn completion_request(
        &mut self,
        call: Completion,
        now_ms: MonoMs,
    ) -> Result<LiveRequest, Refused> {
        let config = self.config_for_new_request(call.prompt.len())?;
        let digest = completion_digest(&call);
        self.check_quarantine(&digest, now_ms)?;
        let prompt_bytes = Bytes(call.prompt.len() as u64);
        let max_tokens = call.max_tokens.min(config.limits.answer_tokens);
        let job = self.job(&config, &call, max_tokens, now_ms)?;
        let (request, repeatable, deadline_ms) = (job.request, job.idempotent, job.deadline_ms);
        let claim = match repeatable {
            true => None,
            false => completion_claim(request, &call, max_tokens),
        };
        let answer = Answer {
            class: call.class,
            model: call.model,
            prompt: Some(call.prompt),
            prompt_bytes,
            prompt_tokens: None,
            max_tokens,
            job: Some(job),
            base: 0,
            tokens: Vec::new(),
            last_token_ms: None,
        };
        let work = Work::Answer(Box::new(answer));
        let payer = PayerId(self.payers.intern(&call.account));
        let mut live = new_request(request, call.account, payer, work, now_ms);
        live.deadline_ms = deadline_ms;
        live.repeatable = repeatable;
        live.claim = claim;
        live.digest = Some(digest);
        Ok(live)
    }

    /// Refuses a call whose content is quarantined because every engine that ran it crashed.
    fn check_quarantine(&mut self, digest: &RequestDigest, now_ms: MonoMs) -> Result<(), Refused> {
        let by = RefusedBy::Quarantined;
        match quarantine_refusal(&mut self.quarantine, digest, now_ms) {
            Some(error) => Err(Refused { by, error }),
            None => Ok(()),
        }
    }

    /// Builds the job that the policy receives for a call.
    fn job(
        &mut self,
        config: &FleetConfig,
        call: &Completion,
        max_tokens: Tokens,
        now_ms: MonoMs,
    ) -> Result<Job, Refused> {
        let (class_id, class) = config
            .class(&call.class)
            .ok_or_else(|| unknown(format!("no class of work is named {}", call.class)))?;
        if !config.models.iter().any(|model| model.name == call.model) {
            return Err(unknown(format!("no model is named {}", call.model)));
        }
        let account = known_account(config, &call.account)?;
        let prompt_bytes = Bytes(call.prompt.len() as u64);
        let prompt_tokens = self.lengths.estimate(&call.model, prompt_bytes);
        let end_ms = call.deadline_ms.unwrap_or(class.end_ms).min(class.end_ms);
        Ok(Job {
            request: self.next_request(),
            account,
            class: class_id,
            model: ModelId(self.models.intern(&call.model)),
            prompt_tokens,
            max_tokens,
            prefixes: prefixes(&call.prompt),
            arrived_ms: now_ms,
            first_token_due_ms: now_ms + class.first_token_ms(prompt_tokens),
            deadline_ms: now_ms + end_ms,
            idempotent: class.idempotent,
            avoid: Vec::new(),
        })
    }

    fn service_request(
        &mut self,
        call: ServiceRequest,
        now_ms: MonoMs,
    ) -> Result<LiveRequest, Refused> {
        let config = self.config_for_new_request(call.body.len())?;
        let service = config.services.iter().find(|s| s.name == call.service);
        let service =
            service.ok_or_else(|| unknown(format!("no service is named {}", call.service)))?;
        known_account(&config, &call.account)?;
        let request = self.next_request();
        let payer = PayerId(self.payers.intern(&call.account));
        let repeatable = may_repeat(service, &call.method, &call.path);
        let claim = match repeatable {
            true => None,
            false => service_claim(request, &call),
        };
        let exchange = Exchange {
            service: call.service,
            call: ServiceCall {
                request,
                method: call.method,
                path: call.path,
                content_type: call.content_type,
                body: call.body,
                idempotency_key: call.idempotency_key,
                timeout_ms: service.timeout_ms,
            },
            avoid: Vec::new(),
        };
        let work = Work::Exchange(Box::new(exchange));
        let mut live = new_request(request, call.account, payer, work, now_ms);
        live.deadline_ms = now_ms + service.timeout_ms;
        live.repeatable = repeatable;
        live.claim = claim;
        Ok(live)
    }

    fn next_request(&mut self) -> RequestId {
        self.next_sequence += 1;
        RequestId {
            incarnation: self.incarnation,
            sequence: self.next_sequence,
        }
    }
}

/// Returns the hashes of the prompt's prefixes, computed as the engines do for their prefix caches.
fn prefixes(prompt: &str) -> Vec<Prefix> {
    let hashes = prompt::prefix_hashes(prompt, prompt::DEFAULT_BLOCK_TOKENS).into_iter();
    let prefixes = hashes.map(|PrefixHash { hash, tokens }| Prefix { hash, tokens });
    prefixes.collect()
}

fn attached(caller: CallerId, sink: Box<dyn CallerSink>) -> Reader {
    let from = 0;
    Reader::Attached { caller, sink, from }
}

fn known_account(config: &FleetConfig, account: &AccountName) -> Result<AccountId, Refused> {
    if let Some((id, _)) = config.account(account) {
        return Ok(id);
    }
    let message = "the client account is not in the configuration";
    let error = Error::not_run(ErrorKind::Unauthenticated, message);
    let by = RefusedBy::Unknown;
    Err(Refused { by, error })
}

fn unknown(message: String) -> Refused {
    Refused {
        by: RefusedBy::Unknown,
        error: Error::not_run(ErrorKind::Invalid, message),
    }
}

/// Creates a request that has not started; the caller of this function sets its reader, deadline
/// and claim.
pub(super) fn new_request(
    request: RequestId,
    account: AccountName,
    payer: PayerId,
    work: Work,
    now_ms: MonoMs,
) -> LiveRequest {
    LiveRequest {
        request,
        account,
        payer,
        arrived_ms: now_ms,
        deadline_ms: now_ms,
        repeatable: false,
        claim: None,
        digest: None,
        admitted: false,
        phase: Phase::Backoff { until_ms: now_ms },
        reader: Reader::Detached { until_ms: now_ms },
        attempt: AttemptNo(0),
        earlier_verdict: Verdict::NotRun,
        current_verdict: Verdict::NotRun,
        link: LinkNo(0),
        work,
        last_upstream: None,
        cancel_replies: Vec::new(),
        requeues: 0,
        recalls: Recalls::default(),
        ended: None,
        timer: None,
    }
}

/// Returns true if the service's configuration allows a call to be repeated.
///
/// A path that is not in normal form (`//`, `/./`, `/../`, percent-encoding) may reach a call that
/// must not be repeated without matching its pattern. It counts as a match of every pattern with
/// the same method.
fn may_repeat(service: &Service, method: &str, path: &str) -> bool {
    let plain = path.split(['?', '#']).next().unwrap_or_default();
    let is_abnormal = ["//", "/./", "/../", "%", "\\"];
    let is_abnormal = is_abnormal.iter().any(|part| plain.contains(part)) || plain.ends_with("/..");
    let matches = |pattern: &NoRepeat| {
        let same_method = pattern.method.eq_ignore_ascii_case(method);
        same_method && (is_abnormal || plain.starts_with(&*pattern.path))
    };
    !service.no_repeat.iter().any(matches)
}

/// Hashes parts with their lengths, so that no two different lists of parts are hashed as the same
/// bytes.
fn digest(parts: &[&[u8]]) -> [u8; 32] {
    let mut hash = Sha256::new();
    for part in parts {
        hash.update((part.len() as u64).to_be_bytes());
        hash.update(part);
    }
    hash.finalize().into()
}

fn claim_key(account: &AccountName, key: &IdempotencyKey) -> ClaimKey {
    let hash = digest(&[account.as_str().as_bytes(), key.as_str().as_bytes()]);
    let mut first = [0; 16];
    first.copy_from_slice(&hash[..16]);
    ClaimKey(u128::from_be_bytes(first))
}

fn fingerprint(parts: &[&[u8]]) -> u64 {
    let hash = digest(parts);
    let mut first = [0; 8];
    first.copy_from_slice(&hash[..8]);
    u64::from_be_bytes(first)
}

/// Returns the digest of a call's content, equal for all calls that send the same prompt to the
/// same model. The token limit and the deadline are left out, because callers change them when they
/// retry.
fn completion_digest(call: &Completion) -> RequestDigest {
    RequestDigest::of(&RequestParts {
        account: call.account.as_str(),
        method: "completion",
        host: call.model.as_str(),
        target: call.class.as_str(),
        body: call.prompt.as_bytes(),
    })
}

fn completion_claim(request: RequestId, call: &Completion, max: Tokens) -> Option<ClaimCall> {
    let key = call.idempotency_key.as_ref()?;
    let fingerprint = fingerprint(&[
        b"completion",
        call.model.as_str().as_bytes(),
        call.class.as_str().as_bytes(),
        &max.0.to_be_bytes(),
        call.prompt.as_bytes(),
    ]);
    Some(ClaimCall {
        key: claim_key(&call.account, key),
        fingerprint,
        request,
    })
}

fn service_claim(request: RequestId, call: &ServiceRequest) -> Option<ClaimCall> {
    let key = call.idempotency_key.as_ref()?;
    let fingerprint = fingerprint(&[
        b"service",
        call.service.as_str().as_bytes(),
        call.method.as_bytes(),
        call.path.as_bytes(),
        &call.body,
    ]);
    Some(ClaimCall {
        key: claim_key(&call.account, key),
        fingerprint,
        request,
    })
}
