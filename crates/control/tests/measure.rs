//! Measurements of the figures that docs/design states, with bounds that must hold. Run
//! `cargo test -p bluebell-control --test measure -- --nocapture` to print the figures.

mod support;

use bluebell_base::prelude::*;
use bluebell_control::{ControlEvent, Published};
use support::{Fleet, Traffic, config_text};

/// The maximum time until a change is in force on all nodes, at the fleet size that the users plan
/// for within two years.
const FORCE_LIMIT_MS: u64 = 9_000;

/// Returns the times at which a version came into force on each node.
fn forced_ms(fleet: &Fleet, version: u64) -> Vec<MonoMs> {
    let nodes = fleet.nodes.iter();
    let at = |node: &support::Node| {
        let events = node.events.borrow();
        let found = events.iter().find_map(|(at_ms, event)| match event {
            ControlEvent::Config { version: v, .. } if v.0 == version => Some(*at_ms),
            _ => None,
        });
        found.expect("in force")
    };
    nodes.map(at).collect()
}

fn percentile(sorted: &[u64], share: f64) -> u64 {
    let index = (sorted.len() as f64 * share).ceil() as usize;
    sorted[index.clamp(1, sorted.len()) - 1]
}

fn print_percentiles(what: &str, mut values: Vec<u64>) -> u64 {
    values.sort();
    let at = |share| percentile(&values, share);
    let max = at(1.0);
    println!(
        "{what}: p50 {} ms, p99 {} ms, max {max} ms of {}",
        at(0.5),
        at(0.99),
        values.len()
    );
    max
}

/// Publishes `count` times, each time through another node. Returns for each publication the time
/// in milliseconds until it is in force on the last node.
fn force_times(fleet: &mut Fleet, count: u64) -> Vec<u64> {
    let mut times = Vec::new();
    for version in 1..=count {
        fleet.run_ms(200 + version * 37 % 997);
        let from_ms = fleet.now_ms;
        let index = (version % 9) as usize;
        let answer = fleet.publish_now(index, version - 1, &text_of(version));
        let accepted = ConfigVersion(version);
        assert_eq!(answer, Ok(Published::Accepted { version: accepted }));
        fleet.run_ms(5_000);
        let last = forced_ms(fleet, version).into_iter().max().unwrap();
        times.push(last.since(from_ms).0);
    }
    times
}

/// Returns a configuration whose end target identifies its version.
fn text_of(version: u64) -> Arc<str> {
    config_text(1_000 + version)
}

/// Measures the time from an operator's call until the version is in force on the last of nine
/// nodes, without faults, at two read intervals.
#[test]
fn time_to_force() {
    for tail_ms in [300, 1_000] {
        let mut fleet = Fleet::with_nodes(1, 0);
        fleet.settings.config_tail_ms = SpanMs(tail_ms);
        (0..9).for_each(|_| {
            fleet.start_node();
        });
        fleet.run_ms(30_000);
        let times = force_times(&mut fleet, 300);
        let what = format!("force on nine nodes, reading each {tail_ms} ms");
        assert!(print_percentiles(&what, times) <= FORCE_LIMIT_MS);
    }
}

/// Measures the same time after an outage in which publications were refused. It starts when the
/// platform is back, and the operator retries every 200 ms.
#[test]
fn time_to_force_after_an_outage() {
    let mut fleet = Fleet::with_nodes(2, 9);
    let mut times = Vec::new();
    for version in 1..31 {
        fleet.set_platform_down(true);
        fleet.run_ms(120_000 + version * 613 % 5_000);
        fleet.set_platform_down(false);
        let from_ms = fleet.now_ms;
        while fleet
            .publish_now(0, version - 1, &text_of(version))
            .is_err()
        {
            fleet.run_ms(200);
        }
        fleet.run_ms(20_000);
        let last = forced_ms(&fleet, version).into_iter().max().unwrap();
        times.push(last.since(from_ms).0);
    }
    let max = print_percentiles("force after an outage of two minutes", times);
    assert!(max <= FORCE_LIMIT_MS);
}

/// Returns the traffic of one node since its start: reads of the log, appends, fetches of the list
/// and peer calls.
fn traffic_of(fleet: &Fleet, index: usize) -> [Traffic; 4] {
    let node = &fleet.nodes[index];
    let mut parts = [Traffic::default(); 4];
    for (name, traffic) in node.counts.borrow().iter() {
        let part = match name.split(' ').next() {
            Some("read") => 0,
            Some("append") => 1,
            _ => 2,
        };
        parts[part].calls += traffic.calls;
        parts[part].bytes += traffic.bytes;
    }
    let net = fleet.net.borrow();
    let of = |map: &std::collections::BTreeMap<Address, u64>| {
        map.get(&node.address).copied().unwrap_or_default()
    };
    parts[3].calls = of(&net.calls);
    parts[3].bytes = of(&net.bytes);
    parts
}

/// Measures the traffic of one node for control while nothing changes, as JSON without the overhead
/// of HTTP: the mean of all nodes, and the node with the most traffic, which is the directory's
/// writer.
#[test]
fn bytes_per_node() {
    println!(
        "nodes engines | log reads/s B/s | appends/s B/s | list/s B/s | peers/s B/s | mean, most B/s"
    );
    for (nodes, engines) in [(3, 10), (9, 10), (25, 10), (50, 10), (9, 100), (9, 400)] {
        let mut fleet = Fleet::with_nodes(3, nodes);
        for number in 0..engines {
            fleet.start_engine(number, "writers", true);
        }
        let span_s = 240;
        fleet.run_ms(120_000);
        let before: Vec<_> = (0..nodes).map(|index| traffic_of(&fleet, index)).collect();
        fleet.run_ms(span_s * 1_000);
        let rates = |index: usize| {
            let after = traffic_of(&fleet, index);
            [0, 1, 2, 3].map(|part| {
                let (after, before) = (after[part], before[index][part]);
                let calls = (after.calls - before.calls) as f64 / span_s as f64;
                (calls, (after.bytes - before.bytes) as f64 / span_s as f64)
            })
        };
        let all: Vec<[(f64, f64); 4]> = (0..nodes).map(rates).collect();
        let mean = |part: usize| {
            let calls: f64 = all.iter().map(|parts| parts[part].0).sum();
            let bytes: f64 = all.iter().map(|parts| parts[part].1).sum();
            format!("{:.2} {:.0}", calls / nodes as f64, bytes / nodes as f64)
        };
        let bytes = |parts: &[(f64, f64); 4]| parts.iter().map(|(_, bytes)| bytes).sum::<f64>();
        let sum: f64 = all.iter().map(bytes).sum();
        let most = all.iter().map(bytes).fold(0.0, f64::max);
        let parts = [0, 1, 2, 3].map(mean).join(" | ");
        println!(
            "{nodes} {engines} | {parts} | {:.0}, {most:.0}",
            sum / nodes as f64
        );
        assert!(most <= 6_000.0, "{most} B/s");
    }
}

/// Measures the processor time of one node's control and membership in the worst case: 400 nodes
/// and 1,800 engines are known, and the node holds all coordinator duties. The result is only
/// printed, since it depends on the machine.
#[test]
fn processor_time() {
    let mut fleet = Fleet::with_nodes(4, 1);
    for number in 0..1_800 {
        fleet.start_engine(number, "writers", true);
    }
    fleet.run_ms(30_000);
    let cards = (0..399).map(|number| bluebell_peers::NodeCard {
        name: format!("far-{number}").as_str().into(),
        incarnation: Incarnation(1_000_000 + number),
        address: format!("10.9.{}.{}:9000", number / 250, number % 250)
            .as_str()
            .into(),
        domain: "galway-b".into(),
        config: ConfigVersion(0),
        leaving: false,
    });
    let cards: Vec<_> = cards.collect();
    stakker::call!([fleet.nodes[0].control], nodes_changed(cards));
    let started = std::time::Instant::now();
    let span_ms = 120_000;
    fleet.run_ms(span_ms);
    let share = started.elapsed().as_millis() as f64 / span_ms as f64 * 100.0;
    println!(
        "one node, 400 nodes and 1,800 engines known: {share:.2} % of a core, test fleet included"
    );
}
