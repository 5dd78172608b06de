//! The `options` module holds the bounds of the ledger; `docs/LEDGER.md` tells
//! operators what follows from them.

use std::time::Duration;

/// Shards in all. Every host must use the same number, because it decides where a
/// key is looked for; a change needs an empty ledger.
pub const SHARDS: u32 = 16;

/// `Options` bounds one shard.
#[derive(Debug, Clone)]
pub struct Options {
    /// How long the first write after a quiet time waits for company.
    pub batch_delay: Duration,
    /// The shortest time between the starts of two writes of one shard; it bounds
    /// the writes a second whatever the call rate.
    pub write_interval: Duration,
    /// The longest wait of a call for its intent to stand.
    pub intent_timeout: Duration,
    /// The longest time from the standing intent to the call's sending. It is far
    /// below [`Options::shortest_window`], so that no key is forgotten and run
    /// again while a paused owner still means to send it.
    pub send_timeout: Duration,
    /// How long a host believes what it read about another owner.
    pub owner_cache_ttl: Duration,
    /// The shortest time that a key is kept, whatever the row says.
    pub min_key_window: Duration,
    /// The most by which the clocks of two hosts may differ.
    pub max_clock_skew: Duration,
    /// Calls that may be in flight in one shard.
    pub max_in_flight: usize,
    /// Bytes of the bodies of those calls.
    pub max_in_flight_bytes: usize,
    /// Repeats that may wait for one call in flight.
    pub max_waiters: usize,
    /// Calls that may wait while the shard is being acquired.
    pub max_queued: usize,
    /// Bytes of JSON of an answer that is kept whole.
    pub max_answer_bytes: usize,
    /// Bytes of finished records in the head at which a page is sealed.
    pub seal_threshold_bytes: usize,
    /// Pages of one shard.
    pub max_pages: usize,
    /// Bytes of records in the head above which new keys are refused.
    pub max_head_bytes: usize,
    /// Tries of one write before the service is held to be down.
    pub max_write_attempts: u32,
}

impl Default for Options {
    fn default() -> Self {
        Options {
            batch_delay: Duration::from_millis(5),
            write_interval: Duration::from_millis(80),
            intent_timeout: Duration::from_secs(3),
            send_timeout: Duration::from_secs(3),
            owner_cache_ttl: Duration::from_secs(1),
            min_key_window: Duration::from_secs(120),
            max_clock_skew: Duration::from_secs(30),
            max_in_flight: 256,
            max_in_flight_bytes: 4 * 1024 * 1024,
            max_waiters: 16,
            max_queued: 64,
            max_answer_bytes: 2 * 1024,
            seal_threshold_bytes: 96 * 1024,
            max_pages: 128,
            max_head_bytes: 384 * 1024,
            max_write_attempts: 3,
        }
    }
}
