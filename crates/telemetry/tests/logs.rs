//! Tests of log lines in both formats and of levels per module.

use bluebell_telemetry::{LogFormat, LogLevels, logs};
use log::{Level, Log, Record};
use logforth::record::Record as LogforthRecord;
use logforth::{Append, Diagnostic, Error, Layout};
use std::sync::{Arc, Mutex};

/// Collects formatted lines.
#[derive(Debug)]
struct Lines {
    layout: Box<dyn Layout>,
    kept: Arc<Mutex<Vec<String>>>,
}

impl Append for Lines {
    fn append(&self, record: &LogforthRecord, diags: &[Box<dyn Diagnostic>]) -> Result<(), Error> {
        let bytes = self.layout.format(record, diags)?;
        let line = String::from_utf8(bytes).expect("text");
        self.kept.lock().expect("no panic").push(line);
        Ok(())
    }

    fn flush(&self) -> Result<(), Error> {
        Ok(())
    }
}

/// Logs one message with a target and returns the lines that were written.
fn lines(format: LogFormat, levels: &str, target: &str, level: Level) -> Vec<String> {
    let kept = Arc::new(Mutex::new(Vec::new()));
    let append = Lines {
        layout: logs::layout(format),
        kept: kept.clone(),
    };
    let levels: LogLevels = levels.parse().expect("levels");
    let logger = logs::logger(&levels, append);
    let values = [("request", "req-0000000000000007-1")];
    logger.log(
        &Record::builder()
            .args(format_args!("attempt sent"))
            .level(level)
            .target(target)
            .key_values(&values)
            .build(),
    );
    kept.lock().expect("no panic").clone()
}

#[test]
fn lines_of_both_formats_contain_the_request() {
    let target = "bluebell_requests::attempt";
    let text = lines(LogFormat::Text, "info", target, Level::Info);
    assert_eq!(text.len(), 1);
    assert!(text[0].contains("attempt sent"), "{}", text[0]);
    assert!(
        text[0].contains("request=req-0000000000000007-1"),
        "{}",
        text[0]
    );
    assert!(!text[0].contains('\u{1b}'), "no colours: {}", text[0]);

    let json = lines(LogFormat::Json, "info", target, Level::Info);
    let value: serde_json::Value = serde_json::from_str(&json[0]).expect("a JSON object");
    assert_eq!(value["message"], "attempt sent");
    assert_eq!(value["level"], "INFO");
    assert_eq!(value["target"], target);
    assert_eq!(value["kvs"]["request"], "req-0000000000000007-1");
}

#[test]
fn levels_apply_per_module() {
    let requests = "bluebell_requests::attempt";
    let cases = [
        ("info", requests, Level::Info, true),
        ("info", requests, Level::Debug, false),
        ("info,requests=debug", requests, Level::Debug, true),
        ("info,requests=debug", "bluebell_peers", Level::Debug, false),
        ("off,requests=warn", requests, Level::Info, false),
        (
            "info,jsonrpsee=off",
            "jsonrpsee::server",
            Level::Error,
            false,
        ),
        (
            "warn,bluebell_requests::attempt=trace",
            requests,
            Level::Trace,
            true,
        ),
    ];
    for (levels, target, level, wanted) in cases {
        let seen = !lines(LogFormat::Text, levels, target, level).is_empty();
        assert_eq!(seen, wanted, "{levels} {target} {level}");
    }
}

#[test]
fn levels_round_trip_through_text() {
    for text in ["info", "warn,requests=debug", "off,a::b=trace"] {
        let levels: LogLevels = text.parse().expect("levels");
        assert_eq!(levels.to_string(), text);
    }
    for text in ["", "loud", "requests", "=info", "info,", "a=b=c"] {
        assert!(text.parse::<LogLevels>().is_err(), "{text:?}");
    }
}

/// Guards against a package that is missing from the list of short names: a directive such as
/// `pool_guard=debug` is then taken for a module path that no line has, and nothing is logged.
#[test]
fn every_package_has_a_short_name() {
    let packages = concat!(env!("CARGO_MANIFEST_DIR"), "/..");
    for package in std::fs::read_dir(packages).expect("the workspace's packages") {
        let name = package.expect("an entry").file_name();
        let short = name.to_string_lossy().replace('-', "_");
        if short == "ctl" {
            // The only package whose module path doesn't begin with `bluebell_`.
            continue;
        }
        let (levels, target) = (format!("off,{short}=debug"), format!("bluebell_{short}"));
        let seen = lines(LogFormat::Text, &levels, &target, Level::Debug);
        assert_eq!(seen.len(), 1, "{short}");
    }
}
