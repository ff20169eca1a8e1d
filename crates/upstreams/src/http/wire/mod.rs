//! The bodies of calls to an engine that have no type of their own in the port.

use crate::engine::EngineOrder;
use bluebell_base::prelude::*;
use serde::{Deserialize, Serialize};

/// The media type of a stream of events.
pub const EVENT_STREAM: &str = "text/event-stream";

/// What begins the line of one event.
pub const DATA_PREFIX: &str = "data:";

/// The body of `POST /v1/streams/{request}/cancel`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CancelCall {
    /// The attempt to cancel.
    pub attempt: AttemptNo,
    /// Who must own it.
    pub owner: Incarnation,
}

/// The body of `POST /v1/orders`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderCall {
    /// The order.
    pub order: EngineOrder,
    /// The fencing number it is given under.
    pub fencing: Fencing,
}

/// The body of `POST /v1/streams/{request}/transfer`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TransferCall {
    /// The engine that shall import the KV.
    pub to: Address,
}
