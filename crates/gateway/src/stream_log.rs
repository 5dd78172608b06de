//! The `stream_log` module keeps the versions at which streams began in the key-value service,
//! while a service has engines of several versions, so that streams can be taken up after all
//! hosts have restarted at once.
//!
//! One host of each data centre, the keeper, writes what the digests of the others there tell
//! it, until another host says that it does. Hosts that have forgotten everything read the log
//! when a caller takes a stream up. `docs/design/stream-versions.md` gives the costs and bounds.

use std::collections::HashMap;
use std::time::{Duration, Instant, SystemTime};

use aspenloft_core::errors::{Result, internal, invalid, unavailable};
use aspenloft_core::prelude::{Arc, Era, Name, SharedClock};
use aspenloft_policy::duty::{DutyElection, DutyState};
use aspenloft_policy::stream_versions::{Origin, StreamRecord, VersionTag};
use aspenloft_protocol::platform::{KeyValue, LeaseId, Put, Swap, Version};
use async_std::future::timeout;
use async_std::sync::Mutex as AsyncMutex;
use async_std::task;
use async_trait::async_trait;
use futures::future::join;
use parking_lot::Mutex;

use crate::peers::Peers;
use crate::shutdown::ExitHook;
use crate::stream_versions::StreamVersions;
use crate::sync::ViewConfirmer;

/// The key prefix of the log.
const LOG_PREFIX: &str = "aspenloft/streams/";

/// The key prefix of the segments of the log, each with the records of a short time.
const SEGMENT_PREFIX: &str = "aspenloft/streams/log/";

/// The key prefix of the marks of services that have, or lately had, several versions. Marks
/// have no lease: they end when a host has seen a single version for long enough.
const MIXED_PREFIX: &str = "aspenloft/streams/mixed/";

/// How often new records are written.
const WRITE_INTERVAL: Duration = Duration::from_millis(250);

/// The maximum number of segments of one host, which are overwritten in turn.
const MAX_SEGMENTS: usize = 256;

/// The number of segments beyond those that are written while a stream lasts.
const SPARE_SEGMENTS: usize = 8;

/// The timeout of the calls of one interval: five calls of a slow service.
const WRITE_TIMEOUT: Duration = Duration::from_millis(2_500);

/// The number of intervals in a row that may fail before another host is to write.
const MAX_FAILURES: u32 = 2;

/// The maximum number of records in one segment.
const MAX_SEGMENT_RECORDS: usize = 4_096;

/// The duration of the lease on the segments, which starts anew with each renewal.
const LEASE_TTL: Duration = Duration::from_secs(60);

/// How often the lease is renewed while records are written.
const RENEWAL_INTERVAL: Duration = Duration::from_secs(15);

/// How long it takes until a digest has been sent.
const DIGEST_TIME: Duration = Duration::from_millis(20);

/// How long what was read of the log is used before it is read again.
const READ_INTERVAL: Duration = Duration::from_millis(500);

/// The timeout for reading the log while a caller waits.
const READ_TIMEOUT: Duration = Duration::from_millis(800);

/// `StreamLog` writes and reads the log.
pub struct StreamLog {
    kv: Arc<dyn KeyValue>,
    confirmer: Arc<dyn ViewConfirmer>,
    peers: Arc<Peers>,
    streams: Arc<StreamVersions>,
    clock: SharedClock,
    /// The prefix of this process's segments.
    segment_prefix: String,
    /// The services that were marked when the log was last read or written.
    mixed: Mutex<HashMap<Name, Mark>>,
    keeper: AsyncMutex<Keeper>,
    /// When the log was last read. It is held while the log is being read.
    read_at: AsyncMutex<Option<ReadTime>>,
}

/// When the log was read, by two clocks: the steady one does not count the time for which the
/// host is suspended.
#[derive(Debug, Clone, Copy)]
struct ReadTime {
    steady: Instant,
    wall: SystemTime,
}

impl ReadTime {
    fn now(clock: &SharedClock) -> ReadTime {
        ReadTime { steady: clock.now(), wall: clock.system_time() }
    }

    /// Returns whether less than `period` has passed until `now`, by both clocks.
    fn is_within(self, period: Duration, now: ReadTime) -> bool {
        now.steady.saturating_duration_since(self.steady) < period
            && now.wall.duration_since(self.wall).is_ok_and(|passed| passed < period)
    }
}

/// The mark of a service that has, or lately had, several versions.
#[derive(Debug, Clone, Copy)]
struct Mark {
    /// The position at which it was written.
    version: Version,
    /// Since when this host knows of it.
    known_since: Instant,
}

/// This host's part in keeping the log.
#[derive(Debug, Default)]
struct Keeper {
    election: DutyElection,
    /// The era in which the marks were read since this host became the keeper.
    era: Option<Era>,
    writer: Option<Writer>,
    /// The number of intervals in a row that failed.
    failures: u32,
}

/// The state of the segments that a keeper writes.
#[derive(Debug)]
struct Writer {
    lease: LeaseId,
    renewed_at: Instant,
    /// The time of the newest record that has been written.
    written_until: Instant,
    segments: usize,
    next_segment: usize,
    versions: HashMap<usize, Version>,
}

impl StreamLog {
    /// Creates the log as the host of `peers` writes and reads it.
    pub fn new(
        kv: Arc<dyn KeyValue>,
        confirmer: Arc<dyn ViewConfirmer>,
        peers: Arc<Peers>,
        streams: Arc<StreamVersions>,
        clock: SharedClock,
    ) -> Arc<StreamLog> {
        let (host, born_ms) = (&peers.local_host().name, peers.born_ms());
        let segment_prefix = format!("{SEGMENT_PREFIX}{host}-{born_ms}/");
        let (mixed, keeper, read_at) = Default::default();
        Arc::new(StreamLog {
            kv,
            confirmer,
            peers,
            streams,
            clock,
            segment_prefix,
            mixed,
            keeper,
            read_at,
        })
    }

    /// Returns the version at which the stream of `service` with `key` began: what a host of
    /// this deployment has written, or the only version of the service.
    pub async fn find(&self, service: &Name, key: u64) -> Result<Option<VersionTag>> {
        let read = timeout(READ_TIMEOUT, self.read_again()).await;
        read.map_err(|_| unavailable("the log of streams was not read in time"))??;
        match self.streams.recorded(key) {
            Some(version) => Ok(Some(version)),
            None => self.only_version(service).await,
        }
    }

    /// Returns the version of `service` if all streams that callers may take up now began at
    /// it: the service has no other now, and neither this host nor a mark in the key-value
    /// service knows of another one lately. Both are looked up after the call, since this host
    /// may have been out of touch before.
    pub async fn only_version(&self, service: &Name) -> Result<Option<VersionTag>> {
        if self.is_mixed(service) {
            return Ok(None);
        }
        let key = mark_key(service);
        let looked_up = join(self.confirmer.confirm(self.clock.now()), self.kv.get(&key));
        let (confirmed, mark) = timeout(READ_TIMEOUT, looked_up)
            .await
            .map_err(|_| unavailable("the versions of a service were not read in time"))?;
        confirmed?;
        if let Some(item) = mark? {
            self.learn_mark(service.clone(), item.version);
            return Ok(None);
        }
        // A host that is ahead knows of changes that this one does not know yet.
        if self.is_mixed(service) || self.peers.is_behind() {
            return Ok(None);
        }
        let streams = &self.streams;
        Ok(streams.only_version(service).or_else(|| streams.settled_version(service)))
    }

    /// Returns whether this host knows of several versions of `service`. A service may not be
    /// marked yet.
    fn is_mixed(&self, service: &Name) -> bool {
        self.mixed.lock().contains_key(service) || self.streams.mixed_services().contains(service)
    }

    /// Reads the log unless that was done a moment ago.
    async fn read_again(&self) -> Result<()> {
        let mut read_at = self.read_at.lock().await;
        let now = ReadTime::now(&self.clock);
        if read_at.is_none_or(|at| !at.is_within(READ_INTERVAL, now)) {
            self.read().await?;
            *read_at = Some(now);
        }
        Ok(())
    }

    async fn read(&self) -> Result<()> {
        let items = self.kv.list(LOG_PREFIX).await?;
        let mut marks: HashMap<Name, Version> = HashMap::new();
        let mut records: Vec<StreamRecord> = Vec::new();
        for item in &items {
            if let Some(service) = item.key.strip_prefix(MIXED_PREFIX) {
                marks.insert(Name::from(service), item.version);
            } else if item.key.starts_with(SEGMENT_PREFIX) {
                match decode_segment(&item.value) {
                    Ok(segment) => records.extend(segment),
                    Err(e) => {
                        let (key, error) = (item.key.as_str(), e.to_string());
                        log::warn!(event = "entry_unreadable", key, error = error.as_str(); "");
                    }
                }
            }
        }
        self.streams.record_peer(&records, Origin::Far);
        let (services, records) = (marks.len(), records.len());
        log::info!(event = "stream_log_read", mixed = services, records; "");
        self.mixed.lock().retain(|service, _| marks.contains_key(service));
        marks.into_iter().for_each(|(service, version)| self.learn_mark(service, version));
        Ok(())
    }

    /// Records that `service` has a mark, which was written at `version`.
    fn learn_mark(&self, service: Name, version: Version) {
        let mark = Mark { version, known_since: self.clock.now() };
        let mut mixed = self.mixed.lock();
        let known = mixed.entry(service).or_insert(mark);
        if known.version != version {
            *known = mark;
        }
    }

    /// Keeps the log while this host is the one that does so; does not return.
    pub async fn run(self: Arc<Self>) {
        loop {
            task::sleep(WRITE_INTERVAL).await;
            self.keep(&mut *self.keeper.lock().await).await;
        }
    }

    /// Takes part in the choice of the keeper, and writes what is new if this host is it.
    async fn keep(&self, keeper: &mut Keeper) {
        let own = self.peers.own_log_candidate();
        let others = self.peers.log_candidates();
        let now = self.clock.now();
        let next = keeper.election.next(&own, &others, now);
        if next != own.state {
            log::info!(event = "stream_log_duty", state = format!("{next:?}").as_str(); "");
        }
        if next == DutyState::Active || own.state == DutyState::Active {
            // A host that is relieved writes what it has not written yet.
            match timeout(WRITE_TIMEOUT, self.write(keeper)).await {
                Ok(Ok(())) => keeper.failures = 0,
                Ok(Err(e)) => self.record_failure(keeper, &e.to_string(), 1),
                Err(_) => self.record_failure(keeper, "no response in time", MAX_FAILURES),
            }
        }
        if next != DutyState::Active {
            (keeper.era, keeper.writer, keeper.failures) = (None, None, 0);
        } else if keeper.failures >= MAX_FAILURES {
            keeper.failures = 0;
            keeper.election.fail(others.len(), self.clock.now());
            return self.peers.set_log_duty(DutyState::Unable);
        }
        // A new keeper says so after it has written for the first time.
        if next != own.state && (next != DutyState::Active || keeper.failures == 0) {
            self.peers.set_log_duty(next);
        }
    }

    fn record_failure(&self, keeper: &mut Keeper, error: &str, failures: u32) {
        log::info!(event = "stream_log_unwritten", error; "");
        (keeper.era, keeper.writer) = (None, None);
        keeper.failures += failures;
    }

    /// Brings the marks up to date and writes new records, if a service has, or lately had,
    /// several versions.
    async fn write(&self, keeper: &mut Keeper) -> Result<()> {
        let (era, now) = (self.kv.era(), self.clock.now());
        if keeper.era != Some(era) {
            self.read().await?;
            (keeper.era, keeper.writer) = (Some(era), None);
        }
        let services = self.streams.mixed_services();
        if services.is_empty() && self.mixed.lock().is_empty() {
            return Ok(());
        }
        self.update_marks(&services).await?;
        let writer = match keeper.writer.take() {
            Some(writer) => writer,
            None => self.begin(&services, now).await?,
        };
        let current = keeper.writer.insert(writer);
        if now.saturating_duration_since(current.renewed_at) >= RENEWAL_INTERVAL {
            if !self.kv.renew(current.lease).await? {
                return Err(unavailable("the lease on the log of streams has ended"));
            }
            current.renewed_at = now;
        }
        let (records, newest) = self.streams.recorded_since(current.written_until);
        for segment in records.chunks(MAX_SEGMENT_RECORDS) {
            self.write_segment(current, segment).await?;
        }
        current.written_until = newest.unwrap_or(current.written_until);
        Ok(())
    }

    /// Marks `services`, and ends the marks of services that have had a single version for
    /// long enough.
    async fn update_marks(&self, services: &[Name]) -> Result<()> {
        let marked = self.mixed.lock().clone();
        for service in services.iter().filter(|service| !marked.contains_key(*service)) {
            self.set_mark(service, true).await?;
        }
        // Another version may have come and left while this host was out of touch, before it
        // knew of the mark.
        let now = self.clock.now();
        let may_end = |(service, mark): &(&Name, &Mark)| {
            now.saturating_duration_since(mark.known_since) >= self.streams.lifetime(service)
                && self.streams.only_version(service).is_some()
        };
        if marked.iter().any(|entry| may_end(&entry)) {
            // Another version may have come while this host was out of touch.
            self.confirmer.confirm(self.clock.now()).await?;
            self.streams.observe();
        }
        for (service, _) in marked.iter().filter(may_end) {
            self.set_mark(service, false).await?;
        }
        Ok(())
    }

    /// Begins to write the log, with all records of streams that may still be taken up.
    async fn begin(&self, services: &[Name], now: Instant) -> Result<Writer> {
        let lease = self.kv.grant(LEASE_TTL).await?;
        let marked: Vec<Name> = self.mixed.lock().keys().cloned().collect();
        let lifetimes = services.iter().chain(&marked).map(|s| self.streams.lifetime(s));
        let longest = lifetimes.max().unwrap_or_default();
        let intervals = longest.as_millis() / WRITE_INTERVAL.as_millis();
        let segments = usize::try_from(intervals).unwrap_or(MAX_SEGMENTS) + SPARE_SEGMENTS;
        log::info!(event = "stream_log_begun", mixed = services.len(); "");
        Ok(Writer {
            lease,
            renewed_at: now,
            written_until: now.checked_sub(longest).unwrap_or(now),
            segments: segments.min(MAX_SEGMENTS),
            next_segment: 0,
            versions: HashMap::new(),
        })
    }

    async fn write_segment(&self, writer: &mut Writer, records: &[StreamRecord]) -> Result<()> {
        let number = writer.next_segment;
        let mut put = Put {
            key: format!("{}{number}", self.segment_prefix),
            expect: writer.versions.get(&number).copied().unwrap_or_default(),
            value: Some(encode_segment(records)?),
            lease: Some(writer.lease),
        };
        let mut swap = self.kv.put(put.clone()).await?;
        // This process has written the segment before, perhaps by a call without a response.
        if let Swap::Conflict(version) = swap {
            put.expect = version;
            swap = self.kv.put(put).await?;
        }
        match swap {
            Swap::Done(version) => writer.versions.insert(number, version),
            Swap::Conflict(_) => {
                return Err(unavailable(format!("segment {number} was written at the same time")));
            }
        };
        writer.next_segment = (number + 1) % writer.segments;
        Ok(())
    }

    /// Marks `service` as having several versions, or ends that.
    async fn set_mark(&self, service: &Name, is_mixed: bool) -> Result<()> {
        let key = mark_key(service);
        let mut version = self.kv.get(&key).await?.map_or(0, |item| item.version);
        if (version > 0) != is_mixed {
            let value = is_mixed.then(|| "{}".to_string());
            match self.kv.put(Put { key, expect: version, value, lease: None }).await? {
                Swap::Done(written) => version = written,
                // The host of another data centre has written it, which the next try finds.
                Swap::Conflict(_) => return Ok(()),
            }
        }
        log::info!(event = "service_mixed", service = &**service, mixed = is_mixed; "");
        match is_mixed {
            true => self.learn_mark(service.clone(), version),
            false => drop(self.mixed.lock().remove(service)),
        }
        Ok(())
    }
}

#[async_trait]
impl ExitHook for StreamLog {
    /// Writes all that this host knows: a keeper that started later may not know it.
    async fn finish(&self) {
        let mut keeper = self.keeper.lock().await;
        // The marks need not be read to write what this host has seen itself.
        keeper.era.get_or_insert(self.kv.era());
        if let Err(e) = self.write(&mut keeper).await {
            self.record_failure(&mut keeper, &e.to_string(), 1);
        }
        // Another host takes over without waiting for this one to be silent.
        self.peers.set_log_duty(DutyState::Unable);
        task::sleep(DIGEST_TIME).await;
    }
}

/// Returns the key of the mark of `service`.
fn mark_key(service: &Name) -> String {
    format!("{MIXED_PREFIX}{service}")
}

fn encode_segment(records: &[StreamRecord]) -> Result<String> {
    let pairs: Vec<(u64, VersionTag)> = records.iter().map(|r| (r.key, r.version)).collect();
    serde_json::to_string(&pairs).map_err(|e| internal(e.to_string()))
}

fn decode_segment(text: &str) -> Result<Vec<StreamRecord>> {
    let pairs: Vec<(u64, VersionTag)> =
        serde_json::from_str(text).map_err(|e| invalid(format!("invalid segment: {e}")))?;
    Ok(pairs.into_iter().map(|(key, version)| StreamRecord { key, version }).collect())
}
