//! A call that a host accepts late in its planned stop, and that it cuts.
//!
//! Two of the three hosts of a zone are stopped at the same time. The balancer then uses all
//! hosts of the zone, so that new connections reach the two until they end.

use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::store::Store;
use crate::world::{
    Answer, Balancer, GRACE_S, Kind, Node, Record, Replica, Request, SIGTERM, free_ports, send,
    wait_ready, work_dir,
};

const TIMEOUT_MS: u64 = 2_500;
const DEADLINE_MS: u64 = 2_500;
const CALLS_PER_S: u64 = 66;
const SILENT: Duration = Duration::from_millis(1_500);
const SILENT_AFTER: Duration = Duration::from_millis(6_150);

pub fn run(record: &Record, trouble: bool) -> std::io::Result<bool> {
    let dir = work_dir("stop-call")?;
    let store = Store::start("127.0.0.1:0")?;
    store.put("op/config", &format!(
        r#"{{"version":7,"routes":[{{"name":"r-book","host":"ficu95.example","path_prefix":"/book/","kind":"non_idempotent","timeout_ms":{TIMEOUT_MS},"target_latency_ms":200,"priority":2,"service":"trailapp","max_attempts":1}},{{"name":"r-describe","host":"ficu95.example","path_prefix":"/describe/","kind":"streaming","timeout_ms":14000,"target_latency_ms":1000,"priority":1,"service":"scribe","max_attempts":1,"sticky":true,"resumable":false,"target_gap_ms":300}}],"services":[{{"name":"scribe","health_path":"/health","max_connections":360,"engine":{{"slots":64,"kv_capacity_tokens":42786,"kv_token_bytes":18432,"link_mbps":740000.0,"stride":1,"handle_ttl_s":0.5,"switch_s":6.0,"models":[{{"name":"m"}}]}}}},{{"name":"trailapp","health_path":"/health","max_connections":96}}],"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}}}"#
    ));
    let mut replicas = Vec::new();
    for (index, zone) in ["lhr-a", "lhr-b", "lhr-c"].iter().enumerate() {
        let work = Kind::Plain(Duration::from_millis(30));
        let id = format!("i-app{index}");
        let replica = Replica::start(record, &id, "trailapp", zone, "v1", work, "\n")?;
        store.put(&format!("servers/{id}"), &replica.entry(6, "ready"));
        replicas.push(replica);
    }
    let engines = [("i-pre0", Kind::Prefill), ("i-dec0", Kind::Decode(Duration::from_millis(50)))];
    for (id, kind) in engines {
        let replica = Replica::start(record, id, "scribe", "lhr-a", "v1", kind, "\n")?;
        store.put(&format!("servers/{id}"), &replica.entry(64, "ready"));
    }
    let ips: Vec<String> = (1..=3).map(|n| format!("127.0.31.{n}")).collect();
    let ports = free_ports(&ips);
    let mut nodes = Vec::new();
    for (index, ip) in ips.iter().enumerate() {
        nodes.push(Node::start(&dir, index + 1, ip, "lhr-a", ports, &ips, &store)?);
    }
    if !wait_ready(&nodes) {
        return Err(std::io::Error::other("the hosts are not ready"));
    }
    let nodes = Arc::new(nodes);
    let balancer = Balancer::start(nodes.clone(), record);
    let start = Instant::now();
    let stop_at = start + Duration::from_millis(3_500);
    let end = stop_at + Duration::from_secs(GRACE_S) + Duration::from_millis(1_200);
    let answers: Arc<Mutex<Vec<(usize, String, Answer)>>> = Arc::default();
    let mut clients = Vec::new();
    // An ordinary stream on each host, which ends within the grace period.
    for index in 0..2 {
        let (nodes, record) = (nodes.clone(), record.clone());
        clients.push(thread::spawn(move || {
            thread::sleep(Duration::from_millis(2_600));
            let req = stream_request(index);
            send(&record, nodes[index].front, &nodes[index].name, &req);
        }));
    }
    let (mut sent, mut stopped, mut silenced) = (0_usize, false, false);
    while Instant::now() < end {
        let now = Instant::now();
        if now >= stop_at && !stopped {
            stopped = true;
            for node in nodes.iter().take(2).filter(|_| trouble) {
                record.line(&format!("SIGTERM to {}", node.name));
                node.signal(SIGTERM);
            }
        }
        if now >= stop_at + SILENT_AFTER && !silenced {
            silenced = true;
            replicas.iter().take(2).for_each(|replica| replica.fall_silent(SILENT));
        }
        for (index, node) in nodes.iter().enumerate().take(2) {
            if let Some(status) = node.exited().filter(|_| !EXITED.lock().unwrap().contains(&index))
            {
                EXITED.lock().unwrap().push(index);
                record.line(&format!("{} has ended: {status}", node.name));
            }
        }
        let index = balancer.pick(sent);
        let (nodes, answers, record) = (nodes.clone(), answers.clone(), record.clone());
        let req = Request {
            id: format!("{sent:016x}"),
            method: "POST",
            path: format!("/book/{}", sent % 50),
            headers: Vec::new(),
            body: format!("slot {sent}").into_bytes(),
            deadline_ms: DEADLINE_MS,
        };
        clients.push(thread::spawn(move || {
            let answer = send(&record, nodes[index].front, &nodes[index].name, &req);
            answers.lock().unwrap().push((index, req.id, answer));
        }));
        sent += 1;
        thread::sleep(Duration::from_millis(1_000 / CALLS_PER_S));
    }
    for client in clients {
        let _ = client.join();
    }
    Ok(judge(record, &answers.lock().unwrap(), stop_at, trouble))
}

fn stream_request(index: usize) -> Request {
    let headers = [
        ("X-Aspenloft-Model", "m".to_string()),
        ("X-Aspenloft-Token-Usage", "3000,155".to_string()),
        ("X-Aspenloft-Prompt-Prefix", format!("5c1e07a2:200,91bd3f0{index}:2800")),
    ];
    Request {
        id: format!("stream{index:010x}"),
        method: "POST",
        path: "/describe/1".to_string(),
        headers: headers.map(|(name, value)| (name.to_string(), value)).to_vec(),
        body: b"a catalogue note".to_vec(),
        deadline_ms: 14_000,
    }
}

static EXITED: Mutex<Vec<usize>> = Mutex::new(Vec::new());

/// LOST around planned work: a process has read a whole request, and the connection ends without a
/// complete answer. What ends unread is told from it by the runs: only a call that a replica began
/// counts here.
fn judge(
    record: &Record,
    answers: &[(usize, String, Answer)],
    stop_at: Instant,
    trouble: bool,
) -> bool {
    let planned_until = stop_at + Duration::from_secs(GRACE_S + 1);
    let runs = record.runs();
    let mut lost = 0;
    let mut statuses: Vec<(String, usize)> = Vec::new();
    for (index, id, answer) in answers {
        let status =
            if answer.status == 0 { "no answer".into() } else { answer.status.to_string() };
        match statuses.iter_mut().find(|(known, _)| *known == status) {
            Some((_, count)) => *count += 1,
            None => statuses.push((status, 1)),
        }
        let took = answer.ended_at.duration_since(answer.sent_at);
        // Excused: the deadline and the route's timeout, and calls of the first 3 s, at which a
        // replica may be at work in the last sixth of the grace period.
        let is_timely = took < Duration::from_millis(TIMEOUT_MS.min(DEADLINE_MS));
        let is_late_call = answer.sent_at > stop_at + Duration::from_secs(3);
        let is_planned = trouble && *index < 2 && answer.ended_at < planned_until;
        if answer.sent
            && !answer.complete
            && is_planned
            && is_late_call
            && is_timely
            && runs.contains(id)
        {
            lost += 1;
            record.line(&format!(
                "LOST: {id}, sent {} ms after the SIGTERM and passed on to a replica, has no answer {} ms later",
                answer.sent_at.duration_since(stop_at).as_millis(),
                took.as_millis()
            ));
        }
    }
    record.line(&format!("{} calls: {statuses:?}; {lost} lost", answers.len()));
    lost > 0
}
