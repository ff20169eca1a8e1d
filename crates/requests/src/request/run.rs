//! The state of one attempt on one engine, and of its group.

use super::{Context, LinkNo};
use bluebell_base::prelude::*;
use bluebell_policy::GroupPart;
use bluebell_upstreams::Priority;

/// One attempt on one engine.
#[derive(Debug)]
pub struct Run {
    /// The engine.
    pub upstream: UpstreamId,
    /// The group; `None` if the prompt fits on one engine.
    pub group: Option<Group>,
    /// The first link of this attempt; events on a lower link belong to an earlier attempt.
    pub first_link: LinkNo,
    /// The link of the `generate` call; only its refusal proves that nothing ran.
    pub generate_link: Option<LinkNo>,
    /// The position of the first event that this attempt produces.
    pub first_seq: u64,
    /// The link that events are expected on now: that of the `generate` call or of the last
    /// `resume`.
    pub stream_link: LinkNo,
    /// True while that link is not known to be broken.
    pub is_open: bool,
    /// True if anything was received on it.
    pub received: bool,
    /// True if the engine accepted the work.
    pub accepted: bool,
    /// The event or time that the attempt waits for.
    pub mode: Mode,
    /// The time at which the engine last sent something.
    pub last_received_ms: MonoMs,
    /// The silence after which the engine is queried.
    pub silence_limit_ms: SpanMs,
    /// The number of consecutive links that broke while the engine was working without new events.
    pub idle_breaks: u32,
    /// True if the node that admitted an adopted request was queried for its engine.
    pub peer_queried: bool,
    /// The number of consecutive failed tries to resume or look up.
    pub failed_tries: u32,
}

/// The event or time that an attempt waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    /// Events of the stream.
    Reading,
    /// The answer to a lookup; events of the stream are still delivered meanwhile.
    LookingUp {
        /// The link of the lookup.
        link: LinkNo,
        /// The time at which the answer is given up.
        until_ms: MonoMs,
    },
    /// The time to resume the stream.
    WaitingToResume {
        /// That time.
        until_ms: MonoMs,
    },
    /// A reader: the stream is silent or broken, and nobody reads it.
    AwaitingReader,
    /// The time to look up the request.
    WaitingToLookUp {
        /// That time.
        until_ms: MonoMs,
    },
}

/// A group of engines that together hold one long prompt.
#[derive(Clone, Debug, PartialEq)]
pub struct Group {
    /// The reservation id, the same on all members.
    pub reservation: ReservationId,
    /// The engine that generates the answer.
    pub leader: UpstreamId,
    /// The request's priority there.
    pub priority: Priority,
    /// The leader and the other members, with the state of their reservations.
    pub members: Vec<Member>,
    /// The time of the next renewal, or while reserving the time at which missing grants are given
    /// up.
    pub due_ms: MonoMs,
}

/// One member of a group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Member {
    /// The engine and the size of its part.
    pub part: GroupPart,
    /// True if the engine granted the reservation.
    pub granted: bool,
}

impl Run {
    /// Creates an attempt whose stream starts now on `link` with the event at `first_seq`.
    pub fn new(upstream: UpstreamId, link: LinkNo, first_seq: u64, cx: &Context<'_>) -> Self {
        Self {
            upstream,
            group: None,
            first_link: link,
            generate_link: None,
            first_seq,
            stream_link: link,
            is_open: true,
            received: false,
            accepted: false,
            mode: Mode::Reading,
            last_received_ms: cx.now_ms,
            silence_limit_ms: cx.settings.stall_ms,
            idle_breaks: 0,
            peer_queried: false,
            failed_tries: 0,
        }
    }

    /// Creates an attempt that another node began, before its stream is resumed here; its engine is
    /// queried after `silence_limit_ms` of silence.
    pub fn adopted(
        upstream: UpstreamId,
        first_seq: u64,
        now_ms: MonoMs,
        silence_limit_ms: SpanMs,
    ) -> Self {
        Self {
            upstream,
            group: None,
            first_link: LinkNo(1),
            generate_link: None,
            first_seq,
            stream_link: LinkNo(0),
            is_open: false,
            received: false,
            accepted: true,
            mode: Mode::Reading,
            last_received_ms: now_ms,
            silence_limit_ms,
            idle_breaks: 0,
            peer_queried: false,
            failed_tries: 0,
        }
    }
}
