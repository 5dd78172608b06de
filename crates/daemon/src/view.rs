//! The `view` module holds what a host knows of the deployment: the table, the
//! hosts and the backend servers. Readers take a snapshot and never wait.
//!
//! Lock order: the membership, then the fleet, then the table.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

use aspenloft_core::errors::{Error, ErrorCode, Result, not_found};
use aspenloft_core::prelude::{Backend, BackendRole, Host, Name};
use aspenloft_membership::fleet::Fleet;
use aspenloft_membership::machine::{Action, Event, Member, Membership};
use aspenloft_membership::options::MembershipOptions;
use aspenloft_protocol::peer::home::BackendState;
use aspenloft_protocol::peer::membership::Heartbeat;
use aspenloft_protocol::platform::Listing;
use aspenloft_table::active::{ActiveTable, OfferOutcome};
use aspenloft_table::table::Table;
use parking_lot::{Mutex, RwLock};

/// `View` is a host's knowledge of the deployment.
#[derive(Debug)]
pub struct View {
    me: Host,
    membership: Mutex<Membership>,
    fleet: RwLock<Arc<Fleet>>,
    table: RwLock<ActiveTable>,
    service_version: AtomicU64,
    platform_reachable: AtomicBool,
    leaving: AtomicBool,
}

impl View {
    /// Creates the view of a host that knows only itself and has no earlier life.
    pub fn new(me: Host) -> View {
        View::with_incarnation(me, 0, Instant::now())
    }

    /// Creates the view of a host that knows only itself. A later start of the same
    /// host must have a higher incarnation.
    pub fn with_incarnation(me: Host, incarnation: u64, now: Instant) -> View {
        let options = MembershipOptions::default();
        let membership = Membership::new(me.clone(), incarnation, options, now);
        View {
            fleet: RwLock::new(Arc::new(Fleet::new(vec![me.clone()], Vec::new()))),
            me,
            membership: Mutex::new(membership),
            table: RwLock::default(),
            service_version: AtomicU64::new(0),
            platform_reachable: AtomicBool::new(false),
            leaving: AtomicBool::new(false),
        }
    }

    /// Returns this host.
    pub fn me(&self) -> &Host {
        &self.me
    }

    /// Takes an event of membership in and returns what must be done.
    pub fn handle(&self, event: Event, now: Instant) -> Vec<Action> {
        let mut membership = self.membership.lock();
        let actions = membership.handle(event, now);
        self.follow(&mut membership, &actions);
        actions
    }

    /// Answers the heartbeat of another host.
    pub fn answer(&self, heartbeat: Heartbeat, now: Instant) -> (Heartbeat, Vec<Action>) {
        let mut membership = self.membership.lock();
        let (answer, actions) = membership.answer(heartbeat, now);
        self.follow(&mut membership, &actions);
        (answer, actions)
    }

    /// Works the homes out anew when the live hosts have changed.
    fn follow(&self, membership: &mut Membership, actions: &[Action]) {
        if !actions.contains(&Action::Changed) {
            return;
        }
        let fleet = Fleet::new(membership.live().to_vec(), membership.backends());
        // What this host said of servers that are no longer its own must not outlive
        // the word of their new home.
        let me = &self.me.name;
        membership.keep_published(|name| fleet.home(name).is_some_and(|home| home.name == *me));
        *self.fleet.write() = Arc::new(fleet);
    }

    /// Returns the live hosts and the backend servers.
    pub fn listing(&self) -> Arc<Listing> {
        self.fleet.read().listing().clone()
    }

    /// Returns what is known of every host, this one among them.
    pub fn members(&self, now: Instant) -> Vec<Member> {
        self.membership.lock().members(now)
    }

    /// Tells whether this host reads the platform's list often.
    pub fn is_delegate(&self) -> bool {
        self.membership.lock().is_delegate()
    }

    /// Tells whether this host watches the table at the key-value service.
    pub fn watches_table(&self) -> bool {
        self.membership.lock().watches_table()
    }

    /// Tells whether this host has lost touch with the platform and all others.
    pub fn is_isolated(&self, now: Instant) -> bool {
        self.membership.lock().is_isolated(now)
    }

    /// Returns the table in force, or the refusal that stands for its absence.
    pub fn table(&self) -> Result<Arc<Table>> {
        let table = self.table.read().table().cloned();
        table.ok_or_else(|| Error::new(ErrorCode::NotReady, "this host has no table yet"))
    }

    /// Returns the version and the JSON text of the table in force, if there is one.
    pub fn table_text(&self) -> Option<(u64, Arc<str>)> {
        let table = self.table.read();
        table.text().map(|text| (table.version(), text.clone()))
    }

    /// Returns the version of the table in force; zero for none.
    pub fn table_version(&self) -> u64 {
        self.table.read().version()
    }

    /// Puts `table` in force unless the one in force is as new; tells which.
    pub fn offer_table(&self, table: Table) -> bool {
        matches!(self.table.write().offer(table), Ok(OfferOutcome::Activated))
    }

    /// Notes the version that the key-value service holds.
    pub fn set_service_version(&self, version: u64) {
        self.service_version.store(version, Ordering::Relaxed);
    }

    /// Returns the version that the key-value service last gave this host.
    pub fn service_version(&self) -> u64 {
        self.service_version.load(Ordering::Relaxed)
    }

    /// Notes whether the platform answered.
    pub fn set_platform_reachable(&self, reachable: bool, now: Instant) {
        self.platform_reachable.store(reachable, Ordering::Relaxed);
        if reachable {
            self.handle(Event::PlatformAnswered, now);
        }
    }

    /// Tells whether the platform answered last time.
    pub fn platform_reachable(&self) -> bool {
        self.platform_reachable.load(Ordering::Relaxed)
    }

    /// Says to all hosts, with the next heartbeat, that this one is leaving.
    pub fn set_leaving(&self, now: Instant) {
        self.leaving.store(true, Ordering::Relaxed);
        self.handle(Event::Leaving, now);
    }

    /// Tells whether this host is leaving.
    pub fn leaving(&self) -> bool {
        self.leaving.load(Ordering::Relaxed)
    }

    /// Publishes the state of a backend server whose home this host is; heartbeats
    /// carry it to the other hosts.
    pub fn publish(&self, backend: &Name, state: BackendState, now: Instant) {
        self.membership.lock().publish(backend, state, now);
    }

    /// Returns the last state known of a backend server, and its age. For one in
    /// another data centre it is the mean of its kind there.
    pub fn state_of(&self, backend: &str, now: Instant) -> Option<(BackendState, Duration)> {
        self.membership.lock().state_of(backend, now)
    }

    /// Finds a backend server by name.
    pub fn backend(&self, name: &str) -> Result<Backend> {
        let found = self.fleet.read().backend(name).cloned();
        found.ok_or_else(|| not_found(format!("no backend server {name}")))
    }

    /// Returns the backend servers of a role that serve `serves` and stay.
    pub fn backends(&self, role: BackendRole, serves: &str) -> Vec<Backend> {
        let listing = self.listing();
        let staying = listing.backends.iter().filter(|backend| !backend.leaving);
        staying.filter(|b| b.role == role && *b.serves == *serves).cloned().collect()
    }

    /// Finds the home host of a backend server.
    pub fn home(&self, backend: &Backend) -> Result<Host> {
        let home = self.fleet.read().home(&backend.name).cloned();
        home.ok_or_else(|| Error::new(ErrorCode::NoBackend, "no live host"))
    }
}
