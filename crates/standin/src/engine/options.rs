//! The `options` module configures an engine's capacity and timing without faults.

use std::time::Duration;

use aspenloft_core::prelude::Name;

/// `EngineOptions` configures the capacity and the timing of an engine.
#[derive(Debug, Clone)]
pub struct EngineOptions {
    /// The model's name, which is part of the hashes of cache pieces.
    pub model: Name,
    /// Number of decode slots, each of which serves one stream.
    pub slots: u32,
    /// Number of prefills that run at the same time; further ones are queued by priority.
    pub concurrent_prefills: u32,
    /// Prefill time per prompt token that is not in the prefix cache.
    pub prefill_per_token: Duration,
    /// Duration of a decode step with a single stream.
    pub step: Duration,
    /// Time that each further stream adds to a decode step.
    pub step_per_stream: Duration,
    /// Transfer time per token of KV cache on the engine's outgoing link, which all
    /// concurrent exports share.
    pub transfer_per_token: Duration,
    /// The longest time for which a prefill's result is kept while no export of it is in
    /// progress.
    pub result_ttl: Duration,
    /// Capacity of the prefix cache in pieces; the least recently used one is evicted
    /// first.
    pub cache_pieces: usize,
    /// Whether to refuse an order whose fencing number is lower than that of an earlier one.
    pub check_fencing: bool,
}

impl Default for EngineOptions {
    fn default() -> Self {
        EngineOptions {
            model: "scribe".into(),
            slots: 20,
            concurrent_prefills: 1,
            prefill_per_token: Duration::from_micros(50),
            step: Duration::from_millis(20),
            step_per_stream: Duration::from_micros(500),
            transfer_per_token: Duration::from_micros(2),
            result_ttl: Duration::from_millis(800),
            cache_pieces: 256,
            check_fencing: true,
        }
    }
}
