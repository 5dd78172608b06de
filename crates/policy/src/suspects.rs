//! The `suspects` module finds the request that crashes backend servers.
//!
//! When a server dies, all that it was running are suspects. A suspect runs again
//! only on a server that runs no other suspect, so the next death names it. An
//! innocent request clears itself by finishing. `docs/design/suspects.md` gives
//! the bound and what remains possible.

use std::collections::HashMap;
use std::time::{Duration, Instant};

pub use aspenloft_core::suspects::{Fingerprint, SuspectStatus, Verdict};

/// How long a suspicion stands. A caller that sends again does so far sooner.
pub const SUSPICION_LIFE: Duration = Duration::from_secs(120);

/// How long a conviction stands. It ends, because an engine may have been mended
/// or a death may have had another cause.
pub const CONVICTION_LIFE: Duration = Duration::from_secs(1_800);

/// The most fingerprints that one host remembers; the oldest go first.
pub const MAX_REMEMBERED: usize = 4_096;

/// `SuspectBook` is a host's knowledge of suspects.
#[derive(Debug, Clone, Default)]
pub struct SuspectBook {
    entries: HashMap<Fingerprint, Entry>,
}

#[derive(Debug, Clone, Copy)]
struct Entry {
    standing: SuspectStatus,
    since: Instant,
}

impl SuspectBook {
    /// Returns what is held against `fingerprint`.
    pub fn standing(&self, fingerprint: Fingerprint, now: Instant) -> SuspectStatus {
        match self.entries.get(&fingerprint) {
            Some(entry) if now.saturating_duration_since(entry.since) < life(entry.standing) => {
                entry.standing
            }
            _ => SuspectStatus::Clear,
        }
    }

    /// Returns the verdicts over what a server was running when it died.
    ///
    /// With one suspect among them that one is convicted, and the others stay
    /// clear, for the death has its cause. Otherwise all are suspects.
    pub fn server_died(&mut self, running: &[Fingerprint], now: Instant) -> Vec<Verdict> {
        let mut distinct = running.to_vec();
        distinct.sort();
        distinct.dedup();
        let known = distinct.iter().filter(|f| self.standing(**f, now) == SuspectStatus::Suspect);
        let suspects: Vec<Fingerprint> = known.copied().collect();
        let verdicts: Vec<Verdict> = match suspects.as_slice() {
            [only] => vec![Verdict { fingerprint: *only, standing: SuspectStatus::Convicted }],
            _ => distinct.iter().map(|f| suspect(*f)).collect(),
        };
        self.learn(&verdicts, now);
        verdicts
    }

    /// Takes in verdicts of another host. A conviction is never softened by a
    /// suspicion that arrives late.
    pub fn learn(&mut self, verdicts: &[Verdict], now: Instant) {
        for verdict in verdicts {
            let held = self.standing(verdict.fingerprint, now);
            let softened =
                held == SuspectStatus::Convicted && verdict.standing != SuspectStatus::Convicted;
            if !softened {
                self.set(*verdict, now);
            }
        }
        self.forget(now);
    }

    /// Clears a suspect that has finished on a server; returns the verdict if its
    /// standing changed.
    pub fn finished(&mut self, fingerprint: Fingerprint, now: Instant) -> Option<Verdict> {
        if self.standing(fingerprint, now) != SuspectStatus::Suspect {
            return None;
        }
        let verdict = Verdict { fingerprint, standing: SuspectStatus::Clear };
        self.set(verdict, now);
        Some(verdict)
    }

    /// Returns all that is held now, for a host that has just started.
    pub fn verdicts(&self, now: Instant) -> Vec<Verdict> {
        let held = self.entries.keys().map(|f| (*f, self.standing(*f, now)));
        let standing = held.filter(|(_, standing)| *standing != SuspectStatus::Clear);
        standing.map(|(fingerprint, standing)| Verdict { fingerprint, standing }).collect()
    }

    /// Returns how many fingerprints are remembered.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Tells whether none are remembered.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn set(&mut self, verdict: Verdict, now: Instant) {
        if verdict.standing == SuspectStatus::Clear {
            self.entries.remove(&verdict.fingerprint);
            return;
        }
        let entry = Entry { standing: verdict.standing, since: now };
        self.entries.insert(verdict.fingerprint, entry);
    }

    /// Drops what has lapsed, and the oldest beyond the bound.
    fn forget(&mut self, now: Instant) {
        self.entries.retain(|_, e| now.saturating_duration_since(e.since) < life(e.standing));
        while self.entries.len() > MAX_REMEMBERED {
            // Suspects go before convictions, and older ones first.
            let oldest = self.entries.iter().min_by_key(|(_, e)| (e.standing, e.since));
            let Some(fingerprint) = oldest.map(|(f, _)| *f) else { return };
            self.entries.remove(&fingerprint);
        }
    }
}

fn suspect(fingerprint: Fingerprint) -> Verdict {
    Verdict { fingerprint, standing: SuspectStatus::Suspect }
}

fn life(standing: SuspectStatus) -> Duration {
    match standing {
        SuspectStatus::Convicted => CONVICTION_LIFE,
        _ => SUSPICION_LIFE,
    }
}
