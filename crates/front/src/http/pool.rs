//! Kept connections, by address.

use super::link::{Link, SendError};
use crate::node::Clock;
use bluebell_base::prelude::*;
use rustc_hash::FxHashMap;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;

/// How long a connection is kept where the other side doesn't say. A close that
/// crosses a request shows as a failed try.
const KEPT_MS: SpanMs = SpanMs(4_000);

/// How much earlier than the other side a connection is given up, so that a request doesn't cross
/// its close.
const MARGIN_MS: SpanMs = SpanMs(700);

/// How old a kept connection may be for a request that may run only once: a close that crosses it
/// leaves it unknown whether it ran.
const AT_MOST_ONCE_IDLE_MS: SpanMs = SpanMs(1_500);

/// How long opening a connection may take: replicas are a few ms away, and a dark one never answers.
const CONNECT_MS: SpanMs = SpanMs(300);

/// Which kept connections will do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Freshness {
    /// Any that is open.
    Kept,
    /// One that was used a moment ago, or a new one.
    Recent,
    /// A new one only.
    New,
}

#[derive(Debug)]
struct Idle {
    link: Link,
    since_ms: MonoMs,
    until_ms: MonoMs,
}

/// All kept connections.
#[derive(Debug)]
pub struct Pool {
    clock: Clock,
    idle: RefCell<FxHashMap<SocketAddr, Vec<Idle>>>,
    opened: Cell<u64>,
}

impl Pool {
    /// An empty pool.
    pub fn open(clock: Clock) -> Rc<Self> {
        Rc::new(Self {
            clock,
            idle: RefCell::default(),
            opened: Cell::new(0),
        })
    }

    /// How many connections were opened so far.
    pub fn opened(&self) -> u64 {
        self.opened.get()
    }

    /// Leases a kept connection that will do, or opens one.
    pub async fn lease(&self, address: SocketAddr, fresh: Freshness) -> Result<Link, SendError> {
        if let Some(link) = self.take(address, fresh) {
            return Ok(link);
        }
        self.opened.set(self.opened.get() + 1);
        Link::open(address, CONNECT_MS).await
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

    /// Takes a connection back whose answer was read whole.
    pub fn give_back(self: &Rc<Self>, mut link: Link, keep_alive_ms: Option<SpanMs>) {
        let pool = self.clone();
        tokio::task::spawn_local(async move {
            if link.settled().await {
                pool.keep(link, keep_alive_ms);
            }
        });
    }

    fn keep(&self, link: Link, keep_alive_ms: Option<SpanMs>) {
        let since_ms = self.clock.now_ms();
        let kept_ms = keep_alive_ms.unwrap_or(KEPT_MS);
        let kept_ms = SpanMs(kept_ms.0.saturating_sub(MARGIN_MS.0));
        let idle = Idle {
            since_ms,
            until_ms: since_ms + kept_ms,
            link,
        };
        let mut all = self.idle.borrow_mut();
        all.entry(idle.link.address).or_default().push(idle);
    }

    /// Closes what was kept for too long.
    pub fn expire(&self) {
        let now_ms = self.clock.now_ms();
        self.idle.borrow_mut().retain(|_, kept| {
            kept.retain(|idle| idle.until_ms > now_ms && idle.link.is_usable());
            !kept.is_empty()
        });
    }
}
