//! Memory that engines reserve for a prompt that none of them can hold alone.
//!
//! Invariants: memory is renewed only while its request lives, and released when the request ends.
//! If the node dies, the engines free the memory once the hold has expired. A reservation's name is
//! never used for two requests, so an order that is carried out late can't affect another request's
//! memory.

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
use http_body_util::{BodyExt, Limited};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::{AbortHandle, spawn_local};

/// The time for which an engine holds memory after an order arrives. Engines must not hold memory
/// for four seconds after its request has ended, nor for nine seconds without a request. This hold
/// bounds what a dead node leaves behind; what a dead engine leaves behind is bounded by the hold
/// and one more renewal.
const HOLD_MS: SpanMs = SpanMs(2_800);

/// The interval between renewals. Two renewals in a row may be lost, and the next still arrives in
/// time.
const RENEW_INTERVAL_MS: SpanMs = SpanMs(700);

/// The interval between renewals if one of the engines has stated a request limit, because the
/// orders count against it. One renewal may still be lost.
const LIMITED_RENEW_INTERVAL_MS: SpanMs = SpanMs(1_200);

/// The bound on the body of an answer to an order. Engines send none.
const MAX_ORDER_ANSWER_BYTES: usize = 64 * 1024;

/// The timeout of an order. Engines answer at once or not at all.
const ORDER_TIMEOUT_MS: SpanMs = SpanMs(500);

/// The memory reserved at one engine.
#[derive(Clone, Debug)]
struct Reservation {
    holder: Arc<Replica>,
    name: Arc<str>,
    tokens: Tokens,
}

/// All memory reserved for one attempt. Dropping it stops the renewal and releases the memory.
pub(super) struct ReservedMemory {
    node: Rc<Node>,
    reservations: Vec<Reservation>,
    renewal: Option<AbortHandle>,
}

impl ReservedMemory {
    /// Reserves the memory that the placement needs, and enters the reservations' names in
    /// `chosen.helpers`.
    pub async fn open(call: &Call, chosen: &mut Chosen) -> Result<Self, TryError> {
        let mut reserved = Self {
            node: call.node.clone(),
            reservations: Vec::new(),
            renewal: None,
        };
        for (holder, tokens) in chosen.memory.clone() {
            let address = holder.address;
            let reservation = Reservation {
                holder,
                name: format!("{:016x}", rand::random::<u64>()).into(),
                tokens,
            };
            call.node.journal.record(&Event::MemoryReserved {
                request: call.head.request.clone(),
                name: reservation.name.clone(),
                address,
                tokens,
            });
            // Recorded before the order is sent: an order without an answer may still be carried
            // out.
            reserved.reservations.push(reservation.clone());
            reservation.reserve(&call.node).await?;
            let helper = chosen.helpers.iter_mut().find(|h| h.address == address);
            if let Some(helper) = helper {
                helper.reservation = Some(reservation.name);
            }
        }
        if !reserved.reservations.is_empty() {
            let writer = chosen.replica.clone();
            let renewal = renew(call.node.clone(), writer, reserved.reservations.clone());
            reserved.renewal = Some(spawn_local(renewal).abort_handle());
        }
        Ok(reserved)
    }
}

impl Drop for ReservedMemory {
    fn drop(&mut self) {
        if let Some(renewal) = &self.renewal {
            renewal.abort();
        }
        for reservation in self.reservations.drain(..) {
            spawn_local(release(self.node.clone(), reservation));
        }
    }
}

impl Reservation {
    /// Returns true if the holder's address was given to another replica, which would carry out its orders.
    fn is_orphaned(&self, node: &Node) -> bool {
        node.with(|state| state.replicas.is_address_reused(&self.holder))
    }

    /// Renews the reservation, unless another replica has the holder's address; a failure is only logged.
    async fn renew(&self, node: &Rc<Node>) {
        if self.is_orphaned(node) {
            return;
        }
        if let Err(error) = self.reserve(node).await {
            log::warn!(
                "memory reservation {} was not renewed: {}",
                self.name,
                error.why
            );
        }
    }

    /// Orders the engine to reserve the memory, or to hold it for longer.
    async fn reserve(&self, node: &Rc<Node>) -> Result<(), TryError> {
        let order = MemoryOrder::Reserve {
            name: self.name.clone(),
            tokens: self.tokens,
            hold_ms: HOLD_MS,
        };
        let why = match send(node, self.holder.address, &order).await {
            Some(MemoryAnswer::Done) => return Ok(()),
            Some(MemoryAnswer::Full) => "the memory at a helper isn't free",
            Some(MemoryAnswer::Refused) => "a helper refused to set memory aside",
            None => "a helper didn't answer the order to set memory aside",
        };
        Err(TryError {
            delivered: false,
            ..TryError::new(why, Verdict::NotRun, Symptom::Full)
        })
    }
}

/// Renews memory for as long as the engine that writes the answer responds to probes.
///
/// An engine that dies without closing its connections looks like one that still reads the prompt.
/// Its request is lost, but the node still waits for it. Renewing the memory all the same kept it
/// at the helpers for twelve seconds, and other long prompts were refused for lack of it. Engines
/// respond to probes at any load, so one that doesn't is dead, or cut off from this node, which
/// can't receive its answer then.
async fn renew(node: Rc<Node>, writer: Arc<Replica>, reservations: Vec<Reservation>) {
    loop {
        let pause_ms = match is_any_limited(&node, &writer, &reservations) {
            true => LIMITED_RENEW_INTERVAL_MS,
            false => RENEW_INTERVAL_MS,
        };
        tokio::time::sleep(Duration::from(pause_ms)).await;
        if !is_alive(&node, &writer).await {
            for reservation in &reservations {
                node.journal.record(&Event::MemoryLapses {
                    name: reservation.name.clone(),
                    writer: writer.instance.clone(),
                });
            }
            continue;
        }
        // Sent concurrently: a helper that doesn't answer must not let the others' memory expire.
        join_all(
            reservations
                .iter()
                .map(|reservation| reservation.renew(&node)),
        )
        .await;
    }
}

/// Returns true if the writing engine or a helper has stated a request limit.
fn is_any_limited(node: &Node, writer: &Replica, reservations: &[Reservation]) -> bool {
    node.with(|state| {
        let holders = reservations
            .iter()
            .map(|reservation| reservation.holder.key());
        let mut engines = holders.chain([writer.key()]);
        engines.any(|key| state.limits.is_limited(key))
    })
}

/// Returns true if this engine responds at its address. Another replica may have taken the address
/// over; its response doesn't count.
async fn is_alive(node: &Rc<Node>, engine: &Replica) -> bool {
    let is_replaced = node.with(|state| state.replicas.is_address_reused(engine));
    !is_replaced && watch::is_responding(node, engine.address).await
}

/// Orders an engine to release a reservation, unless another replica has its address.
async fn release(node: Rc<Node>, reservation: Reservation) {
    if reservation.is_orphaned(&node) {
        return;
    }
    let name = reservation.name.clone();
    let order = MemoryOrder::Release { name };
    if send(&node, reservation.holder.address, &order).await != Some(MemoryAnswer::Done) {
        log::info!(
            "memory reservation {} was not released and will expire",
            reservation.name
        );
    }
}

/// Sends an order and records it. Returns `None` if it isn't answered in time.
async fn send(node: &Rc<Node>, address: SocketAddr, order: &MemoryOrder) -> Option<MemoryAnswer> {
    let exchange = exchange(node, address, order);
    let answer = tokio::time::timeout(Duration::from(ORDER_TIMEOUT_MS), exchange).await;
    let answer = answer.ok().flatten();
    node.journal.record(&Event::MemoryOrdered {
        name: order.name().clone(),
        address,
        order: order.as_str(),
        answer: answer.map_or("none", MemoryAnswer::as_str),
    });
    answer
}

/// Sends an order and reads its answer, including what the answer signals about the replica.
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
    let answer_signals = node.platform.dialect.signals(status, answer.headers());
    signals::on_answer_at(node, address, &answer_signals, Source::Order, sent_ms);
    let body = Limited::new(answer.into_body(), MAX_ORDER_ANSWER_BYTES);
    body.collect().await.ok()?;
    node.pool.give_back(link, None);
    Some(node.platform.dialect.memory_answer(status))
}
