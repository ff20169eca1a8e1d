//! The node's settings: where values come from, every fault at once, secrets hidden, and the page
//! of all flags.

use bluebell_base::prelude::*;
use bluebell_settings::{
    EnvVar, NODE_SETTINGS, NodeSettings, Parsed, SettingError, effective_text, flags_page,
};
use expect_test::{expect, expect_file};

/// The least a node needs.
const NEEDED: [&str; 12] = [
    "--name",
    "vm-1",
    "--domain",
    "galway-a",
    "--region",
    "eire-west",
    "--platform-address",
    "127.0.0.1:7000",
    "--fleet-secret",
    "a-secret-of-the-fleet",
    "--admin-credential",
    "a-credential-of-operators",
];

fn env(vars: &[(&str, &str)]) -> Vec<EnvVar> {
    let var = |(name, value): &(&str, &str)| EnvVar {
        name: (*name).into(),
        value: (*value).into(),
    };
    vars.iter().map(var).collect()
}

fn parse(more: &[&str], vars: &[(&str, &str)]) -> Result<Parsed<NodeSettings>, Vec<SettingError>> {
    let args: Vec<&str> = NEEDED.iter().chain(more).copied().collect();
    NodeSettings::from_args_and_env(&args, &env(vars))
}

fn run(more: &[&str], vars: &[(&str, &str)]) -> NodeSettings {
    match parse(more, vars) {
        Ok(Parsed::Run { settings, .. }) => settings,
        other => panic!("not to be run: {other:?}"),
    }
}

fn errors_text(errors: Vec<SettingError>) -> String {
    let lines: Vec<String> = errors.iter().map(SettingError::to_string).collect();
    lines.join("\n")
}

#[test]
fn a_flag_wins_over_the_environment_and_that_over_the_default() {
    let flag: &[&str] = &["--shards", "64"];
    let var: &[(&str, &str)] = &[("BLUEBELL_SHARDS", "32")];
    let cases = [
        (&[][..], &[][..], 16),
        (&[], var, 32),
        (flag, &[], 64),
        (flag, var, 64),
    ];
    for (args, vars, shards) in cases {
        assert_eq!(run(args, vars).shards, shards, "{args:?} {vars:?}");
    }
}

#[test]
fn all_can_come_from_the_environment() {
    let vars = [
        ("BLUEBELL_NAME", "vm-2"),
        ("BLUEBELL_DOMAIN", "ennis-c"),
        ("BLUEBELL_REGION", "eire-west"),
        ("BLUEBELL_PLATFORM_ADDRESS", "[::1]:7000"),
        ("BLUEBELL_FLEET_SECRET", "a-secret-of-the-fleet"),
        ("BLUEBELL_ADMIN_CREDENTIAL", "a-credential-of-operators"),
        ("BLUEBELL_MISSPELT", "x"),
        ("OTHER", "x"),
    ];
    let parsed = NodeSettings::from_args_and_env(&[], &env(&vars));
    let Ok(Parsed::Run {
        settings,
        unknown_env,
        ..
    }) = parsed
    else {
        panic!("not to be run: {parsed:?}");
    };
    assert_eq!(settings.name, VmName::from("vm-2"));
    assert_eq!(settings.platform_address, Address::from("[::1]:7000"));
    assert_eq!(settings.seed_config, None);
    assert_eq!(unknown_env, ["BLUEBELL_MISSPELT".into()]);
}

#[test]
fn peer_seeds_are_a_list_of_addresses() {
    let seeds = |args: &[&str], vars: &[(&str, &str)]| {
        let list = run(args, vars).peer_seeds;
        list.map(|list| list.as_slice().to_vec())
    };
    let two = vec![Address::from("10.0.0.1:8082"), Address::from("[::1]:8082")];
    assert_eq!(seeds(&[], &[]), None);
    assert_eq!(
        seeds(&["--peer-seeds", "10.0.0.1:8082"], &[]),
        Some(two[..1].to_vec())
    );
    let vars = [("BLUEBELL_PEER_SEEDS", "10.0.0.1:8082, [::1]:8082")];
    assert_eq!(seeds(&[], &vars), Some(two));
}

#[test]
fn peer_seeds_that_are_no_addresses_are_faults() {
    let cases = [
        ("", ""),
        ("10.0.0.1:8082,", ""),
        ("10.0.0.1:8082,,10.0.0.2:8082", ""),
        ("vm-1:8082", "vm-1:8082"),
        ("10.0.0.1:8082,10.0.0.2", "10.0.0.2"),
    ];
    for (text, bad) in cases {
        let errors = parse(&["--peer-seeds", text], &[]).expect_err("it is faulty");
        let wanted = format!("--peer-seeds: {bad:?} is not an address of the form ip:port");
        assert_eq!(errors_text(errors), wanted, "{text:?}");
    }
}

#[test]
fn every_fault_is_listed_at_once() {
    let args = [
        "--callers-address",
        "localhost:80",
        "--shards",
        "0",
        "--log-format",
        "xml",
        "--log-levels",
        "info,requests=loud",
        "--fleet-secret",
        "short",
        "--lease-ttl-ms",
        "1s",
    ];
    let vars = env(&[("BLUEBELL_IO_THREADS", "-1")]);
    let errors = NodeSettings::from_args_and_env(&args, &vars).expect_err("it is faulty");
    expect![[r#"
        --name (or BLUEBELL_NAME) is needed: The VM's name in the platform's list.
        --domain (or BLUEBELL_DOMAIN) is needed: The VM's failure domain.
        --region (or BLUEBELL_REGION) is needed: The VM's region.
        --callers-address: "localhost:80" is not an address of the form ip:port
        --platform-address (or BLUEBELL_PLATFORM_ADDRESS) is needed: The address of the platform's log, weight store and VM list.
        --fleet-secret: needs at least 16 bytes
        --admin-credential (or BLUEBELL_ADMIN_CREDENTIAL) is needed: The credential of operators for the administration API.
        BLUEBELL_IO_THREADS: "-1" is not a whole number
        --log-format: "xml" is not a valid log format (text or json)
        --log-levels: "requests=loud" is not a valid log directive (level or module=level)
        --lease-ttl-ms: "1s" is not a whole number
        --shards: must be more than 0"#]]
    .assert_eq(&errors_text(errors));
}

#[test]
fn values_that_do_not_go_together_are_faults() {
    let cases: [(&[&str], &str); 4] = [
        (
            // TLS ends at the balancer; a flag that did nothing would promise otherwise.
            &["--tls-cert", "cert.pem"],
            "Unrecognized argument: --tls-cert",
        ),
        (
            &["--peers-address", "0.0.0.0:8082"],
            "--peers-advertised is needed where --peers-address is not one other nodes can call",
        ),
        (
            &["--lease-ttl-ms", "3900"],
            "--lease-ttl-ms must be at least 4000",
        ),
        (
            &["--config-poll-ms", "10000"],
            "--config-poll-ms must be at most 5000: changes shall be in force within seconds",
        ),
    ];
    for (args, wanted) in cases {
        let errors = parse(args, &[]).expect_err("it is faulty");
        assert_eq!(errors_text(errors), wanted);
    }
}

#[test]
fn an_unknown_flag_is_a_usage_error() {
    let errors = parse(&["--weights", "1"], &[]).expect_err("it is faulty");
    assert!(matches!(errors[..], [SettingError::Usage(_)]), "{errors:?}");
}

#[test]
fn check_prints_where_each_came_from_and_hides_secrets() {
    let parsed = parse(&["--check"], &[("BLUEBELL_SHARDS", "8")]);
    let Ok(Parsed::Check(effective)) = parsed else {
        panic!("not to be checked: {parsed:?}");
    };
    let text = effective_text(&effective);
    assert_eq!(text.lines().count(), NODE_SETTINGS.len());
    for secret in ["a-secret-of-the-fleet", "a-credential-of-operators"] {
        assert!(!text.contains(secret), "{text}");
    }
    let head: Vec<&str> = text.lines().take(12).collect();
    expect![[r#"
        name                 vm-1                             flag
        domain               galway-a                         flag
        region               eire-west                        flag
        callers-address      127.0.0.1:8080                   default
        admin-address        127.0.0.1:8081                   default
        peers-address        127.0.0.1:8082                   default
        peers-advertised     (unset)                          unset
        peer-seeds           (unset)                          unset
        platform-address     127.0.0.1:7000                   flag
        platform-credential  (unset)                          unset
        fleet-secret         (set)                            flag
        admin-credential     (set)                            flag"#]]
    .assert_eq(&head.join("\n"));
    assert!(!format!("{:?}", run(&[], &[])).contains("secret-of"));
    let vars = env(&[("BLUEBELL_FLEET_SECRET", "a-secret-of-the-fleet")]);
    assert!(!format!("{vars:?}").contains("secret-of"));
}

#[test]
fn help_names_every_setting_with_its_unit() {
    let parsed = parse(&["--help"], &[]);
    let Ok(Parsed::Help(text)) = parsed else {
        panic!("not a help: {parsed:?}");
    };
    for info in NODE_SETTINGS {
        let line = format!("--{} <{}>", info.flag, info.unit);
        assert!(text.contains(&line), "{line}");
        assert!(text.contains(info.env), "{}", info.env);
    }
}

#[test]
fn names_of_flags_and_variables_match() {
    for info in NODE_SETTINGS {
        let from_flag = info.flag.to_uppercase().replace('-', "_");
        assert_eq!(info.env, format!("BLUEBELL_{from_flag}"));
    }
}

/// `UPDATE_EXPECT=1 cargo test -p bluebell-settings` writes the page anew.
#[test]
fn the_page_of_flags_is_up_to_date() {
    let page = flags_page("bluebellpond", NODE_SETTINGS);
    expect_file!["../../../docs/FLAGS.md"].assert_eq(&page);
}
