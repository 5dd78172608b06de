//! What a host believes: versions that never go back, servers that leave, outages of
//! the store, peers, the graceful stop.

mod common;

use std::io::Write;
use std::net::{TcpListener, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};

use aspenloft_core::clock::SystemClock;
use aspenloft_core::prelude::SharedClock;
use aspenloft_gateway::bodies::Bodies;
use aspenloft_gateway::configuration::Configuration;
use aspenloft_gateway::roster::ServerEntry;
use aspenloft_gateway::roster::ServerRole::Plain;
use aspenloft_gateway::settings::{Settings, ShutdownSettings};
use aspenloft_gateway::shutdown::WorkKind;
use async_std::task;
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

/// The configuration `version` in which /many/ is gone.
fn without_many(version: u64) -> Configuration {
    let mut configuration = configuration(version);
    configuration.routes.retain(|r| &*r.name != "many");
    configuration
}

#[test]
fn a_newer_version_comes_into_force_and_an_older_one_never_again() {
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
fn what_cannot_be_read_costs_only_itself() {
    let server = good();
    let host = TestHost::with_servers(&[entry("s1", server.addr, Plain)]);
    host.store.write_text("servers/broken", "{\"service\": 7}");
    host.store.write_text("servers/empty", "");
    host.store.write_text("configuration", "no JSON");
    host.store.write_text("somebody/else", "whatever");
    std::thread::sleep(Duration::from_millis(200));
    assert_eq!(status(&host.send(&get("a"))), "200");
}

#[test]
fn a_leaving_server_gets_nothing_new_even_when_its_entry_says_ready_again() {
    let (leaving, staying) = (good(), good());
    let host = TestHost::with_servers(&[
        entry("s1", leaving.addr, Plain),
        entry("s2", staying.addr, Plain),
    ]);
    let gone = ServerEntry { leaving: true, ..entry("s1", leaving.addr, Plain) };
    host.store.write("servers/s1", &gone);
    std::thread::sleep(Duration::from_millis(300));
    host.store.write("servers/s1", &entry("s1", leaving.addr, Plain));
    std::thread::sleep(Duration::from_millis(300));
    let before = leaving.count();
    for n in 0..20 {
        assert_eq!(status(&host.send(&get(&format!("a{n}")))), "200");
    }
    assert_eq!(leaving.count(), before);
    let next_life = ServerEntry { born_ms: 2, ..entry("s1", leaving.addr, Plain) };
    host.store.write("servers/s1", &next_life);
    host.store.remove("servers/s2");
    wait_for("the next life to be used", || {
        status(&host.send(&get("b"))) == "200" && leaving.count() > before
    });
}

#[test]
fn a_host_goes_on_while_the_store_is_down_and_learns_what_it_missed() {
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
fn servers_that_the_store_lost_in_an_outage_are_kept_until_they_had_time_to_return() {
    let server = good();
    let host = TestHost::with_servers(&[entry("s1", server.addr, Plain)]);
    // The first two seconds after the first contact count as after an outage too.
    std::thread::sleep(Duration::from_millis(2_200));
    host.store.set_down(true);
    std::thread::sleep(Duration::from_millis(200));
    host.store.remove("servers/s1");
    host.store.set_down(false);
    let back = Instant::now();
    while back.elapsed() < Duration::from_millis(1_000) {
        assert_eq!(status(&host.send(&get("a"))), "200", "after {:?}", back.elapsed());
    }
    wait_for("the server to be given up", || status(&host.send(&get("b"))) == "503");
    assert!(back.elapsed() < Duration::from_millis(3_500), "{:?}", back.elapsed());
}

/// What is removed while the host hears from the store has not been lost in an
/// outage, however short ago that was.
#[test]
fn a_server_that_leaves_soon_after_an_outage_is_gone_at_once() {
    let server = good();
    let host = TestHost::with_servers(&[entry("s1", server.addr, Plain)]);
    std::thread::sleep(Duration::from_millis(2_200));
    host.store.set_down(true);
    std::thread::sleep(Duration::from_millis(300));
    host.store.set_down(false);
    std::thread::sleep(Duration::from_millis(1_600));
    host.store.remove("servers/s1");
    let removed = Instant::now();
    wait_for("the server to be gone", || status(&host.send(&get("a"))) == "503");
    assert!(removed.elapsed() < Duration::from_millis(500), "{:?}", removed.elapsed());
}

#[test]
fn a_stopping_host_starts_only_what_there_is_time_for() {
    let settings = ShutdownSettings { grace_s: Duration::from_secs(8) };
    let starts = |work, ms| settings.may_start(work, Duration::from_millis(ms));
    assert!(starts(WorkKind::Answer, 0) && starts(WorkKind::Answer, 2_000));
    assert!(!starts(WorkKind::Answer, 2_900), "what starts later must be whole at the end");
    assert!(starts(WorkKind::Call, 6_000));
    assert!(!starts(WorkKind::Call, 7_500), "the process ends 100 ms later");
}

#[test]
fn a_removed_server_is_gone_at_once_when_the_store_is_well() {
    let server = good();
    let host = TestHost::with_servers(&[entry("s1", server.addr, Plain)]);
    std::thread::sleep(Duration::from_millis(2_200));
    host.store.remove("servers/s1");
    let removed = Instant::now();
    wait_for("the server to be gone", || status(&host.send(&get("a"))) == "503");
    assert!(removed.elapsed() < Duration::from_millis(500), "{:?}", removed.elapsed());
}

#[test]
fn a_host_that_knows_no_configuration_says_so_and_is_not_ready() {
    let host = TestHost::start("h1", Arc::new(MemoryStore::default()));
    wait_for("the host to listen", || host.ready_status() == "503");
    let answer = host.send(&get("a"));
    assert_eq!(status(&answer), "503");
    assert!(header(&answer, "retry-after").is_some());
}

/// Starts a second host, which has heard of `first` once before the store turned it
/// away, and has it serve.
fn turned_away_beside(first: &TestHost) -> TestHost {
    let away = Arc::new(MemoryStore::default());
    let known = serde_json::json!({
        "name": "h1", "addr": first.settings.listen.peers, "data_centre": "dc-a"
    });
    away.write("aspenloft/hosts/h1", &known);
    let second = TestHost::start("h2", away.clone());
    std::thread::sleep(Duration::from_millis(200));
    away.set_down(true);
    second.wait_ready();
    assert_eq!(status(&second.send(&get("a"))), "200");
    second
}

#[test]
fn a_host_that_the_store_turns_away_learns_from_another_one() {
    let server = good();
    let first = TestHost::with_servers(&[entry("s1", server.addr, Plain)]);
    let second = turned_away_beside(&first);
    first.store.write("configuration", &without_many(5));
    wait_for("the version to reach the second host", || status(&second.send(&get("b"))) == "404");
}

/// A host that has just died was the furthest, and its last digest says so.
#[test]
fn a_host_that_does_not_answer_is_passed_over_for_one_that_does() {
    let server = good();
    let first = TestHost::with_servers(&[entry("s1", server.addr, Plain)]);
    let second = turned_away_beside(&first);
    // It takes connections and says nothing.
    let dead = TcpListener::bind("127.0.0.1:0").expect("bind");
    second.receive_digest(&digest("dead", dead.local_addr().expect("address"), 1_000_000));
    std::thread::sleep(Duration::from_millis(50));
    let began = Instant::now();
    first.store.write("configuration", &without_many(5));
    wait_for("the version to reach the second host", || status(&second.send(&get("b"))) == "404");
    assert!(began.elapsed() < Duration::from_millis(2_000), "{:?}", began.elapsed());
}

#[test]
fn a_stop_cuts_nothing_and_tells_balancer_and_callers() {
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
    wait_for("the balancer to be told", || host.ready_status() == "503");
    let answer = read_message(&mut busy).expect("answer");
    assert_eq!(status(&answer), "200");
    assert_eq!(header(&answer, "connection").as_deref(), Some("close"));
    assert_eq!(status(&host.send(&get("b"))), "200", "new callers still come");
    assert_eq!(leaving.join().expect("stop"), 0, "requests cut");
    assert!(began.elapsed() < host.settings.shutdown.grace_s);
    idle.set_read_timeout(Some(READ_TIMEOUT)).expect("timeout");
    assert_eq!(read_message(&mut idle), None, "the idle connection is closed");
}

#[test]
fn settings_name_the_place_of_their_fault() {
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
    ] {
        let error = Settings::from_json(&good.replace(from, to)).expect_err(place);
        assert!(error.message.starts_with(place), "{}", error.message);
    }
}

#[test]
fn bodies_take_a_quarter_of_the_memory_at_most() {
    let bodies = Bodies::new(40);
    let mb = 1024 * 1024;
    let first = bodies.hold(Some(6 * mb)).expect("room");
    assert!(bodies.hold(Some(5 * mb)).is_none());
    let _second = bodies.hold(Some(4 * mb)).expect("room");
    assert!(bodies.hold(None).is_none());
    drop(first);
    assert!(bodies.hold(None).is_some());
    assert!(bodies.hold(Some(u64::MAX)).is_none());
}
