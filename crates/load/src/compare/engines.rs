//! The `engines` module fakes prefill and decode engines. Time is passed in, and
//! the same fakes serve every policy.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use aspenloft_core::pieces::PieceHash;
use aspenloft_core::units::CACHE_PIECE_TOKENS;
use aspenloft_standin::engine::cache::PrefixCache;

use super::fleet::{CACHE_PIECES, PREFILL_PER_TOKEN, SLOTS, STEP, STEP_PER_STREAM};
use super::workload::RequestNo;

/// `PrefillJob` is one prefill.
#[derive(Debug, Clone)]
pub struct PrefillJob {
    /// The request.
    pub request: RequestNo,
    /// Tokens of the prompt.
    pub tokens: u64,
    /// The names of the prompt's pieces.
    pub pieces: Vec<PieceHash>,
    /// Higher goes first.
    pub priority: u8,
}

/// `RunningPrefill` is the prefill that an engine works on.
#[derive(Debug, Clone)]
pub struct RunningPrefill {
    /// The prefill.
    pub job: PrefillJob,
    /// Tokens that need work.
    pub worked: u64,
    /// When it began.
    pub began: Duration,
    /// When it will end.
    pub ends: Duration,
}

/// `PrefillEngine` runs one prefill at a time and queues the rest by priority.
#[derive(Debug)]
pub struct PrefillEngine {
    /// Its prefix cache.
    pub cache: PrefixCache,
    /// The prefill that runs.
    pub running: Option<RunningPrefill>,
    waiting: BTreeMap<(Reverse<u8>, u64), PrefillJob>,
    joined: u64,
}

impl Default for PrefillEngine {
    fn default() -> Self {
        PrefillEngine {
            cache: PrefixCache::new(CACHE_PIECES),
            running: None,
            waiting: BTreeMap::new(),
            joined: 0,
        }
    }
}

impl PrefillEngine {
    /// Adds a prefill to the queue.
    pub fn join(&mut self, job: PrefillJob) {
        self.joined += 1;
        self.waiting.insert((Reverse(job.priority), self.joined), job);
    }

    /// Starts the next prefill if none runs; returns when it will end.
    pub fn start(&mut self, now: Duration) -> Option<Duration> {
        if self.running.is_some() {
            return None;
        }
        let (_, job) = self.waiting.pop_first()?;
        let cached = self.cache.cached_prefix(&job.pieces) as u64 * CACHE_PIECE_TOKENS;
        let worked = job.tokens.saturating_sub(cached);
        let ends = now + PREFILL_PER_TOKEN * worked as u32;
        self.running = Some(RunningPrefill { job, worked, began: now, ends });
        Some(ends)
    }

    /// Ends the prefill that runs.
    pub fn finish(&mut self, now: Instant) -> Option<RunningPrefill> {
        let done = self.running.take()?;
        self.cache.insert(&done.job.pieces, now);
        Some(done)
    }

    /// Takes a request out of the queue; `false` when it does not wait.
    pub fn leave(&mut self, request: RequestNo) -> bool {
        let before = self.waiting.len();
        self.waiting.retain(|_, job| job.request != request);
        self.waiting.len() < before
    }

    /// Counts the tokens that wait or run.
    pub fn queued_tokens(&self) -> u64 {
        let running = self.running.as_ref().map_or(0, |running| running.worked);
        running + self.waiting.values().map(|job| job.tokens).sum::<u64>()
    }

    /// Lists the requests that wait or run.
    pub fn requests(&self) -> Vec<RequestNo> {
        let running = self.running.iter().map(|running| running.job.request);
        running.chain(self.waiting.values().map(|job| job.request)).collect()
    }
}

/// `DecodeEngine` gives every stream one token a step.
#[derive(Debug, Default)]
pub struct DecodeEngine {
    /// The streams; `false` while their KV cache is on its way.
    pub streams: BTreeMap<RequestNo, bool>,
    /// Whether a step is under way.
    pub stepping: bool,
}

impl DecodeEngine {
    /// Takes a slot for a request; `false` when all are taken.
    pub fn import(&mut self, request: RequestNo) -> bool {
        if self.streams.len() >= SLOTS as usize {
            return false;
        }
        self.streams.insert(request, false);
        true
    }

    /// Returns the time of a step with the present streams.
    pub fn step(&self) -> Duration {
        let decoding = self.streams.values().filter(|decoding| **decoding).count() as u32;
        STEP + STEP_PER_STREAM * decoding.saturating_sub(1)
    }

    /// Lists the streams that get a token now.
    pub fn decoding(&self) -> Vec<RequestNo> {
        let decoding = self.streams.iter().filter(|(_, decoding)| **decoding);
        decoding.map(|(request, _)| *request).collect()
    }
}
