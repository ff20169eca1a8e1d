//! The planned stop: the node is not ready from its beginning, finishes the requests in flight,
//! hands its duties over and then ends.
//!
//! Invariants: no request is cut off before the drain limit. The process ends by itself once nothing
//! is left, and at the drain limit at the latest. Reaching the limit is logged.

use super::Hub;
use bluebell_base::prelude::*;
use bluebell_claims::ClaimsReport;
use stakker::{CX, StopCause, call, fwd_to, ret_some_to, ret_to};

/// The time limit of the hand-over of duties, in milliseconds. While the log is down, no node can
/// take them over.
const HAND_OVER_LIMIT_MS: SpanMs = SpanMs::from_secs(5);
/// The pause between two checks for waiting settlements or for calls in progress, in milliseconds.
const FLUSH_PAUSE_MS: SpanMs = SpanMs(50);

impl Hub {
    /// Begins the planned stop; further calls change nothing.
    pub fn drain(&mut self, cx: CX![]) {
        if self.stopping {
            return;
        }
        log::info!("draining: not ready from now on");
        self.stopping = true;
        self.parts.card.leaving = true;
        self.parts.callers.set_ready(false);
        call!([self.parts.members], leave());
        let notice_elapsed = fwd_to!([cx], on_notice_elapsed() as (MonoMs));
        let notice_ms = self.parts.settings.drain_notice_ms;
        self.parts
            .timers
            .subscribe_in(cx, notice_ms, notice_elapsed);
        let limit = fwd_to!([cx], on_drain_limit() as (MonoMs));
        let limit_ms = self.parts.settings.drain_limit_ms;
        self.parts.timers.subscribe_in(cx, limit_ms, limit);
    }

    /// Stops accepting new requests once the drain notice has elapsed.
    ///
    /// Guards against a balancer that hasn't noticed the stop yet: it sends callers to this node
    /// until its next poll of `/readyz`. Until the notice has elapsed, the node serves them as
    /// usual. Without the notice an idle node would end at once, and these callers would find a
    /// closed port.
    fn on_notice_elapsed(&mut self, cx: CX![], _now_ms: MonoMs) {
        log::info!("draining: no new work from now on");
        let ret = ret_to!([cx], on_requests_done() as (()));
        self.parts.requests.drain(ret);
    }

    fn on_requests_done(&mut self, cx: CX![], _done: Option<()>) {
        log::info!("draining: nothing in flight any more, duties are handed over");
        let limit = fwd_to!([cx], on_hand_over_limit() as (MonoMs));
        self.parts
            .timers
            .subscribe_in(cx, HAND_OVER_LIMIT_MS, limit);
        self.request_claims_report(cx);
    }

    fn request_claims_report(&mut self, cx: CX![]) {
        let ret = ret_some_to!([cx], on_claims() as (ClaimsReport));
        self.parts.claims.report(cx, ret);
    }

    /// Hands the duties over once all settlements are in the log.
    ///
    /// If a settlement is lost with the process, its key remains "may have run" until it expires,
    /// although this node knows how the request ended.
    fn on_claims(&mut self, cx: CX![], report: ClaimsReport) {
        if report.settlements_waiting > 0 && !self.flushing {
            let again = fwd_to!([cx], on_claims_due() as (MonoMs));
            self.parts.timers.subscribe_in(cx, FLUSH_PAUSE_MS, again);
            return;
        }
        let ret = ret_to!([cx], on_duties_done() as (()));
        call!([self.parts.control], drain(ret));
    }

    fn on_claims_due(&mut self, cx: CX![], _now_ms: MonoMs) {
        self.request_claims_report(cx);
    }

    fn on_duties_done(&mut self, cx: CX![], _done: Option<()>) {
        self.flush(cx);
    }

    fn on_hand_over_limit(&mut self, cx: CX![], _now_ms: MonoMs) {
        // Guards against a log that is down: the leases can't be released and expire by themselves,
        // so waiting for the log would only delay the stop.
        self.flush(cx);
    }

    /// Waits until every answer is written to its socket, and then ends the process.
    ///
    /// Guards against a slow caller: when its request ends, the rest of the answer is still in this
    /// process and would be cut off by its end. The wait ends with the last call, and at the drain
    /// limit at the latest, which counts from the beginning of the stop.
    fn flush(&mut self, cx: CX![]) {
        if self.flushing {
            return;
        }
        self.flushing = true;
        let now_ms = self.parts.timers.now_ms(cx);
        self.on_flush_due(cx, now_ms);
    }

    fn on_flush_due(&mut self, cx: CX![], _now_ms: MonoMs) {
        if self.parts.callers.calls_in_progress() == 0 {
            log::info!("drained");
            cx.shutdown(StopCause::Stopped);
            return;
        }
        let again = fwd_to!([cx], on_flush_due() as (MonoMs));
        self.parts.timers.subscribe_in(cx, FLUSH_PAUSE_MS, again);
    }

    fn on_drain_limit(&mut self, cx: CX![], _now_ms: MonoMs) {
        log::warn!("the drain limit is reached; what is still in flight is cut");
        cx.shutdown(StopCause::Stopped);
    }
}
