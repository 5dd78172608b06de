//! The `copy` module defines the owner's copy of its shard, which is the state that
//! the next write of the head will store.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use aspenloft_protocol::platform::Version;

use super::Moment;
use super::writes::InFlight;
use crate::digest::KeyDigest;
use crate::head::{Epoch, Head, PageRef, StoredShard};
use crate::record::{Fate, Record};

/// `ShardCopy` is the owner's copy of its shard.
#[derive(Debug)]
pub(super) struct ShardCopy {
    /// Whether a write under this ownership is committed.
    pub(super) claimed: bool,
    /// The records that the next write will store.
    pub(super) records: HashMap<KeyDigest, Record>,
    /// The keys in sealed pages.
    pub(super) sealed: HashMap<KeyDigest, PageRef>,
    /// Whether the records may differ from the head.
    pub(super) dirty: bool,
    /// The operation in flight.
    pub(super) op: Option<InFlight>,
    pub(super) epoch: Epoch,
    /// The version of the head that the next write replaces.
    pub(super) version: Version,
    /// The number of writes under this ownership, of the head and of pages.
    pub(super) writes: u64,
    pub(super) pages: Vec<PageRef>,
    /// An upper bound for the size of the records in JSON, in bytes.
    pub(super) bytes: usize,
    /// When the next write may start.
    pub(super) not_before: Option<Instant>,
    /// Pages that may be deleted once a head without them is committed.
    pub(super) expired_pages: Vec<PageRef>,
}

impl ShardCopy {
    /// Creates the copy of a new owner from what it read.
    pub(super) fn new(epoch: Epoch, loaded: StoredShard) -> ShardCopy {
        let mut copy = ShardCopy {
            claimed: false,
            records: HashMap::new(),
            sealed: loaded.sealed.into_iter().collect(),
            dirty: false,
            op: None,
            epoch,
            version: loaded.version,
            writes: 0,
            pages: Vec::new(),
            bytes: 0,
            not_before: None,
            expired_pages: Vec::new(),
        };
        if let Some(head) = loaded.head {
            copy.pages = head.pages;
            head.records.into_iter().for_each(|record| copy.put(record));
        }
        copy
    }

    /// Returns the ownership under which the copy was read.
    pub(super) fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Returns whether the head holds all of the copy.
    pub(super) fn is_persisted(&self) -> bool {
        !self.dirty && self.op.is_none()
    }

    /// Returns an upper bound for the size of the records in JSON, in bytes.
    pub(super) fn bytes(&self) -> usize {
        self.bytes
    }

    /// Returns the time until the first page expires.
    pub(super) fn time_until_space(&self, at: Moment) -> Option<Duration> {
        let expires = self.pages.iter().map(|page| page.expires_ms).min()?;
        Some(Duration::from_millis(expires.saturating_sub(at.wall_ms)))
    }

    /// Adds or replaces a record.
    pub(super) fn put(&mut self, record: Record) {
        self.bytes += record.bytes();
        if let Some(old) = self.records.insert(record.key, record) {
            self.bytes -= old.bytes();
        }
    }

    /// Sets the fate of a record; `None` removes the record.
    pub(super) fn set_fate(&mut self, key: KeyDigest, fate: Option<Fate>) {
        let Some(mut record) = self.records.remove(&key) else { return };
        self.bytes -= record.bytes();
        if let Some(fate) = fate {
            record.fate = fate;
            self.put(record);
        }
    }

    /// Sets the fate of a record if it is still an intent.
    pub(super) fn resolve_intent(&mut self, key: KeyDigest, fate: Fate) {
        if self.records.get(&key).is_some_and(|record| record.fate == Fate::Intent) {
            self.set_fate(key, Some(fate));
        }
    }

    /// Requests a write, not before `when`. A write that is already requested keeps its
    /// time.
    pub(super) fn mark_dirty(&mut self, when: Instant) {
        if !self.dirty {
            self.not_before = Some(self.not_before.map_or(when, |earliest| earliest.max(when)));
        }
        self.dirty = true;
    }

    /// Drops the expired records and pages.
    pub(super) fn expire(&mut self, at: Moment) {
        let expired = self.records.values().filter(|record| record.expires_ms < at.wall_ms);
        let expired: Vec<_> = expired.map(|record| record.key).collect();
        expired.into_iter().for_each(|key| self.set_fate(key, None));
        let expired = |page: &PageRef| page.expires_ms < at.wall_ms;
        if self.pages.iter().any(expired) {
            self.expired_pages.extend(self.pages.extract_if(.., |page| expired(page)));
            self.sealed.retain(|_, page| !expired(page));
        }
    }

    /// Returns the head to be written.
    pub(super) fn head(&self) -> Box<Head> {
        let mut records: Vec<_> = self.records.values().cloned().collect();
        records.sort_by_key(|record| record.key);
        Box::new(Head { epoch: self.epoch, write: self.writes, pages: self.pages.clone(), records })
    }
}
