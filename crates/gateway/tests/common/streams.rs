//! Streams of engines of several versions, and hosts that follow one store.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::Arc;
use std::time::Duration;

use aspenloft_gateway::roster::ServerEntry;
use aspenloft_gateway::roster::ServerRole::Decode;

use super::{MemoryStore, READ_TIMEOUT, Scripted, TestHost, body, configuration, entry, header};

pub const EVENTS: u32 = 6;

pub fn request(id: &str) -> String {
    format!(
        "POST /resume/ HTTP/1.1\r\nhost: app.test\r\nid: {id}\r\ntokens: 1000,200\r\ncontent-length: 1\r\n\r\nx"
    )
}

/// Returns a request that takes up the stream that the attempt `first` began.
pub fn take_up(id: &str, first: &str, after: u32) -> String {
    let resumes = format!("\r\nresumes: {first}\r\nafter: {after}\r\ntokens:");
    request(id).replace("\r\ntokens:", &resumes)
}

pub fn stream_head(req: &str) -> String {
    let id = header(req, "id").unwrap_or_default();
    format!("HTTP/1.1 200 OK\r\nid: {id}\r\nseal: s\r\ntransfer-encoding: chunked\r\n\r\n")
}

/// Returns one event as a chunk; its data names the version of the engine.
pub fn event(number: u32, version: &str) -> String {
    let event = format!("id: {number}\ndata: {version}\n\n");
    format!("{:x}\r\n{event}\r\n", event.len())
}

pub fn after(req: &str) -> u32 {
    header(req, "after").and_then(|id| id.parse().ok()).unwrap_or(0)
}

/// An engine at `version` that sends a whole stream, or what is left of one.
pub fn engine(version: &'static str) -> Scripted {
    Scripted::start(move |_, req| {
        let events: String = (after(req) + 1..=EVENTS).map(|n| event(n, version)).collect();
        format!("{}{events}0\r\n\r\n", stream_head(req)).into_bytes()
    })
}

pub fn at_version(name: &str, server: &Scripted, version: &str) -> ServerEntry {
    ServerEntry { version: version.into(), ..entry(name, server.addr, Decode) }
}

/// Starts hosts that follow one store with `servers` in it.
pub fn start_hosts(names: &[&str], servers: &[ServerEntry]) -> (Arc<MemoryStore>, Vec<TestHost>) {
    let store = Arc::new(MemoryStore::default());
    store.write("configuration", &configuration(1));
    for server in servers {
        store.write(&format!("servers/{}", server.instance), server);
    }
    let hosts: Vec<TestHost> =
        names.iter().map(|name| TestHost::start(name, store.for_another_host())).collect();
    hosts.iter().for_each(TestHost::wait_ready);
    (store, hosts)
}

/// Returns the versions that the events of `response` name, without repetitions.
pub fn versions(response: &str) -> Vec<String> {
    let data = body(response).lines().filter_map(|line| line.strip_prefix("data: "));
    let mut versions: Vec<String> = data.map(str::to_string).collect();
    versions.dedup();
    versions
}

/// Sends `req`, reads up to the event `last` and closes the connection.
pub fn read_events(host: &TestHost, req: &str, last: u32) -> String {
    let mut stream = TcpStream::connect(host.callers).expect("connect");
    stream.set_read_timeout(Some(READ_TIMEOUT)).expect("timeout");
    stream.write_all(req.as_bytes()).expect("send");
    let mut response = String::new();
    let mut buf = [0; 4096];
    while !response.contains(&format!("id: {last}\n")) {
        let read = stream.read(&mut buf).expect("a response");
        assert!(read > 0, "closed after {response}");
        response.push_str(&String::from_utf8_lossy(&buf[..read]));
    }
    response
}

/// Returns hosts that know nothing and follow a service with what `store` has, but without the
/// hosts that served before.
pub fn restart_all(store: &MemoryStore, names: &[&str]) -> (Arc<MemoryStore>, Vec<TestHost>) {
    let store = store.without("aspenloft/hosts/");
    let start = |name: &&str| TestHost::start(name, store.for_another_host());
    let hosts: Vec<TestHost> = names.iter().map(start).collect();
    hosts.iter().for_each(TestHost::wait_ready);
    (store, hosts)
}

/// How long it takes until the version of a stream that has begun is written down.
pub const WRITE_TIME: Duration = Duration::from_millis(1_300);
