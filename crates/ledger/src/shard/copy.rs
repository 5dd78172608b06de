//! The `copy` module is the owner's copy of its shard, as the next write of the head
//! will hold it.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use aspenloft_protocol::platform::Version;

use super::Moment;
use super::writes::InFlight;
use crate::digest::KeyDigest;
use crate::head::{Epoch, Head, Loaded, PageRef};
use crate::record::{Fate, Record};

/// `Copy` is the owner's copy of its shard.
#[derive(Debug)]
pub(super) struct Copy {
    /// Whether a write under this ownership stands.
    pub(super) claimed: bool,
    /// The records as the next write will hold them.
    pub(super) records: HashMap<KeyDigest, Record>,
    /// The keys in sealed pages.
    pub(super) sealed: HashMap<KeyDigest, PageRef>,
    /// Whether the records differ from the head.
    pub(super) dirty: bool,
    /// The operation in flight.
    pub(super) op: Option<InFlight>,
    pub(super) epoch: Epoch,
    pub(super) version: Version,
    pub(super) writes: u64,
    pub(super) pages: Vec<PageRef>,
    pub(super) bytes: usize,
    pub(super) not_before: Option<Instant>,
    /// Pages that may be deleted once a head without them stands.
    pub(super) lapsed: Vec<PageRef>,
}

impl Copy {
    /// Creates the copy of a new owner from what it read.
    pub(super) fn new(epoch: Epoch, loaded: Loaded) -> Copy {
        let mut copy = Copy {
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
            lapsed: Vec::new(),
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

    /// Tells whether the head stands as the copy has it.
    pub(super) fn is_settled(&self) -> bool {
        !self.dirty && self.op.is_none()
    }

    /// Returns the bytes of the head, at most.
    pub(super) fn bytes(&self) -> usize {
        self.bytes
    }

    /// Returns how long until the oldest page may go.
    pub(super) fn room_in(&self, at: Moment) -> Option<Duration> {
        let expires = self.pages.iter().map(|page| page.expires_ms).min()?;
        Some(Duration::from_millis(expires.saturating_sub(at.wall_ms)))
    }

    /// Puts a record in.
    pub(super) fn put(&mut self, record: Record) {
        self.bytes += record.bytes();
        if let Some(old) = self.records.insert(record.key, record) {
            self.bytes -= old.bytes();
        }
    }

    /// Sets the fate of a record; `None` takes it out.
    pub(super) fn settle(&mut self, key: KeyDigest, fate: Option<Fate>) {
        let Some(mut record) = self.records.remove(&key) else { return };
        self.bytes -= record.bytes();
        if let Some(fate) = fate {
            record.fate = fate;
            self.put(record);
        }
    }

    /// Sets the fate of a record that still has an intent.
    pub(super) fn settle_intent(&mut self, key: KeyDigest, fate: Fate) {
        if self.records.get(&key).is_some_and(|record| record.fate == Fate::Intent) {
            self.settle(key, Some(fate));
        }
    }

    /// Asks for a write, not before `when`.
    pub(super) fn mark_dirty(&mut self, when: Instant) {
        if !self.dirty {
            self.not_before = Some(self.not_before.map_or(when, |earliest| earliest.max(when)));
        }
        self.dirty = true;
    }

    /// Drops what may be forgotten.
    pub(super) fn expire(&mut self, at: Moment) {
        let lapsed = self.records.values().filter(|record| record.expires_ms < at.wall_ms);
        let lapsed: Vec<_> = lapsed.map(|record| record.key).collect();
        lapsed.into_iter().for_each(|key| self.settle(key, None));
        let lapsed = |page: &PageRef| page.expires_ms < at.wall_ms;
        if self.pages.iter().any(lapsed) {
            self.lapsed.extend(self.pages.extract_if(.., |page| lapsed(page)));
            self.sealed.retain(|_, page| !lapsed(page));
        }
    }

    /// Makes the head as it should be now.
    pub(super) fn head(&self) -> Box<Head> {
        let mut records: Vec<_> = self.records.values().cloned().collect();
        records.sort_by_key(|record| record.key);
        Box::new(Head { epoch: self.epoch, write: self.writes, pages: self.pages.clone(), records })
    }
}
