//! The cost of upstreams, and the delay until their changes are noticed.

use super::idle::Idle;
use super::{Sizes, failed, settled, table};
use crate::report::Table;
use crate::rig::{Rig, RigNode};
use bluebell_base::prelude::*;

/// The number of nodes while the number of upstreams varies.
const NODES: usize = 9;

/// The time within which all nodes must know a new upstream.
const NOTICE_LIMIT_MS: SpanMs = SpanMs::from_secs(1_200);

/// The number of upstreams that are added one after the other.
const ADDED: usize = 5;

/// Measures by the number of upstreams.
pub(super) fn by_upstreams(sizes: &Sizes) -> Result<Table, Error> {
    let mut rows = Vec::new();
    for upstreams in &sizes.upstreams {
        let mut rig = settled(sizes.seed, NODES, *upstreams);
        let idle = Idle::measure(&mut rig, SpanMs(sizes.span_ms.0 * 4));
        let mut row = idle.row();
        let times = notice_times(&mut rig, *upstreams)?;
        let mean_ms = times.iter().map(|ms| ms.0).sum::<u64>() as f64 / times.len() as f64;
        let most_ms = times.iter().map(|ms| ms.0).max().unwrap_or_default() as f64;
        row.push(("new upstream known on all nodes, mean s", mean_ms / 1e3));
        row.push(("new upstream known on all nodes, most s", most_ms / 1e3));
        rows.push(row);
    }
    let title = format!("Nothing changes, {NODES} nodes; JSON bytes without HTTP's own");
    Ok(table(&title, "upstreams", &sizes.upstreams, &rows))
}

/// Adds upstreams one by one, and waits for each until all nodes know it.
fn notice_times(rig: &mut Rig, upstreams: usize) -> Result<Vec<SpanMs>, Error> {
    let mut times = Vec::new();
    for added in 1..=ADDED {
        let from_ms = rig.now_ms();
        rig.list_engine(upstreams + added - 1, "model-0");
        let known = upstreams + added;
        let all = move |rig: &Rig| {
            let told = |node: &RigNode| node.upstreams() >= known;
            rig.nodes.iter().all(told)
        };
        if !rig.run_until(from_ms + NOTICE_LIMIT_MS, all) {
            return Err(failed("a new upstream stayed unknown"));
        }
        times.push(rig.now_ms().since(from_ms));
    }
    Ok(times)
}
