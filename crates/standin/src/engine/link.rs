//! The `link` module shares an engine's outgoing link among its transfers.

use std::time::{Duration, Instant};

/// Tokens of KV cache that go over the link in one go. Concurrent transfers
/// alternate by chunk, which shares the rate evenly among them.
pub const TRANSFER_CHUNK_TOKENS: u64 = 500;

/// `Link` is a link of limited rate.
#[derive(Debug, Default)]
pub struct Link {
    free_at: Option<Instant>,
}

impl Link {
    /// Takes the link for `length` after all that was taken before; returns when
    /// the chunk has gone over.
    pub fn reserve(&mut self, length: Duration, now: Instant) -> Instant {
        let starts = self.free_at.map_or(now, |free| free.max(now));
        let ends = starts + length;
        self.free_at = Some(ends);
        ends
    }
}
