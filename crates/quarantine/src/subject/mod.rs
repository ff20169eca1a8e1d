//! The subjects of quarantines: requests, and parts of prompts.

use crate::digest::RequestDigest;
use crate::part::PartId;
use bluebell_base::prelude::*;
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use std::fmt;
use std::str::FromStr;

/// A request or a part of prompts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum QuarantineSubject {
    /// All arrivals of one request.
    Request(RequestDigest),
    /// All requests whose prompts have one part.
    Part(PartId),
}

impl QuarantineSubject {
    /// Returns the kind's name in metrics.
    pub fn kind(&self) -> &'static str {
        match self {
            Self::Request(_) => "request",
            Self::Part(_) => "part",
        }
    }

    /// Returns a number that differs between most subjects.
    pub fn number(&self) -> u64 {
        match self {
            Self::Request(digest) => digest.number(),
            Self::Part(part) => part.number(),
        }
    }
}

impl From<RequestDigest> for QuarantineSubject {
    fn from(digest: RequestDigest) -> Self {
        Self::Request(digest)
    }
}

impl From<PartId> for QuarantineSubject {
    fn from(part: PartId) -> Self {
        Self::Part(part)
    }
}

impl fmt::Display for QuarantineSubject {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Request(digest) => digest.fmt(f),
            Self::Part(part) => part.fmt(f),
        }
    }
}

/// The error for a text that is neither a request's digest nor a part.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error(
    "a request's digest has 32 hexadecimal digits, a dash and its body's length in bytes; a part of prompts is \
     written part- and its hexadecimal id"
)]
pub struct SubjectError;

impl FromStr for QuarantineSubject {
    type Err = SubjectError;

    fn from_str(text: &str) -> Result<Self, SubjectError> {
        let digest = text.parse().map(Self::Request);
        digest.or_else(|_| text.parse().map(Self::Part).map_err(|_| SubjectError))
    }
}

impl Serialize for QuarantineSubject {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}

impl<'de> Deserialize<'de> for QuarantineSubject {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = Arc::<str>::deserialize(deserializer)?;
        text.parse().map_err(serde::de::Error::custom)
    }
}
