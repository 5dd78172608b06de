//! Many users upload bodies in chunks at the same time, each within the limits that the
//! configuration sets. The platform ends a process that exceeds the memory of its settings.

use std::collections::BTreeMap;
use std::io::Write;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::deployment::{Deployment, Record, Runs, start_plain_replica};
use crate::http::Connection;

/// `memory_mb` of the settings.
const MEMORY_MB: u64 = 110;

/// Users that upload at each host at usual times. The burst has 2.2 times as many.
const UPLOADERS: usize = 8;
const BURST: f64 = 2.2;
const BURST_LENGTH: Duration = Duration::from_secs(4);

/// Users that book at each host, on kept connections, one booking after the other.
const BOOKERS: usize = 8;

/// The body of an upload: `max_body_bytes` of the configuration.
const BODY_BYTES: usize = 4_194_304;
const CHUNK_BYTES: usize = 16 * 1024;

/// How long the upload of one body takes a user.
const UPLOAD_TIME: Duration = Duration::from_secs(3);

/// How long a replica works on a request.
const WORK: Duration = Duration::from_millis(100);

/// How many requests the rule allows to be passed on and then lose their connections.
const ALLOWED: usize = 3;

const CONFIG: &str = r#"{"version":7,"routes":[
{"name":"r-book","host":"rdv.example","path_prefix":"/book/","kind":"non_idempotent","timeout_ms":1000,"target_latency_ms":120,"priority":1,"service":"rdv-app","max_attempts":1},
{"name":"r-notes","host":"rdv.example","path_prefix":"/notes/","kind":"non_idempotent","timeout_ms":14000,"target_latency_ms":1000,"priority":1,"service":"rdv-app","max_attempts":1}],
"services":[{"name":"rdv-app","health_path":"/health","max_connections":110,"protocol":"h1","tls":false}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}"#;

#[derive(Default)]
pub struct Outcomes {
    /// The bookings on kept connections whose connections closed without an answer.
    pub closed: Mutex<Vec<String>>,
    pub statuses: Mutex<BTreeMap<String, usize>>,
    pub stop: AtomicBool,
    next_id: AtomicU64,
}

impl Outcomes {
    pub fn count(&self, what: &str) {
        *self.statuses.lock().unwrap().entry(what.to_string()).or_default() += 1;
    }

    fn id(&self, kind: &str) -> String {
        format!("{kind}{:012x}", self.next_id.fetch_add(1, Ordering::SeqCst) + 0x9c41_d07b)
    }
}

/// Plays the case. Returns 1 if the rule was broken, 0 if it held, 2 if it could not run.
pub fn run(record: &Path, trouble: bool) -> i32 {
    let mut deployment = Deployment::new(&["zone-a", "zone-b"], MEMORY_MB, record);
    let record = deployment.record.clone();
    deployment.store.write("op/config", CONFIG.as_bytes());
    let runs = Runs::default();
    for number in 0..3 {
        start_plain_replica(&deployment, number, "rdv-app", WORK, &runs);
    }
    for host in &mut deployment.hosts {
        host.start();
    }
    if !deployment.wait_ready(Duration::from_secs(20)) {
        record.note("the hosts did not become ready");
        return 2;
    }
    let outcomes = Arc::<Outcomes>::default();
    let mut users = Vec::new();
    for host in &deployment.hosts {
        let addr = host.callers;
        for _ in 0..BOOKERS {
            let (outcomes, record) = (outcomes.clone(), record.clone());
            users.push(thread::spawn(move || book(addr, &outcomes, &record)));
        }
        for user in 0..UPLOADERS {
            let (outcomes, record) = (outcomes.clone(), record.clone());
            users.push(thread::spawn(move || {
                // Usual users do not begin together.
                thread::sleep(UPLOAD_TIME.mul_f64(user as f64 / UPLOADERS as f64));
                upload(addr, &outcomes, &record, None);
            }));
        }
    }
    let began = Instant::now();
    let mut peaks = vec![0; deployment.hosts.len()];
    let mut ends = vec![0; deployment.hosts.len()];
    let mut burst_sent = false;
    while began.elapsed() < Duration::from_secs(20) {
        if trouble && !burst_sent && began.elapsed() >= Duration::from_secs(8) {
            burst_sent = true;
            record.note("the burst begins: 2.2 times as many users upload for 4 s");
            let more = (UPLOADERS as f64 * (BURST - 1.0)) as usize;
            for host in &deployment.hosts {
                for _ in 0..more {
                    let (addr, outcomes, record) = (host.callers, outcomes.clone(), record.clone());
                    let until = Instant::now() + BURST_LENGTH;
                    users.push(thread::spawn(move || {
                        upload(addr, &outcomes, &record, Some(until));
                    }));
                }
            }
        }
        for (i, host) in deployment.hosts.iter_mut().enumerate() {
            let memory = host.memory_kib();
            peaks[i] = memory.max(peaks[i]);
            if memory > MEMORY_MB * 1024 {
                record.note(&format!("{} takes {memory} KiB: the platform kills it", host.name));
                ends[i] += 1;
                host.kill();
                thread::sleep(Duration::from_millis(300));
                host.start();
            }
        }
        thread::sleep(Duration::from_millis(5));
    }
    outcomes.stop.store(true, Ordering::SeqCst);
    for user in users {
        let _ = user.join();
    }
    let ran = runs.lock().unwrap();
    let closed = outcomes.closed.lock().unwrap();
    let lost: Vec<&String> = closed.iter().filter(|id| ran.contains_key(*id)).collect();
    for id in &lost {
        record.note(&format!(
            "LOST: {id} ran at {:?} and its connection closed unanswered",
            ran[*id]
        ));
    }
    for (i, host) in deployment.hosts.iter().enumerate() {
        record.note(&format!(
            "{}: at most {} KiB resident, ended {} times for memory",
            host.name, peaks[i], ends[i]
        ));
    }
    for (what, count) in outcomes.statuses.lock().unwrap().iter() {
        record.note(&format!("answers: {what}: {count}"));
    }
    record.note(&format!("{} requests lost, the rule allows {ALLOWED}", lost.len()));
    i32::from(lost.len() > ALLOWED)
}

/// Books one slot after the other on a kept connection.
pub fn book(addr: SocketAddr, outcomes: &Outcomes, record: &Record) {
    while !outcomes.stop.load(Ordering::SeqCst) {
        let Ok(mut connection) = Connection::open(addr) else {
            thread::sleep(Duration::from_millis(200));
            continue;
        };
        let mut used = 0;
        while !outcomes.stop.load(Ordering::SeqCst) {
            let id = outcomes.id("b");
            let body = format!("slot of {id}");
            let request = format!(
                "POST /book/2f HTTP/1.1\r\nHost: rdv.example\r\nX-Aspenloft-Attempt-Id: {id}\r\nX-Aspenloft-Deadline-Ms: 1000\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            );
            record.note(&format!("book {id} sent to {addr}"));
            let sent = connection.writer.write_all(request.as_bytes());
            let answered = sent.and_then(|()| connection.read(Duration::from_millis(1_000)));
            let Ok(answer) = answered else {
                record.note(&format!("book {id}: the connection closed without an answer"));
                outcomes.count("book: closed");
                if used > 0 {
                    outcomes.closed.lock().unwrap().push(id);
                }
                break;
            };
            used += 1;
            record.note(&format!("book {id} answered {}", answer.status()));
            outcomes.count(&format!("book: {}", answer.status()));
            if answer.header("connection").is_some_and(|value| value == "close") {
                break;
            }
            thread::sleep(Duration::from_millis(20));
        }
    }
}

/// Uploads one body after the other, each in chunks on a new connection.
fn upload(addr: SocketAddr, outcomes: &Outcomes, record: &Record, until: Option<Instant>) {
    let chunk = vec![b'n'; CHUNK_BYTES];
    let chunks = BODY_BYTES / CHUNK_BYTES;
    while !outcomes.stop.load(Ordering::SeqCst) && until.is_none_or(|until| Instant::now() < until)
    {
        let Ok(mut connection) = Connection::open(addr) else {
            thread::sleep(Duration::from_millis(200));
            continue;
        };
        let id = outcomes.id("u");
        let head = format!(
            "POST /notes/2f HTTP/1.1\r\nHost: rdv.example\r\nX-Aspenloft-Attempt-Id: {id}\r\nX-Aspenloft-Deadline-Ms: 14000\r\nTransfer-Encoding: chunked\r\n\r\n"
        );
        record.note(&format!("upload {id} begins at {addr}"));
        let began = Instant::now();
        let mut sent = connection.writer.write_all(head.as_bytes()).is_ok();
        for number in 0..chunks {
            let due = began + UPLOAD_TIME.mul_f64(number as f64 / chunks as f64);
            thread::sleep(due.saturating_duration_since(Instant::now()));
            let size = format!("{CHUNK_BYTES:x}\r\n");
            sent = sent
                && connection.writer.write_all(size.as_bytes()).is_ok()
                && connection.writer.write_all(&chunk).is_ok()
                && connection.writer.write_all(b"\r\n").is_ok();
            if !sent {
                break;
            }
        }
        let _ = connection.writer.write_all(b"0\r\n\r\n");
        let what = match connection.read(Duration::from_secs(10)) {
            Ok(answer) => answer.status().to_string(),
            Err(_) => "closed".to_string(),
        };
        record.note(&format!("upload {id}: {what}"));
        outcomes.count(&format!("upload: {what}"));
    }
}
