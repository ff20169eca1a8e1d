//! The platform's model on its own: what needs a clock or names of clients.

use bluebell_base::prelude::*;
use bluebell_platform::{VmEntry, VmRole, VmState};
use bluebell_stand_ins::platform::{
    Fate, Fault, FaultRule, Faults, Operation, PlatformModel, PlatformSettings, VmChange,
};

fn vm(state: VmState) -> VmEntry {
    VmEntry {
        name: "e1".into(),
        role: VmRole::Engine,
        address: "127.0.0.1:7001".into(),
        deployment: "engines".into(),
        domain: "galway-a".into(),
        state,
    }
}

#[test]
fn changes_of_the_vm_list_are_seen_in_order_after_the_lag() {
    let settings = PlatformSettings {
        vm_lag_ms: SpanMs(1_000),
        ..PlatformSettings::default()
    };
    let mut model = PlatformModel::new(settings, WallMs(0));
    let put = VmChange::Put(vm(VmState::Live));
    model.change_vms(WallMs(0), put).unwrap();
    let (name, state) = (VmName::from("e1"), VmState::Leaving);
    let leave = VmChange::SetState { name, state };
    model.change_vms(WallMs(500), leave).unwrap();
    let remove = VmChange::Remove("e1".into());
    model.change_vms(WallMs(800), remove).unwrap();
    let seen: Vec<_> = [999, 1_000, 1_499, 1_500, 1_799, 1_800]
        .map(|now_ms| model.list_vms(WallMs(now_ms)).first().map(|vm| vm.state))
        .into();
    let (live, leaving) = (Some(VmState::Live), Some(VmState::Leaving));
    assert_eq!(seen, [None, live, live, leaving, leaving, None]);
}

#[test]
fn records_expire_by_age() {
    let settings = PlatformSettings {
        retention_ms: SpanMs(100),
        ..PlatformSettings::default()
    };
    let mut model = PlatformModel::new(settings, WallMs(0));
    let stream = StreamName::from("s");
    for at_ms in [0, 50, 90] {
        let appended = model.append(WallMs(at_ms), &stream, &["r".into()], false);
        appended.unwrap();
    }
    let first = |model: &mut PlatformModel, at_ms| {
        let batch = model.read(WallMs(at_ms), &stream, Offset(0), Bytes(100));
        (batch.first_retained.0, batch.end.0)
    };
    assert_eq!(first(&mut model, 99), (0, 3));
    assert_eq!(first(&mut model, 100), (1, 3));
    assert_eq!(first(&mut model, 1_000), (3, 3));
}

#[test]
fn rules_strike_their_client_and_operation_and_run_out() {
    let rule = FaultRule {
        operation: Some(Operation::Append),
        client: Some("c1".into()),
        calls: 2,
        fault: Fault::LoseAnswer,
    };
    let mut faults = Faults {
        rules: vec![rule],
        ..Faults::default()
    };
    let lost = Fate {
        lose_answer: true,
        ..Fate::default()
    };
    let calls = [
        (Operation::Append, Some("c2"), Fate::default()),
        (Operation::Append, None, Fate::default()),
        (Operation::Read, Some("c1"), Fate::default()),
        (Operation::Append, Some("c1"), lost),
        (Operation::Append, Some("c1"), lost),
        (Operation::Append, Some("c1"), Fate::default()),
    ];
    for (operation, client, fate) in calls {
        assert_eq!(faults.fate(operation, client), fate);
    }
    assert_eq!(faults, Faults::default());
}
