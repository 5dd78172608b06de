//! The `retry_budget` module limits retries by a budget for each row, so that the loss
//! of many engines at once does not cause a retry storm.

use std::time::{Duration, Instant};

/// The most retries that a row can accumulate.
const MAX_AVAILABLE: f64 = 20.0;

/// The rate of retries per second that a row accumulates regardless of its requests, so
/// that a row with few requests can recover from a single failure.
const MIN_RETRIES_PER_S: f64 = 0.2;

/// `RetryBudget` is the retry budget of one row on one host.
///
/// Each request adds a fraction of a retry and each retry takes one, so retries stay a
/// fixed percentage of requests regardless of the failures. The same percentage then
/// holds over all hosts.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    available: f64,
    filled: Instant,
}

/// `RetryRefusal` is the reason why a request is not retried.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryRefusal {
    /// The row's budget is exhausted.
    Budget,
    /// The remaining time is too short for another attempt.
    Deadline,
}

impl RetryBudget {
    /// Creates a budget with one retry available.
    pub fn new(now: Instant) -> RetryBudget {
        RetryBudget { available: 1.0, filled: now }
    }

    /// Adds the fraction of one request, where `percent` of requests may be retried.
    pub fn deposit(&mut self, percent: u32) {
        self.available = (self.available + f64::from(percent) / 100.0).min(MAX_AVAILABLE);
    }

    /// Takes one retry, if the budget and the time left allow it.
    ///
    /// `left` is the time until the request's deadline and `needed` the expected duration
    /// of an attempt.
    pub fn withdraw(
        &mut self,
        now: Instant,
        left: Duration,
        needed: Duration,
    ) -> Result<(), RetryRefusal> {
        if left < needed {
            return Err(RetryRefusal::Deadline);
        }
        self.fill(now);
        if self.available < 1.0 {
            return Err(RetryRefusal::Budget);
        }
        self.available -= 1.0;
        Ok(())
    }

    fn fill(&mut self, now: Instant) {
        let span = now.saturating_duration_since(self.filled).as_secs_f64();
        self.available = (self.available + span * MIN_RETRIES_PER_S).min(MAX_AVAILABLE);
        self.filled = self.filled.max(now);
    }
}
