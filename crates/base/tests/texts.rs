//! Checks that every base type prints and parses back. Each line of the table has the input text
//! and the printed value or the error.

use bluebell_base::prelude::*;
use bluebell_base::text::ParseError;
use expect_test::expect;
use std::fmt::{Display, Write};
use std::str::FromStr;

fn case<T: FromStr<Err = ParseError> + Display>(out: &mut String, kind: &str, text: &str) {
    let shown = match text.parse::<T>() {
        Ok(value) => {
            let printed = value.to_string();
            let again = printed.parse::<T>().map(|v| v.to_string());
            assert_eq!(again.as_deref(), Ok(printed.as_str()), "{kind} {text:?}");
            printed
        }
        Err(error) => format!("error: {error}"),
    };
    writeln!(out, "{kind:<10} {text:<34} => {shown}").expect("writing to a string cannot fail");
}

#[test]
fn texts_of_base_types() {
    let mut out = String::new();
    for text in ["up0", "up41", "41", "up-1", "up4294967296", ""] {
        case::<UpstreamId>(&mut out, "UpstreamId", text);
    }
    for text in [
        "req-00000000000000ff-1a",
        "req-ff-1a",
        "req-00000000000000FF-1a",
        "req-00000000000000ff-",
        "ff-1a",
    ] {
        case::<RequestId>(&mut out, "RequestId", text);
    }
    for text in ["250ms", "250", "-1ms", "2s"] {
        case::<SpanMs>(&mut out, "SpanMs", text);
    }
    for text in ["t15ms", "15ms"] {
        case::<MonoMs>(&mut out, "MonoMs", text);
    }
    for text in ["1.5/s", "3", "NaN", "-2/s"] {
        case::<PerSecond>(&mut out, "PerSecond", text);
    }
    for text in ["not_run", "may_have_run", "ran", "run"] {
        case::<Verdict>(&mut out, "Verdict", text);
    }
    for text in ["galway-a", ""] {
        case::<DomainName>(&mut out, "DomainName", text);
    }
    expect![[r#"
        UpstreamId up0                                => up0
        UpstreamId up41                               => up41
        UpstreamId 41                                 => error: "41" is not a valid UpstreamId
        UpstreamId up-1                               => error: "up-1" is not a valid UpstreamId
        UpstreamId up4294967296                       => error: "up4294967296" is not a valid UpstreamId
        UpstreamId                                    => error: "" is not a valid UpstreamId
        RequestId  req-00000000000000ff-1a            => req-00000000000000ff-1a
        RequestId  req-ff-1a                          => error: "req-ff-1a" is not a valid RequestId
        RequestId  req-00000000000000FF-1a            => error: "req-00000000000000FF-1a" is not a valid RequestId
        RequestId  req-00000000000000ff-              => error: "req-00000000000000ff-" is not a valid RequestId
        RequestId  ff-1a                              => error: "ff-1a" is not a valid RequestId
        SpanMs     250ms                              => 250ms
        SpanMs     250                                => 250ms
        SpanMs     -1ms                               => error: "-1ms" is not a valid SpanMs
        SpanMs     2s                                 => error: "2s" is not a valid SpanMs
        MonoMs     t15ms                              => t15ms
        MonoMs     15ms                               => error: "15ms" is not a valid MonoMs
        PerSecond  1.5/s                              => 1.5/s
        PerSecond  3                                  => 3/s
        PerSecond  NaN                                => error: "NaN" is not a valid PerSecond
        PerSecond  -2/s                               => error: "-2/s" is not a valid PerSecond
        Verdict    not_run                            => not_run
        Verdict    may_have_run                       => may_have_run
        Verdict    ran                                => ran
        Verdict    run                                => error: "run" is not a valid Verdict
        DomainName galway-a                           => galway-a
        DomainName                                    => error: "" is not a valid DomainName
    "#]]
    .assert_eq(&out);
}
