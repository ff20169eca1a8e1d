//! Entity ids: dense indexes local to a process, and the few ids that are unique in the fleet.
//!
//! Terms: an *incarnation* is one run of one node process; it is drawn at random at start, so a
//! restarted node never shares it with its predecessor. A *request id* joins an incarnation with
//! a sequence number of that incarnation, so no two requests of the fleet share one.

use crate as bluebell_base;
use crate::define_id;
use crate::text::ParseError;
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use std::fmt;
use std::str::FromStr;

define_id! {
    /// An upstream's index in this process's tables.
    UpstreamId(u32) = "up";
    /// A class of work's index in the configuration in force.
    ClassId(u32) = "class";
    /// A client account's index in the configuration in force.
    AccountId(u32) = "acct";
    /// A model's index in this process's tables.
    ModelId(u32) = "model";
    /// A failure domain's index in this process's tables.
    DomainId(u32) = "dom";
    /// A shard of the idempotency-key space.
    ShardId(u32) = "shard";
    /// The number of an attempt to run a request, counted from 1.
    AttemptNo(u32) = "try";
    /// The position of an event in an answer, counted from 0.
    EventSeq(u64) = "ev";
    /// A record's position in a log stream.
    Offset(u64) = "off";
    /// A version of the operators' configuration, counted from 1; 0 is "none yet".
    ConfigVersion(u64) = "cfg";
    /// A fencing number: larger means granted later.
    Fencing(u64) = "fence";
    /// One run of one node process; drawn at random at start.
    Incarnation(u64) = "inc";
    /// An operation on the log, drawn at random so that a lost answer can be looked up.
    OperationId(u64) = "op";
    /// A reservation of engine memory.
    ReservationId(u64) = "rsv";
}

/// A request's identity, unique in the fleet, from admission to its last event.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId {
    /// The incarnation that admitted the request.
    pub incarnation: Incarnation,
    /// Counted from 1 by that incarnation.
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
        // Only the printed form is accepted, so that a text and its id are one to one.
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
