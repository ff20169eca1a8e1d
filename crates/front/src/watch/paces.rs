//! Looking at engines: each by one node, which tells the others.

use crate::http::Freshness;
use crate::journal::Event;
use crate::node::Node;
use crate::platform::EngineReport;
use crate::{limits, signals};
use bluebell_base::prelude::*;
use bluebell_fleet::pace::{PROBE_INTERVAL_MS, is_prober};
use bluebell_fleet::prelude::*;
use http_body_util::{BodyExt, Limited};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;

/// How long an engine may take to answer: a sound one takes a few ms.
const ANSWER_MS: SpanMs = SpanMs(400);

/// The largest report.
const REPORT_BYTES: usize = 64 * 1024;

/// How long a connection is kept between two looks.
const KEPT_MS: SpanMs = SpanMs(3_000);

/// Looks at this node's part of the engines until the process ends.
pub async fn watch_paces(node: Rc<Node>) {
    loop {
        let spread_ms = rand::random_range(0..=PROBE_INTERVAL_MS.0 / 4);
        tokio::time::sleep(Duration::from_millis(PROBE_INTERVAL_MS.0 + spread_ms)).await;
        for (key, address) in own_part(&node) {
            spawn_local(probe(node.clone(), key, address));
        }
    }
}

/// The engines at which this node looks.
fn own_part(node: &Node) -> Vec<(ReplicaKey, SocketAddr)> {
    let peers = node.outbox.live_peers();
    let now_ms = node.now_ms();
    limits::update_shares(node);
    node.with(|state| {
        let Some(config) = &state.config else {
            return Vec::new();
        };
        let engines = config.services().filter(|service| service.engine.is_some());
        let ready = engines.flat_map(|service| state.replicas.ready(&service.name));
        let own = ready.filter(|(key, _, _)| {
            state.limits.admits_probe(*key, now_ms)
                && !state.replica_backoffs.is_backing_off(*key, now_ms)
                && is_prober(node.owner, &peers, *key)
        });
        own.map(|(key, replica, _)| (key, replica.address))
            .collect()
    })
}

/// Whether an engine answers a look.
pub async fn is_responding(node: &Rc<Node>, address: SocketAddr) -> bool {
    report(node, address).await.is_some()
}

/// What an engine says of itself; none where it doesn't answer in time.
async fn report(node: &Rc<Node>, address: SocketAddr) -> Option<EngineReport> {
    let read = tokio::time::timeout(Duration::from(ANSWER_MS), read(node, address));
    read.await.ok().flatten()
}

async fn probe(node: Rc<Node>, key: ReplicaKey, address: SocketAddr) {
    let Some(report) = report(&node, address).await else {
        return;
    };
    let now_ms = node.now_ms();
    let is_new = node.with(|state| state.paces.note(key, report.pace, now_ms));
    if is_new || report.pace.is_slow() {
        node.outbox.pace(key, report.pace);
    }
    if is_new {
        node.journal.record(&Event::EnginePace {
            key,
            pace: report.pace.to_string().into(),
        });
    }
}

async fn read(node: &Rc<Node>, address: SocketAddr) -> Option<EngineReport> {
    let mut link = node.pool.lease(address, Freshness::Kept).await.ok()?;
    let request = node.platform.dialect.report_request(address);
    limits::on_sent_to_address(node, address);
    let sent_ms = node.now_ms();
    let answer = link.send(request).await.ok()?;
    let status = answer.status();
    let said = node
        .platform
        .dialect
        .signals(status.as_u16(), answer.headers());
    // What refuses a probe says nothing by not naming a limit: another replica may have the address.
    if status.is_success() || said.limit != LimitSignal::Absent {
        signals::on_answer_at(node, address, &said, Source::Probe, sent_ms);
    }
    let body = Limited::new(answer.into_body(), REPORT_BYTES);
    let body = body.collect().await.ok()?.to_bytes();
    node.pool.give_back(link, Some(KEPT_MS));
    node.platform.dialect.report(&body)
}
