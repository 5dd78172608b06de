//! The `digests` module caches the last state that the home of each backend server
//! published, so that an entry host can rank candidates without a request.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use aspenloft_core::prelude::Name;
use aspenloft_protocol::peer::home::BackendState;

/// The age above which a digest is too old to use and is dropped.
pub const DIGEST_TTL: Duration = Duration::from_secs(10);

/// The maximum number of digests kept; at the limit the oldest is evicted.
pub const MAX_DIGESTS: usize = 4_096;

/// `Digests` holds the last known state of each backend server.
#[derive(Debug, Default)]
pub struct Digests {
    by_backend: HashMap<Name, Digest>,
}

#[derive(Debug)]
struct Digest {
    state: BackendState,
    taken_at: Instant,
}

impl Digests {
    /// Records the state of `backend` as of `taken_at`, unless a newer one is held.
    pub fn record(&mut self, backend: &Name, state: BackendState, taken_at: Instant) {
        if self.by_backend.get(backend).is_some_and(|digest| digest.taken_at > taken_at) {
            return;
        }
        if self.by_backend.len() >= MAX_DIGESTS && !self.by_backend.contains_key(backend) {
            self.evict_oldest();
        }
        self.by_backend.insert(backend.clone(), Digest { state, taken_at });
    }

    /// Returns the last known state of `backend` and its age.
    pub fn state_of(&self, backend: &str, now: Instant) -> Option<(BackendState, Duration)> {
        let digest = self.by_backend.get(backend)?;
        let age = now.saturating_duration_since(digest.taken_at);
        (age <= DIGEST_TTL).then(|| (digest.state.clone(), age))
    }

    /// Returns all digests that are not too old, each with its age.
    pub fn fresh(&self, now: Instant) -> impl Iterator<Item = (&Name, &BackendState, Duration)> {
        let aged = self.by_backend.iter().map(move |(name, digest)| {
            (name, &digest.state, now.saturating_duration_since(digest.taken_at))
        });
        aged.filter(|(_, _, age)| *age <= DIGEST_TTL)
    }

    /// Drops the digests older than [`DIGEST_TTL`].
    pub fn expire(&mut self, now: Instant) {
        self.by_backend
            .retain(|_, digest| now.saturating_duration_since(digest.taken_at) <= DIGEST_TTL);
    }

    fn evict_oldest(&mut self) {
        let oldest = self.by_backend.iter().min_by_key(|(_, digest)| digest.taken_at);
        if let Some(name) = oldest.map(|(name, _)| name.clone()) {
            self.by_backend.remove(&name);
        }
    }
}
