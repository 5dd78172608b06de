//! Tests that the hosts of a deployment together keep the rate of requests that a backend
//! server names in its responses.

mod common;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use aspenloft_gateway::roster::ServerEntry;
use aspenloft_gateway::roster::ServerRole::{self, Plain};
use common::peer::ScriptedPeer;
use common::{MemoryStore, Scripted, TestHost, configuration, entry, sealed};
use parking_lot::Mutex;

/// How long after a server first names its limit hosts must keep it.
const NOTICE_PERIOD: Duration = Duration::from_secs(3);

/// The span over which the platform counts a server's requests.
const WINDOW: Duration = Duration::from_secs(4);

/// Returns the most requests that a server with a limit of `per_s` may get in [`WINDOW`].
fn allowed(per_s: f64) -> usize {
    (1.5 * per_s * WINDOW.as_secs_f64() + 5.0) as usize
}

/// A server that names a limit, and the times at which requests arrived at it.
struct LimitedServer {
    server: Scripted,
    arrivals: Arc<Mutex<Vec<Instant>>>,
    limit: Arc<Mutex<Option<String>>>,
}

impl LimitedServer {
    fn start(per_s: f64) -> LimitedServer {
        let arrivals = Arc::<Mutex<Vec<Instant>>>::default();
        let limit = Arc::new(Mutex::new(Some(per_s.to_string())));
        let (log, named) = (arrivals.clone(), limit.clone());
        let server = Scripted::start(move |_, req| {
            log.lock().push(Instant::now());
            match &*named.lock() {
                Some(limit) => with_limit(sealed(req, "200 OK", "limited"), limit),
                None => sealed(req, "200 OK", "unlimited"),
            }
        });
        LimitedServer { server, arrivals, limit }
    }

    /// Returns the number of requests that arrived after `since`.
    fn count_since(&self, since: Instant) -> usize {
        self.arrivals.lock().iter().filter(|at| **at > since).count()
    }

    /// Returns the most requests in any [`WINDOW`] that began after the limit was in force.
    fn most_in_window(&self) -> usize {
        let arrivals = self.arrivals.lock();
        let Some(first) = arrivals.first() else { return 0 };
        let bound: Vec<Instant> =
            arrivals.iter().filter(|at| **at >= *first + NOTICE_PERIOD).copied().collect();
        let in_window =
            |from: &Instant| bound.iter().filter(|at| *at >= from && **at < *from + WINDOW).count();
        bound.iter().map(in_window).max().unwrap_or(0)
    }
}

/// Returns `response` with a header that names `limit`.
fn with_limit(response: Vec<u8>, limit: &str) -> Vec<u8> {
    let response = String::from_utf8(response).expect("text");
    response.replacen("\r\n", &format!("\r\nlimit: {limit}\r\n"), 1).into_bytes()
}

/// Starts hosts with these names that follow one store with `servers` in it.
fn start_hosts(names: &[&str], servers: &[(&str, &Scripted)]) -> Vec<TestHost> {
    let store = Arc::new(MemoryStore::default());
    store.write("configuration", &configuration(1));
    for (name, server) in servers {
        store.write(&format!("servers/{name}"), &entry(name, server.addr, Plain));
    }
    let hosts: Vec<TestHost> =
        names.iter().map(|name| TestHost::start(name, store.for_another_host())).collect();
    hosts.iter().for_each(TestHost::wait_ready);
    hosts
}

/// Sends requests to all hosts for `span`, each host one every `pause`, and returns the
/// responses.
fn send_for(hosts: &[TestHost], span: Duration, pause: Duration) -> Vec<String> {
    let end = Instant::now() + span;
    let done = AtomicBool::new(false);
    let responses = Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for (number, host) in hosts.iter().enumerate() {
            let (done, responses) = (&done, &responses);
            scope.spawn(move || {
                for sent in 0.. {
                    if done.load(Ordering::SeqCst) || Instant::now() >= end {
                        done.store(true, Ordering::SeqCst);
                        return;
                    }
                    let id = format!("r{number}-{sent}");
                    let req = format!("GET /many/ HTTP/1.1\r\nhost: app.test\r\nid: {id}\r\n\r\n");
                    let response = host.send(&req);
                    responses.lock().push(response);
                    std::thread::sleep(pause);
                }
            });
        }
    });
    responses.into_inner()
}

/// Each host sent a server with a limit as many requests as one without.
#[test]
fn hosts_together_exceed_the_limit_of_a_server() {
    let limited = LimitedServer::start(3.0);
    let other = Scripted::start(|_, req| sealed(req, "200 OK", "other"));
    let servers = [("s1", &limited.server), ("s2", &other)];
    let hosts = start_hosts(&["h1", "h2", "h3"], &servers);
    let responses = send_for(&hosts, Duration::from_secs(8), Duration::from_millis(40));
    let failed = responses.iter().filter(|r| common::status(r) != "200").count();
    assert_eq!(failed, 0, "of {} requests", responses.len());
    let most = limited.most_in_window();
    assert!(most <= allowed(3.0), "{most} requests in {WINDOW:?}, allowed {}", allowed(3.0));
}

/// Each of the hosts that were leaving kept the limit for itself.
#[test]
fn hosts_that_leave_together_exceed_the_limit_of_a_server() {
    let limited = LimitedServer::start(10.0);
    let hosts = start_hosts(&["h1", "h2", "h3", "h4", "h5", "h6"], &[("s1", &limited.server)]);
    send_for(&hosts, Duration::from_millis(100), Duration::from_millis(20));
    std::thread::sleep(NOTICE_PERIOD);
    hosts.iter().for_each(|host| drop(host.leave(Duration::from_secs(60))));
    send_for(&hosts, Duration::from_secs(3), Duration::from_millis(5));
    let most = limited.most_in_window();
    assert!(most <= allowed(10.0), "{most} requests in {WINDOW:?}, allowed {}", allowed(10.0));
}

#[test]
fn requests_wait_without_end_when_all_servers_limit_them() {
    let limited = LimitedServer::start(2.0);
    let hosts = start_hosts(&["h1", "h2", "h3"], &[("s1", &limited.server)]);
    let began = Instant::now();
    let responses = send_for(&hosts, Duration::from_secs(8), Duration::from_millis(20));
    let took = began.elapsed();
    let (served, refused): (Vec<_>, Vec<_>) =
        responses.iter().partition(|r| common::status(r) == "200");
    assert!(refused.iter().all(|r| common::status(r) == "503"), "{refused:?}");
    for response in &refused {
        let after = common::header(response, "retry-after").expect("a Retry-After");
        let after: f64 = after.parse().expect("seconds");
        assert!((0.1..5.0).contains(&after), "{after}");
    }
    assert!(refused.len() > 300, "{} refusals at once in {took:?}", refused.len());
    assert!(served.len() >= 12, "{} served of 16 in {took:?}", served.len());
    let most = limited.most_in_window();
    assert!(most <= allowed(2.0), "{most} requests in {WINDOW:?}");
}

#[test]
fn a_lifted_limit_is_kept_on() {
    let limited = LimitedServer::start(2.0);
    let hosts = start_hosts(&["h1", "h2", "h3"], &[("s1", &limited.server)]);
    send_for(&hosts, Duration::from_secs(2), Duration::from_millis(20));
    *limited.limit.lock() = Some("many".to_string());
    let unreadable = Instant::now();
    send_for(&hosts, Duration::from_secs(2), Duration::from_millis(20));
    let count = limited.count_since(unreadable);
    assert!(count <= 12, "{count} requests after a limit that cannot be read");
    *limited.limit.lock() = None;
    send_for(&hosts, Duration::from_millis(1_500), Duration::from_millis(20));
    let lifted = Instant::now();
    let responses = send_for(&hosts, Duration::from_secs(1), Duration::from_millis(20));
    assert!(responses.iter().all(|r| common::status(r) == "200"));
    let count = limited.count_since(lifted);
    assert!(count > 60, "{count} requests in a second after the limit was lifted");
}

/// A host of the previous build answers any call with its view.
#[test]
fn a_host_of_the_previous_build_is_asked_for_permits() {
    let limited = LimitedServer::start(5.0);
    let host = start_hosts(&["h1"], &[("s1", &limited.server)]).remove(0);
    let peers: Vec<ScriptedPeer> = (0..6).map(|_| ScriptedPeer::start()).collect();
    for (number, peer) in peers.iter().enumerate() {
        peer.send_digests(&host, &format!("old-{number}"), 0);
    }
    std::thread::sleep(Duration::from_millis(200));
    let hosts = [host];
    let responses = send_for(&hosts, Duration::from_secs(4), Duration::from_millis(50));
    let served = responses.iter().filter(|r| common::status(r) == "200").count();
    assert!(served >= 14, "{served} served of 20");
    assert!(peers.iter().all(|peer| peer.calls() == 0));
}

/// An engine read prompts for which no decode engine accepted a request.
#[test]
fn prompts_are_read_before_the_decode_engine_permits_the_request() {
    let prefill = Scripted::start(|_, req| sealed(req, "200 OK", "kv"));
    let decode =
        Scripted::start(|_, req| with_limit(sealed(req, "200 OK", "id: 1\ndata: x\n\n"), "2"));
    let store = Arc::new(MemoryStore::default());
    store.write("configuration", &configuration(1));
    store.write("servers/p1", &entry("p1", prefill.addr, ServerRole::Prefill));
    store.write("servers/d1", &entry("d1", decode.addr, ServerRole::Decode));
    let host = TestHost::start("h1", store);
    host.wait_ready();
    let end = Instant::now() + Duration::from_secs(3);
    let mut sent = 0;
    while Instant::now() < end {
        sent += 1;
        let req = format!(
            "GET /stream/ HTTP/1.1\r\nhost: app.test\r\nid: g{sent}\r\ntokens: 100,10\r\n\r\n"
        );
        host.send(&req);
    }
    let read = prefill.seen.lock().iter().filter(|req| req.contains("phase: prefill")).count();
    let decoded = decode.count();
    assert!(decoded <= 9, "{decoded} requests in 3 s");
    assert!(decoded >= 5, "{decoded} requests in 3 s");
    assert!(read <= decoded + 1, "{read} prompts read for {decoded} requests");
}

/// Requests of one service waited in the queue behind those of another without capacity.
#[test]
fn the_limit_of_one_service_holds_up_another() {
    let stream = |req: &str| sealed(req, "200 OK", "id: 1\ndata: x\n\n");
    let limited = Scripted::start(move |_, req| with_limit(stream(req), "0.8"));
    let free = Scripted::start(move |_, req| stream(req));
    let store = Arc::new(MemoryStore::default());
    let mut two = configuration(1);
    two.services.insert("model-2".into(), two.services["model"].clone());
    let mut route = two.routes.iter().find(|r| &*r.name == "stream").expect("a route").clone();
    (route.name, route.path_prefix) = ("other".into(), "/other/".into());
    route.services = vec![("model-2".into(), 1)];
    two.routes.push(route);
    // Requests are kept in the queue in the order of arrival while they can meet their target.
    two.routes.iter_mut().for_each(|route| route.target_latency = Duration::from_millis(1_500));
    store.write("configuration", &two);
    store.write("servers/d1", &entry("d1", limited.addr, ServerRole::Decode));
    let other =
        ServerEntry { service: "model-2".into(), ..entry("d2", free.addr, ServerRole::Decode) };
    store.write("servers/d2", &other);
    let host = TestHost::start("h1", store);
    host.wait_ready();
    let generation = |path: &str, id: &str| {
        format!("GET {path} HTTP/1.1\r\nhost: app.test\r\nid: {id}\r\ntokens: 100,10\r\n\r\n")
    };
    assert_eq!(common::status(&host.send(&generation("/stream/", "first"))), "200");
    std::thread::scope(|scope| {
        for number in 0..4 {
            let (host, generation) = (&host, &generation);
            scope.spawn(move || host.send(&generation("/stream/", &format!("a{number}"))));
        }
        std::thread::sleep(Duration::from_millis(50));
        for number in 0..10 {
            let began = Instant::now();
            let response = host.send(&generation("/other/", &format!("b{number}")));
            assert_eq!(common::status(&response), "200", "{response}");
            assert!(began.elapsed() < Duration::from_millis(300), "{:?}", began.elapsed());
        }
    });
}

/// The request for a server with a limit as good as none panicked, and its caller's connection
/// was closed without an answer, at the host that is the server's home and at all others.
#[test]
fn requests_for_a_server_with_a_high_limit_are_not_answered() {
    for limit in ["4294967295", "1e18", "1.7976931348623157e308", "inf", "nan", "-5", "1e-320"] {
        let limited = LimitedServer::start(1.0);
        *limited.limit.lock() = Some(limit.to_string());
        let failing = Scripted::start(|_, req| sealed(req, "500 Internal Server Error", "own"));
        let servers = [("s1", &limited.server), ("s2", &failing)];
        let hosts = start_hosts(&["h1", "h2"], &servers);
        let responses = send_for(&hosts, Duration::from_secs(1), Duration::from_millis(20));
        let unanswered = responses.iter().filter(|r| r.is_empty()).count();
        assert_eq!(unanswered, 0, "of {} with a limit of {limit}", responses.len());
        assert!(responses.iter().any(|r| common::status(r) == "200"), "{limit}: {responses:?}");
    }
}
