//! Handing out copies.

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

/// Where copies are asked for; the version that the asker holds follows.
pub(super) const PATH: &str = "/config/";

/// How long a connection may be open without a whole request: a peer that was cut off closes none.
const HEADER_MS: SpanMs = SpanMs(5_000);

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
                .header_read_timeout(Some(Duration::from(HEADER_MS)));
            let connection = builder.serve_connection(TokioIo::new(stream), service);
            log_connection_end(connection.await);
        });
    }
}

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

/// The copy of a version that is newer than `held`; none where there is none soon.
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
    in_time.ok().and_then(|()| node.copies.packed())
}
