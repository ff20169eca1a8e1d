//! The planned stop: not ready at once, in-flight work finished, duties handed over, then the end.
//!
//! Invariants: nothing is cut; the process ends by itself once nothing is left, and at the drain
//! limit at the latest, which is then logged.

use super::Hub;
use bluebell_base::prelude::*;
use bluebell_claims::ClaimsReport;
use stakker::{CX, StopCause, call, fwd_to, ret_some_to, ret_to};

/// How long duties may take to be handed over; with the log down nobody could take them.
const HAND_OVER_LIMIT_MS: SpanMs = SpanMs::from_secs(5);
/// The pause between two looks whether callers still read their answers.
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
        let noticed = fwd_to!([cx], on_noticed() as (MonoMs));
        let notice_ms = self.parts.settings.drain_notice_ms;
        self.parts.timers.subscribe_in(cx, notice_ms, noticed);
        let limit = fwd_to!([cx], on_drain_limit() as (MonoMs));
        let limit_ms = self.parts.settings.drain_limit_ms;
        self.parts.timers.subscribe_in(cx, limit_ms, limit);
    }

    /// Takes no new work any more.
    ///
    /// Guards against a balancer that has not noticed yet: it goes on sending callers here until
    /// its next look at `/readyz`. Until the notice has passed they are served as ever; without
    /// it an idle node would be gone at once and they would meet a closed port.
    fn on_noticed(&mut self, cx: CX![], _now_ms: MonoMs) {
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
        self.ask_claims(cx);
    }

    fn ask_claims(&mut self, cx: CX![]) {
        let ret = ret_some_to!([cx], on_claims() as (ClaimsReport));
        self.parts.claims.report(cx, ret);
    }

    /// Hands the duties over once all settlements are in the log.
    ///
    /// A settlement lost with the process leaves its key "may have run" until it expires, though
    /// the request's end is known here.
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
        self.ask_claims(cx);
    }

    fn on_duties_done(&mut self, cx: CX![], _done: Option<()>) {
        self.flush(cx);
    }

    fn on_hand_over_limit(&mut self, cx: CX![], _now_ms: MonoMs) {
        // Guards against a log that is down: its leases can't be released and lapse by themselves,
        // so waiting for it would only hold the stop up.
        self.flush(cx);
    }

    /// Waits until every answer has reached its socket.
    ///
    /// Guards against a slow caller: its whole answer lies in this process when the request ends,
    /// and would be cut with it. The wait ends with the last call, at the drain limit at the
    /// latest, which is set from the beginning of the stop.
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
