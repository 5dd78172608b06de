//! The `line` module formats each log record as one line of `key=value` pairs.
//!
//! The time, the level and the event come first, followed by the other pairs in the order
//! of the log call, so that all lines of one event have the same columns.

use std::fmt::Write as _;
use std::io::Write as _;
use std::time::SystemTime;

use aspenloft_core::clock::unix_millis;
use log::Record;
use log::kv::{Error, Key, Value, VisitSource};

/// Starts logging to the standard error stream. `RUST_LOG` sets the level; the default is
/// `info`.
pub fn start() {
    let env = env_logger::Env::default().default_filter_or("info");
    env_logger::Builder::from_env(env)
        .format(|buf, record| writeln!(buf, "{}", log_line(unix_millis(SystemTime::now()), record)))
        .init();
}

/// Formats `record` as a line without a line break. `at_ms` is its time in milliseconds
/// since the Unix epoch.
pub fn log_line(at_ms: u64, record: &Record<'_>) -> String {
    let level = record.level().as_str().to_ascii_lowercase();
    let mut line = format!("at_ms={at_ms} level={level}");
    let mut writer = PairWriter { line: &mut line };
    // Writing to a string cannot fail, and the visitor returns no error.
    let _ = record.key_values().visit(&mut writer);
    let message = record.args().to_string();
    if !message.is_empty() {
        // Records of libraries have no pairs, so the target shows their source.
        append_pair(&mut line, "target", record.target());
        append_pair(&mut line, "message", &message);
    }
    line
}

struct PairWriter<'a> {
    line: &'a mut String,
}

impl<'kvs> VisitSource<'kvs> for PairWriter<'_> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        append_pair(self.line, key.as_str(), &value.to_string());
        Ok(())
    }
}

/// Appends one pair. A value with other than plain characters is quoted and escaped,
/// because some values contain text chosen by callers, who could otherwise forge lines.
fn append_pair(line: &mut String, key: &str, value: &str) {
    let is_plain = |c: char| c.is_ascii_graphic() && !matches!(c, '"' | '=' | '\\');
    if !value.is_empty() && value.chars().all(is_plain) {
        let _ = write!(line, " {key}={value}");
    } else {
        let _ = write!(line, " {key}=\"{}\"", value.escape_default());
    }
}
