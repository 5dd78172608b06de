//! Tests of how late a host learns of a change, whatever fails on the way to it.

mod common;

use std::sync::Arc;
use std::time::{Duration, Instant};

use aspenloft_gateway::peers::{Digest, ViewReply};
use aspenloft_gateway::roster::ServerEntry;
use aspenloft_gateway::roster::ServerRole::Plain;
use aspenloft_standin::relay::Relay;
use common::peer::ScriptedPeer;
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
