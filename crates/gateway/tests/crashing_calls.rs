//! Tests of calls that crash each plain server which runs them, and of sound calls that were
//! at servers when these ended or could not be reached.

mod common;

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use aspenloft_gateway::roster::ServerRole::{Decode, Plain};
use aspenloft_standin::network::Cut;
use common::crashing::{CrashingEngine, EngineLog};
use common::{MemoryStore, Scripted, TestHost, configuration, entry, sealed, status};

/// Returns a store that lists no servers yet.
fn store() -> Arc<MemoryStore> {
    let store = Arc::new(MemoryStore::default());
    store.write("configuration", &configuration(1));
    store
}

/// Starts hosts that know each other.
fn hosts(store: &Arc<MemoryStore>, count: usize) -> Vec<TestHost> {
    let start = |n: usize| TestHost::start(&format!("h{n}"), store.for_another_host());
    let hosts: Vec<TestHost> = (0..count).map(start).collect();
    for host in &hosts {
        host.wait_ready();
    }
    std::thread::sleep(Duration::from_millis(500));
    hosts
}

fn crashing_servers(
    store: &Arc<MemoryStore>,
    count: usize,
    log: &Arc<EngineLog>,
) -> Vec<Arc<CrashingEngine>> {
    let start = |n: usize| CrashingEngine::start(&format!("s{n}"), Plain, store, &["bad"], log);
    (0..count).map(start).collect()
}

/// Sends a call whose prompt has `parts` and returns its status.
fn send(host: &TestHost, path: &str, id: &str, parts: &str, body: &str) -> String {
    let length = body.len();
    status(&host.send(&format!(
        "POST {path} HTTP/1.1\r\nhost: app.test\r\nid: {id}\r\nparts: {parts}\r\n\
         content-length: {length}\r\n\r\n{body}"
    )))
}

/// Has the first of `count` hosts lose its path to some servers four times while each runs the
/// same call, and checks that the call is served afterwards.
fn check_that_cuts_convict_nothing(count: usize, cut: Cut, spared: usize) {
    let store = store();
    let slow = |_: usize, req: &str| {
        std::thread::sleep(Duration::from_millis(300));
        sealed(req, "200 OK", "done")
    };
    let servers: Vec<Scripted> = (0..5).map(|_| Scripted::start(slow)).collect();
    for (n, server) in servers.iter().enumerate() {
        store.write(&format!("servers/s{n}"), &entry(&format!("s{n}"), server.addr, Plain));
    }
    let control = Scripted::start(|_, req| sealed(req, "200 OK", "done"));
    store.write("servers/d0", &entry("d0", control.addr, Decode));
    let spared: Vec<_> = [control.addr].into_iter().take(spared).collect();
    let hosts = hosts(&store, count);
    hosts[0].network.relay_connections();
    std::thread::scope(|scope| {
        for round in 0..4 {
            let host = &hosts[0];
            let call = scope.spawn(move || send(host, "/once/", &format!("a{round}"), "", "same"));
            std::thread::sleep(Duration::from_millis(120));
            host.network.cut(cut, &spared);
            assert_eq!(call.join().expect("a status"), "502");
            std::thread::sleep(Duration::from_millis(500));
            host.network.heal();
            std::thread::sleep(Duration::from_millis(300));
        }
    });
    for (n, host) in hosts.iter().enumerate() {
        assert_eq!(send(host, "/once/", &format!("b{n}"), "", "same"), "200", "host {n}");
    }
}

// A host that had lost its path confirmed crashes by connections that failed.
#[test]
fn a_host_that_is_cut_off_speaks_against_no_request() {
    check_that_cuts_convict_nothing(2, Cut::Reset, 0);
}

// The same with nobody to ask.
#[test]
fn a_lone_host_that_is_cut_off_speaks_against_no_request() {
    check_that_cuts_convict_nothing(1, Cut::Reset, 0);
}

// Other servers that the host reaches do not show that it has its path to these.
#[test]
fn a_host_that_is_cut_off_from_some_servers_speaks_against_no_request() {
    check_that_cuts_convict_nothing(3, Cut::Reset, 1);
}

// A server that answers 500 to whatever it is sent cleared the call each time.
#[test]
fn a_server_error_does_not_clear_a_call_that_crashes_servers() {
    let (store, log) = (store(), Arc::<EngineLog>::default());
    let _crashing = crashing_servers(&store, 2, &log);
    let failing = Scripted::start(|_, req| sealed(req, "500 Error", "no"));
    store.write("servers/e", &entry("e", failing.addr, Plain));
    let hosts = hosts(&store, 1);
    for n in 0..30 {
        send(&hosts[0], "/once/", &format!("a{n}"), "bad", "bad");
        std::thread::sleep(Duration::from_millis(60));
    }
    let crashes = log.crashes.load(Ordering::SeqCst);
    assert!(crashes <= 4, "{crashes} crashes");
}

// A trial was sent again after it had crashed the first server.
#[test]
fn a_trial_reaches_one_server() {
    let (store, log) = (store(), Arc::<EngineLog>::default());
    let _crashing = crashing_servers(&store, 6, &log);
    let hosts = hosts(&store, 1);
    let began = Instant::now();
    let crashes = || log.crashes.load(Ordering::SeqCst);
    let mut number = 0;
    while crashes() < 3 {
        assert!(began.elapsed() < Duration::from_secs(5), "{} crashes", crashes());
        number += 1;
        send(&hosts[0], "/once/", &format!("a{number}"), "bad", &format!("body {number}"));
        std::thread::sleep(Duration::from_millis(200));
    }
    let before = log.crashing_arrivals.load(Ordering::SeqCst);
    std::thread::sleep(Duration::from_millis(2_300));
    send(&hosts[0], "/many/", "trial", "bad", "body of the trial");
    let arrivals = log.crashing_arrivals.load(Ordering::SeqCst) - before;
    assert_eq!(arrivals, 1);
}

// Nothing ever tried a whole request again that was held back.
#[test]
fn servers_that_are_killed_together_hold_a_sound_call_back_for_a_while_only() {
    let (store, log) = (store(), Arc::<EngineLog>::default());
    let servers = crashing_servers(&store, 4, &log);
    let hosts = hosts(&store, 1);
    let host = &hosts[0];
    std::thread::scope(|scope| {
        for n in 0..8 {
            scope.spawn(move || send(host, "/once/", &format!("a{n}"), "", "same"));
        }
        std::thread::sleep(Duration::from_millis(25));
        for server in &servers {
            server.crash();
        }
    });
    let began = Instant::now();
    let mut number = 0;
    while send(host, "/once/", &format!("b{number}"), "", "same") != "200" {
        assert!(began.elapsed() < Duration::from_secs(6), "the call is still held back");
        number += 1;
        std::thread::sleep(Duration::from_millis(100));
    }
}

// All servers of a service could fall to one call before the third was known.
#[test]
fn a_call_that_has_crashed_two_servers_is_not_sent_to_a_third_at_once() {
    let (store, log) = (store(), Arc::<EngineLog>::default());
    let _crashing = crashing_servers(&store, 6, &log);
    let hosts = hosts(&store, 3);
    let began = Instant::now();
    let mut number = 0;
    while began.elapsed() < Duration::from_millis(1_800) {
        number += 1;
        let host = &hosts[number % hosts.len()];
        send(host, "/many/", &format!("a{number}"), "", "bad");
        send(host, "/once/", &format!("b{number}"), "bad", "bad");
        std::thread::sleep(Duration::from_millis(50));
    }
    let crashes = log.crashes.load(Ordering::SeqCst);
    assert!(crashes <= 2, "{crashes} crashes");
}

// Only the host that decides on trials made them, which the caller may never reach.
#[test]
fn a_call_that_is_held_back_is_tried_at_whichever_host_it_comes() {
    let (store, log) = (store(), Arc::<EngineLog>::default());
    let servers = crashing_servers(&store, 4, &log);
    let hosts = hosts(&store, 3);
    std::thread::scope(|scope| {
        for (n, host) in hosts.iter().enumerate() {
            for call in 0..8 {
                let id = format!("a{n}-{call}");
                scope.spawn(move || send(host, "/once/", &id, "", &format!("same {n}")));
            }
        }
        std::thread::sleep(Duration::from_millis(25));
        for server in &servers {
            server.crash();
        }
    });
    let began = Instant::now();
    for (n, host) in hosts.iter().enumerate() {
        let mut number = 0;
        while send(host, "/once/", &format!("b{n}-{number}"), "", &format!("same {n}")) != "200" {
            assert!(began.elapsed() < Duration::from_secs(6), "held back at host {n}");
            number += 1;
            std::thread::sleep(Duration::from_millis(100));
        }
    }
}

#[test]
fn a_call_is_the_same_whatever_else_its_caller_changes() {
    let (store, log) = (store(), Arc::<EngineLog>::default());
    let _crashing = crashing_servers(&store, 8, &log);
    let hosts = hosts(&store, 2);
    let forms = [
        "POST /once/ HTTP/1.1\r\nhost: app.test\r\nid: a\r\ncontent-length: 3\r\n\r\nbad",
        "POST /once/ HTTP/1.1\r\nhost: APP.test:80\r\nid: b\r\nx-key: 1\r\ncontent-length: 3\r\n\r\nbad",
        "POST /once/?x=1 HTTP/1.1\r\nhost: app.test\r\nid: c\r\ncontent-length: 3\r\n\r\nbad",
        "POST /once/ HTTP/1.1\r\nhost: app.test\r\nid: d\r\nwait-ms: 700\r\ntransfer-encoding: chunked\r\n\r\n1\r\nb\r\n2\r\nad\r\n0\r\n\r\n",
        "POST /once/ HTTP/1.1\r\nhost: app.test\r\nid: e\r\nresumes: a\r\ncontent-length: 3\r\n\r\nbad",
    ];
    for (n, form) in forms.iter().enumerate() {
        let form = form.replacen("\r\nid:", "\r\nparts: bad\r\nid:", 1);
        hosts[n % 2].send(&form);
        std::thread::sleep(Duration::from_millis(200));
    }
    let crashes = log.crashes.load(Ordering::SeqCst);
    assert_eq!(crashes, 2);
}
