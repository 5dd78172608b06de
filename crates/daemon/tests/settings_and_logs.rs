//! The settings file and the log lines: all findings come together with their
//! places, and no value can forge a line.

use std::time::Duration;

use aspenloft_daemon::settings::{Limits, Settings};
use aspenloft_telemetry::line as logging;
use log::kv::{ToValue, Value};
use log::{Level, Record};

const GOOD: &str = r#"{"host": "h1", "data_centre": "dc-a",
  "callers": "10.0.0.7:8200", "peers": "10.0.0.7:8300", "admin": "10.0.0.7:8400",
  "platform": {"key_value": "10.0.0.1:7001", "host_list": "10.0.0.1:7002"}}"#;

#[test]
fn good_settings_have_default_limits_and_take_others() {
    let settings = Settings::from_json(GOOD).expect("good settings");
    assert_eq!(settings.limits, Limits::default());
    let text = GOOD.replacen('{', r#"{"limits": {"drain_ms": 5000, "max_connections": 9},"#, 1);
    let limits = Settings::from_json(&text).expect("good settings").limits;
    let expected =
        Limits { drain: Duration::from_secs(5), max_connections: 9, ..Limits::default() };
    assert_eq!(limits, expected);
    let written = serde_json::to_string(&settings).expect("JSON");
    assert_eq!(Settings::from_json(&written).expect("what is written is read"), settings);
}

/// Each case: what stands in the file, and the places that must be found, in order.
#[test]
fn finds_all_faults_with_their_places() {
    let cases: [(&str, String, &[&str]); 7] = [
        ("no JSON", "{\"host\": ".into(), &["line 1, column 9"]),
        (
            "no object",
            "[]".into(),
            &["the file", "host", "data_centre", "callers", "peers", "admin", "platform"],
        ),
        (
            "types of many fields",
            GOOD.replace("\"h1\"", "7")
                .replace("\"10.0.0.7:8300\"", "\"x\"")
                .replace("10.0.0.1:7002", "y"),
            &["host", "peers", "platform.host_list"],
        ),
        (
            "unknown and missing",
            GOOD.replace("\"admin\"", "\"admni\"").replace("\"key_value\"", "\"kv\""),
            &["admin", "platform.key_value", "platform.kv", "admni"],
        ),
        (
            "what the types do not see",
            GOOD.replace("\"h1\"", "\" \"")
                .replace("8400", "8200")
                .replace("10.0.0.7:8300", "0.0.0.0:8300")
                .replace("7001", "0"),
            &["host", "peers", "admin", "platform.key_value"],
        ),
        (
            "limits",
            GOOD.replacen(
                '{',
                r#"{"limits": {"idle_ms": 0, "head_ms": 0, "max_connections": 0},"#,
                1,
            ),
            &["limits.max_connections", "limits.idle_ms", "limits.head_ms"],
        ),
        (
            "types of limits",
            GOOD.replacen('{', r#"{"limits": {"idle_ms": "1s", "drain_ms": -1, "x": 1},"#, 1),
            &["limits.idle_ms", "limits.drain_ms", "limits.x"],
        ),
    ];
    for (name, text, places) in cases {
        let findings = Settings::from_json(&text).expect_err(name);
        let found: Vec<_> = findings.0.iter().map(|finding| finding.place.as_str()).collect();
        assert_eq!(found, places, "{name}: {findings}");
    }
}

fn line(pairs: &[(&str, Value<'_>)]) -> String {
    let mut builder = Record::builder();
    builder.level(Level::Info).key_values(&pairs);
    logging::log_line(1_234, &builder.args(format_args!("")).build())
}

#[test]
fn writes_one_line_an_event_and_escapes_what_callers_choose() {
    let pairs = [
        ("event", "request".to_value()),
        ("tokens", 7.to_value()),
        ("code", "".to_value()),
        ("path", "/a b".to_value()),
        ("forged", "x\nlevel=error event=\"left\"".to_value()),
    ];
    let expected = "at_ms=1234 level=info event=request tokens=7 code=\"\" path=\"/a b\" \
                    forged=\"x\\nlevel=error event=\\\"left\\\"\"";
    assert_eq!(line(&pairs), expected);
}
