//! Tests the signed envelope with changed, copied, late and foreign calls and answers, and with
//! hostile bodies.

use bluebell_base::prelude::*;
use bluebell_peers::envelope::{EnvelopeError, ReplayGuard, Reply, SealedAnswer, SealedCall};
use bluebell_peers::{FleetSecret, PeerAnswer, PeerCall};
use proptest::prelude::*;

const SKEW_MS: SpanMs = SpanMs(1000);
const NOW_MS: WallMs = WallMs(1_000_000);

fn secret(text: &str) -> FleetSecret {
    FleetSecret::new(text).expect("long enough")
}

fn ours() -> FleetSecret {
    secret("a secret of the whole fleet")
}

fn call(have: u64) -> PeerCall {
    PeerCall::Config {
        have: ConfigVersion(have),
    }
}

fn sealed(have: u64) -> SealedCall {
    SealedCall::seal(&ours(), NOW_MS, 42, &call(have)).expect("encodes")
}

fn verify(call: &SealedCall, now_ms: WallMs) -> Result<(), EnvelopeError> {
    call.verify(&ours(), now_ms, &mut ReplayGuard::new(SKEW_MS))
}

#[test]
fn only_an_unchanged_call_is_accepted() {
    type Change = fn(&mut SealedCall);
    let cases: [(&str, Change, Result<(), EnvelopeError>); 7] = [
        ("unchanged", |_| (), Ok(())),
        (
            "other body",
            |c| c.body = sealed(2).body,
            Err(EnvelopeError::BadSignature),
        ),
        (
            "other time",
            |c| c.sent_ms = WallMs(1_000_001),
            Err(EnvelopeError::BadSignature),
        ),
        (
            "other nonce",
            |c| c.nonce = 43,
            Err(EnvelopeError::BadSignature),
        ),
        (
            "no MAC",
            |c| c.mac = "".into(),
            Err(EnvelopeError::BadSignature),
        ),
        (
            "short MAC",
            |c| c.mac = c.mac[..4].into(),
            Err(EnvelopeError::BadSignature),
        ),
        (
            "no base64",
            |c| c.mac = "\u{e9}!".into(),
            Err(EnvelopeError::BadSignature),
        ),
    ];
    for (name, change, wanted) in cases {
        let mut call = sealed(1);
        change(&mut call);
        assert_eq!(verify(&call, NOW_MS), wanted, "{name}");
    }
    let theirs = secret("the secret of another fleet");
    let mut guard = ReplayGuard::new(SKEW_MS);
    let foreign = sealed(1).verify(&theirs, NOW_MS, &mut guard);
    assert_eq!(foreign, Err(EnvelopeError::BadSignature));
}

/// Somebody on the network records a call and sends it again, immediately or later.
#[test]
fn a_copied_call_is_refused() {
    for later_ms in [0, 500, 1000, 1001, 5000] {
        let mut guard = ReplayGuard::new(SKEW_MS);
        let call = sealed(1);
        assert_eq!(call.verify(&ours(), NOW_MS, &mut guard), Ok(()));
        let now_ms = WallMs(NOW_MS.0 + later_ms);
        let again = call.verify(&ours(), now_ms, &mut guard);
        assert!(again.is_err(), "{later_ms} ms later");
    }
}

#[test]
fn wall_clocks_may_differ_within_bounds() {
    for (now_ms, wanted) in [
        (999_000, Ok(())),
        (1_001_000, Ok(())),
        (998_999, Err(EnvelopeError::BadTime)),
        (1_001_001, Err(EnvelopeError::BadTime)),
    ] {
        assert_eq!(verify(&sealed(1), WallMs(now_ms)), wanted, "{now_ms}");
    }
}

/// An answer to one call is passed off as the answer to another, such as a grant for the wrong
/// claim.
#[test]
fn answer_is_valid_for_its_own_call_only() {
    let reply = Reply::Ok(PeerAnswer::Settled);
    let answer = SealedAnswer::seal(&ours(), 1, &reply).expect("encodes");
    assert_eq!(answer.verify(&ours(), 1), Ok(()));
    assert_eq!(answer.verify(&ours(), 2), Err(EnvelopeError::BadSignature));
}

#[test]
fn secret_is_not_printed() {
    assert_eq!(format!("{:?}", ours()), "FleetSecret(..)");
    assert!(FleetSecret::new("short").is_err());
}

#[test]
fn unknown_fields_are_ignored_and_unknown_kinds_refused() {
    let newer = r#"{"call":"config","have":3,"zone":"x"}"#;
    assert_eq!(serde_json::from_str::<PeerCall>(newer).unwrap(), call(3));
    let unknown = r#"{"call":"merge","have":3}"#;
    assert!(serde_json::from_str::<PeerCall>(unknown).is_err());
}

proptest! {
    #[test]
    fn decoders_do_not_panic_on_any_text(text in ".{0,200}") {
        let _ = serde_json::from_str::<SealedCall>(&text);
        let _ = serde_json::from_str::<PeerCall>(&text);
        let _ = serde_json::from_str::<Reply>(&text);
    }

    #[test]
    fn changed_call_does_not_verify(at in 0..300usize, byte in 32u8..127) {
        let mut text = serde_json::to_string(&sealed(1)).unwrap().into_bytes();
        let at = at % text.len();
        prop_assume!(text[at] != byte);
        text[at] = byte;
        if let Ok(call) = serde_json::from_slice::<SealedCall>(&text) {
            // The last base64 digit has unused bits, and the envelope's own fields may be renamed.
            // A call that passes must still have the signed body.
            if verify(&call, NOW_MS).is_ok() {
                let signed = sealed(1);
                prop_assert_eq!(call.body.get(), signed.body.get());
            }
        }
    }
}
