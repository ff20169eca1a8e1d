//! Serving claims and settlements: admission, the flight, and the answers.

use super::Owner;
use super::Phase;
use super::flight::{Flight, Stage};
use super::item::{ClaimRet, Item, Op, SettleRet};
use crate::reduce::ClaimOutcome;
use crate::table::{Entry, EntryState};
use bluebell_base::prelude::*;
use bluebell_peers::{ClaimAnswer, ClaimCall, ClaimKey, ClaimState, SettleCall, Settlement};
use stakker::{CX, fwd_to};

impl Owner {
    /// Takes a claim.
    pub(crate) fn claim(&mut self, cx: CX![], call: ClaimCall, ret: ClaimRet) {
        let op = Op::Claim(call, Some(ret));
        self.arrive(cx, op);
    }

    /// Takes a settlement.
    pub(crate) fn settle(&mut self, cx: CX![], call: SettleCall, ret: SettleRet) {
        let op = Op::Settle(call, Some(ret));
        self.arrive(cx, op);
    }

    fn arrive(&mut self, cx: CX![], op: Op) {
        let since_ms = self.now_ms(cx);
        let mut item = Item { op, since_ms };
        if let Some(error) = self.closed(since_ms) {
            self.report.borrow_mut().refused += 1;
            item.refuse(error);
            return;
        }
        self.admit(cx, item);
        self.hold(cx);
        self.advance(cx);
    }

    /// Why nothing is taken now.
    fn closed(&self, now_ms: MonoMs) -> Option<Error> {
        if self.phase == Phase::Ended || now_ms >= self.tenure.until_ms {
            return Some(self.ownerless());
        }
        // An outage of the log: refused at once, not held. Once the wait is over, the next
        // operation tries the log again.
        let waiting = now_ms < self.resume_ms || self.flight.is_some();
        if self.log_down && waiting {
            return Some(self.refused("the log can't be reached"));
        }
        if self.queue.len() >= self.parts.settings.queued_ops {
            return Some(self.refused("too many claims wait"));
        }
        None
    }

    /// Serves from now on. What has waited is admitted anew: only now is the table whole, and a
    /// claim must not be written for a key that it shows as held.
    pub(super) fn begin_serving(&mut self, cx: CX![]) {
        self.phase = Phase::Serving;
        for item in self.queue.take_all() {
            self.admit(cx, item);
        }
    }

    /// Answers from the table where it tells the answer; else the operation goes into the log.
    fn admit(&mut self, cx: CX![], mut item: Item) {
        if self.queue.has(item.key()) {
            self.queue.defer(item);
            return;
        }
        if self.phase != Phase::Serving {
            self.queue.push(item);
            return;
        }
        let known = match &item.op {
            Op::Claim(call, _) => self.known_claim(cx, call),
            Op::Settle(call, _) => {
                if self.is_settled(cx, call) {
                    item.answer_settled();
                    return;
                }
                None
            }
        };
        match known {
            Some(answer) => self.answer(&mut item, answer),
            None => self.queue.push(item),
        }
    }

    /// The answer to a claim that needs no record: a held key, or the same request once more.
    ///
    /// These answers may come from an owner that is none any more. `Held` is then merely cautious.
    /// `Granted` repeats a grant that the log recorded for this very request, which no later
    /// epoch can have given to another one unless this request gave the key back.
    fn known_claim(&self, cx: CX![], call: &ClaimCall) -> Option<Result<ClaimAnswer, Error>> {
        let entry = self.entry(cx, call.key)?;
        let own = entry.request == call.request;
        match entry.state {
            EntryState::Pending if own => Some(Ok(ClaimAnswer::Granted)),
            EntryState::Freed if own => Some(Err(given_back())),
            EntryState::Freed => None,
            _ => Some(Ok(held(entry, call))),
        }
    }

    fn is_settled(&self, cx: CX![], call: &SettleCall) -> bool {
        let Some(entry) = self.entry(cx, call.key) else {
            // Nobody holds the key; `NotRun` is still written, for a claim that comes later.
            return call.settlement == Settlement::Ran;
        };
        match entry.state {
            EntryState::Pending => entry.request != call.request,
            EntryState::Freed if entry.request == call.request => true,
            EntryState::Freed => call.settlement == Settlement::Ran,
            EntryState::Ran | EntryState::Contested => true,
        }
    }

    /// A key's entry, unless it has expired by the log's clock as it must stand now. Where this
    /// estimate runs ahead of the log, the claim goes into the log, whose own time decides.
    fn entry(&self, cx: CX![], key: ClaimKey) -> Option<&Entry> {
        let elapsed_ms = self.now_ms(cx).since(self.reduced_ms);
        let log_ms = WallMs(self.state.log_ms().0.saturating_add(elapsed_ms.0));
        let validity_ms = self.parts.settings.validity_ms;
        self.state.table().get(key, log_ms, validity_ms)
    }

    fn answer(&self, item: &mut Item, answer: Result<ClaimAnswer, Error>) {
        let mut report = self.report.borrow_mut();
        match &answer {
            Ok(ClaimAnswer::Granted) => report.granted += 1,
            Ok(ClaimAnswer::Held { .. }) => report.held += 1,
            Err(_) => report.refused += 1,
        }
        drop(report);
        item.answer_claim(answer);
    }

    /// Moves the flight on, or starts the next one.
    pub(super) fn serve(&mut self, cx: CX![]) {
        match &self.flight {
            Some(flight) if flight.stage == Stage::Append => {
                let body = Arc::clone(&flight.body);
                self.append(cx, body);
            }
            Some(_) => self.read_next(cx),
            None => self.start_flight(cx),
        }
    }

    fn start_flight(&mut self, cx: CX![]) {
        if self.queue.is_idle() {
            return;
        }
        let now_ms = self.now_ms(cx);
        if now_ms < self.next_append_ms {
            self.wake_at(cx, self.next_append_ms);
            return;
        }
        self.next_append_ms = now_ms + self.parts.settings.append_interval_ms;
        self.last_batch += 1;
        let items = self.queue.take_batch(self.parts.settings.batch_ops);
        let flight = Flight::new(self.tenure.epoch, self.last_batch, items);
        let body = Arc::clone(&flight.body);
        self.flight = Some(flight);
        self.append(cx, body);
    }

    /// An append failed: it is tried again, looked for, or given up, by what is known of it.
    pub(super) fn flight_failed(&mut self, now_ms: MonoMs, error: &Error) {
        let Some(flight) = &mut self.flight else {
            return;
        };
        if error.verdict != Verdict::NotRun {
            // The lost answer: the batch may be in the log, or arrive later. It is looked for
            // first; until it is found nothing is known of it. Appending it again does no harm,
            // because the reduction takes each number once.
            flight.uncertain = true;
            flight.stage = Stage::ReadBack(None);
            self.log_down = true;
            return;
        }
        if flight.uncertain {
            flight.stage = Stage::ReadBack(None);
            self.log_failed(now_ms, error);
            return;
        }
        if error.kind == ErrorKind::Overloaded {
            let wait_ms = error.retry_after_ms.unwrap_or(SpanMs(1)).max(SpanMs(1));
            self.resume_ms = now_ms + wait_ms;
            return;
        }
        self.log_failed(now_ms, error);
        self.abandon_flight();
    }

    /// Gives up a batch that is certainly not in the log and never will be.
    fn abandon_flight(&mut self) {
        let Some(mut flight) = self.flight.take() else {
            return;
        };
        let refused = self.refused("the log can't be reached");
        flight.items().for_each(|item| item.refuse(refused.clone()));
        let deferred = self.queue.release(flight.keys());
        for mut item in deferred.into_iter().chain(self.queue.take_all()) {
            self.report.borrow_mut().refused += 1;
            item.refuse(refused.clone());
        }
    }

    /// Decides what follows a read while a batch is in flight that the read did not find.
    pub(super) fn flight_read(&mut self, now_ms: MonoMs, at_end: bool) {
        let Some(flight) = &mut self.flight else {
            return;
        };
        let read_all = match flight.stage {
            Stage::Append => false,
            Stage::ReadBack(None) => at_end,
            Stage::ReadBack(Some(target)) => self.state.next() > target,
        };
        if read_all {
            flight.stage = Stage::Append;
            let error = Error::may_have_run(ErrorKind::Unavailable, "the batch is not in the log");
            self.log_failed(now_ms, &error);
        }
    }

    /// A batch of this epoch took effect: the one point where claims are granted.
    ///
    /// The outcomes are those of the record's claims, so the record must be the flight's own, to
    /// the letter, whatever the numbers say.
    pub(super) fn land(&mut self, cx: CX![], body: &str, outcomes: &[ClaimOutcome]) {
        let Some(mut flight) = self.flight.take_if(|flight| &*flight.body == body) else {
            return;
        };
        for (item, outcome) in flight.claims().zip(outcomes) {
            let answer = match (&item.op, outcome) {
                (Op::Claim(call, _), ClaimOutcome::Held(entry)) => Ok(held(entry, call)),
                (_, ClaimOutcome::GivenBack) => Err(given_back()),
                _ => Ok(ClaimAnswer::Granted),
            };
            self.answer(item, answer);
        }
        self.log_works();
        for item in flight.items() {
            if matches!(item.op, Op::Settle(..)) {
                self.report.borrow_mut().settled += 1;
            }
            item.answer_settled();
        }
        self.admit_deferred(cx, flight.keys());
    }

    /// Sees to it that nothing waits longer than `hold_ms`.
    fn hold(&mut self, cx: CX![]) {
        if self.hold.is_some() {
            return;
        }
        let queued_ms = self.queue.oldest_ms();
        let flying_ms = self.flight.as_ref().and_then(Flight::oldest_ms);
        let Some(oldest_ms) = queued_ms.into_iter().chain(flying_ms).min() else {
            return;
        };
        let at_ms = oldest_ms + self.parts.settings.hold_ms;
        let fwd = fwd_to!([cx], held_long() as (MonoMs));
        self.hold = Some(self.parts.timers.subscribe_at(cx, at_ms, fwd));
    }

    /// Answers what has waited for long enough.
    fn held_long(&mut self, cx: CX![], now_ms: MonoMs) {
        self.hold = None;
        let since_ms = now_ms - self.parts.settings.hold_ms;
        let unsure = self.unsure("the log is slow");
        if let Some(flight) = &mut self.flight {
            let late = flight.items().filter(|item| item.since_ms <= since_ms);
            late.for_each(|item| item.refuse(unsure.clone()));
        }
        let refused = self.refused("the log is slow");
        for mut item in self.queue.take_older(since_ms) {
            self.report.borrow_mut().refused += 1;
            item.refuse(refused.clone());
        }
        self.admit_deferred(cx, std::iter::empty());
        self.hold(cx);
        self.advance(cx);
    }

    /// Admits the deferred operations again once keys are free.
    fn admit_deferred(&mut self, cx: CX![], freed: impl Iterator<Item = ClaimKey>) {
        for item in self.queue.release(freed) {
            self.admit(cx, item);
        }
    }
}

fn given_back() -> Error {
    Error::not_run(
        ErrorKind::Conflict,
        "the request gave this idempotency key back",
    )
}

fn held(entry: &Entry, call: &ClaimCall) -> ClaimAnswer {
    ClaimAnswer::Held {
        by: entry.request,
        state: entry.held().unwrap_or(ClaimState::Pending),
        same: entry.fingerprint == call.fingerprint,
    }
}
