//! The pool of connections that are kept for reuse, by address.

use super::guarded::{CutAnswer, CutAnswers};
use super::link::{Link, SendError};
use crate::node::Clock;
use bluebell_base::prelude::*;
use rustc_hash::FxHashMap;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;

/// The time for which the other side is assumed to keep an idle connection open if it doesn't
/// announce one. A request that is sent while the other side closes the connection shows as a
/// failed attempt.
const DEFAULT_KEEP_ALIVE_MS: SpanMs = SpanMs(4_000);

/// The time before the other side's idle timeout at which a connection is no longer used, so that
/// no request is sent while it is being closed.
const KEEP_ALIVE_MARGIN_MS: SpanMs = SpanMs(700);

/// The longest idle time of a kept connection that may carry a request which may run only once. If
/// the other side closes the connection as the request is sent, the request may or may not have
/// run.
const AT_MOST_ONCE_IDLE_MS: SpanMs = SpanMs(1_500);

/// The timeout for opening a connection. Replicas are a few ms away, and one that is down or cut
/// off never answers.
const CONNECT_TIMEOUT_MS: SpanMs = SpanMs(300);

/// The kept connections that a request may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Freshness {
    /// Any open connection, kept or new.
    Kept,
    /// A connection that has been idle for at most `AT_MOST_ONCE_IDLE_MS`, or a new one.
    Recent,
    /// A new connection only.
    New,
}

/// A kept connection with the time since which it has been idle and the time until which it may be
/// used.
#[derive(Debug)]
struct Idle {
    link: Link,
    since_ms: MonoMs,
    until_ms: MonoMs,
}

/// The connections that are kept for reuse, by address.
#[derive(Debug)]
pub struct Pool {
    clock: Clock,
    idle: RefCell<FxHashMap<SocketAddr, Vec<Idle>>>,
    opened: Cell<u64>,
    cut_answers: Rc<CutAnswers>,
}

impl Pool {
    /// Returns an empty pool that measures idle times by `clock`.
    pub fn open(clock: Clock) -> Rc<Self> {
        Rc::new(Self {
            clock,
            idle: RefCell::default(),
            opened: Cell::new(0),
            cut_answers: Rc::default(),
        })
    }

    /// Returns the number of connections for which opening was attempted so far.
    pub fn opened(&self) -> u64 {
        self.opened.get()
    }

    /// Leases a kept connection that `fresh` allows, or opens a new one.
    pub async fn lease(&self, address: SocketAddr, fresh: Freshness) -> Result<Link, SendError> {
        if let Some(link) = self.take(address, fresh) {
            return Ok(link);
        }
        self.opened.set(self.opened.get() + 1);
        Link::open(address, CONNECT_TIMEOUT_MS, self.cut_answers.clone()).await
    }

    /// Returns the answers that were cut since the last call.
    pub fn take_cut_answers(&self) -> Vec<CutAnswer> {
        self.cut_answers.take()
    }

    fn take(&self, address: SocketAddr, fresh: Freshness) -> Option<Link> {
        if fresh == Freshness::New {
            return None;
        }
        let now_ms = self.clock.now_ms();
        let mut idle = self.idle.borrow_mut();
        let kept = idle.get_mut(&address)?;
        while let Some(mut last) = kept.pop() {
            if last.until_ms <= now_ms || !last.link.is_usable() {
                continue;
            }
            let old = now_ms.since(last.since_ms) > AT_MOST_ONCE_IDLE_MS;
            if fresh == Freshness::Recent && old {
                kept.push(last);
                return None;
            }
            last.link.reused = true;
            return Some(last.link);
        }
        None
    }

    /// Returns a connection to the pool once its answer has been read completely. `keep_alive_ms`
    /// is the idle timeout that the other side announced.
    pub fn give_back(self: &Rc<Self>, mut link: Link, keep_alive_ms: Option<SpanMs>) {
        let pool = self.clone();
        tokio::task::spawn_local(async move {
            if link.wait_ready().await {
                pool.keep(link, keep_alive_ms);
            }
        });
    }

    fn keep(&self, link: Link, keep_alive_ms: Option<SpanMs>) {
        let since_ms = self.clock.now_ms();
        let kept_ms = keep_alive_ms.unwrap_or(DEFAULT_KEEP_ALIVE_MS);
        let kept_ms = SpanMs(kept_ms.0.saturating_sub(KEEP_ALIVE_MARGIN_MS.0));
        let idle = Idle {
            since_ms,
            until_ms: since_ms + kept_ms,
            link,
        };
        let mut all = self.idle.borrow_mut();
        all.entry(idle.link.address).or_default().push(idle);
    }

    /// Closes the idle connections to an address.
    pub fn forget(&self, address: SocketAddr) {
        self.idle.borrow_mut().remove(&address);
    }

    /// Closes the connections that were idle for too long or have been closed by the other side.
    pub fn expire(&self) {
        let now_ms = self.clock.now_ms();
        self.idle.borrow_mut().retain(|_, kept| {
            kept.retain(|idle| idle.until_ms > now_ms && idle.link.is_usable());
            !kept.is_empty()
        });
    }
}
