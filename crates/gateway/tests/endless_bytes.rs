//! Tests that a backend server that sends bytes without end, in a head or a body, is cut off,
//! that its callers get a truthful response, and that other servers' requests are served.

mod common;

use std::io::Write;
use std::net::TcpStream;
use std::panic::AssertUnwindSafe;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use aspenloft_gateway::events::EventSplitter;
use aspenloft_gateway::roster::ServerEntry;
use aspenloft_gateway::roster::ServerRole::{self, Decode, Plain, Prefill};
use common::{
    MemoryStore, Scripted, TestHost, configuration, entry, header, resident_bytes, sealed, status,
};

/// The most bytes that a server may get rid of before its connection is closed: the limit
/// of a whole response and what the sockets on both sides buffer.
const MAX_SENT_BYTES: usize = 24 * 1024 * 1024;

/// The part of that for bytes that do not belong to a body.
const MAX_SENT_HEAD_BYTES: usize = 12 * 1024 * 1024;

/// A server that answers each request with `start` and then `repeated` without end.
struct EndlessServer {
    server: Scripted,
    sent: Arc<AtomicUsize>,
    open: Arc<AtomicUsize>,
}

impl EndlessServer {
    fn start(start: &'static str, repeated: &'static str) -> EndlessServer {
        let (sent, open) = (Arc::<AtomicUsize>::default(), Arc::<AtomicUsize>::default());
        let (count, connections) = (sent.clone(), open.clone());
        let repeated = repeated.repeat(64 * 1024 / repeated.len()).into_bytes();
        let server = Scripted::serve(move |_, req, stream| {
            connections.fetch_add(1, Ordering::SeqCst);
            let id = header(req, "id").unwrap_or_default();
            let head = start.replace("ID", &id);
            send_without_end(stream, head.as_bytes(), &repeated, &count);
            connections.fetch_sub(1, Ordering::SeqCst);
            false
        });
        EndlessServer { server, sent, open }
    }
}

fn send_without_end(stream: &mut TcpStream, head: &[u8], repeated: &[u8], sent: &AtomicUsize) {
    if stream.write_all(head).is_err() {
        return;
    }
    while let Ok(written) = stream.write(repeated) {
        sent.fetch_add(written, Ordering::SeqCst);
    }
}

const SEALED: &str = "HTTP/1.1 200 OK\r\nid: ID\r\nseal: s\r\n";

fn post(path: &str, id: &str) -> String {
    format!("POST {path} HTTP/1.1\r\nhost: app.test\r\nid: {id}\r\ncontent-length: 1\r\n\r\nx")
}

/// Checks one endless response of a plain call, and that the connection is closed.
fn check_call(what: &str, start: &'static str, repeated: &'static str, max_sent: usize) {
    let endless = EndlessServer::start(start, repeated);
    let host = TestHost::with_servers(&[entry("s1", endless.server.addr, Plain)]);
    let began = Instant::now();
    let response = host.send(&post("/once/", "a"));
    assert!(["502", "504"].contains(&status(&response).as_str()), "{what}: {response:.200}");
    assert!(began.elapsed() < Duration::from_millis(2_600), "{what}: {:?}", began.elapsed());
    common::wait_for("the connection to be closed", || endless.open.load(Ordering::SeqCst) == 0);
    let sent = endless.sent.load(Ordering::SeqCst);
    assert!(sent <= max_sent, "{what}: {sent} bytes taken");
}

#[test]
fn a_head_without_end_is_read_on() {
    check_call("header lines", SEALED, "x: yyyyyyyyyyyyyyyyyyyyyyyyyyyyy\r\n", MAX_SENT_HEAD_BYTES);
    check_call("one line", "HTTP/1.1 200 O", "KKKKKKKKKKKKKKKK", MAX_SENT_HEAD_BYTES);
    check_call("no HTTP", "", "0123456789abcdef", MAX_SENT_HEAD_BYTES);
}

#[test]
fn interim_responses_without_end_are_read_on() {
    check_call("continue", "", "HTTP/1.1 100 Continue\r\n\r\n", MAX_SENT_HEAD_BYTES);
    check_call("hints", "", "HTTP/1.1 103 Early Hints\r\nlink: x\r\n\r\n", MAX_SENT_HEAD_BYTES);
}

const CHUNKED: &str = "HTTP/1.1 200 OK\r\nid: ID\r\nseal: s\r\ntransfer-encoding: chunked\r\n\r\n";
const EXTENSION: &str =
    "HTTP/1.1 200 OK\r\nid: ID\r\nseal: s\r\ntransfer-encoding: chunked\r\n\r\n1;";
const TRAILERS: &str =
    "HTTP/1.1 200 OK\r\nid: ID\r\nseal: s\r\ntransfer-encoding: chunked\r\n\r\n0\r\n";

#[test]
fn chunk_framing_without_end_is_read_on() {
    check_call("extension", EXTENSION, "xxxxxxxxxxxxxxxx", MAX_SENT_HEAD_BYTES);
    check_call("digits of a chunk's size", CHUNKED, "0000000000000000", MAX_SENT_HEAD_BYTES);
    check_call("trailers", TRAILERS, "x: yyyyyyyyyyyyyyyyyyyyyyyyyyyyy\r\n", MAX_SENT_HEAD_BYTES);
}

#[test]
fn a_body_without_end_is_read_on() {
    check_call("chunks", CHUNKED, "8\r\nxxxxxxxx\r\n", 3 * MAX_SENT_BYTES);
    let unframed = "HTTP/1.1 200 OK\r\nid: ID\r\nseal: s\r\nconnection: close\r\n\r\n";
    check_call("until the connection closes", unframed, "xxxxxxxxxxxxxxxx", MAX_SENT_BYTES);
    let refusal = "HTTP/1.1 502 Bad\r\nid: ID\r\nseal: s\r\ntransfer-encoding: chunked\r\n\r\n";
    check_call("chunks of an error", refusal, "8\r\nxxxxxxxx\r\n", 3 * MAX_SENT_BYTES);
}

/// Returns a chunk of 1 KiB of repetitions of `part`, whose length divides that.
fn chunk_of(part: &str) -> &'static str {
    let data = part.repeat(1024 / part.len());
    Box::leak(format!("{:x}\r\n{data}\r\n", data.len()).into_boxed_str())
}

/// Checks an endless event stream: what arrives at the caller is not complete.
fn check_stream(what: &str, repeated: &'static str) {
    let endless = EndlessServer::start(CHUNKED, repeated);
    let host = TestHost::with_servers(&[entry("d1", endless.server.addr, Decode)]);
    let req = post("/stream/", "a").replace("content-length", "tokens: 100,50\r\ncontent-length");
    let mut caller = TcpStream::connect(host.callers).expect("connect");
    caller.write_all(req.as_bytes()).expect("send");
    let began = Instant::now();
    let mut response = Vec::new();
    let _ = std::io::Read::read_to_end(&mut caller, &mut response);
    assert!(!response.ends_with(b"0\r\n\r\n"), "{what} looks complete");
    assert!(response.len() <= 2 * 1024 * 1024, "{what}: {} bytes relayed", response.len());
    assert!(began.elapsed() < Duration::from_millis(1_500), "{what}: {:?}", began.elapsed());
    common::wait_for("the connection to be closed", || endless.open.load(Ordering::SeqCst) == 0);
}

#[test]
fn an_event_stream_without_end_is_relayed_on() {
    check_stream("one event", chunk_of("xxxxxxxx"));
    check_stream("events", chunk_of("id: 7\ndata: x\n\n"));
    check_stream("comments", chunk_of(": xxxx\n\n"));
}

/// Checks endless responses of an engine in `role` to model requests.
fn check_engine(what: &str, role: ServerRole, start: &'static str, repeated: &'static str) {
    let endless = EndlessServer::start(start, repeated);
    let sound = Scripted::start(|_, req| sealed(req, "200 OK", "id: 1\ndata: x\n\n"));
    let mut servers = vec![ServerEntry { role, ..entry("e1", endless.server.addr, role) }];
    if role == Prefill {
        servers.push(entry("d1", sound.addr, Decode));
    }
    let host = TestHost::with_servers(&servers);
    for path in ["/stream/", "/resume/"] {
        let req = post(path, "a").replace("content-length", "tokens: 100,50\r\ncontent-length");
        let response = host.send(&req);
        let is_served = status(&response) == "200";
        assert_eq!(is_served, role == Prefill, "{what}: {response:.200}");
    }
    common::wait_for("the connections to be closed", || endless.open.load(Ordering::SeqCst) == 0);
    let (sent, count) = (endless.sent.load(Ordering::SeqCst), endless.server.count());
    assert!(sent <= count * MAX_SENT_BYTES, "{what}: {sent} bytes taken in {count} responses");
}

#[test]
fn endless_responses_of_engines_are_read_on() {
    for role in [Prefill, Decode] {
        check_engine("no HTTP", role, "", "0123456789abcdef");
        check_engine("a head", role, SEALED, "x: yyyyyyyyyyyyyyyyyyyyyyyyyyyyy\r\n");
        check_engine("interim responses", role, "", "HTTP/1.1 100 Continue\r\n\r\n");
        let refusal =
            "HTTP/1.1 503 Full\r\nid: ID\r\nnot-run: 1\r\ntransfer-encoding: chunked\r\n\r\n";
        check_engine("a refusal", role, refusal, "8\r\nxxxxxxxx\r\n");
        let failure = "HTTP/1.1 500 Broken\r\nid: ID\r\nseal: s\r\n\r\n";
        check_engine("a failure", role, failure, "0123456789abcdef");
    }
    check_engine("a prefill", Prefill, CHUNKED, "8\r\nxxxxxxxx\r\n");
}

// What a server sends on a connection that is kept was read without a request.
#[test]
fn bytes_without_end_after_a_whole_response_are_read_on() {
    const WHOLE: &str = "HTTP/1.1 200 OK\r\nid: ID\r\nseal: s\r\ncontent-length: 4\r\n\r\ndone";
    let endless = EndlessServer::start(WHOLE, "0123456789abcdef");
    let host = TestHost::with_servers(&[entry("s1", endless.server.addr, Plain)]);
    let response = host.send(&post("/once/", "a"));
    assert_eq!(status(&response), "200", "{response:.200}");
    common::wait_for("the connection to be closed", || endless.open.load(Ordering::SeqCst) == 0);
    let sent = endless.sent.load(Ordering::SeqCst);
    assert!(sent <= MAX_SENT_HEAD_BYTES, "{sent} bytes taken");
}

/// Servers with endless responses, as many as a service has, left no memory for others.
#[test]
fn endless_bodies_of_all_servers_at_once_use_up_the_memory() {
    const SERVERS: usize = 24;
    let chunk: &'static str =
        Box::leak(format!("2000\r\n{}\r\n", "x".repeat(8192)).into_boxed_str());
    let endless: Vec<EndlessServer> =
        (0..SERVERS).map(|_| EndlessServer::start(CHUNKED, chunk)).collect();
    let healthy = Scripted::start(|_, req| sealed(req, "200 OK", "well"));
    let store = Arc::new(MemoryStore::default());
    let mut services = configuration(1);
    services.services.insert("other".into(), services.services["app"].clone());
    let mut route = services.routes[0].clone();
    (route.name, route.path_prefix) = ("other".into(), "/other/".into());
    route.services = vec![("other".into(), 1)];
    services.routes.push(route);
    store.write("configuration", &services);
    for (number, server) in endless.iter().enumerate() {
        let name = format!("s{number}");
        store.write(&format!("servers/{name}"), &entry(&name, server.server.addr, Plain));
    }
    let other = ServerEntry { service: "other".into(), ..entry("o1", healthy.addr, Plain) };
    store.write("servers/o1", &other);
    let host = TestHost::start("h1", store);
    host.wait_ready();
    let before = resident_bytes();
    let peak = AtomicUsize::new(0);
    let served = AtomicUsize::new(0);
    std::thread::scope(|scope| {
        for caller in 0..SERVERS * 2 {
            let host = &host;
            scope.spawn(move || {
                for call in 0..3 {
                    let response = host.send(&post("/once/", &format!("c{caller}-{call}")));
                    let status = status(&response);
                    assert!(["502", "504"].contains(&status.as_str()), "{response:.200}");
                }
            });
        }
        for call in 0..20 {
            std::thread::sleep(Duration::from_millis(40));
            peak.fetch_max(resident_bytes().saturating_sub(before), Ordering::SeqCst);
            let response = host.send(&post("/other/", &format!("o{call}")));
            served.fetch_add(usize::from(status(&response) == "200"), Ordering::SeqCst);
        }
    });
    assert_eq!(served.load(Ordering::SeqCst), 20, "calls of the other service");
    let peak_mb = peak.load(Ordering::SeqCst) / (1024 * 1024);
    // A quarter of the 110 MiB of the settings, the part of each response that needs no
    // reservation, and the buffers of the servers in this process.
    assert!(peak_mb <= 80, "{peak_mb} MiB more while responses are endless");
}

/// Bytes of any kind from a server never become a success, and never stop the host.
#[test]
fn arbitrary_bytes_are_a_truthful_failure() {
    let response = Arc::new(parking_lot::Mutex::new(Vec::new()));
    let scripted = response.clone();
    let server = Scripted::serve(move |_, _, stream| {
        let _ = stream.write_all(&scripted.lock());
        false
    });
    let host = TestHost::with_servers(&[entry("s1", server.addr, Plain)]);
    let starts: [&[u8]; 4] =
        [b"", b"HTTP/1.1 ", b"HTTP/1.1 200 OK\r\n", b"HTTP/1.1 200 OK\r\nseal: s\r\n\r\n"];
    let (response, host) = (AssertUnwindSafe(response), AssertUnwindSafe(host));
    bolero::check!().with_iterations(150).with_type::<(u8, Vec<u8>)>().for_each(
        move |(start, bytes)| {
            let (response, host) = (&response, &host);
            let start = starts[usize::from(*start) % starts.len()];
            *response.lock() = [start, bytes].concat();
            let answer = host.send(&post("/once/", "a"));
            let status = status(&answer);
            assert!(["502", "503", "504"].contains(&status.as_str()), "{bytes:?}: {answer}");
        },
    );
}

/// Whatever arrives in whatever pieces, whole events are passed on unchanged.
#[test]
fn events_are_split_the_same_in_any_pieces() {
    bolero::check!().with_iterations(2_000).with_type::<Vec<Vec<u8>>>().for_each(|pieces| {
        let mut splitter = EventSplitter::default();
        let relayed: Vec<u8> = pieces.iter().flat_map(|piece| splitter.push(piece)).collect();
        let sent = pieces.concat();
        assert!(sent.starts_with(&relayed));
        assert!(relayed.is_empty() || relayed.ends_with(b"\n\n"));
        assert!(!sent[relayed.len()..].windows(2).any(|pair| pair == b"\n\n"));
        assert_eq!(splitter.is_inside_event(), relayed.len() < sent.len());
    });
}
