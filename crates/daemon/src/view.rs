//! The `view` module holds what a host knows of the deployment: the table, the
//! hosts and the backend servers. Readers take a snapshot and never wait.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use aspenloft_core::errors::{Error, ErrorCode, Result, not_found};
use aspenloft_core::prelude::{Backend, BackendRole, Host, Name};
use aspenloft_membership::digests::Digests;
use aspenloft_membership::homes::home_of;
use aspenloft_protocol::peer::home::BackendState;
use aspenloft_protocol::platform::Listing;
use aspenloft_table::table::Table;
use parking_lot::RwLock;

/// `View` is a host's knowledge of the deployment.
#[derive(Debug)]
pub struct View {
    me: Host,
    listing: RwLock<Arc<Listing>>,
    table: RwLock<Option<Arc<Table>>>,
    platform_reachable: AtomicBool,
    leaving: AtomicBool,
    digests: RwLock<Digests>,
}

impl View {
    /// Creates the view of a host that knows only itself.
    pub fn new(me: Host) -> View {
        let listing = Listing { hosts: vec![me.clone()], backends: Vec::new() };
        View {
            me,
            listing: RwLock::new(Arc::new(listing)),
            table: RwLock::new(None),
            platform_reachable: AtomicBool::new(false),
            leaving: AtomicBool::new(false),
            digests: RwLock::default(),
        }
    }

    /// Returns this host.
    pub fn me(&self) -> &Host {
        &self.me
    }

    /// Returns the hosts and backend servers known now.
    pub fn listing(&self) -> Arc<Listing> {
        self.listing.read().clone()
    }

    /// Takes a newer listing; this host always remains in it.
    pub fn set_listing(&self, mut listing: Listing) {
        if !listing.hosts.iter().any(|host| host.name == self.me.name) {
            listing.hosts.push(self.me.clone());
        }
        *self.listing.write() = Arc::new(listing);
    }

    /// Returns the table in force, or the refusal that stands for its absence.
    pub fn table(&self) -> Result<Arc<Table>> {
        let table = self.table.read().clone();
        table.ok_or_else(|| Error::new(ErrorCode::NotReady, "this host has no table yet"))
    }

    /// Returns the version of the table in force; zero for none.
    pub fn table_version(&self) -> u64 {
        self.table.read().as_ref().map_or(0, |table| table.version)
    }

    /// Puts `table` in force unless the one in force is as new; tells which.
    pub fn offer_table(&self, table: Table) -> bool {
        let mut current = self.table.write();
        if current.as_ref().is_some_and(|current| current.version >= table.version) {
            return false;
        }
        *current = Some(Arc::new(table));
        true
    }

    /// Notes whether the platform answered.
    pub fn set_platform_reachable(&self, reachable: bool) {
        self.platform_reachable.store(reachable, Ordering::Relaxed);
    }

    /// Tells whether the platform answered last time.
    pub fn platform_reachable(&self) -> bool {
        self.platform_reachable.load(Ordering::Relaxed)
    }

    /// Says to all hosts, with the next heartbeat, that this one is leaving.
    pub fn set_leaving(&self) {
        self.leaving.store(true, Ordering::Relaxed);
    }

    /// Tells whether this host is leaving.
    pub fn leaving(&self) -> bool {
        self.leaving.load(Ordering::Relaxed)
    }

    /// Publishes the state of a backend server whose home this host is; heartbeats
    /// carry it to the other hosts.
    pub fn publish(&self, backend: &Name, state: BackendState, now: Instant) {
        self.digests.write().note(backend, state, now);
    }

    /// Returns the last state known of a backend server, and its age.
    pub fn state_of(&self, backend: &str, now: Instant) -> Option<(BackendState, Duration)> {
        self.digests.read().state_of(backend, now)
    }

    /// Finds a backend server by name.
    pub fn backend(&self, name: &str) -> Result<Backend> {
        let listing = self.listing();
        let found = listing.backends.iter().find(|backend| *backend.name == *name);
        found.cloned().ok_or_else(|| not_found(format!("no backend server {name}")))
    }

    /// Returns the backend servers of a role that serve `serves` and stay.
    pub fn backends(&self, role: BackendRole, serves: &str) -> Vec<Backend> {
        let listing = self.listing();
        let staying = listing.backends.iter().filter(|backend| !backend.leaving);
        staying.filter(|b| b.role == role && *b.serves == *serves).cloned().collect()
    }

    /// Finds the home host of a backend server.
    pub fn home(&self, backend: &Backend) -> Result<Host> {
        let listing = self.listing();
        home_of(backend, &listing.hosts)
            .cloned()
            .ok_or_else(|| Error::new(ErrorCode::NoBackend, "no live host"))
    }
}
