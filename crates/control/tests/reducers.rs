//! The reducers on random logs. Readers that start at any offset never contradict each other.

use bluebell_base::prelude::*;
use bluebell_control::Duty;
use bluebell_control::records::*;
use bluebell_control::reduce::{ConfigReducer, LeaseReducer};
use bluebell_control::verify::{verify_config, verify_leases};
use proptest::prelude::*;

/// A step of the random history of the config stream.
#[derive(Clone, Debug)]
enum Step {
    /// An update whose base is `behind` versions before the next version, so that 0 is one version
    /// too new and 1 is the current version. Its text keeps both ends of the previous text and has
    /// `parts` parts, of which one may be lost or followed by a record of another writer. It is
    /// appended `copies` times.
    Update {
        behind: u64,
        parts: u32,
        lost: Option<u32>,
        copies: u8,
        splice: Splice,
        broken_by: Option<u32>,
    },
    /// A snapshot of the state as of `late` records ago.
    Snapshot { late: u64, parts: u32 },
}

/// Returns a record of another writer that does not count by itself.
fn foreign() -> ConfigRecord {
    ConfigRecord::Update(Update {
        op: OperationId(0),
        base: ConfigVersion(u64::MAX),
        splice: Splice::WHOLE,
        part: Part::WHOLE,
        body: "".into(),
    })
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        3 => (
            (0..4u64, 1..4u32, proptest::option::weighted(0.2, 0..4u32), 1..3u8),
            (0..9u64, 0..9u64, proptest::option::weighted(0.1, 0..3u32)),
        )
            .prop_map(|((behind, parts, lost, copies), (head, tail, broken_by))| Step::Update {
                broken_by,
                behind,
                parts,
                lost,
                copies,
                splice: Splice {
                    head_bytes: Bytes(head),
                    tail_bytes: Bytes(tail),
                },
            }),
        2 => (0..6u64, 1..4u32).prop_map(|(late, parts)| Step::Snapshot { late, parts }),
    ]
}

/// A log with the expected state at each offset, computed by a reader that starts at offset 0.
struct History {
    log: Vec<ConfigRecord>,
    expected: Vec<ConfigReducer>,
    reader: ConfigReducer,
    ops: u64,
}

impl History {
    fn new() -> Self {
        let reader = ConfigReducer::new(Offset(0));
        Self {
            log: Vec::new(),
            expected: vec![reader.clone()],
            reader,
            ops: 0,
        }
    }

    fn push(&mut self, record: ConfigRecord) {
        let offset = Offset(self.log.len() as u64);
        self.reader.apply(offset, &record, &mut Vec::new());
        self.log.push(record);
        self.expected.push(self.reader.clone());
    }

    fn apply(&mut self, step: &Step) {
        self.ops += 1;
        let op = OperationId(self.ops);
        match *step {
            Step::Update {
                behind,
                parts,
                lost,
                copies,
                splice,
                broken_by,
            } => {
                let current = self.reader.known().unwrap().version.0;
                let base = ConfigVersion((current + 1).saturating_sub(behind));
                for _ in 0..copies {
                    for index in (0..parts).filter(|index| Some(*index) != lost) {
                        self.push(ConfigRecord::Update(Update {
                            op,
                            base,
                            splice,
                            part: Part {
                                index,
                                count: parts,
                            },
                            body: format!("[{}.{index}]", self.ops).into(),
                        }));
                        if broken_by == Some(index) {
                            self.push(foreign());
                        }
                    }
                }
            }
            Step::Snapshot { late, parts } => {
                let as_of = self.log.len().saturating_sub(late as usize);
                let known = self.expected[as_of].known().unwrap().clone();
                let part_bytes = known.body.len().div_ceil(parts as usize).max(4) as u64;
                for (part, body) in cut(&known.body, Bytes(part_bytes)).unwrap() {
                    self.push(ConfigRecord::Snapshot(Snapshot {
                        op,
                        version: known.version,
                        made_by: known.made_by,
                        as_of: Offset(as_of as u64),
                        part,
                        body,
                    }));
                }
            }
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(600))]

    /// Retention removes the beginning of the log, with half a publication or a racing snapshot at
    /// the cut. The state of a reader that starts there is unknown or equal to that of all others,
    /// and its version never decreases.
    #[test]
    fn config_readers_agree(
        steps in proptest::collection::vec(step(), 1..25),
        gap in any::<(prop::sample::Index, prop::sample::Index)>(),
    ) {
        let mut history = History::new();
        steps.iter().for_each(|step| history.apply(step));
        let log = &history.log;
        let (gap_at, gap_to) = (gap.0.index(log.len() + 1), gap.1.index(log.len() + 1));
        for start in 0..log.len() {
            let mut reader = ConfigReducer::new(Offset(start as u64));
            let mut highest = ConfigVersion(0);
            let mut at = start;
            while at < log.len() {
                if at == gap_at && gap_to > at {
                    reader.skip_to(Offset(gap_to as u64));
                    at = gap_to;
                    continue;
                }
                reader.apply(Offset(at as u64), &log[at], &mut Vec::new());
                at += 1;
                highest = verify_config(&reader, highest).unwrap();
                if let Some(known) = reader.known() {
                    prop_assert_eq!(
                        Some(known),
                        history.expected[at].known(),
                        "start {} at {}",
                        start,
                        at
                    );
                }
            }
        }
    }

    /// The splice between any two texts turns the first into the second.
    #[test]
    fn splices_fit(before in "[abä€]{0,12}", after in "[abä€]{0,12}") {
        let (splice, middle) = Splice::between(&before, &after);
        let made = splice.apply(&before, middle, Bytes(1_000));
        prop_assert_eq!(made.as_deref(), Some(&*after));
    }

    /// No splice crashes a reader, whatever text it is applied to.
    #[test]
    fn any_splice(before in "[abä€]{0,12}", head in any::<u64>(), tail in 0..20u64) {
        for head in [head, head % 20] {
            let splice = Splice { head_bytes: Bytes(head), tail_bytes: Bytes(tail) };
            let _ = splice.apply(&before, "x", Bytes(1_000));
        }
    }

    /// The log may contain any text. Each is skipped or read, and none crashes a reader.
    #[test]
    fn any_text_is_read_or_skipped(text in "\\PC{0,200}", limit in 0..300u64) {
        let _ = decode::<ConfigRecord>(&text, Bytes(limit));
        let _ = decode::<LeaseRecord>(&text, Bytes(limit));
    }
}

/// A step of the random history of the leases stream.
#[derive(Clone, Debug)]
enum LeaseStep {
    Take { node: u64, duty: u32, stale: u64 },
    Renew { node: u64, stale: u64 },
    Release { node: u64, stale: u64 },
    Checkpoint { late: u64 },
    Reset,
}

fn lease_step() -> impl Strategy<Value = LeaseStep> {
    prop_oneof![
        6 => (1..4u64, 0..3u32, 0..4u64)
            .prop_map(|(node, duty, stale)| LeaseStep::Take { node, duty, stale }),
        6 => (1..4u64, 0..4u64).prop_map(|(node, stale)| LeaseStep::Renew { node, stale }),
        2 => (1..4u64, 0..4u64).prop_map(|(node, stale)| LeaseStep::Release { node, stale }),
        3 => (0..5u64).prop_map(|late| LeaseStep::Checkpoint { late }),
        1 => Just(LeaseStep::Reset),
    ]
}

struct LeaseHistory {
    log: Vec<LeaseRecord>,
    expected: Vec<LeaseReducer>,
}

impl LeaseHistory {
    fn new() -> Self {
        Self {
            log: Vec::new(),
            expected: vec![LeaseReducer::new(Offset(0))],
        }
    }

    /// Returns the record that a node would write that has not read the last `stale` records.
    fn record(&self, step: &LeaseStep) -> LeaseRecord {
        let op = OperationId(self.log.len() as u64 + 1);
        let view = |stale: u64| &self.expected[self.log.len().saturating_sub(stale as usize)];
        let held = |node: u64, stale: u64| {
            let own = view(stale).grants();
            let own = own.filter(|(_, grant)| grant.holder == Some(Incarnation(node)));
            own.map(|(duty, grant)| HeldRecord {
                duty,
                fencing: grant.fencing,
            })
            .collect()
        };
        match *step {
            LeaseStep::Take { node, duty, stale } => {
                let duty = Duty::Coordinator(duty);
                LeaseRecord::Take(Take {
                    op,
                    duty,
                    holder: Incarnation(node),
                    address: format!("node-{node}").as_str().into(),
                    seen: view(stale).touched(duty),
                })
            }
            LeaseStep::Renew { node, stale } => LeaseRecord::Renew(Renew {
                op,
                holder: Incarnation(node),
                held: held(node, stale),
            }),
            LeaseStep::Release { node, stale } => LeaseRecord::Release(Release {
                op,
                holder: Incarnation(node),
                held: held(node, stale),
                leaving: false,
            }),
            LeaseStep::Checkpoint { late } => {
                let as_of = self.log.len().saturating_sub(late as usize);
                let checkpoint = self.expected[as_of].checkpoint(op, Offset(as_of as u64));
                LeaseRecord::Checkpoint(checkpoint)
            }
            LeaseStep::Reset => LeaseRecord::Reset(Reset { op }),
        }
    }

    fn apply(&mut self, step: &LeaseStep) {
        let record = self.record(step);
        let mut next = self.expected.last().unwrap().clone();
        next.apply(
            Offset(self.log.len() as u64),
            record.clone(),
            &mut Vec::new(),
        );
        verify_leases(&next, Offset(self.log.len() as u64 + 1)).unwrap();
        self.log.push(record);
        self.expected.push(next);
    }
}

fn leases_of(reader: &LeaseReducer) -> Vec<(Duty, bluebell_control::reduce::Grant)> {
    let grants = reader.grants();
    grants.map(|(duty, grant)| (duty, grant.clone())).collect()
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(600))]

    /// Nodes take, renew and release according to a state that is some records old. The state of a
    /// reader that starts at any offset is unknown or equal to that of all others, and fencing
    /// numbers only grow.
    #[test]
    fn lease_readers_agree(steps in proptest::collection::vec(lease_step(), 1..50)) {
        let mut history = LeaseHistory::new();
        steps.iter().for_each(|step| history.apply(step));
        for pair in history.expected.windows(2) {
            for (duty, grant) in pair[0].grants() {
                let after = pair[1].grant(duty);
                prop_assert!(after.is_none_or(|after| after.fencing >= grant.fencing));
            }
        }
        for start in 0..history.log.len() {
            let mut reader = LeaseReducer::new(Offset(start as u64));
            for at in start..history.log.len() {
                reader.apply(Offset(at as u64), history.log[at].clone(), &mut Vec::new());
                verify_leases(&reader, Offset(at as u64 + 1)).unwrap();
                if reader.is_known() {
                    prop_assert_eq!(leases_of(&reader), leases_of(&history.expected[at + 1]));
                }
            }
        }
    }
}

/// Checks which sequences of parts form a text that counts. `x` is a record of another writer, `-`
/// a record that can't be read.
#[test]
fn parts_count_only_at_consecutive_offsets() {
    let cases = [
        ("0 1 2", 1),
        ("0 x 1 2", 0),
        ("0 - 1 2", 0),
        ("- 0 1 2", 1),
        ("0 1 x 2", 0),
        ("0 1", 0),
        ("1 2", 0),
        ("0 0 1 2", 1),
        ("0 1 1 2", 0),
        ("0 1 0 1 2", 1),
        ("0 1 2 0 1 2", 1),
        ("0 2 1", 0),
    ];
    for (log, version) in cases {
        let mut reader = ConfigReducer::new(Offset(0));
        let records = (0..).zip(log.split(' '));
        for (offset, record) in records.filter(|(_, record)| *record != "-") {
            let record = match record.parse() {
                Ok(index) => ConfigRecord::Update(Update {
                    op: OperationId(1),
                    base: ConfigVersion(0),
                    splice: Splice::WHOLE,
                    part: Part { index, count: 3 },
                    body: "x".into(),
                }),
                Err(_) => foreign(),
            };
            reader.apply(Offset(offset), &record, &mut Vec::new());
        }
        let known = reader.known().unwrap().version;
        assert_eq!(known, ConfigVersion(version), "{log}");
    }
}

/// A newer version writes records with additional fields and records of unknown kinds.
#[test]
fn records_of_a_newer_version() {
    let cases = [
        (
            r#"{"record":"release","op":1,"holder":2,"held":[],"why":"new"}"#,
            "read",
        ),
        (
            r#"{"record":"elect","op":1}"#,
            "the kind \"elect\" is unknown",
        ),
        (
            r#"{"op":1}"#,
            "malformed: missing field `record` at line 1 column 8",
        ),
        (r#"{"record":"release","op":"x"}"#, "malformed"),
        (r#"[]"#, "malformed"),
        ("", "malformed"),
    ];
    for (text, expected) in cases {
        let found = match decode::<LeaseRecord>(text, Bytes(200)) {
            Ok(_) => "read".to_owned(),
            Err(error) => error.to_string(),
        };
        assert!(found.starts_with(expected), "{text}: {found}");
    }
    let long = format!(
        r#"{{"record":"release","op":1,"holder":2,"held":[],"x":"{}"}}"#,
        "y".repeat(200)
    );
    let error = decode::<LeaseRecord>(&long, Bytes(200)).unwrap_err();
    assert!(error.to_string().ends_with("over the record limit"));
}
