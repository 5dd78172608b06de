//! The `stream_versions` module finds the version of the engines' software at which a
//! stream began that a caller takes up, perhaps through another host.

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use aspenloft_core::prelude::{Arc, Name, SharedClock};
use aspenloft_policy::stream_versions::{
    Scope, StreamRecord, StreamTable, VersionHistory, VersionTag, stream_key,
};
use parking_lot::Mutex;

use crate::roster::Roster;
use crate::view::View;

/// How long a service must have had a single version for all its streams to have begun
/// at that version: twice as long as callers keep to a stream.
const SINGLE_VERSION_PERIOD: Duration = Duration::from_secs(30);

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

    /// Records what another host relays.
    pub fn record_peer(&self, records: &[StreamRecord]) {
        let now = self.clock.now();
        let mut table = self.table.lock();
        for record in records {
            table.record(*record, now);
        }
    }

    /// Returns up to `max` records to be sent to the hosts in `scope`.
    pub fn take_unsent(&self, scope: Scope, max: usize) -> Vec<StreamRecord> {
        self.table.lock().take_unsent(scope, max)
    }

    /// Returns the version at which the stream of `service` with `key` began, if this host
    /// knows it.
    pub fn version(&self, service: &str, key: u64) -> Option<VersionTag> {
        self.observe();
        let recorded = self.table.lock().version(key);
        let now = self.clock.now();
        let history = &self.history.lock().history;
        recorded.or_else(|| history.only_version(service, SINGLE_VERSION_PERIOD, now))
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
