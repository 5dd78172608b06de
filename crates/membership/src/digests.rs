//! The `digests` module keeps the last word of each backend server's home on its
//! state, so that an entry host can rank candidates without asking.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use aspenloft_core::prelude::Name;
use aspenloft_protocol::peer::home::BackendState;

/// The age above which a digest says nothing any more and is forgotten.
pub const DIGEST_LIFE: Duration = Duration::from_secs(10);

/// The most digests kept. The oldest is forgotten first.
pub const MAX_DIGESTS: usize = 4_096;

/// `Digests` holds the last state known of each backend server.
#[derive(Debug, Default)]
pub struct Digests {
    known: HashMap<Name, Known>,
}

#[derive(Debug)]
struct Known {
    state: BackendState,
    taken: Instant,
}

impl Digests {
    /// Notes the state of `backend` as it was at `taken`; an older word than the
    /// one known is passed over.
    pub fn note(&mut self, backend: &Name, state: BackendState, taken: Instant) {
        if self.known.get(backend).is_some_and(|known| known.taken > taken) {
            return;
        }
        if self.known.len() >= MAX_DIGESTS && !self.known.contains_key(backend) {
            self.forget_oldest();
        }
        self.known.insert(backend.clone(), Known { state, taken });
    }

    /// Returns the last state known of `backend` and its age.
    pub fn state_of(&self, backend: &str, now: Instant) -> Option<(BackendState, Duration)> {
        let known = self.known.get(backend)?;
        let age = now.saturating_duration_since(known.taken);
        (age <= DIGEST_LIFE).then(|| (known.state.clone(), age))
    }

    /// Returns all that is known and not too old, with its age.
    pub fn fresh(&self, now: Instant) -> impl Iterator<Item = (&Name, &BackendState, Duration)> {
        let aged = self.known.iter().map(move |(name, known)| {
            (name, &known.state, now.saturating_duration_since(known.taken))
        });
        aged.filter(|(_, _, age)| *age <= DIGEST_LIFE)
    }

    /// Forgets digests past their life.
    pub fn expire(&mut self, now: Instant) {
        self.known.retain(|_, known| now.saturating_duration_since(known.taken) <= DIGEST_LIFE);
    }

    fn forget_oldest(&mut self) {
        let oldest = self.known.iter().min_by_key(|(_, known)| known.taken);
        if let Some(name) = oldest.map(|(name, _)| name.clone()) {
            self.known.remove(&name);
        }
    }
}
