//! The `contact` module tells a host that is cut off from everyone from one that
//! merely lives through an outage of the platform.

use std::time::{Duration, Instant};

/// `Contact` is when a host last heard from anyone.
#[derive(Debug)]
pub struct Contact {
    last: Instant,
}

impl Contact {
    /// Creates the record of a host that starts at `now`.
    pub fn new(now: Instant) -> Contact {
        Contact { last: now }
    }

    /// Notes that another host or the platform's key-value service answered.
    pub fn note(&mut self, now: Instant) {
        self.last = self.last.max(now);
    }

    /// Tells whether nobody has been heard for longer than `limit`.
    pub fn lost(&self, limit: Duration, now: Instant) -> bool {
        now.saturating_duration_since(self.last) > limit
    }
}
