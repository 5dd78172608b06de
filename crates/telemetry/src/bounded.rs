//! The `bounded` module writes log lines to standard output without blocking the threads
//! that log.
//!
//! A queue passes the lines to a separate thread, and a token bucket limits their rate.
//! When the queue is full or the bucket is empty, lines are dropped and counted, and a
//! later line reports the count. Part of the rate is reserved for warnings and errors.

use std::io::{self, Write};
use std::sync::Arc;
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::time::{Duration, Instant, SystemTime};

use aspenloft_core::clock::unix_millis;
use log::{Level, Log, Metadata, Record};
use parking_lot::Mutex;

use crate::line::log_line;

/// `LogOptions` limits the log output of a process.
#[derive(Debug, Clone, PartialEq)]
pub struct LogOptions {
    /// The maximum rate, in lines per second. It is also the maximum burst, in lines.
    pub lines_per_s: f64,
    /// The part of `lines_per_s` that is reserved for warnings and errors.
    pub reserve_per_s: f64,
    /// The maximum number of lines in the queue. The memory that it uses also depends on
    /// the length of the lines.
    pub queue: usize,
    /// The most verbose level that is written.
    pub level: Level,
}

impl Default for LogOptions {
    fn default() -> Self {
        // Apart from the reserve, about five lines per request at 40 requests per second on
        // one host.
        LogOptions { lines_per_s: 250.0, reserve_per_s: 50.0, queue: 512, level: Level::Info }
    }
}

/// `BoundedLog` is a logger with a limited rate and a bounded queue.
#[derive(Debug)]
pub struct BoundedLog {
    options: LogOptions,
    tx: SyncSender<String>,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    // Tokens of the bucket: how many lines may be written now.
    tokens: f64,
    refilled_at: Instant,
    dropped: u64,
}

impl BoundedLog {
    /// Creates a logger and the receiver of its lines.
    pub fn new(options: LogOptions) -> (BoundedLog, Receiver<String>) {
        let (tx, rx) = sync_channel(options.queue);
        let tokens = options.lines_per_s;
        let state = State { tokens, refilled_at: Instant::now(), dropped: 0 };
        (BoundedLog { options, tx, state: Mutex::new(state) }, rx)
    }

    /// Queues a line that was logged at `now`, or drops and counts it.
    pub fn submit(&self, text: String, level: Level, now: Instant) {
        let mut state = self.state.lock();
        state.refill(now, &self.options);
        let reserve = if level <= Level::Warn { 0.0 } else { self.options.reserve_per_s };
        if state.tokens < reserve + 1.0 {
            state.dropped += 1;
            return;
        }
        if state.dropped > 0 {
            let count = state.dropped;
            let report = format!("event=lines_left_out count={count}");
            if self.tx.try_send(report).is_ok() {
                state.dropped = 0;
            }
        }
        match self.tx.try_send(text) {
            Ok(()) => state.tokens -= 1.0,
            Err(_) => state.dropped += 1,
        }
    }
}

impl State {
    fn refill(&mut self, now: Instant, options: &LogOptions) {
        let elapsed: Duration = now.saturating_duration_since(self.refilled_at);
        let tokens = self.tokens + elapsed.as_secs_f64() * options.lines_per_s;
        self.tokens = tokens.min(options.lines_per_s);
        self.refilled_at = self.refilled_at.max(now);
    }
}

impl Log for BoundedLog {
    fn enabled(&self, metadata: &Metadata<'_>) -> bool {
        metadata.level() <= self.options.level
    }

    fn log(&self, record: &Record<'_>) {
        if self.enabled(record.metadata()) {
            let text = log_line(unix_millis(SystemTime::now()), record);
            self.submit(text, record.level(), Instant::now());
        }
    }

    fn flush(&self) {}
}

/// Writes the lines to `out` until the logger is dropped. Lines that are queued are
/// written together. Write errors are ignored, because there is nowhere else to report
/// them.
pub fn write_lines(lines: &Receiver<String>, mut out: impl Write) {
    while let Ok(first) = lines.recv() {
        let mut batch = first;
        batch.push('\n');
        while let Ok(next) = lines.try_recv() {
            batch.push_str(&next);
            batch.push('\n');
        }
        let _ = out.write_all(batch.as_bytes()).and_then(|()| out.flush());
    }
}

/// Starts logging to standard output. Has no effect if a logger is already installed.
pub fn start(options: LogOptions) {
    let level = options.level;
    let (log, lines) = BoundedLog::new(options);
    if log::set_boxed_logger(Box::new(Arc::new(log))).is_ok() {
        log::set_max_level(level.to_level_filter());
        std::thread::spawn(move || write_lines(&lines, io::stdout().lock()));
    }
}
