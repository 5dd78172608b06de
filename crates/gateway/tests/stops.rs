//! Tests that a host that ends answers each request that it has read, wherever the request is
//! at that time, and that the answer is true.

mod common;

use std::io::Write;
use std::net::TcpStream;
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use aspenloft_gateway::configuration::Configuration;
use aspenloft_gateway::roster::ServerEntry;
use aspenloft_gateway::roster::ServerRole::{Decode, Plain, Prefill};
use aspenloft_standin::network::Cut;
use common::{
    MemoryStore, Scripted, TestHost, configuration, entry, header, not_run, read_message, sealed,
    status, wait_for,
};

/// The grace period of the tests, in which a generation may begin for 300 ms.
const GRACE: Duration = Duration::from_secs(6);

/// A configuration whose requests may wait for long.
fn patient() -> Configuration {
    let mut patient = configuration(1);
    for route in &mut patient.routes {
        (route.timeout, route.target_latency) = (Duration::from_secs(14), Duration::from_secs(5));
    }
    patient
}

fn start(names: &[&str], servers: &[ServerEntry]) -> Vec<TestHost> {
    let store = Arc::new(MemoryStore::default());
    store.write("configuration", &patient());
    for server in servers {
        store.write(&format!("servers/{}", server.instance), server);
    }
    let hosts: Vec<TestHost> =
        names.iter().map(|name| TestHost::start(name, store.for_another_host())).collect();
    hosts.iter().for_each(TestHost::wait_ready);
    hosts
}

fn call(path: &str, headers: &str) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nhost: app.test\r\nid: a\r\n{headers}content-length: 1\r\n\r\nx"
    )
}

/// A server that reads requests and never answers.
fn silent() -> Scripted {
    Scripted::serve(|_, _, _| {
        std::thread::sleep(Duration::from_secs(30));
        false
    })
}

/// Sends `req`, stops the host once it `waits`, and returns the response and when it came after
/// the stop began.
fn stop_during(host: &TestHost, req: &str, waits: impl Fn() -> bool) -> (String, Duration) {
    stop_within(GRACE, host, req, waits)
}

fn stop_within(
    grace: Duration,
    host: &TestHost,
    req: &str,
    waits: impl Fn() -> bool,
) -> (String, Duration) {
    let mut stream = TcpStream::connect(host.callers).expect("connect");
    stream.write_all(req.as_bytes()).expect("send");
    wait_for("the request to wait", waits);
    let began = Instant::now();
    let stopped = host.leave(grace);
    let response = read_until_stopped(&mut stream, &stopped);
    (response, began.elapsed())
}

/// Returns the response; panics if the host ends without one.
fn read_until_stopped(stream: &mut TcpStream, stopped: &JoinHandle<usize>) -> String {
    loop {
        if let Some(response) = read_message(stream) {
            return response;
        }
        assert!(!stopped.is_finished(), "the host has ended without a response");
    }
}

fn assert_not_run(response: &str) {
    assert_eq!(status(response), "503", "{response}");
    assert!(header(response, "retry-after").is_some(), "{response}");
}

/// Returns whether a while has passed, for requests of which nothing shows where they are.
fn after_a_while() -> impl Fn() -> bool {
    let began = Instant::now();
    move || began.elapsed() > Duration::from_millis(300)
}

// A request in the queue was cut at the end of the grace period without an answer.
#[test]
fn a_request_that_waits_for_an_engine_is_cut_when_its_host_ends() {
    let full = Scripted::start(|_, req| not_run(req));
    let hosts = start(&["h1"], &[entry("d1", full.addr, Decode)]);
    let req = call("/stream/", "tokens: 100,50\r\n");
    let (response, after) = stop_during(&hosts[0], &req, || full.count() > 0);
    assert_not_run(&response);
    assert!(after < Duration::from_secs(2), "another host can begin it now: {after:?}");
}

// The head of a stream did not come in time, and the caller got no answer.
#[test]
fn a_stream_that_has_not_begun_is_cut_when_its_host_ends() {
    let (prefill, decode) = (Scripted::start(|_, req| sealed(req, "200 OK", "kv")), silent());
    let servers = [entry("p1", prefill.addr, Prefill), entry("d1", decode.addr, Decode)];
    let hosts = start(&["h1"], &servers);
    let req = call("/stream/", "tokens: 100,50\r\n");
    let (response, after) = stop_during(&hosts[0], &req, || decode.count() > 0);
    assert_eq!(status(&response), "504", "it may run: {response}");
    assert!(after < GRACE, "{after:?}");
}

// A prompt that is being read is no run: another host may serve the request.
#[test]
fn a_request_whose_prompt_is_read_is_cut_when_its_host_ends() {
    let (prefill, decode) = (silent(), Scripted::start(|_, req| sealed(req, "200 OK", "")));
    let servers = [entry("p1", prefill.addr, Prefill), entry("d1", decode.addr, Decode)];
    let hosts = start(&["h1"], &servers);
    let req = call("/stream/", "tokens: 100,50\r\n");
    let grace = Duration::from_millis(900);
    let (response, _) = stop_within(grace, &hosts[0], &req, || prefill.count() > 0);
    assert_not_run(&response);
    assert_eq!(decode.count(), 0);
}

#[test]
fn a_call_that_runs_is_cut_when_its_host_ends() {
    let server = silent();
    let hosts = start(&["h1"], &[entry("s1", server.addr, Plain)]);
    let (response, after) = stop_during(&hosts[0], &call("/once/", ""), || server.count() > 0);
    assert_eq!(status(&response), "504", "it may run: {response}");
    assert!(after < GRACE, "{after:?}");
}

// The limit of a server kept a request waiting that had not been sent.
#[test]
fn a_call_that_waits_for_a_limit_is_cut_when_its_host_ends() {
    let server = Scripted::start(|_, req| {
        let response = String::from_utf8(sealed(req, "200 OK", "done")).expect("text");
        response.replacen("\r\n", "\r\nlimit: 0.1\r\n", 1).into_bytes()
    });
    let hosts = start(&["h1"], &[entry("s1", server.addr, Plain)]);
    while status(&hosts[0].send(&call("/once/", "wait-ms: 500\r\n"))) == "200" {}
    let before = server.count();
    let (response, _) = stop_during(&hosts[0], &call("/once/", ""), after_a_while());
    assert_not_run(&response);
    assert_eq!(server.count(), before);
}

#[test]
fn a_request_that_is_being_read_is_cut_when_its_host_ends() {
    let server = Scripted::start(|_, req| sealed(req, "200 OK", "done"));
    let hosts = start(&["h1"], &[entry("s1", server.addr, Plain)]);
    let part = call("/once/", "").replace("content-length: 1", "content-length: 2");
    let (response, _) = stop_during(&hosts[0], &part, after_a_while());
    assert_not_run(&response);
    assert_eq!(server.count(), 0);
}

// A host that served a request for another one ended; its own answer could not tell whether it ran.
#[test]
fn a_forwarded_call_is_cut_when_the_host_that_serves_it_ends() {
    let server = silent();
    let servers = ["s1", "s2", "s3"].map(|name| entry(name, server.addr, Plain));
    let hosts = start(&["h1", "h2"], &servers);
    std::thread::sleep(Duration::from_millis(500));
    hosts[0].network.cut(Cut::Refused, &[]);
    let mut stream = TcpStream::connect(hosts[0].callers).expect("connect");
    stream.write_all(call("/once/", "").as_bytes()).expect("send");
    wait_for("the call to be forwarded", || server.count() > 0);
    let stopped = hosts[1].leave(GRACE);
    let response = read_until_stopped(&mut stream, &stopped);
    assert_eq!(status(&response), "504", "{response}");
    assert_eq!(server.count(), 1);
}

/// Has `host` leave while a call keeps it from exiting, and waits until it closes idle
/// connections. Returns the connection of the call.
fn leave_with_a_call(host: &TestHost, server: &Scripted) -> TcpStream {
    let mut stream = TcpStream::connect(host.callers).expect("connect");
    stream.write_all(call("/once/", "x-own: silent\r\n").as_bytes()).expect("send");
    wait_for("the call to run", || server.count() > 0);
    host.leave(GRACE);
    std::thread::sleep(Duration::from_millis(3_300));
    stream
}

// New connections were closed unread, though the balancer had no other host to send them to.
#[test]
fn callers_that_come_while_the_last_host_leaves_are_turned_away() {
    let server = Scripted::serve(|_, req, stream| match header(req, "x-own") {
        Some(_) => true,
        None => stream.write_all(&sealed(req, "200 OK", "done")).is_ok(),
    });
    let hosts = start(&["h1"], &[entry("s1", server.addr, Plain)]);
    let _call = leave_with_a_call(&hosts[0], &server);
    let response = hosts[0].send(&call("/many/", ""));
    assert_eq!(status(&response), "200", "{response}");
    assert_eq!(header(&response, "connection").as_deref(), Some("close"));
}

// Calls that came late in the grace period were passed on and cut at its end.
#[test]
fn a_late_call_that_may_not_be_repeated_is_passed_on_and_cut() {
    let server = silent();
    let hosts = start(&["h1"], &[entry("s1", server.addr, Plain)]);
    let _call = leave_with_a_call(&hosts[0], &server);
    let response = hosts[0].send(&call("/once/", "wait-ms: 4000\r\n"));
    assert_not_run(&response);
    assert_eq!(server.count(), 1);
    // One that may be repeated is answered before the host ends.
    let response = hosts[0].send(&call("/many/", "wait-ms: 4000\r\n"));
    assert_eq!(status(&response), "504", "{response}");
    assert!(server.count() > 1);
}

// A connection came after the last one had ended, and its call was passed on as the host exited.
#[test]
fn a_call_that_comes_as_its_host_exits_is_passed_on_and_cut() {
    let server = Scripted::start(|_, req| sealed(req, "200 OK", "done"));
    let hosts = start(&["h1"], &[entry("s1", server.addr, Plain)]);
    hosts[0].leave(Duration::from_secs(2)).join().expect("the end");
    assert_not_run(&hosts[0].send(&call("/many/", "")));
    assert_eq!(server.count(), 0);
}
