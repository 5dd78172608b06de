//! All machines but one are lost, with the traffic of the sheet of anrpe-rdv. The machine that
//! is left gets all of the clients' connections.

use std::collections::VecDeque;
use std::io::BufReader;
use std::net::TcpStream;
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::engine::{Decode, Prefill};
use crate::http;
use crate::store::Store;
use crate::world::{Machine, Node, Record, Replica, STABLE_WINDOW, Sound};

/// The machines of the sheet by their zones.
const MACHINES: [&str; 9] = ["z1", "z1", "z1", "z1", "z2", "z2", "z2", "z3", "z3"];

/// The machine that is left, the first of its zone.
const LEFT: usize = 0;

/// `memory_mb` of a machine.
const MEMORY_MB: u64 = 110;

/// The requests a second of the sheet: `reserver`, `consulter`, and both kinds of streams.
const RATES: [f64; 3] = [47.6, 19.1, 1.98 + 16.2];

/// `idle_timeout_ms` of the configuration, and how long clients keep a connection idle: four
/// fifths of it.
const IDLE_TIMEOUT_MS: u64 = 75_000;
const MAX_IDLE: Duration = Duration::from_millis(IDLE_TIMEOUT_MS * 4 / 5);

/// `timeout_ms` of the routes of calls, and how long after it requests must have an answer.
const TIMEOUT: Duration = Duration::from_millis(400);
const SLACK: Duration = Duration::from_millis(500);

/// How long clients wait: the deadline of calls; the gap after which streams are abandoned.
const CALL_DEADLINE: Duration = Duration::from_millis(1_000);
const STREAM_PATIENCE: Duration = Duration::from_millis(4_000);

/// Of how many requests one comes on a connection that has been used before.
const KEPT_EACH: u64 = 10;

/// When the machines are lost, and how long the traffic goes on after it.
const LOST_AFTER: Duration = Duration::from_secs(5);
const PLAYED_AFTER: Duration = Duration::from_secs(66);

/// A connection that its client keeps.
struct Kept {
    stream: TcpStream,
    machine: usize,
    idle_since: Instant,
}

/// What a client saw of a request.
#[derive(Debug, Clone, Copy, PartialEq)]
enum End {
    Answer(u16),
    /// The connection ended before the whole answer.
    Closed,
    /// No whole answer in time.
    Silent,
    /// No connection.
    Refused,
}

struct Outcome {
    is_call: bool,
    is_kept: bool,
    machine: usize,
    sent: Instant,
    took: Duration,
    end: End,
}

fn configuration() -> String {
    let call = |name: &str, kind: &str, attempts: u32| {
        let timeout = TIMEOUT.as_millis();
        format!(
            "{{\"name\":\"{name}\",\"host\":\"shop.example\",\"path_prefix\":\"/{name}/\",\"kind\":\"{kind}\",\"timeout_ms\":{timeout},\"target_latency_ms\":120,\"priority\":2,\"service\":\"rdv-app\",\"max_attempts\":{attempts},\"sticky\":false,\"resumable\":false}}"
        )
    };
    let routes = [
        call("reserver", "non_idempotent", 1),
        call("consulter", "idempotent", 2),
        "{\"name\":\"rapport\",\"host\":\"shop.example\",\"path_prefix\":\"/rapport/\",\"kind\":\"streaming\",\"timeout_ms\":14000,\"target_latency_ms\":1000,\"priority\":1,\"service\":\"resume-llm\",\"max_attempts\":1,\"sticky\":true,\"resumable\":false,\"target_gap_ms\":300}".to_string(),
    ];
    format!(
        "{{\"version\":7,\"routes\":[{}],\"services\":[{{\"name\":\"rdv-app\",\"health_path\":\"/health\",\"max_connections\":110,\"protocol\":\"h1\",\"tls\":false}},{{\"name\":\"resume-llm\",\"health_path\":\"/health\",\"max_connections\":170,\"protocol\":\"h1\",\"tls\":false,\"engine\":{{\"slots\":12,\"kv_capacity_tokens\":34035,\"kv_token_bytes\":18432,\"link_mbps\":180000.0,\"moves\":true,\"backups\":true,\"stride\":13,\"most\":12,\"handle_ttl_s\":0.5,\"switch_s\":6.0,\"pin_ms\":4000.0,\"hold_ms\":2000.0,\"models\":[{{\"name\":\"m\"}}]}}}}],\"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":{IDLE_TIMEOUT_MS}}}}}",
        routes.join(",")
    )
}

fn request(class: usize, id: &str) -> Vec<u8> {
    let id_line = format!("Host: shop.example\r\nX-Aspenloft-Attempt-Id: {id}\r\n");
    let body = |length: usize| format!("Content-Length: {length}\r\n\r\n{}", "x".repeat(length));
    match class {
        0 => format!("POST /reserver/a HTTP/1.1\r\n{id_line}X-Aspenloft-Deadline-Ms: 1000\r\n{}", body(600)),
        1 => format!("GET /consulter/a HTTP/1.1\r\n{id_line}X-Aspenloft-Deadline-Ms: 1000\r\n\r\n"),
        _ => format!(
            "POST /rapport/a HTTP/1.1\r\n{id_line}X-Aspenloft-Deadline-Ms: 14000\r\nX-Aspenloft-Model: m\r\nX-Aspenloft-Token-Usage: 3200,80\r\nX-Aspenloft-Length-Hint: 69\r\nX-Aspenloft-Prompt-Prefix: 5c1e07a2:200,{id}:3000\r\n{}",
            body(3_000)
        ),
    }
    .into_bytes()
}

/// Sends a request on `stream` and waits for its whole answer.
fn call(stream: &TcpStream, class: usize, id: &str) -> End {
    let limit = if class < 2 { CALL_DEADLINE } else { STREAM_PATIENCE };
    let _ = stream.set_read_timeout(Some(limit));
    let _ = stream.set_write_timeout(Some(limit));
    if std::io::Write::write_all(&mut &*stream, &request(class, id)).is_err() {
        return End::Closed;
    }
    let mut reader = BufReader::new(stream.try_clone().expect("a clone of the socket"));
    match http::read(&mut reader) {
        Ok(answer) => End::Answer(answer.status()),
        Err(e) => match e.kind() {
            std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut => End::Silent,
            _ => End::Closed,
        },
    }
}

/// What the platform's balancer and the clients share.
struct Clients {
    addrs: Vec<std::net::SocketAddr>,
    /// Whether the platform has a machine in rotation.
    in_rotation: Vec<AtomicBool>,
    kept: Mutex<VecDeque<Kept>>,
    outcomes: Mutex<Vec<Outcome>>,
    sent: AtomicU64,
}

impl Clients {
    /// Returns a machine for the client with `number`. If none is in rotation, the platform
    /// uses the one that was last.
    fn balance(&self, number: u64) -> usize {
        let ready: Vec<usize> =
            (0..self.addrs.len()).filter(|m| self.in_rotation[*m].load(Ordering::SeqCst)).collect();
        match ready.len() {
            0 => LEFT,
            count => ready[(number.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 32) as usize % count],
        }
    }

    fn send(&self, number: u64, class: usize, record: &Record) {
        let wants_kept = number.is_multiple_of(KEPT_EACH);
        let kept = wants_kept.then(|| self.kept.lock().unwrap().pop_front()).flatten();
        let (kept_stream, machine) = match kept {
            Some(kept) => (Some(kept.stream), kept.machine),
            None => (None, self.balance(number)),
        };
        let is_kept = kept_stream.is_some();
        let id = format!("{number:08x}");
        let sent = Instant::now();
        let connected = kept_stream.or_else(|| {
            TcpStream::connect_timeout(&self.addrs[machine], Duration::from_secs(1)).ok()
        });
        let end = match &connected {
            Some(stream) => call(stream, class, &id),
            None => End::Refused,
        };
        let took = sent.elapsed();
        let name = ["reserver", "consulter", "rapport"][class];
        let text = format!("{name} {id} to h{machine}, kept connection: {is_kept}: {end:?}");
        record.line(format!("{text} after {} ms", took.as_millis()));
        if let (Some(stream), End::Answer(_)) = (connected, end) {
            let idle_since = Instant::now();
            self.kept.lock().unwrap().push_back(Kept { stream, machine, idle_since });
        }
        let outcome = Outcome { is_call: class < 2, is_kept, machine, sent, took, end };
        self.outcomes.lock().unwrap().push(outcome);
    }
}

pub fn play(dir: &Path, record: &Arc<Record>, trouble: bool) -> i32 {
    let store = Store::start();
    store.write("op/config", &configuration());
    let zones = ["z1", "z2", "z3"];
    for (i, zone) in zones.iter().enumerate() {
        let work = Duration::from_millis(15);
        let replica = Replica::start(&format!("i-app{i}"), record, Box::new(Sound { work }));
        replica.list(&store, "rdv-app", zone, "");
    }
    for i in 0..18 {
        let models = "\"models\":[{\"name\":\"m\",\"version\":1,\"adapters\":[]}]";
        let (stage, replica) = if i < 6 {
            ("prefill", Replica::start(&format!("i-llm{i}"), record, Box::new(Prefill)))
        } else {
            ("decode", Replica::start(&format!("i-llm{i}"), record, Box::new(Decode)))
        };
        replica.list(
            &store,
            "resume-llm",
            zones[i % 3],
            &format!(",\"stage\":\"{stage}\",{models}"),
        );
    }
    let nodes: Vec<Node> = MACHINES
        .iter()
        .enumerate()
        .map(|(i, zone)| {
            let machine = Machine { memory_mb: MEMORY_MB, core: i };
            Node::start(dir, &format!("h{i}"), zone, &store, machine)
        })
        .collect();
    if !nodes.iter().all(Node::wait_ready) {
        return 2;
    }
    std::thread::sleep(STABLE_WINDOW);
    let clients = Clients {
        addrs: nodes.iter().map(|node| node.front).collect(),
        in_rotation: nodes.iter().map(|_| AtomicBool::new(true)).collect(),
        kept: Mutex::default(),
        outcomes: Mutex::default(),
        sent: AtomicU64::new(1),
    };
    let (over, lost) = (AtomicBool::new(false), AtomicBool::new(false));
    let began = Instant::now();
    let mut killed_by_memory = false;
    std::thread::scope(|scope| {
        let (clients, over, lost, nodes) = (&clients, &over, &lost, &nodes);
        // The platform asks each second, and takes a machine out after two misses.
        for (i, node) in nodes.iter().enumerate() {
            scope.spawn(move || {
                let mut misses = 0;
                while !over.load(Ordering::SeqCst) {
                    let at = Instant::now();
                    let is_gone = i != LEFT && lost.load(Ordering::SeqCst);
                    let is_ready = !is_gone && node.is_ready();
                    misses = if is_ready { 0 } else { misses + 1 };
                    if i == LEFT && !is_ready {
                        record.line(format!("h{i} doesn't answer that it is ready"));
                    }
                    clients.in_rotation[i].store(misses < 2, Ordering::SeqCst);
                    std::thread::sleep(Duration::from_secs(1).saturating_sub(at.elapsed()));
                }
            });
        }
        // Clients close connections that they have kept idle for four fifths of the limit.
        scope.spawn(move || {
            while !over.load(Ordering::SeqCst) {
                let mut kept = clients.kept.lock().unwrap();
                kept.retain(|k| {
                    k.idle_since.elapsed() < MAX_IDLE
                        && !(k.machine != LEFT && lost.load(Ordering::SeqCst))
                });
                drop(kept);
                std::thread::sleep(Duration::from_millis(200));
            }
        });
        let total: f64 = RATES.iter().sum();
        let mut most_open = 0;
        while began.elapsed() < LOST_AFTER + PLAYED_AFTER {
            if trouble && began.elapsed() >= LOST_AFTER && !lost.swap(true, Ordering::SeqCst) {
                nodes.iter().enumerate().filter(|(i, _)| *i != LEFT).for_each(|(_, n)| n.signal(9));
                record.say("eight of nine machines are lost");
            }
            let number = clients.sent.fetch_add(1, Ordering::SeqCst);
            // Spreads the kinds of requests evenly by their rates.
            let draw = (number as f64 * 0.618_033_988_75).fract() * total;
            let class = match draw {
                d if d < RATES[0] => 0,
                d if d < RATES[0] + RATES[1] => 1,
                _ => 2,
            };
            scope.spawn(move || clients.send(number, class, record));
            if let Some((now, _)) = nodes[LEFT].memory_mb()
                && now > MEMORY_MB
                && !killed_by_memory
            {
                killed_by_memory = true;
                record.say(format!("h{LEFT} has {now} MiB of {MEMORY_MB}, the platform kills it"));
                nodes[LEFT].signal(9);
            }
            most_open = most_open.max(clients.kept.lock().unwrap().len());
            let due = Duration::from_secs_f64(number as f64 / total);
            std::thread::sleep(due.saturating_sub(began.elapsed()));
        }
        let memory = nodes[LEFT].memory_mb();
        record.say(format!(
            "{most_open} idle connections at most, memory of h{LEFT}: {memory:?} MiB"
        ));
        // All clients leave.
        std::thread::sleep(STREAM_PATIENCE);
        clients.kept.lock().unwrap().clear();
        std::thread::sleep(Duration::from_secs(5));
        over.store(true, Ordering::SeqCst);
        let ready = (0..3).filter(|_| nodes[LEFT].is_ready()).count();
        record.say(format!(
            "9 s after the last request, with no connection left: of 3 questions whether h{LEFT} is ready, {ready} are answered 200"
        ));
    });
    let outcomes = clients.outcomes.lock().unwrap();
    let served = outcomes.iter().filter(|o| o.end == End::Answer(200)).count();
    record.say(format!("{served} of {} requests were answered 200", outcomes.len()));
    // Calls at the machine that is left, on connections that it had answered on before, sent
    // when it has been in touch for `stable_window_ms` since the loss of the others.
    let from = began + LOST_AFTER + STABLE_WINDOW;
    let judged: Vec<&Outcome> = outcomes
        .iter()
        .filter(|o| o.is_call && o.is_kept && o.machine == LEFT && o.sent >= from)
        .collect();
    let late = |o: &&&Outcome, after: Duration| o.end == End::Silent || o.took >= after;
    let unanswered = judged.iter().filter(|o| late(o, TIMEOUT)).count();
    let still = judged.iter().filter(|o| late(o, TIMEOUT + SLACK)).count();
    record.say(format!(
        "of {} calls on kept connections to h{LEFT}, {unanswered} had no answer at timeout_ms, and {still} none half a second later",
        judged.len()
    ));
    i32::from(still >= 8 && still * 2 > unanswered)
}
