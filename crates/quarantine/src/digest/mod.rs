//! The digest that identifies all arrivals of the same request.
//!
//! Two arrivals are the same request if account, method, host, path with query, and body are equal. Other
//! headers don't count: ids, deadlines and the lengths that callers estimate differ between arrivals.

use bluebell_base::prelude::*;
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use sha2::{Digest, Sha256};
use std::fmt;
use std::str::FromStr;

/// The length of a digest's hash in bytes. With 128 bits of a hash without known preimage attacks, a
/// caller can't get another caller's request refused.
const HASH_BYTES: usize = 16;

/// The number of hexadecimal digits of a hash.
const HASH_DIGITS: usize = HASH_BYTES * 2;

/// The parts of a request that make two arrivals the same request.
#[derive(Clone, Copy, Debug)]
pub struct RequestParts<'a> {
    /// The caller's account, or an empty string if the route needs none.
    pub account: &'a str,
    /// The HTTP method.
    pub method: &'a str,
    /// The host that the caller named; its case doesn't matter.
    pub host: &'a str,
    /// The path with the query.
    pub target: &'a str,
    /// The whole body of the request.
    pub body: &'a [u8],
}

/// The identity of all arrivals of one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestDigest {
    /// The length of the body. It tells most different requests apart without hashing.
    body_bytes: u32,
    hash: [u8; HASH_BYTES],
}

impl RequestDigest {
    /// Returns the digest of a request. A megabyte of body costs two milliseconds of a core
    /// (`examples/digest_cost`).
    pub fn of(parts: &RequestParts<'_>) -> Self {
        let host = parts.host.to_ascii_lowercase();
        let fields = [parts.account, parts.method, &host, parts.target];
        let mut hasher = Sha256::new();
        for field in fields {
            // The length before each field keeps two different splits of the same bytes apart.
            hasher.update((field.len() as u64).to_be_bytes());
            hasher.update(field.as_bytes());
        }
        hasher.update(parts.body);
        let whole = hasher.finalize();
        let mut hash = [0; HASH_BYTES];
        hash.copy_from_slice(&whole[..HASH_BYTES]);
        Self {
            body_bytes: Self::length_of(parts.body),
            hash,
        }
    }

    /// Returns true if the digest may be that of a request with this body, by its length alone.
    pub fn may_be_of(&self, body: &[u8]) -> bool {
        self.body_bytes == Self::length_of(body)
    }

    /// Returns the first 64 bits of the hash, a number that differs between digests.
    pub fn number(&self) -> u64 {
        let (number, _) = self.hash.split_first_chunk().expect("a hash is longer");
        u64::from_be_bytes(*number)
    }

    fn length_of(body: &[u8]) -> u32 {
        u32::try_from(body.len()).unwrap_or(u32::MAX)
    }
}

impl fmt::Display for RequestDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let number = u128::from_be_bytes(self.hash);
        write!(f, "{number:032x}-{}", self.body_bytes)
    }
}

/// The error for a text that isn't a digest.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("a request's digest has 32 hexadecimal digits, a dash and its body's length in bytes")]
pub struct DigestError;

impl FromStr for RequestDigest {
    type Err = DigestError;

    fn from_str(text: &str) -> Result<Self, DigestError> {
        let (hash, length) = text.split_once('-').ok_or(DigestError)?;
        let is_hash = hash.len() == HASH_DIGITS && hash.bytes().all(|b| b.is_ascii_hexdigit());
        let is_length = length.bytes().all(|b| b.is_ascii_digit());
        if !is_hash || !is_length {
            return Err(DigestError);
        }
        let number = u128::from_str_radix(hash, 16).map_err(|_| DigestError)?;
        Ok(Self {
            body_bytes: length.parse().map_err(|_| DigestError)?,
            hash: number.to_be_bytes(),
        })
    }
}

impl Serialize for RequestDigest {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        match serializer.is_human_readable() {
            true => serializer.collect_str(self),
            false => (self.body_bytes, self.hash).serialize(serializer),
        }
    }
}

impl<'de> Deserialize<'de> for RequestDigest {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        if !deserializer.is_human_readable() {
            let (body_bytes, hash) = Deserialize::deserialize(deserializer)?;
            return Ok(Self { body_bytes, hash });
        }
        let text = Arc::<str>::deserialize(deserializer)?;
        text.parse().map_err(serde::de::Error::custom)
    }
}
