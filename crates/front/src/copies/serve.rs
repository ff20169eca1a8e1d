//! Serves copies of the configuration and of this node's state to peers.

use super::{
    COMPRESSION_LEVEL, EncodedState, HOLD_MS, MAX_STATE_COPIES, NodeState, STATE_REUSE_MS,
    introduction,
};
use crate::node::Node;
use crate::platform::{Cursor, Era};
use bluebell_base::prelude::*;
use bytes::Bytes as Buffer;
use hyper::{Request, Response, StatusCode};
use rand::seq::SliceRandom;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// The path prefix of copies. The version that the requesting node holds follows it.
pub(super) const PATH: &str = "/config/";

/// The path prefix of states. The position up to which the requesting node knows the replica list
/// follows it, as an era and an offset.
pub(super) const STATE_PATH: &str = "/state/";

/// The maximum number of other nodes that a busy node names.
const NAMED_SOURCES: usize = 6;

/// Answers a request for a copy: 200 with the copy, or 204 if there is nothing to copy in time.
pub async fn answer<B>(node: &Rc<Node>, request: &Request<B>) -> Response<Buffer> {
    let path = request.uri().path();
    if let Some(known) = path.strip_prefix(STATE_PATH) {
        let requester = request.uri().query().and_then(introduction::read);
        if let Some(requester) = requester {
            crate::gossip::on_introduced(node, &requester);
        }
        return state_answer(node, parse_cursor(known)).await;
    }
    let held = path.strip_prefix(PATH);
    let held = held.and_then(|held| held.parse::<u64>().ok());
    let (status, copy) = match held {
        None => (StatusCode::NOT_FOUND, None),
        Some(held) => match newer_than(node, ConfigVersion(held)).await {
            Some(copy) => (StatusCode::OK, Some(copy)),
            None => (StatusCode::NO_CONTENT, None),
        },
    };
    let mut answer = Response::new(copy.unwrap_or_default());
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

/// Parses the era and the offset in the path of a state. Returns `None` if there are none.
fn parse_cursor(text: &str) -> Option<Cursor> {
    let (era, offset) = text.split_once('/')?;
    Some(Cursor {
        era: Era(era.parse().ok()?),
        offset: offset.parse().ok()?,
    })
}

/// Answers a request for the state: 200 with the state, 204 if this node has none in time, or 503 with the
/// addresses of other nodes if it is already serving as many as it can.
async fn state_answer(node: &Node, known: Option<Cursor>) -> Response<Buffer> {
    let initialized = node.wait_until_initialized();
    let in_time = tokio::time::timeout(Duration::from(HOLD_MS), initialized).await;
    if in_time.is_err() {
        return with_status(StatusCode::NO_CONTENT, Buffer::new());
    }
    let Some(serving) = Serving::begin(node) else {
        let sources =
            postcard::to_allocvec(&other_sources(node)).expect("addresses can be encoded");
        return with_status(StatusCode::SERVICE_UNAVAILABLE, sources.into());
    };
    let state = encoded_state(node, known);
    // The link is busy for about this long, which the server can't observe.
    tokio::time::sleep(Duration::from(SENDING_MS)).await;
    drop(serving);
    with_status(StatusCode::OK, state)
}

/// The time for which a copy counts as being served.
const SENDING_MS: SpanMs = SpanMs(20);

fn with_status(status: StatusCode, body: Buffer) -> Response<Buffer> {
    let mut answer = Response::new(body);
    *answer.status_mut() = status;
    answer
}

/// Counts a copy of the state that is being served.
struct Serving<'a>(&'a Node);

impl<'a> Serving<'a> {
    /// Returns `None` if as many copies are being served as may be.
    fn begin(node: &'a Node) -> Option<Self> {
        let serving = &node.copies.serving;
        if serving.get() >= MAX_STATE_COPIES {
            return None;
        }
        serving.set(serving.get() + 1);
        Some(Self(node))
    }
}

impl Drop for Serving<'_> {
    fn drop(&mut self) {
        let serving = &self.0.copies.serving;
        serving.set(serving.get().saturating_sub(1));
    }
}

/// Returns the addresses of some live peers that have a configuration.
fn other_sources(node: &Node) -> Vec<SocketAddr> {
    let mut holders = node.outbox.config_holders(ConfigVersion(0));
    holders.shuffle(&mut rand::rng());
    let addresses = holders
        .into_iter()
        .filter_map(|p| node.outbox.address_of(p));
    addresses.take(NAMED_SOURCES).collect()
}

/// Returns this node's state, compressed, for a node that knows the replica list up to `known`.
fn encoded_state(node: &Node, known: Option<Cursor>) -> Buffer {
    let now_ms = node.now_ms();
    let with_replicas = known < node.directory_watch.cursor();
    let mut cached = node.copies.states[usize::from(with_replicas)].borrow_mut();
    if let Some(state) = &*cached
        && now_ms.since(state.at_ms) < STATE_REUSE_MS
    {
        return state.compressed.clone();
    }
    let bytes = NodeState::of(node, with_replicas).encode();
    let compressed = miniz_oxide::deflate::compress_to_vec_zlib(&bytes, COMPRESSION_LEVEL);
    let compressed = Buffer::from(compressed);
    *cached = Some(EncodedState {
        at_ms: now_ms,
        compressed: compressed.clone(),
    });
    compressed
}
