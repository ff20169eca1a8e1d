//! The settlements that are on their way to the owners' logs.
//!
//! A settlement that was not taken is tried again until it is or its key expires. The tries of one
//! node are bounded: a tick takes the oldest few, and ticks grow rarer while none succeeds, so
//! that an outage of an hour does not end in a flood.
//!
//! A settlement that is dropped for lack of room harms nobody's safety: its key stays held until
//! it expires, and retries of its request are told that it may have run.

use super::{Claims, Route, dropped, settle_answer};
use bluebell_base::prelude::*;
use bluebell_peers::{PeerAnswer, PeerCall, SettleCall};
use bluebell_platform::{Backoff, BackoffSettings};
use stakker::{CX, call, fwd_to, ret_to};
use std::collections::{HashMap, VecDeque};

/// Settlements tried in one tick.
const TRIES_PER_TICK: usize = 32;

/// The longest time between ticks, as a multiple of the first.
const LONGEST_TICK: u64 = 16;

/// The settlements that are not in the log yet.
pub(super) struct Settling {
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

impl Settling {
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
        if self.settling.len() >= self.settling.limit {
            self.settling.dropped += 1;
            return;
        }
        let now_ms = self.parts.timers.now_ms(cx);
        let expires_ms = now_ms + self.parts.settings.validity_ms;
        self.settling.next_number += 1;
        let number = self.settling.next_number;
        let pending = PendingSettle { call, expires_ms };
        self.settling.by_number.insert(number, pending);
        self.try_settle(cx, number);
    }

    fn try_settle(&mut self, cx: CX![], number: u64) {
        let Some(pending) = self.settling.by_number.get(&number) else {
            return;
        };
        let settle = pending.call.clone();
        match self.route(settle.key) {
            Route::Nowhere => self.settle_later(cx, number),
            Route::Here(owner) => {
                let ret = ret_to!([cx], |this, cx, answer: Option<Result<(), Error>>| {
                    let answer = answer.unwrap_or_else(|| Err(dropped()));
                    this.settle_done(cx, number, answer)
                });
                call!([owner], settle(settle, ret));
            }
            Route::Peer(_, to) => {
                let ret = ret_to!(
                    [cx],
                    |this, cx, answer: Option<Result<PeerAnswer, Error>>| {
                        let answer = answer.unwrap_or_else(|| Err(dropped()));
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
                self.settling.by_number.remove(&number);
                self.settling.backoff = None;
            }
            Err(_) => self.settle_later(cx, number),
        }
    }

    fn settle_later(&mut self, cx: CX![], number: u64) {
        let now_ms = self.parts.timers.now_ms(cx);
        let expired = |pending: &mut PendingSettle| pending.expires_ms <= now_ms;
        let pending = self.settling.by_number.get_mut(&number);
        if pending.is_some_and(expired) {
            // The key itself has expired.
            self.settling.by_number.remove(&number);
            return;
        }
        self.settling.retry.push_back(number);
        self.tick_later(cx);
    }

    fn tick_later(&mut self, cx: CX![]) {
        if self.settling.ticking || self.settling.retry.is_empty() {
            return;
        }
        let first_ms = self.parts.settings.settle_retry_ms;
        let seed = self.parts.seed;
        let backoff = self.settling.backoff.get_or_insert_with(|| {
            let settings = BackoffSettings {
                first_ms,
                cap_ms: SpanMs(first_ms.0 * LONGEST_TICK),
            };
            Backoff::new(settings, seed)
        });
        let delay_ms = backoff.next_delay();
        let fwd = fwd_to!([cx], settle_tick() as (MonoMs));
        self.parts.timers.subscribe_in(cx, delay_ms, fwd);
        self.settling.ticking = true;
    }

    fn settle_tick(&mut self, cx: CX![], _now_ms: MonoMs) {
        self.settling.ticking = false;
        let count = self.settling.retry.len().min(TRIES_PER_TICK);
        let numbers: Vec<u64> = self.settling.retry.drain(..count).collect();
        for number in numbers {
            self.try_settle(cx, number);
        }
        self.tick_later(cx);
    }
}
