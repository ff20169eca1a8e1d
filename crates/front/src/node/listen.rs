//! Accepts callers' connections, and serves the node's own pages: readiness, metrics and quarantine.
//!
//! Invariants: a connection is closed only between two answers, unless its caller is gone; an error of
//! accepting never ends the listener.

use super::Node;
use super::connections::{self, ConnectionState, Connections, ObservedBody};
use super::stream::MeteredStream;
use crate::call;
use crate::{quarantine, shares};
use bluebell_base::prelude::*;
use bluebell_quarantine::prelude::*;
use bytes::Bytes as Buffer;
use http_body_util::Full;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use serde::Serialize;
use socket2::SockRef;
use std::convert::Infallible;
use std::io;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;

/// The pause after an error of accepting, such as too many open files. The cause passes as connections
/// close, and retrying at once would spin.
const ACCEPT_PAUSE_MS: SpanMs = SpanMs(20);

/// The bytes that the system holds for a caller before it sends them. Its default is several MB, which 500 callers that
/// don't read would fill. What is under way to a caller that reads isn't bounded by this.
const MAX_UNSENT_BYTES: u32 = 32 * 1024;

/// The maximum size of a request head before a configuration is in force, in bytes.
const DEFAULT_HEAD_BYTES: usize = 16 * 1024;

/// The minimum buffer size that the HTTP library allows, in bytes.
const MIN_BUFFER_BYTES: usize = 8 * 1024;

/// The time for which an idle connection is kept before a configuration is in force.
const DEFAULT_IDLE_MS: SpanMs = SpanMs(15_000);

/// The time for which an idle connection is kept beyond the operators' limit, which answers announce, so that a caller that
/// reuses it at the last moment doesn't find it closed.
const IDLE_MARGIN_MS: SpanMs = SpanMs(3_000);

/// The idle time after which a caller isn't expected to follow an answer with another request: some network round
/// trips.
const NEXT_REQUEST_MS: SpanMs = SpanMs(250);

/// The interval at which a stopping node checks if a connection is idle.
const CLOSE_POLL_MS: SpanMs = SpanMs(50);

/// The reason for which the connection of a slow reader ended.
const TOO_SLOW: &str = "the caller reads too slowly";

/// The path of the metrics on the operators' listener.
const METRICS_PATH: &str = "/metrics";

/// The path of the list of requests in quarantine. An operator lifts a quarantine at this path followed by
/// a slash and the request's digest.
const QUARANTINE_PATH: &str = "/quarantine";

/// The path of the list of the accounts with the largest demand.
const SHARES_PATH: &str = "/shares";

/// Serves callers until the process ends.
pub(super) async fn serve_callers(
    node: Rc<Node>,
    listener: TcpListener,
    connections: Rc<Connections>,
) {
    loop {
        let stream = accept(&listener).await;
        let guard = connections.add(&node);
        let node = node.clone();
        spawn_local(async move {
            let stream = MeteredStream::new(stream, guard.state.clone());
            let served = serve_connection(&node, stream.clone(), guard.state.clone());
            let result = tokio::select! {
                result = served => result,
                () = guard.state.too_slow() => {
                    stream.reset_on_close();
                    return connections::record_end(&node, &guard.state, TOO_SLOW);
                }
            };
            if stream.has_unread() {
                guard.state.on_closed_unread();
            }
            connections::record_end(&node, &guard.state, connections::end_reason(&result));
            log_connection_end(result);
        });
    }
}

/// Accepts a connection. Pauses after an error and tries again.
pub(crate) async fn accept(listener: &TcpListener) -> TcpStream {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                if let Err(error) = prepare(&stream) {
                    log::debug!("a new connection was closed before it was served: {error}");
                    continue;
                }
                return stream;
            }
            Err(error) => {
                log::warn!("failed to accept a connection: {error}");
                tokio::time::sleep(Duration::from(ACCEPT_PAUSE_MS)).await;
            }
        }
    }
}

/// Sets the options of an accepted connection.
fn prepare(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    if let Err(error) = SockRef::from(stream).set_tcp_notsent_lowat(MAX_UNSENT_BYTES) {
        log::debug!("the bytes that wait to be sent can't be bounded: {error}");
    }
    Ok(())
}

/// Serves one caller's connection until it closes. During a planned stop, answers announce the close, and an idle
/// connection is closed.
async fn serve_connection(
    node: &Rc<Node>,
    stream: MeteredStream,
    state: Rc<ConnectionState>,
) -> Result<(), hyper::Error> {
    let limits = node.with(|state| state.config.as_ref().map(|c| c.limits()));
    let head_bytes = limits.map_or(DEFAULT_HEAD_BYTES, |l| l.head_bytes.0 as usize);
    let announced_idle_ms = limits.map_or(DEFAULT_IDLE_MS, |l| l.idle_timeout_ms);
    state.announce_idle(announced_idle_ms);
    let idle_ms = announced_idle_ms + IDLE_MARGIN_MS;
    let stop = wait_for_stop(node.clone(), state.clone());
    let closable = wait_until_closable(stream.clone(), state.clone());
    let node = node.clone();
    let served = state.clone();
    let service = service_fn(move |request| {
        let (node, state) = (node.clone(), served.clone());
        state.on_request();
        async move {
            let answer = call::serve(node, request).await;
            Ok::<_, Infallible>(ObservedBody::observe(answer, state))
        }
    });
    let mut builder = http1::Builder::new();
    builder
        .auto_date_header(false)
        .max_buf_size(head_bytes.max(MIN_BUFFER_BYTES))
        .timer(TokioTimer::new())
        .header_read_timeout(Some(Duration::from(idle_ms)));
    let connection = builder.serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    // What has arrived is read before the connection may be closed.
    tokio::select! {
        biased;
        result = connection.as_mut() => return result,
        () = stop => {}
    }
    tokio::select! {
        biased;
        result = connection.as_mut() => return result,
        () = closable => connection.as_mut().graceful_shutdown(),
    }
    connection.await
}

/// Waits until a connection is idle and has been so for long enough that its caller isn't about to follow an answer
/// with another request. An answer that began before a planned stop didn't announce the close.
async fn wait_until_closable(stream: MeteredStream, state: Rc<ConnectionState>) {
    let is_closable = || {
        let idle_ms = state.idle_ms();
        idle_ms.is_some_and(|idle_ms| idle_ms >= NEXT_REQUEST_MS) && !stream.has_unread()
    };
    while !is_closable() {
        tokio::time::sleep(Duration::from(CLOSE_POLL_MS)).await;
    }
}

/// Waits for a planned stop, from which on answers announce the close, and then until the balancer has noticed it.
async fn wait_for_stop(node: Rc<Node>, state: Rc<ConnectionState>) {
    let mut signal = node.stop_signal();
    let plan = match signal.wait_for(Option::is_some).await {
        Ok(plan) => *plan,
        // The node was dropped, which also ends its connections.
        Err(_) => None,
    };
    state.announce_close();
    if let Some(plan) = plan {
        let wait_ms = plan.notice_end_ms().since(node.now_ms());
        tokio::time::sleep(Duration::from(wait_ms)).await;
    }
}

/// Logs the error with which a connection ended, if any.
pub(crate) fn log_connection_end(result: Result<(), hyper::Error>) {
    if let Err(error) = result {
        log::trace!("a connection ended with an error: {error}");
    }
}

/// A handler of one of the node's own pages. Returns the answer to a method and a path.
pub(crate) type Page = fn(&Rc<Node>, &Method, &str) -> (StatusCode, String);

/// Serves one of the node's own pages until the process ends.
pub async fn serve_page(node: Rc<Node>, listener: TcpListener, page: Page) {
    loop {
        let stream = accept(&listener).await;
        let node = node.clone();
        let service = service_fn(move |request: Request<hyper::body::Incoming>| {
            let (status, text) = page(&node, request.method(), request.uri().path());
            let mut answer = Response::new(Full::new(Buffer::from(text)));
            *answer.status_mut() = status;
            async move { Ok::<_, Infallible>(answer) }
        });
        spawn_local(async move {
            let mut builder = http1::Builder::new();
            builder.auto_date_header(false);
            log_connection_end(
                builder
                    .serve_connection(TokioIo::new(stream), service)
                    .await,
            );
        });
    }
}

/// Answers the balancer's readiness probe: the status is 200 if the node accepts new connections.
pub fn ready_page(node: &Rc<Node>, _: &Method, path: &str) -> (StatusCode, String) {
    let status = match (path == node.platform.dialect.ready_path(), node.is_ready()) {
        (true, true) => StatusCode::OK,
        (true, false) => StatusCode::SERVICE_UNAVAILABLE,
        (false, _) => StatusCode::NOT_FOUND,
    };
    (status, String::new())
}

/// Serves operators: the metrics, the lists of accounts and of requests in quarantine, and orders to lift a quarantine.
pub fn operators_page(node: &Rc<Node>, method: &Method, path: &str) -> (StatusCode, String) {
    if path == METRICS_PATH {
        return metrics_page(node);
    }
    if path == SHARES_PATH && method == Method::GET {
        return json_page(&shares::list(node));
    }
    let digest = path
        .strip_prefix(QUARANTINE_PATH)
        .map(|rest| rest.strip_prefix('/'));
    match (method, digest) {
        (&Method::GET, Some(None)) if path == QUARANTINE_PATH => json_page(&quarantine::list(node)),
        (&Method::DELETE, Some(Some(digest))) => lift(node, digest),
        _ => (StatusCode::NOT_FOUND, String::new()),
    }
}

/// Renders the metrics.
fn metrics_page(node: &Node) -> (StatusCode, String) {
    match node.journal.metrics().render() {
        Ok(text) => (StatusCode::OK, text),
        Err(error) => (StatusCode::INTERNAL_SERVER_ERROR, error.to_string()),
    }
}

/// Renders a list as JSON.
fn json_page(list: &impl Serialize) -> (StatusCode, String) {
    match serde_json::to_string(list) {
        Ok(text) => (StatusCode::OK, text),
        Err(error) => (StatusCode::INTERNAL_SERVER_ERROR, error.to_string()),
    }
}

/// Lifts the quarantine of the request or the part that `digest` names.
fn lift(node: &Rc<Node>, digest: &str) -> (StatusCode, String) {
    let digest: QuarantineSubject = match digest.parse() {
        Ok(digest) => digest,
        Err(error) => return (StatusCode::BAD_REQUEST, error.to_string()),
    };
    match quarantine::lift(node, digest) {
        true => (StatusCode::OK, String::new()),
        false => (StatusCode::NOT_FOUND, "it isn't in quarantine".to_owned()),
    }
}
