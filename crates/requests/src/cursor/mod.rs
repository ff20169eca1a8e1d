//! Cursors: signed texts by which a caller reads an answer on, through any node of the fleet.
//!
//! Terms: a cursor names the stream (request, attempt, engine), the last event seen and the
//! account; the *signature* is a truncated HMAC-SHA256 under the fleet's shared secret.
//!
//! Invariants: a cursor is believed only where its signature fits, so a caller can neither read
//! another account's stream nor make a node resume a stream that the fleet never handed out.

use base64::Engine as _;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use bluebell_base::prelude::*;
use hmac::{Hmac, Mac};
use serde::{Deserialize, Serialize};
use sha2::Sha256;

/// Bytes of the signature that are kept.
const SIGNATURE_BYTES: usize = 16;

/// The longest cursor text looked at.
const CURSOR_CHARS: usize = 1024;

/// What a cursor says.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cursor {
    /// The request.
    #[serde(rename = "r")]
    pub request: RequestId,
    /// The attempt whose stream it is.
    #[serde(rename = "t")]
    pub attempt: AttemptNo,
    /// The engine that runs it.
    #[serde(rename = "u")]
    pub upstream: UpstreamName,
    /// The last event seen.
    #[serde(rename = "e")]
    pub seq: EventSeq,
    /// Whose it is.
    #[serde(rename = "a")]
    pub account: AccountName,
}

/// Signs and verifies cursors.
#[derive(Clone)]
pub struct Signer {
    mac: Hmac<Sha256>,
}

impl std::fmt::Debug for Signer {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        // The key never goes into a log or dump.
        f.write_str("Signer")
    }
}

impl Signer {
    /// Makes a signer from the fleet's secret.
    pub fn new(secret: &[u8]) -> Self {
        let mac = Hmac::new_from_slice(secret).expect("HMAC takes keys of any length");
        Self { mac }
    }

    /// The cursor as a caller gets it.
    pub fn sign(&self, cursor: &Cursor) -> Arc<str> {
        let body = serde_json::to_vec(cursor).expect("a cursor is plain data");
        let signature = self.signature(&body);
        let mut text = URL_SAFE_NO_PAD.encode(&body);
        text.push('.');
        URL_SAFE_NO_PAD.encode_string(&signature[..SIGNATURE_BYTES], &mut text);
        text.into()
    }

    /// The cursor that a caller gave back, where it is one of the fleet's.
    pub fn verify(&self, text: &str) -> Option<Cursor> {
        if text.len() > CURSOR_CHARS {
            return None;
        }
        let (body, signature) = text.split_once('.')?;
        let body = URL_SAFE_NO_PAD.decode(body).ok()?;
        let signature = URL_SAFE_NO_PAD.decode(signature).ok()?;
        if signature.len() != SIGNATURE_BYTES {
            return None;
        }
        let mut mac = self.mac.clone();
        mac.update(&body);
        // Compares in constant time, so that a forger learns nothing from the time it takes.
        mac.verify_truncated_left(&signature).ok()?;
        serde_json::from_slice(&body).ok()
    }

    fn signature(&self, body: &[u8]) -> [u8; 32] {
        let mut mac = self.mac.clone();
        mac.update(body);
        mac.finalize().into_bytes().into()
    }
}
