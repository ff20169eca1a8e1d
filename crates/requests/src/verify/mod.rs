//! Re-checks the invariants of a node's requests; in tests this runs after each step.

use crate::request::{LiveRequest, Mode, Phase, Reader, Work};
use crate::table::Table;
use bluebell_base::prelude::*;

/// The description of a broken invariant.
pub type BrokenInvariant = Arc<str>;

/// Checks the table of live requests.
///
/// # Errors
/// Returns the first broken invariant.
pub fn check_table(
    table: &Table,
    owner: Incarnation,
    now_ms: MonoMs,
) -> Result<(), BrokenInvariant> {
    for (id, live) in table.iter() {
        let broken = |what: &str| {
            Err(BrokenInvariant::from(format!(
                "{id} {}: {what}",
                live.request
            )))
        };
        if table.find(live.request) != Some(id) {
            return broken("is not indexed under its request id");
        }
        if let Some(caller) = live.reader_id()
            && table.find_caller(caller) != Some(id)
        {
            return broken("is not indexed under its caller");
        }
        if let Err(what) = check_request(live, owner, now_ms) {
            return broken(what);
        }
    }
    let held: Bytes = table.iter().map(|(_, live)| live.held_bytes()).sum();
    if held != table.held_bytes() {
        return Err(format!("{held} of prompts are held, {} counted", table.held_bytes()).into());
    }
    for (caller, id) in table.callers() {
        let reads = table.get(id).and_then(LiveRequest::reader_id) == Some(caller);
        if !reads {
            return Err(format!("{caller} is indexed but reads nothing").into());
        }
    }
    Ok(())
}

/// Checks one live request between two messages.
fn check_request(
    live: &LiveRequest,
    owner: Incarnation,
    now_ms: MonoMs,
) -> Result<(), &'static str> {
    if live.is_done() || live.ended.is_some() {
        return Err("has ended but is in the table");
    }
    let Some(timer) = live.timer else {
        return Err("has no timer");
    };
    if timer.at_ms > live.next_due_ms() {
        return Err("its timer is later than what is due");
    }
    if timer.at_ms > live.deadline_ms {
        return Err("its timer is later than its deadline");
    }
    if live.is_adopted() == (live.request.incarnation == owner) && live.answer().is_some() {
        return Err(
            "is adopted although this node admitted it, or not adopted although another node did",
        );
    }
    check_work(live)?;
    check_phase(live, now_ms)
}

fn check_work(live: &LiveRequest) -> Result<(), &'static str> {
    match &live.work {
        Work::Answer(answer) => {
            if answer.base > 0 && answer.job.is_some() {
                return Err("its answer does not start at position 0");
            }
            if !answer.tokens.is_empty() && live.verdict() == Verdict::NotRun {
                return Err("has tokens but its verdict is not run");
            }
            let may_need = answer.job.is_some()
                && (live.repeatable || live.verdict() == Verdict::NotRun)
                && !matches!(live.phase, Phase::Cancelling { .. });
            if may_need && answer.prompt.is_none() {
                return Err("its prompt was dropped but may be needed");
            }
        }
        Work::Exchange(_) => {
            if matches!(live.phase, Phase::Running(_) | Phase::Queued) {
                return Err("is a service call but is queued or running on an engine");
            }
        }
    }
    Ok(())
}

fn check_phase(live: &LiveRequest, now_ms: MonoMs) -> Result<(), &'static str> {
    let waiting = matches!(
        live.phase,
        Phase::Claiming { .. } | Phase::Queued | Phase::Backoff { .. } | Phase::Reserving(_)
    );
    if waiting && !live.repeatable && live.verdict() != Verdict::NotRun {
        return Err("may not be repeated, may have run, and waits to run");
    }
    match &live.phase {
        Phase::Claiming { .. } if live.claim.is_none() => Err("is claiming but has no claim"),
        Phase::Claiming { .. } if live.attempt.0 > 0 => Err("is claiming after an attempt"),
        Phase::Running(run) => {
            if live.current_verdict == Verdict::NotRun {
                return Err("is running but its verdict is not run");
            }
            if run.stream_link > live.link {
                return Err("reads a link that was never opened");
            }
            if run.mode == Mode::Reading && !run.is_open {
                return Err("waits for events of a broken link");
            }
            Ok(())
        }
        Phase::Recalling { .. } if !live.repeatable || live.is_adopted() => {
            Err("is recalled but may not be repeated or belongs to another node")
        }
        Phase::Recalling { .. } if live.current_verdict != Verdict::MayHaveRun => {
            Err("is recalled but the verdict on its attempt is certain")
        }
        Phase::Done => Err("is done but in the table"),
        _ => match &live.reader {
            Reader::Detached { until_ms } if *until_ms > now_ms + MAX_GRACE_MS => {
                Err("is kept without a reader for too long")
            }
            _ => Ok(()),
        },
    }
}

/// The upper limit of any grace period.
const MAX_GRACE_MS: SpanMs = SpanMs::from_secs(24 * 3600);
