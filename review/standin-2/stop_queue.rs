//! A stream that waits for an engine at a host that is stopped as planned.
//!
//! All engines are busy with ordinary streams of the other host, until after the end of the
//! grace period. The host has read the request and cuts it without an answer.

use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::store::Store;
use crate::world::{
    GRACE_S, Kind, Node, Record, Replica, Request, SIGTERM, free_ports, send, wait_ready, work_dir,
};

const SLOTS: usize = 4;
const TARGET_MS: u64 = 4_000;
const TIMEOUT_MS: u64 = 14_000;
const EVENTS: u64 = 170;
const EVENT_INTERVAL: Duration = Duration::from_millis(60);
/// `loss_slack_ms` of the bounds.
const LOSS_SLACK: Duration = Duration::from_millis(200);

pub fn run(record: &Record, trouble: bool) -> std::io::Result<bool> {
    let dir = work_dir("stop-queue")?;
    let store = Store::start("127.0.0.1:0")?;
    store.put("op/config", &format!(
        r#"{{"version":7,"routes":[{{"name":"r-advise","host":"ficu95.example","path_prefix":"/advise/","kind":"streaming","timeout_ms":{TIMEOUT_MS},"target_latency_ms":{TARGET_MS},"priority":1,"service":"scribe","max_attempts":1,"sticky":true,"resumable":false,"target_gap_ms":300}}],"services":[{{"name":"scribe","health_path":"/health","max_connections":170,"engine":{{"slots":{SLOTS},"kv_capacity_tokens":34035,"kv_token_bytes":18432,"link_mbps":180000.0,"stride":1,"handle_ttl_s":0.5,"switch_s":6.0,"models":[{{"name":"m"}}]}}}}],"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}}}"#
    ));
    let engines = [
        ("i-pre0", "lhr-a", Kind::Prefill),
        ("i-dec0", "lhr-a", Kind::Decode(EVENT_INTERVAL)),
        ("i-dec1", "lhr-b", Kind::Decode(EVENT_INTERVAL)),
    ];
    for (id, zone, kind) in engines {
        let replica = Replica::start(record, id, "scribe", zone, "v1", kind, "\n")?;
        store.put(&format!("servers/{id}"), &replica.entry(SLOTS, "ready"));
    }
    let ips: Vec<String> = (1..=2).map(|n| format!("127.0.32.{n}")).collect();
    let ports = free_ports(&ips);
    let mut nodes = Vec::new();
    for (index, zone) in ["lhr-a", "lhr-b"].iter().enumerate() {
        nodes.push(Node::start(&dir, 1, &ips[index], zone, ports, &ips, &store)?);
    }
    if !wait_ready(&nodes) {
        return Err(std::io::Error::other("the hosts are not ready"));
    }
    let nodes = Arc::new(nodes);
    thread::sleep(Duration::from_millis(3_500));
    let client = |index: usize, node: usize| {
        let (nodes, record) = (nodes.clone(), record.clone());
        thread::spawn(move || {
            let req = request(index);
            send(&record, nodes[node].front, &nodes[node].name, &req)
        })
    };
    // Streams through the second host fill the places of both engines.
    let mut busy = Vec::new();
    for index in 0..2 * SLOTS {
        busy.push(client(index, 1));
        thread::sleep(Duration::from_millis(120));
    }
    let waiting = client(2 * SLOTS, 0);
    thread::sleep(Duration::from_millis(500));
    let stop_at = Instant::now();
    if trouble {
        record.line(&format!("SIGTERM to {}", nodes[0].name));
        nodes[0].signal(SIGTERM);
    }
    let answer = waiting.join().map_err(|_| std::io::Error::other("a client has failed"))?;
    if let Some(status) = nodes[0].exited() {
        record.line(&format!("{} has ended: {status}", nodes[0].name));
    }
    let mut served = 0;
    for client in busy {
        served += usize::from(client.join().is_ok_and(|answer| answer.complete));
    }
    if served < 2 * SLOTS {
        return Err(std::io::Error::other(format!("{served} of the other streams were served")));
    }
    // LOST around planned work. No replica has begun the request, so that work in the last sixth
    // of the grace period is no excuse, and neither its deadline nor its timeout has passed.
    let took = answer.ended_at.duration_since(answer.sent_at);
    let is_planned = answer.ended_at < stop_at + Duration::from_secs(GRACE_S + 1);
    let was_run = record.runs().contains(&request(2 * SLOTS).id);
    let lost = answer.sent
        && !answer.complete
        && is_planned
        && !was_run
        && took > LOSS_SLACK
        && took < Duration::from_millis(TIMEOUT_MS);
    record.line(&format!(
        "the request that waited: status {}, complete {}, run {was_run}, lost {lost}",
        answer.status, answer.complete
    ));
    if !trouble && !answer.complete {
        return Err(std::io::Error::other("the request was not answered without the disruption"));
    }
    Ok(lost)
}

fn request(index: usize) -> Request {
    let headers = [
        ("X-Aspenloft-Model", "m".to_string()),
        (
            "X-Aspenloft-Token-Usage",
            format!("3000,{}", if index < 2 * SLOTS { EVENTS } else { 40 }),
        ),
        ("X-Aspenloft-Prompt-Prefix", format!("5c1e07a2:200,91bd3f{index:02x}:2800")),
    ];
    Request {
        id: format!("advise{index:010x}"),
        method: "POST",
        path: "/advise/1".to_string(),
        headers: headers.map(|(name, value)| (name.to_string(), value)).to_vec(),
        body: b"a dealer history".to_vec(),
        deadline_ms: TIMEOUT_MS,
        break_at: None,
    }
}
