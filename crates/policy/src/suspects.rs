//! The `suspects` module finds the request that crashes backend servers.
//!
//! When a server dies, all that it was running are suspects. A suspect runs again
//! only on a server that runs no other suspect, so the next death names it. An
//! innocent request clears itself by finishing. `docs/design/suspects.md` gives
//! the bound and what remains possible.

use std::collections::HashMap;
use std::time::{Duration, Instant};

pub use aspenloft_core::standing::{Fingerprint, Standing, Verdict};

/// How long a suspicion stands. A caller that sends again does so far sooner.
pub const SUSPICION_TTL: Duration = Duration::from_secs(120);

/// How long a conviction stands. It ends, because an engine may have been mended
/// or a death may have had another cause.
pub const CONVICTION_TTL: Duration = Duration::from_secs(1_800);

/// The most fingerprints that one host remembers; the oldest go first.
pub const MAX_FINGERPRINTS: usize = 4_096;

/// `SuspectRegistry` is a host's knowledge of suspects.
#[derive(Debug, Clone, Default)]
pub struct SuspectRegistry {
    entries: HashMap<Fingerprint, Entry>,
}

#[derive(Debug, Clone, Copy)]
struct Entry {
    standing: Standing,
    since: Instant,
}

impl SuspectRegistry {
    /// Returns what is held against `fingerprint`.
    pub fn standing(&self, fingerprint: Fingerprint, now: Instant) -> Standing {
        match self.entries.get(&fingerprint) {
            Some(entry) if now.saturating_duration_since(entry.since) < life(entry.standing) => {
                entry.standing
            }
            _ => Standing::Clear,
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
        let known = distinct.iter().filter(|f| self.standing(**f, now) == Standing::Suspect);
        let suspects: Vec<Fingerprint> = known.copied().collect();
        let verdicts: Vec<Verdict> = match suspects.as_slice() {
            [only] => vec![Verdict { fingerprint: *only, standing: Standing::Convicted }],
            _ => distinct.iter().map(|f| suspect(*f)).collect(),
        };
        self.merge_verdicts(&verdicts, now);
        verdicts
    }

    /// Takes in verdicts of another host. A conviction is never softened by a
    /// suspicion that arrives late.
    pub fn merge_verdicts(&mut self, verdicts: &[Verdict], now: Instant) {
        for verdict in verdicts {
            let held = self.standing(verdict.fingerprint, now);
            let softened = held == Standing::Convicted && verdict.standing != Standing::Convicted;
            if !softened {
                self.set(*verdict, now);
            }
        }
        self.forget(now);
    }

    /// Clears a suspect that has finished on a server; returns the verdict if its
    /// standing changed.
    pub fn finished(&mut self, fingerprint: Fingerprint, now: Instant) -> Option<Verdict> {
        if self.standing(fingerprint, now) != Standing::Suspect {
            return None;
        }
        let verdict = Verdict { fingerprint, standing: Standing::Clear };
        self.set(verdict, now);
        Some(verdict)
    }

    /// Returns all that is held now, for a host that has just started.
    pub fn verdicts(&self, now: Instant) -> Vec<Verdict> {
        let held = self.entries.keys().map(|f| (*f, self.standing(*f, now)));
        let standing = held.filter(|(_, standing)| *standing != Standing::Clear);
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
        if verdict.standing == Standing::Clear {
            self.entries.remove(&verdict.fingerprint);
            return;
        }
        let entry = Entry { standing: verdict.standing, since: now };
        self.entries.insert(verdict.fingerprint, entry);
    }

    /// Drops what has lapsed, and the oldest beyond the bound.
    fn forget(&mut self, now: Instant) {
        self.entries.retain(|_, e| now.saturating_duration_since(e.since) < life(e.standing));
        while self.entries.len() > MAX_FINGERPRINTS {
            // Suspects go before convictions, and older ones first.
            let oldest = self.entries.iter().min_by_key(|(_, e)| (e.standing, e.since));
            let Some(fingerprint) = oldest.map(|(f, _)| *f) else { return };
            self.entries.remove(&fingerprint);
        }
    }
}

fn suspect(fingerprint: Fingerprint) -> Verdict {
    Verdict { fingerprint, standing: Standing::Suspect }
}

fn life(standing: Standing) -> Duration {
    match standing {
        Standing::Convicted => CONVICTION_TTL,
        _ => SUSPICION_TTL,
    }
}
