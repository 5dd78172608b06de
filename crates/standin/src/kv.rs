//! The `kv` module stands in for the platform's key-value service.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use aspenloft_core::errors::{Error, ErrorCode, Result};
use aspenloft_core::execution::Execution;
use aspenloft_protocol::platform::{
    KeyValue, KvReply, KvRequest, LeaseId, MAX_VALUE_BYTES, Put, Swap, Version, Versioned,
};
use aspenloft_transport::server::{self, Connection, HttpHandler};
use async_std::task;
use async_trait::async_trait;
use http_types::{Request, Response};
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

use crate::admin;
use crate::rates::CallRates;

/// The largest call that the stand-in reads, in bytes.
const MAX_CALL_BYTES: usize = 2 * MAX_VALUE_BYTES;

/// How often a waiting watch looks again.
const WATCH_STEP: Duration = Duration::from_millis(5);

/// `Store` is the state of the service. Time is passed in.
#[derive(Debug, Default)]
pub struct Store {
    revision: Version,
    keys: BTreeMap<String, Entry>,
    leases: BTreeMap<LeaseId, Lease>,
    /// Calls served, a waiting watch counted as one.
    pub calls: u64,
    /// Writes served.
    pub writes: u64,
    /// Calls that came, by second, those that failed included.
    pub rates: CallRates,
}

#[derive(Debug)]
struct Entry {
    value: String,
    version: Version,
    lease: Option<LeaseId>,
}

#[derive(Debug)]
struct Lease {
    ttl: Duration,
    ends: Instant,
}

impl Store {
    /// Reads a key.
    pub fn get(&mut self, key: &str, now: Instant) -> Option<Versioned> {
        self.expire(now);
        self.keys.get(key).map(|entry| versioned(key, entry))
    }

    /// Lists the keys that start with `prefix`.
    pub fn list(&mut self, prefix: &str, now: Instant) -> Vec<Versioned> {
        self.expire(now);
        let found = self.keys.range(prefix.to_string()..);
        found
            .take_while(|(key, _)| key.starts_with(prefix))
            .map(|(key, entry)| versioned(key, entry))
            .collect()
    }

    /// Writes a key if it still has the expected version.
    pub fn put(&mut self, put: Put, now: Instant) -> Result<Swap> {
        self.expire(now);
        self.writes += 1;
        let current = self.keys.get(&put.key).map_or(0, |entry| entry.version);
        if current != put.expect {
            return Ok(Swap::Conflict(current));
        }
        if let Some(lease) = put.lease
            && !self.leases.contains_key(&lease)
        {
            return Err(Error::new(ErrorCode::NotFound, "no such lease"));
        }
        self.revision += 1;
        match put.value {
            Some(value) if value.len() > MAX_VALUE_BYTES => {
                return Err(Error::new(ErrorCode::TooLarge, "value exceeds 1 MB"));
            }
            Some(value) => {
                let entry = Entry { value, version: self.revision, lease: put.lease };
                self.keys.insert(put.key, entry);
            }
            None => {
                self.keys.remove(&put.key);
            }
        }
        Ok(Swap::Done(self.revision))
    }

    /// Grants a lease.
    pub fn grant(&mut self, ttl: Duration, now: Instant) -> LeaseId {
        self.revision += 1;
        self.leases.insert(self.revision, Lease { ttl, ends: now + ttl });
        self.revision
    }

    /// Extends a lease; `false` when it has lapsed.
    pub fn renew(&mut self, lease: LeaseId, now: Instant) -> bool {
        self.expire(now);
        match self.leases.get_mut(&lease) {
            Some(lease) => {
                lease.ends = now + lease.ttl;
                true
            }
            None => false,
        }
    }

    /// Drops lapsed leases and the keys that hang on them.
    fn expire(&mut self, now: Instant) {
        self.leases.retain(|_, lease| lease.ends > now);
        let leases = &self.leases;
        self.keys.retain(|_, entry| entry.lease.is_none_or(|lease| leases.contains_key(&lease)));
    }
}

fn versioned(key: &str, entry: &Entry) -> Versioned {
    Versioned { key: key.into(), value: entry.value.clone(), version: entry.version }
}

/// `CallKind` is a kind of call, for faults that hit only some.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CallKind {
    /// Reads of one key.
    Get,
    /// Compare-and-swaps.
    Put,
    /// Lists.
    List,
    /// Watches.
    Watch,
    /// Grants of leases.
    Grant,
    /// Renewals of leases.
    Renew,
}

/// `Faults` is what is wrong with the service at the moment; the default is
/// nothing.
#[serde_as]
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct KvFaults {
    /// Calls fail without taking effect; waiting watches fail too.
    pub down: bool,
    /// Calls wait this long first.
    #[serde_as(as = "DurationMilliSeconds")]
    #[serde(rename = "slow_ms")]
    pub slow: Duration,
    /// The answers of this many coming writes are lost after they took effect.
    pub lose_answers: u32,
    /// The kinds that fail as if the service were down.
    pub down_kinds: BTreeSet<CallKind>,
    /// What calls of a kind wait beyond `slow`.
    #[serde_as(as = "BTreeMap<_, DurationMilliSeconds>")]
    #[serde(rename = "slow_kinds_ms")]
    pub slow_kinds: BTreeMap<CallKind, Duration>,
}

impl KvFaults {
    fn fails(&self, kind: CallKind) -> bool {
        self.down || self.down_kinds.contains(&kind)
    }

    fn wait(&self, kind: CallKind) -> Duration {
        self.slow + self.slow_kinds.get(&kind).copied().unwrap_or_default()
    }
}

/// `KvStandin` is the service, reachable in process and over HTTP.
#[derive(Debug, Default)]
pub struct KvStandin {
    /// The state.
    pub store: Mutex<Store>,
    /// The faults.
    pub faults: Mutex<KvFaults>,
}

impl KvStandin {
    async fn enter(&self, kind: CallKind) -> Result<()> {
        self.store.lock().rates.record(kind, Instant::now());
        let wait = self.faults.lock().wait(kind);
        if !wait.is_zero() {
            task::sleep(wait).await;
        }
        self.fail_if_down(kind)?;
        self.store.lock().calls += 1;
        Ok(())
    }

    fn fail_if_down(&self, kind: CallKind) -> Result<()> {
        if self.faults.lock().fails(kind) {
            return Err(Error::new(ErrorCode::Unavailable, "the key-value service is down"));
        }
        Ok(())
    }

    /// Loses the answer of a write if a fault says so.
    fn leave_write(&self) -> Result<()> {
        let mut faults = self.faults.lock();
        if faults.lose_answers == 0 {
            return Ok(());
        }
        faults.lose_answers -= 1;
        Err(Error::new(ErrorCode::Unavailable, "the answer was lost").execution(Execution::Unknown))
    }

    async fn serve(&self, req: KvRequest) -> Result<KvReply> {
        Ok(match req {
            KvRequest::Get { key } => KvReply::Value(self.get(&key).await?),
            KvRequest::Put(put) => KvReply::Swap(self.put(put).await?),
            KvRequest::List { prefix } => KvReply::Values(self.list(&prefix).await?),
            KvRequest::Watch { key, after, wait } => {
                KvReply::Value(self.watch(&key, after, wait).await?)
            }
            KvRequest::Grant { ttl } => KvReply::Lease(self.grant(ttl).await?),
            KvRequest::Renew { lease } => KvReply::Renewed(self.renew(lease).await?),
        })
    }
}

#[async_trait]
impl KeyValue for KvStandin {
    async fn get(&self, key: &str) -> Result<Option<Versioned>> {
        self.enter(CallKind::Get).await?;
        Ok(self.store.lock().get(key, Instant::now()))
    }

    async fn put(&self, put: Put) -> Result<Swap> {
        self.enter(CallKind::Put).await?;
        let swap = self.store.lock().put(put, Instant::now())?;
        self.leave_write()?;
        Ok(swap)
    }

    async fn list(&self, prefix: &str) -> Result<Vec<Versioned>> {
        self.enter(CallKind::List).await?;
        Ok(self.store.lock().list(prefix, Instant::now()))
    }

    async fn watch(&self, key: &str, after: Version, wait: Duration) -> Result<Option<Versioned>> {
        self.enter(CallKind::Watch).await?;
        let ends = Instant::now() + wait;
        loop {
            self.fail_if_down(CallKind::Watch)?;
            let now = Instant::now();
            let found = self.store.lock().get(key, now);
            if now >= ends || found.as_ref().is_some_and(|v| v.version > after) {
                return Ok(found);
            }
            task::sleep(WATCH_STEP).await;
        }
    }

    async fn grant(&self, ttl: Duration) -> Result<LeaseId> {
        self.enter(CallKind::Grant).await?;
        Ok(self.store.lock().grant(ttl, Instant::now()))
    }

    async fn renew(&self, lease: LeaseId) -> Result<bool> {
        self.enter(CallKind::Renew).await?;
        Ok(self.store.lock().renew(lease, Instant::now()))
    }
}

/// `KvHandler` answers the service's calls over HTTP.
#[derive(Debug)]
pub struct KvHandler(pub Arc<KvStandin>);

#[async_trait]
impl HttpHandler for KvHandler {
    async fn handle(&self, mut req: Request, _: &Connection) -> Response {
        match req.url().path() {
            admin::FAULTS_PATH => return admin::serve_faults(&mut req, &self.0.faults).await,
            admin::RECORDS_PATH => return server::json(&self.0.store.lock().rates),
            _ => (),
        }
        match server::read_json(&mut req, MAX_CALL_BYTES).await {
            Ok(call) => server::outcome(self.0.serve(call).await),
            Err(e) => server::outcome(Err::<(), _>(e)),
        }
    }
}
