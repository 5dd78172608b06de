//! The hosts of a zone are stopped one after the other, while a replica is silent for a
//! moment. The balancer goes on to send clients, as too few hosts are in rotation, and streams
//! keep the hosts until the end.

use std::collections::BTreeMap;
use std::io::Write;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::deployment::{Deployment, Record, Runs, start_plain_replica};
use crate::engine::{Behaviour, Engine, hash};
use crate::http::Connection;

/// The hosts of the zone.
const ZONES: [&str; 2] = ["zone-a", "zone-a"];

/// The pause between two stops, and the time until a process is killed.
const GAP: Duration = Duration::from_millis(1_000);
const GRACE: Duration = Duration::from_secs(8);

/// How long a host is down before it starts again.
const RESTART: Duration = Duration::from_millis(500);

/// When the replica falls silent, after the first stop, and for how long.
const SILENT_AT: Duration = Duration::from_millis(6_250);
const SILENT_FOR: Duration = Duration::from_millis(1_400);

/// The clients, each with a new connection for each request, and the pause between requests.
const CLIENTS: usize = 24;
const PAUSE: Duration = Duration::from_millis(150);

/// The callers of the model at each host, and the time between two events of a stream, which
/// has 69 of them.
const CALLERS: usize = 4;
const EVENT_INTERVAL: Duration = Duration::from_millis(80);

const DEADLINE: Duration = Duration::from_millis(2_500);

/// Up to this time after the stop the rule has an excuse for requests that take long.
const EXCUSED: Duration = Duration::from_secs(3);

const CONFIG: &str = r#"{"version":7,"routes":[
{"name":"r-book","host":"trails.example","path_prefix":"/book/","kind":"non_idempotent","timeout_ms":2500,"target_latency_ms":200,"priority":1,"service":"trailapp","max_attempts":1},
{"name":"r-describe","host":"trails.example","path_prefix":"/describe/","kind":"streaming","timeout_ms":14000,"target_latency_ms":1000,"priority":1,"service":"scribe","max_attempts":1,"sticky":true,"resumable":false,"target_gap_ms":300}],
"services":[{"name":"trailapp","health_path":"/health","max_connections":96,"protocol":"h1","tls":false},{"name":"scribe","health_path":"/health","max_connections":360,"protocol":"h1","tls":false,"engine":{"slots":64,"kv_capacity_tokens":42786,"kv_token_bytes":18432,"link_mbps":740000.0,"moves":true,"backups":true,"stride":13,"most":12,"handle_ttl_s":0.5,"switch_s":6.0,"pin_ms":4000.0,"hold_ms":2000.0,"models":[{"name":"m"}]}}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}"#;

/// What the balancer and the platform know of a host.
struct Front {
    addr: SocketAddr,
    in_rotation: AtomicBool,
    stopped_at: Mutex<Option<Instant>>,
}

struct World {
    fronts: Vec<Front>,
    record: Record,
    runs: Runs,
    lost: Mutex<Vec<String>>,
    statuses: Mutex<BTreeMap<String, usize>>,
    done: AtomicBool,
    next_id: AtomicU64,
}

impl World {
    /// Returns the host for a new connection: those in rotation, or all of the zone if that are
    /// fewer than half.
    fn front(&self, hash: u64) -> &Front {
        let ready: Vec<&Front> =
            self.fronts.iter().filter(|f| f.in_rotation.load(Ordering::SeqCst)).collect();
        let fronts =
            if ready.len() * 2 < self.fronts.len() { self.fronts.iter().collect() } else { ready };
        fronts[hash as usize % fronts.len()]
    }
}

/// Plays the case. Returns 1 if the rule was broken, 0 if it held, 2 if it could not run.
pub fn run(record: &Path, trouble: bool) -> i32 {
    let mut deployment = Deployment::new(&ZONES, 110, record);
    let record = deployment.record.clone();
    deployment.store.write("op/config", CONFIG.as_bytes());
    let runs = Runs::default();
    let silences: Vec<_> = (0..3)
        .map(|number| {
            let work = Duration::from_millis(30);
            start_plain_replica(&deployment, number, "trailapp", work, &runs)
        })
        .collect();
    let seen = Arc::default();
    for number in 3..9 {
        let stage = if number < 5 { "prefill" } else { "decode" };
        let behaviour = Behaviour { event_interval: EVENT_INTERVAL, deadly: None };
        Engine::start(&deployment, number, "scribe", stage, behaviour, &seen);
    }
    for host in &mut deployment.hosts {
        host.start();
    }
    if !deployment.wait_ready(Duration::from_secs(20)) {
        record.note("the hosts did not become ready");
        return 2;
    }
    let fronts = deployment.hosts.iter().map(|host| Front {
        addr: host.callers,
        in_rotation: AtomicBool::new(true),
        stopped_at: Mutex::default(),
    });
    let world = Arc::new(World {
        fronts: fronts.collect(),
        record: record.clone(),
        runs,
        lost: Mutex::default(),
        statuses: Mutex::default(),
        done: AtomicBool::new(false),
        next_id: AtomicU64::new(0),
    });
    let callers: Vec<_> = (0..CALLERS * ZONES.len())
        .map(|number| {
            let world = world.clone();
            thread::spawn(move || describe(&world, number % ZONES.len()))
        })
        .collect();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|_| {
            let world = world.clone();
            thread::spawn(move || book(&world))
        })
        .collect();
    let mut misses = vec![0; deployment.hosts.len()];
    let mut restart_at: Vec<Option<Instant>> = vec![None; deployment.hosts.len()];
    let began = Instant::now();
    let mut probe_due = began;
    let first_stop = began + Duration::from_secs(4);
    let (mut stopped, mut silenced) = (0, false);
    while began.elapsed() < Duration::from_secs(18) {
        let now = Instant::now();
        if now >= probe_due {
            probe_due += Duration::from_secs(1);
            for (i, host) in deployment.hosts.iter().enumerate() {
                misses[i] = if host.is_ready() { 0 } else { misses[i] + 1 };
                let in_rotation = misses[i] < 2;
                let front = &world.fronts[i];
                if front.in_rotation.swap(in_rotation, Ordering::SeqCst) != in_rotation {
                    record.note(&format!("{} in rotation: {in_rotation}", host.name));
                }
            }
        }
        if stopped < deployment.hosts.len()
            && now >= first_stop + GAP * u32::try_from(stopped).unwrap_or(0)
            && trouble
        {
            record.note(&format!("SIGTERM to {}", deployment.hosts[stopped].name));
            *world.fronts[stopped].stopped_at.lock().unwrap() = Some(Instant::now());
            deployment.hosts[stopped].terminate();
            stopped += 1;
        }
        if !silenced && now >= first_stop + SILENT_AT {
            silenced = true;
            record.note(&format!("i-trailapp-0 is silent for {SILENT_FOR:?}"));
            *silences[0].lock().unwrap() = Some(now + SILENT_FOR);
        }
        for (i, host) in deployment.hosts.iter_mut().enumerate() {
            let stopped_at = *world.fronts[i].stopped_at.lock().unwrap();
            let is_killed = stopped_at.is_some_and(|at| now >= at + GRACE);
            if restart_at[i].is_none() && stopped_at.is_some() && (is_killed || host.has_ended()) {
                record.note(&format!("{} has ended", host.name));
                host.kill();
                restart_at[i] = Some(now + RESTART);
            }
            if restart_at[i].is_some_and(|at| now >= at) {
                record.note(&format!("{} starts again", host.name));
                restart_at[i] = None;
                *world.fronts[i].stopped_at.lock().unwrap() = None;
                host.start();
            }
        }
        thread::sleep(Duration::from_millis(5));
    }
    world.done.store(true, Ordering::SeqCst);
    for client in clients.into_iter().chain(callers) {
        let _ = client.join();
    }
    for (what, count) in world.statuses.lock().unwrap().iter() {
        record.note(&format!("answers: {what}: {count}"));
    }
    let lost = world.lost.lock().unwrap();
    for line in lost.iter() {
        record.note(line);
    }
    record.note(&format!("{} requests lost, the rule allows none", lost.len()));
    i32::from(!lost.is_empty())
}

/// Asks for one stream after the other at the host `index`, or at the next one that takes it.
fn describe(world: &World, index: usize) {
    let mut index = index;
    while !world.done.load(Ordering::SeqCst) {
        let number = world.next_id.fetch_add(1, Ordering::SeqCst);
        let id = format!("{:016x}", 0x9c41_d07b_0000 + number);
        let addr = world.fronts[index % world.fronts.len()].addr;
        let request = format!(
            "POST /describe/2f HTTP/1.1\r\nHost: trails.example\r\nX-Aspenloft-Attempt-Id: {id}\r\nX-Aspenloft-Model: m\r\nX-Aspenloft-Token-Usage: 3000,1800\r\nX-Aspenloft-Prompt-Prefix: 5c1e07a2:200,{:08x}:2800\r\nX-Aspenloft-Deadline-Ms: 14000\r\nContent-Length: 16\r\n\r\n{id}",
            hash(&id) as u32
        );
        world.record.note(&format!("stream {id} sent to {addr}"));
        let answered = Connection::open(addr).and_then(|mut connection| {
            connection.writer.write_all(request.as_bytes())?;
            connection.read(Duration::from_secs(14))
        });
        let what = answered.map_or("closed".to_string(), |answer| answer.status().to_string());
        world.record.note(&format!("stream {id}: {what}"));
        if what != "200" {
            index += 1;
            thread::sleep(PAUSE);
        }
        *world.statuses.lock().unwrap().entry(format!("stream {what}")).or_default() += 1;
    }
}

/// Books one slot after the other, each on a new connection.
fn book(world: &World) {
    while !world.done.load(Ordering::SeqCst) {
        let number = world.next_id.fetch_add(1, Ordering::SeqCst);
        let id = format!("{:016x}", 0x9c41_d07b_0000 + number);
        let front = world.front(number);
        let body = format!("slot of {id}");
        let request = format!(
            "POST /book/2f HTTP/1.1\r\nHost: trails.example\r\nX-Aspenloft-Attempt-Id: {id}\r\nX-Aspenloft-Deadline-Ms: 2500\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        let Ok(mut connection) = Connection::open(front.addr) else {
            *world.statuses.lock().unwrap().entry("no connection".to_string()).or_default() += 1;
            thread::sleep(PAUSE);
            continue;
        };
        let sent_at = Instant::now();
        let stopped_at = *front.stopped_at.lock().unwrap();
        world.record.note(&format!("{id} sent to {}", front.addr));
        let sent = connection.writer.write_all(request.as_bytes());
        let answered = sent.and_then(|()| connection.read(DEADLINE));
        let what = match &answered {
            Ok(answer) => answer.status().to_string(),
            Err(_) => "closed".to_string(),
        };
        world.record.note(&format!("{id}: {what} after {:?}", sent_at.elapsed()));
        *world.statuses.lock().unwrap().entry(what).or_default() += 1;
        let ran = world.runs.lock().unwrap().get(&id).cloned();
        if let (Err(_), Some(ran), Some(stopped_at)) = (answered, ran, stopped_at)
            && sent_at.elapsed() < DEADLINE
            && sent_at > stopped_at + EXCUSED
        {
            world.lost.lock().unwrap().push(format!(
                "LOST: {id}, sent {:?} after the SIGTERM, ran at {ran:?}, and its connection closed {:?} after the SIGTERM without an answer",
                sent_at.duration_since(stopped_at),
                stopped_at.elapsed()
            ));
        }
        thread::sleep(PAUSE);
    }
}
