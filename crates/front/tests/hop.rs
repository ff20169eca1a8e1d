//! The heads of forwarded requests and of their answers.

use bluebell_base::prelude::*;
use bluebell_front::forward::{HopHead, Outcome, ResumePoint};
use hyper::HeaderMap;
use hyper::header::HeaderValue;

fn head(resume: Option<ResumePoint>) -> HopHead {
    HopHead {
        left_ms: SpanMs(588),
        age_ms: SpanMs(12),
        max_attempts: 2,
        version: ConfigVersion(41),
        resume,
    }
}

fn caller_headers() -> HeaderMap {
    let mut headers = HeaderMap::new();
    headers.insert("x-caller", HeaderValue::from_static("kept"));
    headers
}

/// Guards against a hop changing a request's deadline, attempts or headers.
#[test]
fn the_head_of_a_forwarded_request_is_read_as_written() {
    let resumed = |id: Option<&str>| {
        Some(ResumePoint {
            last_event: id.map(Into::into),
        })
    };
    for resume in [None, resumed(None), resumed(Some("7 a"))] {
        let mut headers = caller_headers();
        let head = head(resume);
        head.put(&mut headers).expect("it is valid");
        assert_eq!(HopHead::take(&mut headers), Ok(Some(head)));
        assert_eq!(headers, caller_headers());
    }
}

/// Guards against a caller's request being taken for a forwarded one.
#[test]
fn a_request_without_a_head_is_not_forwarded() {
    assert_eq!(HopHead::take(&mut caller_headers()), Ok(None));
}

/// Guards against a malformed head being read as something else.
#[test]
fn a_malformed_head_is_an_error() {
    for text in [
        "",
        "1 2 3 4",
        "1 2 3 4 0 5",
        "-1 2 3 4 0",
        "1 2 99999999999 4 0",
        "a b c d e",
    ] {
        let mut headers = HeaderMap::new();
        headers.insert("bluebell-forwarded", HeaderValue::from_static(text));
        assert!(HopHead::take(&mut headers).is_err(), "{text:?}");
    }
}

/// Guards against an answer of a node being taken for a replica's, or its verdict for another.
#[test]
fn outcomes_are_read_as_written() {
    let outcomes = [
        Outcome::Replica { attempts: 3 },
        Outcome::Node(Verdict::NotRun),
        Outcome::Node(Verdict::MayHaveRun),
        Outcome::Node(Verdict::Ran),
        Outcome::Unavailable,
    ];
    for outcome in outcomes {
        let mut headers = caller_headers();
        outcome.put(&mut headers);
        assert_eq!(Outcome::take(&mut headers), Some(outcome));
        assert_eq!(headers, caller_headers());
    }
    let mut headers = HeaderMap::new();
    headers.insert("bluebell-outcome", HeaderValue::from_static("node perhaps"));
    assert_eq!(Outcome::take(&mut headers), None);
}
