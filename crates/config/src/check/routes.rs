//! The check of plain services: their routes, and their calls that may not be repeated.

use crate::check::{Duplicates, Faults, MAX_LIST_ENTRIES, names};
use crate::fleet::{NoRepeat, Service};
use bluebell_base::prelude::*;

/// Maximum length of a routed prefix, in bytes.
const MAX_PREFIX_BYTES: usize = 128;

/// Maximum number of patterns of calls that may not be repeated, for each service.
const MAX_PATTERNS: usize = 100;

/// Maximum duration of a call: one hour.
const MAX_TIMEOUT_MS: SpanMs = SpanMs::from_secs(60 * 60);

/// Paths reserved for the node's own interface.
const RESERVED_PATHS: &[&str] = &["/v1", "/healthz", "/readyz", "/admin", "/metrics"];

/// HTTP methods that a pattern may have.
const METHODS: &[&str] = &["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"];

/// Checks all plain services.
pub(super) fn check(services: &[Service], faults: &mut Faults) {
    faults.check_count("services", services.len(), MAX_LIST_ENTRIES);
    let mut seen = Duplicates::default();
    for (i, service) in services.iter().enumerate() {
        let path = format!("services[{i}]");
        names::check(
            &path,
            "services",
            service.name.as_str(),
            i,
            &mut seen,
            faults,
        );
        check_prefix(&path, &services[..=i], faults);
        let timeout_ms = service.timeout_ms.0;
        faults.check_range(
            format!("{path}.timeout_ms"),
            timeout_ms,
            1..=MAX_TIMEOUT_MS.0,
        );
        check_patterns(&path, &service.no_repeat, faults);
    }
}

/// Checks the prefix of the last of `services`, by itself and against all before it.
fn check_prefix(path: &str, services: &[Service], faults: &mut Faults) {
    let Some((service, earlier)) = services.split_last() else {
        return;
    };
    let path = format!("{path}.prefix");
    if let Some(reason) = prefix_fault(&service.prefix) {
        faults.add(path, reason);
        return;
    }
    if let Some(reserved) = RESERVED_PATHS.iter().find(|r| overlap(r, &service.prefix)) {
        faults.add(
            path,
            format!("overlaps {reserved}, which the interface keeps"),
        );
        return;
    }
    let other = earlier
        .iter()
        .position(|e| overlap(&e.prefix, &service.prefix));
    if let Some(other) = other {
        faults.add(path, format!("overlaps the prefix of services[{other}]"));
    }
}

fn prefix_fault(prefix: &str) -> Option<String> {
    let Some(segments) = prefix.strip_prefix('/') else {
        return Some("must begin with /".into());
    };
    if prefix.len() > MAX_PREFIX_BYTES {
        return Some(format!("is longer than {MAX_PREFIX_BYTES} bytes"));
    }
    let bad_segment = segments.split('/').find(|segment| !is_segment(segment));
    bad_segment
        .map(|segment| format!("has the segment {segment:?}; must be letters, digits and -_.~"))
}

fn is_segment(segment: &str) -> bool {
    let allowed = |c: char| c.is_ascii_alphanumeric() || "-_.~".contains(c);
    let is_dots = segment == "." || segment == "..";
    !segment.is_empty() && !is_dots && segment.chars().all(allowed)
}

/// Returns true if one of the paths is equal to the other or lies below it.
fn overlap(a: &str, b: &str) -> bool {
    let is_within = |inner: &str, outer: &str| {
        let rest = inner.strip_prefix(outer);
        rest.is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
    };
    is_within(a, b) || is_within(b, a)
}

fn check_patterns(path: &str, patterns: &[NoRepeat], faults: &mut Faults) {
    let list = format!("{path}.no_repeat");
    faults.check_count(&list, patterns.len(), MAX_PATTERNS);
    for (i, pattern) in patterns.iter().enumerate() {
        let path = format!("{list}[{i}]");
        if !METHODS.contains(&&*pattern.method) {
            let reason = format!("must be one of {}", METHODS.join(", "));
            faults.add(format!("{path}.method"), reason);
        }
        if !pattern.path.starts_with('/') || pattern.path.contains('?') {
            faults.add(
                format!("{path}.path"),
                "must begin with / and have no query",
            );
        }
        if let Some(first) = patterns[..i].iter().position(|p| p == pattern) {
            faults.add(path, format!("is the same as {list}[{first}]"));
        }
    }
}
