//! Text to record and back.

use super::{ConfigRecord, LeaseRecord};
use bluebell_base::prelude::*;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// A kind of record that stands in one of the control streams.
pub trait Record: Serialize + DeserializeOwned {
    /// The values of the `record` field that this version knows.
    const KINDS: &'static [&'static str];
}

impl Record for ConfigRecord {
    const KINDS: &'static [&'static str] = &["update", "snapshot"];
}

impl Record for LeaseRecord {
    const KINDS: &'static [&'static str] = &["take", "renew", "release", "checkpoint", "reset"];
}

/// Why a log record's text is not a record that this version can use.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DecodeError {
    /// Its text is over the record limit; it is not even parsed.
    #[error("{0} are over the record limit")]
    TooLarge(Bytes),
    /// A kind this version does not know; a newer version's.
    #[error("the kind {0:?} is unknown")]
    UnknownKind(Arc<str>),
    /// No record at all, or one with a field missing or of the wrong shape.
    #[error("malformed: {0}")]
    Malformed(Arc<str>),
}

#[derive(serde::Deserialize)]
struct Kind {
    record: Arc<str>,
}

/// Encodes a record.
pub fn encode<R: Record>(record: &R) -> Arc<str> {
    // The records hold only strings, integers and lists, which serde_json can't fail on.
    serde_json::to_string(record).unwrap_or_default().into()
}

/// Decodes a record of at most `limit_bytes`.
///
/// # Errors
/// The reason for which the record is skipped; each is counted by the reader.
pub fn decode<R: Record>(text: &str, limit_bytes: Bytes) -> Result<R, DecodeError> {
    let size_bytes = Bytes(text.len() as u64);
    if size_bytes > limit_bytes {
        return Err(DecodeError::TooLarge(size_bytes));
    }
    let malformed = |error: serde_json::Error| DecodeError::Malformed(error.to_string().into());
    let kind: Kind = serde_json::from_str(text).map_err(malformed)?;
    if !R::KINDS.contains(&&*kind.record) {
        return Err(DecodeError::UnknownKind(kind.record));
    }
    serde_json::from_str(text).map_err(malformed)
}
