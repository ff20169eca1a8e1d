//! Fairness between client accounts.

mod common;

use bluebell_base::prelude::*;
use bluebell_policy::{Kind, Outcome, Policy, RefusalReason};
use common::{config, job, load, open, request};
use std::collections::BTreeMap;

/// Sends work of ten accounts in turn. If `surges` is set, the last account sends ten times as much
/// after two minutes. Returns the number of refusals by account.
fn run(policy: &mut dyn Policy, surges: bool) -> BTreeMap<u32, usize> {
    let mut refused = BTreeMap::new();
    let mut sequence = 0;
    for tick in 0..600_u64 {
        let now_ms = tick * 400;
        for engine in 0..10 {
            // Few engines are free, so accounts are limited if they surge.
            let backlog = if engine < 8 { 30_000 } else { 0 };
            policy.on_load(UpstreamId(engine), &load(backlog, 0), MonoMs(now_ms));
        }
        let surge = surges && tick >= 300;
        let extra = std::iter::repeat_n(9, if surge { 9 } else { 0 });
        for account in std::iter::once((tick % 10) as u32).chain(extra) {
            sequence += 1;
            let mut job = job(sequence, 20_000, now_ms, 20_000);
            job.account = AccountId(account);
            match policy.admit(job, MonoMs(now_ms)) {
                Ok(()) => {
                    policy.decide(MonoMs(now_ms), &mut Vec::new());
                    policy.on_end(
                        request(sequence),
                        Outcome::Finished(Tokens(1)),
                        MonoMs(now_ms),
                    );
                }
                Err(refusal) => {
                    assert_eq!(refusal.reason, RefusalReason::OverShare);
                    *refused.entry(account).or_default() += 1;
                }
            }
        }
    }
    refused
}

/// One account sends many times its usual work while few engines are free. Only this account is
/// limited, and its refusals have a retry time.
#[test]
fn only_the_surging_account_is_limited() {
    let refused = run(open(Kind::Laxity, 10, 1).as_mut(), true);
    assert_eq!(
        refused.keys().copied().collect::<Vec<_>>(),
        [9],
        "{refused:?}"
    );
    assert!(refused[&9] > 1_000, "{refused:?}");
}

/// No account is limited while all send their usual work, even if few engines are free.
#[test]
fn accounts_with_their_usual_work_are_not_limited() {
    let refused = run(open(Kind::Laxity, 10, 1).as_mut(), false);
    assert!(refused.is_empty(), "{refused:?}");
}

/// A new configuration changes the order of the accounts and with it their ids. The history of an
/// account must follow its name. Otherwise another account would be limited for the surge.
#[test]
fn a_new_configuration_keeps_the_history_of_an_account() {
    let mut policy = open(Kind::Laxity, 10, 1);
    run(policy.as_mut(), true);
    let mut reordered = config(10);
    reordered.accounts.rotate_right(1);
    let now_ms = MonoMs(240_000);
    policy.set_config(&reordered, now_ms);
    for engine in 0..10 {
        policy.on_load(UpstreamId(engine), &load(30_000, 0), now_ms);
    }
    let mut admit = |account: u32| {
        let mut job = job(1_000_000 + u64::from(account), 20_000, now_ms.0, 20_000);
        job.account = AccountId(account);
        policy.admit(job, now_ms).map_err(|refusal| refusal.reason)
    };
    assert_eq!(
        admit(0),
        Err(RefusalReason::OverShare),
        "the last account is now the first"
    );
    assert_eq!(admit(9), Ok(()));
}
