//! The `records` module stores the newest record of each host in the local data
//! centre.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use aspenloft_core::prelude::Name;
use aspenloft_protocol::peer::membership::{HostRecord, RecordKey, Stamp};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The maximum number of records stored; at the limit the oldest is evicted.
pub const MAX_RECORDS: usize = 1_024;

/// Returns the key of one incarnation of the host `name`.
pub fn record_key(name: &str, incarnation: u64) -> RecordKey {
    (xxh3_64_with_seed(name.as_bytes(), incarnation) >> 32) as u32
}

/// `StoredRecord` is a record with the time at which it was written, by this host's clock.
#[derive(Debug, Clone)]
pub struct StoredRecord {
    /// The record as received, with its age at that time.
    pub record: HostRecord,
    /// When its host wrote it.
    pub written: Instant,
    /// When a record of this incarnation of the host first arrived.
    pub first_received: Instant,
}

impl StoredRecord {
    fn stamp(&self) -> Stamp {
        let key = record_key(&self.record.host.name, self.record.incarnation);
        Stamp { key, seq: self.record.seq }
    }

    /// Returns a copy to forward, with its age as of `now`.
    fn with_current_age(&self, now: Instant) -> HostRecord {
        let mut record = self.record.clone();
        record.age = now.saturating_duration_since(self.written);
        record
    }
}

/// `Records` holds the newest record of each host.
#[derive(Debug, Default)]
pub struct Records {
    by_name: BTreeMap<Name, StoredRecord>,
}

impl Records {
    /// Stores `record` if it is newer than the copy held; returns whether it was.
    pub fn merge(&mut self, record: HostRecord, now: Instant) -> bool {
        let written = now.checked_sub(record.age).unwrap_or(now);
        let known = self.by_name.get(&record.host.name);
        let newer = known.is_none_or(|known| {
            (record.incarnation, record.seq) > (known.record.incarnation, known.record.seq)
        });
        if !newer {
            return false;
        }
        let same_incarnation = known.filter(|known| known.record.incarnation == record.incarnation);
        let first_received = same_incarnation.map_or(now, |known| known.first_received);
        if self.by_name.len() >= MAX_RECORDS && known.is_none() {
            self.evict_oldest();
        }
        let name = record.host.name.clone();
        self.by_name.insert(name, StoredRecord { record, written, first_received });
        true
    }

    /// Returns the record of the host `name`.
    pub fn get(&self, name: &str) -> Option<&StoredRecord> {
        self.by_name.get(name)
    }

    /// Returns all records, including old ones that have not been dropped yet.
    pub fn iter(&self) -> impl Iterator<Item = &StoredRecord> {
        self.by_name.values()
    }

    /// Returns the stamps of the records that are at most `max_age` old.
    pub fn stamps(&self, max_age: Duration, now: Instant) -> Vec<Stamp> {
        self.fresh(max_age, now).map(StoredRecord::stamp).collect()
    }

    /// Returns the records that are at most `max_age` old and newer than in `known`.
    pub fn newer_than(&self, known: &[Stamp], max_age: Duration, now: Instant) -> Vec<HostRecord> {
        let newer = self.fresh(max_age, now).filter(|stored| {
            let held = stored.stamp();
            !known.iter().any(|stamp| stamp.key == held.key && stamp.seq >= held.seq)
        });
        newer.map(|stored| stored.with_current_age(now)).collect()
    }

    /// Returns the keys in `known` of which no copy or only an older one is held.
    pub fn outdated_keys(&self, known: &[Stamp]) -> Vec<RecordKey> {
        let held: BTreeMap<RecordKey, u32> =
            self.by_name.values().map(|stored| (stored.stamp().key, stored.stamp().seq)).collect();
        let newer =
            known.iter().filter(|stamp| held.get(&stamp.key).is_none_or(|seq| *seq < stamp.seq));
        newer.map(|stamp| stamp.key).collect()
    }

    /// Returns the records with these keys.
    pub fn with_keys(&self, keys: &[RecordKey], now: Instant) -> Vec<HostRecord> {
        let requested = self.by_name.values().filter(|stored| keys.contains(&stored.stamp().key));
        requested.map(|stored| stored.with_current_age(now)).collect()
    }

    /// Drops the records older than `max_age`.
    pub fn expire(&mut self, max_age: Duration, now: Instant) {
        self.by_name.retain(|_, stored| now.saturating_duration_since(stored.written) <= max_age);
    }

    fn fresh(&self, max_age: Duration, now: Instant) -> impl Iterator<Item = &StoredRecord> {
        let all = self.by_name.values();
        all.filter(move |stored| now.saturating_duration_since(stored.written) <= max_age)
    }

    fn evict_oldest(&mut self) {
        let oldest = self.by_name.values().min_by_key(|stored| stored.written);
        if let Some(name) = oldest.map(|stored| stored.record.host.name.clone()) {
            self.by_name.remove(&name);
        }
    }
}
