//! Tests of parts of prompts that crash each engine which begins to answer a request with
//! them: few requests reach engines once some have crashed, and sound requests are served.

mod common;

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use aspenloft_gateway::roster::ServerRole::{Decode, Plain, Prefill};
use common::crashing::{CrashingEngine, EngineLog};
use common::{MemoryStore, Scripted, TestHost, configuration, entry, sealed, status};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// How long hosts may take to learn of the crashes.
const STABLE_WINDOW: Duration = Duration::from_secs(3);

/// The number of crashes after which requests are counted, and how many are allowed.
const COUNTED_CRASHES: usize = 5;
const MAX_ARRIVALS: usize = 3;

/// Hosts in front of engines that crash by some parts.
struct Deployment {
    hosts: Vec<TestHost>,
    engines: Vec<Arc<CrashingEngine>>,
    log: Arc<EngineLog>,
    _prefill: Vec<Scripted>,
}

impl Deployment {
    fn start(hosts: usize, engines: usize, crashing_parts: &[&str]) -> Deployment {
        let store = Arc::new(MemoryStore::default());
        store.write("configuration", &configuration(1));
        let log = Arc::<EngineLog>::default();
        let prefill: Vec<Scripted> =
            (0..2).map(|_| Scripted::start(|_, req| sealed(req, "200 OK", "handle"))).collect();
        for (number, engine) in prefill.iter().enumerate() {
            let name = format!("p{number}");
            store.write(&format!("servers/{name}"), &entry(&name, engine.addr, Prefill));
        }
        let engines = (0..engines)
            .map(|n| CrashingEngine::start(&format!("d{n}"), Decode, &store, crashing_parts, &log))
            .collect();
        let hosts: Vec<TestHost> = (0..hosts)
            .map(|number| TestHost::start(&format!("h{number}"), store.for_another_host()))
            .collect();
        for host in &hosts {
            host.wait_ready();
        }
        // Hosts find each other.
        std::thread::sleep(Duration::from_millis(500));
        Deployment { hosts, engines, log, _prefill: prefill }
    }

    /// Sends request `number` with these parts in its prompt, and one of its own, to a host.
    /// `*N` stands for N more parts of its own. Returns its status, or an empty text if its
    /// stream broke.
    fn send(&self, number: usize, parts: &str) -> String {
        let host = &self.hosts[number % self.hosts.len()];
        let parts = with_own_parts(number, parts);
        let body = format!("{parts} {number}");
        let response = host.send(&format!(
            "POST /resume/ HTTP/1.1\r\nhost: app.test\r\nid: r{number}\r\ntokens: 100,50\r\n\
             parts: {parts}\r\ncontent-length: {}\r\n\r\n{body}",
            body.len()
        ));
        let is_whole = response.ends_with("0\r\n\r\n") || status(&response) != "200";
        if is_whole { status(&response) } else { String::new() }
    }

    /// Sends one request with `parts` and one sound one every 60 ms until `done` holds, and
    /// returns the share of the sound ones that were served.
    fn send_until(&self, next: &mut usize, parts: &str, done: impl Fn(&Deployment) -> bool) -> f64 {
        let (mut sent, mut served) = (0, 0);
        while !done(self) {
            assert!(*next < 2_000, "the crashes take too long");
            *next += 1;
            self.send(*next, parts);
            *next += 1;
            sent += 1;
            served += usize::from(self.send(*next, "aa,5e") == "200");
            std::thread::sleep(Duration::from_millis(60));
        }
        f64::from(served as u32) / f64::from(sent.max(1))
    }

    fn arrivals(&self) -> usize {
        self.log.crashing_arrivals.load(Ordering::SeqCst)
    }

    fn crashes(&self) -> usize {
        self.log.crashes.load(Ordering::SeqCst)
    }
}

/// Replaces each `*N` in `parts` by N parts that no other request has.
fn with_own_parts(number: usize, parts: &str) -> String {
    let mut own =
        (0u64..).map(|n| format!("{:016x}", xxh3_64_with_seed(&[1], n ^ (number as u64) << 32)));
    let expanded = parts.split(',').flat_map(|part| match part.strip_prefix('*') {
        Some(count) => own.by_ref().take(count.parse().expect("a number")).collect(),
        None => vec![part.to_string()],
    });
    expanded.collect::<Vec<_>>().join(",")
}

fn elapsed(duration: Duration) -> impl Fn(&Deployment) -> bool {
    let began = Instant::now();
    move |_| began.elapsed() >= duration
}

/// Has requests with `parts` crash engines, and checks that they are then held back and
/// sound ones served.
fn check_held_back(hosts: usize, parts: &str) {
    let deployment = Deployment::start(hosts, 6, &["bad"]);
    let mut next = 0;
    // Once fewer engines have crashed, requests are held back already.
    let enough = |d: &Deployment| d.crashes() >= COUNTED_CRASHES;
    let given_up = elapsed(Duration::from_secs(4));
    deployment.send_until(&mut next, parts, |d| enough(d) || given_up(d));
    deployment.send_until(&mut next, parts, elapsed(STABLE_WINDOW));
    let before = deployment.arrivals();
    let share = deployment.send_until(&mut next, parts, elapsed(STABLE_WINDOW));
    let arrivals = deployment.arrivals() - before;
    assert!(arrivals <= MAX_ARRIVALS, "{arrivals} arrivals, {} crashes", deployment.crashes());
    assert!(share >= 0.95, "{share} of the sound requests with the same first part served");
}

// What was counted was the whole request, and no two with the part were alike.
#[test]
fn requests_with_a_part_that_crashes_engines_are_held_back_at_all_hosts() {
    check_held_back(3, "aa,bad");
}

#[test]
fn a_crashing_part_is_found_wherever_it_stands() {
    check_held_back(2, "bad,5e");
}

#[test]
fn a_crashing_part_is_found_beside_parts_that_nobody_else_has() {
    check_held_back(2, "aa,cc,bad,dd");
}

#[test]
fn a_crashing_part_is_found_in_long_prompts() {
    check_held_back(3, "aa,*65,bad,*3");
}

// A crash with many parts did not fit into a digest, and was told to no other host.
#[test]
fn crashes_by_long_prompts_at_different_hosts_do_not_add_up() {
    let deployment = Deployment::start(4, 6, &["bad"]);
    for number in 0..4 {
        deployment.send(number, "aa,*65,bad,*3");
        deployment.send(100 + number, "aa,5e");
        std::thread::sleep(Duration::from_millis(600));
    }
    assert!(deployment.crashes() >= 3, "one at each of three hosts");
    std::thread::sleep(Duration::from_millis(1_500));
    let before = deployment.arrivals();
    for number in 4..8 {
        deployment.send(number, "aa,*65,bad,*3");
    }
    let arrivals = deployment.arrivals() - before;
    assert!(arrivals <= 1, "{arrivals} requests reached engines, one trial is allowed");
}

// The other hosts knew of the crashes, but the new one had to see its own.
#[test]
fn a_host_that_starts_later_holds_back_requests_with_the_part() {
    let mut deployment = Deployment::start(2, 6, &["bad"]);
    let mut next = 0;
    deployment.send_until(&mut next, "aa,bad", elapsed(Duration::from_secs(4)));
    let store = deployment.hosts[0].store.for_another_host();
    let late = TestHost::start("h9", store);
    late.wait_ready();
    std::thread::sleep(Duration::from_secs(1));
    deployment.hosts = vec![late];
    let before = deployment.arrivals();
    deployment.send_until(&mut next, "aa,bad", elapsed(Duration::from_secs(2)));
    assert!(deployment.arrivals() <= before + 1, "{} arrivals", deployment.arrivals() - before);
}

// Sound requests that were on the engines would be held back for good.
#[test]
fn engines_that_are_killed_together_convict_no_part() {
    let deployment = Deployment::start(3, 10, &[]);
    let mut next = 0;
    for _ in 0..5 {
        deployment.send_until(&mut next, "aa,5e", elapsed(Duration::from_millis(800)));
        for engine in deployment.engines.iter().take(6) {
            engine.crash();
        }
    }
    deployment.send_until(&mut next, "aa,5e", elapsed(Duration::from_secs(1)));
    let share = deployment.send_until(&mut next, "aa,5e", elapsed(Duration::from_secs(2)));
    assert!(share > 0.99, "{share} of the requests served");
}

// Only model requests were counted.
#[test]
fn a_call_that_crashes_plain_servers_is_held_back_when_it_is_sent_again() {
    let store = Arc::new(MemoryStore::default());
    store.write("configuration", &configuration(1));
    let log = Arc::<EngineLog>::default();
    let start = |n: usize| CrashingEngine::start(&format!("s{n}"), Plain, &store, &["bad"], &log);
    let _servers: Vec<_> = (0..6).map(start).collect();
    let host = TestHost::start("h1", store.clone());
    host.wait_ready();
    let send = |path: &str, id: usize, body: &str| {
        status(&host.send(&format!(
            "POST {path} HTTP/1.1\r\nhost: app.test\r\nid: c{id}\r\nparts: {body}\r\n\
             content-length: {}\r\n\r\n{body}",
            body.len()
        )))
    };
    for path in ["/once/", "/many/"] {
        let (crashes, arrivals) = (&log.crashes, &log.crashing_arrivals);
        let (crashed, arrived) = (crashes.load(Ordering::SeqCst), arrivals.load(Ordering::SeqCst));
        for id in 0..20 {
            assert_ne!(send(path, id, "bad"), "200");
            assert_eq!(send(path, 100 + id, "good"), "200");
            std::thread::sleep(Duration::from_millis(60));
        }
        let crashed = crashes.load(Ordering::SeqCst) - crashed;
        let arrived = arrivals.load(Ordering::SeqCst) - arrived;
        assert!(crashed <= 4 && arrived <= 5, "{path}: {crashed} crashes, {arrived} arrivals");
    }
}
