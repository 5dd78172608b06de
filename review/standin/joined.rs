//! Replicas of a model crash and start again under their ids, with newer software, while the
//! store is busy. Streams that break go on at other replicas.

use std::collections::{BTreeMap, BTreeSet};
use std::io::Write;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::deployment::{Deployment, Record};
use crate::engine::{Behaviour, Engine, Seen, hash};
use crate::http::Connection;

/// The number of replicas that read prompts, and of those that answer.
const PREFILL: usize = 3;
const DECODE: usize = 8;

/// How long the store is busy.
const BUSY: Duration = Duration::from_secs(8);

/// When crashes come in that time, and which of the replicas that answer crash. Each time that
/// is a quarter of them; some crash again after they have come back.
const CRASHES: [(Duration, [usize; 2]); 3] = [
    (Duration::from_millis(500), [0, 1]),
    (Duration::from_millis(3_500), [1, 2]),
    (Duration::from_millis(6_500), [0, 3]),
];

/// The time between two requests, and between two events of a stream.
const INTERVAL: Duration = Duration::from_millis(90);
const EVENT_INTERVAL: Duration = Duration::from_millis(60);

/// How many streams the rule allows to hold events of two versions.
const ALLOWED: usize = 2;

const CONFIG: &str = r#"{"version":7,"routes":[
{"name":"r-fr","host":"rdv.example","path_prefix":"/fr/","kind":"streaming","timeout_ms":14000,"target_latency_ms":1000,"priority":1,"service":"resume-llm","max_attempts":2,"sticky":true,"resumable":true,"target_gap_ms":300}],
"services":[{"name":"resume-llm","health_path":"/health","max_connections":170,"protocol":"h1","tls":false,"engine":{"slots":12,"kv_capacity_tokens":34035,"kv_token_bytes":18432,"link_mbps":180000.0,"moves":true,"backups":true,"stride":13,"most":12,"handle_ttl_s":0.5,"switch_s":6.0,"pin_ms":4000.0,"hold_ms":2000.0,"models":[{"name":"m"}]}}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}"#;

/// Plays the case. Returns 1 if the rule was broken, 0 if it held, 2 if it could not run.
pub fn run(record: &Path, trouble: bool) -> i32 {
    let mut deployment = Deployment::new(&["zone-a", "zone-b", "zone-c"], 110, record);
    let record = deployment.record.clone();
    deployment.store.write("op/config", CONFIG.as_bytes());
    let seen: Arc<Mutex<Seen>> = Arc::default();
    let engines: Vec<Engine> = (0..PREFILL + DECODE)
        .map(|number| {
            let stage = if number < PREFILL { "prefill" } else { "decode" };
            let behaviour = Behaviour { event_interval: EVENT_INTERVAL, deadly: None };
            Engine::start(&deployment, number, "resume-llm", stage, behaviour, &seen)
        })
        .collect();
    for host in &mut deployment.hosts {
        host.start();
    }
    if !deployment.wait_ready(Duration::from_secs(20)) {
        record.note("the hosts did not become ready");
        return 2;
    }
    let addresses: Vec<SocketAddr> = deployment.hosts.iter().map(|host| host.callers).collect();
    let stop = Arc::new(AtomicBool::new(false));
    let callers = {
        let (record, stop) = (record.clone(), stop.clone());
        thread::spawn(move || send_streams(&addresses, &record, &stop))
    };
    thread::sleep(Duration::from_secs(8));
    if trouble {
        record.note(&format!("the store is busy for {BUSY:?}"));
        deployment.store.set_busy(BUSY);
    }
    let began = Instant::now();
    let decode = engines.iter().filter(|engine| engine.stage() == "decode");
    let decode: Vec<&Engine> = decode.collect();
    for (at, crashing) in CRASHES {
        thread::sleep(at.saturating_sub(began.elapsed()));
        for index in crashing {
            decode[index].crash("v2");
        }
    }
    thread::sleep(BUSY.saturating_sub(began.elapsed()));
    stop.store(true, Ordering::SeqCst);
    let outcomes = callers.join().unwrap_or_default();
    let mut counts: BTreeMap<&str, usize> = BTreeMap::new();
    for outcome in &outcomes {
        *counts.entry(outcome.as_str()).or_default() += 1;
    }
    for (outcome, count) in &counts {
        record.note(&format!("streams that ended {outcome}: {count}"));
    }
    let joined = outcomes.iter().filter(|outcome| outcome.contains("v1 and v2")).count();
    record
        .note(&format!("{joined} streams hold events of two versions, the rule allows {ALLOWED}"));
    i32::from(joined > ALLOWED)
}

/// Asks for streams at the hosts in turn; returns how they ended.
fn send_streams(addresses: &[SocketAddr], record: &Record, stop: &AtomicBool) -> Vec<String> {
    let mut senders = Vec::new();
    while !stop.load(Ordering::SeqCst) {
        let number = senders.len();
        let id = format!("{:016x}", hash(&format!("stream {number}")));
        let addr = addresses[number % addresses.len()];
        let other = addresses[(number + 1) % addresses.len()];
        let record = record.clone();
        senders.push(thread::spawn(move || ask(addr, other, &id, &record)));
        thread::sleep(INTERVAL);
    }
    senders.into_iter().map(|sender| sender.join().unwrap_or_default()).collect()
}

/// Asks for a stream, and takes it up once at another host if it breaks off, as clients do.
fn ask(addr: SocketAddr, other: SocketAddr, id: &str, record: &Record) -> String {
    let first = send(addr, id, "");
    record.note(&format!("stream {id} sent to {addr}: {}", first.describe()));
    let mut versions = first.versions;
    let mut how = first.how;
    if let (false, Some(last)) = (first.is_complete, first.last_event) {
        let second_id = format!("{:016x}", hash(&format!("{id} again")));
        let taken_up = format!("Last-Event-Id: {last}\r\nResumes: {id}\r\n");
        let second = send(other, &second_id, &taken_up);
        record.note(&format!("{second_id} takes {id} up at {other}: {}", second.describe()));
        versions.extend(second.versions);
        how = format!("broken off, taken up: {}", second.how);
    }
    match versions.len() {
        0 | 1 => how,
        _ => format!("{how}, with events of v1 and v2"),
    }
}

/// What a client got in answer to one attempt.
struct Answer {
    how: String,
    is_complete: bool,
    last_event: Option<u64>,
    versions: BTreeSet<String>,
}

impl Answer {
    fn describe(&self) -> String {
        format!("{}, events up to {:?} of {:?}", self.how, self.last_event, self.versions)
    }
}

/// Sends one request and reads its stream.
fn send(addr: SocketAddr, id: &str, headers: &str) -> Answer {
    let request = format!(
        "POST /fr/2f HTTP/1.1\r\nHost: rdv.example\r\nX-Aspenloft-Attempt-Id: {id}\r\nX-Aspenloft-Model: m\r\nX-Aspenloft-Token-Usage: 3000,1800\r\nX-Aspenloft-Prompt-Prefix: 5c1e07a2:200,{:08x}:2800\r\nX-Aspenloft-Deadline-Ms: 14000\r\n{headers}Content-Length: 16\r\n\r\n{id}",
        hash(id) as u32
    );
    let answered = Connection::open(addr).and_then(|mut connection| {
        connection.writer.write_all(request.as_bytes())?;
        connection.read_stream(Duration::from_secs(14))
    });
    let (status, body, is_complete) = answered.unwrap_or((0, Vec::new(), false));
    let text = String::from_utf8_lossy(&body).into_owned();
    let ids = text.lines().filter_map(|line| line.strip_prefix("id: "));
    let data = text.lines().filter_map(|line| line.strip_prefix("data: "));
    Answer {
        how: match (status, is_complete) {
            (200, true) => "whole".to_string(),
            (200, false) => "broken off".to_string(),
            (0, _) => "no answer".to_string(),
            (status, _) => status.to_string(),
        },
        is_complete: status == 200 && is_complete,
        last_event: ids.filter_map(|id| id.parse().ok()).max(),
        versions: data.filter_map(|line| line.rsplit(' ').next().map(str::to_string)).collect(),
    }
}
