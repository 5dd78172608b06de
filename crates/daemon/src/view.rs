//! The `view` module holds what a host knows of the deployment: the table, the
//! hosts and the backend servers. Readers of the fleet and the table get a snapshot,
//! so they hold no lock while they use it.
//!
//! Lock order: the membership, then the fleet, then the table.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

use aspenloft_core::errors::{Error, ErrorCode, Result, not_found};
use aspenloft_core::prelude::{Backend, BackendRole, Host, Name};
use aspenloft_membership::fleet::Fleet;
use aspenloft_membership::options::MembershipOptions;
use aspenloft_membership::state_machine::{Action, Event, Member, Membership};
use aspenloft_protocol::peer::home::BackendState;
use aspenloft_protocol::peer::membership::Heartbeat;
use aspenloft_protocol::platform::Listing;
use aspenloft_table::active::{ActiveTable, OfferOutcome};
use aspenloft_table::table::Table;
use parking_lot::{Mutex, RwLock};

/// `View` is the state of the deployment as one host knows it.
#[derive(Debug)]
pub struct View {
    me: Host,
    membership: Mutex<Membership>,
    fleet: RwLock<Arc<Fleet>>,
    table: RwLock<ActiveTable>,
    stored_version: AtomicU64,
    platform_reachable: AtomicBool,
    leaving: AtomicBool,
}

impl View {
    /// Creates the view of a host that knows only itself, with incarnation zero.
    pub fn new(me: Host) -> View {
        View::with_incarnation(me, 0, Instant::now())
    }

    /// Creates the view of a host that knows only itself. Each later start of the same
    /// host must have a higher incarnation.
    pub fn with_incarnation(me: Host, incarnation: u64, now: Instant) -> View {
        let options = MembershipOptions::default();
        let membership = Membership::new(me.clone(), incarnation, options, now);
        View {
            fleet: RwLock::new(Arc::new(Fleet::new(vec![me.clone()], Vec::new()))),
            me,
            membership: Mutex::new(membership),
            table: RwLock::default(),
            stored_version: AtomicU64::new(0),
            platform_reachable: AtomicBool::new(false),
            leaving: AtomicBool::new(false),
        }
    }

    /// Returns the host that this view belongs to.
    pub fn me(&self) -> &Host {
        &self.me
    }

    /// Processes a membership event and returns the actions to perform.
    pub fn handle(&self, event: Event, now: Instant) -> Vec<Action> {
        let mut membership = self.membership.lock();
        let actions = membership.handle(event, now);
        self.update_fleet(&mut membership, &actions);
        actions
    }

    /// Processes the heartbeat of another host and returns the answer to it, with the
    /// actions to perform.
    pub fn answer_heartbeat(&self, heartbeat: Heartbeat, now: Instant) -> (Heartbeat, Vec<Action>) {
        let mut membership = self.membership.lock();
        let (answer, actions) = membership.answer(heartbeat, now);
        self.update_fleet(&mut membership, &actions);
        (answer, actions)
    }

    /// Recomputes the homes of the backend servers if the membership has changed.
    fn update_fleet(&self, membership: &mut Membership, actions: &[Action]) {
        if !actions.contains(&Action::MembershipChanged) {
            return;
        }
        let fleet = Fleet::new(membership.live().to_vec(), membership.backends());
        // Drop the published states of servers that have moved to another home, so
        // that they do not override the states published there.
        let me = &self.me.name;
        membership.retain_published(|name| fleet.home(name).is_some_and(|home| home.name == *me));
        *self.fleet.write() = Arc::new(fleet);
    }

    /// Returns the live hosts and the backend servers.
    pub fn listing(&self) -> Arc<Listing> {
        self.fleet.read().listing().clone()
    }

    /// Returns what is known of every host, including this one.
    pub fn members(&self, now: Instant) -> Vec<Member> {
        self.membership.lock().members(now)
    }

    /// Returns whether this host is a delegate, which reads the platform's list more
    /// often than other hosts.
    pub fn is_delegate(&self) -> bool {
        self.membership.lock().is_delegate()
    }

    /// Returns whether this host watches the table in the key-value service.
    pub fn watches_table(&self) -> bool {
        self.membership.lock().watches_table()
    }

    /// Returns whether this host has lost contact with the platform and all other hosts.
    pub fn is_isolated(&self, now: Instant) -> bool {
        self.membership.lock().is_isolated(now)
    }

    /// Returns the table in force, or a `NotReady` error if there is none yet.
    pub fn table(&self) -> Result<Arc<Table>> {
        let table = self.table.read().table().cloned();
        table.ok_or_else(|| Error::new(ErrorCode::NotReady, "this host has no table yet"))
    }

    /// Returns the version and the JSON text of the table in force, if any.
    pub fn table_text(&self) -> Option<(u64, Arc<str>)> {
        let table = self.table.read();
        table.text().map(|text| (table.version(), text.clone()))
    }

    /// Returns the version of the table in force; zero for none.
    pub fn table_version(&self) -> u64 {
        self.table.read().version()
    }

    /// Puts `table` in force if it is newer than the current one. Returns whether it is
    /// now in force.
    pub fn offer_table(&self, table: Table) -> bool {
        matches!(self.table.write().offer(table), Ok(OfferOutcome::Activated))
    }

    /// Records the table version that the key-value service holds; zero for none.
    pub fn set_stored_version(&self, version: u64) {
        self.stored_version.store(version, Ordering::Relaxed);
    }

    /// Returns the table version that this host last read from the key-value service.
    pub fn stored_version(&self) -> u64 {
        self.stored_version.load(Ordering::Relaxed)
    }

    /// Records whether the platform answered the last call.
    pub fn set_platform_reachable(&self, reachable: bool, now: Instant) {
        self.platform_reachable.store(reachable, Ordering::Relaxed);
        if reachable {
            self.handle(Event::PlatformAnswered, now);
        }
    }

    /// Returns whether the platform answered the last call.
    pub fn platform_reachable(&self) -> bool {
        self.platform_reachable.load(Ordering::Relaxed)
    }

    /// Marks this host as leaving; the next heartbeats announce it to the other hosts.
    pub fn set_leaving(&self, now: Instant) {
        self.leaving.store(true, Ordering::Relaxed);
        self.handle(Event::Leaving, now);
    }

    /// Returns whether this host is leaving.
    pub fn leaving(&self) -> bool {
        self.leaving.load(Ordering::Relaxed)
    }

    /// Publishes the state of a backend server whose home is this host; heartbeats
    /// carry it to the other hosts.
    pub fn publish(&self, backend: &Name, state: BackendState, now: Instant) {
        self.membership.lock().publish(backend, state, now);
    }

    /// Returns the latest known state of a backend server and its age. For a server in
    /// another data centre this is the mean state of its kind there.
    pub fn state_of(&self, backend: &str, now: Instant) -> Option<(BackendState, Duration)> {
        self.membership.lock().state_of(backend, now)
    }

    /// Returns the backend server `name`, or a `NotFound` error.
    pub fn backend(&self, name: &str) -> Result<Backend> {
        let found = self.fleet.read().backend(name).cloned();
        found.ok_or_else(|| not_found(format!("no backend server {name}")))
    }

    /// Returns the backend servers with `role` that serve `serves` and are not leaving.
    pub fn backends(&self, role: BackendRole, serves: &str) -> Vec<Backend> {
        let listing = self.listing();
        let staying = listing.backends.iter().filter(|backend| !backend.leaving);
        staying.filter(|b| b.role == role && *b.serves == *serves).cloned().collect()
    }

    /// Returns the home host of a backend server, or a `NoBackend` error if no host is
    /// live.
    pub fn home(&self, backend: &Backend) -> Result<Host> {
        let home = self.fleet.read().home(&backend.name).cloned();
        home.ok_or_else(|| Error::new(ErrorCode::NoBackend, "no live host"))
    }
}
