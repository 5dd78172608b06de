//! Tests that the hosts of a deployment together keep the rate of requests that a backend
//! server names in its responses.

mod common;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use aspenloft_gateway::roster::ServerRole::Plain;
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
}

impl LimitedServer {
    fn start(per_s: f64) -> LimitedServer {
        let arrivals = Arc::<Mutex<Vec<Instant>>>::default();
        let log = arrivals.clone();
        let server = Scripted::start(move |_, req| {
            log.lock().push(Instant::now());
            let response = String::from_utf8(sealed(req, "200 OK", "limited")).expect("text");
            response.replacen("\r\n", &format!("\r\nlimit: {per_s}\r\n"), 1).into_bytes()
        });
        LimitedServer { server, arrivals }
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
