//! Which arrivals are the same request.
//!
//! Two arrivals are the same request where account, method, host, path with query, and body are.
//! Other headers don't count: ids, deadlines and the lengths that callers guess differ from arrival
//! to arrival.

use bluebell_base::prelude::*;
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use sha2::{Digest, Sha256};
use std::fmt;
use std::str::FromStr;

/// The bytes of a digest. With 128 bits of a hash for which nobody knows how to make two inputs meet,
/// a caller can't get another's request refused.
const DIGEST_BYTES: usize = 16;

/// What makes two arrivals the same request.
#[derive(Clone, Copy, Debug)]
pub struct RequestParts<'a> {
    /// The caller's account; empty where the route needs none.
    pub account: &'a str,
    /// The method.
    pub method: &'a str,
    /// The host that the caller asked for; its case doesn't matter.
    pub host: &'a str,
    /// Path and query.
    pub target: &'a str,
    /// The whole body.
    pub body: &'a [u8],
}

/// Stands for all arrivals of one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestDigest([u8; DIGEST_BYTES]);

impl RequestDigest {
    /// The digest of a request. Costs about a millisecond of a core for a megabyte of body.
    pub fn of(parts: &RequestParts<'_>) -> Self {
        let host = parts.host.to_ascii_lowercase();
        let fields = [parts.account, parts.method, &host, parts.target];
        let mut hasher = Sha256::new();
        for field in fields {
            // With its length in front of it no field can pass for the end of the one before.
            hasher.update((field.len() as u64).to_be_bytes());
            hasher.update(field.as_bytes());
        }
        hasher.update(parts.body);
        let hash = hasher.finalize();
        let mut bytes = [0; DIGEST_BYTES];
        bytes.copy_from_slice(&hash[..DIGEST_BYTES]);
        Self(bytes)
    }
}

impl fmt::Display for RequestDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let number = u128::from_be_bytes(self.0);
        write!(f, "{number:032x}")
    }
}

/// A text that isn't a digest.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("a request's digest has 32 hexadecimal digits")]
pub struct DigestError;

impl FromStr for RequestDigest {
    type Err = DigestError;

    fn from_str(text: &str) -> Result<Self, DigestError> {
        let digits = text.bytes().all(|byte| byte.is_ascii_hexdigit());
        if !digits || text.len() != DIGEST_BYTES * 2 {
            return Err(DigestError);
        }
        let number = u128::from_str_radix(text, 16).map_err(|_| DigestError)?;
        Ok(Self(number.to_be_bytes()))
    }
}

impl Serialize for RequestDigest {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        match serializer.is_human_readable() {
            true => serializer.collect_str(self),
            false => self.0.serialize(serializer),
        }
    }
}

impl<'de> Deserialize<'de> for RequestDigest {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        if !deserializer.is_human_readable() {
            return <[u8; DIGEST_BYTES]>::deserialize(deserializer).map(Self);
        }
        let text = Arc::<str>::deserialize(deserializer)?;
        text.parse().map_err(serde::de::Error::custom)
    }
}
