//! The `link` module schedules an engine's KV cache transfers on its outgoing link.

use std::time::{Duration, Instant};

/// Tokens of KV cache per chunk. Concurrent transfers alternate chunk by chunk, which
/// shares the link's rate evenly among them.
pub const TRANSFER_CHUNK_TOKENS: u64 = 500;

/// `Link` is a link that transfers one chunk at a time, in order of reservation.
#[derive(Debug, Default)]
pub struct Link {
    free_at: Option<Instant>,
}

impl Link {
    /// Reserves the link for `duration` after all earlier reservations. Returns the time at
    /// which the transfer ends.
    pub fn reserve(&mut self, duration: Duration, now: Instant) -> Instant {
        let starts_at = self.free_at.map_or(now, |free| free.max(now));
        let ends_at = starts_at + duration;
        self.free_at = Some(ends_at);
        ends_at
    }
}
