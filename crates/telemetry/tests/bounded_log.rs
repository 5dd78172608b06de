//! Tests of the limits of the log: too many lines, a reader that stops, and the reserve for
//! warnings and errors.

use std::time::{Duration, Instant};

use aspenloft_telemetry::bounded::{BoundedLog, LogOptions, write_lines};
use log::Level;

fn options() -> LogOptions {
    LogOptions { lines_per_s: 100.0, reserve_per_s: 20.0, queue: 1_000, level: Level::Info }
}

#[test]
fn lines_above_the_rate_are_dropped_and_counted() {
    let (log, lines) = BoundedLog::new(options());
    let start = Instant::now();
    for i in 0..5_000 {
        log.submit(format!("event=e{i}"), Level::Info, start);
    }
    log.submit("event=after".into(), Level::Info, start + Duration::from_secs(1));
    drop(log);
    let written: Vec<String> = lines.iter().collect();
    assert!(written.len() <= 101 + 2, "{} lines in two bursts", written.len());
    assert!(written.iter().any(|l| l.starts_with("event=lines_left_out count=49")), "{written:?}");
}

#[test]
fn warnings_have_a_reserve() {
    let (log, lines) = BoundedLog::new(options());
    let start = Instant::now();
    for _ in 0..500 {
        log.submit("event=usual".into(), Level::Info, start);
    }
    for _ in 0..15 {
        log.submit("event=failed".into(), Level::Warn, start);
    }
    drop(log);
    assert_eq!(lines.iter().filter(|l| l == "event=failed").count(), 15);
}

#[test]
fn a_stopped_reader_does_not_block_the_logger() {
    let (log, lines) = BoundedLog::new(LogOptions { lines_per_s: 1e6, queue: 10, ..options() });
    let start = Instant::now();
    for _ in 0..10_000 {
        log.submit("event=e".into(), Level::Info, start);
    }
    assert!(start.elapsed() < Duration::from_secs(2), "logging waited for the reader");
    drop(log);
    assert_eq!(lines.iter().count(), 10);
}

#[test]
fn lines_are_written_complete_and_in_order() {
    let (log, lines) = BoundedLog::new(options());
    let now = Instant::now();
    for i in 0..3 {
        log.submit(format!("event=e{i}"), Level::Info, now);
    }
    drop(log);
    let mut out = Vec::new();
    write_lines(&lines, &mut out);
    assert_eq!(String::from_utf8(out).expect("text"), "event=e0\nevent=e1\nevent=e2\n");
}
