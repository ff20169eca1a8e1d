//! The data of one attempt on one engine, and of its group.

use super::{Context, LinkNo};
use bluebell_base::prelude::*;
use bluebell_policy::GroupPart;
use bluebell_upstreams::Priority;

/// One attempt on one engine.
#[derive(Debug)]
pub struct Run {
    /// The engine.
    pub upstream: UpstreamId,
    /// The group, where the prompt needs several engines.
    pub group: Option<Group>,
    /// The first link of this attempt; what comes on an earlier one belongs to an earlier attempt.
    pub first_link: LinkNo,
    /// The link of the `generate` call; only its refusal proves that nothing ran.
    pub generated: Option<LinkNo>,
    /// The position of the first event that this attempt produces.
    pub first_seq: u64,
    /// The link that events come on now: the generate call's, or the last resume's.
    pub stream: LinkNo,
    /// Whether that link isn't known to be broken.
    pub open: bool,
    /// Whether anything came on it.
    pub heard: bool,
    /// Whether the engine accepted the work.
    pub accepted: bool,
    /// What is awaited.
    pub mode: Mode,
    /// When the engine was last heard.
    pub heard_ms: MonoMs,
    /// Silence after which it is asked.
    pub quiet_ms: SpanMs,
    /// Links in a row that broke while the engine was at work with nothing new.
    pub breaks: u32,
    /// Whether the node that admitted it was asked where it runs, for an adopted request.
    pub peer_asked: bool,
    /// Fruitless tries in a row to resume or look up.
    pub tries: u32,
}

/// What an attempt waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    /// Events of the stream.
    Reading,
    /// The answer to a lookup; events of the stream are welcome meanwhile.
    Asking {
        /// The link of the lookup.
        link: LinkNo,
        /// When the answer is given up.
        until_ms: MonoMs,
    },
    /// The time to resume the stream.
    Pausing {
        /// When.
        until_ms: MonoMs,
    },
    /// Somebody to read on: nobody reads, and the stream is silent or broken.
    Resting,
    /// The time to look the request up.
    PausingToAsk {
        /// When.
        until_ms: MonoMs,
    },
}

/// A group of engines that holds one long prompt.
#[derive(Clone, Debug, PartialEq)]
pub struct Group {
    /// The reservation, the same on all members.
    pub reservation: ReservationId,
    /// The engine that runs it.
    pub leader: UpstreamId,
    /// Its priority there.
    pub priority: Priority,
    /// The leader and the members, with how far each is.
    pub members: Vec<Member>,
    /// When the reservations are renewed next, or those outstanding are given up.
    pub due_ms: MonoMs,
}

/// One member of a group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Member {
    /// Its part.
    pub part: GroupPart,
    /// Whether it granted the reservation.
    pub granted: bool,
}

impl Run {
    /// A run whose stream begins now on `link`, with the event at `first_seq`.
    pub fn new(upstream: UpstreamId, link: LinkNo, first_seq: u64, cx: &Context<'_>) -> Self {
        Self {
            upstream,
            group: None,
            first_link: link,
            generated: None,
            first_seq,
            stream: link,
            open: true,
            heard: false,
            accepted: false,
            mode: Mode::Reading,
            heard_ms: cx.now_ms,
            quiet_ms: cx.settings.stall_ms,
            breaks: 0,
            peer_asked: false,
            tries: 0,
        }
    }

    /// A run that another node began, before its stream is resumed here; its engine is asked after
    /// `quiet_ms` of silence.
    pub fn adopted(upstream: UpstreamId, first_seq: u64, now_ms: MonoMs, quiet_ms: SpanMs) -> Self {
        Self {
            upstream,
            group: None,
            first_link: LinkNo(1),
            generated: None,
            first_seq,
            stream: LinkNo(0),
            open: false,
            heard: false,
            accepted: true,
            mode: Mode::Reading,
            heard_ms: now_ms,
            quiet_ms,
            breaks: 0,
            peer_asked: false,
            tries: 0,
        }
    }
}
