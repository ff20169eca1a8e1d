//! Handles one operator's call, from its request head to its answer.

use crate::admin::Shared;
use crate::admin::route::{self, Route};
use crate::http::answer::{self, Refusal, Whole};
use crate::http::body::{self, BodyLimits};
use crate::http::credentials::KeyHash;
use crate::http::{head, oversize};
use crate::{AdminCall, ConfigText, Reply, calls};
use bluebell_base::prelude::*;
use bluebell_config::{Fault, FleetConfig};
use bluebell_control::Published;
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;
use std::sync::atomic::Ordering;
use tiny_http::Request;

/// The media type of the Prometheus text format.
const METRICS_TYPE: &str = "text/plain; version=0.0.4";

/// The `Retry-After` time sent to refused operators.
const RETRY_AFTER_MS: SpanMs = SpanMs(1000);

/// The body of a call that publishes a configuration.
#[derive(Deserialize)]
struct PublishBody<'a> {
    base: ConfigVersion,
    #[serde(borrow)]
    config: &'a RawValue,
}

/// The answer with a configuration and its version.
#[derive(Serialize)]
struct ConfigBody {
    version: ConfigVersion,
    config: Box<RawValue>,
}

/// The answer to a configuration that was refused, with its faults.
#[derive(Serialize)]
struct FaultsBody<'a> {
    error: FaultsFields<'a>,
    faults: &'a [Fault],
}

#[derive(Serialize)]
struct FaultsFields<'a> {
    kind: ErrorKind,
    message: &'static str,
    verdict: Verdict,
    request: &'a str,
}

/// A client account without the hash of its key.
#[derive(Serialize)]
struct AccountBody<'a> {
    name: &'a AccountName,
}

/// The upstreams in the JSON text that [`AdminCall::Fleet`] returns.
#[derive(Deserialize)]
struct FleetUpstreams<'a> {
    #[serde(borrow)]
    upstreams: &'a RawValue,
}

/// The answer to a call that returns no data.
#[derive(Serialize)]
struct DoneBody {
    done: bool,
}

/// One call in progress.
struct Call<'a> {
    shared: &'a Shared,
    name: Arc<str>,
}

/// Handles one request of the API until its answer is sent.
pub(crate) fn handle(shared: &Shared, request: Request) {
    let number = shared.last_call.fetch_add(1, Ordering::Relaxed) + 1;
    let call = Call {
        shared,
        name: format!("admin{number}").into(),
    };
    let Some(mut request) = oversize::refuse(request, &call.name) else {
        return;
    };
    let response = call.answer(&mut request).unwrap_or_else(|refusal| {
        log::info!("{}: refused: {}", call.name, refusal.error);
        answer::refusal(&refusal, &call.name)
    });
    if let Err(error) = request.respond(response) {
        log::debug!("{}: the answer could not be sent: {error}", call.name);
    }
}

impl Call<'_> {
    fn answer(&self, request: &mut Request) -> Result<Whole, Refusal> {
        head::check(request)?;
        self.authenticate(request)?;
        match route::find(request.method(), request.url())? {
            Route::Config => self.config(),
            Route::Publish => self.publish(request),
            Route::History => self.history(),
            Route::Classes => self.in_force(|config| answer::json_text(&config.classes)),
            Route::Accounts => self.in_force(accounts_text),
            Route::Upstreams => self.upstreams(),
            Route::Fleet => Ok(self.json(&self.call_and_wait(AdminCall::Fleet)?)),
            Route::State => Ok(self.json(&self.call_and_wait(AdminCall::Dump)?)),
            Route::Drain => self.done(AdminCall::Drain),
            Route::Ready => self.done(AdminCall::Ready),
            Route::Metrics => {
                let text = self.call_and_wait(AdminCall::Metrics)?;
                let body = text.as_bytes().to_vec();
                Ok(answer::whole(200, Some(METRICS_TYPE), body, &self.name))
            }
        }
    }

    fn authenticate(&self, request: &Request) -> Result<(), Error> {
        let credential = KeyHash::of(head::bearer(request)?);
        if self.shared.credential.same(&credential).into() {
            return Ok(());
        }
        let message = "the credential is wrong";
        Err(Error::not_run(ErrorKind::Unauthenticated, message))
    }

    fn config(&self) -> Result<Whole, Refusal> {
        let text = self.call_and_wait(AdminCall::Config)?;
        Ok(answer::json(200, &config_body(&text)?, &self.name))
    }

    fn history(&self) -> Result<Whole, Refusal> {
        let versions = self.call_and_wait(AdminCall::History)?;
        Ok(answer::json(200, &versions, &self.name))
    }

    fn publish(&self, request: &mut Request) -> Result<Whole, Refusal> {
        let limits = BodyLimits {
            body_bytes: self.shared.settings.body_bytes,
            budget: &self.shared.body_budget,
            retry_after_ms: RETRY_AFTER_MS,
        };
        let body = body::read(request, limits)?;
        let text = std::str::from_utf8(&body.bytes)
            .map_err(|error| head::invalid(format!("the body is not UTF-8: {error}")))?;
        let call: PublishBody = serde_json::from_str(text)
            .map_err(|error| head::invalid(format!("the body is not a publication: {error}")))?;
        if let Err(faults) = bluebell_config::parse(call.config.get()) {
            return Ok(self.faults(&faults));
        }
        let (base, config) = (call.base, call.config.get().into());
        let published = self.call_and_wait(|reply| AdminCall::Publish {
            base,
            body: config,
            reply,
        })?;
        let status = match published {
            Published::Accepted { .. } => 200,
            Published::Conflict { .. } => 409,
        };
        Ok(answer::json(status, &published, &self.name))
    }

    fn faults(&self, faults: &[Fault]) -> Whole {
        let body = FaultsBody {
            error: FaultsFields {
                kind: ErrorKind::Invalid,
                message: "the configuration has faults",
                verdict: Verdict::NotRun,
                request: &self.name,
            },
            faults,
        };
        answer::json(400, &body, &self.name)
    }

    /// Answers with the part of the configuration in force that `part` renders as JSON.
    fn in_force(&self, part: impl FnOnce(&FleetConfig) -> String) -> Result<Whole, Refusal> {
        let text = self.call_and_wait(AdminCall::Config)?;
        let config: FleetConfig = serde_json::from_str(&text.body).map_err(unreadable)?;
        Ok(self.json(&part(&config)))
    }

    fn upstreams(&self) -> Result<Whole, Refusal> {
        let fleet = self.call_and_wait(AdminCall::Fleet)?;
        let fleet: FleetUpstreams = serde_json::from_str(&fleet).map_err(unreadable)?;
        Ok(self.json(fleet.upstreams.get()))
    }

    fn done(&self, call: impl FnOnce(Reply<()>) -> AdminCall) -> Result<Whole, Refusal> {
        self.call_and_wait(call)?;
        Ok(answer::json(200, &DoneBody { done: true }, &self.name))
    }

    fn json(&self, text: &str) -> Whole {
        let body = text.as_bytes().to_vec();
        answer::whole(200, Some(answer::JSON), body, &self.name)
    }

    /// Sends a call to the node and waits for its answer.
    fn call_and_wait<T: Send + 'static>(
        &self,
        call: impl FnOnce(Reply<T>) -> AdminCall,
    ) -> Result<T, Error> {
        calls::call_and_wait(self.shared.settings.reply_timeout_ms, |reply| {
            if self.shared.calls.send(call(reply)) {
                return Ok(());
            }
            let message = "the node is stopping";
            Err(Error::not_run(ErrorKind::Unavailable, message))
        })
    }
}

fn config_body(text: &ConfigText) -> Result<ConfigBody, Error> {
    Ok(ConfigBody {
        version: text.version,
        config: RawValue::from_string(text.body.to_string()).map_err(unreadable)?,
    })
}

fn accounts_text(config: &FleetConfig) -> String {
    let accounts = config.accounts.iter();
    let bodies: Vec<_> = accounts.map(|a| AccountBody { name: &a.name }).collect();
    answer::json_text(&bodies)
}

fn unreadable(error: serde_json::Error) -> Error {
    log::error!("an answer of the node can't be parsed: {error}");
    Error::not_run(ErrorKind::Internal, "the node's own answer can't be read")
}
