//! The `stream_versions` module finds the version of the engines' software at which a
//! stream began that a caller takes up, perhaps through another host.

use std::collections::{BTreeSet, HashMap};
use std::time::{Duration, Instant};

use aspenloft_core::clock::unix_millis;
use aspenloft_core::prelude::{Arc, Name, SharedClock};
use aspenloft_policy::stream_versions::{
    Origin, Scope, StreamRecord, StreamTable, VersionHistory, VersionTag, stream_key,
};
use parking_lot::Mutex;

use crate::roster::Roster;
use crate::view::View;

/// How long the streams of a service are assumed to last while there is no configuration.
const DEFAULT_LIFETIME: Duration = Duration::from_secs(30);

/// `StreamVersions` holds the versions of streams as this host knows them.
pub struct StreamVersions {
    clock: SharedClock,
    view: Arc<View>,
    table: Mutex<StreamTable>,
    history: Mutex<ObservedHistory>,
}

#[derive(Default)]
struct ObservedHistory {
    history: VersionHistory,
    /// The roster that was observed last.
    observed: Option<Arc<Roster>>,
}

impl StreamVersions {
    /// Creates the versions of a host that knows of no stream yet.
    pub fn new(clock: SharedClock, view: Arc<View>) -> Arc<StreamVersions> {
        Arc::new(StreamVersions { clock, view, table: Mutex::default(), history: Mutex::default() })
    }

    /// Records that this host relays events of the stream that the attempt `first` began.
    pub fn record(&self, service: &str, first: &str, version: VersionTag) {
        let record = StreamRecord { key: stream_key(service, first), version };
        self.table.lock().record_own(record, self.clock.now());
    }

    /// Records what hosts at `origin` relay.
    pub fn record_peer(&self, records: &[StreamRecord], origin: Origin) {
        let now = self.clock.now();
        let mut table = self.table.lock();
        for record in records {
            table.record(*record, origin, now);
        }
    }

    /// Returns up to `max` records to be sent to the hosts in `scope`.
    pub fn take_unsent(&self, scope: Scope, max: usize) -> Vec<StreamRecord> {
        self.table.lock().take_unsent(scope, max)
    }

    /// Returns the version that the record of the stream with `key` names.
    pub fn recorded(&self, key: u64) -> Option<VersionTag> {
        self.table.lock().version(key)
    }

    /// Returns the records that were made after `after` in this host's data centre, and the time
    /// of the newest record.
    pub fn recorded_since(&self, after: Instant) -> (Vec<StreamRecord>, Option<Instant>) {
        self.table.lock().recorded_since(after)
    }

    /// Returns the version of `service` if this host has seen no other for longer than its
    /// streams last. Others may have come and left while the host was out of touch.
    pub fn only_version(&self, service: &str) -> Option<VersionTag> {
        let lifetime = self.lifetime(service);
        self.history.lock().history.only_version(service, lifetime, self.clock.now())
    }

    /// Returns the services of the configuration that have had several versions within the time
    /// that their streams last. Entries of other writers may name any service.
    pub fn mixed_services(&self) -> Vec<Name> {
        self.observe();
        let configuration = self.view.configuration();
        let is_known =
            |name: &Name| configuration.as_ref().is_none_or(|c| c.services.contains_key(name));
        let state = self.history.lock();
        let mut mixed = state.history.mixed(|service| self.lifetime(service), self.clock.now());
        mixed.retain(is_known);
        mixed
    }

    /// Returns how long streams of `service` last: callers keep to one no longer than the
    /// timeout of its route.
    pub fn lifetime(&self, service: &str) -> Duration {
        let Some(configuration) = self.view.configuration() else { return DEFAULT_LIFETIME };
        let routes = configuration.routes.iter();
        let serving = routes.filter(|r| r.services.iter().any(|(name, _)| &**name == service));
        serving.map(|route| route.timeout).max().unwrap_or(DEFAULT_LIFETIME)
    }

    /// Returns the only version of `service` if a server of it started longer ago than its
    /// streams last. It serves hosts that have no history, as after all hosts have restarted,
    /// and holds only if the service has not been marked as mixed.
    pub fn settled_version(&self, service: &str) -> Option<VersionTag> {
        let lifetime = self.lifetime(service);
        let roster = self.view.roster();
        let servers: Vec<_> = roster.all().filter(|s| &*s.entry.service == service).collect();
        let version = servers.first()?.version;
        let single = servers.iter().all(|server| version.continues_at(server.version));
        let now_ms = unix_millis(self.clock.system_time());
        let started_by = now_ms.saturating_sub(lifetime.as_millis() as u64);
        let settled = servers.iter().any(|s| (1..=started_by).contains(&s.entry.born_ms));
        (single && settled).then_some(version)
    }

    /// Records the versions of the servers that are listed now. It must be called at least
    /// as often as a version can come and go.
    pub fn observe(&self) {
        let roster = self.view.roster();
        let mut state = self.history.lock();
        if state.observed.as_ref().is_some_and(|observed| Arc::ptr_eq(observed, &roster)) {
            return;
        }
        let mut listed: HashMap<Name, BTreeSet<VersionTag>> = HashMap::new();
        for server in roster.all() {
            let versions = listed.entry(server.entry.service.clone()).or_default();
            versions.insert(server.version);
        }
        state.history.observe(listed, self.clock.now());
        state.observed = Some(roster);
    }
}
