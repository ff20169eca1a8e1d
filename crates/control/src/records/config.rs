//! The records of the config stream.

use super::{Part, Splice};
use bluebell_base::prelude::*;
use serde::{Deserialize, Serialize};

/// A record of the config stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "record", rename_all = "snake_case")]
pub enum ConfigRecord {
    /// An operator's publication, or a part of it.
    Update(Update),
    /// The state up to an offset, or a part of it.
    Snapshot(Snapshot),
}

/// A publication of the version behind `base`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Update {
    /// The publication, so that its publisher finds it again.
    pub op: OperationId,
    /// The version it was written against; it counts only while that one is current.
    pub base: ConfigVersion,
    /// What of the base's text is kept around this one; nothing in records without the field.
    #[serde(default)]
    pub splice: Splice,
    /// Its place among the parts.
    pub part: Part,
    /// This part of the text between what is kept.
    pub body: Arc<str>,
}

/// What the reduction of all records before `as_of` gives.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The writing of this snapshot.
    pub op: OperationId,
    /// The version in force.
    pub version: ConfigVersion,
    /// The publication that made this version.
    pub made_by: OperationId,
    /// The first offset whose record is not in it.
    pub as_of: Offset,
    /// Its place among the parts.
    pub part: Part,
    /// This part of the version's text.
    pub body: Arc<str>,
}
