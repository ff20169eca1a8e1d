//! Handles one call, from its request head to its answer.

use crate::callers::decode::{self, CallHeaders};
use crate::callers::deliver::{Delivered, Delivery};
use crate::callers::encode::{ModelsBody, ReportBody, Subject};
use crate::callers::route::{self, AccountRoute, Form, Route};
use crate::callers::{InForce, Shared, sink};
use crate::http::answer::{self, Refusal, Whole};
use crate::http::body::{self, Body, BodyLimits};
use crate::http::head;
use crate::http::limits::Permit;
use crate::http::outlet::Outlet;
use crate::http::oversize;
use crate::{Reply, calls};
use bluebell_base::prelude::*;
use bluebell_config::FleetConfig;
use bluebell_peers::RequestReport;
use bluebell_requests::call::{CallerCall, CallerId, CallerSink, ResumeAnswer, ServiceRequest};
use std::sync::atomic::Ordering;
use tiny_http::Request;

/// The maximum length of a caller's cursor, in bytes.
const CURSOR_BYTES: usize = 1024;

/// One call in progress.
struct Call<'a> {
    shared: &'a Shared,
    caller: CallerId,
    /// The call's number as text, which is the request id in answers to calls that were not
    /// admitted.
    name: Arc<str>,
}

/// A call that was accepted, with the work that it starts.
enum Accepted {
    /// A completion.
    Complete {
        decoded: decode::Decoded,
        form: Form,
        permits: Permits,
    },
    /// A call of a plain service.
    Service {
        call: ServiceRequest,
        permits: Permits,
    },
    /// Resuming the answer of an earlier request.
    ResumeAnswer {
        call: ResumeAnswer,
        form: Form,
        permit: Permit,
    },
    /// No work, since the answer is already complete.
    Answered(Whole),
}

/// The permits that a call holds until it ends.
struct Permits {
    _call: Permit,
    _body: Permit,
}

/// Handles one request of the interface until its answer is sent.
pub(crate) fn handle(shared: &Shared, request: Request) {
    let caller = CallerId(shared.last_caller.fetch_add(1, Ordering::Relaxed) + 1);
    let call = Call {
        shared,
        caller,
        name: caller.to_string().into(),
    };
    let Some(mut request) = oversize::refuse(request, &call.name) else {
        return;
    };
    match call.accept(&mut request) {
        Ok(Accepted::Answered(response)) => call.respond(request, response),
        Ok(accepted) => call.run(request, accepted),
        Err(refusal) => call.refuse(request, refusal),
    }
}

impl Call<'_> {
    /// Authenticates, routes, reads and decodes a request.
    fn accept(&self, request: &mut Request) -> Result<Accepted, Refusal> {
        head::check(request)?;
        let in_force = self.in_force();
        let config = in_force
            .as_ref()
            .map(|in_force| Arc::clone(&in_force.config));
        let config = config.unwrap_or_default();
        let wanted = match route::find(request.method(), request.url(), &config)? {
            Route::Health => return Ok(Accepted::Answered(answer::json(200, &"ok", &self.name))),
            Route::Ready => return self.ready().map(Accepted::Answered),
            Route::ForAccount(wanted) => wanted,
        };
        let in_force = in_force.ok_or_else(|| self.unavailable("no configuration is known yet"))?;
        let account = authenticate(&in_force, request)?;
        self.accept_for_account(wanted, account, &config, request)
    }

    fn accept_for_account(
        &self,
        wanted: AccountRoute,
        account: &AccountName,
        config: &FleetConfig,
        request: &mut Request,
    ) -> Result<Accepted, Refusal> {
        match wanted {
            AccountRoute::Models => {
                let body = ModelsBody::from(config);
                Ok(Accepted::Answered(answer::json(200, &body, &self.name)))
            }
            AccountRoute::Complete(form) => self.accept_completion(form, account, config, request),
            AccountRoute::Service { service, path } => {
                self.accept_service(service, path, account, config, request)
            }
            AccountRoute::ResumeAnswer(id) => self.accept_resume(id, account, request),
            AccountRoute::Report(id) => self.call_and_wait(id, |reply| CallerCall::Report {
                account: account.clone(),
                request: id,
                reply,
            }),
            AccountRoute::Cancel(id) => self.call_and_wait(id, |reply| CallerCall::Cancel {
                account: account.clone(),
                request: id,
                reply,
            }),
        }
    }

    fn accept_completion(
        &self,
        form: Form,
        account: &AccountName,
        config: &FleetConfig,
        request: &mut Request,
    ) -> Result<Accepted, Refusal> {
        let headers = CallHeaders {
            class: head::header(request, "X-Work-Class")?.map(str::to_owned),
            idempotency_key: idempotency_key(request)?,
        };
        let call = self.call_permit()?;
        let body = self.body(config, request)?;
        let decoded = decode::completion(form, &body.bytes, headers, account, config)?;
        let lacks_chunks = decoded.stream && *request.http_version() < tiny_http::HTTPVersion(1, 1);
        if lacks_chunks {
            return Err(head::invalid("stream: needs HTTP/1.1").into());
        }
        Ok(Accepted::Complete {
            decoded,
            form,
            permits: Permits {
                _call: call,
                _body: body.permit,
            },
        })
    }

    fn accept_service(
        &self,
        service: ServiceName,
        path: Arc<str>,
        account: &AccountName,
        config: &FleetConfig,
        request: &mut Request,
    ) -> Result<Accepted, Refusal> {
        let idempotency_key = idempotency_key(request)?;
        let content_type = head::header(request, "Content-Type")?.map(Arc::from);
        let method = request.method().as_str().into();
        let call_permit = self.call_permit()?;
        let body = self.body(config, request)?;
        let call = ServiceRequest {
            account: account.clone(),
            service,
            method,
            path,
            content_type,
            body: body.bytes,
            idempotency_key,
        };
        Ok(Accepted::Service {
            call,
            permits: Permits {
                _call: call_permit,
                _body: body.permit,
            },
        })
    }

    fn accept_resume(
        &self,
        id: RequestId,
        account: &AccountName,
        request: &Request,
    ) -> Result<Accepted, Refusal> {
        if *request.http_version() < tiny_http::HTTPVersion(1, 1) {
            return Err(head::invalid("a stream needs HTTP/1.1").into());
        }
        let (_, query) = head::split_url(request.url());
        let form = match head::query_value(query, "form") {
            None | Some("text") => Form::Text,
            Some("chat") => Form::Chat,
            Some(_) => return Err(head::invalid("form: is text or chat").into()),
        };
        let cursor = head::header(request, "Last-Event-ID")?.filter(|id| !id.is_empty());
        if cursor.is_some_and(|cursor| cursor.len() > CURSOR_BYTES) {
            let message = format!("Last-Event-ID is over {CURSOR_BYTES} bytes");
            return Err(head::invalid(message).into());
        }
        let call = ResumeAnswer {
            account: account.clone(),
            request: id,
            cursor: cursor.map(Arc::from),
        };
        let permit = self.call_permit()?;
        Ok(Accepted::ResumeAnswer { call, form, permit })
    }

    /// Requests a report from the node and waits for it.
    fn call_and_wait(
        &self,
        id: RequestId,
        call: impl FnOnce(Reply<RequestReport>) -> CallerCall,
    ) -> Result<Accepted, Refusal> {
        let timeout_ms = self.shared.settings.reply_timeout_ms;
        let report = calls::call_and_wait(timeout_ms, |reply| self.send(call(reply)))?;
        let body = ReportBody::from(&report);
        Ok(Accepted::Answered(answer::json(
            200,
            &body,
            &id.to_string(),
        )))
    }

    /// Starts the work and writes its events to the caller.
    fn run(&self, request: Request, accepted: Accepted) {
        let outlet = Outlet::open(request);
        let delivered = match accepted {
            Accepted::Answered(response) => outlet.respond(response).into(),
            Accepted::Complete {
                decoded,
                form,
                permits,
            } => self.complete(outlet, decoded, form, permits),
            Accepted::Service { call, permits } => self.call_service(outlet, call, permits),
            Accepted::ResumeAnswer { call, form, permit } => {
                self.resume_answer(outlet, call, form, permit)
            }
        };
        self.after(delivered);
    }

    fn complete(
        &self,
        outlet: Outlet,
        decoded: decode::Decoded,
        form: Form,
        _until_end: Permits,
    ) -> Delivered {
        let (sink, delivery) = self.delivery(Arc::clone(&self.name));
        let subject = Subject::beginning_now(form, Some(decoded.completion.model.clone()));
        let call = CallerCall::Complete {
            caller: self.caller,
            completion: decoded.completion,
            sink,
        };
        match self.send(call) {
            Err(error) => delivery.refuse(outlet, None, error),
            Ok(()) if decoded.stream => delivery.stream(outlet, &subject),
            Ok(()) => delivery.whole(outlet, &subject),
        }
    }

    fn call_service(&self, outlet: Outlet, call: ServiceRequest, _until_end: Permits) -> Delivered {
        let (sink, delivery) = self.delivery(Arc::clone(&self.name));
        let caller = self.caller;
        match self.send(CallerCall::Service { caller, call, sink }) {
            Err(error) => delivery.refuse(outlet, None, error),
            Ok(()) => delivery.service(outlet),
        }
    }

    fn resume_answer(
        &self,
        outlet: Outlet,
        call: ResumeAnswer,
        form: Form,
        _until_end: Permit,
    ) -> Delivered {
        let (sink, delivery) = self.delivery(call.request.to_string().into());
        let subject = Subject::beginning_now(form, None);
        let caller = self.caller;
        match self.send(CallerCall::ResumeAnswer { caller, call, sink }) {
            Err(error) => {
                let error = for_earlier_request(error);
                delivery.refuse(outlet, None, error)
            }
            Ok(()) => delivery.stream(outlet, &subject),
        }
    }

    /// Opens the queue for a request's events. Returns the actor's end and the end that writes to
    /// the caller.
    fn delivery(&self, request: Arc<str>) -> (Box<dyn CallerSink>, Delivery) {
        let (sink, events) = sink::open();
        let settings = &self.shared.settings;
        let delivery = Delivery {
            events,
            request,
            keep_alive: settings.keep_alive_ms.into(),
            interim: settings.interim_ms.map(Into::into),
        };
        (Box::new(sink), delivery)
    }

    /// Cancels the work of a caller that has disconnected.
    ///
    /// `tiny_http` doesn't report a hang-up, so a failed write is the first sign of one. Without
    /// the cancel, an engine would keep holding memory for an answer that nobody reads.
    fn after(&self, delivered: Delivered) {
        if delivered == Delivered::Whole {
            return;
        }
        log::info!("{}: the caller hung up or does not read", self.name);
        let caller = self.caller;
        if !self.shared.calls.send(CallerCall::Disconnected { caller }) {
            log::debug!(
                "{}: the node has stopped, the hang-up is not reported",
                self.name
            );
        }
    }

    /// Refuses a call of which nothing was sent to the node.
    fn refuse(&self, request: Request, mut refusal: Refusal) {
        log::debug!("{}: refused: {}", self.name, refusal.error);
        if route::names_request(request.url()) {
            refusal.error = for_earlier_request(refusal.error);
        }
        self.respond(request, answer::refusal(&refusal, &self.name));
    }

    fn respond(&self, request: Request, response: Whole) {
        if let Err(error) = request.respond(response) {
            log::debug!("{}: the answer could not be sent: {error}", self.name);
        }
    }

    fn ready(&self) -> Result<Whole, Refusal> {
        if !self.shared.ready.load(Ordering::Acquire) {
            return Err(self.unavailable("the node takes no new work").into());
        }
        Ok(answer::json(200, &"ready", &self.name))
    }

    fn in_force(&self) -> Option<Arc<InForce>> {
        let current = self.shared.in_force.read();
        current.unwrap_or_else(|e| e.into_inner()).clone()
    }

    fn unavailable(&self, message: &str) -> Error {
        let error = Error::not_run(ErrorKind::Unavailable, message);
        error.retry_after(self.shared.settings.retry_after_ms)
    }

    fn call_permit(&self) -> Result<Permit, Error> {
        let permit = self.shared.call_budget.take(1);
        permit.ok_or_else(|| self.unavailable("too many calls are in progress at this node"))
    }

    fn body(&self, config: &FleetConfig, request: &mut Request) -> Result<Body, Error> {
        let limits = BodyLimits {
            body_bytes: config.limits.body_bytes,
            budget: &self.shared.body_budget,
            retry_after_ms: self.shared.settings.retry_after_ms,
        };
        body::read(request, limits)
    }

    fn send(&self, call: CallerCall) -> Result<(), Error> {
        if self.shared.calls.send(call) {
            return Ok(());
        }
        Err(self.unavailable("the node is stopping"))
    }
}

fn authenticate<'a>(in_force: &'a InForce, request: &Request) -> Result<&'a AccountName, Error> {
    let credential = head::bearer(request)?;
    let account = in_force.account(credential);
    account.ok_or_else(|| {
        let message = "the key belongs to no account";
        Error::not_run(ErrorKind::Unauthenticated, message)
    })
}

/// Turns the refusal of a call into one about the earlier request that the call names.
///
/// The caller takes the verdict as that of the earlier request, whose state the node wasn't asked
/// for. A "not run" would thus be false and becomes `MayHaveRun`.
fn for_earlier_request(mut error: Error) -> Error {
    if error.verdict == Verdict::NotRun {
        error.verdict = Verdict::MayHaveRun;
    }
    error
}

fn idempotency_key(request: &Request) -> Result<Option<IdempotencyKey>, Error> {
    let value = head::header(request, "Idempotency-Key")?;
    value.map(decode::idempotency_key).transpose()
}
