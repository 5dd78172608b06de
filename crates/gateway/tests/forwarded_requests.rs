//! Tests of hosts that are cut off from the backend servers while callers, the store and the
//! other hosts reach them: their requests are served through other hosts.

mod common;

use std::io::{Read, Write};
use std::net::{TcpStream, UdpSocket};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use aspenloft_core::errors::ErrorCode;
use aspenloft_core::execution::Execution;
use aspenloft_gateway::forwarding::{ForwardReply, ForwardRequest};
use aspenloft_gateway::peers::{CALLS_VERSION, Digest, DigestSupplement, PeerCall};
use aspenloft_gateway::roster::ServerRole::{Decode, Plain, Prefill};
use aspenloft_standin::network::Cut;
use aspenloft_transport::{frames, mesh};
use async_std::channel::Sender;
use async_std::task;
use async_trait::async_trait;
use bytes::{Bytes, BytesMut};
use common::peer::ScriptedPeer;
use common::{
    MemoryStore, READ_TIMEOUT, Scripted, TestHost, body, configuration, digest, entry, exchange,
    header, not_run, sealed, send_digest, status, wait_for,
};
use xxhash_rust::xxh3::xxh3_64;

const CUTS: [Cut; 3] = [Cut::Refused, Cut::Reset, Cut::Hanging];

/// How soon after the cut requests are to be served as before.
const DETECTION_TIME: Duration = Duration::from_secs(1);

/// Hosts in front of plain servers and engines.
struct Deployment {
    hosts: Vec<TestHost>,
    servers: Vec<Scripted>,
}

impl Deployment {
    fn start(hosts: usize) -> Deployment {
        let store = Arc::new(MemoryStore::default());
        store.write("configuration", &configuration(1));
        let servers: Vec<Scripted> = (0..8).map(|n| Scripted::start(respond_as(n))).collect();
        for (n, server) in servers.iter().enumerate() {
            let role = [Plain, Plain, Plain, Prefill, Prefill, Decode, Decode, Decode][n];
            store.write(&format!("servers/s{n}"), &entry(&format!("s{n}"), server.addr, role));
        }
        Deployment { hosts: start_hosts(&store, hosts), servers }
    }

    /// Sends calls and model requests to host 0 for `span`, each as soon as it comes, and
    /// returns how many were sent and how many served whole.
    fn send_for(&self, span: Duration) -> (usize, usize) {
        let began = Instant::now();
        let served = AtomicUsize::new(0);
        let mut sent = 0;
        std::thread::scope(|scope| {
            while began.elapsed() < span {
                sent += 1;
                let served = &served;
                scope.spawn(move || {
                    let response = self.send(sent);
                    let is_whole = body(&response) == "done" || response.ends_with("0\r\n\r\n");
                    let is_served = status(&response) == "200" && is_whole;
                    served.fetch_add(usize::from(is_served), Ordering::SeqCst);
                });
                std::thread::sleep(Duration::from_millis(20));
            }
        });
        (sent, served.into_inner())
    }

    fn send(&self, number: usize) -> String {
        let path = ["/once/", "/many/", "/stream/", "/resume/"][number % 4];
        let tokens = if number % 4 > 1 { "tokens: 100,50\r\n" } else { "" };
        self.hosts[0].send(&format!(
            "POST {path} HTTP/1.1\r\nhost: app.test\r\nid: r{number}\r\n{tokens}\
             content-length: 4\r\n\r\nbody"
        ))
    }
}

/// Starts hosts that know each other.
fn start_hosts(store: &Arc<MemoryStore>, count: usize) -> Vec<TestHost> {
    let start = |n: usize| TestHost::start(&format!("h{n}"), store.for_another_host());
    let hosts: Vec<TestHost> = (0..count).map(start).collect();
    for host in &hosts {
        host.network.relay_connections();
        host.wait_ready();
    }
    std::thread::sleep(Duration::from_millis(500));
    hosts
}

/// Starts two hosts in front of plain servers with `script`. The first is cut off from them and
/// knows it.
fn start_cut_off(
    script: impl Fn(usize, &str) -> Vec<u8> + Clone + Send + Sync + 'static,
) -> (Vec<TestHost>, Vec<Scripted>) {
    let store = Arc::new(MemoryStore::default());
    store.write("configuration", &configuration(1));
    let servers: Vec<Scripted> = (0..3).map(|_| Scripted::start(script.clone())).collect();
    for (n, server) in servers.iter().enumerate() {
        store.write(&format!("servers/s{n}"), &entry(&format!("s{n}"), server.addr, Plain));
    }
    let hosts = start_hosts(&store, 2);
    hosts[0].network.cut(Cut::Refused, &[]);
    for n in 0..3 {
        call(&hosts[0], "/once/", &format!("first{n}"), "");
    }
    wait_for("the servers to answer", || servers.iter().map(Scripted::count).sum::<usize>() >= 3);
    (hosts, servers)
}

fn call(host: &TestHost, path: &str, id: &str, headers: &str) -> String {
    host.send(&format!(
        "POST {path} HTTP/1.1\r\nhost: app.test\r\nid: {id}\r\n{headers}content-length: 1\r\n\r\nx"
    ))
}

/// Returns how often hosts have answered requests that this one has forwarded.
fn forwarded(host: &TestHost) -> u64 {
    let page = exchange(host.settings.listen.metrics, b"GET / HTTP/1.1\r\nhost: h\r\n\r\n");
    let lines = page.lines().filter(|l| l.starts_with("aspenloft_gateway_forwarded_total"));
    let answered = lines.filter(|l| l.contains("answered"));
    answered.filter_map(|l| l.rsplit(' ').next()?.parse::<f64>().ok()).sum::<f64>() as u64
}

/// Has `host` serve a request of another host and returns its first reply.
fn forward_to(host: &TestHost, configuration: u64) -> ForwardReply {
    let req = ForwardRequest {
        method: "POST".to_string(),
        target: "/once/".to_string(),
        headers: vec![("host".to_string(), Bytes::from("app.test"))],
        body: Bytes::new(),
        configuration,
        age: Duration::ZERO,
        remaining: Duration::from_secs(1),
        is_counted: false,
        runs: 0,
    };
    let mut buf = BytesMut::new();
    frames::encode(&PeerCall::Forward(Box::new(req)), &mut buf).expect("a call");
    let link = mesh::PeerLink::new(host.settings.listen.peers, Arc::default());
    let reply = task::block_on(async {
        let connection = link.connection().await.expect("a connection");
        let mut call = connection.call(buf.freeze()).await.expect("a call");
        call.next().await.expect("a reply").expect("a whole reply")
    });
    frames::decode(&reply).expect("a reply")
}

/// Returns the script of server `number`: a call, a prefill or a stream of three events.
fn respond_as(number: usize) -> impl Fn(usize, &str) -> Vec<u8> + Send + Sync + 'static {
    move |_, req| match number {
        0..3 => sealed(req, "200 OK", "done"),
        3 | 4 => sealed(req, "200 OK", "handle"),
        _ => {
            let id = common::header(req, "id").unwrap_or_default();
            let events: String = (1..=3)
                .map(|n| format!("id: {n}\ndata: token\n\n"))
                .map(|event| format!("{:x}\r\n{event}\r\n", event.len()))
                .collect();
            format!(
                "HTTP/1.1 200 OK\r\nid: {id}\r\nseal: s\r\ntransfer-encoding: chunked\r\n\r\n\
                 {events}0\r\n\r\n"
            )
            .into_bytes()
        }
    }
}

// A host answered from what it could reach itself.
#[test]
fn a_host_that_is_cut_off_from_all_servers_serves_through_others() {
    for cut in CUTS {
        let deployment = Deployment::start(3);
        deployment.send_for(Duration::from_millis(300));
        deployment.hosts[0].network.cut(cut, &[]);
        deployment.send_for(DETECTION_TIME);
        let (sent, served) = deployment.send_for(Duration::from_secs(2));
        assert!(served * 100 >= sent * 95, "{cut:?}: {served} of {sent} served");
    }
}

#[test]
fn a_forwarded_call_reports_whether_it_has_run() {
    type Script = fn(usize, &str) -> Vec<u8>;
    let cases: [(&str, Script, &str); 4] = [
        ("answers", |_, req| sealed(req, "201 Created", "done"), "201"),
        ("refuses", |_, req| not_run(req), "503"),
        ("closes without a response", |_, _| Vec::new(), "502"),
        ("returns an error itself", |_, req| sealed(req, "500 Broken", "why"), "500"),
    ];
    for (what, script, expected) in cases {
        let (hosts, servers) = start_cut_off(script);
        let before: usize = servers.iter().map(Scripted::count).sum();
        let response = call(&hosts[0], "/once/", "a", "x-own: 1\r\n");
        assert_eq!(status(&response), expected, "a server that {what}: {response}");
        let seen: Vec<String> = servers.iter().flat_map(|s| s.seen.lock().clone()).collect();
        assert!(seen.len() > before, "a server that {what}");
        let req = seen.iter().find(|req| header(req, "id").as_deref() == Some("a"));
        let req = req.expect("the request");
        assert!(req.ends_with("\r\n\r\nx") && req.contains("x-own: 1\r\n"), "{req}");
    }
}

#[test]
fn the_remaining_time_is_forwarded() {
    let (hosts, servers) = start_cut_off(|_, req| sealed(req, "200 OK", "done"));
    assert_eq!(status(&call(&hosts[0], "/once/", "a", "wait-ms: 600\r\n")), "200");
    let seen: Vec<String> = servers.iter().flat_map(|s| s.seen.lock().clone()).collect();
    let req = seen.iter().find(|req| header(req, "id").as_deref() == Some("a")).expect("it");
    let left: u64 = header(req, "wait-ms").and_then(|ms| ms.parse().ok()).expect("a time");
    assert!((500..=600).contains(&left), "{left} ms");
}

// Hosts that were leaving but still served were left out.
#[test]
fn a_host_that_is_cut_off_finds_no_host_while_all_others_leave() {
    let (hosts, _servers) = start_cut_off(|_, req| sealed(req, "200 OK", "done"));
    hosts[1].leave(Duration::from_secs(60));
    std::thread::sleep(Duration::from_millis(500));
    let response = call(&hosts[0], "/once/", "a", "");
    assert_eq!(status(&response), "200", "{response}");
}

#[test]
fn a_forwarded_call_is_cancelled_when_its_caller_disconnects() {
    let (tx, rx) = std::sync::mpsc::channel();
    let store = Arc::new(MemoryStore::default());
    store.write("configuration", &configuration(1));
    let servers: Vec<Scripted> = (0..3)
        .map(|_| {
            let tx = tx.clone();
            Scripted::serve(move |_, req, stream| {
                if header(req, "id").as_deref() != Some("waiting") {
                    return stream.write_all(&sealed(req, "200 OK", "done")).is_ok();
                }
                let _ = tx.send("arrived");
                stream.set_read_timeout(Some(READ_TIMEOUT)).expect("timeout");
                if matches!(stream.read(&mut [0; 16]), Ok(0) | Err(_)) {
                    let _ = tx.send("ended");
                }
                false
            })
        })
        .collect();
    for (n, server) in servers.iter().enumerate() {
        store.write(&format!("servers/s{n}"), &entry(&format!("s{n}"), server.addr, Plain));
    }
    let hosts = start_hosts(&store, 2);
    hosts[0].network.cut(Cut::Refused, &[]);
    let mut caller = TcpStream::connect(hosts[0].callers).expect("connect");
    let req = "POST /once/ HTTP/1.1\r\nhost: app.test\r\nid: waiting\r\ncontent-length: 0\r\n\r\n";
    caller.write_all(req.as_bytes()).expect("send");
    assert_eq!(rx.recv_timeout(READ_TIMEOUT), Ok("arrived"));
    let disconnected_at = Instant::now();
    drop(caller);
    assert_eq!(rx.recv_timeout(READ_TIMEOUT), Ok("ended"));
    assert!(disconnected_at.elapsed() < Duration::from_millis(400));
}

#[test]
fn a_forwarded_response_that_breaks_off_does_not_look_complete() {
    let script = |_: usize, req: &str| {
        let id = header(req, "id").unwrap_or_default();
        let mut response =
            format!("HTTP/1.1 200 OK\r\nid: {id}\r\nseal: s\r\ncontent-length: 200000\r\n\r\n");
        response.push_str(&"x".repeat(if id.starts_with("first") { 200_000 } else { 150_000 }));
        response.into_bytes()
    };
    let (hosts, _servers) = start_cut_off(script);
    let whole = call(&hosts[0], "/once/", "first9", "");
    assert_eq!((status(&whole).as_str(), body(&whole).len()), ("200", 200_000));
    // A server that sends less than it promised keeps its connection.
    let cut = call(&hosts[0], "/once/", "cut", "wait-ms: 500\r\n");
    assert_ne!(status(&cut), "200", "{} bytes", body(&cut).len());
}

#[test]
fn hosts_that_are_all_cut_off_reject_at_once() {
    let (hosts, servers) = start_cut_off(|_, req| sealed(req, "200 OK", "done"));
    hosts[1].network.cut(Cut::Reset, &[]);
    for n in 0..4 {
        call(&hosts[1], "/once/", &format!("second{n}"), "");
    }
    std::thread::sleep(Duration::from_millis(500));
    let before: usize = servers.iter().map(Scripted::count).sum();
    for host in &hosts {
        let began = Instant::now();
        let response = call(host, "/once/", "a", "");
        assert_eq!(status(&response), "503", "{response}");
        assert!(header(&response, "retry-after").is_some(), "{response}");
        assert!(began.elapsed() < Duration::from_millis(300), "{:?}", began.elapsed());
    }
    assert_eq!(servers.iter().map(Scripted::count).sum::<usize>(), before);
}

#[test]
fn a_host_that_is_cut_off_or_behind_takes_no_forwarded_request() {
    let (hosts, _servers) = start_cut_off(|_, req| sealed(req, "200 OK", "done"));
    for (host, version, what) in [(0, 1, "cut off"), (1, 2, "behind")] {
        let reply = forward_to(&hosts[host], version);
        assert!(
            matches!(&reply, ForwardReply::Failed(e) if e.execution == Execution::NotRun
            && e.code == ErrorCode::NotReady),
            "a host that is {what}: {reply:?}"
        );
    }
    assert!(matches!(forward_to(&hosts[1], 1), ForwardReply::Head(200, ..)));
}

#[test]
fn the_own_path_is_used_again_after_a_cut() {
    let (hosts, _servers) = start_cut_off(|_, req| sealed(req, "200 OK", "done"));
    assert_eq!(status(&call(&hosts[0], "/once/", "a", "")), "200");
    hosts[0].network.heal();
    std::thread::sleep(Duration::from_secs(1));
    let before = forwarded(&hosts[0]);
    assert!(before > 0);
    for n in 0..20 {
        assert_eq!(status(&call(&hosts[0], "/once/", &format!("b{n}"), "")), "200");
    }
    assert_eq!(forwarded(&hosts[0]), before);
}

#[test]
fn hosts_of_the_previous_build_get_no_forwarded_requests() {
    let server = Scripted::start(|_, req| sealed(req, "200 OK", "done"));
    let host = TestHost::with_servers(&[entry("s1", server.addr, Plain)]);
    let peer = ScriptedPeer::start();
    peer.send_digests(&host, "h2", host.store.revision());
    host.network.cut(Cut::Refused, &[]);
    std::thread::sleep(Duration::from_millis(300));
    assert_eq!(status(&call(&host, "/once/", "a", "")), "503");
    assert_eq!(peer.calls(), 0);
}

// Two hosts' reports made all others avoid a server that only these two could not reach.
#[test]
fn reports_of_others_keep_no_host_from_a_server_that_it_reaches() {
    let deployment = Deployment::start(1);
    let host = &deployment.hosts[0];
    deployment.send_for(Duration::from_millis(500));
    let engine = &deployment.servers[5];
    let peer = ScriptedPeer::start();
    let target = host.settings.listen.peers;
    let revision = host.store.revision();
    std::thread::scope(|scope| {
        scope.spawn(|| {
            for seq in 1..40 {
                for name in ["x1", "x2"] {
                    let unreachable = vec![xxh3_64(b"s5") ^ 1];
                    let digest = digest(name, peer.addr, revision);
                    send_digest(target, &Digest { seq, unreachable, ..digest });
                }
                std::thread::sleep(Duration::from_millis(25));
            }
        });
        std::thread::sleep(Duration::from_millis(100));
        let before = engine.count();
        let (sent, served) = deployment.send_for(Duration::from_millis(700));
        assert_eq!(served, sent);
        let arrived = engine.count() - before;
        assert!(arrived * 12 >= sent, "{arrived} of {sent} requests, of which half are streams");
    });
}

#[test]
fn a_forwarded_response_is_like_a_direct_one() {
    let script = |_: usize, req: &str| {
        let id = header(req, "id").unwrap_or_default();
        format!("HTTP/1.1 204 No Content\r\nid: {id}\r\nseal: s\r\n\r\n").into_bytes()
    };
    let (hosts, _servers) = start_cut_off(script);
    let forwarded = call(&hosts[0], "/once/", "a", "");
    let direct = call(&hosts[1], "/once/", "a", "");
    assert_eq!(status(&forwarded), "204", "{forwarded}");
    let without_date =
        |response: &str| response.lines().filter(|l| !l.starts_with("date")).collect::<String>();
    assert_eq!(without_date(&forwarded), without_date(&direct));
}

/// A host that takes forwarded requests and does not answer them.
struct Unanswering(Arc<AtomicUsize>);

#[async_trait]
impl mesh::FrameHandler for Unanswering {
    async fn handle(&self, _body: Bytes, _tx: Sender<Bytes>) {
        self.0.fetch_add(1, Ordering::SeqCst);
    }
}

// The error of the own attempts, which had reached no server, was passed on.
#[test]
fn a_call_that_may_have_run_at_another_host_is_not_called_not_run() {
    let server = Scripted::start(|_, req| sealed(req, "200 OK", "done"));
    let host = TestHost::with_servers(&[entry("s1", server.addr, Plain)]);
    let calls = Arc::<AtomicUsize>::default();
    let listener = task::block_on(async_std::net::TcpListener::bind("127.0.0.1:0")).expect("bind");
    let addr = listener.local_addr().expect("address");
    task::spawn(mesh::serve(listener, Arc::new(Unanswering(calls.clone()))));
    let (target, revision) = (host.settings.listen.peers, host.store.revision());
    std::thread::spawn(move || {
        let socket = UdpSocket::bind("127.0.0.1:0").expect("bind");
        for seq in 1..100 {
            let mut buf = BytesMut::new();
            let digest = Digest { seq, ..digest("x1", addr, revision) };
            let supplement =
                DigestSupplement { calls: CALLS_VERSION, configuration: 1, ..Default::default() };
            frames::encode(&digest, &mut buf).expect("a digest");
            frames::encode(&supplement, &mut buf).expect("a supplement");
            let _ = socket.send_to(&buf, target);
            std::thread::sleep(Duration::from_millis(20));
        }
    });
    std::thread::sleep(Duration::from_millis(200));
    host.network.cut(Cut::Refused, &[]);
    let response = call(&host, "/many/", "a", "");
    assert!(calls.load(Ordering::SeqCst) > 0, "{response}");
    assert_eq!(status(&response), "502", "{response}");
}
