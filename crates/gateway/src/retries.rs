//! The `retries` module limits extra sends with a budget for each service.

use std::collections::HashMap;
use std::time::Instant;

use aspenloft_core::prelude::{Arc, Name};
use aspenloft_policy::retry_window::{RetryAllowance, RetryWindow};
use parking_lot::Mutex;

use crate::metrics::Metrics;

/// `RetryBudgets` holds this host's share of the deployment's retry budgets.
#[derive(Debug)]
pub struct RetryBudgets {
    allowance: RetryAllowance,
    windows: Mutex<HashMap<Name, RetryWindow>>,
    metrics: Arc<Metrics>,
}

impl RetryBudgets {
    /// Creates unused budgets with the limits of `allowance`.
    pub fn new(allowance: RetryAllowance, metrics: Arc<Metrics>) -> RetryBudgets {
        RetryBudgets { allowance, windows: Mutex::default(), metrics }
    }

    /// Counts a request for `service`, which adds to its budget.
    pub fn record_request(&self, service: &Name, now: Instant) {
        let mut windows = self.windows.lock();
        windows.entry(service.clone()).or_default().record_request(now, &self.allowance);
    }

    /// Takes one extra send for the request `id` from this host's share of the budget of
    /// `service`, which `hosts` hosts divide. Returns false when the share is used up.
    pub fn try_extra_send(&self, id: &str, service: &Name, now: Instant, hosts: usize) -> bool {
        let mut windows = self.windows.lock();
        let window = windows.entry(service.clone()).or_default();
        let granted = window.try_extra_send(now, &self.allowance, hosts);
        drop(windows);
        self.metrics.extra_send(granted);
        if !granted {
            log::info!(event = "extra_send_denied", request = id, service = &**service, hosts; "");
        }
        granted
    }
}
