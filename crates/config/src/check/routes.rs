//! The check of plain services: where they are routed, and which calls may not be repeated.

use crate::check::{Faults, MAX_OTHERS, Unique, names};
use crate::fleet::{NoRepeat, Service};
use bluebell_base::prelude::*;

/// The longest routed prefix, in bytes.
const PREFIX_BYTES: usize = 128;

/// How many patterns of calls that may not be repeated a service may have.
const MAX_PATTERNS: usize = 100;

/// The longest span a call may take: an hour.
const MAX_TIMEOUT_MS: SpanMs = SpanMs::from_secs(60 * 60);

/// The paths that the interface keeps for itself.
const RESERVED: &[&str] = &["/v1", "/healthz", "/readyz", "/admin", "/metrics"];

/// The methods a pattern can name.
const METHODS: &[&str] = &["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"];

/// Checks all plain services.
pub(super) fn check(services: &[Service], faults: &mut Faults) {
    faults.count("services", services.len(), MAX_OTHERS);
    let mut seen = Unique::default();
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
        faults.range(
            format!("{path}.timeout_ms"),
            timeout_ms,
            1..=MAX_TIMEOUT_MS.0,
        );
        check_patterns(&path, &service.no_repeat, faults);
    }
}

/// Checks the prefix of the last of `services` against itself and all before it.
fn check_prefix(path: &str, services: &[Service], faults: &mut Faults) {
    let Some((service, earlier)) = services.split_last() else {
        return;
    };
    let path = format!("{path}.prefix");
    if let Some(reason) = prefix_fault(&service.prefix) {
        faults.add(path, reason);
        return;
    }
    if let Some(reserved) = RESERVED.iter().find(|r| overlap(r, &service.prefix)) {
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
    if prefix.len() > PREFIX_BYTES {
        return Some(format!("is longer than {PREFIX_BYTES} bytes"));
    }
    let bad = segments.split('/').find(|segment| !is_segment(segment));
    bad.map(|segment| format!("has the segment {segment:?}; must be letters, digits and -_.~"))
}

fn is_segment(segment: &str) -> bool {
    let allowed = |c: char| c.is_ascii_alphanumeric() || "-_.~".contains(c);
    let dots = segment == "." || segment == "..";
    !segment.is_empty() && !dots && segment.chars().all(allowed)
}

/// Whether one path is the other or lies below it.
fn overlap(a: &str, b: &str) -> bool {
    let below = |inner: &str, outer: &str| {
        let rest = inner.strip_prefix(outer);
        rest.is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
    };
    below(a, b) || below(b, a)
}

fn check_patterns(path: &str, patterns: &[NoRepeat], faults: &mut Faults) {
    let list = format!("{path}.no_repeat");
    faults.count(&list, patterns.len(), MAX_PATTERNS);
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
