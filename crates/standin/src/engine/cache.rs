//! The `cache` module implements an engine's prefix cache and its event log.

use std::collections::{HashMap, VecDeque};
use std::time::Instant;

use aspenloft_core::pieces::PieceHash;
use aspenloft_protocol::engine::{CacheEvent, CacheEvents, CacheSnapshot};

use super::faults::EngineFaults;

/// Number of events that are kept for readers; older ones are dropped.
const KEPT_EVENTS: usize = 4_096;

/// Maximum number of events in one answer.
const MAX_EVENTS: usize = 1_024;

/// `PrefixCache` is an LRU cache of prompt pieces. It logs each insertion and eviction.
#[derive(Debug)]
pub struct PrefixCache {
    capacity: usize,
    last_used: HashMap<PieceHash, u64>,
    use_count: u64,
    seq: u64,
    events: VecDeque<(Instant, CacheEvent)>,
}

impl PrefixCache {
    /// Creates an empty cache for `capacity` pieces.
    pub fn new(capacity: usize) -> Self {
        PrefixCache {
            capacity,
            last_used: HashMap::new(),
            use_count: 0,
            seq: 0,
            events: VecDeque::new(),
        }
    }

    /// Counts the leading pieces of a prompt that are cached.
    pub fn cached_prefix(&self, pieces: &[PieceHash]) -> usize {
        pieces.iter().take_while(|piece| self.last_used.contains_key(piece)).count()
    }

    /// Inserts a prompt's pieces and evicts the least recently used ones above the
    /// capacity. A piece counts as used more recently than those that follow it in the
    /// prompt, because these are useless once it has been evicted.
    pub fn insert(&mut self, pieces: &[PieceHash], now: Instant) {
        for piece in pieces.iter().take(self.capacity).rev() {
            self.use_count += 1;
            if self.last_used.insert(*piece, self.use_count).is_none() {
                self.log_event(*piece, true, now);
            }
        }
        while self.last_used.len() > self.capacity {
            self.evict(now);
        }
    }

    fn evict(&mut self, now: Instant) {
        let oldest =
            self.last_used.iter().min_by_key(|(_, last_used)| **last_used).map(|(piece, _)| *piece);
        if let Some(piece) = oldest {
            self.last_used.remove(&piece);
            self.log_event(piece, false, now);
        }
    }

    fn log_event(&mut self, piece: PieceHash, stored: bool, now: Instant) {
        self.seq += 1;
        self.events.push_back((now, CacheEvent { seq: self.seq, piece, stored }));
        if self.events.len() > KEPT_EVENTS {
            self.events.pop_front();
        }
    }

    /// Returns the events with a sequence number above `after`, without those that
    /// `faults` delay or lose.
    pub fn events(&self, after: u64, faults: &EngineFaults, now: Instant) -> CacheEvents {
        let visible = self.events.iter().filter(|(at, _)| *at + faults.event_lag <= now);
        let mut answer = CacheEvents { events: Vec::new(), newest: after.min(self.seq) };
        for (_, event) in visible.filter(|(_, event)| event.seq > after).take(MAX_EVENTS) {
            answer.newest = event.seq;
            let every = faults.lose_event_every;
            if every == 0 || event.seq % every != 0 {
                answer.events.push(event.clone());
            }
        }
        answer
    }

    /// Returns all cached pieces and the sequence number of the newest event.
    pub fn snapshot(&self) -> CacheSnapshot {
        let mut pieces: Vec<PieceHash> = self.last_used.keys().copied().collect();
        pieces.sort_unstable();
        CacheSnapshot { pieces, seq: self.seq }
    }

    /// Removes all pieces and events, as a restart does; event numbers restart at 1.
    pub fn clear(&mut self) {
        *self = PrefixCache::new(self.capacity);
    }
}
