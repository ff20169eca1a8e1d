//! The table: what any client of the platform may rely on, with and without faults.

use crate::rig::{Case, Rig};
use bluebell_base::prelude::*;
use bluebell_platform::{VmEntry, VmRole, VmState, WeightInfo};
use bluebell_stand_ins::platform::{Fault, PlatformSettings, VmChange};
use std::sync::LazyLock;

/// A timeout no answered call comes near, also on a busy machine.
const LONG_MS: u64 = 30_000;
/// A timeout that cases wait out.
const SHORT_MS: u64 = 400;
/// Later than `SHORT_MS`.
const LATE_MS: SpanMs = SpanMs(1_000);

pub static CASES: LazyLock<Vec<Case>> = LazyLock::new(|| {
    vec![
        case("appends get consecutive offsets", offsets),
        case("a read keeps to its limit and to its start", cut_reads),
        case("an unknown stream reads as empty", unknown_stream),
        case("no records: refused, not run", empty_append),
        Case {
            settings: PlatformSettings {
                retention_records: 2,
                ..PlatformSettings::default()
            },
            ..case("retention moves the first offset on", retention)
        },
        Case {
            settings: PlatformSettings {
                appends: PerSecond(0.01),
                ..PlatformSettings::default()
            },
            ..case("too many appends: not run, with a time", rate_limit)
        },
        case("append, answer lost: may have run, and found", lost_append),
        case("read, answer lost: not run", lost_read),
        case("append stored twice", duplicate),
        case("down: not run, nothing stored", down),
        short("append frozen: may have run", frozen_append),
        short("read frozen: not run", frozen_read),
        short("append late: may have run, then found", late_append),
        case("weights: found and not found", weights),
        case("VM list: added, leaving, removed", vm_list),
        Case {
            settings: PlatformSettings {
                vm_lag_ms: SpanMs::from_secs(3600),
                ..PlatformSettings::default()
            },
            ..case("VM list lags", vm_lag)
        },
    ]
});

fn case(name: &'static str, run: fn(&mut Rig)) -> Case {
    let settings = PlatformSettings {
        vm_lag_ms: SpanMs::ZERO,
        ..PlatformSettings::default()
    };
    Case {
        name,
        settings,
        timeout_ms: LONG_MS,
        run,
    }
}

fn short(name: &'static str, run: fn(&mut Rig)) -> Case {
    Case {
        timeout_ms: SHORT_MS,
        ..case(name, run)
    }
}

fn failed<T: std::fmt::Debug>(result: Result<T, Error>) -> (Verdict, ErrorKind) {
    let error = result.unwrap_err();
    (error.verdict, error.kind)
}

fn offsets(rig: &mut Rig) {
    assert_eq!(rig.append("s", &["a", "b"]), Ok(Offset(0)));
    assert_eq!(rig.append("t", &["x"]), Ok(Offset(0)));
    assert_eq!(rig.append("s", &["c"]), Ok(Offset(2)));
    let batch = rig.read("s", 1, 1000).unwrap();
    let read: Vec<_> = batch
        .records
        .iter()
        .map(|r| (r.offset.0, &*r.body))
        .collect();
    assert_eq!(read, [(1, "b"), (2, "c")]);
    assert_eq!((batch.first_retained, batch.end), (Offset(0), Offset(3)));
}

fn cut_reads(rig: &mut Rig) {
    rig.append("s", &["aaaa", "bbbb", "cccc"]).unwrap();
    let lengths = [(0, 1, 1), (0, 8, 2), (0, 11, 2), (0, 12, 3), (3, 12, 0)];
    for (from, limit, count) in lengths {
        let batch = rig.read("s", from, limit).unwrap();
        assert_eq!(batch.records.len(), count, "from {from} limit {limit}");
        assert_eq!(batch.end, Offset(3));
    }
}

fn unknown_stream(rig: &mut Rig) {
    let batch = rig.read("claims/7", 5, 1000).unwrap();
    assert_eq!((batch.first_retained, batch.end), (Offset(0), Offset(0)));
    assert!(batch.records.is_empty());
}

fn empty_append(rig: &mut Rig) {
    let refused = failed(rig.append("s", &[]));
    assert_eq!(refused, (Verdict::NotRun, ErrorKind::Invalid));
}

fn retention(rig: &mut Rig) {
    rig.append("s", &["a", "b", "c"]).unwrap();
    let batch = rig.read("s", 0, 1000).unwrap();
    assert_eq!((batch.first_retained, batch.end), (Offset(1), Offset(3)));
    assert_eq!(batch.records[0].offset, Offset(1));
}

fn rate_limit(rig: &mut Rig) {
    assert_eq!(rig.append("s", &["a"]), Ok(Offset(0)));
    let error = rig.append("s", &["b"]).unwrap_err();
    assert_eq!(
        (error.verdict, error.kind),
        (Verdict::NotRun, ErrorKind::Overloaded)
    );
    let wait_ms = error.retry_after_ms.unwrap().0;
    assert!((40_000..=100_000).contains(&wait_ms), "{wait_ms}");
    assert_eq!(rig.bodies("s"), ["a"]);
}

fn lost_append(rig: &mut Rig) {
    // A user sees "may have run"; the log took the append, then the connection broke. Reading
    // the stream settles it.
    rig.strike(Fault::LoseAnswer);
    let lost = failed(rig.append("s", &["a"]));
    assert_eq!(lost, (Verdict::MayHaveRun, ErrorKind::Unavailable));
    assert_eq!(rig.bodies("s"), ["a"]);
}

fn lost_read(rig: &mut Rig) {
    rig.append("s", &["a"]).unwrap();
    rig.strike(Fault::LoseAnswer);
    let lost = failed(rig.read("s", 0, 1000));
    assert_eq!(lost, (Verdict::NotRun, ErrorKind::Unavailable));
    assert_eq!(rig.bodies("s"), ["a"]);
}

fn duplicate(rig: &mut Rig) {
    rig.strike(Fault::Duplicate);
    assert_eq!(rig.append("s", &["a", "b"]), Ok(Offset(0)));
    assert_eq!(rig.bodies("s"), ["a", "b", "a", "b"]);
}

fn down(rig: &mut Rig) {
    rig.with_model(|model, _| model.faults.down = true);
    let refused = (Verdict::NotRun, ErrorKind::Unavailable);
    assert_eq!(failed(rig.append("s", &["a"])), refused);
    assert_eq!(failed(rig.read("s", 0, 1000)), refused);
    assert_eq!(failed(rig.list()), refused);
    assert_eq!(failed(rig.info("m", 1)), refused);
    rig.with_model(|model, _| model.faults.down = false);
    assert!(rig.bodies("s").is_empty());
}

fn frozen_append(rig: &mut Rig) {
    rig.strike(Fault::Freeze);
    let late = failed(rig.append("s", &["a"]));
    assert_eq!(late, (Verdict::MayHaveRun, ErrorKind::DeadlineExceeded));
}

fn frozen_read(rig: &mut Rig) {
    rig.strike(Fault::Freeze);
    let late = failed(rig.read("s", 0, 1000));
    assert_eq!(late, (Verdict::NotRun, ErrorKind::DeadlineExceeded));
}

fn late_append(rig: &mut Rig) {
    // A user sees "may have run" and does not find the record; the platform has the append in
    // hand and takes it a moment later. One look at the log is no proof that it will not come.
    rig.strike(Fault::Slow(LATE_MS));
    let late = failed(rig.append("s", &["a"]));
    assert_eq!(late, (Verdict::MayHaveRun, ErrorKind::DeadlineExceeded));
    while rig.with_model(|model, _| model.stats().appends) == 0 {
        rig.step();
    }
    let read = rig.with_model(|m, now_ms| m.read(now_ms, &"s".into(), Offset(0), Bytes(9)));
    assert_eq!(read.end, Offset(1));
}

fn weights(rig: &mut Rig) {
    let info = WeightInfo {
        model: "org/model".into(),
        version: 3,
        size_bytes: Bytes(1 << 34),
        limit_bytes: PerSecond(5e8),
    };
    rig.with_model(|model, _| model.put_weights(info.clone()));
    assert_eq!(rig.info("org/model", 3), Ok(info));
    let missing = failed(rig.info("org/model", 4));
    assert_eq!(missing, (Verdict::NotRun, ErrorKind::NotFound));
}

fn vm(name: &str) -> VmEntry {
    VmEntry {
        name: name.into(),
        role: VmRole::Engine,
        address: "127.0.0.1:7001".into(),
        deployment: "engines".into(),
        domain: "galway-a".into(),
        state: VmState::Live,
    }
}

fn change(rig: &mut Rig, change: VmChange) -> Result<(), Error> {
    rig.with_model(|model, now_ms| model.change_vms(now_ms, change))
}

fn vm_list(rig: &mut Rig) {
    assert_eq!(rig.list(), Ok(vec![]));
    change(rig, VmChange::Put(vm("e1"))).unwrap();
    change(rig, VmChange::Put(vm("e2"))).unwrap();
    let state = VmState::Leaving;
    let name: VmName = "e2".into();
    change(rig, VmChange::SetState { name, state }).unwrap();
    let listed = rig.list().unwrap();
    let states: Vec<_> = listed
        .iter()
        .map(|vm| (vm.name.as_str(), vm.state))
        .collect();
    assert_eq!(states, [("e1", VmState::Live), ("e2", VmState::Leaving)]);
    change(rig, VmChange::Remove("e1".into())).unwrap();
    assert_eq!(rig.list().unwrap().len(), 1);
    let unknown = failed(change(rig, VmChange::Remove("e1".into())));
    assert_eq!(unknown, (Verdict::NotRun, ErrorKind::NotFound));
}

fn vm_lag(rig: &mut Rig) {
    change(rig, VmChange::Put(vm("e1"))).unwrap();
    assert_eq!(rig.list(), Ok(vec![]));
}
