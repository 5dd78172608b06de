//! The `peers` module keeps the hosts informed of each other's work.
//!
//! Each host sends a small datagram when its work on the engines changes, and now
//! and then when it does not. A datagram holds all of the sender's state, so a lost
//! one is replaced by the next; `docs/design/platform.md` gives the costs. What is
//! too large for a datagram is asked for over `h2`.

mod digest;
mod exchange;

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

use aspenloft_core::prelude::{Arc, Host, Name, SharedClock};
use aspenloft_core::suspects::Fingerprint;
use aspenloft_policy::crash_book::CrashBook;
use aspenloft_policy::host_groups::HostGroup;
use aspenloft_transport::mesh::{MeshOptions, PeerLink};
use parking_lot::Mutex;

use crate::demand::DemandBook;
use crate::loads::Loads;
use crate::roster::Server;
use crate::view::View;

pub use digest::{Digest, ViewReply};
pub use exchange::ViewServer;

/// How long a host counts as live after its last digest.
const LIVE_FOR: Duration = Duration::from_secs(3);

/// How long a host counts towards the split of budgets after its last digest.
const BUDGET_MEMBER_FOR: Duration = Duration::from_secs(10);

/// How many hosts must say that a server cannot be reached for others to believe it.
const AGREEING_HOSTS: usize = 2;

/// How recently a host must have been heard of for others to rely on its following:
/// three digests of an idle host.
const FOLLOWER_HEARD: Duration = Duration::from_millis(800);

#[derive(Debug, Clone)]
struct Peer {
    host: Host,
    born_ms: u64,
    seq: u64,
    revision: u64,
    follows: bool,
    unreachable: Vec<u64>,
    heard: Option<Instant>,
    /// Whether its silence has been told of since it was last heard.
    silence_told: bool,
    /// When it last did not answer a call, since which it may be gone.
    unread: Option<Instant>,
}

/// `Peers` is what the host knows of the others.
pub struct Peers {
    me: Host,
    born_ms: u64,
    clock: SharedClock,
    loads: Arc<Loads>,
    demand: Arc<DemandBook>,
    view: Arc<View>,
    breaks: Mutex<CrashBook>,
    revision: AtomicU64,
    follows: AtomicBool,
    seq: AtomicU64,
    seeds: Vec<SocketAddr>,
    peers: Mutex<HashMap<Name, Peer>>,
    links: Mutex<HashMap<Name, Arc<PeerLink>>>,
    options: Arc<MeshOptions>,
}

impl Peers {
    /// Creates the knowledge of the host `me`, which knows no other yet and first
    /// turns to `seeds`.
    pub fn new(
        me: Host,
        clock: SharedClock,
        loads: Arc<Loads>,
        demand: Arc<DemandBook>,
        view: Arc<View>,
        seeds: Vec<SocketAddr>,
    ) -> Arc<Peers> {
        let born_ms = aspenloft_core::clock::unix_millis(clock.system_time());
        Arc::new(Peers {
            me,
            born_ms,
            clock,
            loads,
            demand,
            view,
            breaks: Mutex::default(),
            revision: AtomicU64::new(0),
            follows: AtomicBool::new(false),
            seq: AtomicU64::new(0),
            seeds,
            peers: Mutex::default(),
            links: Mutex::default(),
            options: Arc::default(),
        })
    }

    /// Returns this host.
    pub fn me(&self) -> &Host {
        &self.me
    }

    /// Returns this host's group.
    pub fn group(&self) -> HostGroup {
        self.group_among(&self.peers.lock())
    }

    fn group_among(&self, peers: &HashMap<Name, Peer>) -> HostGroup {
        let here = &self.me.data_centre;
        let others = peers.values().filter(|p| p.host.data_centre == *here).count();
        HostGroup::of(&self.me.name, here, 1 + others)
    }

    /// Returns how many hosts share the deployment's budgets, this one included.
    pub fn live_hosts(&self) -> usize {
        let now = self.clock.now();
        let recent = |p: &&Peer| heard_within(p, now, BUDGET_MEMBER_FOR);
        1 + self.peers.lock().values().filter(recent).count()
    }

    /// Returns this host's place among the live ones in the order of their names, by
    /// which work that one host does for all is taken up.
    pub fn rank(&self) -> usize {
        let now = self.clock.now();
        let peers = self.peers.lock();
        let live = peers.values().filter(|p| heard_within(p, now, LIVE_FOR));
        live.filter(|p| p.host.name < self.me.name).count()
    }

    /// Returns the servers that this host cannot reach.
    fn unreachable(&self) -> Vec<u64> {
        let now = self.clock.now();
        let roster = self.view.roster();
        let away = roster.all().filter(|s| !s.seems_reachable(now));
        away.map(|s| s.key).collect()
    }

    /// Returns the servers that several other hosts cannot reach. What one host alone
    /// cannot reach may be cut off from that host only.
    pub fn unreachable_elsewhere(&self) -> HashSet<u64> {
        let now = self.clock.now();
        let peers = self.peers.lock();
        let live = peers.values().filter(|p| heard_within(p, now, LIVE_FOR));
        let mut reports: HashMap<u64, usize> = HashMap::new();
        for server in live.flat_map(|p| &p.unreachable) {
            *reports.entry(*server).or_default() += 1;
        }
        let several = reports.into_iter().filter(|(_, hosts)| *hosts >= AGREEING_HOSTS);
        several.map(|(server, _)| server).collect()
    }

    /// Notes that `server` broke off while it ran the request `id`.
    pub fn broke(&self, id: &str, request: Fingerprint, server: &Server) {
        let now = self.clock.now();
        let mut breaks = self.breaks.lock();
        if breaks.broke(request, server.key, now) && breaks.is_convicted(request, now) {
            log::warn!(event = "request_convicted", request = id, server = &*server.entry.instance; "");
        }
    }

    /// Tells whether servers have broken off on the request too often to run it again.
    pub fn is_convicted(&self, request: Fingerprint) -> bool {
        self.breaks.lock().is_convicted(request, self.clock.now())
    }

    /// Notes a host that the platform lists.
    pub fn listed(&self, host: Host) {
        if host.name == self.me.name {
            return;
        }
        let mut peers = self.peers.lock();
        let known = peers.get(&host.name).is_some_and(|p| p.host == host);
        if !known {
            log::info!(event = "peer_listed", peer = &*host.name, addr = host.addr.to_string().as_str(); "");
            let unreachable = Vec::new();
            let peer = Peer {
                host,
                born_ms: 0,
                seq: 0,
                revision: 0,
                follows: false,
                unreachable,
                heard: None,
                silence_told: false,
                unread: None,
            };
            peers.insert(peer.host.name.clone(), peer);
        }
    }

    /// Notes that the platform no longer lists the host `name`.
    ///
    /// A host that is still heard of stays: the platform loses entries while hosts
    /// cannot renew them.
    pub fn unlisted(&self, name: &str) {
        let now = self.clock.now();
        let mut peers = self.peers.lock();
        if peers.get(name).is_some_and(|p| !heard_within(p, now, LIVE_FOR)) {
            peers.remove(name);
            log::info!(event = "peer_gone", peer = name; "");
        }
    }

    /// Notes the revision up to which this host has followed the key-value service.
    pub fn followed(&self, revision: u64) {
        self.revision.fetch_max(revision, Ordering::SeqCst);
    }

    /// Returns the revision up to which this host has followed.
    pub fn revision(&self) -> u64 {
        self.revision.load(Ordering::SeqCst)
    }

    /// Notes whether this host follows the key-value service itself and hears from it.
    pub fn set_follows(&self, follows: bool) {
        self.follows.store(follows, Ordering::SeqCst);
    }

    /// Returns how many hosts of this one's group that come before it in the
    /// order of their names follow the key-value service and were heard of lately.
    pub fn followers_before(&self) -> usize {
        let now = self.clock.now();
        let peers = self.peers.lock();
        let group = self.group_among(&peers);
        let near = peers.values().filter(|p| group.has_host(&p.host.name, &p.host.data_centre));
        let following = near.filter(|p| p.follows && heard_within(p, now, FOLLOWER_HEARD));
        following.filter(|p| p.host.name < self.me.name).count()
    }

    /// Notes that the host `name` did not answer a call. It is not asked again before it
    /// is heard of: of a host that has just died others still know that it was furthest.
    pub fn unread(&self, name: &str) {
        let now = self.clock.now();
        if let Some(peer) = self.peers.lock().get_mut(name) {
            peer.unread = Some(now);
        }
    }

    /// Returns the live host that has followed the key-value service furthest, when
    /// that is further than this one; of several one that is near.
    pub fn further(&self) -> Option<Host> {
        let (now, own) = (self.clock.now(), self.revision());
        let peers = self.peers.lock();
        let answers = |p: &Peer| p.unread.is_none_or(|at| p.heard.is_some_and(|heard| heard > at));
        let ahead = peers
            .values()
            .filter(|p| p.revision > own && heard_within(p, now, LIVE_FOR) && answers(p));
        let near = |p: &Peer| p.host.data_centre == self.me.data_centre;
        ahead.max_by_key(|p| (p.revision, near(p))).map(|p| p.host.clone())
    }

    /// Tells of the hosts that have fallen silent, once each.
    fn log_silence(&self) {
        let now = self.clock.now();
        for peer in self.peers.lock().values_mut() {
            let Some(heard) = peer.heard else { continue };
            let silent = now.saturating_duration_since(heard);
            if silent >= LIVE_FOR && !peer.silence_told {
                peer.silence_told = true;
                let (name, silent_ms) = (&*peer.host.name, silent.as_millis() as u64);
                log::info!(event = "peer_silent", peer = name, silent_ms, revision = peer.revision; "");
            }
        }
    }

    /// Takes in what another host says, unless something newer is known of it.
    pub fn take_digest(&self, digest: Digest) {
        if digest.host.name == self.me.name {
            return;
        }
        let now = self.clock.now();
        {
            let mut peers = self.peers.lock();
            let held = peers.get(&digest.host.name);
            if held.is_some_and(|p| (p.born_ms, p.seq) >= (digest.born_ms, digest.seq)) {
                return;
            }
            if held.is_none_or(|p| !heard_within(p, now, LIVE_FOR)) {
                log::info!(event = "peer_live", peer = &*digest.host.name, revision = digest.revision; "");
            }
            let peer = Peer {
                host: digest.host.clone(),
                born_ms: digest.born_ms,
                seq: digest.seq,
                revision: digest.revision,
                follows: digest.follows,
                unreachable: digest.unreachable,
                heard: Some(now),
                silence_told: false,
                unread: None,
            };
            peers.insert(digest.host.name.clone(), peer);
        }
        for (request, server) in digest.breaks {
            self.breaks.lock().broke(request, server, now);
        }
        self.demand.learn(&digest.host.name, digest.demand);
        self.loads.learn(&digest.host.name, digest.loads, now);
    }
}

fn heard_within(peer: &Peer, now: Instant, span: Duration) -> bool {
    peer.heard.is_some_and(|at| now.saturating_duration_since(at) < span)
}
