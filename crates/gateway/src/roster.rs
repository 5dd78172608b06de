//! The `roster` module holds the backend servers that the platform lists.
//!
//! A roster is a snapshot. The state that a host observes of a server is shared by all
//! snapshots that list the same process of the server.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use aspenloft_core::prelude::{Arc, Name};
use aspenloft_policy::server_health::ServerHealth;
use aspenloft_policy::stream_versions::VersionTag;
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// `ServerEntry` is a backend server as the platform lists it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerEntry {
    /// The name of the server's process. A restarted server may reuse the name; `born_ms`
    /// distinguishes the two.
    pub instance: Name,
    /// When the server's process started, in milliseconds since the Unix epoch; 0 if
    /// unknown.
    pub born_ms: u64,
    /// The service that the server belongs to.
    pub service: Name,
    /// The address on which the server listens.
    pub addr: SocketAddr,
    /// The data centre in which the server runs.
    pub data_centre: Name,
    /// The version of the server's software; empty if unknown. It is unrelated to the
    /// version of a model's weights.
    pub version: Name,
    /// The number of requests that the server runs concurrently.
    pub slots: usize,
    /// The kind of work that the server takes.
    pub role: ServerRole,
    /// Whether the server has announced that it is leaving.
    pub leaving: bool,
}

/// `ServerRole` is the kind of work that a backend server takes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ServerRole {
    /// Calls of a plain service.
    Plain,
    /// Prefill: processes prompts.
    Prefill,
    /// Decode: generates tokens.
    Decode,
}

/// `Server` is a listed backend server with the state that this host observes of it.
#[derive(Debug)]
pub struct Server {
    /// The server's entry as the platform lists it.
    pub entry: ServerEntry,
    /// A hash of the instance and the process start time, which identifies the server
    /// in messages between hosts.
    pub key: u64,
    /// The tag of the version in the entry.
    pub version: VersionTag,
    /// The observed state.
    pub state: Arc<ServerState>,
    /// Until when the server is kept although its entry is missing, because the
    /// key-value service may have lost the entry in an outage. `None` while it is listed.
    pub kept_until: Option<Instant>,
    /// Until when the server gets no work although it is listed, because it was gone before the
    /// service came back from an older copy.
    pub withheld_until: Option<Instant>,
}

/// `ServerState` is the state that one host observes of one process of a server.
#[derive(Debug, Default)]
pub struct ServerState {
    health: Mutex<ServerHealth>,
    in_flight: AtomicUsize,
    full_until: Mutex<Option<Instant>>,
    streams: AtomicUsize,
    last_activity: Mutex<Option<Instant>>,
}

/// How long a server counts as reached after it has sent something, whatever other hosts say.
const HEARD_PERIOD: Duration = Duration::from_secs(2);

/// How long all streams of an engine may be silent before it gets no new work. Busy
/// engines send an event on each stream about every 50 ms.
const MAX_STREAM_SILENCE: Duration = Duration::from_millis(500);

impl ServerState {
    /// Runs `f` on the server's health while holding its lock.
    pub fn health<T>(&self, f: impl FnOnce(&mut ServerHealth) -> T) -> T {
        f(&mut self.health.lock())
    }

    /// Records that the server has no capacity for new work before `until`.
    pub fn set_full(&self, until: Instant) {
        *self.full_until.lock() = Some(until);
    }

    /// Tells whether the server recently refused work for lack of capacity.
    pub fn is_full(&self, now: Instant) -> bool {
        self.full_until.lock().is_some_and(|until| now < until)
    }

    /// Records that the server sent part of a stream.
    pub fn record_activity(&self, now: Instant) {
        *self.last_activity.lock() = Some(now);
    }

    /// Tells whether the server has open streams to this host and none of them has
    /// received data for a while, for example because the machine lost its network or
    /// power.
    pub fn is_silent(&self, now: Instant) -> bool {
        let last = *self.last_activity.lock();
        let silent = last.is_some_and(|at| now.saturating_duration_since(at) > MAX_STREAM_SILENCE);
        silent && self.streams.load(Ordering::Relaxed) > 0
    }

    /// Tells whether the server has lately sent something to this host.
    pub fn is_heard(&self, now: Instant) -> bool {
        let last = *self.last_activity.lock();
        last.is_some_and(|at| now.saturating_duration_since(at) < HEARD_PERIOD)
            || self.health(|h| h.has_answered_within(HEARD_PERIOD, now))
    }

    /// Returns the number of calls in flight from this host to the server.
    pub fn in_flight(&self) -> usize {
        self.in_flight.load(Ordering::Relaxed)
    }
}

/// `InFlightGuard` counts one call to a server until it is dropped.
#[derive(Debug)]
pub struct InFlightGuard(Arc<ServerState>);

impl InFlightGuard {
    /// Starts counting a call to `server`.
    pub fn begin(server: &Server) -> InFlightGuard {
        server.state.in_flight.fetch_add(1, Ordering::Relaxed);
        InFlightGuard(server.state.clone())
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}

/// `StreamGuard` counts one open stream from a server until it is dropped.
#[derive(Debug)]
pub struct StreamGuard(Arc<ServerState>);

impl StreamGuard {
    /// Starts counting a stream from `server`. The start counts as activity.
    pub fn begin(server: &Server, now: Instant) -> StreamGuard {
        server.state.record_activity(now);
        server.state.streams.fetch_add(1, Ordering::Relaxed);
        StreamGuard(server.state.clone())
    }
}

impl Drop for StreamGuard {
    fn drop(&mut self) {
        self.0.streams.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Server {
    fn new(
        entry: ServerEntry,
        state: Arc<ServerState>,
        withheld_until: Option<Instant>,
    ) -> Arc<Server> {
        let key = xxh3_64(entry.instance.as_bytes()) ^ entry.born_ms;
        let version = VersionTag::of(&entry.version);
        Arc::new(Server { entry, key, version, state, kept_until: None, withheld_until })
    }

    /// Tells whether the server may get new work: it is staying and seems reachable.
    pub fn is_available(&self, now: Instant) -> bool {
        self.is_staying(now) && self.seems_reachable(now)
    }

    /// Tells whether the server is neither leaving nor gone.
    pub fn is_staying(&self, now: Instant) -> bool {
        let withheld = self.withheld_until.is_some_and(|until| now < until);
        !self.entry.leaving && !withheld && !self.is_expired(now)
    }

    /// Tells whether the time is over for which the server is kept without an entry.
    pub fn is_expired(&self, now: Instant) -> bool {
        self.kept_until.is_some_and(|until| now >= until)
    }

    /// Tells whether the server seems reachable: it is neither paused after failures nor
    /// silent on all its streams.
    pub fn seems_reachable(&self, now: Instant) -> bool {
        !self.state.health(|h| h.is_paused(now)) && !self.state.is_silent(now)
    }
}

/// `Roster` is a snapshot of the listed backend servers.
#[derive(Debug, Clone, Default)]
pub struct Roster {
    by_instance: HashMap<Name, Arc<Server>>,
}

impl Roster {
    /// Returns the server that `entry` describes, or `None` if nothing has changed. It gets no
    /// work before `withheld_until`. A new entry of the same process keeps the observed state.
    ///
    /// A server that has announced that it is leaving stays so until its process ends,
    /// because an entry that is read again after an outage may be out of date.
    pub fn updated_server(
        &self,
        mut entry: ServerEntry,
        withheld_until: Option<Instant>,
    ) -> Option<Arc<Server>> {
        let listed = self.by_instance.get(&entry.instance);
        if let Some(same) = listed.filter(|s| s.entry.born_ms == entry.born_ms) {
            entry.leaving |= same.entry.leaving;
            // Hosts of the previous build pass entries on without the version.
            if entry.version.is_empty() {
                entry.version = same.entry.version.clone();
            }
        }
        let is_same = |server: &Arc<Server>| {
            server.entry == entry
                && server.kept_until.is_none()
                && server.withheld_until == withheld_until
        };
        if listed.is_some_and(is_same) {
            return None;
        }
        let same_process = listed.filter(|server| server.entry.born_ms == entry.born_ms);
        let state = same_process.map(|server| server.state.clone()).unwrap_or_default();
        Some(Server::new(entry, state, withheld_until))
    }

    /// Adds `server`, replacing the server of the same name if there is one.
    pub fn insert(&mut self, server: Arc<Server>) {
        self.by_instance.insert(server.entry.instance.clone(), server);
    }

    /// Keeps the server until `until` although its entry is missing.
    pub fn keep(&mut self, server: &Server, until: Instant) {
        let Server { entry, key, version, state, withheld_until, .. } = server;
        self.insert(Arc::new(Server {
            entry: entry.clone(),
            key: *key,
            version: *version,
            state: state.clone(),
            kept_until: Some(until),
            withheld_until: *withheld_until,
        }));
    }

    /// Removes the server, if it is listed.
    pub fn remove(&mut self, instance: &str) {
        self.by_instance.remove(instance);
    }

    /// Returns the names of the servers that are not in `present`.
    pub fn missing_from(&self, present: &HashSet<Name>) -> Vec<Name> {
        self.by_instance.keys().filter(|name| !present.contains(*name)).cloned().collect()
    }

    /// Returns the server named `instance`.
    pub fn get(&self, instance: &str) -> Option<&Arc<Server>> {
        self.by_instance.get(instance)
    }

    /// Returns the server with `key`.
    pub fn by_key(&self, key: u64) -> Option<&Arc<Server>> {
        self.all().find(|server| server.key == key)
    }

    /// Returns all servers, in no particular order.
    pub fn all(&self) -> impl Iterator<Item = &Arc<Server>> {
        self.by_instance.values()
    }

    /// Returns the servers of `service` in `role` that may get new work, by instance.
    pub fn available(&self, service: &str, role: ServerRole, now: Instant) -> Vec<Arc<Server>> {
        let mut available: Vec<Arc<Server>> = self
            .all()
            .filter(|s| &*s.entry.service == service && s.entry.role == role && s.is_available(now))
            .cloned()
            .collect();
        // Decisions must not depend on the map's iteration order, which differs between
        // runs.
        available.sort_by(|a, b| a.entry.instance.cmp(&b.entry.instance));
        available
    }
}
