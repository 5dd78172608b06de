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
    pub gather: Duration,
    /// The shortest time between the starts of two writes of one shard; it bounds
    /// the writes a second whatever the call rate.
    pub spacing: Duration,
    /// The longest wait of a call for its intent to stand.
    pub intent_limit: Duration,
    /// The longest time from the standing intent to the call's sending. It is far
    /// below [`Options::shortest_window`], so that no key is forgotten and run
    /// again while a paused owner still means to send it.
    pub send_limit: Duration,
    /// How long a host believes what it read about another owner.
    pub owner_belief: Duration,
    /// The shortest time that a key is kept, whatever the row says.
    pub shortest_window: Duration,
    /// The most by which the clocks of two hosts may differ.
    pub clock_difference: Duration,
    /// Calls that may be in flight in one shard.
    pub in_flight: usize,
    /// Bytes of the bodies of those calls.
    pub in_flight_bytes: usize,
    /// Repeats that may wait for one call in flight.
    pub waiters: usize,
    /// Calls that may wait while the shard is being acquired.
    pub queue: usize,
    /// Bytes of JSON of an answer that is kept whole.
    pub answer_bytes: usize,
    /// Bytes of finished records in the head at which a page is sealed.
    pub seal_bytes: usize,
    /// Pages of one shard.
    pub pages: usize,
    /// Bytes of records in the head above which new keys are refused.
    pub head_bytes: usize,
    /// Tries of one write before the service is held to be down.
    pub write_tries: u32,
}

impl Default for Options {
    fn default() -> Self {
        Options {
            gather: Duration::from_millis(5),
            spacing: Duration::from_millis(80),
            intent_limit: Duration::from_secs(3),
            send_limit: Duration::from_secs(3),
            owner_belief: Duration::from_secs(1),
            shortest_window: Duration::from_secs(120),
            clock_difference: Duration::from_secs(30),
            in_flight: 256,
            in_flight_bytes: 4 * 1024 * 1024,
            waiters: 16,
            queue: 64,
            answer_bytes: 2 * 1024,
            seal_bytes: 96 * 1024,
            pages: 128,
            head_bytes: 384 * 1024,
            write_tries: 3,
        }
    }
}
