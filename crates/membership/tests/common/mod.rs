//! The `common` module simulates the memberships of any number of hosts with an
//! injected clock and a network that delays and loses messages and can be
//! partitioned.

#![allow(dead_code)]

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::{Duration, Instant};

use aspenloft_core::prelude::{Backend, BackendRole, Host, Name, Tokens};
use aspenloft_membership::fleet::Fleet;
use aspenloft_membership::options::MembershipOptions;
use aspenloft_membership::state_machine::{Action, Event, Membership};
use aspenloft_protocol::peer::home::BackendState;
use aspenloft_protocol::peer::membership::{ExchangeStep, Heartbeat};
use aspenloft_protocol::platform::Listing;
use aspenloft_table::active::{ActiveTable, OfferOutcome};
use aspenloft_table::table::Table;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// One-way delay within a data centre.
const LOCAL_DELAY: Duration = Duration::from_micros(300);

/// One-way delay between data centres.
const REMOTE_DELAY: Duration = Duration::from_micros(4_500);

/// The interval at which a simulated host publishes the servers whose home it is.
const PUBLISH_INTERVAL: Duration = Duration::from_secs(1);

/// `Message` is a message or timer event to be delivered to a host.
pub enum Message {
    Tick { boot: u64 },
    Request { from: usize, heartbeat: Heartbeat },
    Answer { heartbeat: Heartbeat },
    TableRequest { from: usize },
    TableReply { version: u64 },
}

struct Scheduled {
    at: Duration,
    order: u64,
    to: usize,
    message: Message,
}

impl PartialEq for Scheduled {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.order) == (other.at, other.order)
    }
}

impl Eq for Scheduled {}

impl PartialOrd for Scheduled {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Scheduled {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.order).cmp(&(other.at, other.order))
    }
}

/// `Traffic` counts what one host has sent or received.
#[derive(Debug, Default, Clone, Copy)]
pub struct Traffic {
    pub messages: u64,
    pub bytes: u64,
    pub table_bytes: u64,
}

/// `SimHost` is the state of one simulated host.
pub struct SimHost {
    pub host: Host,
    pub up: bool,
    pub paused: bool,
    pub boot: u64,
    pub membership: Membership,
    pub fleet: Fleet,
    /// The table in force.
    pub in_force: ActiveTable,
    /// The version of the table in force.
    pub version: u64,
    /// Each version that came into force since the last start.
    pub versions: Vec<u64>,
    /// The side of a network partition on which the host is.
    pub side: u8,
    pub reaches_platform: bool,
    pub sent: Traffic,
    pub received: Traffic,
    /// The time spent in the membership's state machine.
    pub busy: Duration,
    published_at: Duration,
    listing_at: Option<Duration>,
}

/// `Sim` simulates the hosts, their network and the platform.
pub struct Sim {
    pub start: Instant,
    pub elapsed: Duration,
    pub hosts: Vec<SimHost>,
    pub backends: Vec<Backend>,
    pub rng: Pcg64Mcg,
    /// The share of messages lost, in thousandths.
    pub loss_permille: u32,
    /// The hosts on the platform's list.
    pub listed: Vec<Host>,
    pub list_up: bool,
    /// The table's version at the platform's key-value service; zero for none.
    pub kv_version: u64,
    pub kv_up: bool,
    pub table_bytes: u64,
    /// Returns the size of a message in bytes; `None` to skip the measurement.
    pub measure: Option<fn(&Heartbeat) -> u64>,
    pub options: MembershipOptions,
    queue: BinaryHeap<Reverse<Scheduled>>,
    order: u64,
    boots: u64,
    index: HashMap<Name, usize>,
}

pub fn host(i: usize, data_centre: usize) -> Host {
    let ip = IpAddr::V4(Ipv4Addr::new(10, data_centre as u8, (i >> 8) as u8, i as u8));
    Host {
        name: format!("host-{i:03}").into(),
        addr: SocketAddr::new(ip, 7300),
        data_centre: format!("dc-{data_centre}").into(),
        leaving: false,
    }
}

pub fn backend(i: usize, data_centres: usize) -> Backend {
    let role = if i.is_multiple_of(3) { BackendRole::Prefill } else { BackendRole::Decode };
    Backend {
        name: format!("engine-{i:03}").into(),
        addr: SocketAddr::new(IpAddr::V4(Ipv4Addr::new(10, 99, (i >> 8) as u8, i as u8)), 80),
        data_centre: format!("dc-{}", i % data_centres).into(),
        role,
        serves: format!("model-{}", i % 4).into(),
        leaving: false,
    }
}

impl Sim {
    pub fn new(hosts: usize, backends: usize, data_centres: usize, seed: u64) -> Sim {
        let mut sim = Sim {
            start: Instant::now(),
            elapsed: Duration::from_secs(100),
            hosts: Vec::new(),
            backends: (0..backends).map(|i| backend(i, data_centres)).collect(),
            rng: Pcg64Mcg::seed_from_u64(seed),
            loss_permille: 0,
            listed: (0..hosts).map(|i| host(i, i % data_centres)).collect(),
            list_up: true,
            kv_version: 0,
            kv_up: true,
            table_bytes: 0,
            measure: None,
            options: MembershipOptions::default(),
            queue: BinaryHeap::new(),
            order: 0,
            boots: 0,
            index: HashMap::new(),
        };
        for i in 0..hosts {
            let described = host(i, i % data_centres);
            sim.index.insert(described.name.clone(), i);
            let now = sim.now();
            let membership = Membership::new(described.clone(), 0, sim.options.clone(), now);
            sim.hosts.push(SimHost {
                host: described,
                up: false,
                paused: false,
                boot: 0,
                membership,
                fleet: Fleet::default(),
                in_force: ActiveTable::default(),
                version: 0,
                versions: Vec::new(),
                side: 0,
                reaches_platform: true,
                sent: Traffic::default(),
                received: Traffic::default(),
                busy: Duration::ZERO,
                published_at: Duration::ZERO,
                listing_at: None,
            });
        }
        for i in 0..hosts {
            sim.start_host(i);
        }
        sim
    }

    pub fn now(&self) -> Instant {
        self.start + self.elapsed
    }

    /// Starts or restarts host `i` with empty state.
    pub fn start_host(&mut self, i: usize) {
        self.boots += 1;
        let boot = self.boots;
        let now = self.now();
        let options = self.options.clone();
        let node = &mut self.hosts[i];
        node.up = true;
        node.paused = false;
        node.boot = boot;
        node.in_force = ActiveTable::default();
        node.version = 0;
        node.versions.clear();
        node.listing_at = None;
        // The time of the start in milliseconds, as in the daemon.
        let incarnation = 1_700_000_000_000 + self.elapsed.as_millis() as u64;
        node.membership = Membership::new(node.host.clone(), incarnation, options, now);
        node.fleet = Fleet::default();
        let phase = Duration::from_micros(self.rng.random_range(0..500_000));
        self.post(phase, i, Message::Tick { boot });
    }

    pub fn crash(&mut self, i: usize) {
        self.hosts[i].up = false;
    }

    fn post(&mut self, delay: Duration, to: usize, message: Message) {
        self.order += 1;
        let due = Scheduled { at: self.elapsed + delay, order: self.order, to, message };
        self.queue.push(Reverse(due));
    }

    /// Runs the simulation for `span`.
    pub fn run(&mut self, span: Duration) {
        let ends = self.elapsed + span;
        while let Some(Reverse(next)) = self.queue.peek() {
            if next.at > ends {
                break;
            }
            let Some(Reverse(due)) = self.queue.pop() else { break };
            self.elapsed = due.at;
            self.deliver(due.to, due.message);
        }
        self.elapsed = ends;
    }

    fn deliver(&mut self, to: usize, message: Message) {
        if let Message::Tick { boot } = message {
            self.tick(to, boot);
            return;
        }
        if !self.hosts[to].up || self.hosts[to].paused {
            return;
        }
        let now = self.now();
        match message {
            Message::Tick { .. } => {}
            Message::Request { from, heartbeat } => {
                let step = heartbeat.step;
                let began = Instant::now();
                let (answer, actions) = self.hosts[to].membership.answer(heartbeat, now);
                self.hosts[to].busy += began.elapsed();
                if step == ExchangeStep::Offer {
                    self.count(to, from, &answer);
                    if let Some(delay) = self.link_delay(to, from) {
                        self.post(delay, from, Message::Answer { heartbeat: answer });
                    }
                }
                self.perform(to, actions);
            }
            Message::Answer { heartbeat } => {
                let began = Instant::now();
                let actions = self.hosts[to].membership.handle(Event::Answered(heartbeat), now);
                self.hosts[to].busy += began.elapsed();
                self.perform(to, actions);
            }
            Message::TableRequest { from } => {
                let version = self.hosts[to].version;
                self.hosts[to].sent.table_bytes += self.table_bytes;
                if let Some(delay) = self.link_delay(to, from) {
                    self.post(delay, from, Message::TableReply { version });
                }
            }
            Message::TableReply { version } => {
                self.hosts[to].membership.handle(Event::FetchEnded, now);
                self.take_table(to, version);
            }
        }
    }

    fn tick(&mut self, i: usize, boot: u64) {
        if !self.hosts[i].up || self.hosts[i].boot != boot {
            return;
        }
        let jitter = Duration::from_micros(self.rng.random_range(0..2_000));
        self.post(self.options.round_interval + jitter, i, Message::Tick { boot });
        if self.hosts[i].paused {
            return;
        }
        self.read_platform(i);
        self.publish(i);
        let now = self.now();
        let began = Instant::now();
        let actions = self.hosts[i].membership.handle(Event::Tick, now);
        self.hosts[i].busy += began.elapsed();
        self.perform(i, actions);
    }

    /// Reads the platform's list and watches the table like the daemon.
    fn read_platform(&mut self, i: usize) {
        let now = self.now();
        let node = &mut self.hosts[i];
        if !node.reaches_platform {
            return;
        }
        let every = Duration::from_secs(if node.membership.is_delegate() { 1 } else { 10 });
        let due = node.listing_at.is_none_or(|at| self.elapsed >= at + every);
        if self.list_up && due {
            node.listing_at = Some(self.elapsed);
            let listing = Listing { hosts: self.listed.clone(), backends: self.backends.clone() };
            let event = Event::Listed { listing: Arc::new(listing), fingerprint: 1 };
            let actions = node.membership.handle(event, now);
            self.perform(i, actions);
        }
        let node = &mut self.hosts[i];
        if self.kv_up && node.membership.watches_table() {
            node.membership.handle(Event::PlatformAnswered, now);
            let version = self.kv_version;
            self.take_table(i, version);
        }
    }

    /// Puts the table with `version` in force at host `i` unless its own is as new.
    pub fn take_table(&mut self, i: usize, version: u64) {
        let now = self.now();
        let node = &mut self.hosts[i];
        if version == 0 {
            return;
        }
        let table = Table { version, ..Table::default() };
        if node.in_force.offer(table).expect("a table") == OfferOutcome::Activated {
            node.version = node.in_force.version();
            node.versions.push(node.version);
            let actions = node.membership.handle(Event::TableInForce(version), now);
            self.perform(i, actions);
        }
    }

    fn publish(&mut self, i: usize) {
        let now = self.now();
        let node = &mut self.hosts[i];
        if self.elapsed < node.published_at + PUBLISH_INTERVAL {
            return;
        }
        node.published_at = self.elapsed;
        let mine: Vec<Name> = node.fleet.homes_of(&node.host.name).cloned().collect();
        for name in mine {
            let state = BackendState {
                slots: 20,
                taken: self.rng.random_range(0..20),
                queued_tokens: Tokens(self.rng.random_range(0..60_000)),
                free_in: Duration::from_millis(self.rng.random_range(0..5_000)),
                prefill_per_token: Duration::from_micros(self.rng.random_range(50..200)),
                step: Duration::from_micros(self.rng.random_range(20_000..40_000)),
                closed: false,
            };
            node.membership.publish(&name, state, now);
        }
    }

    fn perform(&mut self, i: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send { to, heartbeat } => {
                    let Some(&to) = self.index.get(&to.name) else { continue };
                    self.count(i, to, &heartbeat);
                    if let Some(delay) = self.link_delay(i, to) {
                        self.post(delay, to, Message::Request { from: i, heartbeat });
                    }
                }
                Action::FetchTable { from } => {
                    let Some(&from) = self.index.get(&from.name) else { continue };
                    if let Some(delay) = self.link_delay(i, from) {
                        self.post(delay, from, Message::TableRequest { from: i });
                    }
                }
                Action::MembershipChanged => self.recompute_homes(i),
                Action::ReadListing => self.hosts[i].listing_at = None,
            }
        }
    }

    fn recompute_homes(&mut self, i: usize) {
        let node = &mut self.hosts[i];
        node.fleet = Fleet::new(node.membership.live().to_vec(), self.backends.clone());
        let mine: Vec<Name> = node.fleet.homes_of(&node.host.name).cloned().collect();
        node.membership.retain_published(|name| mine.contains(name));
    }

    /// Returns the delay of a message, or `None` when it is lost.
    fn link_delay(&mut self, from: usize, to: usize) -> Option<Duration> {
        let lost = self.rng.random_range(0..1_000) < self.loss_permille;
        if lost || self.hosts[from].side != self.hosts[to].side {
            return None;
        }
        let local = self.hosts[from].host.data_centre == self.hosts[to].host.data_centre;
        let base = if local { LOCAL_DELAY } else { REMOTE_DELAY };
        Some(base + base.mul_f64(self.rng.random_range(0.0..1.0)))
    }

    fn count(&mut self, from: usize, to: usize, heartbeat: &Heartbeat) {
        if let Some(measure) = self.measure {
            let began = Instant::now();
            let bytes = measure(heartbeat);
            let half = began.elapsed() / 2;
            // Half is counted as encoding by the sender and half as decoding by the
            // receiver.
            self.hosts[from].busy += half;
            self.hosts[to].busy += half;
            self.hosts[from].sent.messages += 1;
            self.hosts[from].sent.bytes += bytes;
            self.hosts[to].received.messages += 1;
            self.hosts[to].received.bytes += bytes;
        }
    }

    /// Returns the indices of the hosts that are up and not paused.
    pub fn running(&self) -> Vec<usize> {
        (0..self.hosts.len()).filter(|i| self.hosts[*i].up && !self.hosts[*i].paused).collect()
    }

    /// Returns the homes of all backend servers as host `i` computed them.
    pub fn homes_at(&self, i: usize) -> Vec<Option<Name>> {
        let fleet = &self.hosts[i].fleet;
        let names = self.backends.iter().map(|backend| &backend.name);
        names.map(|name| fleet.home(name).map(|home| home.name.clone())).collect()
    }

    /// Describes a disagreement of two running hosts about a home, if there is one.
    pub fn disagreement(&self) -> Option<String> {
        let running = self.running();
        let first = *running.first()?;
        let expected = self.homes_at(first);
        for i in running {
            let found = self.homes_at(i);
            if let Some(at) = (0..found.len()).find(|at| found[*at] != expected[*at]) {
                return Some(format!(
                    "home of {} in {}: {:?} computed {:?}, {:?} computed {:?}",
                    self.backends[at].name,
                    self.backends[at].data_centre,
                    self.hosts[first].host.name,
                    expected[at],
                    self.hosts[i].host.name,
                    found[at]
                ));
            }
        }
        None
    }
}
