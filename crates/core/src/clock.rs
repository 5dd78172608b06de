//! The `clock` module defines the clock that every decision is given, so that
//! tests inject time and a paused process can be told from a slow one.

use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime};

/// `Clock` tells the time. Decisions take readings as arguments; only the edges
/// hold a clock.
pub trait Clock: Send + Sync {
    /// Returns a monotonic reading, for durations and deadlines.
    fn now(&self) -> Instant;

    /// Returns the time of day, for what leaves the process (reports, logs).
    fn system_time(&self) -> SystemTime;
}

/// `SharedClock` is the form in which components hold their clock.
pub type SharedClock = Arc<dyn Clock>;

/// `SystemClock` is the machine's own clock.
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

/// `ManualClock` moves only when told to, so that tests need no sleeps.
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

/// Returns milliseconds since the Unix epoch, the form in which times of day are
/// stored in the platform's key-value service.
pub fn unix_millis(time: SystemTime) -> u64 {
    let since = time.duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}
