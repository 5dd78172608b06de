//! Tests of engines that fall silent in the middle of a stream, for a while or for good.

mod common;

use std::io::Write;
use std::sync::Arc;
use std::time::{Duration, Instant};

use aspenloft_gateway::roster::ServerRole::{Decode, Prefill};
use common::{MemoryStore, Scripted, TestHost, configuration, entry, header, sealed, status};

/// The number of events in a stream.
const EVENTS: usize = 6;

/// Starts a host in front of engines, the first of which is silent for `silence` after its third
/// event.
fn start(silence: Duration) -> (TestHost, Vec<Scripted>) {
    let store = Arc::new(MemoryStore::default());
    let mut configuration = configuration(1);
    for route in &mut configuration.routes {
        route.timeout = Duration::from_secs(8);
    }
    store.write("configuration", &configuration);
    let prefill = Scripted::start(|_, req| sealed(req, "200 OK", "handle"));
    store.write("servers/p", &entry("p", prefill.addr, Prefill));
    let mut servers = vec![prefill];
    for (n, silence) in [silence, Duration::ZERO].into_iter().enumerate() {
        let engine = Scripted::serve(move |_, req, stream| {
            let id = header(req, "id").unwrap_or_default();
            let after = header(req, "after").and_then(|id| id.parse().ok()).unwrap_or(0);
            let head = format!(
                "HTTP/1.1 200 OK\r\nid: {id}\r\nseal: s\r\ntransfer-encoding: chunked\r\n\r\n"
            );
            if stream.write_all(head.as_bytes()).is_err() {
                return false;
            }
            for number in after + 1..=EVENTS {
                let event = format!("id: {number}\ndata: token\n\n");
                let chunk = format!("{:x}\r\n{event}\r\n", event.len());
                if stream.write_all(chunk.as_bytes()).is_err() {
                    return false;
                }
                if number == 3 {
                    std::thread::sleep(silence);
                }
            }
            stream.write_all(b"0\r\n\r\n").is_ok()
        });
        // The second engine is only used once the first one is given up.
        let entry = entry(&format!("d{n}"), engine.addr, Decode);
        if n == 0 {
            store.write(&format!("servers/d{n}"), &entry);
        }
        servers.push(engine);
    }
    let host = TestHost::start("h1", store.clone());
    host.wait_ready();
    (host, servers)
}

fn send(host: &TestHost) -> String {
    host.send(
        "POST /resume/ HTTP/1.1\r\nhost: app.test\r\nid: a\r\ntokens: 100,500\r\n\
         content-length: 0\r\n\r\n",
    )
}

fn is_whole(response: &str) -> bool {
    let in_order = (1..=EVENTS).all(|n| response.matches(&format!("id: {n}\n")).count() == 1);
    status(response) == "200" && response.ends_with("0\r\n\r\n") && in_order
}

/// Sends a stream and lists the second engine once the first one is silent.
fn send_and_list_second(host: &TestHost, servers: &[Scripted]) -> String {
    std::thread::scope(|scope| {
        let stream = scope.spawn(|| send(host));
        std::thread::sleep(Duration::from_millis(500));
        host.store.write("servers/d1", &entry("d1", servers[2].addr, Decode));
        stream.join().expect("a response")
    })
}

#[test]
fn a_stream_stays_at_an_engine_that_is_silent_for_less_than_two_seconds() {
    let (host, servers) = start(Duration::from_millis(1_900));
    let response = send_and_list_second(&host, &servers);
    assert!(is_whole(&response), "{response}");
    assert_eq!((servers[1].count(), servers[2].count()), (1, 0));
}

// Nothing but the connection's end, which the system of a silent process does not cause, made a
// stream go on elsewhere.
#[test]
fn a_stream_goes_on_elsewhere_when_its_engine_stays_silent() {
    let (host, servers) = start(Duration::from_secs(30));
    let began = Instant::now();
    let response = send_and_list_second(&host, &servers);
    assert!(is_whole(&response), "{response}");
    assert_eq!((servers[1].count(), servers[2].count()), (1, 1));
    assert!(began.elapsed() < Duration::from_secs(5), "{:?}", began.elapsed());
}
