//! The `catch_up` module decides when a host that is behind asks another one for its view.
//!
//! A host may hear that another one is ahead and still not get that host's view: the host is
//! slow, has just died, or the connection to it has gone silent. Several hosts are therefore
//! asked at once, the next one long before a call fails, so that the delays of hosts that do
//! not answer do not add up. `docs/design/platform.md` gives the bounds.

use std::time::{Duration, Instant};

/// `CatchUpOptions` holds the timing of a host that is behind.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CatchUpOptions {
    /// How long a host that watches the key-value service may be behind before it asks: its
    /// watch may be on a dead connection.
    pub max_lag: Duration,
    /// How long a call may take before another host is asked as well.
    pub hedge_delay: Duration,
    /// The maximum number of hosts that are asked at once.
    pub max_calls: usize,
}

impl Default for CatchUpOptions {
    fn default() -> Self {
        CatchUpOptions {
            max_lag: Duration::from_millis(450),
            hedge_delay: Duration::from_millis(200),
            max_calls: 4,
        }
    }
}

/// `CatchUp` is the state of a host that may be behind others.
#[derive(Debug, Default)]
pub struct CatchUp {
    behind_since: Option<Instant>,
    /// When the last host was asked, unless it has failed to answer since.
    asked_at: Option<Instant>,
    calls: u32,
}

/// `CaughtUp` is what it took a host to be level with the others again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CaughtUp {
    /// How long the host was behind.
    pub behind: Duration,
    /// The number of hosts that it asked.
    pub calls: u32,
}

impl CatchUp {
    /// Returns whether another host is to be asked now, by a host that is behind and has
    /// `open` calls under way. A host that `watches` the key-value service usually learns of
    /// changes without asking.
    pub fn should_ask(
        &mut self,
        watches: bool,
        open: usize,
        options: &CatchUpOptions,
        now: Instant,
    ) -> bool {
        let since = *self.behind_since.get_or_insert(now);
        let elapsed = |from: Instant| now.saturating_duration_since(from);
        if open >= options.max_calls || (watches && elapsed(since) < options.max_lag) {
            return false;
        }
        open == 0 || self.asked_at.is_none_or(|at| elapsed(at) >= options.hedge_delay)
    }

    /// Records that a host is asked.
    pub fn record_call(&mut self, now: Instant) {
        self.asked_at = Some(now);
        self.calls += 1;
    }

    /// Records that a call failed, so that the next host is asked at once.
    pub fn record_failure(&mut self) {
        self.asked_at = None;
    }

    /// Records that no other host is ahead; `None` if that was so before.
    pub fn record_level(&mut self, now: Instant) -> Option<CaughtUp> {
        let CatchUp { behind_since, calls, .. } = std::mem::take(self);
        let since = behind_since?;
        Some(CaughtUp { behind: now.saturating_duration_since(since), calls })
    }
}
