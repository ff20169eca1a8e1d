//! The serving phase: admission of claims and settlements, the batch in flight, and the answers.

use super::Owner;
use super::Phase;
use super::in_flight::{BatchInFlight, Stage};
use super::operation::{ClaimRet, Op, QueuedOp, SettleRet};
use crate::reduce::ClaimOutcome;
use crate::table::{Entry, EntryState};
use bluebell_base::prelude::*;
use bluebell_peers::{ClaimAnswer, ClaimCall, ClaimKey, ClaimState, SettleCall, Settlement};
use stakker::{CX, fwd_to};

impl Owner {
    /// Handles a claim.
    pub(crate) fn claim(&mut self, cx: CX![], call: ClaimCall, ret: ClaimRet) {
        let op = Op::Claim(call, Some(ret));
        self.accept(cx, op);
    }

    /// Handles a settlement.
    pub(crate) fn settle(&mut self, cx: CX![], call: SettleCall, ret: SettleRet) {
        let op = Op::Settle(call, Some(ret));
        self.accept(cx, op);
    }

    fn accept(&mut self, cx: CX![], op: Op) {
        let arrived_ms = self.now_ms(cx);
        let mut item = QueuedOp { op, arrived_ms };
        if let Some(error) = self.rejection(arrived_ms) {
            self.report.borrow_mut().refused += 1;
            item.refuse(error);
            return;
        }
        self.admit(cx, item);
        self.schedule_wait_timeout(cx);
        self.advance(cx);
    }

    /// Returns the error for an operation that can't be accepted now, or `None`.
    fn rejection(&self, now_ms: MonoMs) -> Option<Error> {
        if self.phase == Phase::Ended || now_ms >= self.lease.until_ms {
            return Some(self.not_owner_error());
        }
        // During an outage of the log, operations are refused at once instead of queued. After the
        // backoff the next operation tries the log again.
        let waiting = now_ms < self.resume_ms || self.in_flight.is_some();
        if self.log_down && waiting {
            return Some(self.not_run_error("the log can't be reached"));
        }
        if self.queue.len() >= self.parts.settings.queued_ops {
            return Some(self.not_run_error("too many claims wait"));
        }
        None
    }

    /// Starts serving and admits the waiting operations again. Only now is the table complete, and
    /// a claim must not be written for a key that it shows as held.
    pub(super) fn begin_serving(&mut self, cx: CX![]) {
        self.phase = Phase::Serving;
        for item in self.queue.take_all() {
            self.admit(cx, item);
        }
    }

    /// Answers an operation from the table if possible, otherwise queues it for the log.
    fn admit(&mut self, cx: CX![], mut item: QueuedOp) {
        if self.queue.has_key(item.key()) {
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
                if self.needs_no_record(cx, call) {
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

    /// Returns the answer to a claim that needs no record: the key is held, or the same request
    /// claims it again.
    ///
    /// The answer may come from an owner that has already been replaced. `Held` is then merely
    /// cautious. `Granted` repeats a grant that the log recorded for this request. No later epoch
    /// can have granted the key to another request unless this request released it.
    fn known_claim(&self, cx: CX![], call: &ClaimCall) -> Option<Result<ClaimAnswer, Error>> {
        let entry = self.entry(cx, call.key)?;
        let own = entry.request == call.request;
        match entry.state {
            EntryState::Pending if own => Some(Ok(ClaimAnswer::Granted)),
            EntryState::Freed if own => Some(Err(released_error())),
            EntryState::Freed => None,
            _ => Some(Ok(held_answer(entry, call))),
        }
    }

    /// Returns true if a settlement would change nothing, so that it needs no record.
    fn needs_no_record(&self, cx: CX![], call: &SettleCall) -> bool {
        let Some(entry) = self.entry(cx, call.key) else {
            // No request holds the key. `NotRun` is still written, for a claim that arrives later.
            return call.settlement == Settlement::Ran;
        };
        match entry.state {
            EntryState::Pending => entry.request != call.request,
            EntryState::Freed if entry.request == call.request => true,
            EntryState::Freed => call.settlement == Settlement::Ran,
            EntryState::Ran | EntryState::Contested => true,
        }
    }

    /// Returns a key's entry, unless it has expired by this node's estimate of the log's clock. If
    /// the estimate is ahead of the log's clock, the claim is written to the log, whose own time
    /// decides.
    fn entry(&self, cx: CX![], key: ClaimKey) -> Option<&Entry> {
        let elapsed_ms = self.now_ms(cx).since(self.reduced_ms);
        let log_ms = WallMs(self.state.log_ms().0.saturating_add(elapsed_ms.0));
        let validity_ms = self.parts.settings.validity_ms;
        self.state.table().get(key, log_ms, validity_ms)
    }

    fn answer(&self, item: &mut QueuedOp, answer: Result<ClaimAnswer, Error>) {
        let mut report = self.report.borrow_mut();
        match &answer {
            Ok(ClaimAnswer::Granted) => report.granted += 1,
            Ok(ClaimAnswer::Held { .. }) => report.held += 1,
            Err(_) => report.refused += 1,
        }
        drop(report);
        item.answer_claim(answer);
    }

    /// Starts the next step of the batch in flight, or the next batch.
    pub(super) fn serve(&mut self, cx: CX![]) {
        match &self.in_flight {
            Some(in_flight) if in_flight.stage == Stage::Append => {
                let body = Arc::clone(&in_flight.body);
                self.append(cx, body);
            }
            Some(_) => self.read_next(cx),
            None => self.append_next_batch(cx),
        }
    }

    fn append_next_batch(&mut self, cx: CX![]) {
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
        let in_flight = BatchInFlight::new(self.lease.epoch, self.last_batch, items);
        let body = Arc::clone(&in_flight.body);
        self.in_flight = Some(in_flight);
        self.append(cx, body);
    }

    /// Handles a failed append: searches the log for the batch, retries, or abandons it, depending
    /// on the error.
    pub(super) fn on_batch_append_failed(&mut self, now_ms: MonoMs, error: &Error) {
        let Some(in_flight) = &mut self.in_flight else {
            return;
        };
        if error.verdict != Verdict::NotRun {
            // The answer was lost, so the batch may be in the log or arrive later. The owner first
            // searches the log for it. Appending it again does no harm, because the reduction
            // applies each batch number once.
            in_flight.uncertain = true;
            in_flight.stage = Stage::ReadBack(None);
            self.log_down = true;
            return;
        }
        if in_flight.uncertain {
            in_flight.stage = Stage::ReadBack(None);
            self.on_log_error(now_ms, error);
            return;
        }
        if error.kind == ErrorKind::Overloaded {
            let wait_ms = error.retry_after_ms.unwrap_or(SpanMs(1)).max(SpanMs(1));
            self.resume_ms = now_ms + wait_ms;
            return;
        }
        self.on_log_error(now_ms, error);
        self.abandon_batch();
    }

    /// Refuses all operations of a batch that is not in the log and never will be, and those that
    /// wait.
    fn abandon_batch(&mut self) {
        let Some(mut in_flight) = self.in_flight.take() else {
            return;
        };
        let refused = self.not_run_error("the log can't be reached");
        in_flight
            .items()
            .for_each(|item| item.refuse(refused.clone()));
        let deferred = self.queue.release(in_flight.keys());
        for mut item in deferred.into_iter().chain(self.queue.take_all()) {
            self.report.borrow_mut().refused += 1;
            item.refuse(refused.clone());
        }
    }

    /// Appends the batch in flight again if a read up to its expected position did not return it.
    pub(super) fn on_batch_not_found(&mut self, now_ms: MonoMs, at_end: bool) {
        let Some(in_flight) = &mut self.in_flight else {
            return;
        };
        let read_all = match in_flight.stage {
            Stage::Append => false,
            Stage::ReadBack(None) => at_end,
            Stage::ReadBack(Some(target)) => self.state.next() > target,
        };
        if read_all {
            in_flight.stage = Stage::Append;
            let error = Error::may_have_run(ErrorKind::Unavailable, "the batch is not in the log");
            self.on_log_error(now_ms, &error);
        }
    }

    /// Answers the operations of a batch of this epoch that took effect. Claims that need a record
    /// are granted only here.
    ///
    /// The outcomes belong to the claims of the record, so the record must be byte for byte that of
    /// the batch in flight. Equal batch numbers don't suffice.
    pub(super) fn on_own_batch_applied(
        &mut self,
        cx: CX![],
        body: &str,
        outcomes: &[ClaimOutcome],
    ) {
        let Some(mut in_flight) = self.in_flight.take_if(|in_flight| &*in_flight.body == body)
        else {
            return;
        };
        for (item, outcome) in in_flight.claims().zip(outcomes) {
            let answer = match (&item.op, outcome) {
                (Op::Claim(call, _), ClaimOutcome::Held(entry)) => Ok(held_answer(entry, call)),
                (_, ClaimOutcome::Released) => Err(released_error()),
                _ => Ok(ClaimAnswer::Granted),
            };
            self.answer(item, answer);
        }
        self.on_log_answer();
        for item in in_flight.items() {
            if matches!(item.op, Op::Settle(..)) {
                self.report.borrow_mut().settled += 1;
            }
            item.answer_settled();
        }
        self.admit_deferred(cx, in_flight.keys());
    }

    /// Starts the timer that limits the wait of the oldest operation to `max_wait_ms`.
    fn schedule_wait_timeout(&mut self, cx: CX![]) {
        if self.wait_timeout.is_some() {
            return;
        }
        let queued_ms = self.queue.oldest_ms();
        let in_flight_ms = self.in_flight.as_ref().and_then(BatchInFlight::oldest_ms);
        let Some(oldest_ms) = queued_ms.into_iter().chain(in_flight_ms).min() else {
            return;
        };
        let at_ms = oldest_ms + self.parts.settings.max_wait_ms;
        let fwd = fwd_to!([cx], on_wait_timeout() as (MonoMs));
        self.wait_timeout = Some(self.parts.timers.subscribe_at(cx, at_ms, fwd));
    }

    /// Refuses the operations that have waited for `max_wait_ms`.
    fn on_wait_timeout(&mut self, cx: CX![], now_ms: MonoMs) {
        self.wait_timeout = None;
        let cutoff_ms = now_ms - self.parts.settings.max_wait_ms;
        let error = self.may_have_run_error("the log is slow");
        if let Some(in_flight) = &mut self.in_flight {
            let late = in_flight
                .items()
                .filter(|item| item.arrived_ms <= cutoff_ms);
            late.for_each(|item| item.refuse(error.clone()));
        }
        let refused = self.not_run_error("the log is slow");
        for mut item in self.queue.take_arrived_by(cutoff_ms) {
            self.report.borrow_mut().refused += 1;
            item.refuse(refused.clone());
        }
        self.admit_deferred(cx, std::iter::empty());
        self.schedule_wait_timeout(cx);
        self.advance(cx);
    }

    /// Admits the deferred operations again after the keys `freed` are no longer busy.
    fn admit_deferred(&mut self, cx: CX![], freed: impl Iterator<Item = ClaimKey>) {
        for item in self.queue.release(freed) {
            self.admit(cx, item);
        }
    }
}

fn released_error() -> Error {
    Error::not_run(
        ErrorKind::Conflict,
        "the request gave this idempotency key back",
    )
}

fn held_answer(entry: &Entry, call: &ClaimCall) -> ClaimAnswer {
    ClaimAnswer::Held {
        by: entry.request,
        state: entry.held_state().unwrap_or(ClaimState::Pending),
        same: entry.fingerprint == call.fingerprint,
    }
}
