//! The `retry_window` module limits the extra sends to a service over all hosts.
//!
//! It handles the loss of many backend servers at once, when every request fails and
//! could be retried. The allowance of the whole deployment is a ratio of its requests
//! plus a fixed number. Each host may use the ratio of its own requests and an equal part
//! of the fixed number, so hosts need not coordinate. [`crate::retry_budget`] is the
//! budget of a row on one host.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// The fraction of the allowance that hosts use. The rest is a margin for the time in
/// which hosts have different views of the number of hosts.
const USABLE_FRACTION: f64 = 0.8;

/// `RetryAllowance` limits the extra sends of all hosts together to one service.
#[derive(Debug, Clone, PartialEq)]
pub struct RetryAllowance {
    /// Extra sends for each request.
    pub ratio: f64,
    /// Extra sends in each window regardless of the load.
    pub slack: f64,
    /// The length of the sliding window.
    pub window: Duration,
}

/// `RetryWindow` counts one host's requests and extra sends to one service.
#[derive(Debug, Default)]
pub struct RetryWindow {
    requests: VecDeque<Instant>,
    extra_sends: VecDeque<Instant>,
}

impl RetryWindow {
    /// Counts one request of a caller.
    pub fn record_request(&mut self, now: Instant, allowance: &RetryAllowance) {
        self.evict(now, allowance);
        self.requests.push_back(now);
    }

    /// Counts one extra send and returns `true`, if the part of the allowance of this host,
    /// which is one of `hosts`, is not exhausted.
    pub fn try_extra_send(
        &mut self,
        now: Instant,
        allowance: &RetryAllowance,
        hosts: usize,
    ) -> bool {
        self.evict(now, allowance);
        let fixed = allowance.slack / hosts.max(1) as f64;
        let share = allowance.ratio * self.requests.len() as f64;
        if (self.extra_sends.len() + 1) as f64 > (fixed + share) * USABLE_FRACTION {
            return false;
        }
        self.extra_sends.push_back(now);
        true
    }

    fn evict(&mut self, now: Instant, allowance: &RetryAllowance) {
        for times in [&mut self.requests, &mut self.extra_sends] {
            while times.front().is_some_and(|at| now.duration_since(*at) > allowance.window) {
                times.pop_front();
            }
        }
    }
}
