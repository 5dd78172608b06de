//! The engines are replaced by those of a new version, whose events end their lines with CRLF.

use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::store::Store;
use crate::world::{
    Kind, Node, Record, Replica, Request, free_ports, send_and_keep, send_on, wait_ready, work_dir,
};

const STREAMS: usize = 24;
const EVENTS: usize = 20;

pub fn run(record: &Record, trouble: bool) -> std::io::Result<bool> {
    let dir = work_dir("line-ends")?;
    let store = Store::start("127.0.0.1:0")?;
    store.put("op/config", r#"{"version":7,"routes":[{"name":"r-describe","host":"ficu95.example","path_prefix":"/describe/","kind":"streaming","timeout_ms":14000,"target_latency_ms":1000,"priority":1,"service":"scribe","max_attempts":1,"sticky":true,"resumable":false,"target_gap_ms":300}],"services":[{"name":"scribe","health_path":"/health","max_connections":360,"engine":{"slots":64,"kv_capacity_tokens":42786,"kv_token_bytes":18432,"link_mbps":740000.0,"stride":1,"handle_ttl_s":0.5,"switch_s":6.0,"models":[{"name":"m"}]}}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}"#);
    let decode = Kind::Decode(Duration::from_millis(40));
    let start = |name: &str, version: &str, kind, line_end| {
        let id = format!("i-{version}-{name}");
        let replica = Replica::start(record, &id, "scribe", "lhr-a", version, kind, line_end)?;
        record.line(&format!("replica {id} starts"));
        store.put(&format!("servers/{id}"), &replica.entry(64, "ready"));
        Ok::<Arc<Replica>, std::io::Error>(replica)
    };
    let mut old = Vec::new();
    for (name, kind) in [
        ("pre0", Kind::Prefill),
        ("dec0", decode),
        ("dec1", decode),
        ("dec2", decode),
        ("dec3", decode),
        ("dec4", decode),
        ("pre1", Kind::Prefill),
    ] {
        old.push((name, kind, start(name, "v1", kind, "\n")?));
    }
    let ips = vec!["127.0.36.1".to_string()];
    let ports = free_ports(&ips);
    let node = Node::start(&dir, 1, &ips[0], "lhr-a", ports, &ips, &store)?;
    if !wait_ready(std::slice::from_ref(&node)) {
        return Err(std::io::Error::other("the host is not ready"));
    }
    thread::sleep(Duration::from_millis(3_500));
    // Each client has a stream on a connection that it keeps.
    let mut kept = Vec::new();
    for index in 0..STREAMS {
        let (record, front, name) = (record.clone(), node.front, node.name.clone());
        kept.push(thread::spawn(move || {
            send_and_keep(&record, front, &name, &request("first", index)).1
        }));
    }
    let kept: Vec<_> = kept.into_iter().filter_map(|client| client.join().ok().flatten()).collect();
    if kept.len() < STREAMS {
        return Err(std::io::Error::other("a stream was not answered"));
    }
    if trouble {
        // One after the other, each second: the new one starts first, the old one drains. Three of
        // seven are replaced.
        for (name, kind, replica) in &old[..3] {
            start(name, "v2", *kind, "\r\n")?;
            thread::sleep(Duration::from_millis(300));
            let key = format!("servers/{}", replica.id);
            store.put(&key, &replica.entry(64, "draining"));
            record.line(&format!("replica {} drains", replica.id));
            let store = store.clone();
            thread::spawn(move || {
                thread::sleep(Duration::from_millis(2_200));
                store.delete(&key);
            });
            thread::sleep(Duration::from_millis(700));
        }
        thread::sleep(Duration::from_millis(1_500));
    }
    thread::sleep(Duration::from_millis(3_500));
    let clients = kept.into_iter().enumerate().map(|(index, stream)| {
        let record = record.clone();
        thread::spawn(move || {
            let req = request("next", index);
            let (answer, _) = send_on(&record, || Ok(stream), "the host", &req);
            (req.id, answer)
        })
    });
    let clients: Vec<_> = clients.collect();
    let (mut lost, mut cut) = (0, 0);
    for client in clients {
        let (id, answer) =
            client.join().map_err(|_| std::io::Error::other("a client has failed"))?;
        let events = String::from_utf8_lossy(&answer.body).matches("id: ").count();
        record.line(&format!("{id}: complete {}, {events} of {EVENTS} events", answer.complete));
        cut += usize::from(!answer.complete);
        // The replica is sound: it has written its whole answer.
        lost += usize::from(!answer.complete && record.answered().contains(&id));
    }
    if cut > lost {
        return Err(std::io::Error::other("a stream was cut that no replica has answered"));
    }
    record.line(&format!(
        "{lost} of {STREAMS} streams of sound replicas on kept connections were cut"
    ));
    Ok(lost > 3)
}

fn request(prefix: &str, index: usize) -> Request {
    let headers = [
        ("X-Aspenloft-Model", "m".to_string()),
        ("X-Aspenloft-Token-Usage", format!("3000,{EVENTS}")),
        ("X-Aspenloft-Prompt-Prefix", format!("5c1e07a2:200,91bd3f{index:02x}:2800")),
    ];
    Request {
        id: format!("{prefix}{index}"),
        method: "POST",
        path: "/describe/1".to_string(),
        headers: headers.map(|(name, value)| (name.to_string(), value)).to_vec(),
        body: b"a catalogue note".to_vec(),
        deadline_ms: 14_000,
        break_at: None,
    }
}
