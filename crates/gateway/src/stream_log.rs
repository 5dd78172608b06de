//! The `stream_log` module keeps the versions at which streams began in the key-value service,
//! while a service has engines of several versions, so that streams can be taken up after all
//! hosts have restarted at once.
//!
//! One host of each data centre writes what the digests of the others there tell it. Hosts that
//! have forgotten everything read the log when a caller takes a stream up.
//! `docs/design/stream-versions.md` gives the costs and bounds.

use std::collections::{HashMap, HashSet};
use std::time::{Duration, Instant, SystemTime};

use aspenloft_core::errors::{Result, internal, invalid, unavailable};
use aspenloft_core::prelude::{Arc, Era, Name, SharedClock};
use aspenloft_policy::stream_versions::{Origin, StreamRecord, VersionTag};
use aspenloft_protocol::platform::{KeyValue, LeaseId, Put, Swap, Version};
use async_std::future::timeout;
use async_std::sync::Mutex as AsyncMutex;
use async_std::task;
use futures::future::join;
use parking_lot::Mutex;

use crate::peers::Peers;
use crate::shutdown::Shutdown;
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

/// The number of intervals for which a host must be the one that writes before it reads the
/// log without need, to end marks that a previous one has left.
const MIN_WRITER_INTERVALS: u32 = 20;

/// The maximum number of records in one segment.
const MAX_SEGMENT_RECORDS: usize = 4_096;

/// The duration of the lease on the segments, which starts anew with each renewal.
const LEASE_TTL: Duration = Duration::from_secs(60);

/// How often the lease is renewed while records are written.
const RENEWAL_INTERVAL: Duration = Duration::from_secs(15);

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
    shutdown: Arc<Shutdown>,
    clock: SharedClock,
    /// The prefix of this process's segments.
    segment_prefix: String,
    /// The services that were marked when the log was last read or written.
    mixed: Mutex<HashSet<Name>>,
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

/// The state of the host that writes the log.
#[derive(Debug)]
struct Writer {
    lease: LeaseId,
    /// The era in which the lease was granted and the log was read.
    era: Era,
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
        shutdown: Arc<Shutdown>,
        clock: SharedClock,
    ) -> Arc<StreamLog> {
        let (host, born_ms) = (&peers.local_host().name, peers.born_ms());
        let segment_prefix = format!("{SEGMENT_PREFIX}{host}-{born_ms}/");
        let (mixed, read_at) = Default::default();
        Arc::new(StreamLog {
            kv,
            confirmer,
            peers,
            streams,
            shutdown,
            clock,
            segment_prefix,
            mixed,
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
        // A host that is ahead knows of changes that this one does not know yet.
        if mark?.is_some() || self.is_mixed(service) || self.peers.is_behind() {
            return Ok(None);
        }
        let streams = &self.streams;
        Ok(streams.only_version(service).or_else(|| streams.settled_version(service)))
    }

    /// Returns whether this host knows of several versions of `service`. A service may not be
    /// marked yet.
    fn is_mixed(&self, service: &Name) -> bool {
        self.mixed.lock().contains(service) || self.streams.mixed_services().contains(service)
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
        let mut mixed = HashSet::new();
        let mut records: Vec<StreamRecord> = Vec::new();
        for item in &items {
            if let Some(service) = item.key.strip_prefix(MIXED_PREFIX) {
                mixed.insert(Name::from(service));
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
        let (services, records) = (mixed.len(), records.len());
        log::info!(event = "stream_log_read", mixed = services, records; "");
        *self.mixed.lock() = mixed;
        Ok(())
    }

    /// Writes new records while this host is the one that does so; does not return.
    pub async fn run(self: Arc<Self>) {
        let mut writer: Option<Writer> = None;
        let mut intervals = 0;
        loop {
            task::sleep(WRITE_INTERVAL).await;
            let services = self.streams.mixed_services();
            if !self.peers.is_first_of_data_centre() || self.shutdown.is_leaving() {
                (writer, intervals) = (None, 0);
                continue;
            }
            intervals += 1;
            let is_needed = !services.is_empty() || !self.mixed.lock().is_empty();
            if !is_needed && intervals != MIN_WRITER_INTERVALS {
                continue;
            }
            if let Err(e) = self.write(&mut writer, &services).await {
                log::info!(event = "stream_log_unwritten", error = e.to_string().as_str(); "");
                writer = None;
            }
        }
    }

    /// Brings the marks up to date and writes new records.
    async fn write(&self, writer: &mut Option<Writer>, services: &[Name]) -> Result<()> {
        let (era, now) = (self.kv.era(), self.clock.now());
        let current = match writer.take().filter(|w| w.era == era) {
            Some(current) => current,
            None => self.begin(era, services, now).await?,
        };
        let current = writer.insert(current);
        self.update_marks(services).await?;
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
        for service in services.iter().filter(|service| !marked.contains(*service)) {
            self.set_mark(service, true).await?;
        }
        if marked.iter().any(|service| self.streams.only_version(service).is_some()) {
            // Another version may have come while this host was out of touch.
            self.confirmer.confirm(self.clock.now()).await?;
            self.streams.observe();
        }
        for service in marked.iter().filter(|service| self.streams.only_version(service).is_some())
        {
            self.set_mark(service, false).await?;
        }
        Ok(())
    }

    /// Begins to write the log, with all records of streams that may still be taken up.
    async fn begin(&self, era: Era, services: &[Name], now: Instant) -> Result<Writer> {
        self.read().await?;
        let lease = self.kv.grant(LEASE_TTL).await?;
        let marked: Vec<Name> = self.mixed.lock().iter().cloned().collect();
        let lifetimes = services.iter().chain(&marked).map(|s| self.streams.lifetime(s));
        let longest = lifetimes.max().unwrap_or_default();
        let intervals = longest.as_millis() / WRITE_INTERVAL.as_millis();
        let segments = usize::try_from(intervals).unwrap_or(MAX_SEGMENTS) + SPARE_SEGMENTS;
        log::info!(event = "stream_log_begun", mixed = services.len(), era = era.0; "");
        Ok(Writer {
            lease,
            era,
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
        let expect = self.kv.get(&key).await?.map_or(0, |item| item.version);
        if (expect > 0) != is_mixed {
            let value = is_mixed.then(|| "{}".to_string());
            if let Swap::Conflict(_) = self.kv.put(Put { key, expect, value, lease: None }).await? {
                // The host of another data centre has written it, which the next try finds.
                return Ok(());
            }
        }
        log::info!(event = "service_mixed", service = &**service, mixed = is_mixed; "");
        match is_mixed {
            true => self.mixed.lock().insert(service.clone()),
            false => self.mixed.lock().remove(service),
        };
        Ok(())
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
