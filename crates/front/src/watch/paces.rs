//! Probes engines for their pace. Each engine is probed by one node, which notifies the others.

use super::join;
use crate::http::Freshness;
use crate::journal::Event;
use crate::node::Node;
use crate::platform::EngineReport;
use crate::{limits, signals};
use bluebell_base::prelude::*;
use bluebell_fleet::pace::{PROBE_INTERVAL_MS, ProbeRange};
use bluebell_fleet::prelude::*;
use bluebell_fleet::rendezvous;
use http_body_util::{BodyExt, Limited};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;

/// The time within which an engine must answer a probe. A healthy engine takes a few ms.
const PROBE_TIMEOUT_MS: SpanMs = SpanMs(400);

/// The maximum size of a report, in bytes.
const MAX_REPORT_BYTES: usize = 64 * 1024;

/// The time for which an idle connection is kept between two probes.
const IDLE_CONNECTION_MS: SpanMs = SpanMs(3_000);

/// The time after its start at which a node that has seeds begins to probe. By then it has heard its peers; a
/// node that knows none would probe all engines.
const START_DELAY_MS: SpanMs = SpanMs(2_500);

/// Probes this node's part of the engines until the process ends.
pub async fn watch_paces(node: Rc<Node>) {
    if !node.settings.seeds.is_empty() {
        tokio::time::sleep(Duration::from(START_DELAY_MS)).await;
        join::wait(&node).await;
    }
    loop {
        let spread_ms = rand::random_range(0..=PROBE_INTERVAL_MS.0 / 4);
        tokio::time::sleep(Duration::from_millis(PROBE_INTERVAL_MS.0 + spread_ms)).await;
        for (key, address) in engines_to_probe(&node) {
            spawn_local(probe(node.clone(), key, address));
        }
    }
}

/// Reads one report of each engine of this node's part, and notifies the peers of its work: all nodes have
/// just started, and none knows what the engines have. The peers that only announced themselves count as
/// nodes that read their parts as well.
pub async fn read_engine_work(node: Rc<Node>) {
    for (key, address) in engines_of(&node, &node.outbox.expected_peers()) {
        spawn_local(read_work_of(node.clone(), key, address));
    }
}

/// Reads the work of one engine.
async fn read_work_of(node: Rc<Node>, key: ReplicaKey, address: SocketAddr) {
    let work = report(&node, address).await.and_then(|report| report.work);
    if let Some(work) = work {
        node.with(|state| state.startup.on_report(key, work));
        node.outbox.engine_work(key, &work);
    }
}

/// Returns the engines that this node probes.
fn engines_to_probe(node: &Node) -> Vec<(ReplicaKey, SocketAddr)> {
    engines_of(node, &node.outbox.live_peers())
}

/// Returns the engines that this node probes if `peers` probe the others.
fn engines_of(node: &Node, peers: &[OwnerId]) -> Vec<(ReplicaKey, SocketAddr)> {
    let range = ProbeRange::of(node.owner, peers);
    let now_ms = node.now_ms();
    limits::update_shares(node);
    node.with(|state| {
        let Some(config) = &state.config else {
            return Vec::new();
        };
        let engines = config.services().filter(|service| service.engine.is_some());
        let ready = engines.flat_map(|service| state.replicas.ready(&service.name));
        // Only the nodes that hold a replica's limit may send to it, and the first of them probes it.
        let is_prober = |key| match state.limits.is_limited(key) {
            true => rendezvous::rank(node.owner, peers, key) == 0,
            false => range.contains(key),
        };
        let own = ready.filter(|(key, _, _)| {
            state.limits.admits_probe(*key, now_ms)
                && !state.replica_backoffs.is_backing_off(*key, now_ms)
                && is_prober(*key)
        });
        own.map(|(key, replica, _)| (key, replica.address))
            .collect()
    })
}

/// Returns true if an engine answers a probe in time.
pub async fn is_responding(node: &Rc<Node>, address: SocketAddr) -> bool {
    report(node, address).await.is_some()
}

/// Requests an engine's report. Returns `None` if no readable answer arrives in time.
async fn report(node: &Rc<Node>, address: SocketAddr) -> Option<EngineReport> {
    let read = tokio::time::timeout(Duration::from(PROBE_TIMEOUT_MS), read(node, address));
    read.await.ok().flatten()
}

/// Probes one engine, and records and gossips its pace.
async fn probe(node: Rc<Node>, key: ReplicaKey, address: SocketAddr) {
    let Some(report) = report(&node, address).await else {
        return;
    };
    let now_ms = node.now_ms();
    let is_new = node.with(|state| {
        if let Some(work) = report.work {
            state.startup.on_report(key, work);
        }
        state.paces.note(key, report.pace, now_ms)
    });
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

/// Requests an engine's report, and handles the signals in the answer's head. Returns `None` on any
/// error.
async fn read(node: &Rc<Node>, address: SocketAddr) -> Option<EngineReport> {
    let mut link = node.pool.lease(address, Freshness::Kept).await.ok()?;
    let request = node.platform.dialect.report_request(address);
    limits::on_sent_to_address(node, address);
    let sent_ms = node.now_ms();
    let answer = link.send(request).await.ok()?;
    let status = answer.status();
    let signals = node
        .platform
        .dialect
        .signals(status.as_u16(), answer.headers());
    // A refused probe without a limit doesn't end one: another replica may have the address now.
    if status.is_success() || signals.limit != LimitSignal::Absent {
        signals::on_answer_at(node, address, &signals, Source::Probe, sent_ms);
    }
    let body = Limited::new(answer.into_body(), MAX_REPORT_BYTES);
    let body = body.collect().await.ok()?.to_bytes();
    node.pool.give_back(link, Some(IDLE_CONNECTION_MS));
    node.platform.dialect.report(&body)
}
