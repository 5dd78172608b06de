//! The `summaries` module stores the summaries of all data centres, including the
//! host's own.
//!
//! A partitioned data centre has two authors. Both summaries count, since the hosts
//! of both sides are live to a host outside that receives both.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use aspenloft_core::prelude::{BackendRole, Name};
use aspenloft_protocol::peer::membership::{GroupDigest, RecordKey, Stamp, Summary};

use crate::records::record_key;

/// The maximum number of summaries stored; at the limit the oldest is evicted.
pub const MAX_SUMMARIES: usize = 64;

/// `StoredSummary` is a summary with the time at which it was written, by this
/// host's clock.
#[derive(Debug, Clone)]
pub struct StoredSummary {
    /// The summary as received, with its age at that time.
    pub summary: Summary,
    /// When its author wrote it.
    pub written: Instant,
}

impl StoredSummary {
    fn stamp(&self) -> Stamp {
        let key = record_key(&self.summary.author, self.summary.incarnation);
        Stamp { key, seq: self.summary.seq }
    }

    fn with_current_age(&self, now: Instant) -> Summary {
        let mut summary = self.summary.clone();
        summary.age = now.saturating_duration_since(self.written);
        summary
    }
}

/// `Summaries` holds the newest summary of each author.
#[derive(Debug, Default)]
pub struct Summaries {
    by_author: BTreeMap<Name, StoredSummary>,
}

impl Summaries {
    /// Stores `summary` if it is newer than the copy held; returns whether it was.
    pub fn merge(&mut self, summary: Summary, now: Instant) -> bool {
        let written = now.checked_sub(summary.age).unwrap_or(now);
        let known = self.by_author.get(&summary.author);
        let newer = known.is_none_or(|known| {
            let held = &known.summary;
            (summary.incarnation, summary.seq) > (held.incarnation, held.seq)
        });
        if !newer {
            return false;
        }
        if self.by_author.len() >= MAX_SUMMARIES && known.is_none() {
            self.evict_oldest();
        }
        self.by_author.insert(summary.author.clone(), StoredSummary { summary, written });
        true
    }

    /// Returns the summaries that are at most `max_age` old.
    pub fn fresh(&self, max_age: Duration, now: Instant) -> impl Iterator<Item = &StoredSummary> {
        let all = self.by_author.values();
        all.filter(move |stored| now.saturating_duration_since(stored.written) <= max_age)
    }

    /// Returns the stamps of the summaries that are at most `max_age` old.
    pub fn stamps(&self, max_age: Duration, now: Instant) -> Vec<Stamp> {
        self.fresh(max_age, now).map(StoredSummary::stamp).collect()
    }

    /// Returns the summaries that are at most `max_age` old and newer than in `known`.
    pub fn newer_than(&self, known: &[Stamp], max_age: Duration, now: Instant) -> Vec<Summary> {
        let newer = self.fresh(max_age, now).filter(|stored| {
            let held = stored.stamp();
            !known.iter().any(|stamp| stamp.key == held.key && stamp.seq >= held.seq)
        });
        newer.map(|stored| stored.with_current_age(now)).collect()
    }

    /// Returns the keys in `known` of which no copy or only an older one is held.
    pub fn outdated_keys(&self, known: &[Stamp]) -> Vec<RecordKey> {
        let newer = known.iter().filter(|stamp| {
            let mut held = self.by_author.values().map(StoredSummary::stamp);
            !held.any(|held| held.key == stamp.key && held.seq >= stamp.seq)
        });
        newer.map(|stamp| stamp.key).collect()
    }

    /// Returns the summaries with these keys.
    pub fn with_keys(&self, keys: &[RecordKey], now: Instant) -> Vec<Summary> {
        let requested = self.by_author.values().filter(|stored| keys.contains(&stored.stamp().key));
        requested.map(|stored| stored.with_current_age(now)).collect()
    }

    /// Drops the summaries older than `max_age`.
    pub fn expire(&mut self, max_age: Duration, now: Instant) {
        self.by_author.retain(|_, stored| now.saturating_duration_since(stored.written) <= max_age);
    }

    /// Returns the newest group of the servers of `data_centre` that serve `serves` in
    /// the role `role`, and its age.
    pub fn group(
        &self,
        data_centre: &str,
        serves: &str,
        role: BackendRole,
        now: Instant,
    ) -> Option<(&GroupDigest, Duration)> {
        let of_data_centre =
            self.by_author.values().filter(|k| *k.summary.data_centre == *data_centre);
        let newest = of_data_centre.max_by_key(|stored| stored.written)?;
        let mut groups = newest.summary.groups.iter();
        let group = groups.find(|group| group.role == role && *group.serves == *serves)?;
        Some((group, now.saturating_duration_since(newest.written)))
    }

    fn evict_oldest(&mut self) {
        let oldest = self.by_author.values().min_by_key(|stored| stored.written);
        if let Some(author) = oldest.map(|stored| stored.summary.author.clone()) {
            self.by_author.remove(&author);
        }
    }
}
