//! Tests of views that hosts take from each other: they say what the store said at their
//! revision, in the order of the store, and one unreachable host does not withhold them.

mod common;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use aspenloft_core::prelude::{Era, Host, Name};
use aspenloft_gateway::configuration::Configuration;
use aspenloft_gateway::peers::{Digest, KeptServer, PeerCall, ViewReply, WithheldServer};
use aspenloft_gateway::roster::ServerEntry;
use aspenloft_gateway::roster::ServerRole::{self, Plain};
use aspenloft_transport::frames;
use bytes::{Bytes, BytesMut};
use common::peer::{ScriptedPeer, fetch_view, send_digests};
use common::{
    Scripted, TestHost, configuration, digest, entry, free_addr, sealed, status, wait_for,
};

fn get(id: &str) -> String {
    format!("GET /many/ HTTP/1.1\r\nhost: app.test\r\nid: {id}\r\n\r\n")
}

fn good() -> Scripted {
    Scripted::start(|_, req| sealed(req, "200 OK", "done"))
}

/// How long callers' requests may reach a server after its entry was removed while a host
/// reconnects: the time for which such entries are kept, and the way to the other hosts.
const REMOVAL_LIMIT: Duration = Duration::from_millis(2_900);

// A host handed out servers that it kept for a moment as if the store listed them.
#[test]
fn a_server_that_is_removed_as_a_host_reconnects_is_dropped_by_all_hosts() {
    let server = good();
    let first = TestHost::with_servers(&[entry("s1", server.addr, Plain)]);
    let second = first.start_without_store();
    assert_eq!(status(&second.send(&get("a"))), "200");
    first.store.set_down(true);
    std::thread::sleep(Duration::from_millis(200));
    first.store.remove("servers/s1");
    let removed = Instant::now();
    first.store.set_down(false);
    std::thread::sleep(REMOVAL_LIMIT);
    assert_eq!(status(&first.send(&get("b"))), "503", "after {:?}", removed.elapsed());
    assert_eq!(status(&second.send(&get("c"))), "503", "after {:?}", removed.elapsed());
}

// A host that took over the watch from others counted as one that had lost the store.
#[test]
fn a_server_that_is_removed_while_others_watch_is_dropped_at_once_by_the_next_watcher() {
    let server = good();
    let host = TestHost::with_servers(&[entry("s1", server.addr, Plain)]);
    std::thread::sleep(Duration::from_millis(600));
    let watchers =
        ["a1", "a2"].map(|name| Digest { follows: true, ..digest(name, free_addr(), 0) });
    for seq in 1..=16 {
        for watcher in &watchers {
            host.receive_digest(&Digest { seq, ..watcher.clone() });
        }
        match seq {
            // The host's watch returns, and it leaves the store to the others.
            4 => host.store.write("somebody/else", &0),
            12 => host.store.remove("servers/s1"),
            _ => {}
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    assert_eq!(status(&host.send(&get("a"))), "200", "the host watches nothing");
    let silent = Instant::now();
    wait_for("the server to be removed", || status(&host.send(&get("b"))) == "503");
    assert!(silent.elapsed() < Duration::from_millis(1_500), "{:?}", silent.elapsed());
}

// Hosts relied on others for as long as these waited for a response of the store.
#[test]
fn a_removal_reaches_hosts_whose_watchers_get_no_response() {
    let server = good();
    let first = TestHost::with_servers(&[entry("s1", server.addr, Plain)]);
    let start = |name| TestHost::start(name, first.store.for_another_host());
    let (second, third) = (start("h2"), start("h3"));
    third.wait_ready();
    // The watches return, and the third host leaves the store to the others.
    std::thread::sleep(Duration::from_millis(500));
    first.store.write("somebody/else", &0);
    std::thread::sleep(Duration::from_millis(500));
    first.store.set_silent(true);
    second.store.set_silent(true);
    first.store.remove("servers/s1");
    let removed = Instant::now();
    wait_for("the server to be removed", || status(&third.send(&get("a"))) == "503");
    assert!(removed.elapsed() < REMOVAL_LIMIT, "{:?}", removed.elapsed());
}

// A view that was requested before a change was applied after it.
#[test]
fn a_view_that_arrives_after_a_removal_does_not_list_the_server_again() {
    let server = good();
    let host = TestHost::with_servers(&[entry("s1", server.addr, Plain)]);
    let revision = host.store.revision() + 1;
    let peer = ScriptedPeer::start();
    peer.send_digests(&host, "h2", revision);
    wait_for("the view to be requested", || peer.calls() == 1);
    host.store.remove("servers/s1");
    host.store.write("somebody/else", &0);
    wait_for("the server to be removed", || status(&host.send(&get("a"))) == "503");
    peer.reply(ViewReply {
        revision,
        era: None,
        configuration: Some(configuration(1)),
        hosts: Vec::new(),
        servers: vec![entry("s1", server.addr, Plain)],
        kept: Vec::new(),
        withheld: Vec::new(),
    });
    std::thread::sleep(Duration::from_millis(300));
    assert_eq!(status(&host.send(&get("b"))), "503");
}

// A host whose digests arrive but that cannot be called was asked over and over.
#[test]
fn an_unreachable_host_with_the_newest_view_does_not_hide_the_others() {
    let server = good();
    let first = TestHost::with_servers(&[entry("s1", server.addr, Plain)]);
    let second = first.start_without_store();
    send_digests(free_addr(), &second, "cut-off", 1_000_000);
    std::thread::sleep(Duration::from_millis(200));
    first.store.remove("servers/s1");
    let removed = Instant::now();
    wait_for("the removal to reach the second host", || status(&second.send(&get("a"))) == "503");
    assert!(removed.elapsed() < Duration::from_millis(2_000), "{:?}", removed.elapsed());
}

// Hosts that learn from others added hosts and never removed one.
#[test]
fn a_host_that_is_gone_is_forgotten_by_hosts_that_read_views() {
    let first = TestHost::with_servers(&[entry("s1", free_addr(), Plain)]);
    let second = first.start_without_store();
    let gone = Host { name: "gone".into(), ..digest("gone", free_addr(), 0).host };
    let knows = |host: &TestHost| fetch_view(host, &()).hosts.contains(&gone);
    first.store.write("aspenloft/hosts/gone", &gone);
    wait_for("the host to be known", || knows(&first) && knows(&second));
    first.store.remove("aspenloft/hosts/gone");
    wait_for("the host to be forgotten", || !knows(&first) && !knows(&second));
}

// Every change of a server sent the whole configuration to every host, over slow links.
#[test]
fn a_view_leaves_out_the_configuration_that_the_receiver_has() {
    let host = TestHost::with_servers(&[entry("s1", free_addr(), Plain)]);
    let reply = fetch_view(&host, &PeerCall::ViewSince(1));
    assert_eq!((reply.servers.len(), reply.configuration), (1, None));
    let sent = |req| fetch_view(&host, &req).configuration.map(|c| c.version);
    assert_eq!(sent(PeerCall::ViewSince(0)), Some(1));
    assert_eq!(sent(PeerCall::View), Some(1));
    // The calls of hosts of the previous builds.
    for (version, expected) in [(None, Some(1)), (Some(0), Some(1)), (Some(1), None)] {
        let reply = fetch_view(&host, &PreviousRequest { configuration: version });
        assert_eq!(reply.configuration.map(|c| c.version), expected, "{version:?}");
    }
    let reply = fetch_view(&host, &());
    assert!(reply.configuration.is_some(), "a host of the previous build asks for everything");
}

/// The call of the previous build.
#[derive(serde::Serialize)]
struct PreviousRequest {
    configuration: Option<u64>,
}

/// The reply of the previous build, field by field.
#[derive(serde::Serialize, serde::Deserialize)]
struct PreviousReply {
    revision: u64,
    configuration: Option<Configuration>,
    hosts: Vec<Host>,
    servers: Vec<PreviousEntry>,
    kept: Vec<(PreviousEntry, u64)>,
}

/// The reply of the build before that, which had no kept servers.
#[derive(serde::Serialize)]
struct ReplyWithoutKept {
    revision: u64,
    configuration: Option<Configuration>,
    hosts: Vec<Host>,
    servers: Vec<PreviousEntry>,
}

/// An entry without a version.
#[derive(Debug, Clone, PartialEq, serde::Serialize, serde::Deserialize)]
struct PreviousEntry {
    instance: Name,
    born_ms: u64,
    service: Name,
    addr: SocketAddr,
    data_centre: Name,
    slots: usize,
    role: ServerRole,
    leaving: bool,
}

fn previous_entry(entry: ServerEntry) -> PreviousEntry {
    let ServerEntry { instance, born_ms, service, addr, data_centre, .. } = entry;
    let ServerEntry { slots, role, leaving, .. } = entry;
    PreviousEntry { instance, born_ms, service, addr, data_centre, slots, role, leaving }
}

#[test]
fn replies_are_decoded_across_builds() {
    let server = entry("s1", free_addr(), Plain);
    let kept = KeptServer { entry: server.clone(), remaining: Duration::from_millis(900) };
    let (configuration, hosts) = (Some(configuration(1)), Vec::new());
    let reply = ViewReply {
        revision: 7,
        era: Some(Era(3)),
        configuration: configuration.clone(),
        hosts: hosts.clone(),
        servers: vec![server.clone()],
        kept: vec![kept.clone()],
        withheld: vec![WithheldServer {
            instance: "s1".into(),
            remaining: Duration::from_millis(700),
        }],
    };
    let mut buf = BytesMut::new();
    reply.clone().encode(&mut buf).expect("a frame");
    let encoded = frames::split_frame(&mut buf).expect("a frame").expect("a whole frame");
    assert_eq!(ViewReply::decode(&encoded).expect("a reply"), reply);
    let read: PreviousReply =
        frames::decode(&encoded).expect("a reply that the previous build reads");
    let previous = previous_entry(server.clone());
    assert_eq!(
        (&read.servers, &read.kept),
        (&vec![previous.clone()], &vec![(previous.clone(), 900)])
    );
    // Entries of previous builds have no version.
    let unversioned = ServerEntry { version: "".into(), ..server };
    let unversioned_kept = KeptServer { entry: unversioned.clone(), ..kept };
    let expected = ViewReply {
        era: None,
        servers: vec![unversioned],
        kept: vec![unversioned_kept],
        withheld: Vec::new(),
        ..reply
    };
    assert_eq!(ViewReply::decode(&body(&read)).expect("a reply"), expected);
    let servers = vec![previous];
    let oldest = ReplyWithoutKept { revision: 7, configuration, hosts, servers };
    let decoded = ViewReply::decode(&body(&oldest)).expect("a reply");
    assert_eq!(decoded, ViewReply { kept: Vec::new(), ..expected });
    assert!(ViewReply::decode(&encoded[..20]).is_err());
}

fn body(message: &impl serde::Serialize) -> Bytes {
    let mut buf = BytesMut::new();
    frames::encode(message, &mut buf).expect("a frame");
    frames::split_frame(&mut buf).expect("a frame").expect("a whole frame")
}

// Every write of the router's own keys had all hosts fetch the view of the one that saw it.
#[test]
fn a_change_that_no_view_holds_does_not_put_a_host_ahead() {
    let host = TestHost::with_servers(&[entry("s1", free_addr(), Plain)]);
    std::thread::sleep(Duration::from_millis(200));
    let before = fetch_view(&host, &PeerCall::ViewSince(1)).revision;
    host.store.write("aspenloft/orders/holder", &0);
    std::thread::sleep(Duration::from_millis(200));
    assert_eq!(fetch_view(&host, &PeerCall::ViewSince(1)).revision, before);
    host.store.remove("servers/s1");
    wait_for("the removal to be told", || {
        let view = fetch_view(&host, &PeerCall::ViewSince(1));
        view.servers.is_empty() && view.revision == host.store.revision()
    });
}
