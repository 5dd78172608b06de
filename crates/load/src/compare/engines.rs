//! The `engines` module implements fake prefill and decode engines, on which every policy
//! runs. Callers pass the current time.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use aspenloft_core::pieces::PieceHash;
use aspenloft_core::units::CACHE_PIECE_TOKENS;
use aspenloft_standin::engine::cache::PrefixCache;

use super::fleet::{CACHE_CAPACITY_PIECES, DECODE_SLOTS, PREFILL_PER_TOKEN, STEP, STEP_PER_STREAM};
use super::workload::RequestNo;

/// `PrefillJob` is the prefill of one request.
#[derive(Debug, Clone)]
pub struct PrefillJob {
    /// The request that it belongs to.
    pub request: RequestNo,
    /// The tokens to prefill; after a resume, the tokens already sent are included.
    pub tokens: u64,
    /// The hashes of the prompt's pieces.
    pub pieces: Vec<PieceHash>,
    /// The priority in the engine's queue; higher values go first.
    pub priority: u8,
}

/// `RunningPrefill` is the prefill that an engine currently runs.
#[derive(Debug, Clone)]
pub struct RunningPrefill {
    /// The prefill that runs.
    pub job: PrefillJob,
    /// The tokens that are not cached and must be computed.
    pub computed_tokens: u64,
    /// When it started.
    pub started_at: Duration,
    /// When it will finish.
    pub ends_at: Duration,
}

/// `PrefillEngine` runs one prefill at a time and queues the rest by priority.
#[derive(Debug)]
pub struct PrefillEngine {
    /// The prefix cache, which reports its changes as events.
    pub cache: PrefixCache,
    /// The prefill that runs, if any.
    pub running: Option<RunningPrefill>,
    waiting: BTreeMap<(Reverse<u8>, u64), PrefillJob>,
    enqueued: u64,
}

impl Default for PrefillEngine {
    fn default() -> Self {
        PrefillEngine {
            cache: PrefixCache::new(CACHE_CAPACITY_PIECES),
            running: None,
            waiting: BTreeMap::new(),
            enqueued: 0,
        }
    }
}

impl PrefillEngine {
    /// Adds a prefill to the queue.
    pub fn enqueue(&mut self, job: PrefillJob) {
        self.enqueued += 1;
        self.waiting.insert((Reverse(job.priority), self.enqueued), job);
    }

    /// Starts the next prefill if none runs; returns when it will finish.
    pub fn start_next(&mut self, now: Duration) -> Option<Duration> {
        if self.running.is_some() {
            return None;
        }
        let (_, job) = self.waiting.pop_first()?;
        let cached = self.cache.cached_prefix(&job.pieces) as u64 * CACHE_PIECE_TOKENS;
        let computed_tokens = job.tokens.saturating_sub(cached);
        let ends_at = now + PREFILL_PER_TOKEN * computed_tokens as u32;
        self.running = Some(RunningPrefill { job, computed_tokens, started_at: now, ends_at });
        Some(ends_at)
    }

    /// Finishes the running prefill and caches its pieces.
    pub fn finish(&mut self, now: Instant) -> Option<RunningPrefill> {
        let done = self.running.take()?;
        self.cache.insert(&done.job.pieces, now);
        Some(done)
    }

    /// Removes a request from the queue; `false` if it is not queued.
    pub fn dequeue(&mut self, request: RequestNo) -> bool {
        let before = self.waiting.len();
        self.waiting.retain(|_, job| job.request != request);
        self.waiting.len() < before
    }

    /// Returns the sum of the queued tokens and the running prefill's computed tokens.
    pub fn queued_tokens(&self) -> u64 {
        let running = self.running.as_ref().map_or(0, |running| running.computed_tokens);
        running + self.waiting.values().map(|job| job.tokens).sum::<u64>()
    }

    /// Lists the queued and the running requests.
    pub fn requests(&self) -> Vec<RequestNo> {
        let running = self.running.iter().map(|running| running.job.request);
        running.chain(self.waiting.values().map(|job| job.request)).collect()
    }
}

/// `DecodeEngine` generates one token for every stream in each step.
#[derive(Debug, Default)]
pub struct DecodeEngine {
    /// The streams that hold a slot; `false` while their KV cache is transferred.
    pub streams: BTreeMap<RequestNo, bool>,
    /// Whether a step is in progress.
    pub stepping: bool,
}

impl DecodeEngine {
    /// Takes a slot for a request; `false` if all slots are in use.
    pub fn take_slot(&mut self, request: RequestNo) -> bool {
        if self.streams.len() >= DECODE_SLOTS as usize {
            return false;
        }
        self.streams.insert(request, false);
        true
    }

    /// Returns the duration of a step with the current streams.
    pub fn step_duration(&self) -> Duration {
        let decoding = self.streams.values().filter(|decoding| **decoding).count() as u32;
        STEP + STEP_PER_STREAM * decoding.saturating_sub(1)
    }

    /// Lists the streams that generate a token in the current step.
    pub fn decoding_streams(&self) -> Vec<RequestNo> {
        let decoding = self.streams.iter().filter(|(_, decoding)| **decoding);
        decoding.map(|(request, _)| *request).collect()
    }
}
