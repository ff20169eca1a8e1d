//! The size of the table depends on the number of jobs at the same time, not on the total number of
//! jobs.

use super::Jobs;
use crate::job::Job;
use bluebell_base::prelude::*;

fn job(sequence: u64) -> Job {
    Job {
        request: RequestId {
            incarnation: Incarnation(1),
            sequence,
        },
        account: AccountId(0),
        class: ClassId(0),
        model: ModelId(0),
        prompt_tokens: Tokens(1_000),
        max_tokens: Tokens(100),
        prefixes: Vec::new(),
        arrived_ms: MonoMs(0),
        first_token_due_ms: MonoMs(500),
        deadline_ms: MonoMs(5_000),
        idempotent: true,
        avoid: Vec::new(),
    }
}

#[test]
fn slots_are_reused() {
    const AT_ONCE: u64 = 10;
    let mut jobs = Jobs::default();
    for sequence in 0..10_000 {
        jobs.insert(job(sequence));
        if let Some(old) = sequence.checked_sub(AT_ONCE) {
            let slot = jobs
                .slot(job(old).request)
                .expect("the job is in the table");
            jobs.remove(slot);
        }
    }
    assert_eq!(jobs.len() as u64, AT_ONCE);
    assert!(
        jobs.slot_counts().0 as u64 <= AT_ONCE + 1,
        "{:?}",
        jobs.slot_counts()
    );
}
