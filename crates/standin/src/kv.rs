//! The `kv` module is a test double of the platform's key-value service.

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

/// Maximum size of a call's JSON in bytes.
const MAX_CALL_BYTES: usize = 2 * MAX_VALUE_BYTES;

/// Poll interval of a waiting watch.
const WATCH_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// `Store` holds the keys, leases and counters of the service. Callers pass the current
/// time.
#[derive(Debug, Default)]
pub struct Store {
    revision: Version,
    keys: BTreeMap<String, Entry>,
    leases: BTreeMap<LeaseId, Lease>,
    /// Number of calls executed, without those that failed on an injected outage; a waiting
    /// watch counts as one.
    pub calls: u64,
    /// Number of compare-and-swaps, including those without effect.
    pub writes: u64,
    /// All calls by second, including failed ones.
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
    expires_at: Instant,
}

impl Store {
    /// Returns the value and the version of a key.
    pub fn get(&mut self, key: &str, now: Instant) -> Option<Versioned> {
        self.expire(now);
        self.keys.get(key).map(|entry| versioned(key, entry))
    }

    /// Returns the keys that start with `prefix`, with their values and versions.
    pub fn list(&mut self, prefix: &str, now: Instant) -> Vec<Versioned> {
        self.expire(now);
        let found = self.keys.range(prefix.to_string()..);
        found
            .take_while(|(key, _)| key.starts_with(prefix))
            .map(|(key, entry)| versioned(key, entry))
            .collect()
    }

    /// Writes or deletes a key if it has the expected version; version 0 stands for an
    /// absent key.
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
            return Err(Error::new(ErrorCode::NotFound, "the lease does not exist or has expired"));
        }
        self.revision += 1;
        match put.value {
            Some(value) if value.len() > MAX_VALUE_BYTES => {
                return Err(Error::new(ErrorCode::TooLarge, "the value exceeds 1 MiB"));
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

    /// Grants a lease that expires after `ttl` unless it is renewed.
    pub fn grant(&mut self, ttl: Duration, now: Instant) -> LeaseId {
        self.revision += 1;
        self.leases.insert(self.revision, Lease { ttl, expires_at: now + ttl });
        self.revision
    }

    /// Renews a lease for its TTL. Returns `false` if it has expired.
    pub fn renew(&mut self, lease: LeaseId, now: Instant) -> bool {
        self.expire(now);
        match self.leases.get_mut(&lease) {
            Some(lease) => {
                lease.expires_at = now + lease.ttl;
                true
            }
            None => false,
        }
    }

    /// Removes expired leases and the keys attached to them.
    fn expire(&mut self, now: Instant) {
        self.leases.retain(|_, lease| lease.expires_at > now);
        let leases = &self.leases;
        self.keys.retain(|_, entry| entry.lease.is_none_or(|lease| leases.contains_key(&lease)));
    }
}

fn versioned(key: &str, entry: &Entry) -> Versioned {
    Versioned { key: key.into(), value: entry.value.clone(), version: entry.version }
}

/// `CallKind` is the kind of a call. Faults can be restricted to some kinds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CallKind {
    /// Reads of one key.
    Get,
    /// Compare-and-swaps.
    Put,
    /// Reads of all keys with a prefix.
    List,
    /// Waits for a newer version of a key.
    Watch,
    /// Grants of leases.
    Grant,
    /// Renewals of leases.
    Renew,
}

/// `KvFaults` holds the injected faults of the service; the default injects none.
#[serde_as]
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct KvFaults {
    /// Calls fail without taking effect, including watches that already wait.
    pub down: bool,
    /// Delay before each call.
    #[serde_as(as = "DurationMilliSeconds")]
    #[serde(rename = "slow_ms")]
    pub slow: Duration,
    /// Number of further compare-and-swaps whose answer is lost after their execution.
    pub lose_answers: u32,
    /// Kinds of calls that fail as if `down` were set.
    pub down_kinds: BTreeSet<CallKind>,
    /// Additional delay by kind of call, on top of `slow`.
    #[serde_as(as = "BTreeMap<_, DurationMilliSeconds>")]
    #[serde(rename = "slow_kinds_ms")]
    pub slow_kinds: BTreeMap<CallKind, Duration>,
}

impl KvFaults {
    fn is_down(&self, kind: CallKind) -> bool {
        self.down || self.down_kinds.contains(&kind)
    }

    fn delay(&self, kind: CallKind) -> Duration {
        self.slow + self.slow_kinds.get(&kind).copied().unwrap_or_default()
    }
}

/// `KvStandin` is a test double of the key-value service. Tests call it in process or,
/// through [`KvHandler`], over HTTP.
#[derive(Debug, Default)]
pub struct KvStandin {
    /// Keys, leases and counters.
    pub store: Mutex<Store>,
    /// The injected faults.
    pub faults: Mutex<KvFaults>,
}

impl KvStandin {
    /// Counts a call and applies its delay and any outage to it.
    async fn begin_call(&self, kind: CallKind) -> Result<()> {
        self.store.lock().rates.record(kind, Instant::now());
        let delay = self.faults.lock().delay(kind);
        if !delay.is_zero() {
            task::sleep(delay).await;
        }
        self.fail_if_down(kind)?;
        self.store.lock().calls += 1;
        Ok(())
    }

    fn fail_if_down(&self, kind: CallKind) -> Result<()> {
        if self.faults.lock().is_down(kind) {
            return Err(Error::new(ErrorCode::Unavailable, "the key-value service is unavailable"));
        }
        Ok(())
    }

    /// Fails with execution "unknown" and decrements `lose_answers`, unless that is zero.
    fn lose_answer_if_set(&self) -> Result<()> {
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
        self.begin_call(CallKind::Get).await?;
        Ok(self.store.lock().get(key, Instant::now()))
    }

    async fn put(&self, put: Put) -> Result<Swap> {
        self.begin_call(CallKind::Put).await?;
        let swap = self.store.lock().put(put, Instant::now())?;
        self.lose_answer_if_set()?;
        Ok(swap)
    }

    async fn list(&self, prefix: &str) -> Result<Vec<Versioned>> {
        self.begin_call(CallKind::List).await?;
        Ok(self.store.lock().list(prefix, Instant::now()))
    }

    async fn watch(&self, key: &str, after: Version, wait: Duration) -> Result<Option<Versioned>> {
        self.begin_call(CallKind::Watch).await?;
        let deadline = Instant::now() + wait;
        loop {
            self.fail_if_down(CallKind::Watch)?;
            let now = Instant::now();
            let found = self.store.lock().get(key, now);
            if now >= deadline || found.as_ref().is_some_and(|v| v.version > after) {
                return Ok(found);
            }
            task::sleep(WATCH_POLL_INTERVAL).await;
        }
    }

    async fn grant(&self, ttl: Duration) -> Result<LeaseId> {
        self.begin_call(CallKind::Grant).await?;
        Ok(self.store.lock().grant(ttl, Instant::now()))
    }

    async fn renew(&self, lease: LeaseId) -> Result<bool> {
        self.begin_call(CallKind::Renew).await?;
        Ok(self.store.lock().renew(lease, Instant::now()))
    }
}

/// `KvHandler` serves the calls of the key-value service over HTTP.
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
            Ok(call) => server::json_result(self.0.serve(call).await),
            Err(e) => server::json_result(Err::<(), _>(e)),
        }
    }
}
