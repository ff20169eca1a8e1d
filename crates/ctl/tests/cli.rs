//! The command line: usage errors, exit codes, checks of files, and the administration API's
//! client against a scripted node.

use expect_test::expect_file;
use std::process::{Command, Output};
use std::sync::Arc;
use std::thread::JoinHandle;
use tiny_http::{Response, Server};

const CREDENTIAL: &str = "a-credential-of-operators";

fn ctl(args: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_bluebellctl"));
    command.env_remove("BLUEBELL_ADMIN_ADDRESS");
    command.env_remove("BLUEBELL_ADMIN_CREDENTIAL");
    command.args(args).output().expect("the program runs")
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8(bytes.to_vec()).expect("text")
}

fn example(name: &str) -> String {
    format!("{}/../../examples/{name}", env!("CARGO_MANIFEST_DIR"))
}

#[test]
fn a_wrong_command_line_ends_with_2_and_says_why() {
    let cases: [(&[&str], &str); 12] = [
        (&[], "subcommand"),
        (&["weights"], "weights"),
        (&["config"], "subcommand"),
        (&["config", "publish", "x.json"], "--base"),
        (
            &["config", "show"][..],
            "--admin-credential (or BLUEBELL_ADMIN_CREDENTIAL) is needed",
        ),
        (
            &[
                "--admin-address",
                "here",
                "--admin-credential",
                "x",
                "state",
            ],
            "\"here\" is not of the form ip:port",
        ),
        (&["load", "--mix", "medium"], "mix"),
        (
            &["load", "--rate", "0", "--tries", "0"],
            "rate must be more than 0/s\ntries must be more than 0",
        ),
        (&["load", "--target", "localhost"], "--target"),
        (
            &[
                "bench",
                "--part",
                "all",
                "--policy",
                "none",
                "--repeats",
                "0",
            ],
            "--repeats",
        ),
        (&["load", "--direct-share", "0.5"], "--direct-engine"),
        (
            &["stand-in", "vm", "--name", "vm-1", "--state", "asleep"],
            "asleep",
        ),
    ];
    for (args, wanted) in cases {
        let output = ctl(args);
        let error = text(&output.stderr);
        assert_eq!(output.status.code(), Some(2), "{args:?}: {error}");
        assert!(error.contains(wanted), "{args:?}: {error}");
        assert!(output.stdout.is_empty(), "{args:?}");
    }
}

#[test]
fn help_goes_to_standard_output_with_0() {
    for args in [
        &["--help"][..],
        &["load", "--help"],
        &["config", "publish", "--help"],
    ] {
        let output = ctl(args);
        assert_eq!(output.status.code(), Some(0), "{args:?}");
        assert!(
            text(&output.stdout).contains("Usage: bluebellctl"),
            "{args:?}"
        );
    }
}

/// Every command, in the order of the page.
const COMMANDS: [&[&str]; 22] = [
    &[],
    &["config"],
    &["config", "check"],
    &["config", "publish"],
    &["config", "show"],
    &["config", "history"],
    &["state"],
    &["fleet"],
    &["drain"],
    &["load"],
    &["bench"],
    &["demo"],
    &["explain"],
    &["quarantine"],
    &["shares"],
    &["soak"],
    &["stand-in"],
    &["stand-in", "engine"],
    &["stand-in", "service"],
    &["stand-in", "platform"],
    &["stand-in", "vm"],
    &["stand-in", "faults"],
];

/// `UPDATE_EXPECT=1 cargo test -p bluebellctl` writes the page anew.
#[test]
fn the_page_of_commands_is_up_to_date() {
    let mut page = String::from(PAGE_HEAD);
    for command in COMMANDS {
        let output = ctl(&[command, &["--help"]].concat());
        let name = [&["bluebellctl"], command].concat().join(" ");
        let help = text(&output.stdout);
        page.push_str(&format!(
            "\n## `{name}`\n\n```text\n{}\n```\n",
            help.trim_end()
        ));
    }
    expect_file!["../../../docs/CTL.md"].assert_eq(&page);
}

const PAGE_HEAD: &str = "# Commands of `bluebellctl`

The help of every command as it prints it; a test compares this page. Exit codes: 0 all went as
asked, 1 it did not, 2 the command line was wrong (every fault is listed).
";

#[test]
fn the_example_files_have_no_faults() {
    for name in ["fleet.json", "demo-fleet.json"] {
        let output = ctl(&["config", "check", &example(name)]);
        assert_eq!(output.status.code(), Some(0), "{}", text(&output.stdout));
    }
}

#[test]
fn a_faulty_file_ends_with_1_and_names_each_fault() {
    let good = std::fs::read_to_string(example("demo-fleet.json")).expect("the file");
    let bad = good.replacen("\"end_ms\": 30000", "\"end_ms\": 0", 1);
    let file = std::env::temp_dir().join(format!("bluebellctl-{}.json", std::process::id()));
    std::fs::write(&file, bad).expect("a file to check");
    let output = ctl(&["config", "check", file.to_str().expect("a path")]);
    std::fs::remove_file(&file).expect("it was there");
    assert_eq!(output.status.code(), Some(1));
    let faults = text(&output.stdout);
    assert!(faults.contains("classes[0].end_ms: "), "{faults}");
}

#[test]
fn a_file_that_is_not_there_ends_with_1() {
    let output = ctl(&["config", "check", "no-such-file.json"]);
    assert_eq!(output.status.code(), Some(1));
    assert!(text(&output.stderr).contains("no-such-file.json"));
}

/// What a scripted node was asked.
struct Asked {
    call: String,
    bearer: String,
    body: String,
}

/// Two nodes, one of which answers.
const FLEET: &str = r#"{"this":{"name":"node-0","address":"127.0.0.1:9001","domain":"galway-a",
    "incarnation":1,"config":7,"leaving":false},"nodes":[{"name":"node-1",
    "address":"127.0.0.1:9002","domain":"galway-b","incarnation":2,"config":7,"leaving":true}]}"#;

/// Answers one call.
fn node(status: u16, answer: &'static str) -> (String, JoinHandle<Asked>) {
    let server = Arc::new(Server::http("127.0.0.1:0").expect("a free port"));
    let address = server.server_addr().to_string();
    let thread = std::thread::spawn(move || {
        let mut request = server.recv().expect("a call");
        let mut body = String::new();
        request.as_reader().read_to_string(&mut body).expect("text");
        let is_bearer = |header: &&tiny_http::Header| header.field.equiv("authorization");
        let bearer = request.headers().iter().find(is_bearer);
        let asked = Asked {
            call: format!("{} {}", request.method(), request.url()),
            bearer: bearer.expect("a credential").value.to_string(),
            body,
        };
        let response = Response::from_string(answer).with_status_code(status);
        request.respond(response).expect("the caller waits");
        asked
    });
    (address, thread)
}

#[test]
fn the_administration_api_is_asked_as_it_wants() {
    let demo = example("demo-fleet.json");
    let publish: &[&str] = &["config", "publish", &demo, "--base", "3"];
    let accepted = r#"{"result":"accepted","version":4}"#;
    let conflict = r#"{"result":"conflict","current":9}"#;
    let refused = r#"{"error":{"message":"not now","verdict":"not_run"}}"#;
    let cases = [
        (
            publish,
            200,
            accepted,
            "POST /admin/config",
            0,
            "version 4 is in force",
        ),
        (
            publish,
            409,
            conflict,
            "POST /admin/config",
            1,
            "version 9 came first",
        ),
        (
            publish,
            409,
            r#"{"result":"conflict","current":2}"#,
            "POST /admin/config",
            1,
            "version 2 is in force, there is no version 3",
        ),
        (
            &["--json", "config", "publish", &demo, "--base", "3"],
            409,
            conflict,
            "POST /admin/config",
            1,
            conflict,
        ),
        (
            publish,
            503,
            refused,
            "POST /admin/config",
            1,
            "503: not now (not_run)",
        ),
        (
            &["config", "show"][..],
            200,
            r#"{"version":2,"config":{"a":1}}"#,
            "GET /admin/config",
            0,
            r#"{"a":1}"#,
        ),
        (
            &["config", "history"],
            200,
            r#"[{"version":2,"source":"log","at_ms":5,"body_bytes":12}]"#,
            "GET /admin/config/history",
            0,
            "version      2",
        ),
        (
            &["fleet"],
            200,
            FLEET,
            "GET /admin/fleet",
            0,
            "node-1                   127.0.0.1:9002           galway-b                7  leaving",
        ),
        (
            &["drain"],
            200,
            r#"{"done":true}"#,
            "POST /admin/drain",
            0,
            "draining",
        ),
    ];
    for (args, status, answer, call, code, wanted) in cases {
        let (address, thread) = node(status, Box::leak(answer.to_owned().into_boxed_str()));
        let mut all = vec![
            "--admin-address",
            &address,
            "--admin-credential",
            CREDENTIAL,
        ];
        all.extend(args);
        let output = ctl(&all);
        let asked = thread.join().expect("it was asked");
        let printed = text(&output.stdout) + &text(&output.stderr);
        assert_eq!(asked.call, call, "{args:?}");
        assert_eq!(asked.bearer, format!("Bearer {CREDENTIAL}"));
        assert_eq!(output.status.code(), Some(code), "{args:?}: {printed}");
        assert!(printed.contains(wanted), "{args:?}: {printed}");
        assert!(!printed.contains(CREDENTIAL));
        if args.contains(&"publish") {
            assert!(
                asked.body.starts_with(r#"{"base":3,"config":{"#),
                "{}",
                asked.body
            );
        }
    }
}

/// Someone on call has three nodes' logs and a request's id: the lines come in order, with what they
/// mean; a request that isn't there is a failure, not silence.
#[test]
fn a_request_is_explained_from_logs() {
    let path = std::env::temp_dir().join(format!("bluebell-explain-{}", std::process::id()));
    let log = concat!(
        r#"1.5 front-b {"time_ms":120,"node":"b","event":"failed","request":"r1","status":502,"why":"the connection failed: reset","age_ms":20}"#,
        "\n",
        r#"{"time_ms":100,"node":"b","event":"placed","request":"r1","attempt":1,"instance":"i-1"}"#,
        "\n",
        r#"{"time_ms":101,"node":"b","event":"placed","request":"r2","attempt":1,"instance":"i-1"}"#,
        "\nnothing of ours r1\n",
    );
    std::fs::write(&path, log).expect("a file");
    let file = path.to_str().expect("a path");
    let output = ctl(&["explain", "r1", file]);
    let missing = ctl(&["explain", "r9", file]);
    std::fs::remove_file(&path).expect("it is there");
    expect_test::expect![[r#"
        +0 ms  b  placed attempt=1 instance="i-1"
        +20 ms  b  failed age_ms=20 status=502 why="the connection failed: reset"

        Failed after 1 tries, and may have run: the connection failed: reset.
    "#]]
    .assert_eq(&text(&output.stdout));
    assert_eq!(missing.status.code(), Some(1));
}

/// Guards against a stream that its silent engine went on with being explained as one that another engine went on with.
#[test]
fn a_silence_that_ends_is_explained_from_logs() {
    let path = std::env::temp_dir().join(format!("bluebell-silence-{}", std::process::id()));
    let log = concat!(
        r#"{"time_ms":100,"node":"b","event":"placed","request":"r1","attempt":1,"instance":"i-1"}"#,
        "\n",
        r#"{"time_ms":900,"node":"b","event":"try_silent","request":"r1","instance":"i-1"}"#,
        "\n",
        r#"{"time_ms":901,"node":"b","event":"resumed","request":"r1","last_event":"4"}"#,
        "\n",
        r#"{"time_ms":950,"node":"b","event":"went_on","request":"r1","silent_ms":800}"#,
        "\n",
        r#"{"time_ms":990,"node":"b","event":"answered","request":"r1","status":200}"#,
        "\n",
    );
    std::fs::write(&path, log).expect("a file");
    let output = ctl(&["explain", "r1", path.to_str().expect("a path")]);
    std::fs::remove_file(&path).expect("it is there");
    let output = text(&output.stdout);
    let expected = "Answered whole, after a silence in which its engine stayed; 1 tries.";
    assert!(output.contains(expected), "{output}");
}

/// Serves one call as a node's page for operators does; returns the address and what was asked.
fn operators_page(status: u16, answer: &'static str) -> (String, JoinHandle<String>) {
    let server = Server::http("127.0.0.1:0").expect("a free port");
    let address = server.server_addr().to_string();
    let thread = std::thread::spawn(move || {
        let request = server.recv().expect("a call");
        let asked = format!("{} {}", request.method(), request.url());
        let response = Response::from_string(answer).with_status_code(status);
        request.respond(response).expect("the caller waits");
        asked
    });
    (address, thread)
}

/// Further arguments, the page's status and answer, what it was asked, the exit code, what is printed.
type PageCase<'a> = (&'a [&'a str], u16, &'static str, &'a str, i32, &'a str);

/// An operator sees which requests are run no more, and lets one out.
#[test]
fn quarantine_is_listed_and_lifted() {
    const DIGEST: &str = "0123456789abcdef0123456789abcdef-4961";
    const LISTED: &str = r#"[{"digest":"0123456789abcdef0123456789abcdef-4961","term":"term1",
        "review_in_ms":180000}]"#;
    let lift = ["--lift", DIGEST];
    let lifted = format!("DELETE /quarantine/{DIGEST}");
    let row = format!("{DIGEST}  term1  review in 3 min\n");
    let cases: [PageCase<'_>; 4] = [
        (&[], 200, LISTED, "GET /quarantine", 0, &row),
        (
            &[],
            200,
            "[]",
            "GET /quarantine",
            0,
            "no request is in quarantine\n",
        ),
        (
            &lift,
            200,
            "",
            &lifted,
            0,
            "let out: all nodes run it again\n",
        ),
        (
            &lift,
            404,
            "it isn't in quarantine",
            &lifted,
            1,
            "404: it isn't in quarantine",
        ),
    ];
    for (args, status, answer, asked, code, said) in cases {
        let (address, page) = operators_page(status, answer);
        let output = ctl(&[&["quarantine", "--at", &address], args].concat());
        assert_eq!(page.join().expect("it was asked"), asked);
        assert_eq!(output.status.code(), Some(code));
        let said_all = [text(&output.stdout), text(&output.stderr)].concat();
        assert!(said_all.contains(said), "{said_all}");
    }
    for wrong in [
        &["quarantine", "--at", "here"][..],
        &["quarantine", "--at", "127.0.0.1:1", "--lift", "x"],
    ] {
        assert_eq!(ctl(wrong).status.code(), Some(2), "{wrong:?}");
    }
}

/// Guards against an operator who can't see which accounts are held, or to what.
#[test]
fn shares_are_listed() {
    const LISTED: &str = r#"[{"account":"acme","priority":1,"service":"chat","demand_ms":9000,
        "placed_ms":4000,"level_ms":3000},{"account":"beta","priority":1,"service":"chat",
        "demand_ms":100,"placed_ms":100,"level_ms":null}]"#;
    let rows = "acme  chat  priority 1  asked for 9000 ms  placed 4000 ms  level 3000 ms\n\
                beta  chat  priority 1  asked for 100 ms  placed 100 ms  level none\n";
    let none = "no account has asked for engine time recently\n";
    for (status, answer, code, said) in [(200, LISTED, 0, rows), (200, "[]", 0, none)] {
        let (address, page) = operators_page(status, answer);
        let output = ctl(&["shares", "--at", &address]);
        assert_eq!(page.join().expect("it was asked"), "GET /shares");
        assert_eq!(output.status.code(), Some(code));
        assert_eq!(text(&output.stdout), said);
    }
    assert_eq!(ctl(&["shares", "--at", "here"]).status.code(), Some(2));
}
