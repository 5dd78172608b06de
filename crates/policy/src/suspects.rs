//! The `suspects` module identifies requests that crash backend servers.
//!
//! When a server dies, all requests that it was running become suspects. A suspect is
//! retried only on a server that runs no other suspect, so that another crash identifies
//! it. A suspect that finishes is cleared. `docs/design/suspects.md` gives the bound on
//! crashes and the remaining cases.

use std::collections::HashMap;
use std::time::{Duration, Instant};

pub use aspenloft_core::suspects::{Fingerprint, SuspectStatus, Verdict};

/// How long a suspicion is kept. Callers retry much sooner.
pub const SUSPICION_TTL: Duration = Duration::from_secs(120);

/// How long a conviction is kept. It expires because the engine may have been fixed in
/// the meantime, or the crash may have had another cause.
pub const CONVICTION_TTL: Duration = Duration::from_secs(1_800);

/// The most fingerprints that one host stores; suspects are evicted before convictions,
/// and older entries before newer ones.
pub const MAX_FINGERPRINTS: usize = 4_096;

/// `SuspectRegistry` holds the suspected and convicted requests that a host knows of.
#[derive(Debug, Clone, Default)]
pub struct SuspectRegistry {
    entries: HashMap<Fingerprint, Entry>,
}

#[derive(Debug, Clone, Copy)]
struct Entry {
    status: SuspectStatus,
    since: Instant,
}

impl SuspectRegistry {
    /// Returns the current status of `fingerprint`.
    pub fn status(&self, fingerprint: Fingerprint, now: Instant) -> SuspectStatus {
        match self.entries.get(&fingerprint) {
            Some(entry) if now.saturating_duration_since(entry.since) < ttl(entry.status) => {
                entry.status
            }
            _ => SuspectStatus::Clear,
        }
    }

    /// Records the death of a server with the requests that it was `running`, and returns
    /// the verdicts on them.
    ///
    /// If exactly one of them is a suspect, it is convicted as the cause, and the others
    /// stay clear. Otherwise all of them become suspects.
    pub fn record_server_death(&mut self, running: &[Fingerprint], now: Instant) -> Vec<Verdict> {
        let mut distinct = running.to_vec();
        distinct.sort();
        distinct.dedup();
        let known = distinct.iter().filter(|f| self.status(**f, now) == SuspectStatus::Suspect);
        let suspects: Vec<Fingerprint> = known.copied().collect();
        let verdicts: Vec<Verdict> = match suspects.as_slice() {
            [only] => vec![Verdict { fingerprint: *only, standing: SuspectStatus::Convicted }],
            _ => distinct.iter().map(|f| suspect(*f)).collect(),
        };
        self.merge_verdicts(&verdicts, now);
        verdicts
    }

    /// Merges verdicts of another host. A verdict that arrives late does not replace a
    /// conviction by a weaker status.
    pub fn merge_verdicts(&mut self, verdicts: &[Verdict], now: Instant) {
        for verdict in verdicts {
            let held = self.status(verdict.fingerprint, now);
            let weaker =
                held == SuspectStatus::Convicted && verdict.standing != SuspectStatus::Convicted;
            if !weaker {
                self.set(*verdict, now);
            }
        }
        self.evict(now);
    }

    /// Clears a suspect that has finished on a server, and returns the verdict if its
    /// status has changed.
    pub fn record_finished(&mut self, fingerprint: Fingerprint, now: Instant) -> Option<Verdict> {
        if self.status(fingerprint, now) != SuspectStatus::Suspect {
            return None;
        }
        let verdict = Verdict { fingerprint, standing: SuspectStatus::Clear };
        self.set(verdict, now);
        Some(verdict)
    }

    /// Returns all current verdicts, to initialize a host that has just started.
    pub fn verdicts(&self, now: Instant) -> Vec<Verdict> {
        let held = self.entries.keys().map(|f| (*f, self.status(*f, now)));
        let known = held.filter(|(_, status)| *status != SuspectStatus::Clear);
        known.map(|(fingerprint, status)| Verdict { fingerprint, standing: status }).collect()
    }

    /// Returns the number of stored fingerprints.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no fingerprints are stored.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn set(&mut self, verdict: Verdict, now: Instant) {
        if verdict.standing == SuspectStatus::Clear {
            self.entries.remove(&verdict.fingerprint);
            return;
        }
        let entry = Entry { status: verdict.standing, since: now };
        self.entries.insert(verdict.fingerprint, entry);
    }

    /// Removes expired entries, and the oldest ones beyond [`MAX_FINGERPRINTS`].
    fn evict(&mut self, now: Instant) {
        self.entries.retain(|_, e| now.saturating_duration_since(e.since) < ttl(e.status));
        while self.entries.len() > MAX_FINGERPRINTS {
            // Evicts suspects before convictions, and older entries first.
            let oldest = self.entries.iter().min_by_key(|(_, e)| (e.status, e.since));
            let Some(fingerprint) = oldest.map(|(f, _)| *f) else { return };
            self.entries.remove(&fingerprint);
        }
    }
}

fn suspect(fingerprint: Fingerprint) -> Verdict {
    Verdict { fingerprint, standing: SuspectStatus::Suspect }
}

fn ttl(status: SuspectStatus) -> Duration {
    match status {
        SuspectStatus::Convicted => CONVICTION_TTL,
        _ => SUSPICION_TTL,
    }
}
