//! The check of names: their characters, their length and their uniqueness.

use crate::check::{Duplicates, Faults};

/// Maximum length of a name, in bytes.
const MAX_NAME_BYTES: usize = 64;

/// Maximum length of a model name, in bytes.
const MAX_MODEL_NAME_BYTES: usize = 128;

/// Checks the name of the entry at `path`, which has position `index` in `list`.
pub(super) fn check<'a>(
    path: &str,
    list: &str,
    name: &'a str,
    index: usize,
    seen: &mut Duplicates<'a>,
    faults: &mut Faults,
) {
    check_text(path, name, MAX_NAME_BYTES, "-_.", faults);
    check_unique(path, list, name, index, seen, faults);
}

/// Checks the name of a model. It may include an owner and a tag, as in `owner/model:tag`.
pub(super) fn check_model<'a>(
    path: &str,
    name: &'a str,
    index: usize,
    seen: &mut Duplicates<'a>,
    faults: &mut Faults,
) {
    check_text(path, name, MAX_MODEL_NAME_BYTES, "-_./:", faults);
    check_unique(path, "models", name, index, seen, faults);
}

fn check_text(path: &str, name: &str, max_bytes: usize, punctuation: &str, faults: &mut Faults) {
    let path = format!("{path}.name");
    if name.is_empty() {
        faults.add(path, "is empty");
        return;
    }
    if name.len() > max_bytes {
        faults.add(path, format!("is longer than {max_bytes} bytes"));
        return;
    }
    let allowed = |c: char| c.is_ascii_alphanumeric() || punctuation.contains(c);
    let starts_alphanumeric = name.starts_with(|c: char| c.is_ascii_alphanumeric());
    if !starts_alphanumeric || !name.chars().all(allowed) {
        let reason =
            format!("must begin with a letter or digit and have only those and {punctuation}");
        faults.add(path, reason);
    }
}

fn check_unique<'a>(
    path: &str,
    list: &str,
    name: &'a str,
    index: usize,
    seen: &mut Duplicates<'a>,
    faults: &mut Faults,
) {
    if let Some(first) = seen.earlier_index(name, index) {
        let reason = format!("is the name of {list}[{first}] too");
        faults.add(format!("{path}.name"), reason);
    }
}
