//! Encoding and decoding of log records.

use super::{ConfigRecord, LeaseRecord};
use bluebell_base::prelude::*;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// A type of record that one of the control streams carries.
pub trait Record: Serialize + DeserializeOwned {
    /// The values of the `record` field that this version supports.
    const KINDS: &'static [&'static str];
}

impl Record for ConfigRecord {
    const KINDS: &'static [&'static str] = &["update", "snapshot"];
}

impl Record for LeaseRecord {
    const KINDS: &'static [&'static str] = &["take", "renew", "release", "checkpoint", "reset"];
}

/// The reason why the text of a log record can't be used by this version.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DecodeError {
    /// The text is larger than the record limit. It is not parsed.
    #[error("{0} are over the record limit")]
    TooLarge(Bytes),
    /// The kind is unknown to this version; a newer version wrote the record.
    #[error("the kind {0:?} is unknown")]
    UnknownKind(Arc<str>),
    /// The text is not a record, or a field is missing or has the wrong type.
    #[error("malformed: {0}")]
    Malformed(Arc<str>),
}

#[derive(serde::Deserialize)]
struct Kind {
    record: Arc<str>,
}

/// Encodes a record.
pub fn encode<R: Record>(record: &R) -> Arc<str> {
    // The records hold only strings, integers and lists, so serialization can't fail.
    serde_json::to_string(record).unwrap_or_default().into()
}

/// Decodes a record of at most `limit_bytes`.
///
/// # Errors
/// Returns the reason for skipping the record. The reader counts skipped records by reason.
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
