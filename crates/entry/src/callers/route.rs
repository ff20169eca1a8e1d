//! The routes of the callers' interface.

use crate::http::answer::Refusal;
use crate::http::head;
use bluebell_base::prelude::*;
use bluebell_config::FleetConfig;
use tiny_http::Method;

/// The form of a completion call and its answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Form {
    /// The form of `/v1/completions`.
    Text,
    /// The form of `/v1/chat/completions`.
    Chat,
}

/// A route of the callers' interface.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Route {
    /// Checks that the process runs.
    Health,
    /// Checks that the node accepts new work.
    Ready,
    /// A route that requires an account's key.
    ForAccount(AccountRoute),
}

/// A route that requires an account's key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum AccountRoute {
    /// Requests a completion.
    Complete(Form),
    /// Lists the models that callers can request.
    Models,
    /// Returns the state of a request.
    Report(RequestId),
    /// Cancels a request.
    Cancel(RequestId),
    /// Resumes reading the events of a request.
    ResumeAnswer(RequestId),
    /// Calls a plain service.
    Service {
        /// The service.
        service: ServiceName,
        /// The path and query after the service's prefix, beginning with `/`.
        path: Arc<str>,
    },
}

impl From<AccountRoute> for Route {
    fn from(wanted: AccountRoute) -> Self {
        Route::ForAccount(wanted)
    }
}

/// The prefix of paths about earlier requests.
const REQUESTS_PREFIX: &str = "/v1/requests/";

/// Returns true if a path is about an earlier request.
pub(crate) fn names_request(url: &str) -> bool {
    url.starts_with(REQUESTS_PREFIX)
}

/// Finds the route of a method and URL.
///
/// # Errors
/// 404 for an unknown path, 405 for a known path with another method, 400 for a malformed request
/// id.
pub(crate) fn find(method: &Method, url: &str, config: &FleetConfig) -> Result<Route, Refusal> {
    let (path, _) = head::split_url(url);
    match path {
        "/healthz" => require_method(method, &Method::Get, Route::Health),
        "/readyz" => require_method(method, &Method::Get, Route::Ready),
        "/v1/completions" => require_method(
            method,
            &Method::Post,
            AccountRoute::Complete(Form::Text).into(),
        ),
        "/v1/chat/completions" => require_method(
            method,
            &Method::Post,
            AccountRoute::Complete(Form::Chat).into(),
        ),
        "/v1/models" => require_method(method, &Method::Get, AccountRoute::Models.into()),
        _ => match path.strip_prefix(REQUESTS_PREFIX) {
            Some(rest) => find_request(method, rest),
            None => find_service(url, config),
        },
    }
}

fn require_method(method: &Method, wanted: &Method, route: Route) -> Result<Route, Refusal> {
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
        (None, Method::Get) => Ok(AccountRoute::Report(request).into()),
        (None, Method::Delete) => Ok(AccountRoute::Cancel(request).into()),
        (None, _) => Err(not_allowed("GET and DELETE")),
        (Some("events"), Method::Get) => Ok(AccountRoute::ResumeAnswer(request).into()),
        (Some("events"), _) => Err(not_allowed("GET")),
        (Some(_), _) => Err(unknown_path()),
    }
}

fn find_service(url: &str, config: &FleetConfig) -> Result<Route, Refusal> {
    let services = config.services.iter();
    let found = services
        .filter_map(|service| Some((service, strip_path_prefix(url, &service.prefix)?)))
        .max_by_key(|(service, _)| service.prefix.len());
    let (service, rest) = found.ok_or_else(unknown_path)?;
    let path: Arc<str> = if rest.starts_with('/') {
        rest.into()
    } else {
        format!("/{rest}").into()
    };
    let service = service.name.clone();
    Ok(AccountRoute::Service { service, path }.into())
}

/// Returns the rest of a URL after a prefix. Returns `None` unless the prefix ends at the end of a
/// path segment.
fn strip_path_prefix<'a>(url: &'a str, prefix: &str) -> Option<&'a str> {
    let rest = url.strip_prefix(prefix)?;
    let at_end = rest.is_empty() || rest.starts_with('/') || rest.starts_with('?');
    at_end.then_some(rest)
}

fn unknown_path() -> Refusal {
    Error::not_run(ErrorKind::NotFound, "there is nothing at this path").into()
}
