//! The `holds` module tracks the memory that an engine holds for requests. Each hold has
//! an owner and expires unless the owner extends it.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use aspenloft_core::prelude::{Name, RequestId, Tokens};
use aspenloft_protocol::engine::{Hold, HoldState, KvHandle};

/// `Holds` contains all holds and prefill results of an engine. Callers pass the current
/// time.
#[derive(Debug, Default)]
pub struct Holds {
    holds: BTreeMap<RequestId, HoldEntry>,
    results: BTreeMap<KvHandle, StoredResult>,
    results_created: u64,
}

#[derive(Debug)]
struct HoldEntry {
    hold: Hold,
    expires_at: Instant,
}

/// `StoredResult` is the result of a prefill.
#[derive(Debug, Clone)]
pub struct StoredResult {
    /// The request that the prefill belongs to.
    pub request: RequestId,
    /// The prompt, which takes the place of the KV cache's bytes.
    pub prompt: Name,
    /// Prompt tokens that the prefill computed, without cached ones.
    pub computed: Tokens,
    /// Whether it has been exported completely at least once.
    pub exported: bool,
    active_exports: u32,
    expires_at: Instant,
}

impl Holds {
    /// Returns all holds, ordered by request.
    pub fn list(&self) -> Vec<Hold> {
        self.holds.values().map(|entry| entry.hold.clone()).collect()
    }

    /// Returns the number of holds whose state is one of `states`.
    pub fn count(&self, states: &[HoldState]) -> u32 {
        self.holds.values().filter(|entry| states.contains(&entry.hold.state)).count() as u32
    }

    /// Tells whether a request holds memory.
    pub fn contains(&self, request: &RequestId) -> bool {
        self.holds.contains_key(request)
    }

    /// Starts a hold until `expires_at`.
    pub fn start(
        &mut self,
        request: &RequestId,
        owner: &Name,
        state: HoldState,
        expires_at: Instant,
    ) {
        let (request, owner) = (request.clone(), owner.clone());
        let hold = Hold { request: request.clone(), owner, state, generated: Tokens::default() };
        self.holds.insert(request, HoldEntry { hold, expires_at });
    }

    /// Sets the state of a hold. Returns `false` if there is no such hold.
    pub fn set_state(&mut self, request: &RequestId, state: HoldState) -> bool {
        let entry = self.holds.get_mut(request);
        entry.map(|entry| entry.hold.state = state).is_some()
    }

    /// Records the number of tokens that a stream has generated. Returns `false` if there
    /// is no such hold.
    pub fn set_generated(&mut self, request: &RequestId, generated: u64) -> bool {
        let entry = self.holds.get_mut(request);
        entry.map(|entry| entry.hold.generated = Tokens(generated)).is_some()
    }

    /// Extends a hold until `expires_at`. A prefill's result is still evicted at its own
    /// time unless an export of it is in progress.
    pub fn extend(&mut self, request: &RequestId, expires_at: Instant) {
        if let Some(entry) = self.holds.get_mut(request) {
            entry.expires_at = expires_at;
        }
    }

    /// Stores the result of a prefill for `ttl` and returns its handle, or `None` if the
    /// hold no longer exists.
    pub fn store_result(
        &mut self,
        request: &RequestId,
        prompt: &Name,
        computed: Tokens,
        ttl: Duration,
        now: Instant,
    ) -> Option<KvHandle> {
        let entry = self.holds.get_mut(request)?;
        entry.hold.state = HoldState::Ready;
        entry.expires_at = now + ttl;
        self.results_created += 1;
        let kv: KvHandle = format!("kv-{}", self.results_created).into();
        let stored = StoredResult {
            request: request.clone(),
            prompt: prompt.clone(),
            computed,
            exported: false,
            active_exports: 0,
            expires_at: now + ttl,
        };
        self.results.insert(kv.clone(), stored);
        Some(kv)
    }

    /// Begins an export, during which the result is kept as long as the owner extends the
    /// hold. Returns `None` if the result has been evicted.
    pub fn begin_export(&mut self, kv: &KvHandle) -> Option<StoredResult> {
        let stored = self.results.get_mut(kv)?;
        stored.active_exports += 1;
        Some(stored.clone())
    }

    /// Tells whether a result is stored and has not been evicted.
    pub fn has_result(&self, kv: &KvHandle) -> bool {
        self.results.contains_key(kv)
    }

    /// Ends an export. Returns the computed tokens if this was the first complete export of
    /// the result, else zero.
    pub fn end_export(&mut self, kv: &KvHandle, complete: bool) -> Tokens {
        let Some(stored) = self.results.get_mut(kv) else {
            return Tokens::default();
        };
        stored.active_exports -= 1;
        if !complete || std::mem::replace(&mut stored.exported, true) {
            return Tokens::default();
        }
        stored.computed
    }

    /// Removes the hold and the results of a request.
    pub fn remove(&mut self, request: &RequestId) {
        self.holds.remove(request);
        self.results.retain(|_, stored| stored.request != *request);
    }

    /// Removes expired holds and results. A result is removed together with its hold.
    pub fn expire(&mut self, now: Instant) {
        self.holds.retain(|_, entry| entry.expires_at > now);
        let holds = &mut self.holds;
        self.results.retain(|_, stored| {
            let retained = holds.contains_key(&stored.request)
                && (stored.active_exports > 0 || stored.expires_at > now);
            if !retained {
                holds.remove(&stored.request);
            }
            retained
        });
    }
}
