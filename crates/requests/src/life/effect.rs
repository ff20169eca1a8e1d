//! What the passes want sent; the actor carries it out.

use super::LinkNo;
use bluebell_base::prelude::*;
use bluebell_peers::{ClaimCall, ClaimKey, SettleCall};
use bluebell_upstreams::{Generate, Reserve, Resume, ServiceCall};

/// What must be sent for a request, in order.
#[derive(Debug, PartialEq)]
pub enum Effect {
    /// Claim its key.
    Claim(ClaimCall),
    /// Settle its claim.
    Settle(SettleCall),
    /// Begin its answer.
    Generate {
        /// On this engine.
        upstream: UpstreamId,
        /// The link its events come on.
        link: LinkNo,
        /// The call.
        call: Box<Generate>,
    },
    /// Read its answer on.
    Resume {
        /// On this engine.
        upstream: UpstreamId,
        /// The link its events come on.
        link: LinkNo,
        /// The call.
        call: Resume,
    },
    /// Look it up.
    Lookup {
        /// On this engine.
        upstream: UpstreamId,
        /// The link its answer comes on.
        link: LinkNo,
    },
    /// Ask the node that admitted it where it runs now.
    AskPeer {
        /// The link the answer comes on.
        link: LinkNo,
    },
    /// Cancel an attempt, until the engine answers or its hold has expired.
    Cancel {
        /// On this engine.
        upstream: UpstreamId,
        /// The attempt.
        attempt: AttemptNo,
        /// Whether the request waits for the answer.
        tell: bool,
        /// The claim to settle by the answer.
        settle: Option<ClaimKey>,
    },
    /// Reserve (or renew) memory for its group.
    Reserve {
        /// On this engine.
        upstream: UpstreamId,
        /// The call.
        call: Reserve,
    },
    /// Release its group's memory, until the engine answers or the hold has expired.
    Release {
        /// On this engine.
        upstream: UpstreamId,
        /// The reservation.
        reservation: ReservationId,
    },
    /// Call a plain service.
    Exchange {
        /// This replica.
        upstream: UpstreamId,
        /// The link its answer comes on.
        link: LinkNo,
        /// The call.
        call: ServiceCall,
    },
}
