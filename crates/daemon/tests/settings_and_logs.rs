//! The check of a settings file must report all findings at once, each with its place.
//! A value that a caller chooses must not be able to forge a log line.

use std::time::Duration;

use aspenloft_daemon::settings::{Limits, Settings};
use aspenloft_telemetry::line as logging;
use log::kv::{ToValue, Value};
use log::{Level, Record};

const VALID: &str = r#"{"host": "h1", "data_centre": "dc-a",
  "callers": "10.0.0.7:8200", "peers": "10.0.0.7:8300", "admin": "10.0.0.7:8400",
  "platform": {"key_value": "10.0.0.1:7001", "host_list": "10.0.0.1:7002"}}"#;

#[test]
fn limits_have_defaults_and_can_be_set() {
    let settings = Settings::from_json(VALID).expect("valid settings");
    assert_eq!(settings.limits, Limits::default());
    let text = VALID.replacen('{', r#"{"limits": {"drain_ms": 5000, "max_connections": 9},"#, 1);
    let limits = Settings::from_json(&text).expect("valid settings").limits;
    let expected =
        Limits { drain: Duration::from_secs(5), max_connections: 9, ..Limits::default() };
    assert_eq!(limits, expected);
    let written = serde_json::to_string(&settings).expect("JSON");
    assert_eq!(Settings::from_json(&written).expect("settings as written"), settings);
}

/// Each case is a name, the contents of the file and the expected places of findings,
/// in order.
#[test]
fn reports_all_findings_with_their_places() {
    let cases: [(&str, String, &[&str]); 7] = [
        ("invalid JSON", "{\"host\": ".into(), &["line 1, column 9"]),
        (
            "not an object",
            "[]".into(),
            &["the file", "host", "data_centre", "callers", "peers", "admin", "platform"],
        ),
        (
            "wrong types in several fields",
            VALID
                .replace("\"h1\"", "7")
                .replace("\"10.0.0.7:8300\"", "\"x\"")
                .replace("10.0.0.1:7002", "y"),
            &["host", "peers", "platform.host_list"],
        ),
        (
            "unknown and missing fields",
            VALID.replace("\"admin\"", "\"admni\"").replace("\"key_value\"", "\"kv\""),
            &["admin", "platform.key_value", "platform.kv", "admni"],
        ),
        (
            "invalid values of valid types",
            VALID
                .replace("\"h1\"", "\" \"")
                .replace("8400", "8200")
                .replace("10.0.0.7:8300", "0.0.0.0:8300")
                .replace("7001", "0"),
            &["host", "peers", "admin", "platform.key_value"],
        ),
        (
            "limits",
            VALID.replacen(
                '{',
                r#"{"limits": {"idle_ms": 0, "head_ms": 0, "max_connections": 0},"#,
                1,
            ),
            &["limits.max_connections", "limits.idle_ms", "limits.head_ms"],
        ),
        (
            "wrong types in limits",
            VALID.replacen('{', r#"{"limits": {"idle_ms": "1s", "drain_ms": -1, "x": 1},"#, 1),
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
fn an_event_is_one_line_with_escaped_values() {
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
