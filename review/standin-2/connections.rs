//! The usual traffic reaches the one host that is left, and each client keeps its connection.

use std::collections::VecDeque;
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::store::Store;
use crate::world::{
    Answer, Balancer, Kind, MEMORY_MB, Node, Record, Replica, Request, SIGKILL, free_ports,
    send_on, wait_ready, work_dir,
};

/// The requests a second of the sheet of ANRPE: 47.6 + 19.1 calls, 1.98 + 16.2 streams.
const CALLS_PER_S: f64 = 66.7;
const STREAMS_PER_S: f64 = 18.2;
/// One stream of this many comes on a connection that has been kept after a call.
const KEPT_STREAMS: usize = 6;
/// Clients use connections that have been idle for up to four fifths of `idle_timeout_ms`.
const KEPT: Duration = Duration::from_secs(12);
const ZONES: usize = 3;
/// How many nodes a client tries.
const TRIES: usize = 3;
const SPAN: Duration = Duration::from_secs(24);

pub fn run(record: &Record, trouble: bool) -> std::io::Result<bool> {
    let dir = work_dir("connections")?;
    let store = Store::start("127.0.0.1:0")?;
    store.put("op/config", r#"{"version":7,"routes":[{"name":"r-reserver","host":"ficu95.example","path_prefix":"/reserver/","kind":"non_idempotent","timeout_ms":1000,"target_latency_ms":120,"priority":2,"service":"rdv-app","max_attempts":1},{"name":"r-rapport","host":"ficu95.example","path_prefix":"/rapport/","kind":"streaming","timeout_ms":14000,"target_latency_ms":1000,"priority":1,"service":"resume-llm","max_attempts":1,"sticky":true,"resumable":false,"target_gap_ms":300}],"services":[{"name":"resume-llm","health_path":"/health","max_connections":360,"engine":{"slots":64,"kv_capacity_tokens":342786,"kv_token_bytes":18432,"link_mbps":180000.0,"stride":1,"handle_ttl_s":0.5,"switch_s":6.0,"models":[{"name":"m"}]}},{"name":"rdv-app","health_path":"/health","max_connections":110}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}"#);
    let decode = Kind::Decode(Duration::from_millis(40));
    let replicas = [
        ("i-app0", "rdv-app", "dakar-a", Kind::Plain(Duration::from_millis(15))),
        ("i-app1", "rdv-app", "dakar-b", Kind::Plain(Duration::from_millis(15))),
        ("i-app2", "rdv-app", "dakar-c", Kind::Plain(Duration::from_millis(15))),
        ("i-pre0", "resume-llm", "dakar-a", Kind::Prefill),
        ("i-dec0", "resume-llm", "dakar-b", decode),
        ("i-dec1", "resume-llm", "dakar-c", decode),
        ("i-dec2", "resume-llm", "dakar-a", decode),
    ];
    for (id, service, zone, kind) in replicas {
        let replica = Replica::start(record, id, service, zone, "v1", kind, "\n")?;
        store.put(&format!("servers/{id}"), &replica.entry(64, "ready"));
    }
    let ips: Vec<String> = (1..=9).map(|n| format!("127.0.35.{n}")).collect();
    let ports = free_ports(&ips);
    // Three machines in each zone, as on the sheet.
    let mut nodes = Vec::new();
    for (index, ip) in ips.iter().enumerate() {
        let zone = ["dakar-a", "dakar-b", "dakar-c"][index / 3];
        nodes.push(Node::start(&dir, index % 3 + 1, ip, zone, ports, &ips[..3], &store)?);
    }
    if !wait_ready(&nodes) {
        return Err(std::io::Error::other("the hosts are not ready"));
    }
    let nodes = Arc::new(nodes);
    let balancer = Balancer::start(nodes.clone(), record);
    if trouble {
        for node in &nodes[1..] {
            record.line(&format!("{} is removed for good", node.name));
            node.signal(SIGKILL);
        }
    }
    // The balancer leaves them out, and the machine that is left is in touch again.
    thread::sleep(Duration::from_millis(3_500));
    let killed = Arc::new(AtomicBool::new(false));
    watch_memory(nodes.clone(), killed.clone(), record);
    let kept: Arc<Mutex<VecDeque<(Instant, TcpStream)>>> = Arc::default();
    let answers: Arc<Mutex<Vec<(String, bool, Answer)>>> = Arc::default();
    let mut clients = Vec::new();
    let (start, mut calls, mut streams) = (Instant::now(), 0_usize, 0_usize);
    while start.elapsed() < SPAN && !killed.load(Ordering::SeqCst) {
        let elapsed = start.elapsed().as_secs_f64();
        let req = if (calls as f64) < elapsed * CALLS_PER_S {
            calls += 1;
            call_request(calls)
        } else if (streams as f64) < elapsed * STREAMS_PER_S {
            streams += 1;
            stream_request(streams)
        } else {
            thread::sleep(Duration::from_millis(2));
            let mut kept = kept.lock().unwrap();
            while kept.front().is_some_and(|(at, _)| at.elapsed() > KEPT) {
                kept.pop_front();
            }
            continue;
        };
        let number = calls + streams;
        let (nodes, balancer, record) = (nodes.clone(), balancer.clone(), record.clone());
        let (kept, answers) = (kept.clone(), answers.clone());
        let is_stream = req.id.starts_with("stream");
        let reused = if is_stream && streams % KEPT_STREAMS == 0 {
            kept.lock().unwrap().pop_back().map(|(_, stream)| stream)
        } else {
            None
        };
        clients.push(thread::spawn(move || {
            let is_reused = reused.is_some();
            let (answer, stream) = match reused {
                Some(stream) => {
                    send_on(&record, || Ok(stream), "the host of a kept connection", &req)
                }
                // A client whose connection is refused tries other nodes, each on a new one.
                None => {
                    let connect = || {
                        let tries =
                            (0..TRIES).map(|attempt| balancer.pick(number + ZONES * attempt));
                        let mut opened = tries.map(|index| TcpStream::connect(nodes[index].front));
                        opened
                            .find(|opened| opened.is_ok())
                            .unwrap_or_else(|| Err(std::io::ErrorKind::ConnectionRefused.into()))
                    };
                    send_on(&record, connect, "a host", &req)
                }
            };
            answers.lock().unwrap().push((req.id, is_reused, answer));
            if let Some(stream) = stream {
                kept.lock().unwrap().push_back((Instant::now(), stream));
            }
        }));
    }
    record.line(&format!("{} connections are kept idle", kept.lock().unwrap().len()));
    for client in clients {
        let _ = client.join();
    }
    for node in nodes.iter() {
        if let Some((resident, peak)) = node.memory_mb() {
            record.line(&format!("{}: {resident:.0} MB resident, peak {peak:.0}", node.name));
        }
    }
    let runs = record.runs();
    let answers = answers.lock().unwrap();
    let is_lost = |id: &String, answer: &Answer| !answer.complete && runs.contains(id);
    let lost = answers.iter().filter(|(id, _, answer)| is_lost(id, answer)).count();
    let of_kept = answers.iter().filter(|(id, reused, a)| *reused && is_lost(id, a)).count();
    let complete = answers.iter().filter(|(.., answer)| answer.complete).count();
    record.line(&format!(
        "{} requests, {complete} complete, {lost} passed on to a replica and never answered, {of_kept} of them on kept connections",
        answers.len()
    ));
    Ok(killed.load(Ordering::SeqCst) && of_kept > 3)
}

/// Does what the platform does: a process that exceeds its memory is killed.
fn watch_memory(nodes: Arc<Vec<Node>>, killed: Arc<AtomicBool>, record: &Record) {
    let record = record.clone();
    thread::spawn(move || {
        loop {
            for node in nodes.iter() {
                if let Some((resident, _)) = node.memory_mb()
                    && resident > MEMORY_MB as f64
                {
                    record.line(&format!("{} has {resident:.0} MB resident: killed", node.name));
                    node.signal(SIGKILL);
                    killed.store(true, Ordering::SeqCst);
                    return;
                }
            }
            thread::sleep(Duration::from_millis(20));
        }
    });
}

fn call_request(number: usize) -> Request {
    Request {
        id: format!("call{number:012x}"),
        method: "POST",
        path: format!("/reserver/{number}"),
        headers: Vec::new(),
        body: vec![b'x'; 600],
        deadline_ms: 1_000,
        break_at: None,
    }
}

fn stream_request(number: usize) -> Request {
    let headers = [
        ("X-Aspenloft-Model", "m".to_string()),
        ("X-Aspenloft-Token-Usage", "3000,69".to_string()),
        ("X-Aspenloft-Prompt-Prefix", format!("5c1e07a2:200,9{number:07x}:2800")),
    ];
    Request {
        id: format!("stream{number:010x}"),
        method: "POST",
        path: "/rapport/1".to_string(),
        headers: headers.map(|(name, value)| (name.to_string(), value)).to_vec(),
        body: vec![b'x'; 3_000],
        deadline_ms: 14_000,
        break_at: None,
    }
}
