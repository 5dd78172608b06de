//! The `clock` module defines the source of time. Tests set it, and a process that was
//! paused detects this from the gap between two times.

use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime};

/// `Clock` is a source of time. Only code that does I/O holds one; decision logic
/// takes times as arguments.
pub trait Clock: Send + Sync {
    /// Returns the monotonic time, for durations and deadlines.
    fn now(&self) -> Instant;

    /// Returns the wall-clock time, for times that are stored, sent or shown to people.
    fn system_time(&self) -> SystemTime;
}

/// `SharedClock` is a clock that several components share.
pub type SharedClock = Arc<dyn Clock>;

/// `SystemClock` reads the clocks of the operating system.
#[derive(Debug, Default)]
pub struct SystemClock;

impl Clock for SystemClock {
    fn now(&self) -> Instant {
        Instant::now()
    }

    fn system_time(&self) -> SystemTime {
        SystemTime::now()
    }
}

/// `ManualClock` advances only on [`ManualClock::advance`], so that tests need no
/// sleeps.
#[derive(Debug)]
pub struct ManualClock {
    start: Instant,
    elapsed: std::sync::Mutex<Duration>,
}

impl Default for ManualClock {
    fn default() -> Self {
        ManualClock { start: Instant::now(), elapsed: std::sync::Mutex::new(Duration::ZERO) }
    }
}

impl ManualClock {
    /// Moves the clock forward by `step`.
    pub fn advance(&self, step: Duration) {
        let mut elapsed = self.elapsed.lock().unwrap_or_else(|e| e.into_inner());
        *elapsed += step;
    }

    fn elapsed(&self) -> Duration {
        *self.elapsed.lock().unwrap_or_else(|e| e.into_inner())
    }
}

impl Clock for ManualClock {
    fn now(&self) -> Instant {
        self.start + self.elapsed()
    }

    fn system_time(&self) -> SystemTime {
        SystemTime::UNIX_EPOCH + self.elapsed()
    }
}

/// The delay that [`after`] puts in place of one that reaches beyond what an [`Instant`] holds.
const FAR: Duration = Duration::from_secs(100 * 365 * 24 * 3_600);

/// Returns the time `delay` after `at`. A sum that an [`Instant`] cannot hold, which panics with
/// `+`, is a time far in the future: the delay may come from a caller, a server or another host.
pub fn after(at: Instant, delay: Duration) -> Instant {
    at.checked_add(delay).unwrap_or_else(|| at + FAR)
}

/// Converts `seconds` to a duration of at most `max`. What is negative or no number is zero, as a
/// quotient of unusual figures may be.
pub fn bounded_seconds(seconds: f64, max: Duration) -> Duration {
    if seconds >= max.as_secs_f64() {
        return max;
    }
    Duration::try_from_secs_f64(seconds).unwrap_or_default()
}

/// Converts `time` to milliseconds since the Unix epoch, the format of times in stored
/// values, messages and log lines.
pub fn unix_millis(time: SystemTime) -> u64 {
    let since = time.duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}
