//! The `servers` module chooses among the servers of a plain service and keeps
//! passive marks of their health.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use aspenloft_core::prelude::{Backend, Name, SharedClock};
use parking_lot::Mutex;

/// How long a server is avoided after its first failure or refusal; each further
/// one in a row doubles it.
const FIRST_AVOIDANCE: Duration = Duration::from_secs(1);

/// The longest time that a server is avoided without a fresh failure.
const LONGEST_AVOIDANCE: Duration = Duration::from_secs(16);

/// Servers that are remembered; those without work are forgotten first.
const MAX_SERVERS: usize = 2_048;

/// `Ending` is how a call to a server went, as far as its health is concerned.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ending {
    /// It answered.
    Answered,
    /// It refused the call, could not be reached, or broke off.
    Failed,
}

/// `Servers` is this host's view of all servers of plain services.
pub struct Servers {
    clock: SharedClock,
    marks: Mutex<HashMap<Name, Mark>>,
}

/// `Mark` is what is known of one server.
#[derive(Debug, Default, Clone, Copy)]
struct Mark {
    outstanding: u32,
    failures: u32,
    avoid_until: Option<Instant>,
}

impl Mark {
    /// Returns the order in which servers are tried: sound ones first, by work in
    /// hand; then the one that is to be tried again soonest.
    fn rank(&self, now: Instant) -> (Option<Instant>, u32) {
        (self.avoid_until.filter(|until| *until > now), self.outstanding)
    }
}

impl Servers {
    /// Creates the view of a host that has called nobody yet.
    pub fn new(clock: SharedClock) -> Servers {
        Servers { clock, marks: Mutex::default() }
    }

    /// Chooses among `candidates`, whose order breaks ties, and counts a call to the
    /// chosen one. Leaving servers get no call.
    pub fn begin(self: &Arc<Self>, candidates: &[Backend], tried: &[Name]) -> Option<Work> {
        let now = self.clock.now();
        let mut marks = self.marks.lock();
        if marks.len() >= MAX_SERVERS {
            marks.retain(|_, mark| mark.outstanding > 0);
        }
        let fit = candidates.iter().filter(|b| !b.leaving && !tried.contains(&b.name));
        let rank = |b: &&Backend| marks.get(&b.name).copied().unwrap_or_default().rank(now);
        let backend = fit.min_by_key(rank)?.clone();
        marks.entry(backend.name.clone()).or_default().outstanding += 1;
        Some(Work { servers: self.clone(), backend, ending: None })
    }

    fn end(&self, name: &Name, ending: Option<Ending>) {
        let now = self.clock.now();
        let mut marks = self.marks.lock();
        let Some(mark) = marks.get_mut(name) else { return };
        mark.outstanding = mark.outstanding.saturating_sub(1);
        match ending {
            Some(Ending::Answered) => (mark.failures, mark.avoid_until) = (0, None),
            None => (),
            Some(Ending::Failed) => {
                let doubled = FIRST_AVOIDANCE.saturating_mul(1 << mark.failures.min(8));
                mark.failures += 1;
                mark.avoid_until = Some(now + doubled.min(LONGEST_AVOIDANCE));
            }
        }
    }
}

/// `Work` is one call to a server; it is counted until it is dropped.
pub struct Work {
    servers: Arc<Servers>,
    /// The chosen server.
    pub backend: Backend,
    ending: Option<Ending>,
}

impl Work {
    /// Notes how the call went. A call that is given up says nothing of the server.
    pub fn note(&mut self, ending: Ending) {
        self.ending = Some(ending);
    }
}

impl Drop for Work {
    fn drop(&mut self) {
        self.servers.end(&self.backend.name, self.ending);
    }
}
