//! The `backoff` module spaces retries towards the key-value service, so that its
//! recovery is not met by all hosts at once.

use std::time::{Duration, Instant};

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// The pause after the first failure.
pub const FIRST_PAUSE: Duration = Duration::from_millis(100);

/// The longest pause.
pub const LONGEST_PAUSE: Duration = Duration::from_secs(5);

/// `Backoff` is an exponential backoff with jitter over the upper half of each
/// pause and with a cap.
#[derive(Debug)]
pub struct Backoff {
    random: Pcg64Mcg,
    failures: u32,
    retry_at: Option<Instant>,
}

impl Backoff {
    /// Creates a backoff without failures; hosts need different seeds.
    pub fn new(seed: u64) -> Backoff {
        Backoff { random: Pcg64Mcg::seed_from_u64(seed), failures: 0, retry_at: None }
    }

    /// Notes a failure and returns the pause before the next try.
    pub fn fail(&mut self, now: Instant) -> Duration {
        let doubled = FIRST_PAUSE.saturating_mul(1_u32 << self.failures.min(16));
        let longest = doubled.min(LONGEST_PAUSE);
        let pause = longest.mul_f64(self.random.random_range(0.5..=1.0));
        self.failures = self.failures.saturating_add(1);
        self.retry_at = Some(now + pause);
        pause
    }

    /// Notes a success.
    pub fn succeed(&mut self) {
        self.failures = 0;
        self.retry_at = None;
    }

    /// Returns how long tries must still wait; `None` when one may start now.
    pub fn pause(&self, now: Instant) -> Option<Duration> {
        let left = self.retry_at?.saturating_duration_since(now);
        (!left.is_zero()).then_some(left)
    }

    /// Returns when the next try may start, after a failure.
    pub fn retry_at(&self) -> Option<Instant> {
        self.retry_at
    }
}
