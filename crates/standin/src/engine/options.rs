//! The `options` module says how an engine behaves when nothing is wrong.

use std::time::Duration;

use aspenloft_core::prelude::Name;

/// `EngineOptions` is how the engine behaves.
#[derive(Debug, Clone)]
pub struct EngineOptions {
    /// The model, which seeds the names of cache pieces.
    pub model: Name,
    /// Decode slots.
    pub slots: u32,
    /// Prefills that run at the same time; the rest wait by priority.
    pub concurrent_prefills: u32,
    /// Time for a token of prefill that is not in the prefix cache.
    pub prefill_per_token: Duration,
    /// Time for a step of decode with one stream.
    pub step: Duration,
    /// Time that each further stream adds to a step.
    pub step_per_stream: Duration,
    /// Time for a token's KV cache on the engine's outgoing link, which all
    /// concurrent exports share.
    pub transfer_per_token: Duration,
    /// How long a prefill's result stays without an export in progress, at most.
    pub result_ttl: Duration,
    /// Pieces that the prefix cache holds; the least recently used goes first.
    pub cache_pieces: usize,
    /// Whether orders with an old fencing number are refused.
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
