//! Tests of the digest, which decides if arrivals count as the same request.

use bluebell_base::prelude::*;
use bluebell_quarantine::prelude::*;

fn parts<'a>() -> RequestParts<'a> {
    RequestParts {
        account: "undertaker",
        method: "POST",
        host: "notices.example",
        target: "/draft/",
        body: b"a long night",
    }
}

/// Guards against a repeated request that isn't recognized at another node, and against different
/// requests with one digest. Only the parts of a request decide.
#[test]
fn each_part_of_a_request_changes_its_digest() {
    let one = RequestDigest::of(&parts());
    assert_eq!(one, RequestDigest::of(&parts()));
    let same_host = RequestParts {
        host: "Notices.Example",
        ..parts()
    };
    assert_eq!(one, RequestDigest::of(&same_host));
    let others = [
        RequestParts {
            account: "parish",
            ..parts()
        },
        RequestParts {
            method: "PUT",
            ..parts()
        },
        RequestParts {
            host: "b.example",
            ..parts()
        },
        RequestParts {
            target: "/draft/?a",
            ..parts()
        },
        RequestParts {
            body: b"a longer night",
            ..parts()
        },
        // The same bytes in total, split at another place.
        RequestParts {
            account: "undertakerP",
            method: "OST",
            ..parts()
        },
    ];
    for other in others {
        assert_ne!(one, RequestDigest::of(&other), "{other:?}");
    }
}

#[test]
fn a_digest_reads_back_from_text_and_bytes() {
    let digest = RequestDigest::of(&parts());
    assert_eq!(digest.to_string().parse(), Ok(digest));
    let json = serde_json::to_string(&digest).expect("plain data");
    assert_eq!(json, format!("\"{digest}\""));
    assert_eq!(
        serde_json::from_str::<RequestDigest>(&json).ok(),
        Some(digest)
    );
    let bytes = postcard::to_allocvec(&digest).expect("plain data");
    assert_eq!(bytes.len(), 17);
    assert_eq!(postcard::from_bytes::<RequestDigest>(&bytes), Ok(digest));
    let hash = "0123456789abcdef0123456789abcdef";
    assert!(format!("{hash}-12").parse::<RequestDigest>().is_ok());
    let broken: [Arc<str>; 9] = [
        "".into(),
        "12".into(),
        hash.into(),
        "-12".into(),
        "+123456789abcdef0123456789abcdef0-1".into(),
        format!("{hash}-").into(),
        format!("{hash}--1").into(),
        format!("{hash}-99999999999").into(),
        format!("{hash}0-1").into(),
    ];
    for text in broken {
        assert!(text.parse::<RequestDigest>().is_err(), "{text}");
    }
}

/// Guards against hashing each arrival while any request is suspected. The length of its body excludes
/// most of them without a hash.
#[test]
fn a_body_of_another_length_is_never_the_same_request() {
    let digest = RequestDigest::of(&parts());
    assert!(digest.may_be_of(b"a short nigh"));
    assert!(!digest.may_be_of(b"a longer night"));
}
