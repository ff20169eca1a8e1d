//! The address at which the metrics are read.

use crate::node::{Node, accept, note_end};
use bytes::Bytes as Buffer;
use http_body_util::Full;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use std::convert::Infallible;
use std::rc::Rc;
use tokio::net::TcpListener;
use tokio::task::spawn_local;

/// Where the metrics are.
const PATH: &str = "/metrics";

/// Answers readers until the process ends.
pub async fn serve_metrics(node: Rc<Node>, listener: TcpListener) {
    loop {
        let stream = accept(&listener).await;
        let node = node.clone();
        let service = service_fn(move |request: Request<hyper::body::Incoming>| {
            let node = node.clone();
            async move { Ok::<_, Infallible>(answer(&node, request.uri().path())) }
        });
        spawn_local(async move {
            let mut builder = http1::Builder::new();
            builder.auto_date_header(false);
            note_end(
                builder
                    .serve_connection(TokioIo::new(stream), service)
                    .await,
            );
        });
    }
}

fn answer(node: &Node, path: &str) -> Response<Full<Buffer>> {
    let (status, text) = match (path, node.journal.metrics().render()) {
        (PATH, Ok(text)) => (StatusCode::OK, text),
        (PATH, Err(error)) => (StatusCode::INTERNAL_SERVER_ERROR, error.to_string()),
        _ => (StatusCode::NOT_FOUND, String::new()),
    };
    let mut answer = Response::new(Full::new(Buffer::from(text)));
    *answer.status_mut() = status;
    answer
}
