//! The `departures` module remembers processes of backend servers whose entries are gone. A
//! key-value service that comes back from an older copy lists them again, as they were; see
//! `docs/design/store-eras.md`.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use aspenloft_core::prelude::{Era, Name};

use crate::roster::ServerEntry;

/// How long a process is remembered: servers go on serving for some seconds after they have
/// left, and copies are some seconds old.
const DEPARTURE_TTL: Duration = Duration::from_secs(120);

/// The maximum number of processes that are remembered; the oldest are forgotten first.
const MAX_DEPARTURES: usize = 4_096;

/// A process of a server whose entry is gone.
#[derive(Debug, Clone, Copy)]
pub struct Departure {
    /// The era of the service in which the entry was removed.
    pub era: Era,
    /// Whether the process had announced that it is leaving.
    pub leaving: bool,
    at: Instant,
}

/// `Departures` remembers processes by the name and the start time of the server.
#[derive(Debug, Default)]
pub struct Departures {
    by_process: HashMap<(Name, u64), Departure>,
}

impl Departures {
    /// Records that the process of `entry` was removed in `era`.
    pub fn record(&mut self, entry: &ServerEntry, era: Era, now: Instant) {
        self.evict(now);
        let departure = Departure { era, leaving: entry.leaving, at: now };
        self.by_process.insert((entry.instance.clone(), entry.born_ms), departure);
    }

    /// Returns the departure of the process that `entry` describes, if there was one.
    pub fn of(&self, entry: &ServerEntry) -> Option<Departure> {
        self.by_process.get(&(entry.instance.clone(), entry.born_ms)).copied()
    }

    /// Returns the number of processes that are remembered.
    pub fn len(&self) -> usize {
        self.by_process.len()
    }

    /// Returns whether no process is remembered.
    pub fn is_empty(&self) -> bool {
        self.by_process.is_empty()
    }

    fn evict(&mut self, now: Instant) {
        let is_recent = |d: &Departure| now.saturating_duration_since(d.at) < DEPARTURE_TTL;
        self.by_process.retain(|_, departure| is_recent(departure));
        if self.by_process.len() >= MAX_DEPARTURES {
            let oldest = self.by_process.iter().min_by_key(|(_, departure)| departure.at);
            let oldest = oldest.map(|(process, _)| process.clone());
            oldest.map(|process| self.by_process.remove(&process));
        }
    }
}
