//! The routes of the callers' interface.

use crate::http::answer::Refusal;
use crate::http::head;
use bluebell_base::prelude::*;
use bluebell_config::FleetConfig;
use tiny_http::Method;

/// How a completion is asked for and answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Form {
    /// `/v1/completions`.
    Text,
    /// `/v1/chat/completions`.
    Chat,
}

/// What a request asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Route {
    /// Whether the process lives.
    Health,
    /// Whether the node takes new work.
    Ready,
    /// Something that only an account may ask for.
    ForAccount(Wanted),
}

/// What an account asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Wanted {
    /// A completion.
    Complete(Form),
    /// The models that can be asked for.
    Models,
    /// The state of a request.
    Report(RequestId),
    /// Cancel a request.
    Cancel(RequestId),
    /// Read a request's events on.
    ResumeAnswer(RequestId),
    /// A plain service, with path and query behind its prefix.
    Service {
        /// The service.
        service: ServiceName,
        /// Path and query behind the prefix, beginning with `/`.
        path: Arc<str>,
    },
}

impl From<Wanted> for Route {
    fn from(wanted: Wanted) -> Self {
        Route::ForAccount(wanted)
    }
}

/// The paths about requests made earlier.
const REQUESTS: &str = "/v1/requests/";

/// Whether a path is about a request made earlier.
pub(crate) fn names_request(url: &str) -> bool {
    url.starts_with(REQUESTS)
}

/// Finds the route.
///
/// # Errors
/// 404 for an unknown path, 405 for a known one with another method, 400 for a bad request id.
pub(crate) fn find(method: &Method, url: &str, config: &FleetConfig) -> Result<Route, Refusal> {
    let (path, _) = head::split_url(url);
    match path {
        "/healthz" => only(method, &Method::Get, Route::Health),
        "/readyz" => only(method, &Method::Get, Route::Ready),
        "/v1/completions" => only(method, &Method::Post, Wanted::Complete(Form::Text).into()),
        "/v1/chat/completions" => only(method, &Method::Post, Wanted::Complete(Form::Chat).into()),
        "/v1/models" => only(method, &Method::Get, Wanted::Models.into()),
        _ => match path.strip_prefix(REQUESTS) {
            Some(rest) => find_request(method, rest),
            None => find_service(url, config),
        },
    }
}

fn only(method: &Method, wanted: &Method, route: Route) -> Result<Route, Refusal> {
    if method == wanted {
        return Ok(route);
    }
    Err(not_allowed(wanted.as_str()))
}

fn not_allowed(wanted: &str) -> Refusal {
    Refusal {
        status: 405,
        error: head::invalid(format!("this path takes only {wanted}")),
    }
}

fn find_request(method: &Method, rest: &str) -> Result<Route, Refusal> {
    let (id, tail) = match rest.split_once('/') {
        Some((id, tail)) => (id, Some(tail)),
        None => (rest, None),
    };
    let parsed = id.parse::<RequestId>();
    let request = parsed.map_err(|error| head::invalid(error.to_string()))?;
    match (tail, method) {
        (None, Method::Get) => Ok(Wanted::Report(request).into()),
        (None, Method::Delete) => Ok(Wanted::Cancel(request).into()),
        (None, _) => Err(not_allowed("GET and DELETE")),
        (Some("events"), Method::Get) => Ok(Wanted::ResumeAnswer(request).into()),
        (Some("events"), _) => Err(not_allowed("GET")),
        (Some(_), _) => Err(unknown_path()),
    }
}

fn find_service(url: &str, config: &FleetConfig) -> Result<Route, Refusal> {
    let services = config.services.iter();
    let found = services
        .filter_map(|service| Some((service, behind(url, &service.prefix)?)))
        .max_by_key(|(service, _)| service.prefix.len());
    let (service, rest) = found.ok_or_else(unknown_path)?;
    let path: Arc<str> = if rest.starts_with('/') {
        rest.into()
    } else {
        format!("/{rest}").into()
    };
    let service = service.name.clone();
    Ok(Wanted::Service { service, path }.into())
}

/// What stands behind a prefix that ends at a path segment's end.
fn behind<'a>(url: &'a str, prefix: &str) -> Option<&'a str> {
    let rest = url.strip_prefix(prefix)?;
    let at_end = rest.is_empty() || rest.starts_with('/') || rest.starts_with('?');
    at_end.then_some(rest)
}

fn unknown_path() -> Refusal {
    Error::not_run(ErrorKind::NotFound, "there is nothing at this path").into()
}
