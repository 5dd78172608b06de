//! The `queue` module keeps the account of one prefill server's queue, in tokens,
//! at its home host.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use aspenloft_core::prelude::{BackendState, RequestId, ReservationId, Tokens};

/// How long an entry that has not begun outlives its turn.
const SLACK: Duration = Duration::from_secs(2);

/// `PrefillRequest` asks for a turn on a prefill server.
#[derive(Debug, Clone)]
pub struct PrefillRequest {
    /// The reservation's new id.
    pub id: ReservationId,
    /// The request that it is for.
    pub request: RequestId,
    /// The prompt tokens that need work, without those likely cached.
    pub tokens: Tokens,
    /// The longest wait for the turn that still makes sense.
    pub max_wait: Duration,
}

#[derive(Debug, Clone)]
struct Entry {
    request: RequestId,
    tokens: Tokens,
    lapses: Instant,
}

/// `PrefillQueue` is the account of one prefill server.
#[derive(Debug)]
pub struct PrefillQueue {
    per_token: Duration,
    entries: HashMap<ReservationId, Entry>,
    queued: Tokens,
    /// When work on the oldest unfinished entry began, to credit its progress.
    working_since: Option<Instant>,
}

impl PrefillQueue {
    /// Creates an empty queue of a server that needs `per_token` for a token.
    pub fn new(per_token: Duration) -> PrefillQueue {
        PrefillQueue {
            per_token,
            entries: HashMap::new(),
            queued: Tokens::default(),
            working_since: None,
        }
    }

    /// Sets the time for a token, as measured lately.
    pub fn set_per_token(&mut self, per_token: Duration) {
        self.per_token = per_token;
    }

    /// Reserves a turn, or returns the fresh state when the wait is too long.
    pub fn reserve(&mut self, ask: PrefillRequest, now: Instant) -> Result<(), BackendState> {
        self.expire(now);
        let wait = self.wait(now);
        if wait > ask.max_wait {
            return Err(self.state(now));
        }
        let work = work_time(self.per_token, ask.tokens);
        let lapses = now + wait + work + SLACK;
        self.queued += ask.tokens;
        self.working_since.get_or_insert(now);
        self.entries.insert(ask.id, Entry { request: ask.request, tokens: ask.tokens, lapses });
        Ok(())
    }

    /// Extends an entry whose prefill begins; `false` when it has lapsed.
    pub fn start(&mut self, id: ReservationId, longest: Duration, now: Instant) -> bool {
        self.expire(now);
        match self.entries.get_mut(&id) {
            Some(entry) => {
                entry.lapses = now + longest;
                true
            }
            None => false,
        }
    }

    /// Notes that an entry's prefill has ended, for good or ill.
    pub fn release(&mut self, id: ReservationId, now: Instant) -> Option<RequestId> {
        let entry = self.entries.remove(&id)?;
        self.queued = self.queued.saturating_sub(entry.tokens);
        self.working_since = (!self.entries.is_empty()).then_some(now);
        Some(entry.request)
    }

    /// Drops what has lapsed.
    pub fn expire(&mut self, now: Instant) {
        let lapsed: Vec<_> =
            self.entries.iter().filter(|(_, e)| e.lapses <= now).map(|(id, _)| *id).collect();
        for id in lapsed {
            self.release(id, now);
        }
    }

    /// Returns how many entries wait or run.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Tells whether nothing waits or runs.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Tells whether a reservation stands, begun or not.
    pub fn contains(&self, id: ReservationId) -> bool {
        self.entries.contains_key(&id)
    }

    /// Estimates the wait of a new entry.
    pub fn wait(&self, now: Instant) -> Duration {
        let work = work_time(self.per_token, self.queued);
        let done = self.working_since.map_or(Duration::ZERO, |since| now.duration_since(since));
        // A server that hangs must not look as if it had worked off its queue.
        let largest = self.entries.values().map(|entry| entry.tokens).max().unwrap_or_default();
        work.saturating_sub(done.min(work_time(self.per_token, largest)))
    }

    /// Describes the account as of `now`.
    pub fn state(&self, now: Instant) -> BackendState {
        BackendState {
            taken: self.entries.len() as u32,
            queued_tokens: self.queued,
            free_in: self.wait(now),
            prefill_per_token: self.per_token,
            ..BackendState::default()
        }
    }
}

/// Returns the time of `tokens` at `per_token`.
pub fn work_time(per_token: Duration, tokens: Tokens) -> Duration {
    let nanos = per_token.as_nanos().saturating_mul(u128::from(tokens.0));
    Duration::from_nanos(u64::try_from(nanos).unwrap_or(u64::MAX))
}
