//! The `backoff` module spaces retries to the key-value service, so that the hosts do
//! not all retry at once when it recovers.

use std::time::{Duration, Instant};

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// The pause after the first failure.
pub const FIRST_PAUSE: Duration = Duration::from_millis(100);

/// The longest pause.
pub const LONGEST_PAUSE: Duration = Duration::from_secs(5);

/// `Backoff` is a capped exponential backoff with jitter over the upper half of each
/// pause.
#[derive(Debug)]
pub struct Backoff {
    random: Pcg64Mcg,
    failures: u32,
    retry_at: Option<Instant>,
}

impl Backoff {
    /// Creates a backoff without failures. Hosts need different seeds, so that their
    /// jitter differs.
    pub fn new(seed: u64) -> Backoff {
        Backoff { random: Pcg64Mcg::seed_from_u64(seed), failures: 0, retry_at: None }
    }

    /// Records a failure and returns the pause before the next attempt.
    pub fn record_failure(&mut self, now: Instant) -> Duration {
        let doubled = FIRST_PAUSE.saturating_mul(1_u32 << self.failures.min(16));
        let capped = doubled.min(LONGEST_PAUSE);
        let pause = capped.mul_f64(self.random.random_range(0.5..=1.0));
        self.failures = self.failures.saturating_add(1);
        self.retry_at = Some(now + pause);
        pause
    }

    /// Records a success, which ends the pause.
    pub fn record_success(&mut self) {
        self.failures = 0;
        self.retry_at = None;
    }

    /// Returns the remaining pause; `None` when an attempt may start now.
    pub fn remaining_pause(&self, now: Instant) -> Option<Duration> {
        let remaining = self.retry_at?.saturating_duration_since(now);
        (!remaining.is_zero()).then_some(remaining)
    }

    /// Returns when the next attempt may start; `None` unless the last one failed.
    pub fn retry_at(&self) -> Option<Instant> {
        self.retry_at
    }
}
