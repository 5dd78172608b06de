//! The `summaries` module keeps what the other data centres say of themselves.
//!
//! A data centre that is cut in two has two authors; both summaries count, for
//! the hosts of both halves are live to an outsider that hears both.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use aspenloft_core::prelude::{BackendRole, Name};
use aspenloft_protocol::peer::membership::{GroupDigest, RecordKey, Stamp, Summary};

use crate::records::record_key;

/// The most summaries kept; beyond it the oldest is forgotten first.
pub const MAX_SUMMARIES: usize = 64;

/// `KeptSummary` is a summary with the time at which it was written, by this
/// host's clock.
#[derive(Debug, Clone)]
pub struct KeptSummary {
    /// The summary.
    pub summary: Summary,
    /// When it was written.
    pub written: Instant,
}

impl KeptSummary {
    fn stamp(&self) -> Stamp {
        let key = record_key(&self.summary.author, self.summary.incarnation);
        Stamp { key, seq: self.summary.seq }
    }

    fn to_pass_on(&self, now: Instant) -> Summary {
        let mut summary = self.summary.clone();
        summary.age = now.saturating_duration_since(self.written);
        summary
    }
}

/// `Summaries` is the newest summary of each author.
#[derive(Debug, Default)]
pub struct Summaries {
    by_author: BTreeMap<Name, KeptSummary>,
}

impl Summaries {
    /// Takes `summary` in if it is newer than the copy known; tells whether it was.
    pub fn merge(&mut self, summary: Summary, now: Instant) -> bool {
        let written = now.checked_sub(summary.age).unwrap_or(now);
        let known = self.by_author.get(&summary.author);
        let newer = known.is_none_or(|known| {
            let have = &known.summary;
            (summary.incarnation, summary.seq) > (have.incarnation, have.seq)
        });
        if !newer {
            return false;
        }
        if self.by_author.len() >= MAX_SUMMARIES && known.is_none() {
            self.forget_oldest();
        }
        self.by_author.insert(summary.author.clone(), KeptSummary { summary, written });
        true
    }

    /// Returns the summaries younger than `life`.
    pub fn young(&self, life: Duration, now: Instant) -> impl Iterator<Item = &KeptSummary> {
        let all = self.by_author.values();
        all.filter(move |kept| now.saturating_duration_since(kept.written) <= life)
    }

    /// Returns the stamps of the summaries younger than `life`.
    pub fn stamps(&self, life: Duration, now: Instant) -> Vec<Stamp> {
        self.young(life, now).map(KeptSummary::stamp).collect()
    }

    /// Returns the summaries younger than `life` that are newer than in `known`.
    pub fn newer_than(&self, known: &[Stamp], life: Duration, now: Instant) -> Vec<Summary> {
        let lacking = self.young(life, now).filter(|kept| {
            let mine = kept.stamp();
            !known.iter().any(|stamp| stamp.key == mine.key && stamp.seq >= mine.seq)
        });
        lacking.map(|kept| kept.to_pass_on(now)).collect()
    }

    /// Returns the keys in `known` that are newer than the copies here.
    pub fn lacking(&self, known: &[Stamp]) -> Vec<RecordKey> {
        let newer = known.iter().filter(|stamp| {
            let mut mine = self.by_author.values().map(KeptSummary::stamp);
            !mine.any(|mine| mine.key == stamp.key && mine.seq >= stamp.seq)
        });
        newer.map(|stamp| stamp.key).collect()
    }

    /// Returns the summaries with these keys.
    pub fn with_keys(&self, keys: &[RecordKey], now: Instant) -> Vec<Summary> {
        let asked = self.by_author.values().filter(|kept| keys.contains(&kept.stamp().key));
        asked.map(|kept| kept.to_pass_on(now)).collect()
    }

    /// Forgets summaries older than `life`.
    pub fn expire(&mut self, life: Duration, now: Instant) {
        self.by_author.retain(|_, kept| now.saturating_duration_since(kept.written) <= life);
    }

    /// Returns the newest sum of the servers of `data_centre` that do this work,
    /// and its age.
    pub fn group(
        &self,
        data_centre: &str,
        serves: &str,
        role: BackendRole,
        now: Instant,
    ) -> Option<(&GroupDigest, Duration)> {
        let of_place = self.by_author.values().filter(|k| *k.summary.data_centre == *data_centre);
        let newest = of_place.max_by_key(|kept| kept.written)?;
        let mut groups = newest.summary.groups.iter();
        let group = groups.find(|group| group.role == role && *group.serves == *serves)?;
        Some((group, now.saturating_duration_since(newest.written)))
    }

    fn forget_oldest(&mut self) {
        let oldest = self.by_author.values().min_by_key(|kept| kept.written);
        if let Some(author) = oldest.map(|kept| kept.summary.author.clone()) {
            self.by_author.remove(&author);
        }
    }
}
