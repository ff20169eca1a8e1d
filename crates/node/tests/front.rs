//! Tests of the program as the platform starts it.

use std::process::{Command, Output};

fn front(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_bluebellpond"))
        .arg("front")
        .args(args)
        .env_clear()
        .output()
        .expect("it is built")
}

/// Guards against a node that starts with invalid settings and fails later. It must exit with the
/// code for invalid settings and print all faults.
#[test]
fn invalid_settings_exit_with_all_faults() {
    let path = std::env::temp_dir().join(format!("bluebell-front-{}", std::process::id()));
    let text = r#"{"nodeName":"n","ip":"127.0.0.1","zone":"a",
        "listen":{"frontend":"127.0.0.1:0","ready":"127.0.0.1:0"},"internalPortRange":[9,3],
        "bounds":{"graceS":0,"retryWindowS":10},"platform":{"address":"127.0.0.1:9"}}"#;
    std::fs::write(&path, text).expect("a file");
    let output = front(&["--settings", path.to_str().expect("a path")]);
    std::fs::remove_file(&path).expect("it is there");
    assert_eq!(output.status.code(), Some(2));
    let printed = String::from_utf8(output.stderr).expect("text");
    assert!(
        printed.contains("graceS") && printed.contains("internalPortRange"),
        "{printed}"
    );
}

/// Guards against accounts that are held to their shares without the operators' switch.
#[test]
fn accounts_are_held_on_request_only() {
    let path = std::env::temp_dir().join(format!("bluebell-hold-{}", std::process::id()));
    let text = r#"{"nodeName":"n","ip":"127.0.0.1","zone":"a",
        "listen":{"frontend":"127.0.0.1:0","ready":"127.0.0.1:0"},"internalPortRange":[3,9],
        "bounds":{"graceS":8,"retryWindowS":10},"platform":{"address":"127.0.0.1:9"}}"#;
    std::fs::write(&path, text).expect("a file");
    let settings = path.to_str().expect("a path");
    let usual = front(&["--settings", settings, "--check"]);
    let held = front(&["--settings", settings, "--check", "--hold-accounts"]);
    std::fs::remove_file(&path).expect("it is there");
    let printed = |output: Output| String::from_utf8(output.stdout).expect("text");
    assert!(printed(usual).contains("holds_accounts: false"));
    assert!(printed(held).contains("holds_accounts: true"));
}

/// A missing settings file and unknown arguments end the program with the code for invalid settings.
#[test]
fn missing_settings_and_unknown_arguments_are_reported() {
    let none = front(&[]);
    assert_eq!(none.status.code(), Some(2));
    assert!(String::from_utf8_lossy(&none.stderr).contains("settings file"));
    assert_eq!(front(&["--wrong"]).status.code(), Some(2));
    assert_eq!(front(&["--help"]).status.code(), Some(0));
}
