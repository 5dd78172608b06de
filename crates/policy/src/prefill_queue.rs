//! The `prefill_queue` module tracks the queue of one prefill server, in tokens, at its
//! home host.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use aspenloft_core::clock::after;
use aspenloft_core::prelude::{BackendState, RequestId, ReservationId, Tokens};

/// How long after its predicted end an entry that has not started expires.
const EXPIRY_SLACK: Duration = Duration::from_secs(2);

/// `PrefillRequest` asks for a place in the queue of a prefill server.
#[derive(Debug, Clone)]
pub struct PrefillRequest {
    /// The id of the new reservation.
    pub id: ReservationId,
    /// The request to prefill.
    pub request: RequestId,
    /// The prompt tokens to compute, without those that are likely cached.
    pub tokens: Tokens,
    /// The longest acceptable wait; a longer estimate refuses the request.
    pub max_wait: Duration,
}

#[derive(Debug, Clone)]
struct Entry {
    request: RequestId,
    tokens: Tokens,
    expires: Instant,
}

/// `PrefillQueue` tracks the queued prefill work of one server.
#[derive(Debug)]
pub struct PrefillQueue {
    per_token: Duration,
    entries: HashMap<ReservationId, Entry>,
    queued: Tokens,
    /// When work on the oldest unfinished entry started, to subtract what is done of it.
    working_since: Option<Instant>,
}

impl PrefillQueue {
    /// Creates an empty queue of a server that takes `per_token` for a token.
    pub fn new(per_token: Duration) -> PrefillQueue {
        PrefillQueue {
            per_token,
            entries: HashMap::new(),
            queued: Tokens::default(),
            working_since: None,
        }
    }

    /// Updates the measured time for a token.
    pub fn set_per_token(&mut self, per_token: Duration) {
        self.per_token = per_token;
    }

    /// Adds an entry, or returns the current state when the wait is too long.
    pub fn reserve(&mut self, req: PrefillRequest, now: Instant) -> Result<(), BackendState> {
        self.expire(now);
        let wait = self.wait(now);
        if wait > req.max_wait {
            return Err(self.state(now));
        }
        let work = work_time(self.per_token, req.tokens);
        let expires = after(now, wait.saturating_add(work).saturating_add(EXPIRY_SLACK));
        self.queued += req.tokens;
        self.working_since.get_or_insert(now);
        self.entries.insert(req.id, Entry { request: req.request, tokens: req.tokens, expires });
        Ok(())
    }

    /// Sets the expiry of an entry whose prefill starts to `max_duration` from now; returns
    /// `false` when the entry has expired.
    pub fn start(&mut self, id: ReservationId, max_duration: Duration, now: Instant) -> bool {
        self.expire(now);
        match self.entries.get_mut(&id) {
            Some(entry) => {
                entry.expires = after(now, max_duration);
                true
            }
            None => false,
        }
    }

    /// Removes an entry whose prefill has finished or failed, and returns its request.
    pub fn release(&mut self, id: ReservationId, now: Instant) -> Option<RequestId> {
        let entry = self.entries.remove(&id)?;
        self.queued = self.queued.saturating_sub(entry.tokens);
        self.working_since = (!self.entries.is_empty()).then_some(now);
        Some(entry.request)
    }

    /// Removes expired entries.
    pub fn expire(&mut self, now: Instant) {
        let expired: Vec<_> =
            self.entries.iter().filter(|(_, e)| e.expires <= now).map(|(id, _)| *id).collect();
        for id in expired {
            self.release(id, now);
        }
    }

    /// Returns the number of entries, waiting or running.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no entry waits or runs.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns whether an entry exists, started or not.
    pub fn contains(&self, id: ReservationId) -> bool {
        self.entries.contains_key(&id)
    }

    /// Estimates the wait of a new entry.
    pub fn wait(&self, now: Instant) -> Duration {
        let work = work_time(self.per_token, self.queued);
        let done = self.working_since.map_or(Duration::ZERO, |since| now.duration_since(since));
        // Elapsed time counts as progress on one entry at most, so that a server that
        // hangs does not appear to have finished its whole queue.
        let largest = self.entries.values().map(|entry| entry.tokens).max().unwrap_or_default();
        work.saturating_sub(done.min(work_time(self.per_token, largest)))
    }

    /// Returns the state of the queue at `now`.
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

/// Returns the time to process `tokens` at `per_token`.
pub fn work_time(per_token: Duration, tokens: Tokens) -> Duration {
    let nanos = per_token.as_nanos().saturating_mul(u128::from(tokens.0));
    Duration::from_nanos(u64::try_from(nanos).unwrap_or(u64::MAX))
}
