//! The `cache` module is an engine's prefix cache and the events it publishes.

use std::collections::{HashMap, VecDeque};
use std::time::Instant;

use aspenloft_core::pieces::PieceHash;
use aspenloft_protocol::engine::{CacheEvent, CacheEvents, CacheSnapshot};

use super::faults::EngineFaults;

/// Events that are kept for readers; older ones are lost to them.
const KEPT_EVENTS: usize = 4_096;

/// The most events in one answer.
const MAX_EVENTS: usize = 1_024;

/// `PrefixCache` holds a bounded number of pieces.
#[derive(Debug)]
pub struct PrefixCache {
    capacity: usize,
    used: HashMap<PieceHash, u64>,
    uses: u64,
    seq: u64,
    events: VecDeque<(Instant, CacheEvent)>,
}

impl PrefixCache {
    /// Creates an empty cache for `capacity` pieces.
    pub fn new(capacity: usize) -> Self {
        PrefixCache { capacity, used: HashMap::new(), uses: 0, seq: 0, events: VecDeque::new() }
    }

    /// Counts the leading pieces of a prompt that are cached.
    pub fn cached_prefix(&self, pieces: &[PieceHash]) -> usize {
        pieces.iter().take_while(|piece| self.used.contains_key(piece)).count()
    }

    /// Stores a prompt's pieces and evicts the least recently used beyond the
    /// capacity. A prefix counts as used after its continuation, because a
    /// continuation is worth nothing without it.
    pub fn insert(&mut self, pieces: &[PieceHash], now: Instant) {
        for piece in pieces.iter().take(self.capacity).rev() {
            self.uses += 1;
            if self.used.insert(*piece, self.uses).is_none() {
                self.publish(*piece, true, now);
            }
        }
        while self.used.len() > self.capacity {
            self.evict(now);
        }
    }

    fn evict(&mut self, now: Instant) {
        let oldest = self.used.iter().min_by_key(|(_, used)| **used).map(|(piece, _)| *piece);
        if let Some(piece) = oldest {
            self.used.remove(&piece);
            self.publish(piece, false, now);
        }
    }

    fn publish(&mut self, piece: PieceHash, stored: bool, now: Instant) {
        self.seq += 1;
        self.events.push_back((now, CacheEvent { seq: self.seq, piece, stored }));
        if self.events.len() > KEPT_EVENTS {
            self.events.pop_front();
        }
    }

    /// Returns the events after `after` that are old enough to be seen and are not
    /// lost.
    pub fn events(&self, after: u64, faults: &EngineFaults, now: Instant) -> CacheEvents {
        let seen = self.events.iter().filter(|(at, _)| *at + faults.event_lag <= now);
        let mut answer = CacheEvents { events: Vec::new(), newest: after.min(self.seq) };
        for (_, event) in seen.filter(|(_, event)| event.seq > after).take(MAX_EVENTS) {
            answer.newest = event.seq;
            let every = faults.lose_event_every;
            if every == 0 || event.seq % every != 0 {
                answer.events.push(event.clone());
            }
        }
        answer
    }

    /// Returns all pieces.
    pub fn snapshot(&self) -> CacheSnapshot {
        let mut pieces: Vec<PieceHash> = self.used.keys().copied().collect();
        pieces.sort_unstable();
        CacheSnapshot { pieces, seq: self.seq }
    }

    /// Forgets all pieces, as a restart does; the events start anew.
    pub fn clear(&mut self) {
        *self = PrefixCache::new(self.capacity);
    }
}
