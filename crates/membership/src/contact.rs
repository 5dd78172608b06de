//! The `contact` module detects that a host is isolated from all others, as opposed
//! to an outage of the platform alone.

use std::time::{Duration, Instant};

/// `LastContact` holds the time at which a host last received a message from another
/// host or from the platform.
#[derive(Debug)]
pub struct LastContact {
    last: Instant,
}

impl LastContact {
    /// Creates the state of a host that starts at `now`.
    pub fn new(now: Instant) -> LastContact {
        LastContact { last: now }
    }

    /// Records a message from another host or the platform's key-value service.
    pub fn record(&mut self, now: Instant) {
        self.last = self.last.max(now);
    }

    /// Returns whether nothing has been received for longer than `limit`.
    pub fn is_lost(&self, limit: Duration, now: Instant) -> bool {
        now.saturating_duration_since(self.last) > limit
    }
}
