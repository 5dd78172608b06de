//! The `view` module holds the host's view of the deployment: the configuration in
//! force and the backend servers.

use std::collections::HashSet;
use std::time::Instant;

use aspenloft_core::prelude::{Arc, Name};
use derive_more::Display;
use parking_lot::RwLock;

use crate::configuration::Configuration;
use crate::roster::{Roster, ServerEntry};

/// `UpdateSource` is where a host learned of a change to its view. It is logged with each
/// change, because views of hosts that differ are explained by how they came about.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq)]
pub enum UpdateSource {
    /// A snapshot of the key-value service.
    #[display("snapshot")]
    Snapshot,
    /// A change that the key-value service reported.
    #[display("watch")]
    Watch,
    /// The view of another host.
    #[display("peer")]
    Peer,
    /// The end of the time for which a server is kept whose entry was lost.
    #[display("grace")]
    Grace,
}

/// `View` is the host's view of the deployment. Readers get snapshots.
///
/// Lock order: `configuration` and `roster` are never held together.
#[derive(Debug, Default)]
pub struct View {
    configuration: RwLock<Option<Arc<Configuration>>>,
    roster: RwLock<Arc<Roster>>,
    servers_loaded: RwLock<Option<Instant>>,
}

impl View {
    /// Returns the configuration in force, or `None` if none has been received yet.
    pub fn configuration(&self) -> Option<Arc<Configuration>> {
        self.configuration.read().clone()
    }

    /// Puts `next` in force if it is newer than the current version; returns whether
    /// it did.
    pub fn apply_configuration(&self, next: Configuration) -> bool {
        let mut current = self.configuration.write();
        let from = current.as_ref().map_or(0, |c| c.version);
        if current.is_some() && next.version <= from {
            return false;
        }
        log::info!(event = "configuration", from, version = next.version, routes = next.routes.len(); "");
        *current = Some(Arc::new(next));
        true
    }

    /// Returns a snapshot of the backend servers.
    pub fn roster(&self) -> Arc<Roster> {
        self.roster.read().clone()
    }

    /// Adds or replaces one server. The roster is copied only if the entry has changed
    /// and a reader holds a snapshot of it.
    pub fn upsert_server(&self, entry: ServerEntry, source: UpdateSource, revision: u64) {
        let mut roster = self.roster.write();
        let Some(server) = roster.updated_server(entry) else { return };
        let ServerEntry { instance, leaving, .. } = &server.entry;
        log::info!(
            event = "server_listed", server = &**instance, leaving = *leaving,
            source = source.to_string().as_str(), revision; ""
        );
        Arc::make_mut(&mut roster).insert(server);
    }

    /// Removes one server, if it is listed.
    pub fn remove_server(&self, instance: &str, source: UpdateSource, revision: u64) {
        let mut roster = self.roster.write();
        if roster.get(instance).is_none() {
            return;
        }
        let source = source.to_string();
        log::info!(event = "server_gone", server = instance, source = source.as_str(), revision; "");
        Arc::make_mut(&mut roster).remove(instance);
    }

    /// Returns the names of the servers that are listed but not in `present`.
    pub fn missing_from(&self, present: &[Name]) -> Vec<Name> {
        let present: HashSet<&Name> = present.iter().collect();
        let roster = self.roster();
        let missing = roster.all().map(|s| &s.entry.instance).filter(|i| !present.contains(i));
        missing.cloned().collect()
    }

    /// Records that the complete list of servers has been read.
    pub fn mark_servers_loaded(&self, now: Instant) {
        *self.servers_loaded.write() = Some(now);
    }

    /// Tells whether the host has the configuration and the list of servers, without
    /// which it cannot serve callers.
    pub fn is_complete(&self) -> bool {
        self.configuration.read().is_some() && self.servers_loaded.read().is_some()
    }
}
