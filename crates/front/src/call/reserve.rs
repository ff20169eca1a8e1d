//! Memory that engines set aside for a prompt that none of them can hold alone.
//!
//! Invariants: memory is renewed only while the request lives, and released when it ends; where the
//! node dies, the engines free it once the hold has run out. A name is never used for two requests,
//! so an order that is carried out late can't touch another's memory.

use super::Call;
use super::choose::Chosen;
use super::tries::TryError;
use crate::http::Freshness;
use crate::journal::Event;
use crate::node::Node;
use crate::platform::{MemoryAnswer, MemoryOrder};
use crate::watch;
use crate::{limits, signals};
use bluebell_base::prelude::*;
use bluebell_fleet::prelude::*;
use futures_util::future::join_all;
use http_body_util::BodyExt;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::{AbortHandle, spawn_local};

/// How long memory is held from an order's arrival. Engines must not hold it for four seconds after
/// its request has ended, nor for nine without one: that bounds what a dead node leaves behind, and
/// with one renewal more what a dead engine does.
const HOLD_MS: SpanMs = SpanMs(2_800);

/// How often it is renewed: two renewals may be lost, and the next still comes in time.
const RENEW_MS: SpanMs = SpanMs(700);

/// How often it is renewed where one of the engines names how many requests it takes: the orders count
/// among these, and one renewal may still be lost.
const LIMITED_RENEW_MS: SpanMs = SpanMs(1_200);

/// How long an order may take. Engines answer at once, or not at all.
const ORDER_MS: SpanMs = SpanMs(500);

/// One engine's memory.
#[derive(Clone, Debug)]
struct Piece {
    address: SocketAddr,
    name: Arc<str>,
    tokens: Tokens,
}

/// The memory of one try; dropping it releases all.
pub(super) struct Reserved {
    node: Rc<Node>,
    pieces: Vec<Piece>,
    renewal: Option<AbortHandle>,
}

impl Reserved {
    /// Sets aside what the placement needs, and names it in the helpers' entries.
    pub async fn open(call: &Call, chosen: &mut Chosen) -> Result<Self, TryError> {
        let mut reserved = Self {
            node: call.node.clone(),
            pieces: Vec::new(),
            renewal: None,
        };
        for (address, tokens) in chosen.memory.clone() {
            let piece = Piece {
                address,
                name: format!("{:016x}", rand::random::<u64>()).into(),
                tokens,
            };
            call.node.journal.record(&Event::MemoryReserved {
                request: call.head.request.clone(),
                name: piece.name.clone(),
                address,
                tokens,
            });
            // Noted first: an order without an answer may still be carried out.
            reserved.pieces.push(piece.clone());
            piece.reserve(&call.node).await?;
            let helper = chosen.helpers.iter_mut().find(|h| h.address == address);
            if let Some(helper) = helper {
                helper.reservation = Some(piece.name);
            }
        }
        if !reserved.pieces.is_empty() {
            let writer = chosen.replica.clone();
            let renewal = renew(call.node.clone(), writer, reserved.pieces.clone());
            reserved.renewal = Some(spawn_local(renewal).abort_handle());
        }
        Ok(reserved)
    }
}

impl Drop for Reserved {
    fn drop(&mut self) {
        if let Some(renewal) = &self.renewal {
            renewal.abort();
        }
        for piece in self.pieces.drain(..) {
            spawn_local(release(self.node.clone(), piece));
        }
    }
}

impl Piece {
    async fn renew(&self, node: &Rc<Node>) {
        if let Err(error) = self.reserve(node).await {
            log::warn!("memory {} isn't renewed: {}", self.name, error.why);
        }
    }

    async fn reserve(&self, node: &Rc<Node>) -> Result<(), TryError> {
        let order = MemoryOrder::Reserve {
            name: self.name.clone(),
            tokens: self.tokens,
            hold_ms: HOLD_MS,
        };
        let why = match send(node, self.address, &order).await {
            Some(MemoryAnswer::Done) => return Ok(()),
            Some(MemoryAnswer::Full) => "the memory at a helper isn't free",
            Some(MemoryAnswer::Refused) => "a helper refused to set memory aside",
            None => "a helper didn't answer the order to set memory aside",
        };
        Err(TryError {
            arrived: false,
            ..TryError::new(why, Verdict::NotRun, Symptom::Full)
        })
    }
}

/// Renews memory for as long as the engine that writes answers.
///
/// An engine that dies without closing its connections looks like one that still reads. Its request
/// is over, but the node waits for it, and kept memory at its helpers for twelve seconds that other
/// long prompts were refused for. Engines answer looks at any load, so one that doesn't is dead, or
/// cut off from this node, which then can't have its answer either.
async fn renew(node: Rc<Node>, writer: Arc<Replica>, pieces: Vec<Piece>) {
    loop {
        let pause_ms = match is_any_limited(&node, &writer, &pieces) {
            true => LIMITED_RENEW_MS,
            false => RENEW_MS,
        };
        tokio::time::sleep(Duration::from(pause_ms)).await;
        if !is_alive(&node, &writer).await {
            for piece in &pieces {
                node.journal.record(&Event::MemoryLapses {
                    name: piece.name.clone(),
                    writer: writer.instance.clone(),
                });
            }
            continue;
        }
        // At the same time: a helper that doesn't answer must not let the others' memory run out.
        join_all(pieces.iter().map(|piece| piece.renew(&node))).await;
    }
}

fn is_any_limited(node: &Node, writer: &Replica, pieces: &[Piece]) -> bool {
    node.with(|state| {
        let replicas = &state.replicas;
        let holders = pieces.iter().filter_map(|piece| replicas.at(piece.address));
        let mut engines = holders.chain([writer.key()]);
        engines.any(|key| state.limits.is_limited(key))
    })
}

/// Whether an engine answers at its address; another replica may have that by now, and answer.
async fn is_alive(node: &Rc<Node>, engine: &Replica) -> bool {
    let moved_in = node.with(|state| state.replicas.is_address_reused(engine));
    !moved_in && watch::is_responding(node, engine.address).await
}

async fn release(node: Rc<Node>, piece: Piece) {
    let name = piece.name.clone();
    let order = MemoryOrder::Release { name };
    if send(&node, piece.address, &order).await != Some(MemoryAnswer::Done) {
        log::info!("memory {} runs out by itself: not released", piece.name);
    }
}

/// Sends an order; none where it isn't answered.
async fn send(node: &Rc<Node>, address: SocketAddr, order: &MemoryOrder) -> Option<MemoryAnswer> {
    let exchange = exchange(node, address, order);
    let answer = tokio::time::timeout(Duration::from(ORDER_MS), exchange).await;
    let answer = answer.ok().flatten();
    node.journal.record(&Event::MemoryOrdered {
        name: order.name().clone(),
        address,
        order: order.as_str(),
        answer: answer.map_or("none", MemoryAnswer::as_str),
    });
    answer
}

async fn exchange(
    node: &Rc<Node>,
    address: SocketAddr,
    order: &MemoryOrder,
) -> Option<MemoryAnswer> {
    let mut link = node.pool.lease(address, Freshness::Recent).await.ok()?;
    let request = node.platform.dialect.memory_order(address, order);
    limits::on_sent_to_address(node, address);
    let sent_ms = node.now_ms();
    let answer = link.send(request).await.ok()?;
    let status = answer.status().as_u16();
    let said = node.platform.dialect.signals(status, answer.headers());
    signals::on_answer_at(node, address, &said, Source::Order, sent_ms);
    answer.into_body().collect().await.ok()?;
    node.pool.give_back(link, None);
    Some(node.platform.dialect.memory_answer(status))
}
