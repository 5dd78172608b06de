//! Many users come at once: 2.3 times as many clients as before, each of which sends a long
//! body on its connection and keeps it.

use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::store::Store;
use crate::world::{Client, End, Node, Record, Replica, STABLE_WINDOW, Sound, write_configuration};

/// `memory_mb` of a machine of khayaban-trails.
const MEMORY_MB: u64 = 110;

/// The bytes of a body, far below `max_body_bytes`.
const BODY_BYTES: usize = 64_000;

/// The threads that play the clients with long bodies, and the clients of each: 640 in all
/// before the burst, and 2.3 times as many, 1,472, in it.
const THREADS: usize = 32;
const BASE_CLIENTS: usize = 20;
const ALL_CLIENTS: usize = 46;

/// The longest burst of that size in the site file.
const BURST: Duration = Duration::from_secs(4);

/// How long a client keeps its connection idle. Four fifths of the idle timeout, 12 s, are
/// allowed.
const PAUSE: Duration = Duration::from_secs(8);

/// The clients that send short requests all the while, each on a connection that it keeps.
const OTHERS: usize = 32;

const DEADLINE: Duration = Duration::from_millis(2_500);

pub fn play(dir: &Path, record: &Arc<Record>, trouble: bool) -> i32 {
    let store = Store::start();
    write_configuration(&store, 1);
    let replicas: Vec<_> = (0..3)
        .map(|i| {
            let work = Duration::from_millis(30);
            Replica::start(&format!("i-app0-{i}"), record, Box::new(Sound { work }))
        })
        .collect();
    replicas.iter().for_each(|replica| replica.list(&store, "app0", "z1", ""));
    let node = Arc::new(Mutex::new(Node::start(dir, "h1", "z1", &store, MEMORY_MB)));
    if !node.lock().unwrap().wait_ready() {
        return 2;
    }
    std::thread::sleep(STABLE_WINDOW);
    let front = node.lock().unwrap().front;
    let (stop, killed) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicBool::new(false)));
    let (lost, served) = (AtomicUsize::new(0), AtomicUsize::new(0));
    // The platform kills a process whose memory exceeds `memory_mb`.
    let platform = {
        let (node, stop, killed) = (node.clone(), stop.clone(), killed.clone());
        let record = record.clone();
        std::thread::spawn(move || {
            let mut most = 0;
            while !stop.load(Ordering::SeqCst) {
                let memory = node.lock().unwrap().memory_mb();
                if let Some((now, peak)) = memory {
                    most = peak.max(most);
                    if now > MEMORY_MB {
                        node.lock().unwrap().signal(9);
                        killed.store(true, Ordering::SeqCst);
                        record.say(format!("the platform kills h1: {now} MiB of {MEMORY_MB}"));
                        break;
                    }
                }
                std::thread::sleep(Duration::from_millis(2));
            }
            most
        })
    };
    let is_over = || stop.load(Ordering::SeqCst) || killed.load(Ordering::SeqCst);
    let call = |client: &mut Client, id: String, body: &[u8]| {
        let is_kept = client.stream.is_some();
        record.line(format!("{id} is sent, {} bytes, kept connection: {is_kept}", body.len()));
        let end = client.call("POST", "/once0/a", &id, DEADLINE, body, false);
        let ran = replicas.iter().any(|r| r.runs.lock().unwrap().contains_key(&id));
        record.line(format!("{id} ends: {end:?}, ran: {ran}"));
        lost.fetch_add(usize::from(end == End::Closed && ran && is_kept), Ordering::SeqCst);
        served.fetch_add(usize::from(end == End::Answer(200)), Ordering::SeqCst);
    };
    let body = vec![b'x'; BODY_BYTES];
    // Each client sends a long body, and another one each `PAUSE`.
    let play_clients = |name: String, count: usize, until: &dyn Fn() -> bool| {
        let mut clients: Vec<_> = (0..count).map(|_| Client::new(front)).collect();
        let mut n = 0;
        while !until() {
            let round = Instant::now();
            for client in &mut clients {
                if until() {
                    return;
                }
                n += 1;
                call(client, format!("{name}-{n}"), &body);
            }
            while round.elapsed() < PAUSE && !until() {
                std::thread::sleep(Duration::from_millis(20));
            }
        }
    };
    std::thread::scope(|scope| {
        let (call, play_clients, is_over) = (&call, &play_clients, &is_over);
        for i in 0..OTHERS {
            scope.spawn(move || {
                let mut client = Client::new(front);
                let mut n = 0;
                // Not all at the same moment.
                std::thread::sleep(Duration::from_millis(7 * i as u64));
                while !is_over() {
                    call(&mut client, format!("short-{i}-{n}"), b"order");
                    n += 1;
                    std::thread::sleep(Duration::from_millis(20 + 3 * (i as u64 % 11)));
                }
            });
        }
        for t in 0..THREADS {
            scope.spawn(move || play_clients(format!("base-{t}"), BASE_CLIENTS, is_over));
        }
        std::thread::sleep(Duration::from_secs(12));
        let memory = node.lock().unwrap().memory_mb();
        record
            .say(format!("{} clients, memory now and at most: {memory:?}", THREADS * BASE_CLIENTS));
        let began = Instant::now();
        if trouble {
            let more = ALL_CLIENTS - BASE_CLIENTS;
            record.say(format!("{} more come, for {} s", THREADS * more, BURST.as_secs()));
            for t in 0..THREADS {
                let until = move || is_over() || began.elapsed() > BURST;
                scope.spawn(move || play_clients(format!("burst-{t}"), more, &until));
            }
        }
        while began.elapsed() < BURST + Duration::from_secs(2) && !is_over() {
            std::thread::sleep(Duration::from_millis(50));
        }
        stop.store(true, Ordering::SeqCst);
    });
    let most = platform.join().expect("the peak");
    let (lost, served) = (lost.load(Ordering::SeqCst), served.load(Ordering::SeqCst));
    record.say(format!(
        "{served} requests were answered 200; most memory: {most} MiB; passed on from kept connections that then closed without an answer: {lost}"
    ));
    i32::from(killed.load(Ordering::SeqCst) && lost > 3)
}
