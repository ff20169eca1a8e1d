//! Serves the connections of peers: copies of state and configuration, and forwarded requests.

use crate::call::{Answer, FrontBody};
use crate::copies;
use crate::forward::{self, HopHead};
use crate::http::Reader;
use crate::node::{Node, accept, log_connection_end};
use bluebell_base::prelude::*;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::task::spawn_local;

/// The time within which a connection must receive a complete request head. A peer that was cut off
/// never closes its connection.
const HEADER_TIMEOUT_MS: SpanMs = SpanMs(5_000);

/// Serves peers until the process ends.
pub async fn serve_peers(node: Rc<Node>, listener: TcpListener) {
    loop {
        let stream = accept(&listener).await;
        let node = node.clone();
        let reader = Reader::open(node.held.clone());
        let reading = reader.clone();
        let service = service_fn(move |request| {
            let (node, reading) = (node.clone(), reading.clone());
            async move {
                let answer = answer(&node, request).await;
                reading.begin(answer.body().holding());
                Ok::<_, Infallible>(answer)
            }
        });
        spawn_local(async move {
            let mut builder = http1::Builder::new();
            builder
                .auto_date_header(false)
                .timer(TokioTimer::new())
                .header_read_timeout(Some(Duration::from(HEADER_TIMEOUT_MS)));
            let connection = builder.serve_connection(TokioIo::new(stream), service);
            tokio::select! {
                result = connection => log_connection_end(result),
                () = reader.closed() => log::debug!("a peer reads too slowly"),
            }
        });
    }
}

/// Answers a request of a peer.
async fn answer(node: &Rc<Node>, mut request: Request<Incoming>) -> Answer {
    match HopHead::take(request.headers_mut()) {
        Ok(Some(head)) => forward::answer(node, request, head).await,
        Ok(None) => {
            let copy = copies::answer(node, &request).await;
            copy.map(|body| FrontBody::Whole(Some(body)))
        }
        Err(error) => {
            log::warn!("a peer's request was rejected: {error}");
            let mut answer = Response::new(FrontBody::Whole(None));
            *answer.status_mut() = StatusCode::BAD_REQUEST;
            answer
        }
    }
}
