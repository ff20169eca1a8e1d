//! Re-checks the invariants of a node's requests; runs in tests after each step.

use crate::life::{Life, Mode, Phase, Reader, Work};
use crate::table::Table;
use bluebell_base::prelude::*;

/// A broken invariant, for a person.
pub type Broken = Arc<str>;

/// Checks the table of live requests.
///
/// # Errors
/// The first broken invariant found.
pub fn table(table: &Table, owner: Incarnation, now_ms: MonoMs) -> Result<(), Broken> {
    for (id, life) in table.iter() {
        let broken = |what: &str| Err(Broken::from(format!("{id} {}: {what}", life.request)));
        if table.find(life.request) != Some(id) {
            return broken("isn't found by its request");
        }
        if let Some(caller) = life.reader_id()
            && table.find_caller(caller) != Some(id)
        {
            return broken("isn't found by its caller");
        }
        if let Err(what) = one(life, owner, now_ms) {
            return broken(what);
        }
    }
    let held: Bytes = table.iter().map(|(_, life)| life.held_bytes()).sum();
    if held != table.held_bytes() {
        return Err(format!("{held} of prompts are held, {} counted", table.held_bytes()).into());
    }
    for (caller, id) in table.callers() {
        let reads = table.get(id).and_then(Life::reader_id) == Some(caller);
        if !reads {
            return Err(format!("{caller} is indexed but reads nothing").into());
        }
    }
    Ok(())
}

/// Checks one live request between two messages.
fn one(life: &Life, owner: Incarnation, now_ms: MonoMs) -> Result<(), &'static str> {
    if life.is_done() || life.ended.is_some() {
        return Err("has ended but is in the table");
    }
    let Some(alarm) = life.alarm else {
        return Err("has no timer");
    };
    if alarm.at_ms > life.next_due_ms() {
        return Err("its timer is later than what is due");
    }
    if alarm.at_ms > life.deadline_ms {
        return Err("its timer is later than its deadline");
    }
    if life.is_adopted() == (life.request.incarnation == owner) && life.answer().is_some() {
        return Err("is adopted from this very node, or not adopted from another");
    }
    work(life)?;
    phase(life, now_ms)
}

fn work(life: &Life) -> Result<(), &'static str> {
    match &life.work {
        Work::Answer(answer) => {
            if answer.base > 0 && answer.job.is_some() {
                return Err("its answer does not begin at the beginning");
            }
            if !answer.tokens.is_empty() && life.verdict() == Verdict::NotRun {
                return Err("has tokens but is said not to have run");
            }
            let may_need = answer.job.is_some()
                && (life.repeatable || life.verdict() == Verdict::NotRun)
                && !matches!(life.phase, Phase::Cancelling { .. });
            if may_need && answer.prompt.is_none() {
                return Err("its prompt is gone but may be needed");
            }
        }
        Work::Exchange(_) => {
            if matches!(life.phase, Phase::Running(_) | Phase::Queued) {
                return Err("is a service call but is with engines");
            }
        }
    }
    Ok(())
}

fn phase(life: &Life, now_ms: MonoMs) -> Result<(), &'static str> {
    let waiting = matches!(
        life.phase,
        Phase::Claiming { .. } | Phase::Queued | Phase::Backoff { .. } | Phase::Reserving(_)
    );
    if waiting && !life.repeatable && life.verdict() != Verdict::NotRun {
        return Err("may not be repeated, may have run, and waits to run");
    }
    match &life.phase {
        Phase::Claiming { .. } if life.claim.is_none() => Err("claims nothing"),
        Phase::Claiming { .. } if life.attempt.0 > 0 => Err("claims after an attempt"),
        Phase::Running(run) => {
            if life.present == Verdict::NotRun {
                return Err("runs but is said not to have run");
            }
            if run.stream > life.link {
                return Err("reads a link that was never opened");
            }
            if run.mode == Mode::Reading && !run.open {
                return Err("waits for events of a broken link");
            }
            Ok(())
        }
        Phase::Recalling { .. } if !life.repeatable || life.is_adopted() => {
            Err("is recalled but may not be repeated or belongs to another node")
        }
        Phase::Recalling { .. } if life.present != Verdict::MayHaveRun => {
            Err("is recalled but its attempt is not in doubt")
        }
        Phase::Done => Err("is done but in the table"),
        _ => match &life.reader {
            Reader::Detached { until_ms } if *until_ms > now_ms + MAX_GRACE => {
                Err("is kept without a reader for too long")
            }
            _ => Ok(()),
        },
    }
}

/// No grace is longer.
const MAX_GRACE: SpanMs = SpanMs::from_secs(24 * 3600);
