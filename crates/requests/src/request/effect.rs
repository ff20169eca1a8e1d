//! The messages that a transition wants sent; the actor sends them.

use super::LinkNo;
use bluebell_base::prelude::*;
use bluebell_peers::{ClaimCall, ClaimKey, SettleCall};
use bluebell_upstreams::{Generate, Reserve, Resume, ServiceCall};

/// A message to send for a request; effects are carried out in order.
#[derive(Debug, PartialEq)]
pub enum Effect {
    /// Claims its idempotency key.
    Claim(ClaimCall),
    /// Settles its claim.
    Settle(SettleCall),
    /// Starts generating its answer.
    Generate {
        /// The engine.
        upstream: UpstreamId,
        /// The link that its events arrive on.
        link: LinkNo,
        /// The call.
        call: Box<Generate>,
    },
    /// Resumes the stream of its answer.
    Resume {
        /// The engine.
        upstream: UpstreamId,
        /// The link that its events arrive on.
        link: LinkNo,
        /// The call.
        call: Resume,
    },
    /// Looks up the state of its stream.
    Lookup {
        /// The engine.
        upstream: UpstreamId,
        /// The link that the answer arrives on.
        link: LinkNo,
    },
    /// Queries the node that admitted it for the engine that runs it now.
    QueryAdmittingNode {
        /// The link that the answer arrives on.
        link: LinkNo,
    },
    /// Cancels an attempt, with retries until the engine answers or its hold has expired.
    Cancel {
        /// The engine.
        upstream: UpstreamId,
        /// The attempt.
        attempt: AttemptNo,
        /// True if the request waits for the answer.
        awaited: bool,
        /// The key of the claim to settle by the answer.
        settle: Option<ClaimKey>,
    },
    /// Reserves memory for its group, or renews the reservation.
    Reserve {
        /// The engine.
        upstream: UpstreamId,
        /// The call.
        call: Reserve,
    },
    /// Releases its group's memory, with retries until the engine answers or the hold has expired.
    Release {
        /// The engine.
        upstream: UpstreamId,
        /// The reservation.
        reservation: ReservationId,
    },
    /// Calls a plain service.
    Exchange {
        /// The replica.
        upstream: UpstreamId,
        /// The link that the answer arrives on.
        link: LinkNo,
        /// The call.
        call: ServiceCall,
    },
}
