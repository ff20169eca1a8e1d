//! The check of classes of work and their targets.

use crate::check::{Duplicates, Faults, MAX_CLASSES, names};
use crate::fleet::{Class, FirstTokenTarget};
use bluebell_base::prelude::*;

/// Maximum number of first-token targets of a class.
const MAX_TARGETS: usize = 16;

/// Maximum time within which answers of a class must end: one day.
const MAX_END_MS: SpanMs = SpanMs::from_secs(24 * 60 * 60);

/// Checks all classes.
pub(super) fn check(classes: &[Class], faults: &mut Faults) {
    if classes.is_empty() {
        faults.add("classes", "at least one class of work is needed");
    }
    faults.check_count("classes", classes.len(), MAX_CLASSES);
    let mut seen = Duplicates::default();
    for (i, class) in classes.iter().enumerate() {
        let path = format!("classes[{i}]");
        names::check(&path, "classes", class.name.as_str(), i, &mut seen, faults);
        check_targets(&path, class, faults);
        faults.check_range(format!("{path}.end_ms"), class.end_ms.0, 1..=MAX_END_MS.0);
    }
}

fn check_targets(path: &str, class: &Class, faults: &mut Faults) {
    let targets = &class.first_token;
    let path = format!("{path}.first_token");
    if targets.is_empty() {
        faults.add(path, "needs at least one target");
        return;
    }
    faults.check_count(&path, targets.len(), MAX_TARGETS);
    let last = targets.len() - 1;
    for (i, target) in targets.iter().enumerate() {
        let path = format!("{path}[{i}]");
        check_length(&path, targets, i, i == last, faults);
        check_span(&path, target, class.end_ms, faults);
    }
}

fn check_length(
    path: &str,
    targets: &[FirstTokenTarget],
    i: usize,
    is_last: bool,
    faults: &mut Faults,
) {
    let path = format!("{path}.up_to_tokens");
    match targets[i].up_to_tokens {
        Some(_) if is_last => {
            faults.add(
                path,
                "must be left out in the last target, which is for all longer prompts",
            );
        }
        None if !is_last => faults.add(path, "is needed in every target but the last"),
        None => (),
        Some(Tokens(0)) => faults.add(path, "must be more than 0"),
        Some(limit) => {
            let before = targets[..i].iter().rev().find_map(|t| t.up_to_tokens);
            if before.is_some_and(|before| before >= limit) {
                faults.add(path, "must be more than in the target before");
            }
        }
    }
}

fn check_span(path: &str, target: &FirstTokenTarget, end_ms: SpanMs, faults: &mut Faults) {
    let path = format!("{path}.within_ms");
    if target.within_ms == SpanMs::ZERO {
        faults.add(path, "must be more than 0");
    } else if target.within_ms > end_ms {
        faults.add(path, format!("is later than the class's end_ms, {end_ms}"));
    }
}
