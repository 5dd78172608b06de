//! Tests that digests stay within one datagram and reach other hosts however much there is to
//! say.

mod common;

use std::collections::HashSet;
use std::net::UdpSocket;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use aspenloft_gateway::peers::Digest;
use aspenloft_gateway::roster::ServerRole::Plain;
use aspenloft_transport::frames;
use bytes::BytesMut;
use common::peer::ScriptedPeer;
use common::{
    MemoryStore, Scripted, TestHost, configuration, digest, entry, free_addr, sealed, wait_for,
};

/// The size of an unfragmented datagram, in bytes.
const MAX_DIGEST_BYTES: usize = 1_400;

/// Has a host try `servers` servers that are down, and returns how many of them another host
/// hears of within `period`.
fn unreachable_heard_of(servers: usize, period: Duration) -> usize {
    let socket = UdpSocket::bind("127.0.0.1:0").expect("bind");
    socket.set_read_timeout(Some(Duration::from_secs(1))).expect("timeout");
    let store = Arc::new(MemoryStore::default());
    store.write("configuration", &configuration(1));
    let listed = serde_json::json!({
        "name": "h2", "addr": socket.local_addr().expect("address"), "data_centre": "dc-a"
    });
    store.write("aspenloft/hosts/h2", &listed);
    let closed = free_addr();
    for number in 0..servers {
        let name = format!("s{number}");
        store.write(&format!("servers/{name}"), &entry(&name, closed, Plain));
    }
    let host = TestHost::start("h1", store);
    host.wait_ready();
    let done = AtomicBool::new(false);
    let mut heard: HashSet<u64> = HashSet::new();
    std::thread::scope(|scope| {
        for caller in 0..8 {
            let (host, done) = (&host, &done);
            scope.spawn(move || {
                for call in 0.. {
                    if done.load(Ordering::SeqCst) {
                        return;
                    }
                    let id = format!("c{caller}-{call}");
                    host.send(&format!(
                        "GET /many/ HTTP/1.1\r\nhost: app.test\r\nid: {id}\r\n\r\n"
                    ));
                }
            });
        }
        let end = Instant::now() + period;
        let mut buf = [0; 65_536];
        while Instant::now() < end && heard.len() < servers {
            let Ok(length) = socket.recv(&mut buf) else { break };
            assert!(length <= MAX_DIGEST_BYTES, "a digest of {length} bytes");
            let mut datagram = BytesMut::from(&buf[..length]);
            let body = frames::split_frame(&mut datagram).expect("a frame").expect("a whole one");
            let digest: Digest = frames::decode(&body).expect("a digest");
            heard.extend(digest.unreachable);
        }
        done.store(true, Ordering::SeqCst);
    });
    assert_eq!(host.ready_status(), "200", "the host still answers");
    heard.len()
}

/// A host looped without end over a digest that was too large without any load.
#[test]
fn a_host_stops_answering_when_many_servers_are_unreachable() {
    for (servers, period) in [(145, 6), (700, 10), (2_000, 20)] {
        let heard = unreachable_heard_of(servers, Duration::from_secs(period));
        assert!(heard >= servers * 9 / 10, "{heard} of {servers} unreachable servers heard of");
    }
}

// A digest was lost with what followed it and could not be decoded.
#[test]
fn a_digest_counts_although_what_follows_it_cannot_be_decoded() {
    let server = Scripted::start(|_, req| sealed(req, "200 OK", "done"));
    let host = TestHost::with_servers(&[entry("s1", server.addr, Plain)]);
    let ahead = ScriptedPeer::start();
    let mut datagram = BytesMut::new();
    frames::encode(&digest("h0", ahead.addr, 1_000_000), &mut datagram).expect("a digest");
    // A list of some four thousand million entries.
    frames::encode(&(1_u8, u32::MAX), &mut datagram).expect("a frame");
    let socket = UdpSocket::bind("127.0.0.1:0").expect("bind");
    socket.send_to(&datagram, host.settings.listen.peers).expect("send");
    wait_for("the view to be requested", || ahead.calls() > 0);
}
