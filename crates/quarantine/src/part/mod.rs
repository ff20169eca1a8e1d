//! The identity of one part of a prompt, by which requests that share the part are told apart from others.
//!
//! Callers state the parts of a prompt with every request. Only the id counts: the number of tokens is the
//! caller's claim as well, and one part may not have several identities.

use bluebell_base::prelude::*;
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use std::fmt;
use std::str::FromStr;

/// The maximum number of parts of one request that are kept. Prompts have three to five parts; a caller that
/// lists hundreds must not fill the tables of all nodes.
const MAX_PARTS: usize = 32;

/// The prefix of a part in text, which tells it apart from the digest of a request.
const PREFIX: &str = "part-";

/// The maximum number of hexadecimal digits of an id.
const MAX_DIGITS: usize = 32;

/// The id of one part of a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PartId(u128);

impl PartId {
    /// Parses an id as callers state it. Returns `None` if it isn't a hexadecimal number of at most 128 bits.
    pub fn from_hex(text: &str) -> Option<Self> {
        let is_hex = text.bytes().all(|byte| byte.is_ascii_hexdigit());
        if text.is_empty() || text.len() > MAX_DIGITS || !is_hex {
            return None;
        }
        u128::from_str_radix(text, 16).ok().map(Self)
    }

    /// Returns the id as a number.
    pub fn id(&self) -> u128 {
        self.0
    }

    /// Returns a number that differs between most parts.
    pub fn number(&self) -> u64 {
        (self.0 ^ (self.0 >> 64)) as u64
    }
}

/// Returns the parts of a prompt that other requests may share, each once, given the ids of all its parts.
/// The last part belongs to the request itself. Ids that can't be parsed are left out.
pub fn shared_parts<'a>(ids: impl IntoIterator<Item = &'a str>) -> Vec<PartId> {
    let mut ids = ids.into_iter().peekable();
    let mut parts = Vec::new();
    while let Some(id) = ids.next()
        && ids.peek().is_some()
        && parts.len() < MAX_PARTS
    {
        let part = PartId::from_hex(id);
        parts.extend(part.filter(|part| !parts.contains(part)));
    }
    parts
}

impl fmt::Display for PartId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{PREFIX}{:x}", self.0)
    }
}

/// The error for a text that isn't a part.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("a part of a prompt is written {PREFIX} and a hexadecimal number of at most 128 bits")]
pub struct PartError;

impl FromStr for PartId {
    type Err = PartError;

    fn from_str(text: &str) -> Result<Self, PartError> {
        let id = text.strip_prefix(PREFIX).ok_or(PartError)?;
        Self::from_hex(id).ok_or(PartError)
    }
}

impl Serialize for PartId {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        match serializer.is_human_readable() {
            true => serializer.collect_str(self),
            false => self.0.serialize(serializer),
        }
    }
}

impl<'de> Deserialize<'de> for PartId {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        if !deserializer.is_human_readable() {
            return Ok(Self(Deserialize::deserialize(deserializer)?));
        }
        let text = Arc::<str>::deserialize(deserializer)?;
        text.parse().map_err(serde::de::Error::custom)
    }
}
