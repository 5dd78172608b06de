//! The `options` module holds the limits of the ledger; `docs/LEDGER.md` describes
//! their consequences for operators.

use std::time::Duration;

/// The number of shards. Every host must use the same number, because it determines
/// the shard of a key; changing it requires an empty ledger.
pub const SHARDS: u32 = 16;

/// `ShardOptions` holds the timeouts and limits of one shard.
#[derive(Debug, Clone)]
pub struct ShardOptions {
    /// How long the first write after an idle time waits, to be batched with others.
    pub batch_delay: Duration,
    /// The shortest time between the starts of two writes of one shard; it limits the
    /// writes per second at any call rate.
    pub write_interval: Duration,
    /// The longest wait of a call for its intent to be committed.
    pub intent_timeout: Duration,
    /// The longest time between the commit of the intent and the sending of the call.
    /// It is far below [`ShardOptions::min_key_window`], so that no key can expire and run
    /// again while a paused owner may still send the call.
    pub send_timeout: Duration,
    /// How long a host caches the name of another owner.
    pub owner_cache_ttl: Duration,
    /// The shortest time that a key is kept, even if the row sets a shorter one.
    pub min_key_window: Duration,
    /// The most by which the clocks of two hosts may differ.
    pub max_clock_skew: Duration,
    /// The maximum number of calls in flight in one shard.
    pub max_in_flight: usize,
    /// The maximum total size of the bodies of those calls, in bytes.
    pub max_in_flight_bytes: usize,
    /// The maximum number of callers that wait for one call in flight, including the
    /// first.
    pub max_waiters: usize,
    /// The maximum number of calls that wait while the shard is being acquired.
    pub max_queued: usize,
    /// The maximum size of an answer that is kept, in bytes of JSON.
    pub max_answer_bytes: usize,
    /// The size of the finished records in the head at which a page is sealed, in
    /// bytes.
    pub seal_threshold_bytes: usize,
    /// The maximum number of pages of one shard.
    pub max_pages: usize,
    /// The size of the records in the head at which new keys are refused, in bytes.
    pub max_head_bytes: usize,
    /// The number of attempts of one write before the service is considered down.
    pub max_write_attempts: u32,
}

impl Default for ShardOptions {
    fn default() -> Self {
        ShardOptions {
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
