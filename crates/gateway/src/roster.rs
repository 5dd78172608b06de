//! The `roster` module keeps the backend servers that the platform lists.
//!
//! A roster is a snapshot that is replaced as a whole; what is learned about a
//! server while it serves is shared by all snapshots that list the same life of
//! the server.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use aspenloft_core::prelude::{Arc, Name};
use aspenloft_policy::server_health::ServerHealth;
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// `ServerEntry` is a backend server as the platform lists it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerEntry {
    /// The name of this life of the server.
    pub instance: Name,
    /// When this life began, in milliseconds since the Unix epoch; 0 when not said.
    pub born_ms: u64,
    /// The service that it belongs to.
    pub service: Name,
    /// Where it listens.
    pub addr: SocketAddr,
    /// Its data centre.
    pub data_centre: Name,
    /// Requests that it runs at once.
    pub slots: usize,
    /// What it does.
    pub role: ServerRole,
    /// Whether it has said that it is leaving.
    pub leaving: bool,
}

/// `ServerRole` is the work that a backend server takes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ServerRole {
    /// Calls of a plain service.
    Plain,
    /// Reads prompts.
    Prefill,
    /// Makes tokens.
    Decode,
}

/// `Server` is a backend server with what this host knows of it.
#[derive(Debug)]
pub struct Server {
    /// What the platform lists.
    pub entry: ServerEntry,
    /// A short name for messages between hosts.
    pub key: u64,
    /// What its answers showed.
    pub state: Arc<ServerState>,
}

/// `ServerState` is what one host has seen of one life of a server.
#[derive(Debug, Default)]
pub struct ServerState {
    health: Mutex<ServerHealth>,
    in_flight: AtomicUsize,
    full_until: Mutex<Option<Instant>>,
    streams: AtomicUsize,
    heard: Mutex<Option<Instant>>,
}

/// How long all streams of an engine may be silent before it gets nothing new. Busy
/// engines send an event of a stream about every 50 ms.
const SILENCE: Duration = Duration::from_millis(500);

impl ServerState {
    /// Runs `f` on the server's health.
    pub fn health<T>(&self, f: impl FnOnce(&mut ServerHealth) -> T) -> T {
        f(&mut self.health.lock())
    }

    /// Notes that the server has no room before `until`.
    pub fn set_full(&self, until: Instant) {
        *self.full_until.lock() = Some(until);
    }

    /// Tells whether the server has refused work for want of room just before `now`.
    pub fn is_full(&self, now: Instant) -> bool {
        self.full_until.lock().is_some_and(|until| now < until)
    }

    /// Notes that the server sent part of a stream.
    pub fn record_activity(&self, now: Instant) {
        *self.heard.lock() = Some(now);
    }

    /// Tells whether the server streams to this host and none of the streams has
    /// brought anything for a while, as when its machine has gone dark.
    pub fn is_silent(&self, now: Instant) -> bool {
        let heard = *self.heard.lock();
        let silent = heard.is_some_and(|at| now.saturating_duration_since(at) > SILENCE);
        silent && self.streams.load(Ordering::Relaxed) > 0
    }

    /// Returns the calls in flight from this host.
    pub fn in_flight(&self) -> usize {
        self.in_flight.load(Ordering::Relaxed)
    }
}

/// `InFlightGuard` counts one call to a server until it is dropped.
#[derive(Debug)]
pub struct InFlightGuard(Arc<ServerState>);

impl InFlightGuard {
    /// Counts a call to `server`.
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

/// `StreamGuard` counts one stream from a server until it is dropped.
#[derive(Debug)]
pub struct StreamGuard(Arc<ServerState>);

impl StreamGuard {
    /// Counts a stream from `server`, which has just begun.
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
    fn new(entry: ServerEntry, state: Arc<ServerState>) -> Arc<Server> {
        let key = xxh3_64(entry.instance.as_bytes()) ^ entry.born_ms;
        Arc::new(Server { entry, key, state })
    }

    /// Tells whether the server may get new work at `now`.
    pub fn is_available(&self, now: Instant) -> bool {
        !self.entry.leaving && self.seems_reachable(now)
    }

    /// Tells whether nothing speaks against reaching the server at `now`.
    pub fn seems_reachable(&self, now: Instant) -> bool {
        !self.state.health(|h| h.is_paused(now)) && !self.state.is_silent(now)
    }
}

/// `Roster` is one snapshot of the backend servers.
#[derive(Debug, Clone, Default)]
pub struct Roster {
    by_instance: HashMap<Name, Arc<Server>>,
}

impl Roster {
    /// Returns the server that `entry` lists, or `None` when it says nothing new.
    ///
    /// A server that has said that it is leaving stays so for the rest of its life,
    /// because what is read again after an outage may be older than what is known.
    pub fn updated_server(&self, mut entry: ServerEntry) -> Option<Arc<Server>> {
        let held = self.by_instance.get(&entry.instance);
        entry.leaving |= held.is_some_and(|s| s.entry.born_ms == entry.born_ms && s.entry.leaving);
        if held.is_some_and(|server| server.entry == entry) {
            return None;
        }
        let same_life = held.filter(|server| server.entry.born_ms == entry.born_ms);
        let state = same_life.map(|server| server.state.clone()).unwrap_or_default();
        Some(Server::new(entry, state))
    }

    /// Adds `server`, or puts it in the place of what was listed under its name.
    pub fn insert(&mut self, server: Arc<Server>) {
        self.by_instance.insert(server.entry.instance.clone(), server);
    }

    /// Removes the server, if it is listed.
    pub fn remove(&mut self, instance: &str) {
        self.by_instance.remove(instance);
    }

    /// Returns the server named `instance`.
    pub fn get(&self, instance: &str) -> Option<&Arc<Server>> {
        self.by_instance.get(instance)
    }

    /// Returns all servers.
    pub fn all(&self) -> impl Iterator<Item = &Arc<Server>> {
        self.by_instance.values()
    }

    /// Returns the servers of `service` that do `role` and may get new work.
    pub fn available(&self, service: &str, role: ServerRole, now: Instant) -> Vec<Arc<Server>> {
        let mut open: Vec<Arc<Server>> = self
            .all()
            .filter(|s| &*s.entry.service == service && s.entry.role == role && s.is_available(now))
            .cloned()
            .collect();
        // The order of a map differs between runs; decisions must not.
        open.sort_by(|a, b| a.entry.instance.cmp(&b.entry.instance));
        open
    }
}
