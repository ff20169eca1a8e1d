//! Tests of the `Debug` output of an exchange.

use super::*;

/// An operator logs an engine's port with `{:?}` to find a fault. More people read the log than may
/// know the engines' credential.
#[test]
fn debug_output_omits_the_credential() {
    let exchange = Exchange::open("10.0.0.9:80".into(), Some("hush-7f3a".into()));
    let shown = format!("{exchange:?}");
    assert!(shown.contains("10.0.0.9:80"), "{shown}");
    assert!(!shown.contains("hush-7f3a"), "{shown}");
}
