//! Fetches the list: once at the start, regularly while this node holds the duty, and less often
//! while the directory stream is stale.

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

/// The time after which a fetch without an answer is repeated.
const FETCH_TIMEOUT_MS: SpanMs = SpanMs::from_secs(10);

/// The time before a fetch in which no beat is written.
const QUIET_BEFORE_FETCH_MS: SpanMs = SpanMs::from_secs(2);

/// The mean interval between fetches until the first one has succeeded.
const FIRST_FETCH_RETRY_MS: SpanMs = SpanMs(1_000);

/// The state of fetching the list.
pub(super) struct ListingSide {
    /// True once the whole list was known, from a fetch or a full record set.
    pub(super) complete: bool,
    fetch_started_ms: Option<MonoMs>,
    next_ms: MonoMs,
    size_bytes: Bytes,
    last_fetch: Option<LastFetch>,
    pub(super) duty: Option<Duty>,
    pub(super) directory: Directory,
}

/// The last fetch that succeeded.
#[derive(Clone, Copy, Debug)]
struct LastFetch {
    at_ms: MonoMs,
    /// The time from then until the next fetch is due.
    wait_ms: SpanMs,
}

/// The duty to write the directory stream.
#[derive(Clone, Copy, Debug)]
pub(super) struct Duty {
    pub(super) fencing: Fencing,
    pub(super) until_ms: MonoMs,
    /// True if a full record set with this fencing number was read back.
    pub(super) full_list_written: bool,
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
            fetch_started_ms: None,
            next_ms: now_ms,
            size_bytes: Bytes::ZERO,
            last_fetch: None,
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

    /// Returns true while the stream is read from its beginning because no list is available.
    /// Entries that appear and vanish meanwhile are not announced.
    pub(super) fn is_replaying(&self) -> bool {
        self.directory.replaying
    }

    /// Returns true if a fetch is under way, or due so soon that a record written now may not be read
    /// back by then and would delay the record of the fetch's changes.
    pub(super) fn is_fetch_near(&self, now_ms: MonoMs) -> bool {
        self.fetch_started_ms.is_some() || now_ms + QUIET_BEFORE_FETCH_MS >= self.next_ms
    }

    /// Makes the next fetch due at `at_ms` at the latest.
    pub(super) fn fetch_by(&mut self, at_ms: MonoMs) {
        self.next_ms = self.next_ms.min(at_ms);
    }
}

/// Returns the approximate size of a list as JSON.
fn size_of(entries: &[VmEntry]) -> Bytes {
    let size =
        |entry: &VmEntry| serde_json::to_string(entry).map_or(0, |text| text.len() as u64 + 1);
    Bytes(entries.iter().map(size).sum())
}

impl Members {
    pub(super) fn hold_duty(&mut self, cx: CX![], fencing: Fencing, until_ms: MonoMs) {
        let before = self.list_side.duty.filter(|duty| duty.fencing == fencing);
        let full_list_written = before.is_some_and(|duty| duty.full_list_written);
        self.list_side.duty = Some(Duty {
            fencing,
            until_ms,
            full_list_written,
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

    /// Returns true if the list was fetched recently enough for this node to report that it is
    /// current.
    pub(super) fn has_recent_list(&self, now_ms: MonoMs) -> bool {
        let fetched = self.list_side.last_fetch;
        let until_ms =
            |fetched: LastFetch| fetched.at_ms + fetched.wait_ms + self.settings.stale_ms;
        fetched.is_some_and(|fetched| now_ms < until_ms(fetched))
    }

    pub(super) fn tick_listing(&mut self, cx: CX![], now_ms: MonoMs) {
        self.tick_directory(cx, now_ms);
        let waiting = self.list_side.fetch_started_ms;
        let waiting = waiting.is_some_and(|at_ms| now_ms.since(at_ms) < FETCH_TIMEOUT_MS);
        let wanted = !self.list_side.complete
            || self.writes_directory(now_ms)
            || self.is_stale(now_ms)
            || self.list_side.directory.digest_differs;
        if waiting || !wanted || now_ms < self.list_side.next_ms || self.awaits_end(now_ms) {
            return;
        }
        self.list_side.fetch_started_ms = Some(now_ms);
        let ret = ret_to!([cx], on_list() as (Result<Vec<VmEntry>, Error>));
        self.ports.list.list(cx, ret);
    }

    fn on_list(&mut self, cx: CX![], answer: Option<Result<Vec<VmEntry>, Error>>) {
        let now_ms = self.timers.now_ms(cx);
        self.list_side.fetch_started_ms = None;
        let fetched = answer.and_then(Result::ok);
        if let Some(fetched) = &fetched {
            self.list_side.size_bytes = size_of(fetched);
            self.on_fetched_list(cx, fetched, now_ms);
        }
        let interval_ms = match () {
            () if !self.list_side.complete => FIRST_FETCH_RETRY_MS,
            () if self.writes_directory(now_ms) => self.settings.writer_poll_ms,
            () => self.settings.fallback_poll_ms,
        };
        // Each fetch returns the whole list. With thousands of VMs a fetch per second would cost the
        // writer a hundred times what a node may spend on control. Between fetches, refusals report
        // the upstreams that are leaving.
        let paced_ms = self.list_side.size_bytes.0 as f64 / self.settings.list_bytes.0 * 1000.0;
        let interval_ms = interval_ms.max(SpanMs(paced_ms as u64));
        let wait_ms = self.jitter(interval_ms);
        self.list_side.next_ms = now_ms + wait_ms;
        if fetched.is_some() {
            let at_ms = now_ms;
            self.list_side.last_fetch = Some(LastFetch { at_ms, wait_ms });
        }
    }

    /// Returns a random time from 0.5 to 1.5 times `span_ms`, so that nodes that started together
    /// don't keep fetching together.
    pub(super) fn jitter(&mut self, span_ms: SpanMs) -> SpanMs {
        let (low_ms, high_ms) = (span_ms.0 / 2, span_ms.0 + span_ms.0 / 2);
        SpanMs(self.random.random_range(low_ms..=high_ms))
    }

    /// Handles a fetched list. The writer writes the changes and applies them when it reads them
    /// back, as all nodes do. Other nodes, and the writer at its first list, apply them at once.
    fn on_fetched_list(&mut self, cx: CX![], fetched: &[VmEntry], now_ms: MonoMs) {
        let first = !self.list_side.complete;
        let changes = self
            .listing
            .compare(fetched, self.settings.absence_confirmations);
        if self.writes_directory(now_ms) && !first {
            return self.write_changes(cx, changes, now_ms);
        }
        self.list_side.complete = true;
        self.list_side.directory.digest_differs = false;
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

    /// Ends a replay and announces all entries, once the whole list is known.
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
