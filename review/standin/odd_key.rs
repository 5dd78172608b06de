//! Another writer leaves an entry whose name is no plain word, of the size that the store
//! allows, so that a page of items ends with it. Later all processes are killed.

use std::io::Write;
use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

use crate::deployment::{Deployment, Runs, start_plain_replica};
use crate::http::Connection;

/// The key of the other writer, 20 bytes of the 200 that a key may have.
const ODD_KEY: &str = "servers/Dakar rack 7";

/// The size of its value: `value_bytes` of the settings.
const ODD_VALUE_BYTES: usize = 1_048_576;

/// `recovery_s`.
const RECOVERY: Duration = Duration::from_secs(12);

/// How long the processes are down.
const DOWN: Duration = Duration::from_secs(1);

/// How long requests are counted before the kill, and after the recovery.
const SPAN: Duration = Duration::from_secs(5);

const CONFIG: &str = r#"{"version":7,"routes":[
{"name":"r-lookup","host":"rdv.example","path_prefix":"/lookup/","kind":"idempotent","timeout_ms":1000,"target_latency_ms":120,"priority":1,"service":"rdv-app","max_attempts":2}],
"services":[{"name":"rdv-app","health_path":"/health","max_connections":110,"protocol":"h1","tls":false}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}"#;

/// Plays the case. Returns 1 if the rule was broken, 0 if it held, 2 if it could not run.
pub fn run(record: &Path, trouble: bool) -> i32 {
    let mut deployment = Deployment::new(&["zone-a", "zone-b", "zone-c"], 110, record);
    let record = deployment.record.clone();
    deployment.store.write("op/config", CONFIG.as_bytes());
    let runs = Runs::default();
    for number in 0..3 {
        let work = Duration::from_millis(15);
        start_plain_replica(&deployment, number, "rdv-app", work, &runs);
    }
    for host in &mut deployment.hosts {
        host.start();
    }
    if !deployment.wait_ready(Duration::from_secs(20)) {
        record.note("the hosts did not become ready");
        return 2;
    }
    let mut next_id = 0;
    if trouble {
        record.note(&format!("another writer writes {ODD_KEY:?}, {ODD_VALUE_BYTES} bytes"));
        deployment.store.write(ODD_KEY, &vec![0xff; ODD_VALUE_BYTES]);
        thread::sleep(Duration::from_secs(3));
    }
    let (before, sent_before) = send_for(&deployment, SPAN, &mut next_id);
    record.note(&format!("before the final fault: {before} of {sent_before} served"));
    if before * 4 < sent_before {
        return 2;
    }
    record.note("all processes are killed");
    for host in &mut deployment.hosts {
        host.kill();
    }
    thread::sleep(DOWN);
    record.note("all processes start again");
    for host in &mut deployment.hosts {
        host.start();
    }
    thread::sleep(RECOVERY);
    let (after, sent_after) = send_for(&deployment, SPAN, &mut next_id);
    let ready = deployment.hosts.iter().filter(|host| host.is_ready()).count();
    record.note(&format!("after recovery_s: {after} of {sent_after} served, {ready} hosts ready"));
    i32::from(after * 4 < sent_after)
}

/// Sends requests to all hosts for `span`; returns how many were served, and how many sent.
fn send_for(deployment: &Deployment, span: Duration, next_id: &mut u64) -> (usize, usize) {
    let until = Instant::now() + span;
    let (mut served, mut sent) = (0, 0);
    while Instant::now() < until {
        for host in &deployment.hosts {
            *next_id += 1;
            sent += 1;
            let id = format!("{:016x}", 0x9c41_d07b_0000 + *next_id);
            let request = format!(
                "GET /lookup/2f HTTP/1.1\r\nHost: rdv.example\r\nX-Aspenloft-Attempt-Id: {id}\r\nX-Aspenloft-Deadline-Ms: 1000\r\n\r\n"
            );
            let answered = Connection::open(host.callers).and_then(|mut connection| {
                connection.writer.write_all(request.as_bytes())?;
                connection.read(Duration::from_millis(1_000))
            });
            let what =
                answered.map_or("no answer".to_string(), |answer| answer.status().to_string());
            served += usize::from(what == "200");
            deployment.record.note(&format!("{id} sent to {}: {what}", host.name));
        }
        thread::sleep(Duration::from_millis(100));
    }
    (served, sent)
}
