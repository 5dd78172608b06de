//! A version of the engines that comes and goes while the hosts are stopped and started in turn.
//! Clients take up the streams that it began.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::store::Store;
use crate::take_up::{CONFIGURATION, Hosts, break_at, events, request, roll};
use crate::world::{
    Answer, Kind, Record, Replica, Request, free_ports, send, wait_ready, work_dir,
};

const STREAMS: usize = 40;
const DECODE: Kind = Kind::Decode(Duration::from_millis(50));
/// The nine engines of the sheet.
const OLD: [(&str, Kind); 9] = [
    ("pre0", Kind::Prefill),
    ("pre1", Kind::Prefill),
    ("dec0", DECODE),
    ("dec1", DECODE),
    ("dec2", DECODE),
    ("dec3", DECODE),
    ("dec4", DECODE),
    ("dec5", DECODE),
    ("dec6", DECODE),
];
/// Those that are added: two in nine.
const ADDED: [(&str, Kind); 2] = [("pre0", Kind::Prefill), ("dec0", DECODE)];

pub fn run(record: &Record, trouble: bool) -> std::io::Result<bool> {
    let dir = work_dir("joined")?;
    let store = Store::start("127.0.0.1:0")?;
    store.put("op/config", CONFIGURATION);
    let start = |version: &str, kinds: &[(&str, Kind)]| {
        let mut started = Vec::new();
        for (index, (name, kind)) in kinds.iter().enumerate() {
            let id = format!("i-{version}-{name}");
            let zone = ["lhr-a", "lhr-b", "lhr-c"][index % 3];
            let replica = Replica::start(record, &id, "scribe", zone, version, *kind, "\n")?;
            store.put(&format!("servers/{id}"), &replica.entry(64, "ready"));
            started.push(replica);
        }
        record.line(&format!("replicas of version {version} join"));
        Ok::<Vec<Arc<Replica>>, std::io::Error>(started)
    };
    start("v1", &OLD)?;
    let ips: Vec<String> = (1..=6).map(|n| format!("127.0.38.{n}")).collect();
    let ports = free_ports(&ips);
    let hosts = Hosts { dir: &dir, ips: &ips, ports, store: &store };
    let mut nodes = hosts.start_all()?;
    if !wait_ready(&nodes) {
        return Err(std::io::Error::other("the hosts are not ready"));
    }
    thread::sleep(Duration::from_millis(3_500));
    let fronts: Arc<Vec<_>> =
        Arc::new(nodes.iter().map(|node| (node.front, node.name.clone())).collect());
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
    let wait_until = |ms: u64| {
        let until = stop_at + Duration::from_millis(ms);
        thread::sleep(until.saturating_duration_since(Instant::now()));
    };
    let mut first = Vec::new();
    thread::scope(|scope| {
        let nodes = &mut nodes;
        let hosts = &hosts;
        let rolled = trouble.then(|| scope.spawn(move || roll(record, hosts, nodes)));
        // Replicas of another version are added, and taken away again.
        wait_until(2_300);
        let added = start("v2", &ADDED)?;
        wait_until(2_700);
        for index in 0..STREAMS {
            let break_at = (!trouble).then(|| break_at(stop_at, index));
            first.push(begin("first", index, 3 + index % 3, None, break_at));
            thread::sleep(Duration::from_millis(60));
        }
        wait_until(5_200);
        for replica in &added {
            store.put(&format!("servers/{}", replica.id), &replica.entry(64, "draining"));
        }
        record.line("replicas of version v2 drain");
        wait_until(7_250);
        for replica in &added {
            store.delete(&format!("servers/{}", replica.id));
        }
        record.line("replicas of version v2 have left, and end their streams");
        rolled.map_or(Ok(Vec::new()), |rolled| {
            rolled.join().unwrap_or_else(|_| Err(std::io::Error::other("the roll has failed")))
        })
    })?;
    if !wait_ready(&nodes) {
        return Err(std::io::Error::other("the hosts are not ready again"));
    }
    let answers: Vec<Answer> = first.into_iter().filter_map(|client| client.join().ok()).collect();
    record.line("clients take up their streams");
    let mut again = Vec::new();
    for (index, answer) in answers.iter().enumerate() {
        let resumed = Some((format!("first{index}"), events(answer)));
        again.push((index, begin("again", index, index % 6, resumed, None)));
        thread::sleep(Duration::from_millis(30));
    }
    let mut joined = 0;
    for (index, client) in again {
        let answer = client.join().map_err(|_| std::io::Error::other("a client has failed"))?;
        let (before, after) = (versions(&answers[index]), versions(&answer));
        let all: BTreeSet<&String> = before.union(&after).collect();
        joined += usize::from(all.len() > 1);
        record.line(&format!(
            "stream first{index}: status {} then {}, versions {before:?} then {after:?}",
            answers[index].status, answer.status
        ));
    }
    let of_added = answers.iter().filter(|answer| versions(answer).contains("v2")).count();
    record.line(&format!("{of_added} of {STREAMS} streams began at version v2"));
    if of_added <= 2 {
        return Err(std::io::Error::other("too few streams of the added version"));
    }
    record.line(&format!("{joined} streams hold events of two versions"));
    Ok(joined > 2)
}

/// Returns the versions of the replicas that wrote the events of an answer.
fn versions(answer: &Answer) -> BTreeSet<String> {
    let text = String::from_utf8_lossy(&answer.body).into_owned();
    let words = text.lines().filter(|line| line.starts_with("data: "));
    words.filter_map(|line| line.split(' ').next_back().map(str::to_string)).collect()
}
