//! Ids of entities: dense indexes local to a process, and the few ids that are unique in the fleet.
//!
//! Terms: an *incarnation* is one run of one node process; its id is drawn at random at the start,
//! so a restarted node never has the same one as before. A *request id* combines an incarnation
//! with a sequence number of that incarnation, so no two requests of the fleet share one.

use crate as bluebell_base;
use crate::define_id;
use crate::text::ParseError;
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use std::fmt;
use std::str::FromStr;

define_id! {
    /// Index of an upstream in this process's tables.
    UpstreamId(u32) = "up";
    /// Index of a class of work in the configuration in force.
    ClassId(u32) = "class";
    /// Index of a client account in the configuration in force.
    AccountId(u32) = "acct";
    /// Index of a model in this process's tables.
    ModelId(u32) = "model";
    /// Index of a failure domain in this process's tables.
    DomainId(u32) = "dom";
    /// Shard of the idempotency-key space.
    ShardId(u32) = "shard";
    /// Number of an attempt to run a request, counted from 1.
    AttemptNo(u32) = "try";
    /// Position of an event in an answer, counted from 0.
    EventSeq(u64) = "ev";
    /// Position of a record in a log stream.
    Offset(u64) = "off";
    /// Version of the operators' configuration, counted from 1. 0 means that there is none yet.
    ConfigVersion(u64) = "cfg";
    /// Fencing number. A larger number was granted later.
    Fencing(u64) = "fence";
    /// One run of one node process, drawn at random at the start.
    Incarnation(u64) = "inc";
    /// An operation on the log, drawn at random so that the result can be looked up if the answer
    /// is lost.
    OperationId(u64) = "op";
    /// A reservation of engine memory.
    ReservationId(u64) = "rsv";
}

/// Identity of a request from its admission to its last event, unique in the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId {
    /// Incarnation that admitted the request.
    pub incarnation: Incarnation,
    /// Sequence number of the request in that incarnation, counted from 1.
    pub sequence: u64,
}

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "req-{:016x}-{:x}", self.incarnation.0, self.sequence)
    }
}

impl FromStr for RequestId {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        let error = || ParseError::new("RequestId", text);
        let rest = text.strip_prefix("req-").ok_or_else(error)?;
        let (incarnation, sequence) = rest.split_once('-').ok_or_else(error)?;
        let incarnation = u64::from_str_radix(incarnation, 16).map_err(|_| error())?;
        let sequence = u64::from_str_radix(sequence, 16).map_err(|_| error())?;
        let id = Self {
            incarnation: Incarnation(incarnation),
            sequence,
        };
        // Only the printed form is accepted, so that each id has exactly one text.
        if id.to_string() != text {
            return Err(error());
        }
        Ok(id)
    }
}

impl Serialize for RequestId {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}

impl<'de> Deserialize<'de> for RequestId {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        text.parse().map_err(serde::de::Error::custom)
    }
}
