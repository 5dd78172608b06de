//! Streams that begin while the hosts are stopped and started in turn, and that clients take up
//! afterwards.
//!
//! Engines of two versions serve side by side, so that a stream may only go on at the version that
//! began it.

use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::store::Store;
use crate::world::{
    Answer, Kind, Node, Ports, Record, Replica, Request, SIGTERM, free_ports, send, wait_ready,
    work_dir,
};

pub const CONFIGURATION: &str = r#"{"version":7,"routes":[{"name":"r-translate","host":"ficu95.example","path_prefix":"/translate/","kind":"streaming","timeout_ms":14000,"target_latency_ms":1000,"priority":1,"service":"scribe","max_attempts":2,"sticky":true,"resumable":true,"target_gap_ms":300}],"services":[{"name":"scribe","health_path":"/health","max_connections":360,"engine":{"slots":64,"kv_capacity_tokens":142786,"kv_token_bytes":18432,"link_mbps":740000.0,"stride":1,"handle_ttl_s":0.5,"switch_s":6.0,"models":[{"name":"m"}]}}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}"#;

const STREAMS: usize = 16;
const EVENTS: usize = 260;
pub const DEADLINE_MS: u64 = 14_000;
const STABLE: Duration = Duration::from_millis(3_500);

pub struct Hosts<'a> {
    pub dir: &'a std::path::Path,
    pub ips: &'a [String],
    pub ports: Ports,
    pub store: &'a Store,
}

impl Hosts<'_> {
    /// Starts all hosts: two in each of three zones.
    pub fn start_all(&self) -> std::io::Result<Vec<Node>> {
        (0..self.ips.len()).map(|index| self.start(index)).collect()
    }

    /// Starts the host `index`: the first three are the first ones of their zones.
    pub fn start(&self, index: usize) -> std::io::Result<Node> {
        let Hosts { dir, ips, ports, store } = self;
        let zone = ["lhr-a", "lhr-b", "lhr-c"][index % 3];
        Node::start(dir, index / 3 + 1, &ips[index], zone, *ports, &ips[..3], store)
    }
}

/// Stops the hosts one second apart and starts each again as soon as it has ended, as when
/// machines are stopped and started in turn.
///
/// Returns when the first host of each zone was started.
pub fn roll(record: &Record, hosts: &Hosts, nodes: &mut [Node]) -> std::io::Result<Vec<Instant>> {
    let start = Instant::now();
    let (mut stopped, mut started) = (0, vec![false; nodes.len()]);
    let mut started_at = Vec::new();
    while started.iter().any(|started| !started) {
        if stopped < nodes.len() && start.elapsed() >= Duration::from_secs(stopped as u64) {
            record.line(&format!("SIGTERM to {}", nodes[stopped].name));
            nodes[stopped].signal(SIGTERM);
            stopped += 1;
        }
        for index in 0..stopped {
            if !started[index] && nodes[index].exited().is_some() {
                started[index] = true;
                record.line(&format!("{} has ended, and starts again", nodes[index].name));
                thread::sleep(Duration::from_millis(200));
                nodes[index] = hosts.start(index)?;
                if index < 3 {
                    started_at.push(Instant::now());
                }
            }
        }
        thread::sleep(Duration::from_millis(20));
    }
    Ok(started_at)
}

/// Returns when a client closes the stream `index` without the disruption: when its host, the
/// second one of a zone, would have ended by it.
pub fn break_at(stop_at: Instant, index: usize) -> Instant {
    stop_at + Duration::from_millis(10_600 + 1_000 * (index % 3) as u64)
}

pub fn run(record: &Record, trouble: bool) -> std::io::Result<bool> {
    let dir = work_dir("take-up")?;
    let store = Store::start("127.0.0.1:0")?;
    store.put("op/config", CONFIGURATION);
    let decode = Kind::Decode(Duration::from_millis(50));
    for version in ["v1", "v2"] {
        for (name, kind) in [("pre0", Kind::Prefill), ("dec0", decode), ("dec1", decode)] {
            let id = format!("i-{version}-{name}");
            let replica = Replica::start(record, &id, "scribe", "lhr-a", version, kind, "\n")?;
            store.put(&format!("servers/{id}"), &replica.entry(64, "ready"));
        }
    }
    let ips: Vec<String> = (1..=6).map(|n| format!("127.0.37.{n}")).collect();
    let ports = free_ports(&ips);
    let hosts = Hosts { dir: &dir, ips: &ips, ports, store: &store };
    let mut nodes = hosts.start_all()?;
    if !wait_ready(&nodes) {
        return Err(std::io::Error::other("the hosts are not ready"));
    }
    thread::sleep(STABLE);
    let fronts: Vec<_> = nodes.iter().map(|node| (node.front, node.name.clone())).collect();
    let fronts = Arc::new(fronts);
    let begin = |prefix: &'static str, index: usize, host: usize, resumed, break_at| {
        let (fronts, record) = (fronts.clone(), record.clone());
        thread::spawn(move || {
            let (front, name) = &fronts[host];
            let req = Request { break_at, ..request(prefix, index, resumed) };
            send(&record, *front, name, &req)
        })
    };
    // Ordinary streams, which last longer than the grace period.
    for host in 0..3 {
        begin("long", host, host, None, None);
    }
    thread::sleep(Duration::from_millis(300));
    let stop_at = Instant::now();
    let mut first = Vec::new();
    let started_at = thread::scope(|scope| {
        let nodes = &mut nodes;
        let hosts = &hosts;
        let rolled = trouble.then(|| scope.spawn(move || roll(record, hosts, nodes)));
        thread::sleep(Duration::from_millis(2_400));
        for index in 0..STREAMS {
            let break_at = (!trouble).then(|| break_at(stop_at, index));
            first.push(begin("first", index, 3 + index % 3, None, break_at));
            thread::sleep(Duration::from_millis(100));
        }
        rolled.map_or(Ok(Vec::new()), |rolled| {
            rolled.join().unwrap_or_else(|_| Err(std::io::Error::other("the roll has failed")))
        })
    })?;
    if !wait_ready(&nodes) {
        return Err(std::io::Error::other("the hosts are not ready again"));
    }
    let first: Vec<Answer> = first.into_iter().filter_map(|client| client.join().ok()).collect();
    // The first host of each zone is in touch again, and the clients still wait.
    let due = stop_at + Duration::from_millis(13_400);
    thread::sleep(due.saturating_duration_since(Instant::now()));
    record.line("clients take up their streams");
    if started_at.iter().any(|at| at.elapsed() <= Duration::from_secs(3)) {
        return Err(std::io::Error::other("a host is not in touch yet"));
    }
    if first.iter().any(|answer| answer.ended_at.elapsed() >= Duration::from_secs(4)) {
        return Err(std::io::Error::other("a client would have given its stream up"));
    }
    let mut taken_up = Vec::new();
    let mut new = Vec::new();
    for (index, answer) in first.iter().enumerate() {
        let seen = events(answer);
        let resumed = Some((format!("first{index}"), seen));
        taken_up.push((index, seen, begin("again", index, index % 3, resumed, None)));
        new.push(begin("new", index, index % 3, None, None));
        thread::sleep(Duration::from_millis(30));
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
pub fn events(answer: &Answer) -> usize {
    let text = String::from_utf8_lossy(&answer.body).into_owned();
    let ids = text.lines().filter_map(|line| line.strip_prefix("id: ")?.parse().ok());
    ids.last().unwrap_or(0)
}

pub fn request(prefix: &str, index: usize, resumed: Option<(String, usize)>) -> Request {
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
        break_at: None,
    }
}
