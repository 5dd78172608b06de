//! The `demand` module keeps what model requests need on average and how fast the
//! engines read prompts, for the division of engines between the two kinds of work.

use std::collections::HashMap;
use std::time::Duration;

use aspenloft_core::prelude::Name;
use aspenloft_policy::role_split::Demand;
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::loads::RunSize;

/// The weight of the newest request in the averages: some tens of requests decide.
const WEIGHT: f64 = 0.03;

/// The fewest requests, over all hosts, from which a demand is told.
const ENOUGH: u64 = 24;

/// How much of the best speed seen is kept at each prefill, so that a better one
/// that was seen long ago does not count for ever.
const SPEED_DECAY: f64 = 0.999;

/// `DemandDigest` is what one host has seen of a service, as hosts tell each other.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct DemandDigest {
    /// A short name of the service.
    pub service: u64,
    /// How many requests the averages stand for.
    pub requests: u64,
    /// The average prompt, in tokens.
    pub prompt: f64,
    /// The average answer expected, in tokens.
    pub answer: f64,
    /// The best speed of a prefill, in tokens a millisecond.
    pub prefill_per_ms: f64,
}

/// `DemandTracker` keeps the averages of each service.
#[derive(Debug, Default)]
pub struct DemandTracker {
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    own: HashMap<u64, DemandDigest>,
    others: HashMap<Name, Vec<DemandDigest>>,
}

impl DemandTracker {
    /// Takes in a request for `service`.
    pub fn record_request(&self, service: &Name, size: RunSize) {
        let mut state = self.state.lock();
        let averages = state.of_service(service);
        averages.requests += 1;
        // The first requests count alike.
        let weight = WEIGHT.max(1.0 / averages.requests as f64);
        averages.prompt += (size.prompt as f64 - averages.prompt) * weight;
        averages.answer += (size.expected as f64 - averages.answer) * weight;
    }

    /// Takes in that an engine of `service` read a prompt of `tokens` in `span`. An
    /// engine that had nothing else to do shows its speed; the others are slower.
    pub fn record_prefill(&self, service: &Name, tokens: u64, span: Duration) {
        let seen = tokens as f64 / (span.as_secs_f64() * 1_000.0).max(1.0);
        let mut state = self.state.lock();
        let averages = state.of_service(service);
        averages.prefill_per_ms = (averages.prefill_per_ms * SPEED_DECAY).max(seen);
    }

    /// Returns what this host has seen, for the other hosts.
    pub fn digest(&self) -> Vec<DemandDigest> {
        self.state.lock().own.values().copied().collect()
    }

    /// Takes in what `host` has seen.
    pub fn update_peer(&self, host: &Name, seen: Vec<DemandDigest>) {
        self.state.lock().others.insert(host.clone(), seen);
    }

    /// Returns the demand of `service` and the speed of its prefill engines in
    /// tokens a millisecond, or `None` while too little has been seen.
    pub fn estimate(&self, service: &str) -> Option<(Demand, f64)> {
        let key = xxh3_64(service.as_bytes());
        let state = self.state.lock();
        let all = state.own.values().chain(state.others.values().flatten());
        let seen: Vec<&DemandDigest> = all.filter(|d| d.service == key).collect();
        // An average stands for at most as many requests as it remembers.
        let weight = |d: &DemandDigest| (d.requests as f64).min(1.0 / WEIGHT);
        let total: f64 = seen.iter().map(|d| weight(d)).sum();
        let speed = seen.iter().map(|d| d.prefill_per_ms).fold(0.0, f64::max);
        if total < ENOUGH as f64 || speed <= 0.0 {
            return None;
        }
        let mean = |of: fn(&DemandDigest) -> f64| {
            seen.iter().map(|d| of(d) * weight(d)).sum::<f64>() / total
        };
        Some((Demand { prompt: mean(|d| d.prompt), answer: mean(|d| d.answer) }, speed))
    }
}

impl State {
    fn of_service(&mut self, service: &Name) -> &mut DemandDigest {
        let key = xxh3_64(service.as_bytes());
        let unseen = DemandDigest {
            service: key,
            requests: 0,
            prompt: 0.0,
            answer: 0.0,
            prefill_per_ms: 0.0,
        };
        self.own.entry(key).or_insert(unseen)
    }
}
