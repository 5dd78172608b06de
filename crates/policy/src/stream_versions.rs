//! The `stream_versions` module remembers which version of the engines' software began
//! each stream, because a stream may only go on at that version.
//!
//! A caller may take a stream up at any host, also after the host that began it has
//! stopped. Hosts therefore send each other a record of each stream that they begin.
//! `docs/design/stream-versions.md` gives the costs and bounds.

use std::collections::{BTreeSet, HashMap, VecDeque};
use std::time::{Duration, Instant};

use aspenloft_core::prelude::Name;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// How long a record is kept after its stream began or was taken up. Callers give a stream
/// up long before.
const RETENTION: Duration = Duration::from_secs(60);

/// The maximum number of records, the oldest of which are dropped.
const MAX_RECORDS: usize = 32_768;

/// The maximum number of records that wait to be sent, the oldest of which are dropped.
const MAX_UNSENT: usize = 4_096;

/// How often a record is sent to each host. Datagrams are lost occasionally.
const SENDS: u8 = 2;

/// `VersionTag` is a hash of the version of a server's software.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct VersionTag(u32);

impl VersionTag {
    /// The tag of an unknown version, at which no stream goes on.
    pub const UNKNOWN: VersionTag = VersionTag(0);

    /// Returns the tag of `version`, which is empty if it is unknown.
    pub fn of(version: &str) -> VersionTag {
        match version {
            "" => VersionTag::UNKNOWN,
            _ => VersionTag((xxh3_64(version.as_bytes()) as u32).max(1)),
        }
    }

    /// Returns whether a stream that began at this version may go on at `other`.
    pub fn continues_at(self, other: VersionTag) -> bool {
        self == other && self != VersionTag::UNKNOWN
    }
}

/// Returns the key of the stream of `service` that the attempt `first` began.
pub fn stream_key(service: &str, first: &str) -> u64 {
    xxh3_64_with_seed(first.as_bytes(), xxh3_64(service.as_bytes()))
}

/// `StreamRecord` is what hosts tell each other of one stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamRecord {
    /// The key of the stream; see [`stream_key`].
    pub key: u64,
    /// The version at which it began.
    pub version: VersionTag,
}

/// `Scope` is a set of hosts that records are sent to together.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Scope {
    /// The hosts of the sender's group.
    Group,
    /// All hosts.
    All,
}

/// A record of this host with the number of times that it is still to be sent.
#[derive(Debug)]
struct Unsent {
    record: StreamRecord,
    group: u8,
    all: u8,
}

/// When and where a record was made.
#[derive(Debug, Clone, Copy)]
struct Recorded {
    at: Instant,
    key: u64,
    origin: Origin,
}

/// `Origin` is where a record was made.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Origin {
    /// In this host's data centre.
    Near,
    /// In another data centre, or before this host started.
    Far,
}

/// `StreamTable` holds the records of the streams that any host began.
#[derive(Debug, Default)]
pub struct StreamTable {
    versions: HashMap<u64, (VersionTag, Instant)>,
    /// The keys in the order of their times. A key that was recorded again comes twice.
    order: VecDeque<Recorded>,
    unsent: VecDeque<Unsent>,
}

impl StreamTable {
    /// Records a stream that this host began or took up, to be sent to the others.
    pub fn record_own(&mut self, record: StreamRecord, now: Instant) {
        if self.record(record, Origin::Near, now) {
            if self.unsent.len() >= MAX_UNSENT {
                self.unsent.pop_front();
            }
            self.unsent.push_back(Unsent { record, group: SENDS, all: SENDS });
        }
    }

    /// Records a stream and returns whether the record is valid. The first record of a
    /// stream stays, so that another request with the same id cannot change it.
    pub fn record(&mut self, record: StreamRecord, origin: Origin, now: Instant) -> bool {
        if record.version == VersionTag::UNKNOWN {
            return false;
        }
        self.evict(now);
        let known = self.versions.entry(record.key).or_insert((record.version, now));
        if known.0 != record.version {
            return false;
        }
        known.1 = now;
        self.order.push_back(Recorded { at: now, key: record.key, origin });
        true
    }

    /// Returns the version at which the stream with `key` began.
    pub fn version(&self, key: u64) -> Option<VersionTag> {
        self.versions.get(&key).map(|(version, _)| *version)
    }

    /// Returns up to `max` records to be sent to the hosts in `scope`, the oldest first.
    pub fn take_unsent(&mut self, scope: Scope, max: usize) -> Vec<StreamRecord> {
        let mut taken = Vec::new();
        for unsent in &mut self.unsent {
            let due = match scope {
                Scope::Group => unsent.group,
                Scope::All => unsent.all,
            };
            if due == 0 || taken.len() >= max {
                continue;
            }
            taken.push(unsent.record);
            unsent.group = unsent.group.saturating_sub(1);
            if scope == Scope::All {
                unsent.all -= 1;
            }
        }
        while self.unsent.front().is_some_and(|unsent| unsent.all == 0) {
            self.unsent.pop_front();
        }
        taken
    }

    /// Returns the records that were made or renewed after `after` in this host's data centre,
    /// the newest first, and the time of the newest record.
    pub fn recorded_since(&self, after: Instant) -> (Vec<StreamRecord>, Option<Instant>) {
        let recent = self.order.iter().rev().take_while(|recorded| recorded.at > after);
        let near = recent.filter(|recorded| recorded.origin == Origin::Near);
        let records = near.filter_map(|Recorded { key, .. }| {
            Some(StreamRecord { key: *key, version: self.version(*key)? })
        });
        (records.collect(), self.order.back().map(|newest| newest.at).filter(|at| *at > after))
    }

    fn evict(&mut self, now: Instant) {
        while let Some(Recorded { at, key, .. }) = self.order.front().copied() {
            let expired = now.saturating_duration_since(at) > RETENTION;
            if !expired && self.order.len() < MAX_RECORDS {
                return;
            }
            self.order.pop_front();
            if self.versions.get(&key).is_some_and(|(_, recorded)| *recorded <= at) {
                self.versions.remove(&key);
            }
        }
    }
}

/// `VersionHistory` knows since when each service has had servers of a single version.
///
/// Where that is longer than any stream lasts, all streams began at that version.
#[derive(Debug, Default)]
pub struct VersionHistory {
    services: HashMap<Name, ServiceVersions>,
}

/// The versions of the servers of one service.
#[derive(Debug)]
struct ServiceVersions {
    versions: BTreeSet<VersionTag>,
    since: Instant,
    /// Whether there were others before.
    has_changed: bool,
}

impl VersionHistory {
    /// Records the versions of the servers that are listed now, by service.
    pub fn observe(&mut self, listed: HashMap<Name, BTreeSet<VersionTag>>, now: Instant) {
        self.services.retain(|service, _| listed.contains_key(service));
        for (service, versions) in listed {
            let known = self.services.entry(service).or_insert_with(|| ServiceVersions {
                versions: versions.clone(),
                since: now,
                has_changed: false,
            });
            if known.versions != versions {
                *known = ServiceVersions { versions, since: now, has_changed: true };
            }
        }
    }

    /// Returns the services that have servers of several versions or had them within the
    /// period that `period` gives for a service.
    pub fn mixed(&self, period: impl Fn(&Name) -> Duration, now: Instant) -> Vec<Name> {
        let is_mixed = |name: &Name, known: &ServiceVersions| {
            let recent = now.saturating_duration_since(known.since) < period(name);
            known.versions.len() > 1 || (known.has_changed && recent)
        };
        let mixed = self.services.iter().filter(|(name, known)| is_mixed(name, known));
        mixed.map(|(name, _)| name.clone()).collect()
    }

    /// Returns the version of `service` if it has had no other for `period`.
    pub fn only_version(
        &self,
        service: &str,
        period: Duration,
        now: Instant,
    ) -> Option<VersionTag> {
        let known = self.services.get(service)?;
        let only = known.versions.first().filter(|_| known.versions.len() == 1)?;
        let long = now.saturating_duration_since(known.since) >= period;
        (long && *only != VersionTag::UNKNOWN).then_some(*only)
    }
}
