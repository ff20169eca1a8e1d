//! Where this node has the list from: fetched by itself, or read from the directory stream.

use super::Members;
use crate::listing::ListChange;
use crate::settings::{MembersPorts, MembersSettings};
use bluebell_base::prelude::*;
use bluebell_platform::{VmEntry, VmRole};
use bluebell_timers::Timers;
use rand::Rng;
use stakker::{CX, Cx, ret_to};

/// How long a fetch may stay unanswered before another is made.
const ANSWER_MS: SpanMs = SpanMs::from_secs(10);

/// The time between fetches until the first one has succeeded.
const FIRST_MS: u64 = 1_000;

/// The state of fetching.
#[derive(Clone, Debug)]
pub(super) struct ListingSide {
    fetched: bool,
    asked_ms: Option<MonoMs>,
    next_ms: MonoMs,
    duty: Option<Duty>,
}

#[derive(Clone, Copy, Debug)]
struct Duty {
    fencing: Fencing,
    until_ms: MonoMs,
}

impl ListingSide {
    pub(super) fn open(
        cx: &mut Cx<'_, Members>,
        _ports: &MembersPorts,
        timers: &Timers,
        _settings: &MembersSettings,
        _seed: u64,
    ) -> Self {
        Self {
            fetched: false,
            asked_ms: None,
            next_ms: timers.now_ms(cx),
            duty: None,
        }
    }
}

impl Members {
    pub(super) fn hold_duty(&mut self, _cx: CX![], fencing: Fencing, until_ms: MonoMs) {
        self.list_side.duty = Some(Duty { fencing, until_ms });
    }

    pub(super) fn drop_duty(&mut self) {
        self.list_side.duty = None;
    }

    pub(super) fn writes_directory(&self, now_ms: MonoMs) -> bool {
        let duty = self.list_side.duty;
        duty.is_some_and(|duty| now_ms < duty.until_ms && duty.fencing >= Fencing(0))
    }

    pub(super) fn is_stale(&self, _now_ms: MonoMs) -> bool {
        true
    }

    pub(super) fn tick_listing(&mut self, cx: CX![], now_ms: MonoMs) {
        let waiting = self.list_side.asked_ms;
        let waiting = waiting.is_some_and(|at_ms| now_ms.since(at_ms) < ANSWER_MS);
        if waiting || now_ms < self.list_side.next_ms {
            return;
        }
        self.list_side.asked_ms = Some(now_ms);
        let ret = ret_to!([cx], on_list() as (Result<Vec<VmEntry>, Error>));
        self.ports.list.list(cx, ret);
    }

    fn on_list(&mut self, cx: CX![], answer: Option<Result<Vec<VmEntry>, Error>>) {
        let now_ms = self.timers.now_ms(cx);
        self.list_side.asked_ms = None;
        if let Some(Ok(fetched)) = answer {
            self.list_side.fetched = true;
            let changes = self.listing.compare(&fetched, self.settings.confirmations);
            self.apply_changes(&changes, now_ms);
        }
        self.list_side.next_ms = now_ms + self.next_fetch_in();
    }

    fn next_fetch_in(&mut self) -> SpanMs {
        if !self.list_side.fetched {
            return SpanMs(self.random.random_range(FIRST_MS / 2..=FIRST_MS * 2));
        }
        let poll_ms = self.settings.duty_poll_ms.0;
        SpanMs(
            self.random
                .random_range(poll_ms / 2..=poll_ms + poll_ms / 2),
        )
    }

    fn apply_changes(&mut self, changes: &[ListChange], now_ms: MonoMs) {
        let mut nodes_changed = false;
        for change in changes {
            let name = match change {
                ListChange::Set { entry } => &entry.name,
                ListChange::Gone { name } => name,
            };
            let before = self.listing.entry(name).cloned();
            self.listing.apply(change);
            if let Some(before) = before.filter(|entry| entry.role == VmRole::Node) {
                nodes_changed |= self.nodes.on_unlisted(&before.address);
            }
            if let ListChange::Set { entry } = change
                && entry.role == VmRole::Node
            {
                self.nodes.on_candidate(&entry.address);
            }
            let name = UpstreamName(name.0.clone());
            self.announce(&name, now_ms);
        }
        if nodes_changed {
            self.announce_nodes();
        }
    }
}
