//! Serves copies of the configuration to peers.

use super::HOLD_MS;
use crate::node::{Node, accept, log_connection_end};
use bluebell_base::prelude::*;
use bytes::Bytes as Buffer;
use http_body_util::Full;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::task::spawn_local;

/// The path prefix of copies. The version that the requesting node holds follows it.
pub(super) const PATH: &str = "/config/";

/// The time within which a connection must receive a complete request head. A peer that was cut off
/// never closes its connection.
const HEADER_TIMEOUT_MS: SpanMs = SpanMs(5_000);

/// Serves copies to peers until the process ends.
pub async fn serve_copies(node: Rc<Node>, listener: TcpListener) {
    loop {
        let stream = accept(&listener).await;
        let node = node.clone();
        let service = service_fn(move |request| {
            let node = node.clone();
            async move { Ok::<_, Infallible>(answer(&node, &request).await) }
        });
        spawn_local(async move {
            let mut builder = http1::Builder::new();
            builder
                .auto_date_header(false)
                .timer(TokioTimer::new())
                .header_read_timeout(Some(Duration::from(HEADER_TIMEOUT_MS)));
            let connection = builder.serve_connection(TokioIo::new(stream), service);
            log_connection_end(connection.await);
        });
    }
}

/// Answers a request for a copy: 200 with the copy, or 204 if there is no newer version in time.
async fn answer<B>(node: &Node, request: &Request<B>) -> Response<Full<Buffer>> {
    let path = request.uri().path().strip_prefix(PATH);
    let held = path.and_then(|held| held.parse::<u64>().ok());
    let (status, copy) = match held {
        None => (StatusCode::NOT_FOUND, None),
        Some(held) => match newer_than(node, ConfigVersion(held)).await {
            Some(copy) => (StatusCode::OK, Some(copy)),
            None => (StatusCode::NO_CONTENT, None),
        },
    };
    let mut answer = Response::new(Full::new(copy.unwrap_or_default()));
    *answer.status_mut() = status;
    answer
}

/// Waits for a version newer than `held` and returns its copy. Returns `None` if there is none within
/// [`HOLD_MS`] or it can't be copied.
async fn newer_than(node: &Node, held: ConfigVersion) -> Option<Buffer> {
    let has_newer = || node.config_version() > Some(held);
    let newer = async {
        loop {
            let data_changed = node.directory_watch.data_changed.notified();
            if has_newer() {
                return;
            }
            data_changed.await;
        }
    };
    let in_time = tokio::time::timeout(Duration::from(HOLD_MS), newer).await;
    in_time.ok().and_then(|()| node.copies.compressed())
}
