//! The `records` module keeps the newest record of each host of one's own data
//! centre.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use aspenloft_core::prelude::Name;
use aspenloft_protocol::peer::membership::{HostRecord, RecordKey, Stamp};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The most records kept; beyond it the oldest is forgotten first.
pub const MAX_RECORDS: usize = 1_024;

/// Returns the key of one life of the host `name`.
pub fn record_key(name: &str, incarnation: u64) -> RecordKey {
    (xxh3_64_with_seed(name.as_bytes(), incarnation) >> 32) as u32
}

/// `Kept` is a record with the time at which it was written, by this host's clock.
#[derive(Debug, Clone)]
pub struct Kept {
    /// The record.
    pub record: HostRecord,
    /// When it was written.
    pub written: Instant,
    /// When this life of the host was first heard.
    pub first_heard: Instant,
}

impl Kept {
    fn stamp(&self) -> Stamp {
        let key = record_key(&self.record.host.name, self.record.incarnation);
        Stamp { key, seq: self.record.seq }
    }

    /// Returns a copy to pass on, with its age brought up to date.
    fn to_pass_on(&self, now: Instant) -> HostRecord {
        let mut record = self.record.clone();
        record.age = now.saturating_duration_since(self.written);
        record
    }
}

/// `Records` is the newest record of each host.
#[derive(Debug, Default)]
pub struct Records {
    by_name: BTreeMap<Name, Kept>,
}

impl Records {
    /// Takes `record` in if it is newer than the copy known; tells whether it was.
    pub fn merge(&mut self, record: HostRecord, now: Instant) -> bool {
        let written = now.checked_sub(record.age).unwrap_or(now);
        let known = self.by_name.get(&record.host.name);
        let newer = known.is_none_or(|known| {
            (record.incarnation, record.seq) > (known.record.incarnation, known.record.seq)
        });
        if !newer {
            return false;
        }
        let same_life = known.filter(|known| known.record.incarnation == record.incarnation);
        let first_heard = same_life.map_or(now, |known| known.first_heard);
        if self.by_name.len() >= MAX_RECORDS && known.is_none() {
            self.forget_oldest();
        }
        let name = record.host.name.clone();
        self.by_name.insert(name, Kept { record, written, first_heard });
        true
    }

    /// Returns the record of `name`.
    pub fn get(&self, name: &str) -> Option<&Kept> {
        self.by_name.get(name)
    }

    /// Returns all records.
    pub fn iter(&self) -> impl Iterator<Item = &Kept> {
        self.by_name.values()
    }

    /// Returns the stamps of the records younger than `life`.
    pub fn stamps(&self, life: Duration, now: Instant) -> Vec<Stamp> {
        self.young(life, now).map(Kept::stamp).collect()
    }

    /// Returns the records younger than `life` that are newer than in `known`.
    pub fn newer_than(&self, known: &[Stamp], life: Duration, now: Instant) -> Vec<HostRecord> {
        let lacking = self.young(life, now).filter(|kept| {
            let mine = kept.stamp();
            !known.iter().any(|stamp| stamp.key == mine.key && stamp.seq >= mine.seq)
        });
        lacking.map(|kept| kept.to_pass_on(now)).collect()
    }

    /// Returns the keys in `known` that are newer than the copies here.
    pub fn lacking(&self, known: &[Stamp]) -> Vec<RecordKey> {
        let have: BTreeMap<RecordKey, u32> =
            self.by_name.values().map(|kept| (kept.stamp().key, kept.stamp().seq)).collect();
        let newer =
            known.iter().filter(|stamp| have.get(&stamp.key).is_none_or(|s| *s < stamp.seq));
        newer.map(|stamp| stamp.key).collect()
    }

    /// Returns the records with these keys.
    pub fn with_keys(&self, keys: &[RecordKey], now: Instant) -> Vec<HostRecord> {
        let asked = self.by_name.values().filter(|kept| keys.contains(&kept.stamp().key));
        asked.map(|kept| kept.to_pass_on(now)).collect()
    }

    /// Forgets records older than `life`.
    pub fn expire(&mut self, life: Duration, now: Instant) {
        self.by_name.retain(|_, kept| now.saturating_duration_since(kept.written) <= life);
    }

    fn young(&self, life: Duration, now: Instant) -> impl Iterator<Item = &Kept> {
        let all = self.by_name.values();
        all.filter(move |kept| now.saturating_duration_since(kept.written) <= life)
    }

    fn forget_oldest(&mut self) {
        let oldest = self.by_name.values().min_by_key(|kept| kept.written);
        if let Some(name) = oldest.map(|kept| kept.record.host.name.clone()) {
            self.by_name.remove(&name);
        }
    }
}
