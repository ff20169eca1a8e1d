//! The check of names: their characters, their length, and that each is used once.

use crate::check::{Faults, Unique};

/// The longest name, in bytes.
const NAME_BYTES: usize = 64;

/// The longest model name, in bytes.
const MODEL_NAME_BYTES: usize = 128;

/// Checks the name of the entry at `path`, the `index`th of `list`.
pub(super) fn check<'a>(
    path: &str,
    list: &str,
    name: &'a str,
    index: usize,
    seen: &mut Unique<'a>,
    faults: &mut Faults,
) {
    check_text(path, name, NAME_BYTES, "-_.", faults);
    check_unique(path, list, name, index, seen, faults);
}

/// Checks a model's name, which may also have an owner and a tag, as in `owner/model:tag`.
pub(super) fn check_model<'a>(
    path: &str,
    name: &'a str,
    index: usize,
    seen: &mut Unique<'a>,
    faults: &mut Faults,
) {
    check_text(path, name, MODEL_NAME_BYTES, "-_./:", faults);
    check_unique(path, "models", name, index, seen, faults);
}

fn check_text(path: &str, name: &str, most: usize, marks: &str, faults: &mut Faults) {
    let path = format!("{path}.name");
    if name.is_empty() {
        faults.add(path, "is empty");
        return;
    }
    if name.len() > most {
        faults.add(path, format!("is longer than {most} bytes"));
        return;
    }
    let allowed = |c: char| c.is_ascii_alphanumeric() || marks.contains(c);
    let begins = name.starts_with(|c: char| c.is_ascii_alphanumeric());
    if !begins || !name.chars().all(allowed) {
        let reason = format!("must begin with a letter or digit and have only those and {marks}");
        faults.add(path, reason);
    }
}

fn check_unique<'a>(
    path: &str,
    list: &str,
    name: &'a str,
    index: usize,
    seen: &mut Unique<'a>,
    faults: &mut Faults,
) {
    if let Some(first) = seen.earlier(name, index) {
        let reason = format!("is the name of {list}[{first}] too");
        faults.add(format!("{path}.name"), reason);
    }
}
