//! Tests that a stream only goes on at the version of the engines' software that began it,
//! within a response and when a caller takes it up again at any host.

mod common;

use std::io::Write;
use std::net::UdpSocket;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime};

use aspenloft_gateway::peers::{CALLS_VERSION, Digest, DigestSupplement, PeerCall};
use aspenloft_gateway::roster::ServerEntry;
use aspenloft_gateway::roster::ServerRole::Prefill;
use aspenloft_policy::stream_versions::{VersionTag, stream_key};
use aspenloft_transport::frames;
use aspenloft_transport::mesh::{self, FrameHandler, PeerLink};
use async_std::channel::Sender;
use async_std::net::TcpListener;
use async_std::task;
use async_trait::async_trait;
use bytes::{Bytes, BytesMut};
use common::peer::ScriptedPeer;
use common::streams::{
    EVENTS, WRITE_TIME, after, at_version, engine, event, read_events, request, restart_all,
    start_hosts, stream_head, take_up, versions,
};
use common::{
    MemoryStore, Scripted, TestHost, configuration, digest, entry, header, not_run, sealed, status,
    wait_for,
};

/// An engine at `version` that breaks off each stream that it begins after two events.
fn breaking_engine(version: &'static str) -> Scripted {
    Scripted::serve(move |_, req, stream| {
        let last = if after(req) == 0 { 2 } else { EVENTS };
        let events: String = (after(req) + 1..=last).map(|n| event(n, version)).collect();
        let end = if last == EVENTS { "0\r\n\r\n" } else { "" };
        let _ = write!(stream, "{}{events}{end}", stream_head(req));
        // The events reach the host before the connection breaks.
        std::thread::sleep(Duration::from_millis(50));
        last == EVENTS
    })
}

/// The stream went on at any engine with room, whatever its version.
#[test]
fn a_broken_stream_goes_on_at_another_version() {
    let (first, newer, same) = (breaking_engine("v1"), engine("v2"), engine("v1"));
    let remote = |server: ServerEntry| ServerEntry { data_centre: "dc-b".into(), ..server };
    // The engines differ in preference, so that the stream begins at the first one.
    let servers = [
        at_version("d1", &first, "v1"),
        ServerEntry { slots: 1, ..remote(at_version("d2", &newer, "v2")) },
    ];
    let (store, hosts) = start_hosts(&["h1"], &servers);
    let response = hosts[0].send(&request("a"));
    assert!(versions(&response).len() <= 1, "{response}");
    assert!(!response.ends_with("0\r\n\r\n"), "no engine at v1 is left: {response}");
    store.write("servers/d3", &remote(at_version("d3", &same, "v1")));
    std::thread::sleep(Duration::from_millis(200));
    let mut whole = 0;
    for number in 0..4 {
        let response = hosts[0].send(&request(&format!("b{number}")));
        assert!(versions(&response).len() <= 1, "{response}");
        whole += usize::from(response.ends_with("0\r\n\r\n"));
    }
    assert_eq!(whole, 4, "streams go on at v1 while an engine at v1 has room");
}

/// Starts hosts with these names and an engine at v1, begins streams through the first of
/// them, and then adds an engine at v2, which all hosts prefer.
fn begin_before_a_release(
    names: &[&str],
    old: &Scripted,
    new: &Scripted,
) -> (Arc<MemoryStore>, Vec<TestHost>) {
    let (store, hosts) = start_hosts(names, &[at_version("d1", old, "v1")]);
    for number in 0..BEGUN {
        let begun = read_events(&hosts[0], &request(&format!("a{number}")), 2);
        assert_eq!(versions(&begun), ["v1"]);
    }
    let remote = ServerEntry { data_centre: "dc-b".into(), ..at_version("d1", old, "v1") };
    store.write("servers/d1", &remote);
    store.write("servers/d2", &at_version("d2", new, "v2"));
    std::thread::sleep(Duration::from_millis(300));
    (store, hosts)
}

/// The number of streams that [`begin_before_a_release`] begins.
const BEGUN: usize = 6;

/// A stream that a caller took up was placed like a new one.
#[test]
fn a_stream_that_is_taken_up_goes_on_at_another_version() {
    let (old, new) = (engine("v1"), engine("v2"));
    let (store, hosts) = begin_before_a_release(&["h1", "h2", "h3"], &old, &new);
    assert_eq!(versions(&hosts[1].send(&request("n"))), ["v2"], "new streams prefer v2");
    for number in 0..BEGUN {
        let req = take_up(&format!("b{number}"), &format!("a{number}"), 2);
        let response = hosts[number % 3].send(&req);
        assert_eq!((status(&response).as_str(), versions(&response)), ("200", vec!["v1".into()]));
    }
    // Taken up again, by the first attempt's id, after the second attempt broke off.
    let response = hosts[2].send(&take_up("c", "a1", 4));
    assert_eq!(versions(&response), ["v1"], "{response}");
    // No engine of the version is left: the request is refused at once.
    store.remove("servers/d1");
    std::thread::sleep(Duration::from_millis(200));
    let began = Instant::now();
    let response = hosts[0].send(&take_up("d", "a0", 2));
    assert_eq!(status(&response), "503", "{response}");
    assert_eq!(header(&response, "retry-after"), None, "{response}");
    assert!(began.elapsed() < Duration::from_millis(400), "{:?}", began.elapsed());
}

/// Only the host that began a stream knew the version, and it may be gone.
#[test]
fn a_host_that_has_just_started_takes_up_a_stream_at_any_version() {
    let (old, new) = (engine("v1"), engine("v2"));
    let (store, _hosts) = begin_before_a_release(&["h1", "h2"], &old, &new);
    let late = TestHost::start("h3", store.for_another_host());
    late.wait_ready();
    wait_for("the new host to hear of the others", || {
        let response = late.send(&take_up("probe", "a0", 2));
        assert!(versions(&response).iter().all(|version| version == "v1"), "{response}");
        status(&response) == "200"
    });
    for number in 0..BEGUN {
        let response = late.send(&take_up(&format!("b{number}"), &format!("a{number}"), 2));
        assert_eq!((status(&response).as_str(), versions(&response)), ("200", vec!["v1".into()]));
    }
    let response = late.send(&take_up("c", "never-begun", 2));
    assert_eq!(status(&response), "503", "{response}");
}

/// The id of the second attempt drew another service than that of the first.
#[test]
fn a_stream_that_is_taken_up_goes_to_another_service_of_its_route() {
    let (first, second) = (engine("v1"), engine("v1"));
    let store = Arc::new(MemoryStore::default());
    let mut split = configuration(1);
    split.services.insert("model-2".into(), split.services["model"].clone());
    for route in &mut split.routes {
        if &*route.name == "resume" {
            route.services = vec![("model".into(), 1), ("model-2".into(), 1)];
        }
    }
    store.write("configuration", &split);
    store.write("servers/d1", &at_version("d1", &first, "v1"));
    let other = ServerEntry { service: "model-2".into(), ..at_version("d2", &second, "v1") };
    store.write("servers/d2", &other);
    let host = TestHost::start("h1", store);
    host.wait_ready();
    for number in 0..10 {
        let id = format!("a{number}");
        let before = first.count();
        read_events(&host, &request(&id), 2);
        let at_first = first.count() > before;
        let before = first.count();
        let response = host.send(&take_up(&format!("b{number}"), &id, 2));
        assert_eq!(status(&response), "200", "{response}");
        assert_eq!(first.count() > before, at_first, "{id} changed its service");
    }
}

/// The KV cache that an engine of one version wrote was read by one of another version.
#[test]
fn a_prompt_is_read_at_one_version_and_continued_at_another() {
    let (prefill, decode) = (Scripted::start(|_, req| sealed(req, "200 OK", "kv")), engine("v2"));
    let prefill_entry = entry("p1", prefill.addr, Prefill);
    let servers = [prefill_entry.clone(), at_version("d1", &decode, "v2")];
    let (store, hosts) = start_hosts(&["h1"], &servers);
    assert_eq!(versions(&hosts[0].send(&request("a"))), ["v2"]);
    assert_eq!(prefill.count(), 0, "an engine at v1 reads no prompt for one at v2");
    store.write("servers/p1", &ServerEntry { version: "v2".into(), born_ms: 2, ..prefill_entry });
    std::thread::sleep(Duration::from_millis(200));
    assert_eq!(versions(&hosts[0].send(&request("b"))), ["v2"]);
    assert_eq!(prefill.count(), 1);
    let seen = decode.seen.lock();
    let memory: Vec<Option<String>> = seen.iter().map(|req| header(req, "memory")).collect();
    assert_eq!(memory, [None, Some("kv".to_string())]);
}

/// After a refusal the KV cache went to an engine of another version.
#[test]
fn a_kv_cache_goes_to_an_engine_of_another_version_after_a_refusal() {
    let prefill = Scripted::start(|_, req| sealed(req, "200 OK", "kv"));
    let (full, newer) = (Scripted::start(|_, req| not_run(req)), engine("v2"));
    // The engine in another data centre is less preferred.
    let remote = |server: ServerEntry| ServerEntry { data_centre: "dc-b".into(), ..server };
    let servers = [
        entry("p1", prefill.addr, Prefill),
        at_version("d1", &full, "v1"),
        remote(at_version("d2", &newer, "v2")),
    ];
    let (_, hosts) = start_hosts(&["h1"], &servers);
    for number in 0..6 {
        assert_eq!(status(&hosts[0].send(&request(&format!("a{number}")))), "200");
    }
    let with_memory = |server: &Scripted| {
        server.seen.lock().iter().filter(|r| header(r, "memory").is_some()).count()
    };
    assert!(full.count() > 0);
    assert_eq!(with_memory(&newer), 0, "v2 got memory of v1");
}

/// After all hosts had restarted, no stream was taken up though there was a single version.
#[test]
fn a_stream_of_which_no_host_knows_is_refused_at_a_single_version() {
    let only = engine("v1");
    let now_ms = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).expect("a time");
    let born_ms = u64::try_from(now_ms.as_millis()).expect("milliseconds");
    let settled = at_version("d1", &only, "v1");
    let (store, hosts) = start_hosts(&["h1"], &[ServerEntry { born_ms, ..settled.clone() }]);
    let response = hosts[0].send(&take_up("a", "unknown", 2));
    assert_eq!(status(&response), "503", "another version may just have left: {response}");
    store.write("servers/d1", &settled);
    std::thread::sleep(Duration::from_millis(200));
    let response = hosts[0].send(&take_up("b", "unknown", 2));
    assert_eq!((status(&response).as_str(), versions(&response)), ("200", vec!["v1".into()]));
    store.write("servers/d2", &at_version("d2", &only, "v2"));
    std::thread::sleep(Duration::from_millis(200));
    assert_eq!(status(&hosts[0].send(&take_up("c", "other", 2))), "503");
}

// A host that had been paused took up streams by what it knew before the pause.
#[test]
fn a_host_that_is_behind_others_does_not_rely_on_a_single_version() {
    let only = engine("v1");
    let (_store, hosts) = start_hosts(&["h1"], &[at_version("d1", &only, "v1")]);
    let response = hosts[0].send(&take_up("a", "unknown", 2));
    assert_eq!(versions(&response), ["v1"]);
    // This host is ahead, and its view cannot be had.
    let ahead = ScriptedPeer::start();
    ahead.send_digests(&hosts[0], "h0", 1_000_000);
    std::thread::sleep(Duration::from_millis(300));
    let response = hosts[0].send(&take_up("b", "other", 2));
    assert_eq!(status(&response), "503", "{response}");
}

// After all hosts had restarted, streams were refused though engines of their version served.
#[test]
fn streams_are_taken_up_after_all_hosts_have_restarted_among_several_versions() {
    let (old, new) = (engine("v1"), engine("v2"));
    let (store, _hosts) = begin_before_a_release(&["h1", "h2"], &old, &new);
    std::thread::sleep(WRITE_TIME);
    let (_store, hosts) = restart_all(&store, &["n1", "n2", "n3"]);
    for number in 0..BEGUN {
        let req = take_up(&format!("b{number}"), &format!("a{number}"), 2);
        let response = hosts[number % 3].send(&req);
        assert_eq!((status(&response).as_str(), versions(&response)), ("200", vec!["v1".into()]));
    }
    let response = hosts[0].send(&take_up("c", "never-begun", 2));
    assert_eq!(status(&response), "503", "{response}");
}

// A service whose other version had just left passed for one that had never had another.
#[test]
fn a_stream_is_not_joined_when_all_hosts_restart_after_its_version_has_left() {
    let (old, new) = (engine("v1"), engine("v2"));
    let (store, _hosts) = begin_before_a_release(&["h1", "h2"], &old, &new);
    std::thread::sleep(WRITE_TIME);
    store.remove("servers/d1");
    std::thread::sleep(Duration::from_millis(200));
    let (store, hosts) = restart_all(&store, &["n1", "n2"]);
    for first in ["a0", "a1", "never-begun"] {
        let response = hosts[0].send(&take_up(&format!("b-{first}"), first, 2));
        assert_eq!(status(&response), "503", "{response}");
    }
    wait_for("the mark of several versions to end", || {
        store.value("aspenloft/streams/mixed/model").is_none()
    });
    let response = hosts[0].send(&take_up("c", "of a single version", 2));
    assert_eq!(versions(&response), ["v2"], "{response}");
}

// A host relied on the missing mark of a service of which it had seen another version itself.
#[test]
fn a_stream_is_not_joined_before_its_service_has_been_marked() {
    let (old, new) = (engine("v1"), engine("v2"));
    let (store, hosts) = start_hosts(&["h1"], &[at_version("d1", &old, "v1")]);
    store.write("servers/d2", &at_version("d2", &new, "v2"));
    store.remove("servers/d1");
    std::thread::sleep(Duration::from_millis(60));
    let response = hosts[0].send(&take_up("a", "unknown", 2));
    assert_eq!(status(&response), "503", "{response}");
}

// After one failed write, the host expected its segments not to exist and wrote none any more.
#[test]
fn streams_are_written_down_after_the_store_was_away() {
    let (old, new) = (engine("v1"), engine("v2"));
    let (store, hosts) = begin_before_a_release(&["h1"], &old, &new);
    std::thread::sleep(WRITE_TIME);
    store.set_down(true);
    read_events(&hosts[0], &request("meanwhile"), 2);
    std::thread::sleep(WRITE_TIME);
    store.set_down(false);
    std::thread::sleep(WRITE_TIME);
    let begun = read_events(&hosts[0], &request("late"), 2);
    assert_eq!(versions(&begun), ["v2"]);
    std::thread::sleep(WRITE_TIME);
    let (_store, hosts) = restart_all(&store, &["n1"]);
    let response = hosts[0].send(&take_up("b", "late", 2));
    assert_eq!((status(&response).as_str(), versions(&response)), ("200", vec!["v2".into()]));
}

// The mark of a service that only entries of another writer name could not be written, and
// nothing else was.
#[test]
fn streams_are_not_written_down_beside_entries_with_a_long_service_name() {
    let (old, new) = (engine("v1"), engine("v2"));
    let (store, hosts) = begin_before_a_release(&["h1"], &old, &new);
    for version in ["v1", "v2"] {
        let odd =
            ServerEntry { service: "s".repeat(190).into(), ..at_version(version, &old, version) };
        store.write(&format!("servers/odd-{version}"), &odd);
    }
    std::thread::sleep(WRITE_TIME);
    let begun = read_events(&hosts[0], &request("late"), 2);
    assert_eq!(versions(&begun), ["v2"]);
    std::thread::sleep(WRITE_TIME);
    let (_store, hosts) = restart_all(&store, &["n1"]);
    let response = hosts[0].send(&take_up("b", "late", 2));
    assert_eq!((status(&response).as_str(), versions(&response)), ("200", vec!["v2".into()]));
}

/// Asks `host`, as other hosts do, at which version the stream `first` of the model began.
fn ask_version(host: &TestHost, first: &str) -> Option<VersionTag> {
    let call = PeerCall::StreamVersion("model".into(), stream_key("model", first));
    let mut buf = BytesMut::new();
    frames::encode(&call, &mut buf).expect("a call");
    let link = PeerLink::new(host.settings.listen.peers, Arc::default());
    let body = task::block_on(link.ask(buf.freeze())).ok()?;
    frames::decode(&body).expect("a reply")
}

// Each of the hosts heard the other, so both counted as up to date.
#[test]
fn hosts_that_are_cut_off_together_take_up_streams_of_another_version() {
    let (old, new) = (engine("v1"), engine("v2"));
    let (store, hosts) = start_hosts(&["h1", "h2"], &[at_version("d1", &old, "v1")]);
    hosts.iter().for_each(|host| host.store.set_silent(true));
    store.write("servers/d2", &at_version("d2", &new, "v2"));
    for wait_ms in [0, 1_000, 2_000] {
        std::thread::sleep(Duration::from_millis(wait_ms));
        for (index, host) in hosts.iter().enumerate() {
            let response = host.send(&take_up(&format!("b{wait_ms}-{index}"), "begun at v2", 2));
            assert_eq!(status(&response), "503", "after {wait_ms} ms more: {response}");
            assert!(header(&response, "retry-after").is_some(), "{response}");
            assert_eq!(ask_version(host, "begun at v2"), None);
        }
    }
    hosts.iter().for_each(|host| host.store.set_silent(false));
    let response = hosts[0].send(&take_up("c", "begun at v2", 2));
    assert_eq!((status(&response).as_str(), old.count()), ("503", 0), "{response}");
}

// The last response of the store was recent, and the new engine had joined since.
#[test]
fn a_host_that_has_just_lost_the_store_takes_up_a_stream_of_another_version() {
    let (old, new) = (engine("v1"), engine("v2"));
    let (store, hosts) = start_hosts(&["h1"], &[at_version("d1", &old, "v1")]);
    hosts[0].store.set_silent(true);
    store.write("servers/d2", &at_version("d2", &new, "v2"));
    let response = hosts[0].send(&take_up("b", "begun at v2", 2));
    assert_eq!((status(&response).as_str(), old.count()), ("503", 0), "{response}");
    store.set_down(true);
    let response = hosts[0].send(&take_up("c", "begun at v2", 2));
    assert_eq!((status(&response).as_str(), old.count()), ("503", 0), "{response}");
}

// The host had never seen the other version, which came and left while it was out of touch.
#[test]
fn a_stream_is_joined_whose_version_left_before_the_host_was_back_in_touch() {
    let (old, new) = (engine("v1"), engine("v2"));
    let (store, hosts) = start_hosts(&["h1"], &[at_version("d1", &old, "v1")]);
    let response = hosts[0].send(&take_up("a", "begun at v1", 2));
    assert_eq!(versions(&response), ["v1"], "in touch, and there is no other version");
    hosts[0].store.set_silent(true);
    store.write("servers/d2", &at_version("d2", &new, "v2"));
    store.write("aspenloft/streams/mixed/model", &serde_json::json!({}));
    store.remove("servers/d2");
    hosts[0].store.set_silent(false);
    let response = hosts[0].send(&take_up("b", "begun at v2", 2));
    assert_eq!(status(&response), "503", "{response}");
}

// A host that is in touch but knows no stream yet must not refuse the streams of a service that
// has always had a single version.
#[test]
fn streams_of_a_single_version_are_refused_by_hosts_in_touch() {
    let only = engine("v1");
    let (_store, hosts) = start_hosts(&["h1", "h2"], &[at_version("d1", &only, "v1")]);
    for (index, host) in hosts.iter().enumerate() {
        let response = host.send(&take_up(&format!("b{index}"), "unknown", 2));
        assert_eq!(versions(&response), ["v1"], "{response}");
        assert!(ask_version(host, "unknown").is_some());
    }
}

/// A host that answers each question for the version of a stream with `version` after `delay`.
struct Answering {
    version: &'static str,
    delay: Duration,
}

#[async_trait]
impl FrameHandler for Answering {
    async fn handle(&self, _body: Bytes, tx: Sender<Bytes>) {
        task::sleep(self.delay).await;
        let mut buf = BytesMut::new();
        frames::encode(&Some(VersionTag::of(self.version)), &mut buf).expect("a reply");
        let _ = tx.try_send(buf.freeze());
    }
}

/// Has `host` hear of another one that started at `born_ms` and answers as `handler`.
fn introduce(host: &TestHost, born_ms: u64, handler: Answering) {
    let listener = task::block_on(TcpListener::bind("127.0.0.1:0")).expect("bind");
    let addr = listener.local_addr().expect("address");
    task::spawn(mesh::serve(listener, Arc::new(handler)));
    let digest = Digest { born_ms, ..digest(&format!("x{born_ms}"), addr, 0) };
    let supplement = DigestSupplement { calls: CALLS_VERSION, ..Default::default() };
    let mut buf = BytesMut::new();
    frames::encode(&digest, &mut buf).expect("a digest");
    frames::encode(&supplement, &mut buf).expect("a supplement");
    let socket = UdpSocket::bind("127.0.0.1:0").expect("bind");
    socket.send_to(&buf, host.settings.listen.peers).expect("send");
}

// The answer of a host that had just started came before that of one with a record.
#[test]
fn a_stream_is_taken_up_at_the_version_that_the_newest_host_names() {
    let (old, new) = (engine("v1"), engine("v2"));
    let servers = [at_version("d1", &old, "v1"), at_version("d2", &new, "v2")];
    let (_store, hosts) = start_hosts(&["h1"], &servers);
    introduce(&hosts[0], 2, Answering { version: "v1", delay: Duration::ZERO });
    introduce(&hosts[0], 1, Answering { version: "v2", delay: Duration::from_millis(40) });
    std::thread::sleep(Duration::from_millis(100));
    let response = hosts[0].send(&take_up("b", "begun-at-v2", 2));
    assert_eq!((status(&response).as_str(), versions(&response)), ("200", vec!["v2".into()]));
}

// The host relied on the store, where the mark was missing, before it asked one that knew.
#[test]
fn a_host_that_has_just_started_takes_the_version_that_is_left_for_the_only_one() {
    let old = engine("v1");
    let (_store, hosts) = start_hosts(&["h1"], &[at_version("d1", &old, "v1")]);
    introduce(&hosts[0], 1, Answering { version: "v2", delay: Duration::from_millis(100) });
    std::thread::sleep(Duration::from_millis(100));
    let response = hosts[0].send(&take_up("b", "begun-at-v2", 2));
    assert_eq!(status(&response), "503", "{response}");
}
