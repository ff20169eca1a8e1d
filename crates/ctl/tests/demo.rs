//! The demo as a newcomer runs it, made short: platform, engines, service and nodes in one
//! process answer mixed load without a fault.

use serde_json::Value;
use std::process::Command;

#[test]
fn the_demo_answers_mixed_load_without_a_fault() {
    let mut demo = Command::new(env!("CARGO_BIN_EXE_bluebellctl"));
    demo.args(["--json", "demo", "--requests", "30", "--rate", "15"]);
    demo.args(["--engines", "3", "--speed", "20", "--answer-tokens", "8"]);
    let output = demo.output().expect("the program runs");
    let error = String::from_utf8_lossy(&output.stderr);
    assert_eq!(output.status.code(), Some(0), "{error}");
    let report: Value = serde_json::from_slice(&output.stdout).expect("a JSON report");
    assert_eq!(report["ended"], 30, "{report:#}");
    assert_eq!(report["lost"], 0, "{report:#}");
    assert_eq!(report["checked"]["identity"], true, "{report:#}");
    assert_eq!(report["checked"]["upstreams_asked"], 4, "{report:#}");
    let whole = report["whole"].as_u64().expect("a count");
    assert!(whole > 0, "{report:#}");
}
