//! The signed envelope around each call and answer.
//!
//! Terms: the *MAC* is HMAC-SHA-256 under the fleet's secret, truncated to its first 128 bits, over
//! the purpose, the time, the nonce and the exact text of the body; a *nonce* is a random number
//! drawn for each call.
//!
//! Invariants: a body is decoded only after its MAC was verified in constant time; an answer's MAC
//! covers the nonce of its call, so an answer can't be passed off as the answer to another call; a
//! call is accepted at most once while its time is within the allowed clock skew.

mod replay;

pub use replay::ReplayGuard;

use crate::message::{PeerAnswer, PeerCall};
use crate::settings::FleetSecret;
use base64::Engine;
use base64::engine::general_purpose::STANDARD_NO_PAD;
use bluebell_base::prelude::*;
use hmac::{Hmac, Mac};
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;
use sha2::Sha256;

/// The length of a MAC on the wire, in bytes.
const MAC_BYTES: usize = 16;

type HmacSha256 = Hmac<Sha256>;

/// Prefixes that make the MAC of a call differ from that of an answer.
const CALL_PURPOSE: &[u8] = b"bluebellpond peer call v1";
const ANSWER_PURPOSE: &[u8] = b"bluebellpond peer answer v1";

/// The reason for refusing an envelope.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum EnvelopeError {
    /// The MAC is wrong, because of another secret or a changed envelope.
    #[error("the signature is wrong")]
    BadSignature,
    /// The call's time differs from this VM's wall clock by more than the allowed skew.
    #[error("the call's time differs too much from this VM's wall clock")]
    BadTime,
    /// The nonce was already used by an earlier call.
    #[error("the call was seen before")]
    Replayed,
}

/// A signed call as sent on the wire.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct SealedCall {
    /// The caller's wall-clock time.
    #[serde(rename = "t")]
    pub sent_ms: WallMs,
    /// The random number drawn for this call.
    #[serde(rename = "n")]
    pub nonce: u64,
    /// The MAC, in base64.
    #[serde(rename = "m")]
    pub mac: Arc<str>,
    /// The exact text of the call.
    #[serde(rename = "c")]
    pub body: Box<RawValue>,
}

/// A signed answer as sent on the wire.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct SealedAnswer {
    /// The MAC, in base64.
    #[serde(rename = "m")]
    pub mac: Arc<str>,
    /// The exact text of the answer.
    #[serde(rename = "a")]
    pub body: Box<RawValue>,
}

/// The body of an answer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Reply {
    /// The answer to the call.
    Ok(PeerAnswer),
    /// The error of the called node.
    Err(Error),
}

impl From<Result<PeerAnswer, Error>> for Reply {
    fn from(result: Result<PeerAnswer, Error>) -> Self {
        match result {
            Ok(answer) => Self::Ok(answer),
            Err(error) => Self::Err(error),
        }
    }
}

impl From<Reply> for Result<PeerAnswer, Error> {
    fn from(reply: Reply) -> Self {
        match reply {
            Reply::Ok(answer) => Ok(answer),
            Reply::Err(error) => Err(error),
        }
    }
}

impl SealedCall {
    /// Signs a call.
    pub fn seal(
        secret: &FleetSecret,
        sent_ms: WallMs,
        nonce: u64,
        call: &PeerCall,
    ) -> Result<Self, serde_json::Error> {
        let body = serde_json::value::to_raw_value(call)?;
        let mac = call_mac(secret, sent_ms, nonce, &body);
        Ok(Self {
            sent_ms,
            nonce,
            mac: encode(mac),
            body,
        })
    }

    /// Verifies the MAC, then the time and the nonce.
    pub fn verify(
        &self,
        secret: &FleetSecret,
        now_ms: WallMs,
        guard: &mut ReplayGuard,
    ) -> Result<(), EnvelopeError> {
        verify_mac(
            call_mac(secret, self.sent_ms, self.nonce, &self.body),
            &self.mac,
        )?;
        guard.take(now_ms, self.sent_ms, self.nonce)
    }
}

impl SealedAnswer {
    /// Signs an answer to the call with the given nonce.
    pub fn seal(
        secret: &FleetSecret,
        nonce: u64,
        reply: &Reply,
    ) -> Result<Self, serde_json::Error> {
        let body = serde_json::value::to_raw_value(reply)?;
        let mac = answer_mac(secret, nonce, &body);
        Ok(Self {
            mac: encode(mac),
            body,
        })
    }

    /// Verifies that this answers the call with the given nonce.
    pub fn verify(&self, secret: &FleetSecret, nonce: u64) -> Result<(), EnvelopeError> {
        verify_mac(answer_mac(secret, nonce, &self.body), &self.mac)
    }
}

fn call_mac(secret: &FleetSecret, sent_ms: WallMs, nonce: u64, body: &RawValue) -> HmacSha256 {
    let mut mac = new_mac(secret, CALL_PURPOSE);
    mac.update(&sent_ms.0.to_be_bytes());
    mac.update(&nonce.to_be_bytes());
    mac.update(body.get().as_bytes());
    mac
}

fn answer_mac(secret: &FleetSecret, nonce: u64, body: &RawValue) -> HmacSha256 {
    let mut mac = new_mac(secret, ANSWER_PURPOSE);
    mac.update(&nonce.to_be_bytes());
    mac.update(body.get().as_bytes());
    mac
}

fn new_mac(secret: &FleetSecret, purpose: &[u8]) -> HmacSha256 {
    let mut mac = HmacSha256::new_from_slice(secret.bytes()).expect("HMAC takes any key length");
    mac.update(purpose);
    mac
}

/// Verifies a MAC in constant time, so that the duration reveals nothing about the correct MAC.
fn verify_mac(mac: HmacSha256, given: &str) -> Result<(), EnvelopeError> {
    let given = STANDARD_NO_PAD
        .decode(given)
        .map_err(|_| EnvelopeError::BadSignature)?;
    // A shorter MAC would be easier to guess.
    if given.len() != MAC_BYTES {
        return Err(EnvelopeError::BadSignature);
    }
    mac.verify_truncated_left(&given)
        .map_err(|_| EnvelopeError::BadSignature)
}

fn encode(mac: HmacSha256) -> Arc<str> {
    let bytes = mac.finalize().into_bytes();
    STANDARD_NO_PAD.encode(&bytes[..MAC_BYTES]).into()
}
