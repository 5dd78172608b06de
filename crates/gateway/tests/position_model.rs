//! A model of hosts that read a key-value service and each other in any order, while the
//! service comes back from older copies: all end with the newest state, and none goes back.

mod common;

use std::collections::{BTreeMap, HashSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use aspenloft_core::prelude::{Era, Position};
use aspenloft_gateway::roster::ServerEntry;
use aspenloft_gateway::roster::ServerRole::Plain;
use aspenloft_gateway::view::{Keep, RESTORE_SETTLE_TIME, ServerChange, UpdateSource, View};
use aspenloft_protocol::platform::Version;
use common::{configuration, entry};

const HOSTS: usize = 3;
const SERVERS: u8 = 4;

/// The state of a server's entry: whether the server is leaving.
type Servers = BTreeMap<u8, bool>;

/// The service, with the changes since its last copy or return.
#[derive(Debug, Clone, Default)]
struct Service {
    position: Position,
    servers: Servers,
    configuration: u64,
    history: Vec<(Version, u8, Option<bool>)>,
    history_from: Version,
}

impl Service {
    fn write(&mut self, server: u8, leaving: Option<bool>) {
        self.position.revision += 1;
        match leaving {
            Some(leaving) => self.servers.insert(server, leaving),
            None => self.servers.remove(&server),
        };
        self.history.push((self.position.revision, server, leaving));
    }

    fn restore(&mut self, copy: &Service) {
        let era = Era(self.position.era.0 + 1);
        *self = copy.clone();
        self.position.era = era;
        self.history.clear();
        self.history_from = self.position.revision;
    }
}

fn server_entry(server: u8, leaving: bool) -> ServerEntry {
    let addr = SocketAddr::from(([127, 0, 0, 1], 1));
    ServerEntry { leaving, ..entry(&format!("s{server}"), addr, Plain) }
}

#[derive(Debug, Clone)]
struct Operation {
    kind: u8,
    host: usize,
    other: usize,
    server: u8,
}

struct Model {
    service: Service,
    copy: Service,
    newest_configuration: u64,
    hosts: Vec<View>,
    /// The servers that have ever announced their leaving, by number.
    leaving: HashSet<u8>,
    seen: Vec<(Position, u64, HashSet<u8>)>,
    now: Instant,
    /// A response to a watch that has not arrived yet, with the host that waits for it.
    late: Option<(usize, Changes)>,
}

/// The changes up to a position.
type Changes = (Vec<(Version, ServerChange)>, Position);

impl Model {
    fn new() -> Model {
        let (service, hosts) = (Service::default(), (0..HOSTS).map(|_| View::default()).collect());
        let seen = vec![Default::default(); HOSTS];
        let (copy, leaving, now) = (service.clone(), HashSet::new(), Instant::now());
        Model { service, copy, newest_configuration: 0, hosts, leaving, seen, now, late: None }
    }

    fn apply(&mut self, operation: &Operation) {
        let Operation { kind, host, other, server } = *operation;
        self.now += Duration::from_millis(50);
        match kind % 12 {
            0 if !self.leaving.contains(&server) => self.service.write(server, Some(false)),
            1 if self.service.servers.contains_key(&server) => {
                self.leaving.insert(server);
                self.service.write(server, Some(true));
            }
            2 => self.service.write(server, None),
            3 => {
                self.newest_configuration += 1;
                self.service.configuration = self.newest_configuration;
            }
            4 => self.copy = self.service.clone(),
            5 => {
                let copy = self.copy.clone();
                self.service.restore(&copy);
            }
            6 => self.read_snapshot(host),
            7 => self.watch(host),
            8 => self.read_view(host, other),
            11 => self.now += RESTORE_SETTLE_TIME,
            9 => self.late = self.changes(host).map(|changes| (host, changes)),
            10 => {
                if let Some((host, (changes, position))) = self.late.take() {
                    self.hosts[host].apply_changes(changes, position, &Keep::Nothing, self.now);
                }
            }
            _ => {}
        }
        self.check();
    }

    fn read_snapshot(&self, host: usize) {
        let Service { servers, position, configuration: version, .. } = &self.service;
        let entries = servers.iter().map(|(s, leaving)| server_entry(*s, *leaving));
        let entries = entries.map(ServerChange::Listed).collect();
        let view = &self.hosts[host];
        view.apply_configuration(configuration(*version));
        view.replace_servers(entries, *position, UpdateSource::Snapshot, &Keep::Nothing, self.now);
    }

    fn watch(&self, host: usize) {
        let Some((changes, position)) = self.changes(host) else {
            return self.read_snapshot(host);
        };
        let view = &self.hosts[host];
        view.apply_configuration(configuration(self.service.configuration));
        view.apply_changes(changes, position, &Keep::Nothing, self.now);
    }

    /// Returns the changes since the position of a host, if the service has them.
    fn changes(&self, host: usize) -> Option<Changes> {
        let (view, service) = (&self.hosts[host], &self.service);
        let after = view.position();
        let is_known = after.era == service.position.era
            && (service.history_from..=service.position.revision).contains(&after.revision);
        if !is_known || !view.is_complete() {
            return None;
        }
        let newer = service.history.iter().filter(|(at, ..)| *at > after.revision);
        let changes = newer.map(|(at, server, leaving)| {
            let change = match leaving {
                Some(leaving) => ServerChange::Listed(server_entry(*server, *leaving)),
                None => ServerChange::Removed(server_entry(*server, false).instance),
            };
            (*at, change)
        });
        Some((changes.collect(), service.position))
    }

    fn read_view(&self, host: usize, other: usize) {
        if host == other || !self.hosts[other].is_complete() {
            return;
        }
        let (view, peer) = (&self.hosts[host], &self.hosts[other]);
        if let Some(configuration) = peer.configuration() {
            view.apply_configuration((*configuration).clone());
        }
        let (position, roster) = peer.positioned_roster();
        let entries: Vec<ServerChange> = roster
            .all()
            .map(|server| match server.withheld_until.filter(|until| *until > self.now) {
                Some(until) => ServerChange::Withheld(server.entry.clone(), until),
                None => ServerChange::Listed(server.entry.clone()),
            })
            .collect();
        view.merge_marks(&entries);
        let keep = Keep::AsPeer(Vec::new());
        view.replace_servers(entries, position, UpdateSource::Peer, &keep, self.now);
    }

    fn staying(&self, host: usize) -> HashSet<u8> {
        let roster = self.hosts[host].roster();
        (0..SERVERS)
            .filter(|s| {
                let server = roster.get(&format!("s{s}"));
                server.is_some_and(|server| server.is_staying(self.now))
            })
            .collect()
    }

    /// Checks that no host goes back: in position, configuration, or to a server that it has
    /// seen leaving.
    fn check(&mut self) {
        for host in 0..HOSTS {
            let view = &self.hosts[host];
            let version = view.configuration().map_or(0, |c| c.version);
            let leaving = view.roster().all().filter(|s| s.entry.leaving).count();
            let marked: HashSet<u8> = (0..SERVERS)
                .filter(|s| {
                    let roster = view.roster();
                    roster.get(&format!("s{s}")).is_some_and(|server| server.entry.leaving)
                })
                .collect();
            assert_eq!(marked.len(), leaving);
            let staying = self.staying(host);
            let (position, seen_version, seen_leaving) = &mut self.seen[host];
            assert!(view.position() >= *position, "{:?} after {position:?}", view.position());
            assert!(version >= *seen_version, "{version} after {seen_version}");
            assert!(staying.is_disjoint(seen_leaving), "{staying:?} after {seen_leaving:?}");
            seen_leaving.extend(marked);
            (*position, *seen_version) = (view.position(), version);
        }
    }

    /// Has the operator and the servers write again what was lost, and every host read it.
    fn settle(&mut self) {
        for server in self.leaving.clone() {
            if self.service.servers.contains_key(&server) {
                self.service.write(server, Some(true));
            }
        }
        self.service.configuration = self.newest_configuration;
        self.now += RESTORE_SETTLE_TIME;
        self.watch(0);
        self.read_view(1, 0);
        self.watch(2);
        self.now += RESTORE_SETTLE_TIME;
        self.check();
        let listed = self.service.servers.iter().filter(|(_, leaving)| !**leaving);
        let expected: HashSet<u8> = listed.map(|(server, _)| *server).collect();
        for host in 0..HOSTS {
            assert_eq!(self.staying(host), expected, "host {host}");
            assert_eq!(self.hosts[host].position(), self.service.position, "host {host}");
            let version = self.hosts[host].configuration().map_or(0, |c| c.version);
            assert_eq!(version, self.newest_configuration, "host {host}");
        }
    }
}

#[test]
fn hosts_end_with_the_newest_state_and_never_go_back() {
    bolero::check!().with_iterations(2_000).with_type::<[[u8; 4]; 50]>().cloned().for_each(
        |operations| {
            let mut model = Model::new();
            for [kind, host, other, server] in operations {
                let (host, other) = (usize::from(host) % HOSTS, usize::from(other) % HOSTS);
                model.apply(&Operation { kind, host, other, server: server % SERVERS });
            }
            model.settle();
        },
    );
}
