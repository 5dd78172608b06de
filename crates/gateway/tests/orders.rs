//! Orders that change the roles of engines.

mod common;

use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use aspenloft_gateway::roster::ServerEntry;
use aspenloft_gateway::roster::ServerRole::{Decode, Prefill};
use common::{Scripted, TestHost, entry, header, sealed, status, wait_for};

/// What the prefill engines of a test have seen.
#[derive(Debug, Default)]
struct Seen {
    orders: AtomicUsize,
    orders_beside_prompts: AtomicUsize,
}

/// Reads prompts slowly, and counts the orders that come while it reads.
fn prefill_engine(seen: &Arc<Seen>) -> Scripted {
    let (seen, reading) = (seen.clone(), AtomicUsize::new(0));
    Scripted::serve(move |number, req, stream| {
        let order = req.starts_with("POST /order");
        if order {
            seen.orders.fetch_add(1, Ordering::SeqCst);
            let busy = reading.load(Ordering::SeqCst) > 0;
            seen.orders_beside_prompts.fetch_add(usize::from(busy), Ordering::SeqCst);
        } else if header(req, "phase").is_some() {
            reading.fetch_add(1, Ordering::SeqCst);
            std::thread::sleep(Duration::from_millis(250));
            reading.fetch_sub(1, Ordering::SeqCst);
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

/// Four engines read prompts for two that answer at length, under a load that leaves
/// none of them idle.
#[test]
fn an_engine_is_ordered_to_change_its_role_once_it_has_read_its_prompts() {
    let seen = Arc::<Seen>::default();
    let prefills: Vec<Scripted> = (0..4).map(|_| prefill_engine(&seen)).collect();
    let decodes: Vec<Scripted> = (0..2).map(|_| Scripted::start(|_, req| stream(req))).collect();
    let named = |kind: &str, engines: &[Scripted], role| -> Vec<ServerEntry> {
        let engines = engines.iter().enumerate();
        engines.map(|(n, e)| entry(&format!("{kind}{n}"), e.addr, role)).collect()
    };
    let mut servers = named("p", &prefills, Prefill);
    servers.extend(named("d", &decodes, Decode));
    let host = TestHost::with_servers(&servers);
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
                    let answer = common::exchange(addr, req.as_bytes());
                    refused += usize::from(status(&answer) != "200");
                }
                refused
            })
        })
        .collect();
    let began = Instant::now();
    wait_for("an order", || seen.orders.load(Ordering::SeqCst) > 0);
    done.store(true, Ordering::SeqCst);
    let refused: usize = callers.into_iter().map(|c| c.join().expect("caller")).sum();
    assert_eq!(refused, 0);
    let beside = seen.orders_beside_prompts.load(Ordering::SeqCst);
    assert_eq!(beside, 0, "after {:?}", began.elapsed());
}
