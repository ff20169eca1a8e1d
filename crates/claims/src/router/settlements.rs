//! The settlements that are not in their owner's log yet.
//!
//! A settlement that failed is retried until it succeeds or its key expires. The rate of retries of
//! a node is bounded: each tick retries a few of the oldest, and ticks become rarer while none
//! succeeds, so that an outage of an hour does not end in a burst.
//!
//! A settlement that is dropped because too many wait is safe: its key stays held until it expires,
//! and retries of its request get the answer that it may have run.

use super::{Claims, Route, owner_dropped_error, settle_answer};
use bluebell_base::prelude::*;
use bluebell_peers::{PeerAnswer, PeerCall, SettleCall};
use bluebell_platform::{Backoff, BackoffSettings};
use stakker::{CX, call, fwd_to, ret_to};
use std::collections::{HashMap, VecDeque};

/// The maximum number of settlements retried per tick.
const RETRIES_PER_TICK: usize = 32;

/// The longest interval between ticks, as a multiple of the first.
const MAX_TICK_FACTOR: u64 = 16;

/// The settlements that are not in the log yet.
pub(super) struct PendingSettlements {
    limit: usize,
    by_number: HashMap<u64, PendingSettle>,
    retry: VecDeque<u64>,
    next_number: u64,
    dropped: u64,
    ticking: bool,
    backoff: Option<Backoff>,
}

struct PendingSettle {
    call: SettleCall,
    expires_ms: MonoMs,
}

impl PendingSettlements {
    pub(super) fn new(limit: usize) -> Self {
        Self {
            limit,
            by_number: HashMap::new(),
            retry: VecDeque::new(),
            next_number: 0,
            dropped: 0,
            ticking: false,
            backoff: None,
        }
    }

    pub(super) fn len(&self) -> usize {
        self.by_number.len()
    }

    pub(super) fn dropped(&self) -> u64 {
        self.dropped
    }
}

impl Claims {
    pub(crate) fn settle(&mut self, cx: CX![], call: SettleCall) {
        if self.settlements.len() >= self.settlements.limit {
            self.settlements.dropped += 1;
            return;
        }
        let now_ms = self.parts.timers.now_ms(cx);
        let expires_ms = now_ms + self.parts.settings.validity_ms;
        self.settlements.next_number += 1;
        let number = self.settlements.next_number;
        let pending = PendingSettle { call, expires_ms };
        self.settlements.by_number.insert(number, pending);
        self.try_settle(cx, number);
    }

    fn try_settle(&mut self, cx: CX![], number: u64) {
        let Some(pending) = self.settlements.by_number.get(&number) else {
            return;
        };
        let settle = pending.call.clone();
        match self.route(settle.key) {
            Route::NoOwner => self.retry_settle_later(cx, number),
            Route::Local(owner) => {
                let ret = ret_to!([cx], |this, cx, answer: Option<Result<(), Error>>| {
                    let answer = answer.unwrap_or_else(|| Err(owner_dropped_error()));
                    this.settle_done(cx, number, answer)
                });
                call!([owner], settle(settle, ret));
            }
            Route::Peer(_, to) => {
                let ret = ret_to!(
                    [cx],
                    |this, cx, answer: Option<Result<PeerAnswer, Error>>| {
                        let answer = answer.unwrap_or_else(|| Err(owner_dropped_error()));
                        this.settle_done(cx, number, settle_answer(answer))
                    }
                );
                self.call_peer(cx, &to, PeerCall::Settle(settle), ret);
            }
        }
    }

    fn settle_done(&mut self, cx: CX![], number: u64, answer: Result<(), Error>) {
        match answer {
            Ok(()) => {
                self.settlements.by_number.remove(&number);
                self.settlements.backoff = None;
            }
            Err(_) => self.retry_settle_later(cx, number),
        }
    }

    fn retry_settle_later(&mut self, cx: CX![], number: u64) {
        let now_ms = self.parts.timers.now_ms(cx);
        let expired = |pending: &mut PendingSettle| pending.expires_ms <= now_ms;
        let pending = self.settlements.by_number.get_mut(&number);
        if pending.is_some_and(expired) {
            // The key itself has expired.
            self.settlements.by_number.remove(&number);
            return;
        }
        self.settlements.retry.push_back(number);
        self.schedule_tick(cx);
    }

    fn schedule_tick(&mut self, cx: CX![]) {
        if self.settlements.ticking || self.settlements.retry.is_empty() {
            return;
        }
        let first_ms = self.parts.settings.settle_retry_ms;
        let seed = self.parts.seed;
        let backoff = self.settlements.backoff.get_or_insert_with(|| {
            let settings = BackoffSettings {
                first_ms,
                cap_ms: SpanMs(first_ms.0 * MAX_TICK_FACTOR),
            };
            Backoff::new(settings, seed)
        });
        let delay_ms = backoff.next_delay();
        let fwd = fwd_to!([cx], settle_tick() as (MonoMs));
        self.parts.timers.subscribe_in(cx, delay_ms, fwd);
        self.settlements.ticking = true;
    }

    fn settle_tick(&mut self, cx: CX![], _now_ms: MonoMs) {
        self.settlements.ticking = false;
        let count = self.settlements.retry.len().min(RETRIES_PER_TICK);
        let numbers: Vec<u64> = self.settlements.retry.drain(..count).collect();
        for number in numbers {
            self.try_settle(cx, number);
        }
        self.schedule_tick(cx);
    }
}
