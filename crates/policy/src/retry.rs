//! The `retry` module bounds retries by a budget for each row, so that the loss of
//! many engines at once cannot turn into a storm of repeated work.

use std::time::{Duration, Instant};

/// The most retries that an idle row may save up.
const MAX_SAVED: f64 = 20.0;

/// Retries a second that a row may always make, so that a quiet row can recover
/// from a single failure.
const FLOOR_PER_S: f64 = 0.2;

/// `RetryBudget` is the budget of one row on one host. Each request adds its share
/// and each retry takes one, so retries stay a fixed share of requests whatever
/// fails; the shares of all hosts add up to the same share of the whole.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    saved: f64,
    filled: Instant,
}

/// `RetryRefusal` says why a request is not tried again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryRefusal {
    /// The row's budget is used up.
    Budget,
    /// The deadline leaves no time for another try.
    Deadline,
}

impl RetryBudget {
    /// Creates a budget with one retry saved.
    pub fn new(now: Instant) -> RetryBudget {
        RetryBudget { saved: 1.0, filled: now }
    }

    /// Adds the share of one request, where `percent` of requests may be retried.
    pub fn deposit(&mut self, percent: u32) {
        self.saved = (self.saved + f64::from(percent) / 100.0).min(MAX_SAVED);
    }

    /// Takes one retry, if the budget and the time left allow it.
    ///
    /// `left` is the time to the request's deadline and `needed` what a try is
    /// expected to take.
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
        if self.saved < 1.0 {
            return Err(RetryRefusal::Budget);
        }
        self.saved -= 1.0;
        Ok(())
    }

    fn fill(&mut self, now: Instant) {
        let span = now.saturating_duration_since(self.filled).as_secs_f64();
        self.saved = (self.saved + span * FLOOR_PER_S).min(MAX_SAVED);
        self.filled = self.filled.max(now);
    }
}
