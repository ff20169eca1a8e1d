//! Fetching the list: once at the start, all the time while this node holds the duty, and now and
//! then while the directory stream is stale.

use super::Members;
use super::directory_side::Directory;
use crate::listing::ListChange;
use crate::settings::{MembersPorts, MembersSettings};
use bluebell_base::prelude::*;
use bluebell_platform::{VmEntry, VmRole};
use bluebell_timers::Timers;
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use stakker::{CX, Cx, ret_to};

/// How long a fetch may stay unanswered before another is made.
const ANSWER_MS: SpanMs = SpanMs::from_secs(10);

/// How long before a fetch nothing is written that could wait.
const BEFORE_FETCH_MS: SpanMs = SpanMs::from_secs(2);

/// The time between fetches until the first one has succeeded.
const FIRST_MS: SpanMs = SpanMs(1_000);

/// What is known of the list's sources.
pub(super) struct ListingSide {
    /// Whether the list was ever known whole, by a fetch or a full record set.
    pub(super) complete: bool,
    asked_ms: Option<MonoMs>,
    next_ms: MonoMs,
    size_bytes: Bytes,
    fetched: Option<Fetched>,
    pub(super) duty: Option<Duty>,
    pub(super) directory: Directory,
}

/// The last fetch that succeeded.
#[derive(Clone, Copy, Debug)]
struct Fetched {
    at_ms: MonoMs,
    /// How long the next fetch waits from then at most.
    wait_ms: SpanMs,
}

/// The duty to write the directory.
#[derive(Clone, Copy, Debug)]
pub(super) struct Duty {
    pub(super) fencing: Fencing,
    pub(super) until_ms: MonoMs,
    /// Whether a full record set under this fencing number was read back.
    pub(super) opened: bool,
}

impl ListingSide {
    pub(super) fn open(
        cx: &mut Cx<'_, Members>,
        ports: &MembersPorts,
        timers: &Timers,
        settings: &MembersSettings,
        random: &mut ChaCha8Rng,
    ) -> Self {
        let now_ms = timers.now_ms(cx);
        Self {
            complete: false,
            asked_ms: None,
            next_ms: now_ms,
            size_bytes: Bytes::ZERO,
            fetched: None,
            duty: None,
            directory: Directory::open(cx, ports, timers, settings, random),
        }
    }

    pub(super) fn skipped(&self) -> u64 {
        self.directory.skipped
    }

    pub(super) fn ignored(&self) -> u64 {
        self.directory.reducer.ignored()
    }

    /// Whether the stream is read from its beginning for want of a list; entries that come and
    /// go on the way are not announced.
    pub(super) fn is_replaying(&self) -> bool {
        self.directory.replaying
    }

    /// Whether a fetch is under way or comes so soon that a record written now may not be read
    /// back by then, and would hold up that of the fetch's changes.
    pub(super) fn fetches_soon(&self, now_ms: MonoMs) -> bool {
        self.asked_ms.is_some() || now_ms + BEFORE_FETCH_MS >= self.next_ms
    }

    /// Makes the next fetch due at `at_ms` at the latest.
    pub(super) fn fetch_by(&mut self, at_ms: MonoMs) {
        self.next_ms = self.next_ms.min(at_ms);
    }
}

/// The size of a list as JSON, near enough.
fn size_of(entries: &[VmEntry]) -> Bytes {
    let size =
        |entry: &VmEntry| serde_json::to_string(entry).map_or(0, |text| text.len() as u64 + 1);
    Bytes(entries.iter().map(size).sum())
}

impl Members {
    pub(super) fn hold_duty(&mut self, cx: CX![], fencing: Fencing, until_ms: MonoMs) {
        let before = self.list_side.duty.filter(|duty| duty.fencing == fencing);
        let opened = before.is_some_and(|duty| duty.opened);
        self.list_side.duty = Some(Duty {
            fencing,
            until_ms,
            opened,
        });
        if before.is_none() {
            let now_ms = self.timers.now_ms(cx);
            self.list_side.fetch_by(now_ms);
        }
    }

    pub(super) fn drop_duty(&mut self) {
        self.list_side.duty = None;
    }

    pub(super) fn writes_directory(&self, now_ms: MonoMs) -> bool {
        let duty = self.list_side.duty;
        duty.is_some_and(|duty| now_ms < duty.until_ms)
    }

    /// Whether the list was fetched so lately that this node may speak for it.
    pub(super) fn speaks_for_list(&self, now_ms: MonoMs) -> bool {
        let fetched = self.list_side.fetched;
        let until_ms = |fetched: Fetched| fetched.at_ms + fetched.wait_ms + self.settings.stale_ms;
        fetched.is_some_and(|fetched| now_ms < until_ms(fetched))
    }

    pub(super) fn tick_listing(&mut self, cx: CX![], now_ms: MonoMs) {
        self.tick_directory(cx, now_ms);
        let waiting = self.list_side.asked_ms;
        let waiting = waiting.is_some_and(|at_ms| now_ms.since(at_ms) < ANSWER_MS);
        let wanted = !self.list_side.complete
            || self.writes_directory(now_ms)
            || self.is_stale(now_ms)
            || self.list_side.directory.differs;
        if waiting || !wanted || now_ms < self.list_side.next_ms || self.awaits_end(now_ms) {
            return;
        }
        self.list_side.asked_ms = Some(now_ms);
        let ret = ret_to!([cx], on_list() as (Result<Vec<VmEntry>, Error>));
        self.ports.list.list(cx, ret);
    }

    fn on_list(&mut self, cx: CX![], answer: Option<Result<Vec<VmEntry>, Error>>) {
        let now_ms = self.timers.now_ms(cx);
        self.list_side.asked_ms = None;
        let fetched = answer.and_then(Result::ok);
        if let Some(fetched) = &fetched {
            self.list_side.size_bytes = size_of(fetched);
            self.take_list(cx, fetched, now_ms);
        }
        let interval_ms = match () {
            () if !self.list_side.complete => FIRST_MS,
            () if self.writes_directory(now_ms) => self.settings.writer_poll_ms,
            () => self.settings.own_poll_ms,
        };
        // The list comes whole each time; at thousands of VMs a fetch each second would cost the
        // writer a hundred times what a node may spend on control. Leaving upstreams are told of
        // by their refusals meanwhile.
        let paced_ms = self.list_side.size_bytes.0 as f64 / self.settings.list_bytes.0 * 1000.0;
        let interval_ms = interval_ms.max(SpanMs(paced_ms as u64));
        let wait_ms = self.vary(interval_ms);
        self.list_side.next_ms = now_ms + wait_ms;
        if fetched.is_some() {
            let at_ms = now_ms;
            self.list_side.fetched = Some(Fetched { at_ms, wait_ms });
        }
    }

    /// A time between half and one and a half of `span_ms`, so that nodes that began together
    /// don't go on fetching together.
    pub(super) fn vary(&mut self, span_ms: SpanMs) -> SpanMs {
        let (low_ms, high_ms) = (span_ms.0 / 2, span_ms.0 + span_ms.0 / 2);
        SpanMs(self.random.random_range(low_ms..=high_ms))
    }

    /// The writer writes what the list changes and applies it when it reads it back, as all do;
    /// everyone else applies it at once.
    fn take_list(&mut self, cx: CX![], fetched: &[VmEntry], now_ms: MonoMs) {
        let first = !self.list_side.complete;
        let changes = self.listing.compare(fetched, self.settings.confirmations);
        if self.writes_directory(now_ms) && !first {
            return self.write_changes(cx, changes, now_ms);
        }
        self.list_side.complete = true;
        self.list_side.directory.differs = false;
        self.apply_changes(&changes, now_ms);
        self.end_replay(now_ms);
    }

    pub(super) fn apply_changes(&mut self, changes: &[ListChange], now_ms: MonoMs) {
        let mut nodes_changed = false;
        for change in changes {
            let name = match change {
                ListChange::Set { entry } => &entry.name,
                ListChange::Gone { name } => name,
            };
            let before = self.listing.entry(name).cloned();
            if !self.listing.apply(change) {
                continue;
            }
            nodes_changed |= self.update_candidate(before.as_ref(), change);
            let name = UpstreamName(name.0.clone());
            self.announce(&name, now_ms);
        }
        if nodes_changed {
            self.announce_nodes();
        }
    }

    fn update_candidate(&mut self, before: Option<&VmEntry>, change: &ListChange) -> bool {
        let after = match change {
            ListChange::Set { entry } => Some(entry),
            ListChange::Gone { .. } => None,
        };
        let node = |entry: &&VmEntry| entry.role == VmRole::Node;
        let address = |entry: &VmEntry| entry.address.clone();
        let before = before.filter(node).map(address);
        let after = after.filter(node).map(address);
        if let Some(after) = &after {
            self.nodes.on_candidate(after);
        }
        let left = before.filter(|before| Some(before) != after.as_ref());
        left.is_some_and(|left| self.nodes.on_unlisted(&left))
    }

    /// Announces everything once the list is known whole.
    pub(super) fn end_replay(&mut self, now_ms: MonoMs) {
        if !std::mem::take(&mut self.list_side.directory.replaying) {
            return;
        }
        let entries = self.listing.entries();
        let names: Vec<UpstreamName> = entries.map(|e| UpstreamName(e.name.0.clone())).collect();
        for name in names {
            self.announce(&name, now_ms);
        }
    }
}
