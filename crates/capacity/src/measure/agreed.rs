//! The cost and the duration of changes of the configuration.

use super::{Sizes, failed, settled, table};
use crate::ledger::{Kind, Ledger};
use crate::report::Table;
use crate::rig::Rig;
use bluebell_base::prelude::*;
use std::time::Instant;

/// The number of nodes while the configuration's size varies.
const NODES: usize = 9;

/// The number of changes measured at each size.
const CHANGES: u64 = 20;

/// The time within which a change must be in force everywhere.
const FORCE_LIMIT_MS: SpanMs = SpanMs::from_secs(9);

/// Returns a configuration with this many accounts, 38 models, and one key that distinguishes versions.
pub(super) fn config_text(accounts: usize, version: u64) -> Arc<str> {
    let account = |i: usize| {
        let key = if i == accounts / 2 { version } else { 0 };
        let key = key << 32 | i as u64;
        format!(r#"{{"name":"account-of-team-{i}","key_sha256":"{key:064x}"}}"#)
    };
    let model = |i: usize| format!(r#"{{"name":"model-{i}","version":1}}"#);
    let accounts: Vec<String> = (0..accounts).map(account).collect();
    let models: Vec<String> = (0..38).map(model).collect();
    let class =
        r#"{"name":"draft","first_token":[{"within_ms":600}],"end_ms":20000,"idempotent":true}"#;
    let (accounts, models) = (accounts.join(",\n"), models.join(",\n"));
    format!("{{\"classes\":[{class}],\"accounts\":[{accounts}],\"models\":[{models}]}}").into()
}

fn config_bytes(rig: &Rig) -> (u64, u64) {
    let ledgers = rig.nodes.iter().map(|node| node.ledger());
    let add = |sum: (u64, u64), ledger: Ledger| {
        let (read, append) = (ledger.of(Kind::ReadConfig), ledger.of(Kind::AppendConfig));
        (sum.0 + read.bytes, sum.1 + append.bytes)
    };
    ledgers.fold((0, 0), add)
}

/// Publishes changes through different nodes. Returns the time until each was in force everywhere.
fn force_times(rig: &mut Rig, accounts: usize) -> Result<Vec<SpanMs>, Error> {
    let mut times = Vec::new();
    for version in 2..CHANGES + 2 {
        rig.run_ms(SpanMs(200 + version * 37 % 997));
        let node = version as usize % rig.nodes.len();
        let text = config_text(accounts, version);
        let answered = rig.publish(node, version - 1, &text);
        let answered = answered.ok_or_else(|| failed("a publication was not accepted"))?;
        let rest = rig.run_until_in_force(version, FORCE_LIMIT_MS);
        let rest = rest.ok_or_else(|| failed("a change took longer than it may"))?;
        times.push(answered + rest);
    }
    Ok(times)
}

fn first_version(rig: &mut Rig, accounts: usize) -> Result<(), Error> {
    let published = rig.publish(0, 0, &config_text(accounts, 1));
    published.ok_or_else(|| failed("the first publication was not accepted"))?;
    let forced = rig.run_until_in_force(1, FORCE_LIMIT_MS);
    forced.ok_or_else(|| failed("the first version took longer than it may"))?;
    rig.run_ms(SpanMs::from_secs(5));
    Ok(())
}

fn most(times: &[SpanMs]) -> f64 {
    times.iter().map(|ms| ms.0).max().unwrap_or_default() as f64
}

fn mean(times: &[SpanMs]) -> f64 {
    times.iter().map(|ms| ms.0).sum::<u64>() as f64 / times.len().max(1) as f64
}

/// Measures by the number of accounts in the configuration.
pub(super) fn by_size(sizes: &Sizes) -> Result<Table, Error> {
    let mut rows = Vec::new();
    for accounts in &sizes.accounts {
        let mut rig = settled(sizes.seed, NODES, 10);
        first_version(&mut rig, *accounts)?;
        // The cost of empty reads in the same time is subtracted.
        let (idle_ms, from) = (SpanMs::from_secs(60), config_bytes(&rig));
        rig.run_ms(idle_ms);
        let idle = (config_bytes(&rig).0 - from.0) as f64 / 60_000.0;
        let (before, from_ms, started) = (config_bytes(&rig), rig.now_ms(), Instant::now());
        let times = force_times(&mut rig, *accounts)?;
        let real_us = started.elapsed().as_secs_f64() * 1e6;
        let after = config_bytes(&rig);
        let span_ms = rig.now_ms().since(from_ms).0 as f64;
        let changes = CHANGES as f64;
        let read = (after.0 - before.0) as f64 - idle * span_ms;
        rows.push(vec![
            ("configuration, B", config_text(*accounts, 1).len() as f64),
            (
                "appended a change, B",
                (after.1 - before.1) as f64 / changes,
            ),
            ("read a change and node, B", read / changes / NODES as f64),
            ("in force everywhere, mean ms", mean(&times)),
            ("in force everywhere, most ms", most(&times)),
            (
                "REAL us a change and node, rig included",
                real_us / changes / NODES as f64,
            ),
        ]);
    }
    let title = format!("One key changes, {CHANGES} times, {NODES} nodes");
    Ok(table(&title, "accounts", &sizes.accounts, &rows))
}

/// Measures by the number of nodes.
pub(super) fn by_nodes(sizes: &Sizes) -> Result<Table, Error> {
    let accounts = sizes.accounts.last().copied().unwrap_or(10);
    let mut rows = Vec::new();
    for nodes in &sizes.nodes {
        let mut rig = settled(sizes.seed, *nodes, 10);
        first_version(&mut rig, accounts)?;
        let times = force_times(&mut rig, accounts)?;
        rows.push(vec![
            ("in force everywhere, mean ms", mean(&times)),
            ("in force everywhere, most ms", most(&times)),
        ]);
    }
    let title = format!("One key of {accounts} accounts changes, {CHANGES} times");
    Ok(table(&title, "nodes", &sizes.nodes, &rows))
}
