//! The `demand` module tracks the average size of model requests and the speed of
//! the prefill engines, which decide how engines are divided between prefill and decode.

use std::collections::HashMap;
use std::time::Duration;

use aspenloft_core::prelude::Name;
use aspenloft_policy::role_split::Demand;
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::dialect::MAX_TOKENS;
use crate::loads::RunSize;

/// The weight of the newest request in the moving averages, which therefore reflect
/// the last few tens of requests.
const EWMA_WEIGHT: f64 = 0.03;

/// The minimum number of requests, over all hosts, for a demand estimate.
const MIN_REQUESTS: u64 = 24;

/// The factor by which the best observed speed decays at each prefill, so that an
/// old maximum does not persist.
const SPEED_DECAY: f64 = 0.999;

/// `DemandDigest` is one host's averages for a service, as sent to other hosts.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct DemandDigest {
    /// The hash of the service's name.
    pub service: u64,
    /// The number of requests that went into the averages.
    pub requests: u64,
    /// The average prompt length, in tokens.
    pub prompt: f64,
    /// The average expected output length, in tokens.
    pub answer: f64,
    /// The best observed prefill speed, in tokens per millisecond.
    pub prefill_per_ms: f64,
}

impl DemandDigest {
    fn is_plausible(&self) -> bool {
        let is_size = |value: f64| (0.0..=MAX_TOKENS as f64).contains(&value);
        [self.prompt, self.answer, self.prefill_per_ms].into_iter().all(is_size)
    }
}

/// `DemandTracker` keeps the averages of each service, of this host and of others.
#[derive(Debug, Default)]
pub struct DemandTracker {
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    local: HashMap<u64, DemandDigest>,
    peers: HashMap<Name, Vec<DemandDigest>>,
}

impl DemandTracker {
    /// Adds a request for `service` to the averages.
    pub fn record_request(&self, service: &Name, size: RunSize) {
        let mut state = self.state.lock();
        let averages = state.service_entry(service);
        averages.requests += 1;
        // The first requests have equal weights, as in a plain mean.
        let weight = EWMA_WEIGHT.max(1.0 / averages.requests as f64);
        averages.prompt += (size.prompt as f64 - averages.prompt) * weight;
        averages.answer += (size.expected as f64 - averages.answer) * weight;
    }

    /// Records that an engine of `service` processed a prompt of `tokens` in `span`.
    /// The maximum is kept, because only an otherwise idle engine shows its full
    /// speed; the others are slower.
    pub fn record_prefill(&self, service: &Name, tokens: u64, span: Duration) {
        let speed = tokens as f64 / (span.as_secs_f64() * 1_000.0).max(1.0);
        let mut state = self.state.lock();
        let averages = state.service_entry(service);
        averages.prefill_per_ms = (averages.prefill_per_ms * SPEED_DECAY).max(speed);
    }

    /// Returns this host's averages, to be sent to the other hosts.
    pub fn digest(&self) -> Vec<DemandDigest> {
        self.state.lock().local.values().copied().collect()
    }

    /// Replaces the averages that `host` reported. Those that are no sizes are left out.
    pub fn update_peer(&self, host: &Name, mut digests: Vec<DemandDigest>) {
        digests.retain(DemandDigest::is_plausible);
        self.state.lock().peers.insert(host.clone(), digests);
    }

    /// Returns the demand of `service` and the speed of its prefill engines in
    /// tokens per millisecond, or `None` if there are not enough observations yet.
    pub fn estimate(&self, service: &str) -> Option<(Demand, f64)> {
        let key = xxh3_64(service.as_bytes());
        let state = self.state.lock();
        let all = state.local.values().chain(state.peers.values().flatten());
        let digests: Vec<&DemandDigest> = all.filter(|d| d.service == key).collect();
        // A moving average covers about 1 / EWMA_WEIGHT requests, so it counts for no
        // more than that.
        let weight = |d: &DemandDigest| (d.requests as f64).min(1.0 / EWMA_WEIGHT);
        let total: f64 = digests.iter().map(|d| weight(d)).sum();
        let speed = digests.iter().map(|d| d.prefill_per_ms).fold(0.0, f64::max);
        if total < MIN_REQUESTS as f64 || speed <= 0.0 {
            return None;
        }
        let mean = |field: fn(&DemandDigest) -> f64| {
            digests.iter().map(|d| field(d) * weight(d)).sum::<f64>() / total
        };
        Some((Demand { prompt: mean(|d| d.prompt), answer: mean(|d| d.answer) }, speed))
    }
}

impl State {
    fn service_entry(&mut self, service: &Name) -> &mut DemandDigest {
        let key = xxh3_64(service.as_bytes());
        let empty = DemandDigest {
            service: key,
            requests: 0,
            prompt: 0.0,
            answer: 0.0,
            prefill_per_ms: 0.0,
        };
        self.local.entry(key).or_insert(empty)
    }
}
