//! The `platform` module defines the interfaces to the platform: its key-value service
//! and its list of live and leaving hosts, which is updated with a delay.

use std::net::SocketAddr;
use std::time::Duration;

use aspenloft_core::backend::Backend;
use aspenloft_core::errors::{Error, ErrorCode, Result};
use aspenloft_core::execution::Execution;
use aspenloft_core::host::Host;
use aspenloft_core::position::{Era, Position};
use aspenloft_transport::http;
use async_trait::async_trait;
use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

/// The maximum size of a value in the key-value service, in bytes.
pub const MAX_VALUE_BYTES: usize = 1024 * 1024;

/// The timeout of calls to the platform. A watch may take longer by its wait.
pub const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// `Version` is the revision at which a key was last written. Revisions increase with
/// every write to the service; zero stands for an absent key. A service that comes back
/// from an older copy gives revisions out again, so versions of different eras must not
/// be compared: see [`Position`].
pub type Version = u64;

/// `LeaseId` identifies a lease of the key-value service.
pub type LeaseId = u64;

/// `Versioned` is a key and its value with the version at which it was written.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Versioned {
    /// The key that was read.
    pub key: String,
    /// Its value.
    pub value: String,
    /// The revision at which the value was written.
    pub version: Version,
}

/// `Put` is a compare-and-swap write or deletion of one key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Put {
    /// The key to write.
    pub key: String,
    /// The version that the key must have; zero if it must be absent.
    pub expect: Version,
    /// The new value; `None` deletes the key.
    pub value: Option<String>,
    /// The lease to which the key is attached, if any; the key is deleted when it expires.
    pub lease: Option<LeaseId>,
}

/// `Swap` is the outcome of a compare-and-swap.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Swap {
    /// The write took effect at this version.
    Done(Version),
    /// Nothing was written, because the key has this version.
    Conflict(Version),
}

/// `KeyValue` is the platform's key-value service.
///
/// An error with [`Execution::NotRun`] means that the call had no effect. One with
/// [`Execution::Unknown`] means that a write may have taken effect, which the caller
/// must find out by reading the key.
#[async_trait]
pub trait KeyValue: Send + Sync {
    /// Reads a key; `None` if it is absent.
    async fn get(&self, key: &str) -> Result<Option<Versioned>>;

    /// Writes or deletes a key if it has the expected version.
    async fn put(&self, put: Put) -> Result<Swap>;

    /// Reads all keys that start with `prefix`.
    async fn list(&self, prefix: &str) -> Result<Vec<Versioned>>;

    /// Waits up to `wait` until the key has a version above `after`, then returns the same
    /// as [`KeyValue::get`].
    async fn watch(&self, key: &str, after: Version, wait: Duration) -> Result<Option<Versioned>>;

    /// Grants a lease that expires after `ttl`.
    async fn grant(&self, ttl: Duration) -> Result<LeaseId>;

    /// Renews a lease for its full duration; `false` if it has expired.
    async fn renew(&self, lease: LeaseId) -> Result<bool>;

    /// Returns the latest era in which the service has responded. Leases, versions and writes
    /// of earlier eras may be lost.
    fn era(&self) -> Era {
        Era::default()
    }
}

/// `Snapshot` holds all keys with a prefix, each read at `position` or later in its era.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Snapshot {
    /// The keys with their values.
    pub items: Vec<Versioned>,
    /// The position after which to follow changes without missing any.
    pub position: Position,
}

/// `Change` is a change of one key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    /// The key was written.
    Written(Versioned),
    /// The key was deleted or expired.
    Removed {
        /// The key.
        key: String,
        /// The revision at which it was removed.
        version: Version,
    },
}

impl Change {
    /// Returns the key that was changed.
    pub fn key(&self) -> &str {
        match self {
            Change::Written(item) => &item.key,
            Change::Removed { key, .. } => key,
        }
    }

    /// Returns the revision at which the change was made.
    pub fn version(&self) -> Version {
        match self {
            Change::Written(item) => item.version,
            Change::Removed { version, .. } => *version,
        }
    }
}

/// `Changes` is the result of waiting for changes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Changes {
    /// The changes up to `position`, in its era.
    Since {
        /// The changes in order; empty if the wait timed out.
        changes: Vec<Change>,
        /// The position from which to continue.
        position: Position,
    },
    /// The service has compacted this part of its history; the caller must read a new
    /// snapshot.
    Compacted,
    /// The service has come back from an older copy and is in this era now; the caller must
    /// read a new snapshot.
    Restored(Era),
}

/// `ChangeFeed` follows the changes of all keys with a prefix in the platform's key-value
/// service.
#[async_trait]
pub trait ChangeFeed: Send + Sync {
    /// Reads all keys that start with `prefix`.
    async fn snapshot(&self, prefix: &str) -> Result<Snapshot>;

    /// Waits up to `wait` for changes after `after` to keys that start with `prefix`.
    async fn changes(&self, prefix: &str, after: Position, wait: Duration) -> Result<Changes>;

    /// Makes later calls use new connections, because those that are open may have gone silent.
    fn reconnect(&self) {}
}

/// `HostList` is the platform's list of live and leaving hosts, which is updated with a
/// delay.
#[async_trait]
pub trait HostList: Send + Sync {
    /// Returns the current list.
    async fn list(&self) -> Result<Listing>;
}

/// `Listing` is the platform's list at one time.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listing {
    /// The hosts of the router.
    pub hosts: Vec<Host>,
    /// The backend servers.
    pub backends: Vec<Backend>,
}

/// `KvRequest` is a request to the key-value service in its wire format.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum KvRequest {
    /// See [`KeyValue::get`].
    Get {
        /// The key to read.
        key: String,
    },
    /// See [`KeyValue::put`].
    Put(Put),
    /// See [`KeyValue::list`].
    List {
        /// The prefix of the keys.
        prefix: String,
    },
    /// See [`KeyValue::watch`].
    Watch {
        /// The key to watch.
        key: String,
        /// The version that the caller already has.
        after: Version,
        /// The maximum wait.
        #[serde_as(as = "DurationMilliSeconds")]
        #[serde(rename = "wait_ms")]
        wait: Duration,
    },
    /// See [`KeyValue::grant`].
    Grant {
        /// The duration of the lease.
        #[serde_as(as = "DurationMilliSeconds")]
        #[serde(rename = "ttl_ms")]
        ttl: Duration,
    },
    /// See [`KeyValue::renew`].
    Renew {
        /// The lease to renew.
        lease: LeaseId,
    },
}

/// `KvReply` is a reply of the key-value service in its wire format.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum KvReply {
    /// The key's value; `None` if the key is absent.
    Value(Option<Versioned>),
    /// The outcome of a compare-and-swap.
    Swap(Swap),
    /// The keys with a prefix.
    Values(Vec<Versioned>),
    /// A granted lease.
    Lease(LeaseId),
    /// Whether a lease was renewed.
    Renewed(bool),
}

/// The HTTP path of the key-value service.
pub const KV_PATH: &str = "/kv";

/// The HTTP path of the platform's list of hosts.
pub const HOSTS_PATH: &str = "/hosts";

/// `KvClient` calls the key-value service over HTTP.
#[derive(Debug, Clone)]
pub struct KvClient {
    addr: SocketAddr,
    timeout: Duration,
}

impl KvClient {
    /// Creates a client for the service at `addr`.
    pub fn new(addr: SocketAddr) -> Self {
        KvClient { addr, timeout: CALL_TIMEOUT }
    }

    async fn call(&self, req: KvRequest, wait: Duration) -> Result<KvReply> {
        http::post_json(self.addr, KV_PATH, &req, self.timeout + wait).await
    }
}

/// Returns the error for a reply whose variant does not match the request.
fn unexpected_reply(reply: &KvReply) -> Error {
    Error::new(
        ErrorCode::Internal,
        format!("unexpected reply from the key-value service: {reply:?}"),
    )
    .execution(Execution::Unknown)
}

#[async_trait]
impl KeyValue for KvClient {
    async fn get(&self, key: &str) -> Result<Option<Versioned>> {
        match self.call(KvRequest::Get { key: key.into() }, Duration::ZERO).await? {
            KvReply::Value(value) => Ok(value),
            other => Err(unexpected_reply(&other)),
        }
    }

    async fn put(&self, put: Put) -> Result<Swap> {
        match self.call(KvRequest::Put(put), Duration::ZERO).await? {
            KvReply::Swap(swap) => Ok(swap),
            other => Err(unexpected_reply(&other)),
        }
    }

    async fn list(&self, prefix: &str) -> Result<Vec<Versioned>> {
        match self.call(KvRequest::List { prefix: prefix.into() }, Duration::ZERO).await? {
            KvReply::Values(values) => Ok(values),
            other => Err(unexpected_reply(&other)),
        }
    }

    async fn watch(&self, key: &str, after: Version, wait: Duration) -> Result<Option<Versioned>> {
        let req = KvRequest::Watch { key: key.into(), after, wait };
        match self.call(req, wait).await? {
            KvReply::Value(value) => Ok(value),
            other => Err(unexpected_reply(&other)),
        }
    }

    async fn grant(&self, ttl: Duration) -> Result<LeaseId> {
        match self.call(KvRequest::Grant { ttl }, Duration::ZERO).await? {
            KvReply::Lease(lease) => Ok(lease),
            other => Err(unexpected_reply(&other)),
        }
    }

    async fn renew(&self, lease: LeaseId) -> Result<bool> {
        match self.call(KvRequest::Renew { lease }, Duration::ZERO).await? {
            KvReply::Renewed(renewed) => Ok(renewed),
            other => Err(unexpected_reply(&other)),
        }
    }
}

/// `HostListClient` reads the platform's list of hosts over HTTP.
#[derive(Debug, Clone)]
pub struct HostListClient {
    addr: SocketAddr,
}

impl HostListClient {
    /// Creates a client for the platform at `addr`.
    pub fn new(addr: SocketAddr) -> Self {
        HostListClient { addr }
    }
}

#[async_trait]
impl HostList for HostListClient {
    async fn list(&self) -> Result<Listing> {
        http::post_json(self.addr, HOSTS_PATH, &(), CALL_TIMEOUT).await
    }
}
