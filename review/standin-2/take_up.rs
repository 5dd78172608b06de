//! Streams that begin while the host that keeps the record of streams is stopped as planned, and
//! that clients take up after the others have been killed.
//!
//! Engines of two versions serve side by side, so that a stream may only go on at the version that
//! began it.

use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::store::Store;
use crate::world::{
    Answer, Kind, Node, Ports, Record, Replica, Request, SIGKILL, SIGTERM, free_ports, send,
    wait_ready, work_dir,
};

const STREAMS: usize = 16;
const EVENTS: usize = 200;
const DEADLINE_MS: u64 = 14_000;
const STABLE: Duration = Duration::from_millis(3_500);

struct Hosts<'a> {
    dir: &'a std::path::Path,
    ips: &'a [String],
    ports: Ports,
    store: &'a Store,
}

impl Hosts<'_> {
    fn start(&self, index: usize) -> std::io::Result<Node> {
        let Hosts { dir, ips, ports, store } = self;
        Node::start(dir, index + 1, &ips[index], "lhr-a", *ports, ips, store)
    }
}

pub fn run(record: &Record, trouble: bool) -> std::io::Result<bool> {
    let dir = work_dir("take-up")?;
    let store = Store::start("127.0.0.1:0")?;
    store.put("op/config", r#"{"version":7,"routes":[{"name":"r-translate","host":"ficu95.example","path_prefix":"/translate/","kind":"streaming","timeout_ms":14000,"target_latency_ms":1000,"priority":1,"service":"scribe","max_attempts":2,"sticky":true,"resumable":true,"target_gap_ms":300}],"services":[{"name":"scribe","health_path":"/health","max_connections":360,"engine":{"slots":64,"kv_capacity_tokens":142786,"kv_token_bytes":18432,"link_mbps":740000.0,"stride":1,"handle_ttl_s":0.5,"switch_s":6.0,"models":[{"name":"m"}]}}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}"#);
    let decode = Kind::Decode(Duration::from_millis(50));
    for version in ["v1", "v2"] {
        for (name, kind) in [("pre0", Kind::Prefill), ("dec0", decode), ("dec1", decode)] {
            let id = format!("i-{version}-{name}");
            let replica = Replica::start(record, &id, "scribe", "lhr-a", version, kind, "\n")?;
            store.put(&format!("servers/{id}"), &replica.entry(64, "ready"));
        }
    }
    let ips: Vec<String> = (1..=3).map(|n| format!("127.0.37.{n}")).collect();
    let ports = free_ports(&ips);
    let hosts = Hosts { dir: &dir, ips: &ips, ports, store: &store };
    let mut nodes = vec![hosts.start(0)?, hosts.start(1)?, hosts.start(2)?];
    if !wait_ready(&nodes) {
        return Err(std::io::Error::other("the hosts are not ready"));
    }
    thread::sleep(STABLE);
    if trouble {
        record.line(&format!("SIGTERM to {}", nodes[0].name));
        nodes[0].signal(SIGTERM);
        thread::sleep(Duration::from_millis(500));
    }
    let fronts: Vec<_> = nodes.iter().map(|node| (node.front, node.name.clone())).collect();
    let fronts = Arc::new(fronts);
    let begin = |prefix: &'static str, index: usize, resumed: Option<(String, usize)>| {
        let (fronts, record) = (fronts.clone(), record.clone());
        thread::spawn(move || {
            // The first host is leaving when the first streams begin.
            let host = if prefix == "first" { 1 + index % 2 } else { index % 3 };
            let (front, name) = &fronts[host];
            send(&record, *front, name, &request(prefix, index, resumed))
        })
    };
    let mut first = Vec::new();
    for index in 0..STREAMS {
        first.push(begin("first", index, None));
        thread::sleep(Duration::from_millis(125));
    }
    if trouble {
        // The host is started again as soon as it has ended.
        while nodes[0].exited().is_none() {
            thread::sleep(Duration::from_millis(50));
        }
        thread::sleep(Duration::from_millis(500));
        nodes[0] = hosts.start(0)?;
        record.line(&format!("{} has ended and is started again", nodes[0].name));
        thread::sleep(Duration::from_millis(1_800));
        for index in 1..nodes.len() {
            record.line(&format!("SIGKILL to {}", nodes[index].name));
            nodes[index].signal(SIGKILL);
        }
        thread::sleep(Duration::from_millis(300));
        for index in 1..nodes.len() {
            nodes[index] = hosts.start(index)?;
        }
        if !wait_ready(&nodes) {
            return Err(std::io::Error::other("the hosts are not ready again"));
        }
        record.line("all hosts are ready again");
        thread::sleep(STABLE);
    }
    let first: Vec<Answer> = first.into_iter().filter_map(|client| client.join().ok()).collect();
    // Without the disruption clients take up streams whose end they have not seen.
    let mut taken_up = Vec::new();
    let mut new = Vec::new();
    for (index, answer) in first.iter().enumerate() {
        let seen = events(answer);
        let seen = if trouble { seen } else { seen / 2 };
        let resumed = Some((format!("first{index}"), seen));
        taken_up.push((index, seen, begin("again", index, resumed)));
        new.push(begin("new", index, None));
        thread::sleep(Duration::from_millis(60));
    }
    let mut went_on = 0;
    let count = taken_up.len();
    for (index, seen, client) in taken_up {
        let answer = client.join().map_err(|_| std::io::Error::other("a client has failed"))?;
        let goes_on = answer.status == 200 && events(&answer) > seen;
        went_on += usize::from(goes_on);
        record.line(&format!(
            "stream first{index}, taken up after event {seen}: status {}, goes on {goes_on}",
            answer.status
        ));
    }
    let began = new.into_iter().filter_map(|client| client.join().ok());
    let began = began.filter(|answer| answer.status == 200 && events(answer) > 0).count();
    record.line(&format!(
        "{went_on} of {count} streams that were taken up went on, {began} of {count} new ones began"
    ));
    if count < 12 || began < 12 {
        return Err(std::io::Error::other("too few streams"));
    }
    Ok(went_on * 2 < began)
}

/// Returns the id of the last event of an answer.
fn events(answer: &Answer) -> usize {
    let text = String::from_utf8_lossy(&answer.body).into_owned();
    let ids = text.lines().filter_map(|line| line.strip_prefix("id: ")?.parse().ok());
    ids.last().unwrap_or(0)
}

fn request(prefix: &str, index: usize, resumed: Option<(String, usize)>) -> Request {
    let mut headers = vec![
        ("X-Aspenloft-Model".to_string(), "m".to_string()),
        ("X-Aspenloft-Token-Usage".to_string(), format!("3000,{EVENTS}")),
        ("X-Aspenloft-Prompt-Prefix".to_string(), format!("5c1e07a2:200,91bd3f{index:02x}:2800")),
    ];
    if let Some((first, seen)) = resumed {
        headers.push(("Resumes".to_string(), first));
        headers.push(("Last-Event-Id".to_string(), seen.to_string()));
    }
    Request {
        id: format!("{prefix}{index}"),
        method: "POST",
        path: "/translate/1".to_string(),
        headers,
        body: b"an artist statement".to_vec(),
        deadline_ms: DEADLINE_MS,
    }
}
