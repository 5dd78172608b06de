//! The `engine_choice` module places a model request on a prefill engine and a
//! decode engine.
//!
//! It is designed for bursts of twice the usual load, in which decode memory fills up
//! first. The decode engine is therefore chosen by its forecast use of memory, and the
//! prefill engine by its queued prompt tokens. See `docs/design/platform.md`.

use crate::engine_memory::{RunForecast, peak_tokens};

/// The share of an engine's memory that the forecast may fill. The rest is kept for
/// partly filled blocks and for answers that are longer than expected.
pub const MEMORY_SHARE: f64 = 0.88;

/// The penalty of a decode engine outside the host's group, in running requests. Network
/// latency costs little compared with a slower decode step.
const REMOTE_DECODE_PENALTY: f64 = 1.5;

/// The penalty of a prefill engine outside the decode engine's group, in queued tokens.
/// Transferring KV cache between data centres takes twice as long and is charged for by
/// the byte.
const REMOTE_PREFILL_PENALTY: u64 = 6_000;

/// The highest preference penalty of a decode engine, in running requests. Hosts learn
/// of each other's placements some milliseconds late; without distinct preferences, all
/// hosts that place a request in that time would choose the same engine.
const MAX_DECODE_PREFERENCE: f64 = 1.5;

/// The highest preference penalty of a prefill engine, in tokens: half a typical prompt.
const MAX_PREFILL_PREFERENCE: f64 = 1_500.0;

/// `DecodeLoad` is the known load of a decode engine.
#[derive(Debug, Clone)]
pub struct DecodeLoad {
    /// The number of requests that it can decode concurrently.
    pub slots: usize,
    /// The size of its KV cache memory, in tokens.
    pub capacity: u64,
    /// The requests on it, from all hosts, with their forecast memory use.
    pub runs: Vec<RunForecast>,
    /// Whether it belongs to the group of the host that makes the choice, whose load that
    /// host knows most accurately.
    pub local: bool,
    /// The factor by which it was recently slower than its peers; 1 is normal.
    pub slowdown: f64,
    /// The host's penalty for it, from 0 to 1; see [`preference_penalty`].
    pub preference_penalty: f64,
    /// The number of requests that other hosts place here first; see [`placed_before`].
    pub placed_before: usize,
}

impl DecodeLoad {
    /// Returns whether `run` fits into the engine's memory with its other requests until
    /// it ends.
    pub fn fits(&self, run: RunForecast) -> bool {
        if self.runs.len() >= self.slots {
            return false;
        }
        // A request that needs nearly all of the memory may run alone on an idle engine.
        if self.runs.is_empty() {
            return run.held < self.capacity;
        }
        let mut runs = self.runs.clone();
        runs.push(run);
        peak_tokens(&runs) as f64 <= self.capacity as f64 * MEMORY_SHARE
    }

    /// Returns how many more requests like `run` fit, up to `max`.
    fn max_fits(&self, run: RunForecast, max: usize) -> usize {
        let mut engine = self.clone();
        let mut count = 0;
        while count < max && engine.fits(run) {
            engine.runs.push(run);
            count += 1;
        }
        count
    }

    fn cost(&self) -> f64 {
        let remote = if self.local { 0.0 } else { REMOTE_DECODE_PENALTY };
        let preference = self.preference_penalty * MAX_DECODE_PREFERENCE;
        (self.runs.len() as f64 + 1.0) * self.slowdown + remote + preference
    }
}

/// Returns the penalty of a host for a server, from 0 to 1, from a hash of both. Penalties
/// are evenly distributed over the servers and differ between hosts.
pub fn preference_penalty(hash: u64) -> f64 {
    hash as f64 / u64::MAX as f64
}

/// Returns how many of the hosts with the hashes `others` precede the host with the hash
/// `own`. Waiting hosts take an engine's free capacity in an order that differs between
/// engines, so that capacity that becomes free is not claimed by all of them at once.
pub fn hosts_ahead(own: u64, others: impl IntoIterator<Item = u64>) -> usize {
    others.into_iter().filter(|other| *other < own).count()
}

/// Returns how many requests of other hosts are assumed to be placed on an engine before
/// the next one of this host, although their digests have not arrived yet: one of each of
/// the `ahead` hosts that precede this host, and `own` of each of the `waiting` other
/// hosts, which is as many as this host has just placed.
///
/// This keeps an engine that becomes available without any requests on it from being
/// overcommitted while requests wait on all hosts.
pub fn placed_before(ahead: usize, waiting: usize, own: usize) -> usize {
    ahead + waiting * own
}

/// Returns the index of the decode engine with the lowest cost for `run`, or `None` when
/// it fits on none.
///
/// An engine qualifies only if the requests that other hosts place first fit as well.
pub fn choose_decode(engines: &[DecodeLoad], run: RunForecast) -> Option<usize> {
    let has_capacity =
        |engine: &DecodeLoad| engine.max_fits(run, engine.placed_before + 1) > engine.placed_before;
    let fitting = engines.iter().enumerate().filter(|(_, engine)| has_capacity(engine));
    let best = fitting.min_by(|(_, a), (_, b)| a.cost().total_cmp(&b.cost()));
    best.map(|(index, _)| index)
}

/// The longest prefill queue, in tokens, with which a prefill engine is used; beyond it the
/// decode engine prefills the prompt itself. It takes about 600 ms on a dedicated engine.
/// Prefill on the decode engine takes less time than that, but slows down the requests
/// that it decodes.
const MAX_PREFILL_QUEUE: u64 = 18_000;

/// `PrefillLoad` is the known load of a prefill engine.
#[derive(Debug, Clone, Copy)]
pub struct PrefillLoad {
    /// Prompt tokens that are queued or in prefill there, from all hosts.
    pub queued: u64,
    /// Whether it belongs to the group of the chosen decode engine.
    pub in_decode_group: bool,
    /// The host's penalty for it, from 0 to 1; see [`preference_penalty`].
    pub preference_penalty: f64,
}

impl PrefillLoad {
    fn cost(&self) -> u64 {
        let remote = if self.in_decode_group { 0 } else { REMOTE_PREFILL_PENALTY };
        self.queued + remote + (self.preference_penalty * MAX_PREFILL_PREFERENCE) as u64
    }
}

/// Returns the index of the prefill engine with the lowest cost, or `None` when all
/// queues are too long.
pub fn choose_prefill(engines: &[PrefillLoad]) -> Option<usize> {
    let short = engines.iter().enumerate().filter(|(_, e)| e.queued <= MAX_PREFILL_QUEUE);
    let best = short.min_by_key(|(_, engine)| engine.cost());
    best.map(|(index, _)| index)
}
