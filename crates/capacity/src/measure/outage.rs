//! The first seconds after an outage of the platform and after a restart of all nodes at once.

use super::agreed::config_text;
use super::{DUTIES, Sizes, failed, settled, table};
use crate::ledger::Ledger;
use crate::report::Table;
use crate::rig::{Rig, RigNode};
use bluebell_base::prelude::*;

/// The duration of the outage.
const AWAY_MS: SpanMs = SpanMs::from_secs(120);

/// The time within which all duties must be held again.
const LIMIT_MS: SpanMs = SpanMs::from_secs(300);

/// The number of upstreams.
const UPSTREAMS: usize = 300;

/// Returns the highest number of calls of the whole fleet in one of the next `seconds`.
fn most_a_second(rig: &mut Rig, seconds: u64) -> f64 {
    let calls = |rig: &Rig| {
        let ledgers = rig.nodes.iter().map(|node| node.ledger());
        ledgers
            .map(|ledger: Ledger| ledger.sum().calls)
            .sum::<u64>()
    };
    let mut most = 0;
    for _ in 0..seconds {
        let before = calls(rig);
        rig.run_ms(SpanMs::from_secs(1));
        most = most.max(calls(rig) - before);
    }
    most as f64
}

fn held(rig: &Rig) -> usize {
    rig.nodes.iter().map(RigNode::duties).sum()
}

fn until_held(rig: &mut Rig) -> Result<SpanMs, Error> {
    let from_ms = rig.now_ms();
    let reached = rig.run_until(from_ms + LIMIT_MS, |rig| held(rig) >= DUTIES);
    match reached {
        true => Ok(rig.now_ms().since(from_ms)),
        false => Err(failed("duties stayed without a holder")),
    }
}

/// Measures by the number of nodes.
pub(super) fn by_nodes(sizes: &Sizes) -> Result<Table, Error> {
    let accounts = sizes.accounts.last().copied().unwrap_or(10);
    let mut rows = Vec::new();
    for nodes in &sizes.nodes {
        let mut rig = settled(sizes.seed, *nodes, UPSTREAMS);
        let published = rig.publish(0, 0, &config_text(accounts, 1));
        published.ok_or_else(|| failed("the first publication was not accepted"))?;
        rig.run_ms(SpanMs::from_secs(10));
        let usual = most_a_second(&mut rig, 5);
        rig.set_platform_down(true);
        rig.run_ms(AWAY_MS);
        rig.set_platform_down(false);
        let outage = most_a_second(&mut rig, 10);
        let outage_held_ms = until_held(&mut rig)? + SpanMs::from_secs(10);
        rig.run_ms(SpanMs::from_secs(60));
        rig.restart_all();
        let forced = rig.run_until_in_force(1, LIMIT_MS);
        let forced = forced.ok_or_else(|| failed("the fleet got no configuration"))?;
        let restart = most_a_second(&mut rig, 10);
        let restart_held_ms = until_held(&mut rig)? + forced + SpanMs::from_secs(10);
        rows.push(vec![
            ("calls/s of the fleet, usual", usual),
            ("calls/s after the outage, most", outage),
            (
                "duties held after the outage, at most s",
                outage_held_ms.0 as f64 / 1e3,
            ),
            ("in force after a restart of all, ms", forced.0 as f64),
            ("calls/s after the restart, most", restart),
            (
                "duties held after the restart, at most s",
                restart_held_ms.0 as f64 / 1e3,
            ),
        ]);
    }
    let title = format!(
        "Two minutes without the platform; then all nodes killed and started at once; {UPSTREAMS} upstreams"
    );
    Ok(table(&title, "nodes", &sizes.nodes, &rows))
}
