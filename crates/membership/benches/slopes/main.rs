//! Prints, as JSON lines, the cost per host of membership and of spreading the table
//! at several sizes; docs/CAPACITY.md is derived from these.
//!
//! Bytes are those of the encoded frames. `h2_bytes` is the overhead of the HTTP/2
//! connection for one exchange, measured over loopback.

#[path = "../../tests/common/mod.rs"]
mod common;
mod wire;

use std::time::{Duration, Instant};

use aspenloft_membership::fleet::Fleet;
use aspenloft_protocol::peer::PeerRequest;
use aspenloft_protocol::peer::membership::Heartbeat;
use aspenloft_transport::frames;
use bytes::BytesMut;
use common::{Sim, backend, host};
use serde_json::json;

/// Hosts, backend servers and data centres of each size.
const SIZES: [(usize, usize, usize); 4] = [(10, 21, 1), (40, 84, 2), (120, 251, 4), (340, 710, 7)];

const WARM_UP: Duration = Duration::from_secs(15);
const MEASURED: Duration = Duration::from_secs(15);
const SEED: u64 = 340;

/// The number of table versions that a run propagates.
const CHANGES: u64 = 4;

/// The size in bytes of a table of 40 rows and 360 callers without defaults.
const TABLE_BYTES: u64 = 60_000;

/// Encodes and decodes a heartbeat like the transport; returns its size in bytes.
fn encode_and_decode(heartbeat: &Heartbeat) -> u64 {
    let mut buf = BytesMut::new();
    let req = PeerRequest::Heartbeat(heartbeat.clone());
    frames::encode(&req, &mut buf).expect("a frame");
    let bytes = buf.len() as u64;
    let body = frames::split_frame(&mut buf).expect("a frame").expect("a whole frame");
    let decoded: PeerRequest = frames::decode(&body).expect("a heartbeat");
    assert!(decoded == req);
    bytes
}

/// Returns the resident memory of this process in bytes.
fn resident() -> u64 {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split_whitespace().nth(1).and_then(|pages| pages.parse::<u64>().ok());
    // The kernel counts pages of 4 KiB.
    pages.unwrap_or_default() * 4_096
}

fn heartbeats(hosts: usize, backends: usize, data_centres: usize) {
    let before = resident();
    let mut sim = Sim::new(hosts, backends, data_centres, SEED);
    sim.loss_permille = 10;
    sim.run(WARM_UP);
    let state = resident().saturating_sub(before) / hosts as u64;
    sim.measure = Some(encode_and_decode);
    for node in &mut sim.hosts {
        node.busy = Duration::ZERO;
    }
    sim.run(MEASURED);
    let seconds = MEASURED.as_secs_f64();
    let busiest = sim.hosts.iter().max_by_key(|node| node.sent.bytes + node.received.bytes);
    let busiest = busiest.expect("a host");
    let sum = |f: fn(&common::SimHost) -> f64| {
        sim.hosts.iter().map(f).sum::<f64>() / hosts as f64 / seconds
    };
    let ages = digest_ages(&sim);
    println!(
        "{}",
        json!({
            "what": "heartbeats", "hosts": hosts, "backends": backends,
            "data_centres": data_centres,
            "messages_sent_per_s": sum(|node| node.sent.messages as f64),
            "bytes_sent_per_s": sum(|node| node.sent.bytes as f64),
            "bytes_received_per_s": sum(|node| node.received.bytes as f64),
            "cpu_us_per_s": sum(|node| node.busy.as_micros() as f64),
            "busiest_messages_sent_per_s": busiest.sent.messages as f64 / seconds,
            "busiest_bytes_sent_per_s": busiest.sent.bytes as f64 / seconds,
            "busiest_bytes_received_per_s": busiest.received.bytes as f64 / seconds,
            "busiest_cpu_us_per_s": busiest.busy.as_micros() as f64 / seconds,
            "resident_bytes_per_host": state,
            "digest_age_ms_p50": ages.0, "digest_age_ms_p99": ages.1, "digest_age_ms_max": ages.2,
            "oldest_record_ms": oldest_record(&sim),
        })
    );
}

/// Returns the median, 99th percentile and maximum age of the digests of backend
/// servers in the reader's own data centre, in milliseconds.
fn digest_ages(sim: &Sim) -> (u128, u128, u128) {
    let mut ages = Vec::new();
    for node in &sim.hosts {
        let local = sim.backends.iter().filter(|b| b.data_centre == node.host.data_centre);
        for backend in local {
            if let Some((_, age)) = node.membership.state_of(&backend.name, sim.now()) {
                ages.push(age.as_millis());
            }
        }
    }
    ages.sort_unstable();
    let at = |share: f64| ages[((ages.len() - 1) as f64 * share) as usize];
    (at(0.5), at(0.99), at(1.0))
}

/// Returns the age of the oldest record of a live host in the reader's data centre,
/// in milliseconds, which shows how close the run came to declaring a live host dead.
fn oldest_record(sim: &Sim) -> u128 {
    let ages = sim.hosts.iter().flat_map(|node| {
        let members = node.membership.members(sim.now()).into_iter();
        members
            .filter(|member| member.host.data_centre == node.host.data_centre)
            .filter_map(|member| member.age)
    });
    ages.max().unwrap_or_default().as_millis()
}

fn homes(hosts: usize, backends: usize, data_centres: usize) {
    let described: Vec<_> = (0..hosts).map(|i| host(i, i % data_centres)).collect();
    let servers: Vec<_> = (0..backends).map(|i| backend(i, data_centres)).collect();
    let before = Fleet::new(described.clone(), servers.clone());
    let mut moved = Vec::new();
    let started = Instant::now();
    for lost in 0..hosts {
        let mut remaining = described.clone();
        let lost_host = remaining.remove(lost);
        let after = Fleet::new(remaining, servers.clone());
        let home = |fleet: &Fleet, i: usize| fleet.home(&servers[i].name).map(|h| h.name.clone());
        let moves = (0..backends).filter(|i| home(&before, *i) != home(&after, *i));
        moved.push(moves.count());
        let owned = before.homes_of(&lost_host.name).count();
        assert_eq!(moved[lost], owned, "only the servers of the lost host move");
    }
    let each = started.elapsed().as_micros() as f64 / hosts as f64;
    println!(
        "{}",
        json!({
            "what": "homes", "hosts": hosts, "backends": backends, "data_centres": data_centres,
            "recompute_us": each,
            "moved_mean": moved.iter().sum::<usize>() as f64 / hosts as f64,
            "moved_max": moved.iter().max(),
        })
    );
}

fn table_propagation(hosts: usize, backends: usize, data_centres: usize, loss_permille: u32) {
    let mut sim = Sim::new(hosts, backends, data_centres, SEED);
    sim.loss_permille = loss_permille;
    sim.table_bytes = TABLE_BYTES;
    sim.run(WARM_UP);
    let mut slowest = Vec::new();
    for version in 1..=CHANGES {
        sim.kv_version = version;
        let accepted = sim.elapsed;
        while sim.hosts.iter().any(|node| node.version < version) {
            sim.run(Duration::from_millis(20));
        }
        slowest.push((sim.elapsed - accepted).as_millis());
        sim.run(Duration::from_secs(2));
    }
    let sent = sim.hosts.iter().map(|node| node.sent.table_bytes);
    println!(
        "{}",
        json!({
            "what": "table", "hosts": hosts, "data_centres": data_centres,
            "loss_permille": loss_permille, "table_bytes": TABLE_BYTES,
            "in_force_everywhere_ms_max": slowest.iter().max(),
            "in_force_everywhere_ms_mean": slowest.iter().sum::<u128>() as f64 / CHANGES as f64,
            "busiest_bytes_sent_per_change": sent.clone().max().unwrap_or_default() / CHANGES,
            "bytes_sent_per_change": sent.sum::<u64>() / CHANGES / hosts as u64,
        })
    );
}

fn main() {
    println!("{}", json!({"what": "exchange", "h2_bytes": wire::overhead()}));
    for (hosts, backends, data_centres) in SIZES {
        heartbeats(hosts, backends, data_centres);
        homes(hosts, backends, data_centres);
        table_propagation(hosts, backends, data_centres, 10);
    }
    let (hosts, backends, data_centres) = SIZES[SIZES.len() - 1];
    table_propagation(hosts, backends, data_centres, 100);
}
