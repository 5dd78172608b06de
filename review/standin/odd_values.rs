//! Another writer leaves entries with values that cannot be read, each as large as the store
//! allows. The platform ends a process that exceeds the memory of its settings.

use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::{Duration, Instant};

use crate::deployment::{Deployment, Runs, start_plain_replica};
use crate::uploads::{Outcomes, book};

/// `memory_mb` of the settings.
const MEMORY_MB: u64 = 110;

/// The number of entries, and the size of their values: `value_bytes` of the settings.
const ENTRIES: usize = 40;
const VALUE_BYTES: usize = 1_048_576;

/// Users that book at each host, on kept connections, one booking after the other.
const BOOKERS: usize = 8;

/// How long a replica works on a request.
const WORK: Duration = Duration::from_millis(100);

/// When the other writer writes, and how long the case lasts.
const WRITTEN_AT: Duration = Duration::from_secs(4);
const SPAN: Duration = Duration::from_secs(20);

/// How many requests the rule allows to be passed on and then lose their connections.
const ALLOWED: usize = 3;

const CONFIG: &str = r#"{"version":7,"routes":[
{"name":"r-book","host":"rdv.example","path_prefix":"/book/","kind":"non_idempotent","timeout_ms":1000,"target_latency_ms":120,"priority":1,"service":"rdv-app","max_attempts":1}],
"services":[{"name":"rdv-app","health_path":"/health","max_connections":110,"protocol":"h1","tls":false}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}"#;

/// Plays the case. Returns 1 if the rule was broken, 0 if it held, 2 if it could not run.
pub fn run(record: &Path, trouble: bool) -> i32 {
    let mut deployment = Deployment::new(&["zone-a", "zone-b", "zone-c"], MEMORY_MB, record);
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
        for _ in 0..BOOKERS {
            let (addr, outcomes, record) = (host.callers, outcomes.clone(), record.clone());
            users.push(thread::spawn(move || book(addr, &outcomes, &record)));
        }
    }
    let began = Instant::now();
    let mut peaks = vec![0; deployment.hosts.len()];
    let mut ends = vec![0; deployment.hosts.len()];
    let mut is_written = false;
    while began.elapsed() < SPAN {
        if trouble && !is_written && began.elapsed() >= WRITTEN_AT {
            is_written = true;
            record.note(&format!("another writer writes {ENTRIES} entries of {VALUE_BYTES} bytes"));
            for number in 0..ENTRIES {
                deployment.store.write(&format!("servers/odd-{number}"), &vec![0xff; VALUE_BYTES]);
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
        thread::sleep(Duration::from_millis(3));
    }
    let ready = deployment.hosts.iter().filter(|host| host.is_ready()).count();
    outcomes.stop.store(true, Ordering::SeqCst);
    for user in users {
        let _ = user.join();
    }
    let ran = runs.lock().unwrap();
    let closed = outcomes.closed.lock().unwrap();
    let lost: Vec<&String> = closed.iter().filter(|id| ran.contains_key(*id)).collect();
    for id in &lost {
        let at = &ran[*id];
        record.note(&format!("LOST: {id} ran at {at:?} and its connection closed unanswered"));
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
    record.note(&format!("{ready} hosts ready at the end"));
    record.note(&format!("{} requests lost, the rule allows {ALLOWED}", lost.len()));
    i32::from(lost.len() > ALLOWED)
}
