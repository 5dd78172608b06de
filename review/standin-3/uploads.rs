//! Many users come at once: 2.3 times as many clients as before send a long body in chunks.

use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::store::Store;
use crate::world::{Client, End, Node, Record, Replica, STABLE_WINDOW, Sound, write_configuration};

/// `memory_mb` of a machine of khayaban-trails.
const MEMORY_MB: u64 = 110;

/// `max_body_bytes` of the configuration.
const BODY_BYTES: usize = 4_194_304;

/// The clients that send long bodies at the same time, before the burst and in it: 2.3 times
/// as many, rounded down.
const BASE_UPLOADERS: usize = 4;
const ALL_UPLOADERS: usize = 9;

/// The clients that send short requests all the while, each on a connection that it keeps.
const OTHERS: usize = 48;

const DEADLINE: Duration = Duration::from_millis(2_500);

/// How often the long bodies are sent.
const ROUNDS: usize = 3;

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
    let lost = AtomicUsize::new(0);
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
                std::thread::sleep(Duration::from_millis(1));
            }
            most
        })
    };
    let call = |client: &mut Client, id: String, body: &[u8]| {
        let is_kept = client.stream.is_some();
        record.line(format!("{id} is sent, {} bytes, kept connection: {is_kept}", body.len()));
        let chunked = body.len() > 1_000;
        let end = client.call("POST", "/once0/a", &id, DEADLINE, body, chunked);
        let ran = replicas.iter().any(|r| r.runs.lock().unwrap().contains_key(&id));
        record.line(format!("{id} ends: {end:?}, ran: {ran}"));
        lost.fetch_add(usize::from(end == End::Closed && ran && is_kept), Ordering::SeqCst);
        end
    };
    let body = vec![b'x'; BODY_BYTES];
    let (mut served, mut sent) = (0, 0);
    std::thread::scope(|scope| {
        for i in 0..OTHERS {
            let (call, stop, killed) = (&call, &stop, &killed);
            scope.spawn(move || {
                let mut client = Client::new(front);
                let mut n = 0;
                // Not all at the same moment.
                std::thread::sleep(Duration::from_millis(7 * i as u64));
                while !stop.load(Ordering::SeqCst) && !killed.load(Ordering::SeqCst) {
                    call(&mut client, format!("short-{i}-{n}"), b"order");
                    n += 1;
                    std::thread::sleep(Duration::from_millis(10 + 3 * (i as u64 % 11)));
                }
            });
        }
        std::thread::sleep(Duration::from_secs(1));
        let uploaders = if trouble { ALL_UPLOADERS } else { BASE_UPLOADERS };
        for round in 0..ROUNDS {
            let uploads: Vec<_> = (0..uploaders)
                .map(|i| {
                    let (call, body) = (&call, &body);
                    let id = format!("long-{round}-{i}");
                    scope.spawn(move || call(&mut Client::new(front), id, body))
                })
                .collect();
            let ends: Vec<_> = uploads.into_iter().map(|u| u.join().expect("an end")).collect();
            sent += ends.len();
            served += ends.iter().filter(|end| **end == End::Answer(200)).count();
            if killed.load(Ordering::SeqCst) {
                break;
            }
            std::thread::sleep(Duration::from_millis(300));
        }
        stop.store(true, Ordering::SeqCst);
    });
    let most = platform.join().expect("the peak");
    let lost = lost.load(Ordering::SeqCst);
    record.say(format!("{served} of {sent} long requests were answered 200"));
    record.say(format!(
        "most memory: {most} MiB; passed on from kept connections that then closed without an answer: {lost}"
    ));
    i32::from(killed.load(Ordering::SeqCst) && lost > 3)
}
