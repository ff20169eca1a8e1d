//! Resident memory by the number of known items. It is real memory, so its figures vary between runs.

use super::agreed::config_text;
use super::{Sizes, failed, settled, table};
use crate::report::Table;
use crate::rig::Rig;
use bluebell_base::prelude::*;
use bluebell_config::FleetConfig;
use bluebell_policy::{EngineFacts, PolicySettings};

/// The number of equal items held at the same time, so that the size of one shows above the page size.
const COPIES: usize = 40;

/// Returns the resident memory of this process, in bytes.
fn resident_bytes() -> f64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kilobytes = line.and_then(|line| line.split_whitespace().next());
    let kilobytes = kilobytes.and_then(|text| text.parse::<f64>().ok());
    kilobytes.unwrap_or_default() * 1024.0
}

/// Returns the memory of one of `COPIES` items, all of which are held until they are measured.
fn bytes_of<T>(make: impl Fn() -> T) -> f64 {
    let before = resident_bytes();
    let things: Vec<T> = (0..COPIES).map(|_| make()).collect();
    let bytes = (resident_bytes() - before) / COPIES as f64;
    // Never freed: the next size would reuse the memory, which would hide its cost.
    std::mem::forget(things);
    bytes.max(0.0)
}

fn parsed(accounts: usize) -> Option<FleetConfig> {
    config(accounts).ok()
}

fn config(accounts: usize) -> Result<FleetConfig, Error> {
    let text = config_text(accounts, 1);
    serde_json::from_str(&text).map_err(|_| failed("the configuration does not parse"))
}

fn by_accounts(sizes: &Sizes) -> Result<Table, Error> {
    let mut rows = Vec::new();
    for accounts in &sizes.accounts {
        let config = config(*accounts)?;
        let text = config_text(*accounts, 1);
        rows.push(vec![
            ("configuration, parsed, B", bytes_of(|| parsed(*accounts))),
            ("configuration, text, B", bytes_of(|| String::from(&*text))),
            (
                "policy, B",
                bytes_of(|| bluebell_policy::open(PolicySettings::default(), &config, 1)),
            ),
        ]);
    }
    Ok(table(
        "Memory by accounts",
        "accounts",
        &sizes.accounts,
        &rows,
    ))
}

fn by_upstreams(sizes: &Sizes) -> Result<Table, Error> {
    let config = config(10)?;
    let policy = |upstreams: usize| {
        let mut policy = bluebell_policy::open(PolicySettings::default(), &config, 1);
        (0..upstreams).for_each(|i| policy.engine_updated(facts(i), MonoMs(0)));
        policy
    };
    let mut rows = Vec::new();
    for upstreams in &sizes.upstreams {
        let policy = bytes_of(|| policy(*upstreams));
        let rig = bytes_of(|| settled_few(sizes.seed, *upstreams));
        rows.push(vec![
            ("policy, B", policy),
            ("control and membership, B", rig),
        ]);
    }
    let title = "Memory by upstreams; the second with rig and platform, whose list it is too";
    Ok(table(title, "upstreams", &sizes.upstreams, &rows))
}

/// Returns a node that has just received the upstreams.
fn settled_few(seed: u64, upstreams: usize) -> Rig {
    let mut rig = Rig::open(seed);
    rig.list_engines(upstreams, upstreams.clamp(1, 38));
    rig.start_nodes(1);
    rig.run_ms(SpanMs::from_secs(10));
    rig
}

fn facts(index: usize) -> EngineFacts {
    let name = UpstreamName::from(&*format!("engine-{index}"));
    EngineFacts {
        upstream: UpstreamId(index as u32),
        domain: DomainId(index as u32 % 9),
        models: vec![ModelId(index as u32 % 38)],
        kv_capacity_tokens: Tokens(480_000),
        rank: EngineFacts::rank_of(&name),
    }
}

fn by_nodes(sizes: &Sizes) -> Table {
    let measure = |nodes: &usize| {
        let before = resident_bytes();
        let rig = settled(sizes.seed, *nodes, 30);
        let bytes = (resident_bytes() - before) / *nodes as f64;
        std::mem::forget(rig);
        vec![("control and membership, B a node", bytes.max(0.0))]
    };
    let rows: Vec<_> = sizes.nodes.iter().map(measure).collect();
    let title = "Memory by nodes that know each other, rig included";
    table(title, "nodes", &sizes.nodes, &rows)
}

/// Measures all tables of memory.
pub(super) fn all(sizes: &Sizes) -> Result<Vec<Table>, Error> {
    Ok(vec![
        by_accounts(sizes)?,
        by_upstreams(sizes)?,
        by_nodes(sizes),
    ])
}
