//! Fetches a copy of the configuration from a peer.

use super::serve::PATH;
use super::{HOLD_MS, MAX_TEXT_BYTES};
use crate::http::{Freshness, SendError};
use crate::node::Node;
use crate::platform::DirectoryError;
use bluebell_base::prelude::*;
use bluebell_fleet::prelude::*;
use bytes::{Bytes as Buffer, BytesMut};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::header::HOST;
use hyper::{Request, StatusCode};
use std::net::SocketAddr;
use std::time::Duration;

/// The time for which a peer may be silent, beyond the time for which it may hold an answer back.
const SILENT_MS: SpanMs = SpanMs(400);

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
    /// The text isn't a valid configuration.
    #[error(transparent)]
    Text(#[from] DirectoryError),
}

/// Requests a version newer than `held` from the peer at `address`. Returns the configuration, and its
/// copy to serve to other peers.
pub async fn fetch(
    node: &Node,
    address: SocketAddr,
    held: ConfigVersion,
) -> Result<(ServingConfig, ConfigCopy), CopyError> {
    let mut link = node.pool.lease(address, Freshness::New).await?;
    let sending = link.send(request(address, held));
    let answer = within(HOLD_MS + SILENT_MS, sending).await??;
    if answer.status() != StatusCode::OK {
        return Err(CopyError::Status(answer.status().as_u16()));
    }
    let compressed = read(answer.into_body()).await?;
    let text = miniz_oxide::inflate::decompress_to_vec_zlib_with_limit(&compressed, MAX_TEXT_BYTES);
    let text = text.map_err(|error| CopyError::Compression(error.to_string().into()))?;
    let config = node.platform.dialect.config(&text)?;
    Ok((config, ConfigCopy(compressed)))
}

fn request(address: SocketAddr, held: ConfigVersion) -> Request<Full<Buffer>> {
    Request::builder()
        .uri(format!("{PATH}{}", held.0))
        .header(HOST, address.to_string())
        .body(Full::default())
        .expect("the parts of a request are valid")
}

/// Reads the body of a copy. Fails if no data arrives for [`SILENT_MS`].
async fn read(body: Incoming) -> Result<Buffer, CopyError> {
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
