//! The records of the directory stream, as typed JSON.
//!
//! Unknown fields are ignored and unknown kinds skipped, as a newer version may write them.

use crate::listing::ListChange;
use bluebell_base::prelude::*;
use bluebell_platform::VmEntry;
use serde::{Deserialize, Serialize};

/// What of a record's size limit the entries of one full record may take, the rest being left to
/// its other fields.
const ENTRIES_SHARE: f64 = 0.75;

/// A record of the directory stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "record", rename_all = "snake_case")]
pub enum DirectoryRecord {
    /// Changes, or none.
    Beat(Beat),
    /// A part of the whole list.
    Full(FullPart),
}

/// What changed since the writer's last record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Beat {
    /// The writing.
    pub op: OperationId,
    /// The writer's fencing number.
    pub fencing: Fencing,
    /// The changes.
    pub changes: Vec<ListChange>,
    /// The digest of the writer's list behind the changes.
    pub digest: u64,
}

/// A part of the whole list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FullPart {
    /// The writing, the same for all parts.
    pub op: OperationId,
    /// The writer's fencing number.
    pub fencing: Fencing,
    /// The part's position, counted from 0.
    pub index: u32,
    /// How many parts there are.
    pub count: u32,
    /// Its entries.
    pub entries: Vec<VmEntry>,
}

/// Encodes a record.
pub fn encode(record: &DirectoryRecord) -> Arc<str> {
    // The records hold only strings, integers and lists, which serde_json can't fail on.
    serde_json::to_string(record).unwrap_or_default().into()
}

/// Decodes a record of at most `limit_bytes`; none where it is larger, of an unknown kind or
/// malformed, which the reader counts.
pub fn decode(text: &str, limit_bytes: Bytes) -> Option<DirectoryRecord> {
    if text.len() as u64 > limit_bytes.0 {
        return None;
    }
    serde_json::from_str(text).ok()
}

/// The whole list as records of at most `record_bytes`.
pub fn full_records<'a>(
    op: OperationId,
    fencing: Fencing,
    entries: impl Iterator<Item = &'a VmEntry>,
    record_bytes: Bytes,
) -> Vec<DirectoryRecord> {
    let room_bytes = (record_bytes.0 as f64 * ENTRIES_SHARE) as usize;
    let mut parts: Vec<Vec<VmEntry>> = vec![Vec::new()];
    let mut used_bytes = 0;
    for entry in entries {
        let size_bytes = serde_json::to_string(entry).unwrap_or_default().len() + 1;
        let last_empty = parts.last().is_none_or(Vec::is_empty);
        if used_bytes + size_bytes > room_bytes && !last_empty {
            parts.push(Vec::new());
            used_bytes = 0;
        }
        used_bytes += size_bytes;
        if let Some(part) = parts.last_mut() {
            part.push(entry.clone());
        }
    }
    let count = parts.len() as u32;
    let numbered = (0..).zip(parts);
    let part = |(index, entries)| {
        DirectoryRecord::Full(FullPart {
            op,
            fencing,
            index,
            count,
            entries,
        })
    };
    numbered.map(part).collect()
}
