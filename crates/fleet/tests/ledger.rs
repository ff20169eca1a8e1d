//! Tests of the ledger of work in flight.

use bluebell_base::prelude::*;
use bluebell_fleet::prelude::*;
use proptest::prelude::*;

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
    loads.of(ReplicaKey(engine)).backlog_ms
}

/// Engines read shared parts before everything that waits, the newest first, and whole prompts in
/// the order in which they came.
#[test]
fn parts_are_read_in_the_order_of_the_engine() {
    let mut ledger = Ledger::default();
    ledger.put(id(1, 1), work(1, &[], 400.0, 1_000), MonoMs(1_000));
    ledger.put(id(1, 2), work(1, &[2], 100.0, 1_100), MonoMs(1_100));
    ledger.put(id(1, 3), work(3, &[1], 50.0, 1_120), MonoMs(1_120));
    let loads = ledger.loads(MonoMs(1_120));
    let mut read_ends: Vec<(f64, usize)> = loads
        .reading_requests
        .iter()
        .map(|(id, reader)| {
            let engines = (1..=3).map(|engine| loads.of(ReplicaKey(engine)));
            let parts = engines.filter(|load| load.read_ends.iter().any(|(part, _)| part == id));
            (reader.last_end_ms, parts.count())
        })
        .collect();
    read_ends.sort_by(|a, b| a.0.total_cmp(&b.0));
    // The newest part is read first. The one before it has 80 ms left and waits for it. The whole
    // prompt, of which 100 ms were read, comes last.
    assert_eq!(read_ends, [(50.0, 2), (130.0, 2), (430.0, 1)]);
}

/// Guards against a node that assumes an engine to be busy although it has read everything, because
/// no peer reported the end. Passing time must shorten the queue.
#[test]
fn read_parts_leave_the_backlog() {
    let mut ledger = Ledger::default();
    ledger.put(id(1, 1), work(1, &[], 400.0, 1_000), MonoMs(1_000));
    assert_eq!(backlog_ms(&mut ledger, 1, 1_000), 400.0);
    assert_eq!(backlog_ms(&mut ledger, 1, 1_300), 100.0);
    assert_eq!(backlog_ms(&mut ledger, 1, 2_000), 0.0);
}

/// Guards against the work of a dead peer occupying engines for ever. Work that is cancelled or
/// whose owner is gone must leave the queues.
#[test]
fn removed_work_leaves_the_queues() {
    let mut ledger = Ledger::default();
    ledger.put(id(1, 1), work(1, &[2], 400.0, 1_000), MonoMs(1_000));
    ledger.put(id(2, 1), work(1, &[2], 400.0, 1_000), MonoMs(1_000));
    ledger.remove(id(1, 1));
    assert_eq!(backlog_ms(&mut ledger, 2, 1_000), 400.0);
    ledger.remove_owner(OwnerId(2));
    assert_eq!(backlog_ms(&mut ledger, 2, 1_000), 0.0);
    assert!(ledger.is_empty());
}

/// Gossip may arrive twice, and a digest repeats it. The engine's backlog must not double.
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

/// A stream that has been late already must not count as one that can still be on time.
#[test]
fn a_late_writer_counts_as_late() {
    let mut ledger = Ledger::default();
    ledger.put(id(1, 1), work(1, &[], 40.0, 1_000), MonoMs(1_000));
    ledger.set_stage(id(1, 1), Stage::Late);
    let loads = ledger.loads(MonoMs(1_100));
    let load = loads.of(ReplicaKey(1));
    assert_eq!((load.writers, load.tolerances.len()), (1, 0));
    assert_eq!(
        load.late.len(),
        1,
        "a long pause can still break the stream off"
    );
}

/// Guards against a long prompt that is placed behind another one that should be read by now. The
/// engine became slow while it read, but its queue was shortened at the configured pace.
#[test]
fn a_slow_engine_reads_its_queue_at_its_own_pace() {
    let mut ledger = Ledger::default();
    let mut paces = Paces::default();
    ledger.put(id(1, 1), work(1, &[], 400.0, 1_000), MonoMs(1_000));
    paces.note(ReplicaKey(1), Pace::new(4.0), MonoMs(1_200));
    ledger.set_paces(&paces, MonoMs(1_200));
    assert_eq!(backlog_ms(&mut ledger, 1, 1_200), 800.0);
    assert_eq!(backlog_ms(&mut ledger, 1, 1_600), 400.0);
    paces.note(ReplicaKey(1), Pace::CONFIGURED, MonoMs(1_600));
    ledger.set_paces(&paces, MonoMs(1_600));
    assert_eq!(backlog_ms(&mut ledger, 1, 1_600), 100.0);
}

/// A digest that was sent before its work began to write may arrive after the report that it
/// writes. If the digest counted as newer, peers would assume a prompt that is already read to be
/// in the queue, and place other work around it.
#[test]
fn work_never_goes_back_to_an_earlier_stage() {
    let mut ledger = Ledger::default();
    ledger.put(id(1, 1), work(1, &[], 400.0, 1_000), MonoMs(1_000));
    ledger.set_stage(id(1, 1), Stage::Late);
    for stage in [Stage::Reading, Stage::Writing] {
        let earlier = Work {
            stage,
            ..work(1, &[], 400.0, 1_000)
        };
        ledger.put(id(1, 1), earlier, MonoMs(1_010));
        let known = ledger.of_owner(OwnerId(1)).next().map(|(_, w)| w.stage);
        assert_eq!(known, Some(Stage::Late));
        assert_eq!(ledger.verify(), Ok(()));
    }
}

/// A random change of the ledger.
#[derive(Clone, Debug)]
enum Step {
    Put {
        owner: u64,
        sequence: u32,
        work: Work,
    },
    SetStage {
        owner: u64,
        sequence: u32,
        stage: Stage,
    },
    Remove {
        owner: u64,
        sequence: u32,
    },
    RemoveOwner(u64),
    RetainBelow {
        owner: u64,
        below: u32,
    },
    Expire {
        before_ms: u64,
    },
    SetPace {
        engine: u32,
        slowdown: f64,
    },
    Advance {
        after_ms: u64,
    },
}

fn any_stage() -> impl Strategy<Value = Stage> {
    prop_oneof![
        Just(Stage::Reading),
        Just(Stage::Writing),
        Just(Stage::Late)
    ]
}

fn any_work() -> impl Strategy<Value = Work> {
    let helpers = proptest::collection::btree_set(0u32..6, 0..4);
    let sizes = (1u64..900_000, 0u64..200_000, 10u64..3_000);
    (0u32..6, helpers, sizes, any_stage()).prop_map(|(first, helpers, sizes, stage)| {
        let (prompt_tokens, aside, gap_ms) = sizes;
        let helpers: Vec<ReplicaKey> = helpers
            .into_iter()
            .filter(|helper| *helper != first)
            .map(ReplicaKey)
            .collect();
        let memory = helpers.first().map(|key| (*key, Tokens(aside)));
        Work {
            first: ReplicaKey(first),
            memory: memory.into_iter().collect(),
            helpers,
            stage,
            placed_ms: MonoMs(1_000),
            prompt_tokens: Tokens(prompt_tokens),
            part_ms: 300.0,
            gap_ms: SpanMs(gap_ms),
            due_ms: MonoMs(4_000),
        }
    })
}

fn any_step() -> impl Strategy<Value = Step> {
    let id = || (1u64..4, 0u32..12);
    prop_oneof![
        8 => (id(), any_work()).prop_map(|((owner, sequence), work)| Step::Put {
            owner,
            sequence,
            work
        }),
        4 => (id(), any_stage()).prop_map(|((owner, sequence), stage)| Step::SetStage {
            owner,
            sequence,
            stage
        }),
        3 => id().prop_map(|(owner, sequence)| Step::Remove { owner, sequence }),
        1 => (1u64..4).prop_map(Step::RemoveOwner),
        1 => id().prop_map(|(owner, below)| Step::RetainBelow { owner, below }),
        1 => (0u64..2_000).prop_map(|before_ms| Step::Expire { before_ms }),
        2 => (0u32..6, 0.5f64..6.0).prop_map(|(engine, slowdown)| Step::SetPace { engine, slowdown }),
        4 => (0u64..400).prop_map(|after_ms| Step::Advance { after_ms }),
    ]
}

proptest! {
    /// Guards against a node that assumes an idle engine to be full for as long as the node runs.
    /// The stored load of an engine is changed by every piece of gossip, in any order, and a change
    /// that isn't undone leaves a remainder.
    #[test]
    fn stored_loads_are_the_sums_of_their_work(
        steps in proptest::collection::vec(any_step(), 1..120),
    ) {
        let mut ledger = Ledger::default();
        let mut paces = Paces::default();
        let mut now_ms = MonoMs(1_000);
        for step in steps {
            match step {
                Step::Put { owner, sequence, work } => {
                    ledger.put(id(owner, sequence), work, now_ms);
                }
                Step::SetStage { owner, sequence, stage } => {
                    ledger.set_stage(id(owner, sequence), stage);
                }
                Step::Remove { owner, sequence } => ledger.remove(id(owner, sequence)),
                Step::RemoveOwner(owner) => ledger.remove_owner(OwnerId(owner)),
                Step::RetainBelow { owner, below } => {
                    ledger.retain_owner(OwnerId(owner), |sequence| sequence < below);
                }
                Step::Expire { before_ms } => ledger.expire(MonoMs(before_ms)),
                Step::SetPace { engine, slowdown } => {
                    paces.note(ReplicaKey(engine), Pace::new(slowdown), now_ms);
                    ledger.set_paces(&paces, now_ms);
                }
                Step::Advance { after_ms } => {
                    now_ms = now_ms + SpanMs(after_ms);
                    ledger.loads(now_ms);
                }
            }
            prop_assert_eq!(ledger.verify(), Ok(()));
        }
    }
}
