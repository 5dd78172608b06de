//! Tests of how late a host learns of a change, whatever fails on the way to it.

mod common;

use std::sync::Arc;
use std::time::{Duration, Instant};

use aspenloft_gateway::configuration::{Configuration, Route};
use aspenloft_gateway::peers::{Digest, PeerCall, ViewReply};
use aspenloft_gateway::roster::ServerEntry;
use aspenloft_gateway::roster::ServerRole::Plain;
use aspenloft_standin::relay::Relay;
use aspenloft_transport::frames;
use aspenloft_transport::mesh::{PeerLink, RemoteCall};
use async_std::task;
use bytes::BytesMut;
use common::peer::{ScriptedPeer, fetch_view};
use common::{
    READ_TIMEOUT, Scripted, TestHost, configuration, digest, entry, sealed, status, wait_for,
};

/// How late a change may be on a deployment with the shortest bounds.
const CHANGE_LIMIT: Duration = Duration::from_secs(2);

fn get(id: &str) -> String {
    format!("GET /many/ HTTP/1.1\r\nhost: app.test\r\nid: {id}\r\n\r\n")
}

fn good() -> Scripted {
    Scripted::start(|_, req| sealed(req, "200 OK", "done"))
}

/// Returns a view at `revision` with `servers`.
fn view(revision: u64, servers: &[ServerEntry]) -> ViewReply {
    ViewReply {
        revision,
        era: None,
        configuration: Some(configuration(1)),
        hosts: Vec::new(),
        servers: servers.to_vec(),
        kept: Vec::new(),
        withheld: Vec::new(),
    }
}

/// Other hosts, each reached through a relay, as the host under test hears of them.
struct Peers {
    peers: Vec<(ScriptedPeer, Arc<Relay>, Digest)>,
}

impl Peers {
    fn start(count: usize) -> Peers {
        let start = |number: usize| {
            let peer = ScriptedPeer::start();
            let (addr, relay) = peer.relay();
            (peer, relay, digest(&format!("peer-{number}"), addr, 0))
        };
        Peers { peers: (0..count).map(start).collect() }
    }

    /// Sends `host` one digest of each peer.
    fn announce(&mut self, host: &TestHost) {
        for (_, _, digest) in &mut self.peers {
            digest.seq += 1;
            host.receive_digest(digest);
        }
    }

    /// Has `host` take a view from each peer in turn, so that it has a connection to each.
    fn connect(&mut self, host: &TestHost, servers: &[ServerEntry]) {
        for number in 0..self.peers.len() {
            let revision = host.store.revision() + 1 + number as u64;
            let (peer, _, digest) = &mut self.peers[number];
            peer.reply(view(revision, servers));
            digest.revision = revision;
            self.announce(host);
            wait_for("the view to be taken", || self.peers[number].0.calls() > 0);
        }
    }

    /// Has the peers go on to send digests until `host` has no server left, and returns how
    /// long that takes.
    fn time_to_removal(&mut self, host: &TestHost) -> Duration {
        let began = Instant::now();
        while status(&host.send(&get("a"))) != "503" {
            assert!(began.elapsed() < READ_TIMEOUT, "the server is still used");
            self.announce(host);
            std::thread::sleep(Duration::from_millis(20));
        }
        began.elapsed()
    }
}

// Each connection to another host that had gone silent while idle cost a whole timeout.
#[test]
fn a_removal_reaches_a_host_whose_idle_connections_to_others_are_silent() {
    let server = good();
    let entries = [entry("s1", server.addr, Plain)];
    let host = TestHost::with_servers(&entries);
    host.store.set_down(true);
    let mut peers = Peers::start(6);
    peers.connect(&host, &entries);
    // Connections are checked for a moment after a call, until they are idle.
    std::thread::sleep(Duration::from_secs(1));
    for (peer, relay, digest) in &mut peers.peers {
        relay.silence_open();
        digest.revision = 1_000;
        peer.reply(view(1_000, &[]));
    }
    let took = peers.time_to_removal(&host);
    assert!(took < CHANGE_LIMIT, "{took:?}");
}

// All hosts of a data centre asked one host for a large configuration, and all calls timed out.
#[test]
fn a_large_configuration_is_sent_to_few_hosts_at_the_same_time() {
    let host = TestHost::with_servers(&[entry("s1", good().addr, Plain)]);
    host.store.write("configuration", &large_configuration(2));
    let has_new = || fetch_view(&host, &PeerCall::ViewSince(1)).configuration.is_some();
    wait_for("the configuration", has_new);
    let unread: Vec<_> = (0..8).map(|_| call_for_view(&host)).collect();
    std::thread::sleep(Duration::from_millis(500));
    assert!(!has_new(), "the link is shared by too many");
    let views = unread.into_iter().map(read_view);
    assert_eq!(views.filter(|view| view.configuration.is_some()).count(), 4);
    wait_for("the configuration to be sent again", has_new);
}

/// Calls for the view with the configuration, on a connection of its own, without reading it.
fn call_for_view(host: &TestHost) -> RemoteCall {
    let mut buf = BytesMut::new();
    frames::encode(&PeerCall::ViewSince(1), &mut buf).expect("a request");
    let link = PeerLink::new(host.settings.listen.peers, Arc::default());
    task::block_on(async {
        link.connection().await.expect("a connection").call(buf.freeze()).await.expect("a call")
    })
}

fn read_view(mut call: RemoteCall) -> ViewReply {
    let body = task::block_on(call.next()).expect("a reply").expect("a whole reply");
    ViewReply::decode(&body).expect("a view")
}

/// Returns a configuration that exceeds the window of a connection.
fn large_configuration(version: u64) -> Configuration {
    let mut large = configuration(version);
    let route = large.routes[0].clone();
    let named = |n| Route { name: format!("{n:0100}").into(), ..route.clone() };
    large.routes.extend((0..20_000).map(named));
    large
}

// A host that had fallen behind asked for all changes again and again, which it could not read.
#[test]
fn a_host_that_cannot_read_all_changes_reads_a_snapshot() {
    let host = TestHost::with_servers(&[entry("s1", good().addr, Plain)]);
    host.store.limit_changes(2);
    host.store.set_down(true);
    for version in 2..5 {
        host.store.write("configuration", &configuration(version));
    }
    host.store.remove("servers/s1");
    host.store.set_down(false);
    let removed = Instant::now();
    wait_for("the server to be removed", || status(&host.send(&get("a"))) == "503");
    // The entry may have been lost in the outage.
    let limit = CHANGE_LIMIT + Duration::from_secs(1);
    assert!(removed.elapsed() < limit, "{:?}", removed.elapsed());
}

// A server that said in its responses that it leaves got requests until the store said so too.
#[test]
fn a_server_that_says_itself_that_it_leaves_gets_no_new_request() {
    let leaving = Scripted::start(|_, req| {
        String::from_utf8_lossy(&sealed(req, "200 OK", "done"))
            .replacen("\r\n", "\r\nleaving: 1\r\n", 1)
            .into()
    });
    let staying = good();
    let entries = [entry("s1", leaving.addr, Plain), entry("s2", staying.addr, Plain)];
    let host = TestHost::with_servers(&entries);
    host.store.set_down(true);
    let calls = |count: usize| {
        (0..count).for_each(|n| assert_eq!(status(&host.send(&get(&format!("a{n}")))), "200"));
    };
    calls(10);
    assert_eq!(leaving.count(), 1, "one response is enough");
    // An older entry of the same process is read when the store is back.
    host.store.write("servers/s1", &entries[0]);
    host.store.set_down(false);
    std::thread::sleep(Duration::from_millis(500));
    calls(10);
    assert_eq!(leaving.count(), 1);
    host.store.write("servers/s1", &ServerEntry { born_ms: 2, ..entries[0].clone() });
    wait_for("a new process under the same name to be used", || {
        calls(1);
        leaving.count() > 1
    });
}

// A server whose entry was removed during a moment's outage was kept for longer than its bound.
#[test]
fn a_short_outage_keeps_no_server_beyond_the_bound() {
    let host = TestHost::with_servers(&[entry("s1", good().addr, Plain)]);
    std::thread::sleep(Duration::from_millis(600));
    host.store.set_down(true);
    std::thread::sleep(Duration::from_millis(50));
    host.store.remove("servers/s1");
    let removed = Instant::now();
    std::thread::sleep(Duration::from_millis(100));
    host.store.set_down(false);
    wait_for("the server to be removed", || status(&host.send(&get("a"))) == "503");
    assert!(removed.elapsed() < CHANGE_LIMIT, "{:?}", removed.elapsed());
}
