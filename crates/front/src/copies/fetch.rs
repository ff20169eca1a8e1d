//! Fetches copies from a peer.

use super::serve::{PATH, STATE_PATH};
use super::{HOLD_MS, MAX_TEXT_BYTES, NodeState, introduction};
use crate::http::{AnswerBody, Freshness, IncomingAnswer, Link, SendError};
use crate::node::Node;
use crate::platform::DirectoryError;
use bluebell_base::prelude::*;
use bluebell_fleet::prelude::*;
use bytes::{Bytes as Buffer, BytesMut};
use http_body_util::{BodyExt, Full, Limited};
use hyper::header::HOST;
use hyper::{Request, StatusCode};
use std::net::SocketAddr;
use std::time::Duration;

/// The time for which a peer may be silent, beyond the time for which it may hold an answer back.
const SILENT_MS: SpanMs = SpanMs(400);

/// The time within which a whole copy is read. A body that trickles would never be silent.
const READ_TIMEOUT_MS: SpanMs = SpanMs(3_000);

/// The compressed text of one version.
#[derive(Clone, Debug)]
pub struct ConfigCopy(pub(super) Buffer);

/// An error of fetching a copy from a peer.
#[derive(Debug, thiserror::Error)]
pub enum CopyError {
    /// The connection failed.
    #[error(transparent)]
    Send(#[from] SendError),
    /// The peer sent nothing in time.
    #[error("the peer is silent")]
    Silent,
    /// The peer has no newer version, or can't provide it.
    #[error("the peer answered with status {0}")]
    Status(u16),
    /// The connection broke during the answer.
    #[error("the copy broke off: {0}")]
    Broken(Arc<str>),
    /// The copy can't be decompressed.
    #[error("the copy can't be unpacked: {0}")]
    Compression(Arc<str>),
    /// The state can't be decoded.
    #[error("the state can't be read: {0}")]
    State(Arc<str>),
    /// The text isn't a valid configuration.
    #[error(transparent)]
    Text(#[from] DirectoryError),
}

impl CopyError {
    /// Returns true if the peer answered the request.
    pub fn is_from_peer(&self) -> bool {
        matches!(self, Self::Status(_))
    }
}

/// The answer of a peer that was asked for its state.
#[derive(Clone, Debug)]
pub enum StateReply {
    /// The peer's state.
    State(NodeState),
    /// The peer serves as many copies as it can. These nodes may provide one.
    Busy(Vec<SocketAddr>),
}

/// Requests the state of the peer at `address`, and introduces this node to it.
pub async fn fetch_state(node: &Node, address: SocketAddr) -> Result<StateReply, CopyError> {
    let known = node.directory_watch.cursor();
    let path = match known {
        Some(cursor) => format!("{STATE_PATH}{}/{}", cursor.era.0, cursor.offset),
        None => STATE_PATH.to_owned(),
    };
    // Older releases ignore the query.
    let path = format!("{path}?{}", introduction::query(node));
    let (answer, _link) = exchange(node, address, &path).await?;
    let status = answer.status();
    if status != StatusCode::OK && status != StatusCode::SERVICE_UNAVAILABLE {
        return Err(CopyError::Status(status.as_u16()));
    }
    let body = read(answer.into_body()).await?;
    if status == StatusCode::SERVICE_UNAVAILABLE {
        let others = postcard::from_bytes(&body);
        return others
            .map(StateReply::Busy)
            .map_err(|error| malformed(&error));
    }
    let bytes = decompress(&body)?;
    let state = NodeState::decode(&bytes).ok_or_else(|| malformed(&"another format version"))?;
    Ok(StateReply::State(state))
}

/// Requests a version newer than `held` from the peer at `address`. Returns the configuration, and its
/// copy to serve to other peers.
pub async fn fetch(
    node: &Node,
    address: SocketAddr,
    held: ConfigVersion,
) -> Result<(ServingConfig, ConfigCopy), CopyError> {
    let (answer, _link) = exchange(node, address, &format!("{PATH}{}", held.0)).await?;
    if answer.status() != StatusCode::OK {
        return Err(CopyError::Status(answer.status().as_u16()));
    }
    let compressed = read(answer.into_body()).await?;
    let text = decompress(&compressed)?;
    let config = node.platform.dialect.config(&text)?;
    Ok((config, ConfigCopy(compressed)))
}

/// Sends a request to the peer at `address`. Returns the answer with its connection, which must be kept
/// until the body is read.
async fn exchange(
    node: &Node,
    address: SocketAddr,
    path: &str,
) -> Result<(IncomingAnswer, Link), CopyError> {
    let mut link = node.pool.lease(address, Freshness::New).await?;
    let sending = link.send(request(address, path));
    let answer = within(HOLD_MS + SILENT_MS, sending).await??;
    Ok((answer, link))
}

fn decompress(compressed: &[u8]) -> Result<Vec<u8>, CopyError> {
    let bytes = miniz_oxide::inflate::decompress_to_vec_zlib_with_limit(compressed, MAX_TEXT_BYTES);
    bytes.map_err(|error| CopyError::Compression(error.to_string().into()))
}

fn malformed(error: &dyn std::fmt::Display) -> CopyError {
    CopyError::State(error.to_string().into())
}

fn request(address: SocketAddr, path: &str) -> Request<Full<Buffer>> {
    Request::builder()
        .uri(path)
        .header(HOST, address.to_string())
        .body(Full::default())
        .expect("the parts of a request are valid")
}

/// Reads the body of a copy within [`READ_TIMEOUT_MS`].
async fn read(body: AnswerBody) -> Result<Buffer, CopyError> {
    within(READ_TIMEOUT_MS, read_pieces(body)).await?
}

/// Reads the body of a copy. Fails if no data arrives for [`SILENT_MS`].
async fn read_pieces(body: AnswerBody) -> Result<Buffer, CopyError> {
    let mut body = Limited::new(body, MAX_TEXT_BYTES);
    let mut whole = BytesMut::new();
    while let Some(frame) = within(SILENT_MS, body.frame()).await? {
        let frame = frame.map_err(|error| CopyError::Broken(error.to_string().into()))?;
        if let Ok(data) = frame.into_data() {
            whole.extend_from_slice(&data);
        }
    }
    Ok(whole.freeze())
}

/// Runs `part` with a time limit.
async fn within<T>(limit_ms: SpanMs, part: impl Future<Output = T>) -> Result<T, CopyError> {
    let result = tokio::time::timeout(Duration::from(limit_ms), part).await;
    result.map_err(|_| CopyError::Silent)
}
