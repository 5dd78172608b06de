//! The `retries` module keeps the budgets of extra sends, one for each service.

use std::collections::HashMap;
use std::time::Instant;

use aspenloft_core::prelude::{Arc, Name};
use aspenloft_policy::retry_window::{RetryAllowance, RetryWindow};
use parking_lot::Mutex;

use crate::metrics::Metrics;

/// `Retries` is this host's part of the deployment's budgets.
#[derive(Debug)]
pub struct Retries {
    allowance: RetryAllowance,
    windows: Mutex<HashMap<Name, RetryWindow>>,
    metrics: Arc<Metrics>,
}

impl Retries {
    /// Creates full budgets of `allowance`.
    pub fn new(allowance: RetryAllowance, metrics: Arc<Metrics>) -> Retries {
        Retries { allowance, windows: Mutex::default(), metrics }
    }

    /// Counts a request for `service`.
    pub fn request(&self, service: &Name, now: Instant) {
        let mut windows = self.windows.lock();
        windows.entry(service.clone()).or_default().record_request(now, &self.allowance);
    }

    /// Takes one extra send of the request `id` to `service` if this host, one of
    /// `hosts`, has one left.
    pub fn try_extra(&self, id: &str, service: &Name, now: Instant, hosts: usize) -> bool {
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
