//! The `retry_window` module bounds the extra sends to a service over all hosts.
//!
//! The load pattern it answers is the loss of many backend servers at once, under
//! which every request fails and could be tried again. The allowance of the whole
//! deployment is a share of its requests and a fixed part; a host spends the share
//! of its own requests and its part of the rest, so that no host needs to ask
//! another. [`crate::retry`] is the budget of a row on one host.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// The part of the allowance that hosts spend, because they may disagree for a
/// moment about how many they are.
const SPENDABLE: f64 = 0.8;

/// `RetryAllowance` is what all hosts together may send again to one service.
#[derive(Debug, Clone, PartialEq)]
pub struct RetryAllowance {
    /// Extra sends for each request.
    pub ratio: f64,
    /// Extra sends in each window whatever the load.
    pub slack: f64,
    /// The length of the window, which slides.
    pub window: Duration,
}

/// `RetryWindow` counts one host's requests and extra sends to one service.
#[derive(Debug, Default)]
pub struct RetryWindow {
    requests: VecDeque<Instant>,
    extra: VecDeque<Instant>,
}

impl RetryWindow {
    /// Counts a request of a caller.
    pub fn record_request(&mut self, now: Instant, allowance: &RetryAllowance) {
        self.forget(now, allowance);
        self.requests.push_back(now);
    }

    /// Takes one extra send when the allowance has one left for this host, which is
    /// one of `hosts`.
    pub fn try_extra_send(
        &mut self,
        now: Instant,
        allowance: &RetryAllowance,
        hosts: usize,
    ) -> bool {
        self.forget(now, allowance);
        let fixed = allowance.slack / hosts.max(1) as f64;
        let share = allowance.ratio * self.requests.len() as f64;
        if (self.extra.len() + 1) as f64 > (fixed + share) * SPENDABLE {
            return false;
        }
        self.extra.push_back(now);
        true
    }

    fn forget(&mut self, now: Instant, allowance: &RetryAllowance) {
        for times in [&mut self.requests, &mut self.extra] {
            while times.front().is_some_and(|at| now.duration_since(*at) > allowance.window) {
                times.pop_front();
            }
        }
    }
}
