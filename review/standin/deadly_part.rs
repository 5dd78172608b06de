//! Requests with one part in their prompts crash each replica that begins to answer them. The
//! prompts are those of long sessions: they have 70 parts.

use std::collections::BTreeSet;
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

/// The zones of the hosts.
const ZONES: [&str; 6] = ["zone-a", "zone-b", "zone-c", "zone-a", "zone-b", "zone-c"];

/// The number of replicas that read prompts, and of those that answer.
const PREFILL: usize = 4;
const DECODE: usize = 8;

/// The number of parts of a prompt, and the place of the one that crashes replicas. All but
/// the first, which sound requests share, and that one are the request's own.
const PARTS: usize = 70;
const DEADLY_PLACE: usize = 66;
const FIRST_PART: &str = "5c1e07a2";
const DEADLY_PART: &str = "e4402b7d";

/// How often such a request comes, and for how long: 3 in 100 of 16.2 a second, for 20 s.
const INTERVAL: Duration = Duration::from_millis(2_057);
const SPAN: Duration = Duration::from_secs(20);

/// How often a sound request with the same first part comes.
const SOUND_INTERVAL: Duration = Duration::from_millis(250);

/// `stable_window_ms`.
const STABLE_WINDOW: Duration = Duration::from_secs(3);

/// The crash from which the rule counts, and the requests that it allows after that.
const COUNTED_CRASH: usize = 5;
const ALLOWED: usize = 3;

const CONFIG: &str = r#"{"version":7,"routes":[
{"name":"r-wo","host":"rdv.example","path_prefix":"/wo/","kind":"streaming","timeout_ms":14000,"target_latency_ms":1000,"priority":1,"service":"resume-llm","max_attempts":1,"sticky":true,"resumable":false,"target_gap_ms":300}],
"services":[{"name":"resume-llm","health_path":"/health","max_connections":170,"protocol":"h1","tls":false,"engine":{"slots":12,"kv_capacity_tokens":34035,"kv_token_bytes":18432,"link_mbps":180000.0,"moves":true,"backups":true,"stride":13,"most":12,"handle_ttl_s":0.5,"switch_s":6.0,"pin_ms":4000.0,"hold_ms":2000.0,"models":[{"name":"m"}]}}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}"#;

/// Plays the case. Returns 1 if the rule was broken, 0 if it held, 2 if it could not run.
pub fn run(record: &Path, trouble: bool) -> i32 {
    let parts = std::env::var("PARTS").ok().and_then(|parts| parts.parse().ok()).unwrap_or(PARTS);
    let mut deployment = Deployment::new(&ZONES, 110, record);
    let record = deployment.record.clone();
    deployment.store.write("op/config", CONFIG.as_bytes());
    let seen: Arc<Mutex<Seen>> = Arc::default();
    for number in 0..PREFILL + DECODE {
        let stage = if number < PREFILL { "prefill" } else { "decode" };
        let behaviour = Behaviour {
            event_interval: Duration::from_millis(25),
            deadly: trouble.then(|| DEADLY_PART.to_string()),
        };
        Engine::start(&deployment, number, "resume-llm", stage, behaviour, &seen);
    }
    for host in &mut deployment.hosts {
        host.start();
    }
    if !deployment.wait_ready(Duration::from_secs(20)) {
        record.note("the hosts did not become ready");
        return 2;
    }
    let addresses: Vec<SocketAddr> = deployment.hosts.iter().map(|host| host.callers).collect();
    let stop = Arc::new(AtomicBool::new(false));
    let sound = {
        let (addresses, record, stop) = (addresses.clone(), record.clone(), stop.clone());
        thread::spawn(move || send_sound(&addresses, parts, &record, &stop))
    };
    thread::sleep(Duration::from_secs(5));
    let began = Instant::now();
    let mut sent: Vec<(Instant, String)> = Vec::new();
    let mut senders = Vec::new();
    while began.elapsed() < SPAN {
        let number = sent.len();
        let id = format!("{:016x}", hash(&format!("deadly {number}")));
        let prompt = prompt(&id, parts, true);
        let addr = addresses[number % addresses.len()];
        record.note(&format!("request {id} with the part {DEADLY_PART} sent to {addr}"));
        sent.push((Instant::now(), id.clone()));
        let record = record.clone();
        senders.push(thread::spawn(move || {
            let what = send(addr, &id, &prompt);
            record.note(&format!("request {id} ends: {what}"));
        }));
        let due = began + INTERVAL * u32::try_from(sent.len()).unwrap_or(u32::MAX);
        thread::sleep(due.saturating_duration_since(Instant::now()));
    }
    for sender in senders {
        let _ = sender.join();
    }
    stop.store(true, Ordering::SeqCst);
    let outcomes = sound.join().unwrap_or_default();
    let whole = outcomes.iter().filter(|what| *what == "whole").count();
    record.note(&format!("sound requests: {whole} of {} answered whole", outcomes.len()));
    let seen = seen.lock().unwrap();
    record.note(&format!(
        "{} requests with the part sent, {} crashes",
        sent.len(),
        seen.crashes.len()
    ));
    let Some((fifth, ..)) = seen.crashes.get(COUNTED_CRASH - 1) else {
        record.note("fewer than five crashes");
        return 0;
    };
    let ids: BTreeSet<&String> = sent.iter().map(|(_, id)| id).collect();
    let late = seen.arrivals.iter().filter(|(at, ..)| *at > *fifth + STABLE_WINDOW);
    let late: BTreeSet<&String> = late.map(|(.., id)| id).filter(|id| ids.contains(id)).collect();
    for id in &late {
        record.note(&format!("BUDGET: {id} reached a replica over 3 s after the fifth crash"));
    }
    record.note(&format!("{} such requests, the rule allows {ALLOWED}", late.len()));
    i32::from(late.len() > ALLOWED)
}

/// Returns the parts of the prompt of the request `id`.
fn prompt(id: &str, parts: usize, is_deadly: bool) -> String {
    let own = |place: usize| format!("{:08x}", hash(&format!("{id} {place}")) as u32);
    let deadly_place = DEADLY_PLACE.min(parts.saturating_sub(2));
    let part = |place: usize| match place {
        0 => FIRST_PART.to_string(),
        place if is_deadly && place == deadly_place => DEADLY_PART.to_string(),
        place => own(place),
    };
    let parts: Vec<String> = (0..parts).map(|place| format!("{}:40", part(place))).collect();
    parts.join(",")
}

/// Sends sound requests to the hosts in turn; returns how they ended.
fn send_sound(
    addresses: &[SocketAddr],
    parts: usize,
    record: &Record,
    stop: &AtomicBool,
) -> Vec<String> {
    let mut senders = Vec::new();
    while !stop.load(Ordering::SeqCst) {
        let number = senders.len();
        let id = format!("{:016x}", hash(&format!("sound {number}")));
        let (addr, prompt) = (addresses[number % addresses.len()], prompt(&id, parts, false));
        let record = record.clone();
        senders.push(thread::spawn(move || {
            let what = send(addr, &id, &prompt);
            record.note(&format!("sound request {id} sent to {addr} ends: {what}"));
            what
        }));
        thread::sleep(SOUND_INTERVAL);
    }
    senders.into_iter().map(|sender| sender.join().unwrap_or_default()).collect()
}

/// Sends one request and reads its answer.
fn send(addr: SocketAddr, id: &str, prompt: &str) -> String {
    let tokens: usize = prompt.split(',').count() * 40;
    let request = format!(
        "POST /wo/2f HTTP/1.1\r\nHost: rdv.example\r\nX-Aspenloft-Attempt-Id: {id}\r\nX-Aspenloft-Model: m\r\nX-Aspenloft-Token-Usage: {tokens},1800\r\nX-Aspenloft-Prompt-Prefix: {prompt}\r\nX-Aspenloft-Deadline-Ms: 14000\r\nContent-Length: 16\r\n\r\n{id}"
    );
    let answered = Connection::open(addr).and_then(|mut connection| {
        connection.writer.write_all(request.as_bytes())?;
        connection.read(Duration::from_secs(14))
    });
    match answered {
        Ok(answer) if answer.status() == 200 => "whole".to_string(),
        Ok(answer) => answer.status().to_string(),
        Err(_) => "broken off".to_string(),
    }
}
