//! Cursors: signed texts with which a caller resumes reading an answer through any node of the
//! fleet.
//!
//! Terms: a cursor contains the stream (request, attempt, engine), the last event received and the
//! account. The *signature* is a truncated HMAC-SHA256 under the fleet's shared secret.
//!
//! Invariants: a cursor is accepted only if its signature is valid, so a caller can neither read
//! another account's stream nor make a node resume a stream that the fleet never issued.

use base64::Engine as _;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use bluebell_base::prelude::*;
use hmac::{Hmac, Mac};
use serde::{Deserialize, Serialize};
use sha2::Sha256;

/// The length of the truncated signature.
const SIGNATURE_BYTES: usize = 16;

/// The longest cursor text that is decoded, in bytes.
const MAX_CURSOR_BYTES: usize = 1024;

/// The content of a cursor.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cursor {
    /// The request.
    #[serde(rename = "r")]
    pub request: RequestId,
    /// The attempt that the stream belongs to.
    #[serde(rename = "t")]
    pub attempt: AttemptNo,
    /// The engine that runs it.
    #[serde(rename = "u")]
    pub upstream: UpstreamName,
    /// The last event received.
    #[serde(rename = "e")]
    pub seq: EventSeq,
    /// The account that owns the request.
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
        // The key must not appear in a log or dump.
        f.write_str("Signer")
    }
}

impl Signer {
    /// Creates a signer from the fleet's secret.
    pub fn new(secret: &[u8]) -> Self {
        let mac = Hmac::new_from_slice(secret).expect("HMAC takes keys of any length");
        Self { mac }
    }

    /// Returns the cursor as the text sent to a caller.
    pub fn sign(&self, cursor: &Cursor) -> Arc<str> {
        let body = serde_json::to_vec(cursor).expect("a cursor is plain data");
        let signature = self.signature(&body);
        let mut text = URL_SAFE_NO_PAD.encode(&body);
        text.push('.');
        URL_SAFE_NO_PAD.encode_string(&signature[..SIGNATURE_BYTES], &mut text);
        text.into()
    }

    /// Returns the cursor of a text if the fleet signed it.
    pub fn verify(&self, text: &str) -> Option<Cursor> {
        if text.len() > MAX_CURSOR_BYTES {
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
        // Compares in constant time, so that a forger learns nothing from the duration.
        mac.verify_truncated_left(&signature).ok()?;
        serde_json::from_slice(&body).ok()
    }

    fn signature(&self, body: &[u8]) -> [u8; 32] {
        let mut mac = self.mac.clone();
        mac.update(body);
        mac.finalize().into_bytes().into()
    }
}
