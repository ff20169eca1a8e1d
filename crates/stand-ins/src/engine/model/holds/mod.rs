//! Memory held for others than the engine's own streams: group reservations and exports.
//!
//! Invariants: a reservation is granted whole or not at all; every hold has an owner and an
//! expiry, and only its owner can renew, release or reclaim it.

use super::{Due, EngineModel, Timed};
use bluebell_base::prelude::*;
use bluebell_upstreams::prompt::PrefixHash;
use bluebell_upstreams::{Hold, HoldKind, Reserve};
use serde::{Deserialize, Serialize};

/// How long an export waits for its import.
const EXPORT_HOLD_US: u64 = 30_000_000;

/// When a refused reservation may be asked for again.
const RETRY_AFTER_MS: SpanMs = SpanMs(500);

/// The KV of a stream on its way to another engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExportedKv {
    /// The request it belongs to.
    pub request: RequestId,
    /// Who owns the stream.
    pub owner: Incarnation,
    /// The blocks, as beginnings of the prompt.
    pub prefixes: Vec<PrefixHash>,
    /// Its size.
    pub tokens: Tokens,
}

impl EngineModel {
    /// Reserves memory for a group, or renews the reservation.
    ///
    /// # Errors
    /// `Overloaded` where the memory is not free, `Conflict` where another owner has it.
    pub fn reserve(&mut self, now_us: u64, call: Reserve) -> Result<(), Error> {
        if self.leaving {
            let error = Error::not_run(ErrorKind::Unavailable, "the engine is leaving");
            return Err(error.retry_after(RETRY_AFTER_MS));
        }
        if self.taken_over(call.reservation) {
            return Ok(());
        }
        let held_tokens = match self.reservations.get(&call.reservation) {
            Some(reserved) if reserved.what.owner != call.owner => {
                let text = "another owner has the reservation";
                return Err(Error::not_run(ErrorKind::Conflict, text));
            }
            Some(reserved) => reserved.what.kv_tokens.0,
            None => 0,
        };
        if call.kv_tokens.0 > self.free_tokens() + held_tokens {
            let error = Error::not_run(ErrorKind::Overloaded, "the memory is not free");
            return Err(error.retry_after(RETRY_AFTER_MS));
        }
        self.free(held_tokens);
        self.hold(call.kv_tokens.0, now_us);
        let due_us = now_us.saturating_add(call.hold_ms.0.saturating_mul(1000));
        let reservation = call.reservation;
        let reserved = Timed { what: call, due_us };
        self.reservations.insert(reservation, reserved);
        self.due.insert((due_us, Due::Reservation(reservation)));
        self.snapshot(now_us);
        Ok(())
    }

    /// Releases a reservation; an unknown one is released already.
    ///
    /// # Errors
    /// `Conflict` where another owner has it.
    pub fn release(
        &mut self,
        now_us: u64,
        reservation: ReservationId,
        owner: Incarnation,
    ) -> Result<(), Error> {
        match self.reservations.get(&reservation) {
            Some(reserved) if reserved.what.owner != owner => {
                let text = "another owner has the reservation";
                return Err(Error::not_run(ErrorKind::Conflict, text));
            }
            Some(_) => self.drop_reservation(reservation, now_us),
            None => (),
        }
        Ok(())
    }

    /// Lists all memory that is held.
    pub fn holds(&self, now_us: u64) -> Vec<Hold> {
        let remember_us = self.remember_us();
        let left_ms = |due_us: u64| SpanMs(due_us.saturating_sub(now_us) / 1000);
        let running = self.running.iter().filter_map(|key| self.streams.get(*key));
        let streams = running.map(|stream| Hold {
            kind: HoldKind::Stream,
            request: stream.call.request,
            reservation: stream.call.group,
            owner: stream.call.owner,
            kv_tokens: Tokens(stream.need_tokens),
            expires_ms: left_ms(stream.due_us(remember_us)),
        });
        let reservations = self.reservations.values().map(|row| Hold {
            kind: HoldKind::Reservation,
            request: row.what.request,
            reservation: Some(row.what.reservation),
            owner: row.what.owner,
            kv_tokens: row.what.kv_tokens,
            expires_ms: left_ms(row.due_us),
        });
        let exports = self.exports.values().map(|row| Hold {
            kind: HoldKind::Export,
            request: row.what.request,
            reservation: None,
            owner: row.what.owner,
            kv_tokens: row.what.tokens,
            expires_ms: left_ms(row.due_us),
        });
        streams.chain(reservations).chain(exports).collect()
    }

    /// Exports the prompt's KV of a stream; it is held until [`Self::end_export`].
    ///
    /// # Errors
    /// `NotFound` where the stream is unknown or its prompt is not computed yet, `Overloaded`
    /// where there is no memory to hold the export.
    pub fn export(&mut self, now_us: u64, request: RequestId) -> Result<ExportedKv, Error> {
        let found = self.streams.find(request);
        let stream = found.and_then(|key| self.streams.get(key));
        let covered = stream.map_or(0, |s| self.cache.covered(&s.call.prefixes));
        let Some(stream) = stream.filter(|_| covered > 0) else {
            let text = "the engine has no KV of the request";
            return Err(Error::not_run(ErrorKind::NotFound, text));
        };
        let prefixes = stream.call.prefixes[..covered].to_vec();
        let tokens = prefixes.last().map_or(Tokens::ZERO, |prefix| prefix.tokens);
        let earlier = self.exports.get(&request);
        let earlier_tokens = earlier.map_or(0, |row| row.what.tokens.0);
        if tokens.0 > self.free_tokens() + earlier_tokens {
            let error = Error::not_run(ErrorKind::Overloaded, "no memory for the export");
            return Err(error.retry_after(RETRY_AFTER_MS));
        }
        let export = ExportedKv {
            request,
            owner: stream.call.owner,
            prefixes,
            tokens,
        };
        // The new export takes the earlier one's memory over before a waiting stream can: both would
        // else hold it.
        self.exports.remove(&request);
        self.free(earlier_tokens);
        self.hold(tokens.0, now_us);
        let due_us = now_us + EXPORT_HOLD_US;
        let what = export.clone();
        self.exports.insert(request, Timed { what, due_us });
        self.due.insert((due_us, Due::Export(request)));
        if earlier_tokens > tokens.0 {
            self.start_waiting(now_us);
            self.begin_step(now_us);
        }
        Ok(export)
    }

    /// Frees an export once it is imported or given up.
    pub fn end_export(&mut self, now_us: u64, request: RequestId) {
        self.drop_export(request, now_us);
    }

    /// Imports another engine's KV into the prefix cache; returns how long that takes, in
    /// microseconds.
    pub fn import(&mut self, now_us: u64, export: &ExportedKv) -> u64 {
        self.cache.import(&export.prefixes, now_us);
        self.cache.shrink(self.free_tokens(), now_us);
        export.tokens.0 * self.settings.transfer_token_ns / 1000
    }

    /// Frees all that `owner` holds for the request; `false` where another owner holds some.
    pub(super) fn reclaim(&mut self, owner: Incarnation, request: RequestId, now_us: u64) -> bool {
        let holds = self.holds(now_us);
        let mut own = true;
        for hold in holds.iter().filter(|hold| hold.request == request) {
            if hold.owner != owner {
                own = false;
                continue;
            }
            match (hold.kind, hold.reservation) {
                (HoldKind::Reservation, Some(id)) => self.drop_reservation(id, now_us),
                (HoldKind::Export, _) => self.drop_export(request, now_us),
                _ => self.reclaim_stream(request, now_us),
            }
        }
        own
    }

    pub(super) fn reservation_due(&mut self, reservation: ReservationId, now_us: u64) {
        let due_us = self.reservations.get(&reservation).map(|row| row.due_us);
        if due_us.is_some_and(|due_us| due_us <= now_us) {
            self.drop_reservation(reservation, now_us);
        }
    }

    pub(super) fn export_due(&mut self, request: RequestId, now_us: u64) {
        let due_us = self.exports.get(&request).map(|row| row.due_us);
        if due_us.is_some_and(|due_us| due_us <= now_us) {
            self.drop_export(request, now_us);
        }
    }

    /// Whether a running stream has taken the reservation over.
    fn taken_over(&self, reservation: ReservationId) -> bool {
        let mut running = self.running.iter().filter_map(|key| self.streams.get(*key));
        running.any(|stream| stream.call.group == Some(reservation))
    }

    fn reclaim_stream(&mut self, request: RequestId, now_us: u64) {
        if let Some(key) = self.streams.find(request) {
            self.fail(
                key,
                ErrorKind::Cancelled,
                "reclaimed from its owner",
                now_us,
            );
            self.start_waiting(now_us);
        }
    }

    fn drop_reservation(&mut self, reservation: ReservationId, now_us: u64) {
        if let Some(reserved) = self.reservations.remove(&reservation) {
            self.free(reserved.what.kv_tokens.0);
            self.start_waiting(now_us);
            self.begin_step(now_us);
        }
    }

    fn drop_export(&mut self, request: RequestId, now_us: u64) {
        if let Some(export) = self.exports.remove(&request) {
            self.free(export.what.tokens.0);
            self.start_waiting(now_us);
            self.begin_step(now_us);
        }
    }
}
