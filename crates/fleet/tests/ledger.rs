//! The work in flight.

use bluebell_base::prelude::*;
use bluebell_fleet::prelude::*;

fn work(first: u32, helpers: &[u32], part_ms: f64, placed_ms: u64) -> Work {
    Work {
        first: ReplicaKey(first),
        helpers: helpers.iter().map(|key| ReplicaKey(*key)).collect(),
        memory: Vec::new(),
        stage: Stage::Reading,
        placed_ms: MonoMs(placed_ms),
        prompt_tokens: Tokens(10_000),
        part_ms,
        gap_ms: SpanMs(250),
        due_ms: MonoMs(placed_ms + 300),
    }
}

fn id(owner: u64, sequence: u32) -> WorkId {
    WorkId {
        owner: OwnerId(owner),
        sequence,
    }
}

fn backlog_ms(ledger: &mut Ledger, engine: u32, now_ms: u64) -> f64 {
    let loads = ledger.loads(MonoMs(now_ms));
    let load = loads.engines.get(&ReplicaKey(engine));
    load.map_or(0.0, |load| load.backlog_ms)
}

/// Engines read shared parts before what waits, the newest first, and whole prompts in turn.
#[test]
fn parts_are_read_in_the_order_of_the_engine() {
    let mut ledger = Ledger::default();
    ledger.put(id(1, 1), work(1, &[], 400.0, 1_000), MonoMs(1_000));
    ledger.put(id(1, 2), work(1, &[2], 100.0, 1_100), MonoMs(1_100));
    ledger.put(id(1, 3), work(3, &[1], 50.0, 1_120), MonoMs(1_120));
    let loads = ledger.loads(MonoMs(1_120));
    let mut ends: Vec<(f64, usize)> = loads
        .readers
        .iter()
        .map(|r| {
            (
                r.ends.iter().map(|(_, end)| *end).fold(0.0, f64::max),
                r.ends.len(),
            )
        })
        .collect();
    ends.sort_by(|a, b| a.0.total_cmp(&b.0));
    // The newest is read first; the one before it has 80 ms left and waits for it; the whole
    // prompt, of which 100 ms were read, comes last.
    assert_eq!(ends, [(50.0, 2), (130.0, 2), (430.0, 1)]);
}

/// A node takes an engine for busy that has long read everything: no peer told of the end. Time
/// takes from the queue.
#[test]
fn what_was_read_is_no_backlog() {
    let mut ledger = Ledger::default();
    ledger.put(id(1, 1), work(1, &[], 400.0, 1_000), MonoMs(1_000));
    assert_eq!(backlog_ms(&mut ledger, 1, 1_000), 400.0);
    assert_eq!(backlog_ms(&mut ledger, 1, 1_300), 100.0);
    assert_eq!(backlog_ms(&mut ledger, 1, 2_000), 0.0);
}

/// A peer dies, and its work seems to occupy engines for ever. What is gone with its owner, or was
/// cancelled, leaves the queues.
#[test]
fn work_that_is_gone_leaves_nothing_behind() {
    let mut ledger = Ledger::default();
    ledger.put(id(1, 1), work(1, &[2], 400.0, 1_000), MonoMs(1_000));
    ledger.put(id(2, 1), work(1, &[2], 400.0, 1_000), MonoMs(1_000));
    ledger.remove(id(1, 1));
    assert_eq!(backlog_ms(&mut ledger, 2, 1_000), 400.0);
    ledger.remove_owner(OwnerId(2));
    assert_eq!(backlog_ms(&mut ledger, 2, 1_000), 0.0);
    assert!(ledger.is_empty());
}

/// News comes twice, or a digest repeats it: the engine's backlog must not double.
#[test]
fn known_work_is_not_queued_again() {
    let mut ledger = Ledger::default();
    ledger.put(id(1, 1), work(1, &[], 400.0, 1_000), MonoMs(1_000));
    ledger.put(id(1, 1), work(1, &[], 400.0, 1_000), MonoMs(1_010));
    assert_eq!(backlog_ms(&mut ledger, 1, 1_010), 390.0);
    let mut writing = work(1, &[], 400.0, 1_000);
    writing.stage = Stage::Writing;
    ledger.put(id(1, 1), writing, MonoMs(1_020));
    assert_eq!(backlog_ms(&mut ledger, 1, 1_020), 0.0);
}

/// A stream that has been late already gives the others no reason to be spared for it.
#[test]
fn a_late_writer_has_no_tolerance_left() {
    let mut ledger = Ledger::default();
    ledger.put(id(1, 1), work(1, &[], 40.0, 1_000), MonoMs(1_000));
    ledger.set_stage(id(1, 1), Stage::Late);
    let loads = ledger.loads(MonoMs(1_100));
    let load = &loads.engines[&ReplicaKey(1)];
    assert_eq!((load.writers, load.tolerances.len()), (1, 0));
    assert_eq!(load.late.len(), 1, "a stall can still break it off");
}

/// A long prompt is sent behind another that should be read by now. Its engine had turned slow while it
/// read, and its queue was taken to empty at the configured pace.
#[test]
fn a_slow_engine_reads_its_queue_at_its_own_pace() {
    let mut ledger = Ledger::default();
    let mut paces = Paces::default();
    ledger.put(id(1, 1), work(1, &[], 400.0, 1_000), MonoMs(1_000));
    paces.note(ReplicaKey(1), Pace::new(4.0), MonoMs(1_200));
    ledger.set_paces(&paces, MonoMs(1_200));
    assert_eq!(backlog_ms(&mut ledger, 1, 1_200), 800.0);
    assert_eq!(backlog_ms(&mut ledger, 1, 1_600), 400.0);
    paces.note(ReplicaKey(1), Pace::SOUND, MonoMs(1_600));
    ledger.set_paces(&paces, MonoMs(1_600));
    assert_eq!(backlog_ms(&mut ledger, 1, 1_600), 100.0);
}
