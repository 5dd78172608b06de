//! The `sync` module watches the platform's key-value service for the operator's
//! configuration, the backend servers and the hosts of the deployment.
//!
//! While the service cannot be reached, the host fetches this state from other hosts;
//! see `docs/design/platform.md`.

mod confirm;
mod entry;
mod learn;

use std::time::{Duration, Instant};

use aspenloft_core::errors::{ErrorCode, Result};
use aspenloft_core::prelude::{Arc, Host, Position, SharedClock};
use aspenloft_policy::catch_up::CatchUpOptions;
use aspenloft_protocol::platform::{Change, ChangeFeed, Changes, KeyValue, Versioned};
use async_std::future::timeout;
use async_std::sync::Mutex as AsyncMutex;
use async_std::task;
use futures::future::select_ok;
use parking_lot::Mutex;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::dialect::{Dialect, RemovedItem, StoreItem};
use crate::metrics::Metrics;
use crate::peers::Peers;
use crate::view::{Keep, ServerChange, UpdateSource, View};

pub use confirm::ViewConfirmer;

/// The key prefix of all keys of the router.
const ROUTER_PREFIX: &str = "aspenloft/";

/// The key prefix of the entries of the router's hosts.
pub const HOSTS_PREFIX: &str = "aspenloft/hosts/";

/// An outage that is too short for leases to end in it.
const SHORT_OUTAGE: Duration = Duration::from_secs(1);

/// How long after the beginning of a short outage servers are kept: less than callers' requests
/// may reach a server after its entry was removed.
const MAX_SHORT_KEEP: Duration = Duration::from_millis(1_800);

/// An outage during which leases end for certain. Until then entries may be missing for either
/// reason.
const LONG_OUTAGE: Duration = Duration::from_millis(2_900);

/// The number of watches without a whole response after which a snapshot is read.
const MAX_UNREAD_WATCHES: u32 = 2;

/// The time after a snapshot within which the loss of its position counts as a failure.
const MIN_FOLLOW_TIME: Duration = Duration::from_millis(100);

/// `SyncOptions` holds the timing of the watch on the key-value service.
#[derive(Debug, Clone, PartialEq)]
pub struct SyncOptions {
    /// How long one watch call waits for a change. Hosts that rely on this one learn only
    /// after it that the service no longer responds to it, so with `watch_grace` it must
    /// stay well below the time in which hosts stop sending to a server that is gone.
    pub watch_timeout: Duration,
    /// How much longer the response to a watch may take before this host stops telling
    /// others that it watches the service.
    pub watch_grace: Duration,
    /// The first and the longest pause after a failed call.
    pub backoff: (Duration, Duration),
    /// How long after an outage the servers are kept whose entries the service lost
    /// during it.
    pub outage_grace: Duration,
    /// How long after an outage removals count as entries that the service lost during
    /// it.
    pub outage_window: Duration,
    /// The duration of the lease on this host's entry.
    pub lease: Duration,
    /// How often peers are checked for a higher revision.
    pub peer_check_interval: Duration,
    /// When hosts that are ahead are asked for their views.
    pub catch_up: CatchUpOptions,
    /// The number of hosts of a group that watch the service. The others fetch changes
    /// from them, because each call to the service costs money.
    pub followers: usize,
}

impl Default for SyncOptions {
    fn default() -> Self {
        SyncOptions {
            watch_timeout: Duration::from_millis(1_500),
            watch_grace: Duration::from_millis(500),
            backoff: (Duration::from_millis(100), Duration::from_millis(800)),
            // Servers write their entries again within two seconds.
            outage_grace: Duration::from_secs(2),
            outage_window: Duration::from_millis(500),
            lease: Duration::from_secs(24),
            peer_check_interval: Duration::from_millis(150),
            catch_up: CatchUpOptions::default(),
            followers: 2,
        }
    }
}

/// `StoreSync` keeps one host's view up to date with the key-value service.
pub struct StoreSync {
    /// The source of snapshots and changes.
    pub feed: Arc<dyn ChangeFeed>,
    /// The service to which the host's own entry is written.
    pub kv: Arc<dyn KeyValue>,
    /// Decodes the platform's items.
    pub dialect: Arc<dyn Dialect>,
    /// The view that changes are applied to.
    pub view: Arc<View>,
    /// The other hosts.
    pub peers: Arc<Peers>,
    /// The host's metrics.
    pub metrics: Arc<Metrics>,
    /// The clock of all timeouts.
    pub clock: SharedClock,
    /// The timing of the watch.
    pub options: SyncOptions,
    /// The state of the connection to the service.
    pub state: Mutex<SyncState>,
    /// When the last call began that confirmed the view. It is held during a call.
    pub confirmed_from: AsyncMutex<Option<Instant>>,
}

/// Why a host stopped watching the service without a failure.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum StopReason {
    /// The service has compacted the changes after the host's position.
    Compacted,
    /// The service has come back from an older copy.
    Restored,
    /// Enough other hosts of the group watch the service.
    OthersSuffice,
}

/// `SyncState` is the state of the connection to the key-value service.
#[derive(Debug, Default)]
pub struct SyncState {
    connected: bool,
    // When the first call failed since the host was last connected.
    lost_at: Option<Instant>,
    // The last outage.
    outage: Option<Outage>,
}

/// A time in which this host could not read from the key-value service.
#[derive(Debug, Clone, Copy)]
struct Outage {
    lost_at: Instant,
    ended_at: Instant,
}

impl Outage {
    /// Returns until when servers are kept whose entries are found missing after the outage.
    /// The service may have lost the entries, but they may as well have been removed for good
    /// at any time since the outage began, and sooner the less likely it is that leases have
    /// ended in it.
    fn keep_until(&self, options: &SyncOptions) -> Instant {
        let until = self.ended_at + options.outage_grace;
        match self.ended_at.saturating_duration_since(self.lost_at) {
            length if length < SHORT_OUTAGE => until.min(self.lost_at + MAX_SHORT_KEEP),
            length if length < LONG_OUTAGE => until.min(self.lost_at + LONG_OUTAGE),
            _ => until,
        }
    }
}

impl StoreSync {
    /// Watches the service; does not return.
    pub async fn run(self: Arc<Self>) {
        let mut random = Pcg64Mcg::from_os_rng();
        let mut pause = self.options.backoff.0;
        loop {
            self.wait_until_needed().await;
            let began = self.clock.now();
            let failed = match self.follow(&mut pause).await {
                Ok(StopReason::Compacted) => {
                    log::info!(event = "store_compacted"; "");
                    // A service may not have the position that it has just named.
                    self.clock.now().saturating_duration_since(began) < MIN_FOLLOW_TIME
                }
                Ok(StopReason::Restored) => false,
                Ok(StopReason::OthersSuffice) => {
                    log::info!(event = "store_left_to_others"; "");
                    false
                }
                Err(e) => {
                    self.mark_disconnected(&e.to_string(), self.clock.now());
                    true
                }
            };
            if failed {
                task::sleep(pause.mul_f64(random.random_range(0.5..1.0))).await;
                pause = (pause * 2).min(self.options.backoff.1);
            }
        }
    }

    /// Waits while enough other hosts of the group watch the service and this host has a
    /// complete view.
    async fn wait_until_needed(&self) {
        while self.others_suffice() {
            task::sleep(self.options.peer_check_interval).await;
        }
    }

    /// Tells whether enough other hosts watch the service. A host whose view is not
    /// complete enough to serve does not rely on them.
    fn others_suffice(&self) -> bool {
        self.view.is_complete() && self.peers.preceding_followers() >= self.options.followers
    }

    /// Reads a snapshot, then applies changes until the service has compacted the
    /// revision or enough other hosts watch the service. Fails if the snapshot cannot be
    /// read.
    async fn follow(&self, pause: &mut Duration) -> Result<StopReason> {
        self.read_all().await?;
        loop {
            if self.others_suffice() {
                self.peers.set_following(false);
                self.state.lock().connected = false;
                return Ok(StopReason::OthersSuffice);
            }
            let wait = self.options.watch_timeout;
            match self.changes(wait, pause).await? {
                Changes::Compacted => return Ok(StopReason::Compacted),
                Changes::Restored(_) => return Ok(StopReason::Restored),
                Changes::Since { changes, position } => self.apply_changes(changes, position),
            }
        }
    }

    /// Returns the changes after the position of the view. A failed call is retried, which
    /// costs less than a new snapshot. If the service answers but the changes cannot be read,
    /// because they are too many or too large, only a snapshot helps.
    async fn changes(&self, wait: Duration, pause: &mut Duration) -> Result<Changes> {
        let mut wait = wait;
        let mut unread = 0;
        loop {
            match self.call_watch(self.view.position(), wait).await {
                Ok(changes) => {
                    if matches!(changes, Changes::Since { .. }) {
                        *pause = self.options.backoff.0;
                    }
                    self.mark_connected();
                    return Ok(changes);
                }
                Err(e) => {
                    self.mark_disconnected(&e.to_string(), self.clock.now());
                    unread += u32::from(e.code == ErrorCode::Timeout);
                    if e.code == ErrorCode::TooLarge || unread >= MAX_UNREAD_WATCHES {
                        let error = e.to_string();
                        log::warn!(event = "changes_unread", error = error.as_str(); "");
                        return Ok(Changes::Compacted);
                    }
                    // The next call only checks whether the service is back, so it must
                    // not wait for a change.
                    wait = Duration::ZERO;
                    task::sleep(*pause).await;
                    *pause = (*pause * 2).min(self.options.backoff.1);
                }
            }
        }
    }

    /// Calls for the changes after `after`. While the response is late, this host counts
    /// as disconnected, so that another one watches the service in its place. A second call
    /// on a new connection shows whether the service is slow or the first connection has gone
    /// silent.
    async fn call_watch(&self, after: Position, wait: Duration) -> Result<Changes> {
        let began = self.clock.now();
        let mut call = self.feed.changes("", after, wait);
        match timeout(wait + self.options.watch_grace, &mut call).await {
            Ok(result) => result,
            Err(_) => {
                self.mark_disconnected("the response to a watch is late", began);
                self.feed.reconnect();
                let second = self.feed.changes("", after, Duration::ZERO);
                select_ok([call, second]).await.map(|(changes, _)| changes)
            }
        }
    }

    async fn read_all(&self) -> Result<()> {
        let snapshot = self.feed.snapshot("").await?;
        self.mark_connected();
        let position = snapshot.position;
        let (hosts, items): (Vec<Versioned>, Vec<Versioned>) =
            snapshot.items.into_iter().partition(|item| item.key.starts_with(HOSTS_PREFIX));
        let hosts: Vec<Host> = hosts.iter().filter_map(read_host).collect();
        let entries: Vec<_> = items.iter().filter_map(|item| self.apply_item(item)).collect();
        let own = self.view.position();
        let keep = self.keep(position.era > own.era);
        let (servers, revision, era) = (entries.len(), position.revision, position.era.0);
        log::info!(event = "store_read", revision, era, servers, hosts = hosts.len(); "");
        let now = self.clock.now();
        if self.view.replace_servers(entries, position, UpdateSource::Snapshot, &keep, now) {
            self.count_restore(own, position);
            self.peers.replace_listed(hosts);
            self.peers.announce();
        } else {
            let (position, own) = (position.to_string(), own.to_string());
            let (position, own) = (position.as_str(), own.as_str());
            log::info!(event = "view_outdated", source = "snapshot", position, own; "");
        }
        Ok(())
    }

    fn apply_changes(&self, changes: Vec<Change>, position: Position) {
        // The view of another host may have been applied while the watch was waiting.
        let applied = self.view.position();
        let is_news = |change: &Change| {
            Position::new(position.era, change.version()) > applied && concerns_view(change.key())
        };
        let news: Vec<Change> = changes.into_iter().filter(is_news).collect();
        if news.is_empty() {
            self.view.skip_to(position);
            return;
        }
        let mut server_changes = Vec::new();
        for change in news {
            let version = change.version();
            let server_change = match change {
                Change::Written(item) => self.apply_item(&item),
                Change::Removed { key, .. } => self.apply_removal(&key),
            };
            server_changes.extend(server_change.map(|change| (version, change)));
        }
        let now = self.clock.now();
        self.view.apply_changes(server_changes, position, &self.keep(false), now);
        self.peers.announce();
    }

    /// Applies the entry of a host or the configuration at once. Returns the change of a
    /// server's entry, which the view applies together with the others of its revision.
    fn apply_item(&self, item: &Versioned) -> Option<ServerChange> {
        if item.key.starts_with(HOSTS_PREFIX) {
            if let Some(host) = read_host(item) {
                self.peers.add_listed(host);
            }
            return None;
        }
        match self.dialect.read_item(&item.key, &item.value) {
            StoreItem::Configuration(Ok(configuration)) => {
                self.view.apply_configuration(configuration);
                None
            }
            StoreItem::Server(_, Ok(entry)) => Some(ServerChange::Listed(entry)),
            StoreItem::Configuration(Err(e)) => {
                log_unreadable(item, &e);
                None
            }
            StoreItem::Server(instance, Err(e)) => {
                log_unreadable(item, &e);
                Some(ServerChange::Unreadable(instance))
            }
            StoreItem::Other => None,
        }
    }

    fn apply_removal(&self, key: &str) -> Option<ServerChange> {
        if let Some(name) = key.strip_prefix(HOSTS_PREFIX) {
            self.peers.remove_unlisted(name);
            return None;
        }
        match self.dialect.read_removal(key) {
            RemovedItem::Server(instance) => Some(ServerChange::Removed(instance)),
            RemovedItem::Other => None,
        }
    }

    /// Returns what happens to servers whose entries are found missing now: entries that
    /// the service lost in an outage, or since the copy from which it came back if it has
    /// been `restored`, are written again within `outage_grace`.
    fn keep(&self, restored: bool) -> Keep {
        if restored {
            return Keep::Until(self.clock.now() + self.options.outage_grace);
        }
        let Some(outage) = self.state.lock().outage else { return Keep::Nothing };
        let since = self.clock.now().saturating_duration_since(outage.ended_at);
        match since < self.options.outage_window {
            true => Keep::Until(outage.keep_until(&self.options)),
            false => Keep::Nothing,
        }
    }

    /// Counts a return of the service from an older copy, if the view went from `own` to
    /// `position` by one. A view that was empty before has seen none.
    fn count_restore(&self, own: Position, position: Position) {
        if own != Position::default() && position.era > own.era {
            self.metrics.store_restored();
        }
    }

    /// Records that a call failed; the service may have been away since `lost_at`.
    fn mark_disconnected(&self, error: &str, lost_at: Instant) {
        self.peers.set_following(false);
        let mut state = self.state.lock();
        if state.connected {
            let position = self.view.position().to_string();
            log::warn!(event = "store_lost", error, position = position.as_str(); "");
        }
        state.connected = false;
        state.lost_at.get_or_insert(lost_at);
    }

    fn mark_connected(&self) {
        self.peers.set_following(true);
        let mut state = self.state.lock();
        if !state.connected {
            let position = self.view.position().to_string();
            log::info!(event = "store_regained", position = position.as_str(); "");
        }
        if let Some(lost_at) = state.lost_at.take() {
            state.outage = Some(Outage { lost_at, ended_at: self.clock.now() });
        }
        state.connected = true;
    }

    /// Tells whether this host watches the service and the last call succeeded.
    pub fn is_connected(&self) -> bool {
        self.state.lock().connected
    }
}

/// Tells whether views hold what is stored under `key`. Other hosts need not hear of changes
/// of the router's other keys.
fn concerns_view(key: &str) -> bool {
    key.starts_with(HOSTS_PREFIX) || !key.starts_with(ROUTER_PREFIX)
}

/// Decodes the entry of a host; `None` if it is invalid or that of a host with another name.
fn read_host(item: &Versioned) -> Option<Host> {
    let read = serde_json::from_str(&item.value).inspect_err(|e| log_unreadable(item, e));
    let host: Host = read.ok()?;
    let is_named = item.key.strip_prefix(HOSTS_PREFIX) == Some(&*host.name);
    if !is_named || host.addr.port() == 0 {
        log_unreadable(item, &format!("host {} at {}", host.name, host.addr));
        return None;
    }
    Some(host)
}

fn log_unreadable(item: &Versioned, error: &dyn std::fmt::Display) {
    let (key, error) = (item.key.as_str(), error.to_string());
    log::warn!(event = "entry_unreadable", key, error = error.as_str(); "");
}
