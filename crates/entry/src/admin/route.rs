//! The routes of the administration API.

use crate::http::answer::Refusal;
use crate::http::head;
use bluebell_base::prelude::*;
use tiny_http::Method;

/// A route of the administration API.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Route {
    /// Returns the configuration in force.
    Config,
    /// Publishes a configuration.
    Publish,
    /// Lists the configuration versions that were in force at this node.
    History,
    /// Lists the classes of work in force.
    Classes,
    /// Lists the client accounts in force, without key hashes.
    Accounts,
    /// Lists the known upstreams.
    Upstreams,
    /// Lists the known nodes and upstreams.
    Fleet,
    /// Returns the state of the process.
    State,
    /// Stops the node gracefully.
    Drain,
    /// Checks that the node accepts new work.
    Ready,
    /// Returns the metrics.
    Metrics,
}

/// All paths with their methods.
const ROUTES: &[(&str, Method, Route)] = &[
    ("/admin/config", Method::Get, Route::Config),
    ("/admin/config", Method::Post, Route::Publish),
    ("/admin/config/history", Method::Get, Route::History),
    ("/admin/classes", Method::Get, Route::Classes),
    ("/admin/accounts", Method::Get, Route::Accounts),
    ("/admin/upstreams", Method::Get, Route::Upstreams),
    ("/admin/fleet", Method::Get, Route::Fleet),
    ("/admin/state", Method::Get, Route::State),
    ("/admin/drain", Method::Post, Route::Drain),
    ("/admin/ready", Method::Get, Route::Ready),
    ("/metrics", Method::Get, Route::Metrics),
];

/// Finds the route of a method and URL.
///
/// # Errors
/// 404 for an unknown path, 405 for a known path with another method.
pub(crate) fn find(method: &Method, url: &str) -> Result<Route, Refusal> {
    let (path, _) = head::split_url(url);
    let mut known = ROUTES
        .iter()
        .filter(|(known, ..)| *known == path)
        .peekable();
    if known.peek().is_none() {
        let message = "there is nothing at this path";
        return Err(Error::not_run(ErrorKind::NotFound, message).into());
    }
    let found = known.find(|(_, wanted, _)| wanted == method);
    found.map(|(.., route)| *route).ok_or_else(|| Refusal {
        status: 405,
        error: head::invalid("this path does not take that method"),
    })
}
