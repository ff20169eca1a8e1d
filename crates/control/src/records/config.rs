//! The records of the config stream.

use super::{Part, Splice};
use bluebell_base::prelude::*;
use serde::{Deserialize, Serialize};

/// A record of the config stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "record", rename_all = "snake_case")]
pub enum ConfigRecord {
    /// An operator's publication, or one part of it.
    Update(Update),
    /// The state of the configuration up to an offset, or one part of it.
    Snapshot(Snapshot),
}

/// A publication of the version that follows `base`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Update {
    /// The id of the publication, by which its publisher recognizes it in the log.
    pub op: OperationId,
    /// The version that the update was written against. The update counts only if this is the
    /// current version.
    pub base: ConfigVersion,
    /// The parts of the base's text that are kept before and after this one. Records without this
    /// field keep nothing.
    #[serde(default)]
    pub splice: Splice,
    /// The position of this record among the parts.
    pub part: Part,
    /// This part of the text that replaces the middle of the base's text.
    pub body: Arc<str>,
}

/// The state that results from reducing all records before `as_of`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The id of the operation that wrote this snapshot.
    pub op: OperationId,
    /// The version in force as of `as_of`.
    pub version: ConfigVersion,
    /// The publication that created this version.
    pub made_by: OperationId,
    /// The first offset whose record the snapshot does not include.
    pub as_of: Offset,
    /// The position of this record among the parts.
    pub part: Part,
    /// This part of the version's text.
    pub body: Arc<str>,
}
