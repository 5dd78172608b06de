//! Tests of the orders that change the roles of engines.

mod common;

use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use aspenloft_gateway::roster::ServerEntry;
use aspenloft_gateway::roster::ServerRole::{self, Decode, Prefill};
use aspenloft_standin::network::Cut;
use common::{Scripted, TestHost, entry, header, sealed, status, wait_for};

/// The orders that the prefill engines of a test have received.
#[derive(Debug, Default)]
struct OrderCounts {
    orders: AtomicUsize,
    orders_during_prompts: AtomicUsize,
}

/// Starts an engine that processes prompts slowly and counts the orders that arrive
/// meanwhile.
fn prefill_engine(counts: &Arc<OrderCounts>) -> Scripted {
    let (counts, prompts) = (counts.clone(), AtomicUsize::new(0));
    Scripted::serve(move |number, req, stream| {
        let order = req.starts_with("POST /order");
        if order {
            counts.orders.fetch_add(1, Ordering::SeqCst);
            let busy = prompts.load(Ordering::SeqCst) > 0;
            counts.orders_during_prompts.fetch_add(usize::from(busy), Ordering::SeqCst);
        } else if header(req, "phase").is_some() {
            prompts.fetch_add(1, Ordering::SeqCst);
            std::thread::sleep(Duration::from_millis(250));
            prompts.fetch_sub(1, Ordering::SeqCst);
        }
        stream.write_all(&sealed(req, "200 OK", &format!("handle{number}"))).is_ok()
    })
}

fn stream(req: &str) -> Vec<u8> {
    let id = header(req, "id").unwrap_or_default();
    let event = "id: 1\ndata: token\n\n";
    let head =
        format!("HTTP/1.1 200 OK\r\nid: {id}\r\nseal: s\r\ntransfer-encoding: chunked\r\n\r\n");
    format!("{head}{:x}\r\n{event}\r\n0\r\n\r\n", event.len()).into_bytes()
}

/// Returns entries with these names and versions for `engines`.
fn named(names: &[(&str, &str)], engines: &[Scripted], role: ServerRole) -> Vec<ServerEntry> {
    let engines = names.iter().zip(engines);
    engines
        .map(|((name, version), engine)| ServerEntry {
            version: (*version).into(),
            ..entry(name, engine.addr, role)
        })
        .collect()
}

/// Starts four prefill engines and two decode engines of one version, and returns their entries
/// as well.
fn engines_of_one_version(counts: &Arc<OrderCounts>) -> (Vec<Scripted>, Vec<ServerEntry>) {
    let prefills: Vec<Scripted> = (0..4).map(|_| prefill_engine(counts)).collect();
    let decodes: Vec<Scripted> = (0..2).map(|_| Scripted::start(|_, req| stream(req))).collect();
    let names = [("p0", "v1"), ("p1", "v1"), ("p2", "v1"), ("p3", "v1")];
    let mut servers = named(&names, &prefills, Prefill);
    servers.extend(named(&[("d0", "v1"), ("d1", "v1")], &decodes, Decode));
    (prefills.into_iter().chain(decodes).collect(), servers)
}

/// Callers that send requests with long outputs.
struct Load {
    done: Arc<AtomicBool>,
    callers: Vec<JoinHandle<usize>>,
}

impl Load {
    /// Stops the callers; returns how many of their requests were refused.
    fn stop(self) -> usize {
        self.done.store(true, Ordering::SeqCst);
        self.callers.into_iter().map(|c| c.join().expect("caller")).sum()
    }
}

/// Sends requests with long outputs to `host` until an engine has received an order, and on.
fn load_until_order(host: &TestHost, counts: &OrderCounts) -> Load {
    let load = start_load(host);
    wait_for("an order", || counts.orders.load(Ordering::SeqCst) > 0);
    load
}

/// Sends requests with long outputs to `host`.
fn start_load(host: &TestHost) -> Load {
    let done = Arc::new(AtomicBool::new(false));
    let callers: Vec<_> = (0..8)
        .map(|caller| {
            let (addr, done) = (host.callers, done.clone());
            std::thread::spawn(move || {
                let mut refused = 0;
                for n in 0.. {
                    if done.load(Ordering::SeqCst) {
                        break;
                    }
                    let req = format!(
                        "POST /stream/ HTTP/1.1\r\nhost: app.test\r\nid: {caller}-{n}\r\n\
                         tokens: 1000,4000\r\ncontent-length: 1\r\n\r\nx"
                    );
                    let response = common::exchange(addr, req.as_bytes());
                    refused += usize::from(status(&response) != "200");
                }
                refused
            })
        })
        .collect();
    Load { done, callers }
}

/// Four prefill engines serve two decode engines with long outputs, under a load that
/// leaves none of them idle. An order that arrives while prompts are queued would make
/// the engine refuse them.
#[test]
fn an_engine_is_ordered_to_change_its_role_once_it_has_processed_its_prompts() {
    let counts = Arc::<OrderCounts>::default();
    let (_engines, servers) = engines_of_one_version(&counts);
    let began = Instant::now();
    assert_eq!(load_until_order(&TestHost::with_servers(&servers), &counts).stop(), 0);
    let during_prompts = counts.orders_during_prompts.load(Ordering::SeqCst);
    assert_eq!(during_prompts, 0, "after {:?}", began.elapsed());
}

/// The other engines of the version then have nobody to exchange KV caches with.
#[test]
fn the_last_engine_of_its_version_in_a_role_is_ordered_to_leave_it() {
    let counts = Arc::<OrderCounts>::default();
    let prefills: Vec<Scripted> = (0..4).map(|_| prefill_engine(&counts)).collect();
    let decodes: Vec<Scripted> = (0..2).map(|_| Scripted::start(|_, req| stream(req))).collect();
    let names = [("p0", "v2"), ("p1", "v2"), ("p2", "v2"), ("p3", "v1")];
    let mut servers = named(&names, &prefills, Prefill);
    servers.extend(named(&[("d0", "v1"), ("d1", "v2")], &decodes, Decode));
    load_until_order(&TestHost::with_servers(&servers), &counts).stop();
    let ordered =
        |server: &Scripted| server.seen.lock().iter().any(|r| r.starts_with("POST /order"));
    let ordered: Vec<bool> = prefills.iter().map(ordered).collect();
    assert_eq!(ordered.iter().filter(|ordered| **ordered).count(), 1);
    assert!(!ordered[3], "the only prefill engine at v1");
}

// Orders went by the roles that an older copy listed, under tokens that could come again.
#[test]
fn orders_after_a_restore_wait_for_the_engines_and_have_higher_tokens_than_all_before() {
    let counts = Arc::<OrderCounts>::default();
    let (engines, servers) = engines_of_one_version(&counts);
    let host = TestHost::with_servers(&servers);
    let copy = host.store.copy();
    host.store.write("somebody/else", &0);
    let highest_before = host.store.revision();
    std::thread::sleep(Duration::from_millis(300));
    host.store.restore(&copy);
    let restored = Instant::now();
    let load = start_load(&host);
    std::thread::sleep(Duration::from_secs(4));
    assert_eq!(counts.orders.load(Ordering::SeqCst), 0, "{:?}", restored.elapsed());
    // A new holder also waits for the orders of the last one.
    std::thread::sleep(Duration::from_secs(4));
    wait_for("an order", || counts.orders.load(Ordering::SeqCst) > 0);
    load.stop();
    let orders = engines.iter().flat_map(|p| p.seen.lock().clone());
    let tokens = orders.filter_map(|order| header(&order, "token")?.parse::<u64>().ok());
    let tokens: Vec<u64> = tokens.collect();
    assert!(!tokens.is_empty() && tokens.iter().all(|t| *t > highest_before + 1_000), "{tokens:?}");
}

// A host that reached no engine kept the lease on orders, and nobody gave any.
#[test]
fn a_host_that_is_cut_off_leaves_orders_to_others() {
    let counts = Arc::<OrderCounts>::default();
    let (_engines, servers) = engines_of_one_version(&counts);
    let host = TestHost::with_servers(&servers);
    let other = TestHost::start("h2", host.store.for_another_host());
    other.wait_ready();
    std::thread::sleep(Duration::from_millis(500));
    host.network.cut(Cut::Refused, &[]);
    let loads = [start_load(&host), start_load(&other)];
    let began = Instant::now();
    while counts.orders.load(Ordering::SeqCst) == 0 {
        assert!(began.elapsed() < Duration::from_secs(15), "no order");
        std::thread::sleep(Duration::from_millis(50));
    }
    for load in loads {
        load.stop();
    }
}
