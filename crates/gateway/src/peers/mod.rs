//! The `peers` module exchanges state between the hosts of a deployment.
//!
//! Each host sends a small datagram when its load on the engines changes, and
//! periodically when it does not. A datagram holds the sender's complete state, so the
//! next one makes up for a lost one; `docs/design/platform.md` gives the costs.
//! State that is too large for a datagram is fetched over `h2`.

mod digest;
mod exchange;

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use aspenloft_core::prelude::{Arc, Era, Host, Name, Position, SharedClock};
use aspenloft_policy::duty::{Candidate, DutyState};
use aspenloft_policy::host_groups::HostGroup;
use aspenloft_policy::stream_versions::Origin;
use aspenloft_transport::connector::Connector;
use aspenloft_transport::mesh::{MeshOptions, PeerLink};
use parking_lot::Mutex;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::crashes::Crashes;
use crate::demand::DemandTracker;
use crate::loads::EngineLoads;
use crate::path::PathMonitor;
use crate::roster::Server;
use crate::server_limits::ServerLimits;
use crate::shutdown::Shutdown;
use crate::stream_versions::StreamVersions;
use crate::view::View;

pub use digest::{
    CALLS_VERSION, Digest, DigestSupplement, KeptServer, PeerCall, ViewReply, WithheldServer,
};
pub use exchange::PeerServer;

use digest::{CERTAIN_VERSIONS, peer_position};

/// How long a host counts as live after its last digest.
const LIVENESS_TIMEOUT: Duration = Duration::from_secs(3);

/// The number of hosts that must report a server unreachable for others to act on it.
const MIN_UNREACHABLE_REPORTS: usize = 2;

/// How long a server counts as unreachable for a host whose digests do not hold all such
/// servers: as long as it takes to name 2,000 of them in turn.
const UNREACHABLE_TTL: Duration = Duration::from_secs(9);

/// The maximum age of the last digest of a host on whose watch of the key-value service
/// others rely: three digests of an idle host.
const FOLLOWER_TIMEOUT: Duration = Duration::from_millis(800);

/// The maximum age of the last digest of a host to which a request is forwarded: that of the
/// digests between data centres, and a lost one.
const FORWARDING_MAX_AGE: Duration = Duration::from_millis(2_000);

/// How many more forwarded requests a host of the own data centre serves than others before
/// they get some.
const LOAD_STEP: usize = 8;

/// How long a connection to another host is kept without calls. Nothing shows whether an idle
/// connection has gone silent, so it must be closed before a change can be late by it.
const IDLE_LINK_TIMEOUT: Duration = Duration::from_millis(1_500);

/// The maximum age of the last digest of a host that is asked first: that of the digests
/// within a data centre, and a lost one.
const PROMPT_DIGEST_AGE: Duration = Duration::from_millis(600);

/// How long after a call to a host failed other hosts are preferred for a call.
const FAILED_CALL_PERIOD: Duration = Duration::from_secs(2);

#[derive(Debug, Clone)]
struct Peer {
    host: Host,
    /// Whether the platform lists the host.
    listed: bool,
    born_ms: u64,
    seq: u64,
    revision: u64,
    /// The era of `revision`; `None` if the host's build does not know eras.
    era: Option<Era>,
    /// The version of the host's configuration.
    configuration: u64,
    follows: bool,
    unreachable: Vec<u64>,
    /// The servers that earlier digests named, with the time, while one digest does not hold
    /// all of them.
    unreachable_before: HashMap<u64, Instant>,
    /// Whether the host's build sends supplements, and so answers all calls of that build.
    answers_calls: bool,
    /// The host's [`CALLS_VERSION`].
    calls: u32,
    /// Whether the host reaches no backend server.
    is_cut: bool,
    /// Whether the host is shutting down.
    leaving: bool,
    /// Whether the host keeps the log of streams.
    log_duty: DutyState,
    /// When the last digest arrived.
    last_digest: Option<Instant>,
    /// Whether the silence since the last digest has been logged.
    silence_logged: bool,
    /// When a call to the host last failed.
    failed_at: Option<Instant>,
}

impl Peer {
    /// Returns the host's position, for a host whose own era is `own`.
    fn position(&self, own: Era) -> Option<Position> {
        peer_position(self.era, self.revision, own)
    }

    /// Keeps what the last digest named for a while if that is not all of `total`.
    fn record_unreachable(&mut self, total: usize, now: Instant) {
        if self.unreachable.len() >= total {
            self.unreachable_before.clear();
            return;
        }
        self.unreachable_before.extend(self.unreachable.iter().map(|server| (*server, now)));
        self.unreachable_before
            .retain(|_, at| now.saturating_duration_since(*at) < UNREACHABLE_TTL);
    }

    /// Returns the keys of the servers that the host cannot reach.
    fn unreachable(&self) -> HashSet<u64> {
        self.unreachable.iter().chain(self.unreachable_before.keys()).copied().collect()
    }
}

/// `LocalState` is the state of this host that it shares with the others.
#[derive(Clone)]
pub struct LocalState {
    /// The load on the engines.
    pub loads: Arc<EngineLoads>,
    /// The averages of each service.
    pub demand: Arc<DemandTracker>,
    /// The configuration and the servers.
    pub view: Arc<View>,
    /// The limits of servers.
    pub limits: Arc<ServerLimits>,
    /// The versions at which streams began.
    pub streams: Arc<StreamVersions>,
    /// The crashes of servers and what they speak for.
    pub crashes: Arc<Crashes>,
    /// The state of the path to the servers.
    pub path: Arc<PathMonitor>,
    /// The shutdown of this host.
    pub shutdown: Arc<Shutdown>,
}

/// `Peers` holds the state of the other hosts as this host knows it.
pub struct Peers {
    local: Host,
    born_ms: u64,
    clock: SharedClock,
    state: LocalState,
    follows: AtomicBool,
    log_duty: Mutex<DutyState>,
    seq: AtomicU64,
    seeds: Vec<SocketAddr>,
    peers: Mutex<HashMap<Name, Peer>>,
    links: Mutex<HashMap<Name, Arc<PeerLink>>>,
    connector: Arc<dyn Connector>,
    options: Arc<MeshOptions>,
    /// How many unreachable servers have been named in digests that did not hold all.
    unreachable_from: AtomicUsize,
    /// Whether the last digest left something out.
    truncated: AtomicBool,
    /// Has a clone for each question for the version of a stream that is open.
    questions: Arc<()>,
    /// Has a clone for each view with a configuration that is being sent.
    configuration_slots: Arc<()>,
}

impl Peers {
    /// Creates the peers of the host `local`, with no other hosts yet. The first digests
    /// are sent to `seeds`; `connector` opens connections to other hosts.
    pub fn new(
        local: Host,
        clock: SharedClock,
        state: LocalState,
        seeds: Vec<SocketAddr>,
        connector: Arc<dyn Connector>,
    ) -> Arc<Peers> {
        let born_ms = aspenloft_core::clock::unix_millis(clock.system_time());
        Arc::new(Peers {
            local,
            born_ms,
            clock,
            state,
            follows: AtomicBool::new(false),
            log_duty: Mutex::new(DutyState::Idle),
            seq: AtomicU64::new(0),
            seeds,
            peers: Mutex::default(),
            links: Mutex::default(),
            connector,
            options: Arc::new(MeshOptions {
                idle_timeout: IDLE_LINK_TIMEOUT,
                ..MeshOptions::default()
            }),
            unreachable_from: AtomicUsize::new(0),
            truncated: AtomicBool::new(false),
            questions: Arc::default(),
            configuration_slots: Arc::new(()),
        })
    }

    /// Returns this host's name and address.
    pub fn local_host(&self) -> &Host {
        &self.local
    }

    /// Returns the shutdown of this host, which it tells the others of.
    pub fn shutdown(&self) -> &Shutdown {
        &self.state.shutdown
    }

    /// Returns when this process started, in milliseconds since the Unix epoch.
    pub fn born_ms(&self) -> u64 {
        self.born_ms
    }

    /// Returns the group of this host within its data centre.
    pub fn group(&self) -> HostGroup {
        self.group_among(&self.peers.lock())
    }

    fn group_among(&self, peers: &HashMap<Name, Peer>) -> HostGroup {
        let data_centre = &self.local.data_centre;
        let others = peers.values().filter(|p| p.host.data_centre == *data_centre).count();
        HostGroup::of(&self.local.name, data_centre, 1 + others)
    }

    /// Returns the number of hosts that share the deployment's budgets, including this
    /// one and those of which it does not hear: they may be serving all the same.
    pub fn budget_hosts(&self) -> usize {
        self.live_and_listed().1
    }

    /// Returns this host's rank among the live hosts that are not leaving, ordered by name,
    /// from 0. Work that one host does for all goes to the lowest rank first.
    pub fn rank(&self) -> usize {
        let now = self.clock.now();
        let peers = self.peers.lock();
        let live = peers.values().filter(|p| !p.leaving && is_recent(p, now, LIVENESS_TIMEOUT));
        live.filter(|p| p.host.name < self.local.name).count()
    }

    /// Returns this host as a keeper of the log of streams.
    pub fn own_log_candidate(&self) -> Candidate {
        Candidate {
            name: self.local.name.clone(),
            born_ms: self.born_ms,
            leaving: self.state.shutdown.is_leaving(),
            state: *self.log_duty.lock(),
        }
    }

    /// Returns the other live hosts of this host's data centre as keepers of its log of streams.
    pub fn log_candidates(&self) -> Vec<Candidate> {
        let now = self.clock.now();
        let peers = self.peers.lock();
        let group = self.group_among(&peers);
        let near = peers.values().filter(|p| {
            let in_group = group.has_host(&p.host.name, &p.host.data_centre);
            let max_age = if in_group { FOLLOWER_TIMEOUT } else { FORWARDING_MAX_AGE };
            p.host.data_centre == self.local.data_centre && is_recent(p, now, max_age)
        });
        near.map(|p| Candidate {
            name: p.host.name.clone(),
            born_ms: p.born_ms,
            leaving: p.leaving,
            state: p.log_duty,
        })
        .collect()
    }

    /// Sets whether this host keeps the log of streams, and tells the others soon.
    pub fn set_log_duty(&self, state: DutyState) {
        *self.log_duty.lock() = state;
        self.announce();
    }

    /// Returns the number of servers that this host cannot reach, and the keys of up to
    /// `max` of them, others each time.
    fn unreachable(&self, max: usize) -> (usize, Vec<u64>) {
        let now = self.clock.now();
        let roster = self.state.view.roster();
        let unreachable = roster.all().filter(|s| !s.seems_reachable(now));
        let mut keys: Vec<u64> = unreachable.map(|s| s.key).collect();
        let total = keys.len();
        if total > max {
            keys.sort_unstable();
            let from = self.unreachable_from.fetch_add(max, Ordering::SeqCst) % total;
            keys.rotate_left(from);
            keys.truncate(max);
        }
        (total, keys)
    }

    /// Returns the keys of the servers of `service` that several other hosts cannot reach. A
    /// report by a single host may be due to that host's own network, and so are those of hosts
    /// that reach at most half of the service.
    pub fn unreachable_elsewhere(&self, service: &Name) -> HashSet<u64> {
        let now = self.clock.now();
        let peers = self.peers.lock();
        let live = peers.values().filter(|p| is_recent(p, now, LIVENESS_TIMEOUT) && !p.is_cut);
        let mut reports: HashMap<u64, usize> = HashMap::new();
        for unreachable in live.map(Peer::unreachable).filter(|servers| !servers.is_empty()) {
            let reach = self.state.view.reach(service, now, |s| !unreachable.contains(&s.key));
            if reach.is_poor() {
                continue;
            }
            for server in unreachable {
                *reports.entry(server).or_default() += 1;
            }
        }
        let confirmed = reports.into_iter().filter(|(_, hosts)| *hosts >= MIN_UNREACHABLE_REPORTS);
        confirmed.map(|(server, _)| server).collect()
    }

    /// Adds or updates a host that the platform lists.
    pub fn add_listed(&self, host: Host) {
        if host.name == self.local.name {
            return;
        }
        let mut peers = self.peers.lock();
        if let Some(known) = peers.get_mut(&host.name).filter(|p| p.host == host) {
            known.listed = true;
            return;
        }
        log::info!(event = "peer_listed", peer = &*host.name, addr = host.addr.to_string().as_str(); "");
        let peer = Peer {
            host,
            listed: true,
            born_ms: 0,
            seq: 0,
            revision: 0,
            era: None,
            configuration: 0,
            follows: false,
            unreachable: Vec::new(),
            unreachable_before: HashMap::new(),
            answers_calls: false,
            calls: 0,
            is_cut: false,
            leaving: false,
            log_duty: DutyState::Unable,
            last_digest: None,
            silence_logged: false,
            failed_at: None,
        };
        peers.insert(peer.host.name.clone(), peer);
    }

    /// Replaces the list of hosts by `hosts`. Hosts that are no longer listed are removed
    /// unless they are live.
    pub fn replace_listed(&self, hosts: Vec<Host>) {
        let present: HashSet<Name> = hosts.iter().map(|host| host.name.clone()).collect();
        for host in hosts {
            self.add_listed(host);
        }
        let known: Vec<Name> = self.peers.lock().keys().cloned().collect();
        for missing in known.iter().filter(|name| !present.contains(*name)) {
            self.remove_unlisted(missing);
        }
    }

    /// Removes the host `name`, which the platform no longer lists, unless it is live.
    ///
    /// A host that still sends digests stays, because the platform also drops the
    /// entries of hosts that cannot renew them.
    pub fn remove_unlisted(&self, name: &str) {
        let now = self.clock.now();
        let mut peers = self.peers.lock();
        let Some(peer) = peers.get_mut(name) else { return };
        peer.listed = false;
        if !is_recent(peer, now, LIVENESS_TIMEOUT) {
            peers.remove(name);
            log::info!(event = "peer_gone", peer = name; "");
        }
    }

    /// Sends the next digest soon, because this host has learned of a change from the
    /// key-value service.
    pub fn announce(&self) {
        self.state.loads.notify();
    }

    /// Sets whether this host watches the key-value service itself and is connected to
    /// it.
    pub fn set_following(&self, follows: bool) {
        self.follows.store(follows, Ordering::SeqCst);
    }

    /// Returns the number of hosts in this host's group that precede it, watch the key-value
    /// service and sent a digest recently. Hosts precede others by name, and those that are
    /// leaving come last, so that others watch before they end. Hosts whose positions are not
    /// known do not count, as this host could not tell when they are ahead.
    pub fn preceding_followers(&self) -> usize {
        let (now, own) = (self.clock.now(), self.state.view.position());
        let peers = self.peers.lock();
        let group = self.group_among(&peers);
        let members = peers.values().filter(|p| group.has_host(&p.host.name, &p.host.data_centre));
        let following = members.filter(|p| {
            p.follows && p.position(own.era).is_some() && is_recent(p, now, FOLLOWER_TIMEOUT)
        });
        let own = (self.state.shutdown.is_leaving(), &self.local.name);
        following.filter(|p| (p.leaving, &p.host.name) < own).count()
    }

    /// Records that the host `name` did not respond to a call.
    pub fn mark_unresponsive(&self, name: &str) {
        let now = self.clock.now();
        if let Some(peer) = self.peers.lock().get_mut(name) {
            peer.failed_at = Some(now);
        }
    }

    /// Returns whether a live host has a higher position in the key-value service than this
    /// host, or a newer configuration.
    pub fn is_behind(&self) -> bool {
        self.peer_ahead(&[], &[]).is_some()
    }

    /// Returns the live host, except those in `open`, with the highest position in the
    /// key-value service, if that is higher than this host's; of several, one in this host's
    /// data centre if possible. If there is none, a host with a newer configuration. Hosts in
    /// `asked` come after others: they may be too busy to send the configuration.
    ///
    /// Hosts that did not respond to a recent call come last, whatever their position: the
    /// digests of a host may arrive although it cannot be called. A host that has sent no
    /// digest since then has probably crashed and is not returned. Before them come hosts
    /// whose digests are overdue.
    pub fn peer_ahead(&self, open: &[Name], asked: &[Name]) -> Option<Host> {
        let (now, own) = (self.clock.now(), self.state.view.position());
        let peers = self.peers.lock();
        let failed = |p: &Peer| {
            p.failed_at.is_some_and(|at| now.saturating_duration_since(at) < FAILED_CALL_PERIOD)
        };
        let heard_since =
            |p: &Peer| p.failed_at.is_none_or(|at| p.last_digest.is_some_and(|d| d > at));
        let live = peers.values().filter(|p| {
            is_recent(p, now, LIVENESS_TIMEOUT) && heard_since(p) && !open.contains(&p.host.name)
        });
        let positions = live.filter_map(|p| Some((p, p.position(own.era)?)));
        let version = self.state.view.configuration().map_or(0, |c| c.version);
        let ahead = positions.filter(|(p, position)| *position > own || p.configuration > version);
        let is_local = |p: &Peer| p.host.data_centre == self.local.data_centre;
        let is_prompt = |p: &Peer| is_recent(p, now, PROMPT_DIGEST_AGE);
        let is_fresh = |p: &Peer| !asked.contains(&p.host.name);
        // Hosts that are behind by the same change ask different ones.
        let spread = |p: &Peer| xxh3_64_with_seed(p.host.name.as_bytes(), self.born_ms);
        ahead
            .max_by_key(|(p, position)| {
                (!failed(p), is_prompt(p), is_fresh(p), *position, is_local(p), spread(p))
            })
            .map(|(p, _)| p.host.clone())
    }

    /// Returns a live host of this build, one in this host's data centre if possible.
    pub fn any_live(&self) -> Option<Host> {
        let now = self.clock.now();
        let peers = self.peers.lock();
        let live = peers.values().filter(|p| {
            p.era.is_some() && p.failed_at.is_none() && is_recent(p, now, LIVENESS_TIMEOUT)
        });
        live.max_by_key(|p| p.host.data_centre == self.local.data_centre).map(|p| p.host.clone())
    }

    /// Logs the hosts that no longer count as live, once each, and removes those of them
    /// that the platform does not list.
    fn check_silent_hosts(&self) {
        let now = self.clock.now();
        self.peers.lock().retain(|name, peer| {
            let Some(last) = peer.last_digest else { return true };
            let silent = now.saturating_duration_since(last);
            if silent >= LIVENESS_TIMEOUT && !peer.silence_logged {
                peer.silence_logged = true;
                let silent_ms = silent.as_millis() as u64;
                log::info!(event = "peer_silent", peer = &**name, silent_ms, revision = peer.revision; "");
            }
            peer.listed || silent < LIVENESS_TIMEOUT
        });
    }

    /// Applies a digest of another host, whose revision belongs to `era`. Returns false if a
    /// newer one has been applied already.
    pub fn apply_digest(&self, digest: Digest, era: Option<Era>) -> bool {
        if digest.host.name == self.local.name {
            return false;
        }
        let now = self.clock.now();
        {
            let mut peers = self.peers.lock();
            let known = peers.get(&digest.host.name);
            if known.is_some_and(|p| (p.born_ms, p.seq) >= (digest.born_ms, digest.seq)) {
                return false;
            }
            if known.is_none_or(|p| !is_recent(p, now, LIVENESS_TIMEOUT)) {
                log::info!(event = "peer_live", peer = &*digest.host.name, revision = digest.revision; "");
            }
            let same_process = known.filter(|p| p.born_ms == digest.born_ms);
            let peer = Peer {
                host: digest.host.clone(),
                listed: known.is_some_and(|p| p.listed),
                born_ms: digest.born_ms,
                seq: digest.seq,
                revision: digest.revision,
                era,
                configuration: same_process.map_or(0, |p| p.configuration),
                follows: digest.follows,
                unreachable: digest.unreachable,
                unreachable_before: same_process
                    .map(|p| p.unreachable_before.clone())
                    .unwrap_or_default(),
                answers_calls: same_process.is_some_and(|p| p.answers_calls),
                calls: same_process.map_or(0, |p| p.calls),
                is_cut: same_process.is_some_and(|p| p.is_cut),
                leaving: same_process.is_some_and(|p| p.leaving),
                log_duty: same_process.map_or(DutyState::Unable, |p| p.log_duty),
                last_digest: Some(now),
                silence_logged: false,
                failed_at: same_process.and_then(|p| p.failed_at),
            };
            peers.insert(digest.host.name.clone(), peer);
        }
        self.state.demand.update_peer(&digest.host.name, digest.demand);
        self.state.loads.update_peer(&digest.host.name, digest.loads, now);
        true
    }

    /// Applies the supplement of a digest of the host `name`.
    fn apply_supplement(&self, name: &str, supplement: &DigestSupplement) {
        let now = self.clock.now();
        let mut origin = Origin::Far;
        if let Some(peer) = self.peers.lock().get_mut(name) {
            if peer.host.data_centre == self.local.data_centre {
                origin = Origin::Near;
            }
            (peer.answers_calls, peer.leaving) = (true, supplement.leaving);
            peer.configuration = supplement.configuration;
            (peer.calls, peer.is_cut) = (supplement.calls, supplement.is_cut);
            peer.record_unreachable(supplement.unreachable, now);
        }
        if !supplement.streams.is_empty() {
            self.state.streams.record_peer(&supplement.streams, origin);
        }
        if !supplement.limits.is_empty() {
            let roster = self.state.view.roster();
            for notice in &supplement.limits {
                self.state.limits.record_notice(notice, |key| roster.by_key(key).cloned());
            }
        }
    }

    /// Applies what the host `name` tells of the log of streams.
    fn apply_log_duty(&self, name: &str, state: DutyState) {
        if let Some(peer) = self.peers.lock().get_mut(name) {
            peer.log_duty = state;
        }
    }

    /// Returns the host that books the requests to `server`, or `None` if it is this one.
    ///
    /// It is in the server's data centre if possible, so that hosts that cannot reach it
    /// probably cannot reach the server either.
    pub fn home_of(&self, server: &Server) -> Option<Host> {
        self.best_host(
            |p| p.answers_calls,
            |host| {
                let local = host.data_centre == server.entry.data_centre;
                (local, xxh3_64_with_seed(host.name.as_bytes(), server.key))
            },
        )
    }

    /// Returns the host that decides for all about the matter with the number `key`, or `None`
    /// if it is this one.
    pub fn decider(&self, key: u64) -> Option<Host> {
        self.best_host(|p| p.calls > 0, |host| xxh3_64_with_seed(host.name.as_bytes(), key))
    }

    /// Returns the live host with the highest `rank` of those that are `able`, or `None` if it
    /// is this one. Hosts that are leaving come last: while all are, they still agree on one.
    fn best_host<R: Ord>(
        &self,
        able: impl Fn(&Peer) -> bool,
        rank: impl Fn(&Host) -> R,
    ) -> Option<Host> {
        let now = self.clock.now();
        let peers = self.peers.lock();
        let able = peers.values().filter(|p| able(p) && is_recent(p, now, LIVENESS_TIMEOUT));
        let best =
            able.map(|p| ((!p.leaving, rank(&p.host)), &p.host)).max_by(|a, b| a.0.cmp(&b.0));
        let own = (!self.state.shutdown.is_leaving(), rank(&self.local));
        best.filter(|(best, _)| *best > own).map(|(_, host)| host.clone())
    }

    /// Returns the best host to serve a request for `service`, except those in `tried`: one that
    /// reaches at least `min_reached` servers, knows the configuration in force here and has
    /// few of the requests `in_flight` from this host. Hosts of the own data centre come first
    /// among those that have about as many, and hosts that are leaving last: they refuse what
    /// they cannot finish.
    pub fn forwarding_host(
        &self,
        service: &Name,
        min_reached: usize,
        tried: &[Name],
        in_flight: &HashMap<Name, usize>,
    ) -> Option<Host> {
        let now = self.clock.now();
        let version = self.state.view.configuration().map_or(0, |c| c.version);
        let peers = self.peers.lock();
        let is_able = |p: &&Peer| {
            let failed = p
                .failed_at
                .is_some_and(|at| now.saturating_duration_since(at) < FAILED_CALL_PERIOD);
            p.calls > 0
                && !p.is_cut
                && !failed
                && p.configuration >= version
                && is_recent(p, now, FORWARDING_MAX_AGE)
                && !tried.contains(&p.host.name)
        };
        let able = peers.values().filter(is_able).filter(|p| {
            let unreachable = p.unreachable();
            let reach = self.state.view.reach(service, now, |s| !unreachable.contains(&s.key));
            reach.reached >= min_reached
        });
        let rank = |p: &Peer| {
            let load = in_flight.get(&p.host.name).copied().unwrap_or_default() / LOAD_STEP;
            let is_remote = p.host.data_centre != self.local.data_centre;
            (p.leaving, load, is_remote, xxh3_64_with_seed(p.host.name.as_bytes(), self.born_ms))
        };
        able.min_by_key(|p| rank(p)).map(|p| p.host.clone())
    }

    /// Returns up to `max` live hosts that answer all calls, from as many data centres as
    /// possible.
    fn spread_over_data_centres(&self, max: usize) -> Vec<Host> {
        let now = self.clock.now();
        let peers = self.peers.lock();
        let able = |p: &&Peer| p.calls > 0 && is_recent(p, now, LIVENESS_TIMEOUT);
        let mut able: Vec<&Host> = peers.values().filter(able).map(|p| &p.host).collect();
        let rank = |host: &Host| xxh3_64_with_seed(host.name.as_bytes(), self.born_ms);
        able.sort_by_key(|host| rank(host));
        let mut taken: HashMap<&Name, usize> = HashMap::new();
        let mut spread: Vec<(usize, &Host)> = Vec::new();
        for host in able {
            let count = taken.entry(&host.data_centre).or_default();
            spread.push((*count, host));
            *count += 1;
        }
        spread.sort_by_key(|(count, _)| *count);
        spread.into_iter().take(max).map(|(_, host)| host.clone()).collect()
    }

    /// Returns up to `max` live hosts that know the versions of streams for certain, those that
    /// have run longest first: they know most of what happened before this host started.
    fn longest_running(&self, max: usize) -> Vec<Host> {
        let now = self.clock.now();
        let peers = self.peers.lock();
        let able = |p: &&Peer| p.calls >= CERTAIN_VERSIONS && is_recent(p, now, LIVENESS_TIMEOUT);
        let mut able: Vec<&Peer> = peers.values().filter(able).collect();
        able.sort_by(|a, b| (a.born_ms, &a.host.name).cmp(&(b.born_ms, &b.host.name)));
        able.iter().take(max).map(|p| p.host.clone()).collect()
    }

    /// Returns the number of live hosts and of those that are listed or live, both
    /// including this one.
    pub fn live_and_listed(&self) -> (usize, usize) {
        let now = self.clock.now();
        let peers = self.peers.lock();
        let live = peers.values().filter(|p| is_recent(p, now, LIVENESS_TIMEOUT)).count();
        (1 + live, 1 + peers.len())
    }
}

fn is_recent(peer: &Peer, now: Instant, max_age: Duration) -> bool {
    peer.last_digest.is_some_and(|at| now.saturating_duration_since(at) < max_age)
}
