//! The check of configuration files: the examples pass, and faulty files give their faults.

use bluebell_config::{Fault, parse};
use expect_test::expect;
use proptest::prelude::*;
use serde_json::{Value, json};

const EXAMPLE: &str = include_str!("../../../examples/fleet.json");

/// Returns the example with the value at a JSON pointer replaced. A missing field is added.
fn example_with(pointer: &str, value: Value) -> String {
    let mut file: Value = serde_json::from_str(EXAMPLE).expect("the example is JSON");
    let (parent, field) = pointer.rsplit_once('/').expect("a pointer has a slash");
    let parent = file.pointer_mut(parent).expect("the parent exists");
    match parent {
        Value::Object(fields) => {
            fields.insert(field.to_owned(), value);
        }
        Value::Array(list) => list[field.parse::<usize>().expect("an index")] = value,
        _ => panic!("the parent of {pointer} is neither a list nor an object"),
    }
    file.to_string()
}

fn faults(text: &str) -> String {
    match parse(text) {
        Ok(_) => "none\n".into(),
        Err(faults) => faults.iter().map(|fault| format!("{fault}\n")).collect(),
    }
}

#[test]
fn the_examples_pass() {
    assert_eq!(faults(EXAMPLE), "none\n");
    let demo = include_str!("../../../examples/demo-fleet.json");
    assert_eq!(faults(demo), "none\n");
}

#[test]
fn faulty_files_report_their_faults() {
    let empty_key = "e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855";
    let other_key =
        serde_json::from_str::<Value>(EXAMPLE).expect("JSON")["accounts"][1]["key_sha256"].clone();
    let cases: Vec<(&str, Value)> = vec![
        ("/classes", json!([])),
        ("/classes/0/name", json!("condensed-text")),
        ("/classes/0/name", json!("")),
        ("/classes/0/name", json!("short draft")),
        ("/classes/0/name", json!("x".repeat(65))),
        ("/classes/0/end_ms", json!(0)),
        ("/classes/0/end_ms", json!(86_400_001)),
        ("/classes/0/end_ms", json!(1000)),
        ("/classes/0/first_token", json!([])),
        ("/classes/0/first_token", json!([{"within_ms": 0}])),
        (
            "/classes/0/first_token",
            json!([{"up_to_tokens": 5, "within_ms": 1}]),
        ),
        ("/classes/1/first_token/0/up_to_tokens", json!(32_000)),
        ("/classes/1/first_token/0/up_to_tokens", json!(0)),
        ("/classes/1/first_token/1", json!({"within_ms": 3000})),
        ("/classes/1/weight", json!(3)),
        ("/classes/1/end_ms", json!(-1)),
        ("/accounts/0/name", json!("western-gazette")),
        ("/accounts/0/key_sha256", json!("ABC")),
        ("/accounts/0/key_sha256", json!(empty_key)),
        ("/accounts/0/key_sha256", other_key),
        ("/models/0/name", json!("archive-70b")),
        ("/models/0/name", json!("org/notice 7b")),
        ("/models/0/version", json!(0)),
        ("/services/0/name", json!("-")),
        ("/services/0/prefix", json!("services")),
        ("/services/0/prefix", json!("/")),
        ("/services/0/prefix", json!("/services/../v1")),
        ("/services/0/prefix", json!("/services/board/")),
        ("/services/0/prefix", json!("/v1/board")),
        ("/services/0/prefix", json!("/v1")),
        ("/services/0/prefix", json!("/healthz")),
        ("/services/0/timeout_ms", json!(0)),
        ("/services/0/timeout_ms", json!(3_600_001)),
        ("/services/0/no_repeat/0/method", json!("post")),
        ("/services/0/no_repeat/0/path", json!("notices")),
        ("/services/0/no_repeat/0/method", json!("DELETE")),
        ("/deployments/0/name", json!("notice-board")),
        ("/limits/body_bytes", json!(1)),
        ("/limits/body_bytes", json!(67_108_865)),
        ("/limits/answer_tokens", json!(0)),
        ("/limits/engines", json!(0)),
    ];
    let lines: String = cases
        .into_iter()
        .map(|(pointer, value)| {
            let value_text: String = value.to_string().chars().take(30).collect();
            format!(
                "{pointer} = {value_text}\n    {}",
                faults(&example_with(pointer, value))
            )
        })
        .collect();
    expect![[r#"
        /classes = []
            classes: at least one class of work is needed
        /classes/0/name = "condensed-text"
            classes[1].name: is the name of classes[0] too
        /classes/0/name = ""
            classes[0].name: is empty
        /classes/0/name = "short draft"
            classes[0].name: must begin with a letter or digit and have only those and -_.
        /classes/0/name = "xxxxxxxxxxxxxxxxxxxxxxxxxxxxx
            classes[0].name: is longer than 64 bytes
        /classes/0/end_ms = 0
            classes[0].first_token[0].within_ms: is later than the class's end_ms, 0ms
        classes[0].first_token[1].within_ms: is later than the class's end_ms, 0ms
        classes[0].end_ms: is 0; must be from 1 to 86400000
        /classes/0/end_ms = 86400001
            classes[0].end_ms: is 86400001; must be from 1 to 86400000
        /classes/0/end_ms = 1000
            classes[0].first_token[1].within_ms: is later than the class's end_ms, 1000ms
        /classes/0/first_token = []
            classes[0].first_token: needs at least one target
        /classes/0/first_token = [{"within_ms":0}]
            classes[0].first_token[0].within_ms: must be more than 0
        /classes/0/first_token = [{"up_to_tokens":5,"within_ms"
            classes[0].first_token[0].up_to_tokens: must be left out in the last target, which is for all longer prompts
        /classes/1/first_token/0/up_to_tokens = 32000
            classes[1].first_token[1].up_to_tokens: must be more than in the target before
        /classes/1/first_token/0/up_to_tokens = 0
            classes[1].first_token[0].up_to_tokens: must be more than 0
        /classes/1/first_token/1 = {"within_ms":3000}
            classes[1].first_token[1].up_to_tokens: is needed in every target but the last
        /classes/1/weight = 3
            classes[1].weight: unknown field `weight`, expected one of `name`, `first_token`, `end_ms`, `idempotent` at line 1 column 664
        /classes/1/end_ms = -1
            classes[1].end_ms: invalid value: integer `-1`, expected u64 at line 1 column 494
        /accounts/0/name = "western-gazette"
            accounts[2].name: is the name of accounts[0] too
        /accounts/0/key_sha256 = "ABC"
            accounts[0].key_sha256: must be 64 lower-case hexadecimal digits
        /accounts/0/key_sha256 = "e3b0c44298fc1c149afbf4c8996fb
            accounts[0].key_sha256: is the hash of the empty key
        /accounts/0/key_sha256 = "f2a7f5409441a48190a39f4a82635
            accounts[1].key_sha256: is the key of accounts[0] too; a key names one account
        /models/0/name = "archive-70b"
            models[1].name: is the name of models[0] too
        /models/0/name = "org/notice 7b"
            models[0].name: must begin with a letter or digit and have only those and -_./:
        /models/0/version = 0
            models[0].version: is 0; must be from 1 to 18446744073709551615
        /services/0/name = "-"
            services[0].name: must begin with a letter or digit and have only those and -_.
        /services/0/prefix = "services"
            services[0].prefix: must begin with /
        /services/0/prefix = "/"
            services[0].prefix: has the segment ""; must be letters, digits and -_.~
        /services/0/prefix = "/services/../v1"
            services[0].prefix: has the segment ".."; must be letters, digits and -_.~
        /services/0/prefix = "/services/board/"
            services[0].prefix: has the segment ""; must be letters, digits and -_.~
        /services/0/prefix = "/v1/board"
            services[0].prefix: overlaps /v1, which the interface keeps
        /services/0/prefix = "/v1"
            services[0].prefix: overlaps /v1, which the interface keeps
        /services/0/prefix = "/healthz"
            services[0].prefix: overlaps /healthz, which the interface keeps
        /services/0/timeout_ms = 0
            services[0].timeout_ms: is 0; must be from 1 to 3600000
        /services/0/timeout_ms = 3600001
            services[0].timeout_ms: is 3600001; must be from 1 to 3600000
        /services/0/no_repeat/0/method = "post"
            services[0].no_repeat[0].method: must be one of GET, HEAD, POST, PUT, PATCH, DELETE, OPTIONS
        /services/0/no_repeat/0/path = "notices"
            services[0].no_repeat[0].path: must begin with / and have no query
        /services/0/no_repeat/0/method = "DELETE"
            services[0].no_repeat[1]: is the same as services[0].no_repeat[0]
        /deployments/0/name = "notice-board"
            deployments[2].name: is the name of deployments[0] too
        /limits/body_bytes = 1
            limits.body_bytes: is 1; must be from 1024 to 67108864
        /limits/body_bytes = 67108865
            limits.body_bytes: is 67108865; must be from 1024 to 67108864
        /limits/answer_tokens = 0
            limits.answer_tokens: is 0; must be from 1 to 1000000
        /limits/engines = 0
            limits.engines: unknown field `engines`, expected `body_bytes` or `answer_tokens` at line 1 column 1018
    "#]].assert_eq(&lines);
}

#[test]
fn overlapping_services_are_refused() {
    let service =
        |name: &str, prefix: &str| json!({"name": name, "prefix": prefix, "timeout_ms": 1});
    let pair = |a: &str, b: &str| {
        let list = json!([service("a", a), service("b", b)]);
        faults(&example_with("/services", list))
    };
    assert_eq!(pair("/services/a", "/services/ab"), "none\n");
    expect![[r#"
        services[1].prefix: overlaps the prefix of services[0]
    "#]]
    .assert_eq(&pair("/services/a", "/services/a"));
    expect![[r#"
        services[1].prefix: overlaps the prefix of services[0]
    "#]]
    .assert_eq(&pair("/services/a/b", "/services/a"));
}

#[test]
fn malformed_texts_report_the_first_fault() {
    let cases = [
        "",
        "[]",
        "{\"classes\": 3}",
        "{\"classes\": [], \"accounts\": [{\"name\": 3}]}",
        "{} {}",
    ];
    let lines: String = cases
        .iter()
        .map(|text| format!("{text}\n    {}", faults(text)))
        .collect();
    expect![[r#"

            .: EOF while parsing a value at line 1 column 0
        []
            .: invalid length 0, expected struct FleetConfig with 6 elements at line 1 column 2
        {"classes": 3}
            classes: invalid type: integer `3`, expected a sequence at line 1 column 13
        {"classes": [], "accounts": [{"name": 3}]}
            accounts[0].name: invalid type: integer `3`, expected a string at line 1 column 39
        {} {}
            .: missing field `classes` at line 1 column 2
    "#]]
    .assert_eq(&lines);
}

#[test]
fn an_oversized_text_is_refused_before_it_is_parsed() {
    let text = " ".repeat(bluebell_config::check::MAX_CONFIG_BYTES + 1);
    let found = parse(&text).expect_err("the text is too large");
    assert_eq!(found.len(), 1);
    assert_eq!(&*found[0].path, ".");
}

#[test]
fn a_large_fleet_passes_the_check() {
    let accounts: Vec<Value> = (0..2200)
        .map(|i| json!({"name": format!("account-{i}"), "key_sha256": format!("{i:064x}")}))
        .collect();
    assert_eq!(
        faults(&example_with("/accounts", json!(accounts))),
        "none\n"
    );
}

proptest! {
    #[test]
    fn no_text_makes_the_check_panic(text in ".{0,400}") {
        let _ = parse(&text);
    }

    #[test]
    fn no_byte_changed_in_the_example_makes_the_check_panic(
        at in 0..EXAMPLE.len(),
        byte in 0u8..128,
    ) {
        let mut bytes = EXAMPLE.as_bytes().to_vec();
        bytes[at] = byte;
        if let Ok(text) = String::from_utf8(bytes) {
            let _ = parse(&text);
        }
    }

    #[test]
    fn a_valid_configuration_round_trips(end_ms in 1500u64..86_400_000) {
        let config = parse(&example_with("/classes/0/end_ms", json!(end_ms)));
        let config = config.expect("the configuration is valid");
        let text = serde_json::to_string(&config).expect("the configuration can be written");
        prop_assert_eq!(parse(&text), Ok::<_, Vec<Fault>>(config));
    }
}

/// Appends the name of every field below `value`.
fn collect_fields(value: &Value, fields: &mut Vec<String>) {
    match value {
        Value::Object(map) => {
            fields.extend(map.keys().cloned());
            map.values().for_each(|inner| collect_fields(inner, fields));
        }
        Value::Array(list) => list.iter().for_each(|inner| collect_fields(inner, fields)),
        _ => (),
    }
}

#[test]
fn every_field_is_documented() {
    let page = include_str!("../../../docs/CONFIG.md");
    let example: Value = serde_json::from_str(EXAMPLE).expect("the example is JSON");
    let mut fields = Vec::new();
    collect_fields(&example, &mut fields);
    for field in fields {
        let documented =
            page.contains(&format!("`{field}`")) || page.contains(&format!(".{field}`"));
        assert!(documented, "docs/CONFIG.md does not describe {field}");
    }
}
