//! What is shown of an exchange.

use super::*;

/// An operator looks for an engine's fault and logs its port with `{:?}`. The log is read by more
/// people than may know the engines' credential.
#[test]
fn the_credential_is_not_shown() {
    let exchange = Exchange::open("10.0.0.9:80".into(), Some("hush-7f3a".into()));
    let shown = format!("{exchange:?}");
    assert!(shown.contains("10.0.0.9:80"), "{shown}");
    assert!(!shown.contains("hush-7f3a"), "{shown}");
}
