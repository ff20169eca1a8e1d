//! Defines the bodies of calls to an engine that the port has no types for.

use crate::engine::EngineOrder;
use bluebell_base::prelude::*;
use serde::{Deserialize, Serialize};

/// The media type of a stream of events.
pub const EVENT_STREAM: &str = "text/event-stream";

/// The prefix of a line that contains an event.
pub const DATA_PREFIX: &str = "data:";

/// The body of `POST /v1/streams/{request}/cancel`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CancelCall {
    /// The attempt to cancel.
    pub attempt: AttemptNo,
    /// The owner that the attempt must have.
    pub owner: Incarnation,
}

/// The body of `POST /v1/orders`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderCall {
    /// The order.
    pub order: EngineOrder,
    /// The fencing number of the order.
    pub fencing: Fencing,
}

/// The body of `POST /v1/streams/{request}/transfer`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TransferCall {
    /// The address of the engine that imports the KV.
    pub to: Address,
}
