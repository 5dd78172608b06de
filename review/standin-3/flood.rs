//! Many users come at once: 2.3 times as many clients as before keep a connection open each.

use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use crate::store::Store;
use crate::world::{Client, End, Node, Record, Replica, STABLE_WINDOW, Sound, write_configuration};

/// The threads that play the clients.
const THREADS: usize = 113;

/// The clients of a thread: 1,695 in all before the burst, and 2.3 times as many, 3,898, in it.
const BASE_CLIENTS: usize = 15;
const ALL_CLIENTS: usize = 3_898;

/// The longest burst of that size in the site file.
const BURST: Duration = Duration::from_secs(4);

/// How long clients may press on a machine after a burst.
const AFTER_BURST: Duration = Duration::from_secs(5);

/// `timeout_ms` of the route, and how long after it requests must have an answer.
const TIMEOUT: Duration = Duration::from_millis(2_500);
const SLACK: Duration = Duration::from_millis(500);

/// How long a client waits before it uses its connection again. Four fifths of the idle
/// timeout, 12 s, are allowed.
const PAUSE: Duration = Duration::from_secs(6);

/// The requests by which the machine is judged: half on connections that were open before the
/// burst, half on new ones.
const JUDGED: usize = 40;

/// Uses each client's connection in turn until `end` says so.
fn play_clients(
    clients: &mut [Client],
    name: &str,
    record: &Record,
    count: &AtomicUsize,
    end: &AtomicBool,
) {
    while !end.load(Ordering::SeqCst) {
        let round = Instant::now();
        for client in clients.iter_mut() {
            if end.load(Ordering::SeqCst) {
                return;
            }
            let id = format!("{name}-{}", count.fetch_add(1, Ordering::SeqCst));
            let ended = client.call("GET", "/any0/a", &id, TIMEOUT, b"", false);
            record.line(format!("{id} ends: {ended:?}"));
        }
        while round.elapsed() < PAUSE && !end.load(Ordering::SeqCst) {
            std::thread::sleep(Duration::from_millis(50));
        }
    }
}

pub fn play(dir: &Path, record: &Arc<Record>, trouble: bool) -> i32 {
    let store = Store::start();
    write_configuration(&store, 1);
    let replicas: Vec<_> = (0..3)
        .map(|i| {
            let work = Duration::from_millis(5);
            Replica::start(&format!("i-app0-{i}"), record, Box::new(Sound { work }))
        })
        .collect();
    replicas.iter().for_each(|replica| replica.list(&store, "app0", "z1", ""));
    let node = Node::start(dir, "h1", "z1", &store, 110);
    if !node.wait_ready() {
        return 2;
    }
    std::thread::sleep(STABLE_WINDOW);
    let (ended, burst_ended) = (AtomicBool::new(false), AtomicBool::new(!trouble));
    let count = AtomicUsize::new(0);
    let mut judges: Vec<Client> = (0..JUDGED / 2).map(|_| Client::new(node.front)).collect();
    let (ready, late, unanswered) = {
        let (ended, burst_ended, count, node) = (&ended, &burst_ended, &count, &node);
        std::thread::scope(|scope| {
            // The platform asks each second.
            let probes = scope.spawn(move || {
                let mut ready = Vec::new();
                while !ended.load(Ordering::SeqCst) {
                    let at = Instant::now();
                    ready.push(node.is_ready());
                    record.line(format!("ready: {:?}", ready.last()));
                    std::thread::sleep(Duration::from_secs(1).saturating_sub(at.elapsed()));
                }
                ready
            });
            for t in 0..THREADS {
                scope.spawn(move || {
                    let mut clients: Vec<_> =
                        (0..BASE_CLIENTS).map(|_| Client::new(node.front)).collect();
                    // Not all at the same moment.
                    std::thread::sleep(Duration::from_millis(10 * t as u64));
                    play_clients(&mut clients, "base", record, count, ended);
                });
            }
            let used = |client: &mut Client, id: &str, limit: Duration| {
                let at = Instant::now();
                let answer = client.call("GET", "/any0/a", id, limit, b"", false);
                let ms = at.elapsed().as_millis();
                record.line(format!("{id} ends: {answer:?} after {ms} ms"));
                answer
            };
            for _ in 0..2 {
                std::thread::sleep(Duration::from_secs(3));
                judges.iter_mut().for_each(|j| drop(used(j, "judge", TIMEOUT)));
            }
            record.say(format!("{} clients keep a connection each", THREADS * BASE_CLIENTS));
            if trouble {
                let more = ALL_CLIENTS - THREADS * BASE_CLIENTS;
                record.say(format!("{more} more come, for {} s", BURST.as_secs()));
                for t in 0..THREADS {
                    let from = t * more / THREADS;
                    let own = (t + 1) * more / THREADS - from;
                    scope.spawn(move || {
                        let mut clients: Vec<_> =
                            (0..own).map(|_| Client::new(node.front)).collect();
                        play_clients(&mut clients, "burst", record, count, burst_ended);
                    });
                }
            }
            std::thread::sleep(BURST / 2);
            judges.iter_mut().take(2).for_each(|j| drop(used(j, "judge", TIMEOUT)));
            std::thread::sleep(BURST / 2);
            if let Some((now, most)) = node.memory_mb() {
                record.say(format!("memory of h1: {now} MiB, {most} at most"));
            }
            burst_ended.store(true, Ordering::SeqCst);
            record.say("the burst has ended; its clients close their connections");
            std::thread::sleep(AFTER_BURST + STABLE_WINDOW);
            let judged: Vec<_> = (0..JUDGED)
                .map(|n| {
                    let mut client = judges.pop().unwrap_or_else(|| Client::new(node.front));
                    scope.spawn(move || {
                        let at = Instant::now();
                        let id = format!("judged-{n}");
                        record.line(format!("{id} is sent"));
                        let limit = TIMEOUT + SLACK;
                        let answer = client.call("GET", "/any0/a", &id, limit, b"", false);
                        let took = at.elapsed();
                        record.line(format!("{id} ends: {answer:?} after {took:?}"));
                        (answer, took)
                    })
                })
                .collect();
            let judged: Vec<_> = judged.into_iter().map(|j| j.join().expect("an end")).collect();
            ended.store(true, Ordering::SeqCst);
            let late = judged.iter().filter(|(_, took)| *took >= TIMEOUT).count();
            let silent = judged.iter().filter(|(answer, _)| *answer == End::Silent).count();
            let ready = probes.join().expect("answers");
            let last = ready.iter().rev().take(5).filter(|ready| **ready).count();
            (last, late, silent)
        })
    };
    record.say(format!(
        "of {JUDGED} requests sent 8 s after the burst, {late} had no answer at the route's timeout_ms, and {unanswered} none half a second later"
    ));
    record.say(format!("of the last 5 questions whether it is ready, {ready} were answered 200"));
    i32::from(unanswered >= 8 && unanswered * 2 > late)
}
