//! The `view` module holds the host's view of the deployment: the configuration in
//! force and the backend servers.

use std::collections::HashSet;
use std::time::{Duration, Instant};

use aspenloft_core::prelude::{Arc, Name, Position};
use aspenloft_protocol::platform::Version;
use derive_more::Display;
use parking_lot::RwLock;

use crate::configuration::Configuration;
use crate::departures::{Departure, Departures};
use crate::roster::{Roster, Server, ServerEntry};

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
    /// A response of the server itself.
    #[display("response")]
    Response,
}

/// `ServerChange` is a change of the entry of one backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ServerChange {
    /// The entry was written.
    Listed(ServerEntry),
    /// Another host lists the entry, but gives the server no work before this time.
    Withheld(ServerEntry, Instant),
    /// The entry was removed.
    Removed(Name),
    /// The entry was overwritten by one that cannot be decoded and names no server to use.
    Unreadable(Name),
}

/// `Keep` says which servers are kept for a while although their entries are missing: the
/// key-value service may have lost them in an outage, and they are written again.
#[derive(Debug)]
pub enum Keep {
    /// None, beyond those that are kept already.
    Nothing,
    /// All, until this time.
    Until(Instant),
    /// Those that another host keeps, until the times beside them.
    AsPeer(Vec<(ServerEntry, Instant)>),
}

impl Keep {
    /// Returns until when `server` is kept, `None` if it is to be removed.
    fn until(&self, server: &Server) -> Option<Instant> {
        match self {
            Keep::Nothing => server.kept_until,
            Keep::Until(until) => Some(*until),
            Keep::AsPeer(kept) => {
                let same = |entry: &ServerEntry| {
                    entry.instance == server.entry.instance && entry.born_ms == server.entry.born_ms
                };
                kept.iter().find(|(entry, _)| same(entry)).map(|(_, until)| *until)
            }
        }
    }
}

/// `View` is the host's view of the deployment. Readers get snapshots.
///
/// The servers are those that the key-value service listed at one position, which only
/// rises: hosts learn of changes in several ways at once, and what was read earlier may
/// arrive later. `docs/design/platform.md` describes them, and `docs/design/store-eras.md`
/// what happens when the service comes back from an older copy.
///
/// Lock order: `configuration` and `servers` are never held together.
#[derive(Debug, Default)]
pub struct View {
    configuration: RwLock<Option<Arc<Configuration>>>,
    servers: RwLock<ListedServers>,
}

/// The servers that the key-value service listed at `position`.
#[derive(Debug, Default)]
struct ListedServers {
    position: Position,
    /// The position of the last change; those up to `position` concern nothing in a view.
    changed_at: Position,
    /// When the host learned of the era of `position`, if it knew of an earlier one.
    restored_at: Option<Instant>,
    roster: Arc<Roster>,
    departures: Departures,
    loaded: bool,
}

/// How long after the service has come back from an older copy entries may be out of date:
/// as long as the leases of servers that are gone may last.
pub const RESTORE_SETTLE_TIME: Duration = Duration::from_secs(6);

/// `ServiceReach` is how much of a service a host reaches.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ServiceReach {
    /// The number of servers that stay.
    pub staying: usize,
    /// The number of those that the host reaches.
    pub reached: usize,
}

impl ServiceReach {
    /// Returns whether the host reaches at most half of the servers.
    pub fn is_poor(self) -> bool {
        self.staying > 0 && self.reached * 2 <= self.staying
    }
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
        *current = Some(Arc::new(next.bounded()));
        true
    }

    /// Returns a snapshot of the backend servers.
    pub fn roster(&self) -> Arc<Roster> {
        self.servers.read().roster.clone()
    }

    /// Returns a snapshot of the backend servers with the position in the key-value service
    /// from which on they have been listed so.
    pub fn positioned_roster(&self) -> (Position, Arc<Roster>) {
        let servers = self.servers.read();
        (servers.changed_at, servers.roster.clone())
    }

    /// Returns the position of the last change that concerns hosts which take this view.
    pub fn changed_at(&self) -> Position {
        self.servers.read().changed_at
    }

    /// Returns the position in the key-value service up to which changes are applied.
    pub fn position(&self) -> Position {
        self.servers.read().position
    }

    /// Replaces the servers by those of `entries`, which were present at `position`. Servers
    /// whose entries are missing are kept as `keep` says. Returns false and changes nothing
    /// if newer changes have been applied already.
    pub fn replace_servers(
        &self,
        entries: Vec<ServerChange>,
        position: Position,
        source: UpdateSource,
        keep: &Keep,
        now: Instant,
    ) -> bool {
        let mut servers = self.servers.write();
        if position < servers.position {
            return false;
        }
        if servers.loaded && position.era > servers.position.era {
            servers.log_restored(position, source);
            servers.restored_at = Some(now);
        }
        servers.position = position;
        servers.changed_at = position;
        let revision = position.revision;
        let mut present = HashSet::new();
        for entry in entries {
            match entry {
                ServerChange::Listed(entry) => {
                    present.insert(entry.instance.clone());
                    servers.list(entry, None, source, revision, now);
                }
                ServerChange::Withheld(entry, until) => {
                    present.insert(entry.instance.clone());
                    servers.list(entry, Some(until), source, revision, now);
                }
                ServerChange::Removed(name) | ServerChange::Unreadable(name) => {
                    servers.remove(&name, source, revision, now);
                }
            }
        }
        for missing in servers.roster.missing_from(&present) {
            servers.remove_or_keep(&missing, source, revision, keep, now);
        }
        if let Keep::AsPeer(kept) = keep
            && !servers.loaded
        {
            servers.list_kept(kept);
        }
        servers.loaded = true;
        true
    }

    /// Applies `changes`, each made at the revision beside it, and advances to `position`.
    /// Changes that have been applied already are left out, as are those of another era than
    /// that of the view. Removed servers are kept as `keep` says.
    pub fn apply_changes(
        &self,
        changes: Vec<(Version, ServerChange)>,
        position: Position,
        keep: &Keep,
        now: Instant,
    ) {
        let mut servers = self.servers.write();
        if position.era != servers.position.era {
            return;
        }
        let applied = servers.position.revision;
        for (version, change) in changes {
            if version <= applied {
                continue;
            }
            match change {
                ServerChange::Listed(entry) | ServerChange::Withheld(entry, _) => {
                    servers.list(entry, None, UpdateSource::Watch, version, now);
                }
                ServerChange::Removed(name) => {
                    servers.remove_or_keep(&name, UpdateSource::Watch, version, keep, now);
                }
                ServerChange::Unreadable(name) => {
                    servers.remove(&name, UpdateSource::Watch, version, now);
                }
            }
        }
        servers.position = servers.position.max(position);
        servers.changed_at = servers.position;
    }

    /// Advances to `position` of the same era, up to which nothing has changed that a view
    /// holds.
    pub fn skip_to(&self, position: Position) {
        let mut servers = self.servers.write();
        if position.era == servers.position.era {
            servers.position = servers.position.max(position);
        }
    }

    /// Takes over that servers are leaving or withheld from the list of another host, whatever
    /// its position: a process that is leaving stays so.
    pub fn merge_marks(&self, entries: &[ServerChange]) {
        let roster = self.roster();
        let marked = entries.iter().filter_map(|entry| {
            let (entry, until) = match entry {
                ServerChange::Listed(entry) if entry.leaving => (entry, None),
                ServerChange::Withheld(entry, until) => (entry, Some(*until)),
                _ => return None,
            };
            let server = roster.get(&entry.instance)?;
            // One that is kept without an entry is gone soon in any case.
            let is_same = server.entry.born_ms == entry.born_ms && server.kept_until.is_none();
            let is_new = (entry.leaving && !server.entry.leaving)
                || (until.is_some() && server.withheld_until.is_none());
            (is_same && is_new).then_some((&entry.instance, entry.leaving, until))
        });
        for (instance, leaving, until) in marked {
            self.servers.write().mark(instance, leaving, until, UpdateSource::Peer);
        }
    }

    /// Records that `server` has said itself that it is leaving. It stays so whatever is read
    /// of it later, also if its entry has been lost.
    pub fn record_leaving(&self, server: &Server) {
        let is_news = |listed: &Server| listed.key == server.key && !listed.entry.leaving;
        if self.roster().get(&server.entry.instance).is_some_and(|listed| is_news(listed)) {
            let mut servers = self.servers.write();
            servers.mark(&server.entry.instance, true, None, UpdateSource::Response);
        }
    }

    /// Returns how many servers of `service` stay, and for how many of them `reaches` holds.
    pub fn reach(
        &self,
        service: &Name,
        now: Instant,
        reaches: impl Fn(&Server) -> bool,
    ) -> ServiceReach {
        let roster = self.roster();
        let mut reach = ServiceReach::default();
        for server in roster.all().filter(|s| s.entry.service == *service && s.is_staying(now)) {
            reach.staying += 1;
            reach.reached += usize::from(reaches(server));
        }
        reach
    }

    /// Removes the servers whose time is over for which they were kept without an entry.
    pub fn remove_expired(&self, now: Instant) {
        if !self.roster().all().any(|server| server.is_expired(now)) {
            return;
        }
        let mut servers = self.servers.write();
        let expired = servers.roster.all().filter(|server| server.is_expired(now));
        let expired: Vec<Name> = expired.map(|server| server.entry.instance.clone()).collect();
        let revision = servers.position.revision;
        for name in expired {
            servers.remove(&name, UpdateSource::Grace, revision, now);
        }
    }

    /// Tells whether the entries of servers are up to date again if the service has come back
    /// from an older copy.
    pub fn is_settled(&self, now: Instant) -> bool {
        let restored_at = self.servers.read().restored_at;
        restored_at.is_none_or(|at| now.saturating_duration_since(at) >= RESTORE_SETTLE_TIME)
    }

    /// Tells whether the host has the configuration and the list of servers, without
    /// which it cannot serve callers.
    pub fn is_complete(&self) -> bool {
        self.configuration.read().is_some() && self.servers.read().loaded
    }
}

impl ListedServers {
    /// Logs that the service has come back from an older copy.
    fn log_restored(&self, position: Position, source: UpdateSource) {
        let (from, to) = (self.position.to_string(), position.to_string());
        let (from, to, source) = (from.as_str(), to.as_str(), source.to_string());
        log::warn!(event = "store_restored", from, to, source = source.as_str(); "");
    }

    /// Adds or replaces one server. The roster is copied only if the entry has changed
    /// and a reader holds a snapshot of it.
    fn list(
        &mut self,
        mut entry: ServerEntry,
        withheld_elsewhere: Option<Instant>,
        source: UpdateSource,
        revision: Version,
        now: Instant,
    ) {
        let departure = self.departures.of(&entry);
        entry.leaving |= departure.is_some_and(|departure| departure.leaving);
        let known = self.roster.get(&entry.instance).filter(|s| s.entry.born_ms == entry.born_ms);
        let known = known.and_then(|server| server.withheld_until);
        let withheld_until = departure
            .and_then(|departure| self.withhold(departure, source, now))
            .or(withheld_elsewhere)
            // Times from other hosts differ slightly from one view to the next.
            .map(|until| known.unwrap_or(until));
        let Some(server) = self.roster.updated_server(entry, withheld_until) else { return };
        let ServerEntry { instance, leaving, version, .. } = &server.entry;
        log::info!(
            event = "server_listed", server = &**instance, version = &**version, leaving = *leaving,
            withheld = withheld_until.is_some(), source = source.to_string().as_str(), revision; ""
        );
        Arc::make_mut(&mut self.roster).insert(server);
    }

    /// Marks a listed server as leaving or withheld.
    fn mark(
        &mut self,
        instance: &str,
        leaving: bool,
        withheld_until: Option<Instant>,
        source: UpdateSource,
    ) {
        let Some(server) = self.roster.get(instance).cloned() else { return };
        let mut entry = server.entry.clone();
        entry.leaving |= leaving;
        let withheld_until = withheld_until.or(server.withheld_until);
        let Some(marked) = self.roster.updated_server(entry, withheld_until) else { return };
        let source = source.to_string();
        log::info!(
            event = "server_marked", server = instance, leaving,
            withheld = withheld_until.is_some(), source = source.as_str(); ""
        );
        let roster = Arc::make_mut(&mut self.roster);
        match server.kept_until {
            Some(until) => roster.keep(&marked, until),
            None => roster.insert(marked),
        }
    }

    /// Returns until when a server is not used that is listed again after `departure`. Only a
    /// change shows that the entry was written in this era; a snapshot or a view may have it
    /// from the copy.
    fn withhold(
        &self,
        departure: Departure,
        source: UpdateSource,
        now: Instant,
    ) -> Option<Instant> {
        if source == UpdateSource::Watch || departure.era >= self.position.era {
            return None;
        }
        self.restored_at.map(|at| at + RESTORE_SETTLE_TIME).filter(|until| now < *until)
    }

    /// Removes one server or keeps it. A server that was leaving is removed at once, and one
    /// that is kept already is not kept longer.
    fn remove_or_keep(
        &mut self,
        instance: &str,
        source: UpdateSource,
        revision: Version,
        keep: &Keep,
        now: Instant,
    ) {
        let Some(server) = self.roster.get(instance).cloned() else { return };
        let until = keep.until(&server).filter(|_| !server.entry.leaving);
        match (until, server.kept_until) {
            (Some(_), Some(_)) => {}
            (Some(until), None) => {
                log::info!(event = "server_kept", server = instance, revision; "");
                Arc::make_mut(&mut self.roster).keep(&server, until);
            }
            (None, _) => self.remove(instance, source, revision, now),
        }
    }

    /// Adds the servers that another host keeps, for a host that has no list yet.
    fn list_kept(&mut self, kept: &[(ServerEntry, Instant)]) {
        for (entry, until) in kept {
            if let Some(server) = self.roster.updated_server(entry.clone(), None) {
                Arc::make_mut(&mut self.roster).keep(&server, *until);
            }
        }
    }

    /// Removes one server, if it is listed.
    fn remove(&mut self, instance: &str, source: UpdateSource, revision: Version, now: Instant) {
        let Some(server) = self.roster.get(instance) else { return };
        self.departures.record(&server.entry, self.position.era, now);
        let source = source.to_string();
        log::info!(event = "server_gone", server = instance, source = source.as_str(), revision; "");
        Arc::make_mut(&mut self.roster).remove(instance);
    }
}
