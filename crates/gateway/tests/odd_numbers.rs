//! Tests that a host answers requests whatever numbers callers, the operator, servers and other
//! hosts send.

mod common;

use std::net::UdpSocket;
use std::sync::Arc;
use std::time::Duration;

use aspenloft_gateway::demand::DemandDigest;
use aspenloft_gateway::loads::{PrefillDigest, RunDigest};
use aspenloft_gateway::peers::DigestSupplement;
use aspenloft_gateway::roster::ServerRole::{self, Decode, Plain, Prefill};
use aspenloft_gateway::server_limits::LimitNotice;
use aspenloft_transport::frames;
use bytes::BytesMut;
use common::{
    MemoryStore, Scripted, TestHost, configuration, digest, entry, free_addr, sealed, status,
};
use xxhash_rust::xxh3::xxh3_64;

/// Counts at and around the limits of their types.
const COUNTS: [u64; 8] =
    [0, 1, 1 << 31, (1 << 32) - 1, 1 << 32, i64::MAX as u64, u64::MAX - 1, u64::MAX];

/// Times at and around the limits of what a duration and a sum of two points in time hold.
const PERIODS: [Duration; 5] = [
    Duration::ZERO,
    Duration::from_millis(u64::MAX),
    Duration::from_secs(i64::MAX as u64),
    Duration::from_secs(u64::MAX),
    Duration::MAX,
];

fn call(number: usize) -> String {
    format!("GET /many/ HTTP/1.1\r\nhost: app.test\r\nid: c{number}\r\n\r\n")
}

fn generation(id: &str, headers: &str) -> String {
    format!(
        "POST /stream/ HTTP/1.1\r\nhost: app.test\r\nid: {id}\r\n{headers}content-length: 2\r\n\r\nhi"
    )
}

/// Servers of both services.
fn servers() -> [(Scripted, &'static str, ServerRole); 3] {
    let answer = |_, req: &str| sealed(req, "200 OK", "done");
    let events = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
    let decode = move |_, req: &str| sealed(req, "200 OK", events);
    [
        (Scripted::start(answer), "plain", Plain),
        (Scripted::start(|_, req| sealed(req, "200 OK", "handle")), "prefill", Prefill),
        (Scripted::start(decode), "decode", Decode),
    ]
}

fn start_host(
    store: &Arc<MemoryStore>,
    servers: &[(Scripted, &'static str, ServerRole)],
) -> TestHost {
    for (server, name, role) in servers {
        store.write(&format!("servers/{name}"), &entry(name, server.addr, *role));
    }
    let host = TestHost::start("h1", store.clone());
    host.wait_ready();
    host
}

/// Asserts that the host serves calls and model requests as usual.
fn assert_serves(host: &TestHost, what: &str) {
    assert_eq!(status(&host.send(&call(0))), "200", "a call after {what}");
    let response = host.send(&generation("g", "tokens: 100,20\r\n"));
    assert_eq!(status(&response), "200", "a model request after {what}: {response}");
    assert!(response.contains("data: b"), "a model request after {what}: {response}");
}

/// Streams whose callers allow any number of tokens were cut after the first events.
#[test]
fn numbers_of_callers_cut_requests() {
    let store = Arc::<MemoryStore>::default();
    store.write("configuration", &configuration(1));
    let servers = servers();
    let host = start_host(&store, &servers);
    for (i, count) in COUNTS.into_iter().enumerate() {
        for (j, headers) in [
            format!("tokens: 100,{count}\r\n"),
            format!("tokens: {count},20\r\n"),
            format!("tokens: {count},{count}\r\n"),
            format!("tokens: 100,20\r\nwait-ms: {count}\r\n"),
        ]
        .iter()
        .enumerate()
        {
            let response = host.send(&generation(&format!("g{i}-{j}"), headers));
            assert!(!response.is_empty(), "{headers:?} has no answer");
            let is_whole = response.contains("data: b") || status(&response) != "200";
            assert!(is_whole, "{headers:?}: {response}");
        }
        let allows_all = format!("tokens: 100,{count}\r\n");
        let response = host.send(&generation(&format!("all{i}"), &allows_all));
        assert_eq!(status(&response), "200", "{allows_all:?}: {response}");
        assert_serves(&host, &format!("{count}"));
    }
}

/// A route whose timeout a point in time cannot be moved by closed all its connections.
#[test]
fn long_times_of_a_configuration_close_connections() {
    for period in PERIODS.into_iter().skip(1) {
        let store = Arc::<MemoryStore>::default();
        let mut odd = configuration(1);
        for route in &mut odd.routes {
            (route.timeout, route.target_latency) = (period, period);
            route.max_attempts = u32::MAX;
        }
        (odd.limits.header_timeout, odd.limits.idle_timeout) = (period, period);
        odd.limits.max_header_bytes = usize::MAX;
        odd.limits.max_body_bytes = usize::MAX;
        for engine in odd.services.values_mut().filter_map(|s| s.engine.as_mut()) {
            engine.handle_life = period;
            (engine.slots, engine.memory_tokens) = (usize::MAX, u64::MAX);
            engine.tokens_per_event = u64::MAX;
        }
        store.write("configuration", &odd);
        let servers = servers();
        let host = start_host(&store, &servers);
        assert_serves(&host, &format!("times of {period:?}"));
    }
}

/// Sums of what other hosts report overflowed.
#[test]
fn numbers_of_other_hosts_stop_a_host() {
    let store = Arc::<MemoryStore>::default();
    store.write("configuration", &configuration(1));
    let servers = servers();
    let host = start_host(&store, &servers);
    let keys: Vec<u64> = {
        let key = |name: &str| xxh3_64(name.as_bytes()) ^ 1;
        servers.iter().map(|(_, name, _)| key(name)).collect()
    };
    let numbers = [f64::NAN, f64::INFINITY, f64::MAX, -1.0, 1e-320];
    for (seq, (count, number)) in COUNTS.into_iter().zip(numbers.into_iter().cycle()).enumerate() {
        let mut odd = digest("h9", free_addr(), 0);
        odd.seq = seq as u64 + 1;
        for server in keys.iter().copied() {
            let run = RunDigest { server, held: count, remaining: count };
            odd.loads.runs.extend([run, run]);
            let prefill = PrefillDigest { server, tokens: count };
            odd.loads.prefills.extend([prefill, prefill]);
        }
        odd.loads.waiting = usize::try_from(count).unwrap_or(usize::MAX);
        odd.demand = vec![DemandDigest {
            service: xxh3_64(b"model"),
            requests: count,
            prompt: number,
            answer: number,
            prefill_per_ms: number,
        }];
        let limits = keys.iter().map(|key| LimitNotice {
            server: *key,
            per_s: Some(number),
            age: Duration::from_millis(count),
        });
        let supplement =
            DigestSupplement { limits: limits.collect(), ..DigestSupplement::default() };
        let mut buf = BytesMut::new();
        frames::encode(&odd, &mut buf).expect("a digest");
        frames::encode(&supplement, &mut buf).expect("a supplement");
        let socket = UdpSocket::bind("127.0.0.1:0").expect("bind");
        socket.send_to(&buf, host.settings.listen.peers).expect("send");
        std::thread::sleep(Duration::from_millis(50));
        let response = host.send(&call(seq));
        assert!(!response.is_empty(), "no answer after a digest with {count} and {number}");
        let response = host.send(&generation(&format!("d{seq}"), "tokens: 100,20\r\n"));
        assert!(!response.is_empty(), "no answer after a digest with {count} and {number}");
    }
    // The other host is forgotten.
    std::thread::sleep(Duration::from_millis(3_500));
    assert_serves(&host, "the digests");
}
