//! Follows one stream of the log from an offset on.
//!
//! Terms: a batch is *cut* if the size limit of the read left further retained records; a *gap* is
//! a range of records that expired before they were read.
//!
//! Invariants: records are forwarded in offset order, each once, and every missing record is
//! covered by a [`TailEvent::Gap`]; at most one read is in progress; `Down` and `Up` events
//! alternate, and the initial state is up.

mod stats;

pub use stats::TailStats;

use crate::backoff::{Backoff, BackoffSettings};
use crate::log_port::{LogPort, LogRecord, ReadBatch};
use bluebell_base::prelude::*;
use bluebell_timers::{Subscription, Timers};
use stakker::{ActorOwn, CX, Core, Fwd, Ret, actor, fwd_to, ret_nop, ret_to};
use std::rc::Rc;

/// The fraction of the polling interval by which the interval varies in each direction, so that
/// nodes that started together don't keep reading together.
const INTERVAL_JITTER: f64 = 0.25;

/// The settings of a tail.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TailSettings {
    /// The interval between reads of a stream that was read up to its end.
    pub interval_ms: SpanMs,
    /// The maximum size of the records requested in one read.
    pub limit_bytes: Bytes,
    /// The delays between reads while reads fail.
    pub backoff: BackoffSettings,
}

impl Default for TailSettings {
    fn default() -> Self {
        Self {
            interval_ms: SpanMs(1_000),
            limit_bytes: Bytes(256 * 1024),
            backoff: BackoffSettings::default(),
        }
    }
}

/// The position in a stream at which a tail begins.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StreamPosition {
    /// The stream.
    pub stream: StreamName,
    /// The first offset to be forwarded.
    pub offset: Offset,
}

/// An event of a tail.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TailEvent {
    /// A read succeeded. This is also sent if there were no new records, so that the user knows
    /// that at `asked_ms` the stream contained no records beyond those forwarded, if `end` is
    /// reached.
    Records {
        /// The next records, in order. May be empty.
        records: Vec<LogRecord>,
        /// The oldest retained offset.
        first_retained: Offset,
        /// The offset that the next appended record will receive.
        end: Offset,
        /// The time when the read was sent.
        asked_ms: MonoMs,
    },
    /// Records from `from` up to but not including `to` expired before they were read.
    Gap {
        /// The first lost offset.
        from: Offset,
        /// The offset after the last lost one.
        to: Offset,
    },
    /// Reads have begun to fail. They are retried.
    Down(Error),
    /// Reads have begun to succeed again.
    Up,
}

/// An actor that follows one stream.
pub struct Tail {
    log: Rc<dyn LogPort>,
    timers: Timers,
    stream: StreamName,
    next: Offset,
    settings: TailSettings,
    events: Fwd<TailEvent>,
    backoff: Backoff,
    state: State,
    down: bool,
    stats: TailStats,
}

enum State {
    Waiting(Option<Subscription>),
    Reading { asked_ms: MonoMs, read_again: bool },
}

impl Tail {
    /// Spawns an actor that follows the stream from the position on. The first read is sent at
    /// once.
    pub fn spawn(
        core: &mut Core,
        log: Rc<dyn LogPort>,
        timers: Timers,
        at: StreamPosition,
        settings: TailSettings,
        seed: u64,
        events: Fwd<TailEvent>,
    ) -> ActorOwn<Tail> {
        let backoff = Backoff::new(settings.backoff, seed);
        let tail = Tail {
            log,
            timers,
            stream: at.stream,
            next: at.offset,
            settings,
            events,
            backoff,
            state: State::Waiting(None),
            down: false,
            stats: TailStats::at(at.offset),
        };
        actor!(core, Tail::init(tail), ret_nop!())
    }

    fn init(cx: CX![], mut tail: Tail) -> Option<Self> {
        tail.read(cx);
        Some(tail)
    }

    /// Reads at once, for example after an append by this node.
    ///
    /// A read in progress may have been answered before that append, so another one follows it.
    /// During an outage the backoff still applies. Otherwise every failed append of every node
    /// would add a read to a platform that is recovering.
    pub fn poll_soon(&mut self, cx: CX![]) {
        match &mut self.state {
            State::Reading { read_again, .. } => *read_again = true,
            State::Waiting(_) if self.down => (),
            State::Waiting(_) => self.read(cx),
        }
    }

    /// Returns the counters.
    pub fn stats(&mut self, _cx: CX![], ret: Ret<TailStats>) {
        ret.ret(TailStats {
            next: self.next,
            down: self.down,
            ..self.stats
        });
    }

    fn wake(&mut self, cx: CX![], _now_ms: MonoMs) {
        if let State::Waiting(_) = self.state {
            self.state = State::Waiting(None);
            self.read(cx);
        }
    }

    fn read(&mut self, cx: CX![]) {
        if let State::Waiting(Some(subscription)) = self.state {
            self.timers.cancel(cx, subscription);
        }
        self.stats.reads += 1;
        self.state = State::Reading {
            asked_ms: self.timers.now_ms(cx),
            read_again: false,
        };
        let ret = ret_to!([cx], on_read() as (Result<ReadBatch, Error>));
        let limit_bytes = self.settings.limit_bytes;
        self.log.read(cx, &self.stream, self.next, limit_bytes, ret);
    }

    fn on_read(&mut self, cx: CX![], answer: Option<Result<ReadBatch, Error>>) {
        let State::Reading {
            asked_ms,
            read_again,
        } = self.state
        else {
            return;
        };
        self.state = State::Waiting(None);
        let answer = answer.unwrap_or_else(|| Err(dropped()));
        match answer.and_then(|batch| self.check_end(batch)) {
            Ok(batch) => self.accept(cx, batch, asked_ms, read_again),
            Err(error) => self.fail(cx, error),
        }
    }

    /// Refuses an answer whose end is before the next offset to read.
    ///
    /// Such an answer comes from a replica that lost records, or from another log at the same
    /// address. Following it would forward the same offsets again with different records. It is
    /// treated as an outage until the log's end has reached the previous position again.
    fn check_end(&self, batch: ReadBatch) -> Result<ReadBatch, Error> {
        if batch.end >= self.next {
            return Ok(batch);
        }
        let message = format!(
            "stream {} ends at {}, before {} which was read already",
            self.stream, batch.end, self.next
        );
        Err(Error::not_run(ErrorKind::Upstream, message))
    }

    fn accept(&mut self, cx: CX![], batch: ReadBatch, asked_ms: MonoMs, read_again: bool) {
        self.backoff.reset();
        if std::mem::take(&mut self.down) {
            self.events.fwd(TailEvent::Up);
        }
        let before = self.next;
        if batch.first_retained > self.next {
            self.stats.lost += batch.first_retained.0 - self.next.0;
            self.events.fwd(TailEvent::Gap {
                from: self.next,
                to: batch.first_retained,
            });
            self.next = batch.first_retained;
        }
        let records = self.in_order(batch.records);
        self.stats.count(&records, batch.end);
        self.events.fwd(TailEvent::Records {
            records,
            first_retained: batch.first_retained,
            end: batch.end,
            asked_ms,
        });
        // Without progress an immediate read would repeat in a tight loop, so the interval applies.
        let cut = self.next < batch.end && self.next > before;
        if cut || read_again {
            return self.read(cx);
        }
        let interval_ms = self.settings.interval_ms;
        let wait_ms = self.backoff.jitter(interval_ms, INTERVAL_JITTER);
        self.wait(cx, wait_ms);
    }

    /// Returns the records that continue the forwarded sequence and drops the others.
    fn in_order(&mut self, mut records: Vec<LogRecord>) -> Vec<LogRecord> {
        records.retain(|record| {
            let fits = record.offset == self.next;
            if fits {
                self.next.0 += 1;
            }
            fits
        });
        records
    }

    fn fail(&mut self, cx: CX![], error: Error) {
        self.stats.failures += 1;
        if !std::mem::replace(&mut self.down, true) {
            log::warn!("stream {} can't be read: {error}", self.stream);
            self.events.fwd(TailEvent::Down(error));
        }
        let wait_ms = self.backoff.next_delay();
        self.wait(cx, wait_ms);
    }

    fn wait(&mut self, cx: CX![], wait_ms: SpanMs) {
        let wake = fwd_to!([cx], wake() as (MonoMs));
        let subscription = self.timers.subscribe_in(cx, wait_ms, wake);
        self.state = State::Waiting(Some(subscription));
    }
}

fn dropped() -> Error {
    Error::not_run(ErrorKind::Internal, "the log port dropped the read")
}
