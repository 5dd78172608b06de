//! The `view` module holds what the host believes of the deployment: the
//! configuration in force and the backend servers.

use std::collections::HashSet;
use std::time::Instant;

use aspenloft_core::prelude::{Arc, Name};
use parking_lot::RwLock;

use crate::configuration::Configuration;
use crate::roster::{Roster, ServerEntry};

/// `View` is what the host believes. Readers get snapshots.
///
/// Lock order: `configuration` and `roster` are never held together.
#[derive(Debug, Default)]
pub struct View {
    configuration: RwLock<Option<Arc<Configuration>>>,
    roster: RwLock<Arc<Roster>>,
    listed: RwLock<Option<Instant>>,
}

impl View {
    /// Returns the configuration in force, or `None` before the first is known.
    pub fn configuration(&self) -> Option<Arc<Configuration>> {
        self.configuration.read().clone()
    }

    /// Puts `next` in force unless a version as new is in force already; returns
    /// whether it is in force now.
    pub fn apply_configuration(&self, next: Configuration) -> bool {
        let mut held = self.configuration.write();
        let from = held.as_ref().map_or(0, |c| c.version);
        if held.is_some() && next.version <= from {
            return false;
        }
        log::info!(event = "configuration", from, version = next.version, routes = next.routes.len(); "");
        *held = Some(Arc::new(next));
        true
    }

    /// Returns the backend servers.
    pub fn roster(&self) -> Arc<Roster> {
        self.roster.read().clone()
    }

    /// Adds or replaces one server. The roster is copied only when something is new and
    /// a reader has a snapshot of it.
    pub fn upsert_server(&self, entry: ServerEntry) {
        let mut held = self.roster.write();
        let leaving = entry.leaving;
        let Some(server) = held.updated_server(entry) else { return };
        log::info!(event = "server_listed", server = &*server.entry.instance, leaving; "");
        Arc::make_mut(&mut held).insert(server);
    }

    /// Removes one server.
    pub fn remove_server(&self, instance: &str) {
        let mut held = self.roster.write();
        if held.get(instance).is_none() {
            return;
        }
        log::info!(event = "server_gone", server = instance; "");
        Arc::make_mut(&mut held).remove(instance);
    }

    /// Returns the names of the servers that are listed but not in `present`.
    pub fn missing_from(&self, present: &[Name]) -> Vec<Name> {
        let present: HashSet<&Name> = present.iter().collect();
        let roster = self.roster();
        let missing = roster.all().map(|s| &s.entry.instance).filter(|i| !present.contains(i));
        missing.cloned().collect()
    }

    /// Notes that the list of servers was read as a whole.
    pub fn mark_servers_loaded(&self, now: Instant) {
        *self.listed.write() = Some(now);
    }

    /// Tells whether the host knows enough to serve callers.
    pub fn is_complete(&self) -> bool {
        self.configuration.read().is_some() && self.listed.read().is_some()
    }
}
