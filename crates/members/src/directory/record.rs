//! The records of the directory stream, as typed JSON.
//!
//! Unknown fields are ignored and records of unknown kinds are skipped, since a newer version may
//! write them.

use crate::listing::ListChange;
use bluebell_base::prelude::*;
use bluebell_platform::VmEntry;
use serde::{Deserialize, Serialize};

/// The share of a record's size limit for the entries of a full record. The rest is for its other
/// fields.
const FULL_ENTRIES_SHARE: f64 = 0.75;

/// A record of the directory stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "record", rename_all = "snake_case")]
pub enum DirectoryRecord {
    /// The changes since the last record, possibly none.
    Beat(Beat),
    /// A part of the whole list.
    Full(FullPart),
}

/// The changes since the writer's last record. Also serves as its heartbeat.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Beat {
    /// The id of the write operation.
    pub op: OperationId,
    /// The writer's fencing number.
    pub fencing: Fencing,
    /// The changes.
    pub changes: Vec<ListChange>,
    /// The digest of the writer's list after the changes.
    pub digest: u64,
}

/// A part of the whole list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FullPart {
    /// The id of the write operation, the same for all parts.
    pub op: OperationId,
    /// The writer's fencing number.
    pub fencing: Fencing,
    /// The index of the part, counted from 0.
    pub index: u32,
    /// The number of parts.
    pub count: u32,
    /// The entries of the part.
    pub entries: Vec<VmEntry>,
}

/// Encodes a record as JSON.
pub fn encode(record: &DirectoryRecord) -> Arc<str> {
    // The records have only strings, integers and lists, for which serde_json does not fail.
    serde_json::to_string(record).unwrap_or_default().into()
}

/// Decodes a record. Returns `None` if it is larger than `limit_bytes`, of an unknown kind or
/// malformed; the reader counts these.
pub fn decode(text: &str, limit_bytes: Bytes) -> Option<DirectoryRecord> {
    if text.len() as u64 > limit_bytes.0 {
        return None;
    }
    serde_json::from_str(text).ok()
}

/// Encodes the whole list as full records of at most `record_bytes`, unless a single entry is
/// larger.
pub fn full_records<'a>(
    op: OperationId,
    fencing: Fencing,
    entries: impl Iterator<Item = &'a VmEntry>,
    record_bytes: Bytes,
) -> Vec<DirectoryRecord> {
    let max_entries_bytes = (record_bytes.0 as f64 * FULL_ENTRIES_SHARE) as usize;
    let mut parts: Vec<Vec<VmEntry>> = vec![Vec::new()];
    let mut used_bytes = 0;
    for entry in entries {
        let size_bytes = serde_json::to_string(entry).unwrap_or_default().len() + 1;
        let last_empty = parts.last().is_none_or(Vec::is_empty);
        if used_bytes + size_bytes > max_entries_bytes && !last_empty {
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
