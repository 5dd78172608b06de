//! The `sync` module follows the platform's key-value service: the operator's
//! configuration, the list of backend servers, and the hosts of the deployment.
//!
//! While the service cannot be reached, the host learns what it can from the other
//! hosts; see `docs/design/platform.md`.

mod entry;
mod learn;

use std::collections::HashSet;
use std::time::{Duration, Instant};

use aspenloft_core::errors::Result;
use aspenloft_core::prelude::{Arc, Host, Name, SharedClock};
use aspenloft_protocol::platform::{Change, ChangeFeed, Changes, KeyValue, Version, Versioned};
use async_std::task;
use parking_lot::Mutex;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::dialect::{Dialect, Item, Removal};
use crate::peers::Peers;
use crate::view::View;

/// Where hosts of the router list themselves.
pub const HOSTS_PREFIX: &str = "aspenloft/hosts/";

/// `SyncOptions` is how the key-value service is followed.
#[derive(Debug, Clone, PartialEq)]
pub struct SyncOptions {
    /// How long one watch waits. One on a connection that has gone silent is noticed
    /// sooner by the socket's probes and by other hosts' being ahead.
    pub watch_timeout: Duration,
    /// The first and the longest pause after a failed call.
    pub backoff: (Duration, Duration),
    /// How long servers that the service lost during an outage are kept after it.
    pub outage_grace: Duration,
    /// How soon after an outage the service tells of the servers that it lost.
    pub outage_window: Duration,
    /// The length of the lease on this host's entry.
    pub lease: Duration,
    /// How often peers are looked to for news that the service has not brought.
    pub peer_check_interval: Duration,
    /// How long a host that follows the service may be behind another one before it
    /// asks that one and watches anew: its watch may have gone silent.
    pub max_lag: Duration,
    /// How many hosts of a group follow the service; the others learn from
    /// them, because each call is paid for.
    pub followers: usize,
}

impl Default for SyncOptions {
    fn default() -> Self {
        SyncOptions {
            watch_timeout: Duration::from_secs(4),
            backoff: (Duration::from_millis(100), Duration::from_millis(800)),
            // Servers list themselves again within two seconds.
            outage_grace: Duration::from_secs(2),
            outage_window: Duration::from_millis(500),
            lease: Duration::from_secs(24),
            peer_check_interval: Duration::from_millis(150),
            max_lag: Duration::from_millis(450),
            followers: 2,
        }
    }
}

/// `StoreSync` follows the key-value service for one host.
pub struct StoreSync {
    /// Follows keys.
    pub feed: Arc<dyn ChangeFeed>,
    /// Writes the host's own entry.
    pub kv: Arc<dyn KeyValue>,
    /// Translates items.
    pub dialect: Arc<dyn Dialect>,
    /// What is learned.
    pub view: Arc<View>,
    /// The other hosts.
    pub peers: Arc<Peers>,
    /// Tells the time.
    pub clock: SharedClock,
    /// Times.
    pub options: SyncOptions,
    /// What is known of the service.
    pub state: Mutex<SyncState>,
}

/// Why a host stopped following the service without a failure.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum StopReason {
    /// The service has forgotten the changes from here on.
    Compacted,
    /// Enough other hosts of the group follow it.
    OthersSuffice,
}

/// `SyncState` is what is known of the key-value service.
#[derive(Debug, Default)]
pub struct SyncState {
    connected: bool,
    reconnected_at: Option<Instant>,
    // Servers whose entries went during an outage and which may list themselves again.
    pending_removal: HashSet<Name>,
}

impl StoreSync {
    /// Follows the service for ever.
    pub async fn run(self: Arc<Self>) {
        let mut random = Pcg64Mcg::from_os_rng();
        let mut pause = self.options.backoff.0;
        loop {
            self.wait_until_needed().await;
            match self.follow(&mut pause).await {
                Ok(StopReason::Compacted) => log::info!(event = "store_compacted"; ""),
                Ok(StopReason::OthersSuffice) => log::info!(event = "store_left_to_others"; ""),
                Err(e) => {
                    self.mark_disconnected(&e.to_string());
                    task::sleep(pause.mul_f64(random.random_range(0.5..1.0))).await;
                    pause = (pause * 2).min(self.options.backoff.1);
                }
            }
        }
    }

    /// Waits while enough other hosts of the group follow the service and this
    /// one knows as much as they do.
    async fn wait_until_needed(&self) {
        while self.others_suffice() {
            task::sleep(self.options.peer_check_interval).await;
        }
    }

    /// Tells whether enough others follow; a host that knows too little to serve does
    /// not wait for them.
    fn others_suffice(&self) -> bool {
        self.view.is_complete() && self.peers.preceding_followers() >= self.options.followers
    }

    /// Reads everything, then follows changes until the service has forgotten the
    /// place, a call fails, or enough others follow.
    async fn follow(self: &Arc<Self>, pause: &mut Duration) -> Result<StopReason> {
        let mut revision = self.read_all().await?;
        loop {
            if self.others_suffice() {
                self.peers.set_following(false);
                self.state.lock().connected = false;
                return Ok(StopReason::OthersSuffice);
            }
            let wait = self.options.watch_timeout;
            match self.changes(revision, wait, pause).await? {
                Changes::Compacted => return Ok(StopReason::Compacted),
                Changes::Since { changes, revision: next } => {
                    for change in changes {
                        self.apply_change(change);
                    }
                    revision = next.max(revision);
                    self.peers.advance_revision(revision);
                }
            }
        }
    }

    /// Watches from `revision`; a failed watch is repeated a few times from the same
    /// place, which costs less than reading everything.
    async fn changes(
        self: &Arc<Self>,
        revision: Version,
        wait: Duration,
        pause: &mut Duration,
    ) -> Result<Changes> {
        let mut wait = wait;
        loop {
            match self.feed.changes("", revision, wait).await {
                Ok(changes) => {
                    *pause = self.options.backoff.0;
                    self.mark_connected();
                    return Ok(changes);
                }
                Err(e) => {
                    self.mark_disconnected(&e.to_string());
                    // The next answer tells when the service is back, and is not to
                    // wait for a change.
                    wait = Duration::ZERO;
                    task::sleep(*pause).await;
                    *pause = (*pause * 2).min(self.options.backoff.1);
                }
            }
        }
    }

    async fn read_all(self: &Arc<Self>) -> Result<Version> {
        let snapshot = self.feed.snapshot("").await?;
        self.mark_connected();
        let now = self.clock.now();
        let mut present = Vec::new();
        for item in &snapshot.items {
            present.extend(self.apply_item(item));
        }
        for missing in self.view.missing_from(&present) {
            self.handle_removal(missing);
        }
        self.view.mark_servers_loaded(now);
        self.peers.advance_revision(snapshot.revision);
        log::info!(
            event = "store_read", revision = snapshot.revision, items = snapshot.items.len(),
            servers = present.len(); ""
        );
        Ok(snapshot.revision)
    }

    fn apply_change(self: &Arc<Self>, change: Change) {
        match change {
            Change::Written(item) => {
                self.apply_item(&item);
            }
            Change::Removed(key) => match key.strip_prefix(HOSTS_PREFIX) {
                Some(name) => self.peers.remove_unlisted(name),
                None => {
                    if let Removal::Server(instance) = self.dialect.read_removal(&key) {
                        self.handle_removal(instance);
                    }
                }
            },
        }
    }

    /// Takes in one item; returns the server that it lists, if it does.
    fn apply_item(&self, item: &Versioned) -> Option<Name> {
        if item.key.starts_with(HOSTS_PREFIX) {
            match serde_json::from_str::<Host>(&item.value) {
                Ok(host) => self.peers.add_listed(host),
                Err(e) => log_unreadable(item, &e),
            }
            return None;
        }
        match self.dialect.read_item(&item.key, &item.value) {
            Item::Configuration(Ok(configuration)) => {
                self.view.apply_configuration(configuration);
                None
            }
            Item::Server(instance, Ok(entry)) => {
                self.state.lock().pending_removal.remove(&instance);
                self.view.upsert_server(entry);
                Some(instance)
            }
            Item::Configuration(Err(e)) => {
                log_unreadable(item, &e);
                None
            }
            Item::Server(instance, Err(e)) => {
                log_unreadable(item, &e);
                self.view.remove_server(&instance);
                None
            }
            Item::Other => None,
        }
    }

    /// Drops a server whose entry has gone, at once or, right after an outage, when
    /// it has not listed itself again.
    fn handle_removal(self: &Arc<Self>, instance: Name) {
        let now = self.clock.now();
        let grace = self.options.outage_grace;
        let leaving = self.view.roster().get(&instance).is_none_or(|s| s.entry.leaving);
        let mut state = self.state.lock();
        // What goes while the service is heard has not been lost in an outage.
        let since = state.reconnected_at.map(|at| now.saturating_duration_since(at));
        let Some(since) = since.filter(|since| !leaving && *since < self.options.outage_window)
        else {
            drop(state);
            self.view.remove_server(&instance);
            return;
        };
        state.pending_removal.insert(instance.clone());
        drop(state);
        let sync = self.clone();
        task::spawn(async move {
            task::sleep(grace.saturating_sub(since)).await;
            let still_pending = sync.state.lock().pending_removal.remove(&instance);
            if still_pending {
                sync.view.remove_server(&instance);
            }
        });
    }

    fn mark_disconnected(&self, error: &str) {
        self.peers.set_following(false);
        let mut state = self.state.lock();
        if state.connected {
            log::warn!(event = "store_lost", error, revision = self.peers.revision(); "");
        }
        state.connected = false;
    }

    fn mark_connected(&self) {
        self.peers.set_following(true);
        let mut state = self.state.lock();
        if !state.connected {
            log::info!(event = "store_regained", revision = self.peers.revision(); "");
            // The first contact of a process follows no outage that it has seen.
            state.reconnected_at = Some(self.clock.now());
        }
        state.connected = true;
    }

    /// Tells whether the service answered the last call.
    pub fn is_connected(&self) -> bool {
        self.state.lock().connected
    }
}

fn log_unreadable(item: &Versioned, error: &dyn std::fmt::Display) {
    let (key, error) = (item.key.as_str(), error.to_string());
    log::warn!(event = "entry_unreadable", key, error = error.as_str(); "");
}
