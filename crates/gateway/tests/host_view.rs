//! Tests of a host's view of the deployment: configuration versions, leaving servers,
//! outages of the store and peers; also of the graceful shutdown and the settings.

mod common;

use std::io::Write;
use std::net::{TcpListener, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};

use aspenloft_core::clock::SystemClock;
use aspenloft_core::prelude::SharedClock;
use aspenloft_gateway::body_budget::BodyBudget;
use aspenloft_gateway::configuration::Configuration;
use aspenloft_gateway::peers::PeerCall;
use aspenloft_gateway::roster::ServerEntry;
use aspenloft_gateway::roster::ServerRole::Plain;
use aspenloft_gateway::settings::{Settings, ShutdownSettings};
use aspenloft_gateway::shutdown::WorkKind;
use async_std::task;
use common::peer::fetch_view;
use common::{
    MemoryStore, READ_TIMEOUT, Scripted, TestHost, configuration, digest, entry, header,
    read_message, sealed, status, wait_for,
};

fn get(id: &str) -> String {
    format!("GET /many/ HTTP/1.1\r\nhost: app.test\r\nid: {id}\r\n\r\n")
}

fn good() -> Scripted {
    Scripted::start(|_, req| sealed(req, "200 OK", "done"))
}

/// Returns the configuration `version` without the route /many/.
fn without_many(version: u64) -> Configuration {
    let mut configuration = configuration(version);
    configuration.routes.retain(|r| &*r.name != "many");
    configuration
}

#[test]
fn a_newer_configuration_is_applied_and_an_older_one_is_ignored() {
    let server = good();
    let host = TestHost::with_servers(&[entry("s1", server.addr, Plain)]);
    assert_eq!(status(&host.send(&get("a"))), "200");
    host.store.write("configuration", &without_many(7));
    wait_for("the new version", || status(&host.send(&get("b"))) == "404");
    host.store.write("configuration", &configuration(6));
    std::thread::sleep(Duration::from_millis(200));
    assert_eq!(status(&host.send(&get("c"))), "404");
    host.store.write("configuration", &configuration(8));
    wait_for("the route to be back", || status(&host.send(&get("d"))) == "200");
}

#[test]
fn unreadable_items_are_skipped() {
    let server = good();
    let host = TestHost::with_servers(&[entry("s1", server.addr, Plain)]);
    host.store.write_text("servers/broken", "{\"service\": 7}");
    host.store.write_text("servers/empty", "");
    host.store.write_text("configuration", "no JSON");
    host.store.write_text("somebody/else", "whatever");
    std::thread::sleep(Duration::from_millis(200));
    assert_eq!(status(&host.send(&get("a"))), "200");
}

// Odd entries of another writer kept hosts from following the others.
#[test]
fn thousands_of_odd_entries_keep_no_host_from_following_the_others() {
    let server = good();
    let host = TestHost::with_servers(&[entry("s1", server.addr, Plain)]);
    let deep = "[".repeat(100_000);
    for n in 0..3_000 {
        host.store.write_text(&format!("servers/odd-{n}"), &deep[..n]);
        host.store.write_text(&format!("aspenloft/hosts/odd-{n}"), "{\"name\": 7}");
    }
    host.store.write_text("servers/deep", &deep);
    let renamed = serde_json::json!({"name": "h2", "addr": "10.0.0.1:0", "data_centre": "dc-a"});
    host.store.write("aspenloft/hosts/other", &renamed);
    assert_eq!(status(&host.send(&get("a"))), "200");
    // The entry of a sound server turns odd and back.
    host.store.write_text("servers/s1", "{\"service\": ");
    wait_for("the server to be left out", || status(&host.send(&get("b"))) == "503");
    host.store.write("servers/s1", &entry("s1", server.addr, Plain));
    wait_for("the server to be back", || status(&host.send(&get("c"))) == "200");
    let second = host.start_without_store();
    assert_eq!(status(&second.send(&get("d"))), "200", "by the view of the first host");
    let known = fetch_view(&host, &PeerCall::View).hosts;
    assert!(known.iter().all(|known| ["h1", "h2"].contains(&&*known.name)), "{known:?}");
    assert!(known.iter().all(|known| known.addr.port() != 0), "{known:?}");
}

#[test]
fn a_leaving_server_gets_no_new_work_even_if_its_entry_is_ready_again() {
    let (leaving, staying) = (good(), good());
    let host = TestHost::with_servers(&[
        entry("s1", leaving.addr, Plain),
        entry("s2", staying.addr, Plain),
    ]);
    let leaving_entry = ServerEntry { leaving: true, ..entry("s1", leaving.addr, Plain) };
    host.store.write("servers/s1", &leaving_entry);
    std::thread::sleep(Duration::from_millis(300));
    host.store.write("servers/s1", &entry("s1", leaving.addr, Plain));
    std::thread::sleep(Duration::from_millis(300));
    let before = leaving.count();
    for n in 0..20 {
        assert_eq!(status(&host.send(&get(&format!("a{n}")))), "200");
    }
    assert_eq!(leaving.count(), before);
    let restarted = ServerEntry { born_ms: 2, ..entry("s1", leaving.addr, Plain) };
    host.store.write("servers/s1", &restarted);
    host.store.remove("servers/s2");
    wait_for("the restarted server to be used", || {
        status(&host.send(&get("b"))) == "200" && leaving.count() > before
    });
}

#[test]
fn a_host_serves_while_the_store_is_down_and_then_applies_missed_changes() {
    let server = good();
    let host = TestHost::with_servers(&[entry("s1", server.addr, Plain)]);
    host.store.set_down(true);
    std::thread::sleep(Duration::from_millis(300));
    assert_eq!(status(&host.send(&get("a"))), "200");
    assert_eq!(host.ready_status(), "200");
    host.store.write("configuration", &without_many(9));
    host.store.compact();
    host.store.set_down(false);
    wait_for("the missed version", || status(&host.send(&get("b"))) == "404");
}

#[test]
fn servers_that_the_store_lost_in_an_outage_are_kept_until_the_grace_period_ends() {
    let server = good();
    let host = TestHost::with_servers(&[entry("s1", server.addr, Plain)]);
    // The first two seconds after the first connection count as after an outage too.
    std::thread::sleep(Duration::from_millis(2_200));
    host.store.set_down(true);
    std::thread::sleep(Duration::from_millis(200));
    host.store.remove("servers/s1");
    host.store.set_down(false);
    let back = Instant::now();
    while back.elapsed() < Duration::from_millis(1_000) {
        assert_eq!(status(&host.send(&get("a"))), "200", "after {:?}", back.elapsed());
    }
    wait_for("the server to be removed", || status(&host.send(&get("b"))) == "503");
    assert!(back.elapsed() < Duration::from_millis(3_500), "{:?}", back.elapsed());
}

/// An entry removed while the host is connected to the store was not lost in an outage,
/// however recent the last outage was, so the server must not be kept.
#[test]
fn a_server_that_leaves_soon_after_an_outage_is_removed_at_once() {
    let server = good();
    let host = TestHost::with_servers(&[entry("s1", server.addr, Plain)]);
    std::thread::sleep(Duration::from_millis(2_200));
    host.store.set_down(true);
    std::thread::sleep(Duration::from_millis(300));
    host.store.set_down(false);
    std::thread::sleep(Duration::from_millis(1_600));
    host.store.remove("servers/s1");
    let removed = Instant::now();
    wait_for("the server to be removed", || status(&host.send(&get("a"))) == "503");
    assert!(removed.elapsed() < Duration::from_millis(500), "{:?}", removed.elapsed());
}

#[test]
fn a_stopping_host_starts_only_work_that_can_finish() {
    let settings = ShutdownSettings { grace_s: Duration::from_secs(8) };
    let ms = Duration::from_millis;
    let generation = |at| settings.may_start(WorkKind::Generation, ms(14_000), ms(at));
    assert!(generation(0) && generation(2_000));
    assert!(
        !generation(2_900),
        "a generation that starts later cannot be complete before the process ends"
    );
    let call = |repeatable, limit, at| {
        settings.may_start(WorkKind::Call { repeatable }, ms(limit), ms(at))
    };
    for repeatable in [true, false] {
        assert!(call(repeatable, 1_000, 6_000) && call(repeatable, 14_000, 2_900));
        assert!(!call(repeatable, 14_000, 7_500), "the process ends 100 ms later");
    }
    assert!(call(true, 2_500, 6_000), "its caller may send it again");
    assert!(!call(false, 2_500, 6_000), "it may last until the process has ended");
}

#[test]
fn a_removed_server_is_gone_at_once_while_the_store_is_connected() {
    let server = good();
    let host = TestHost::with_servers(&[entry("s1", server.addr, Plain)]);
    std::thread::sleep(Duration::from_millis(2_200));
    host.store.remove("servers/s1");
    let removed = Instant::now();
    wait_for("the server to be removed", || status(&host.send(&get("a"))) == "503");
    assert!(removed.elapsed() < Duration::from_millis(500), "{:?}", removed.elapsed());
}

#[test]
fn a_host_without_a_configuration_is_not_ready() {
    let host = TestHost::start("h1", Arc::new(MemoryStore::default()));
    wait_for("the host to listen", || host.ready_status() == "503");
    let response = host.send(&get("a"));
    assert_eq!(status(&response), "503");
    assert!(header(&response, "retry-after").is_some());
}

#[test]
fn a_host_without_the_store_fetches_the_view_from_another_host() {
    let server = good();
    let first = TestHost::with_servers(&[entry("s1", server.addr, Plain)]);
    let second = first.start_without_store();
    first.store.write("configuration", &without_many(5));
    wait_for("the version to reach the second host", || status(&second.send(&get("b"))) == "404");
}

/// A host that has just died may have announced the highest revision in its last digest.
/// Other hosts must not wait for it.
#[test]
fn a_host_that_does_not_answer_is_skipped_for_one_that_does() {
    let server = good();
    let first = TestHost::with_servers(&[entry("s1", server.addr, Plain)]);
    let second = first.start_without_store();
    // It accepts connections and never responds.
    let dead = TcpListener::bind("127.0.0.1:0").expect("bind");
    second.receive_digest(&digest("dead", dead.local_addr().expect("address"), 1_000_000));
    std::thread::sleep(Duration::from_millis(50));
    let began = Instant::now();
    first.store.write("configuration", &without_many(5));
    wait_for("the version to reach the second host", || status(&second.send(&get("b"))) == "404");
    assert!(began.elapsed() < Duration::from_millis(2_000), "{:?}", began.elapsed());
}

#[test]
fn a_shutdown_interrupts_nothing_and_notifies_balancer_and_callers() {
    let slow = Scripted::serve(|_, req, stream| {
        std::thread::sleep(Duration::from_millis(600));
        stream.write_all(&sealed(req, "200 OK", "done")).is_ok()
    });
    let host = TestHost::with_servers(&[entry("s1", slow.addr, Plain)]);
    let mut idle = TcpStream::connect(host.callers).expect("connect");
    let mut busy = TcpStream::connect(host.callers).expect("connect");
    busy.write_all(get("a").as_bytes()).expect("send");
    wait_for("the call to arrive", || slow.count() == 1);
    let (shutdown, settings) = (host.shutdown.clone(), host.settings.shutdown.clone());
    let clock: SharedClock = Arc::new(SystemClock);
    let began = clock.now();
    let leaving = std::thread::spawn(move || task::block_on(shutdown.drain(&clock, &settings)));
    wait_for("the readiness probe to fail", || host.ready_status() == "503");
    let response = read_message(&mut busy).expect("answer");
    assert_eq!(status(&response), "200");
    assert_eq!(header(&response, "connection").as_deref(), Some("close"));
    assert_eq!(status(&host.send(&get("b"))), "200", "new callers are still served");
    assert_eq!(leaving.join().expect("stop"), 0, "interrupted requests");
    assert!(began.elapsed() < host.settings.shutdown.grace_s);
    idle.set_read_timeout(Some(READ_TIMEOUT)).expect("timeout");
    assert_eq!(read_message(&mut idle), None, "the idle connection is closed");
}

#[test]
fn settings_errors_name_the_invalid_field() {
    let good = r#"{"host": "h", "data_centre": "d", "memory_mb": 1, "new_field": {},
        "listen": {"callers": "10.0.0.1:1", "readiness": "10.0.0.1:2", "peers": "10.0.0.1:3",
                   "metrics": "10.0.0.1:4"},
        "key_value": "10.0.0.1:5",
        "retries": {"ratio": 0.2, "slack": 50, "window_s": 10},
        "shutdown": {"grace_s": 8}}"#;
    let settings = Settings::from_json(good).expect("settings");
    assert_eq!(settings.shutdown.grace_s, Duration::from_secs(8));
    for (from, to, place) in [
        ("\"10.0.0.1:2\"", "7", "listen.readiness"),
        ("\"slack\": 50", "\"slack\": \"x\"", "retries.slack"),
        ("\"10.0.0.1:5\"", "\"nowhere\"", "key_value"),
        ("\"ratio\": 0.2", "\"ratio\": -0.2", "retries.ratio"),
        ("\"slack\": 50", "\"slack\": 1e300", "retries.slack"),
        ("\"window_s\": 10", "\"window_s\": 0", "retries.window_s"),
        ("\"grace_s\": 8", "\"grace_s\": 1e19", "shutdown.grace_s"),
        ("\"grace_s\": 8", "\"grace_s\": 1e300", "shutdown.grace_s"),
        ("\"memory_mb\": 1", "\"memory_mb\": 0", "memory_mb"),
    ] {
        let error = Settings::from_json(&good.replace(from, to)).expect_err(place);
        assert!(error.message.starts_with(place), "{}", error.message);
    }
}

#[test]
fn bodies_take_at_most_a_quarter_of_the_memory() {
    let bodies = BodyBudget::new(40);
    let mb = 1024 * 1024;
    let first = bodies.reserve(Some(6 * mb)).expect("room");
    assert!(bodies.reserve(Some(5 * mb)).is_none());
    let _second = bodies.reserve(Some(4 * mb)).expect("room");
    assert!(bodies.reserve(None).is_none());
    drop(first);
    assert!(bodies.reserve(None).is_some());
    assert!(bodies.reserve(Some(u64::MAX)).is_none());
}

// A host waited for a late response for seconds before it called the store again.
#[test]
fn a_watch_on_a_silent_connection_is_replaced_before_hosts_count_as_reachable() {
    let (first, second) = (good(), good());
    let first_entry = entry("s1", first.addr, Plain);
    let host = TestHost::with_servers(&[first_entry.clone(), entry("s2", second.addr, Plain)]);
    // The watch returns and begins anew.
    std::thread::sleep(Duration::from_millis(300));
    host.store.write("somebody/else", &0);
    std::thread::sleep(Duration::from_millis(100));
    host.store.silence_open_watches();
    let silent = Instant::now();
    host.store.write("servers/s1", &ServerEntry { leaving: true, ..first_entry });
    // A host counts as reachable 3 s after its connections have gone silent.
    std::thread::sleep(Duration::from_secs(3).saturating_sub(silent.elapsed()));
    let before = first.count();
    for n in 0..20 {
        assert_eq!(status(&host.send(&get(&format!("late-{n}")))), "200");
    }
    assert_eq!(first.count(), before, "requests reach a server that is leaving");
}

// The hosts that watched the store for the others left, and nobody else did until they had ended.
#[test]
fn hosts_do_not_watch_the_store_while_those_that_do_are_leaving() {
    let store = Arc::new(MemoryStore::default());
    store.write("configuration", &configuration(1));
    let start = |name: &str| TestHost::start(name, store.for_another_host());
    let hosts = ["h1", "h2", "h3"].map(start);
    hosts.iter().for_each(TestHost::wait_ready);
    // The third host leaves the watch to the others once it has heard of them.
    std::thread::sleep(Duration::from_secs(3));
    let before = hosts[2].store.snapshots();
    hosts[..2].iter().for_each(|host| drop(host.leave(Duration::from_secs(60))));
    wait_for("the third host to watch the store", || hosts[2].store.snapshots() > before);
}

// A host read the whole store over and over without a pause.
#[test]
fn a_store_that_keeps_no_history_is_not_read_without_a_pause() {
    let host = TestHost::with_servers(&[entry("s1", good().addr, Plain)]);
    host.store.compact_for_good();
    host.store.write("somebody/else", &0);
    std::thread::sleep(Duration::from_millis(300));
    let before = host.store.snapshots();
    std::thread::sleep(Duration::from_secs(2));
    let reads = host.store.snapshots() - before;
    assert!((1..=10).contains(&reads), "{reads} snapshots in 2 s");
}
