//! Measures how the costs of control messages and of their state grow with the size of
//! a deployment, and prints them as JSON lines for `docs/CAPACITY.md`. Run with
//! `cargo bench -p aspenloft-daemon --bench control`.

use std::hint::black_box;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use aspenloft_core::errors::Result;
use aspenloft_core::suspects::{Fingerprint, SuspectStatus, Verdict};
use aspenloft_daemon::limits::state::LimitState;
use aspenloft_policy::burn::rollup::{Rollup, RowRollup, ServerRollup};
use aspenloft_policy::limits::{Draw, PermitBucket, PermitPool};
use aspenloft_policy::suspects::SuspectRegistry;
use aspenloft_protocol::peer::PeerRequest;
use aspenloft_protocol::peer::control::{ControlRequest, DrawRequest, LimitKey};
use aspenloft_transport::frames;
use aspenloft_transport::mesh::{FrameHandler, MeshOptions, PeerConnection, serve};
use async_std::channel::Sender;
use async_std::net::{TcpListener, TcpStream};
use async_std::task;
use async_trait::async_trait;
use bytes::{Bytes, BytesMut};
use futures::{AsyncReadExt, AsyncWriteExt};
use serde_json::{Value, json};

/// The numbers of limits or rows at which the costs are measured.
const SIZES: [usize; 4] = [10, 40, 120, 340];

/// The number of calls in one measurement.
const CALLS: u32 = 4_000;

/// The duration of one kernel clock tick in microseconds, at 100 ticks per second.
const TICK_US: f64 = 10_000.0;

fn main() {
    task::block_on(peer_calls()).expect("peer calls on loopback");
    limit_state();
    rollups();
    verdicts();
}

fn print(line: Value) {
    println!("{line}");
}

/// Returns the CPU time that this process has used, in microseconds.
fn cpu_us() -> f64 {
    let stat = std::fs::read_to_string("/proc/self/stat").expect("the process's own counts");
    let fields: Vec<&str> = stat.rsplit(')').next().unwrap_or("").split_whitespace().collect();
    let ticks = |i: usize| fields.get(i).and_then(|f| f.parse::<f64>().ok()).unwrap_or(0.0);
    // User and system time are the 14th and 15th fields of the whole line.
    (ticks(11) + ticks(12)) * TICK_US
}

/// A handler that answers every call with its own body.
struct Echo;

#[async_trait]
impl FrameHandler for Echo {
    async fn handle(&self, body: Bytes, tx: Sender<Bytes>) {
        let mut buf = BytesMut::new();
        if frames::encode(&body.to_vec(), &mut buf).is_ok() {
            let _ = tx.send(buf.freeze()).await;
        }
    }
}

/// Measures the CPU time and the bytes of one call between two hosts, both sides
/// together.
async fn peer_calls() -> Result<()> {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let server = listener.local_addr().expect("an address");
    task::spawn(serve(listener, Arc::new(Echo)));
    let options = Arc::new(MeshOptions::default());
    let relayed = Arc::new(AtomicU64::new(0));
    let relay = counting_relay(server, relayed.clone()).await;
    let connection = PeerConnection::open(server, &options).await?;
    let counted = PeerConnection::open(relay, &options).await?;
    for payload in [64_usize, 512, 4_096, 32_768] {
        let mut buf = BytesMut::new();
        frames::encode(&vec![7_u8; payload], &mut buf)?;
        let frame = buf.freeze();
        let before = cpu_us();
        let started = Instant::now();
        for _ in 0..CALLS {
            call(&connection, &frame).await?;
        }
        let cpu = (cpu_us() - before) / f64::from(CALLS);
        let wall = started.elapsed().as_secs_f64() * 1e6 / f64::from(CALLS);
        let relayed_before = relayed.load(Ordering::Relaxed);
        for _ in 0..100 {
            call(&counted, &frame).await?;
        }
        let bytes = (relayed.load(Ordering::Relaxed) - relayed_before) / 100;
        print(json!({"slope": "peer_call", "payload_bytes": payload, "cpu_us_both_sides": cpu,
            "wall_us": wall, "bytes_both_ways": bytes}));
    }
    Ok(())
}

async fn call(connection: &PeerConnection, frame: &Bytes) -> Result<()> {
    let mut call = connection.call(frame.clone()).await?;
    black_box(call.next().await?);
    Ok(())
}

/// Starts a relay of one connection to `to` that counts the bytes of both directions;
/// returns its address.
async fn counting_relay(to: std::net::SocketAddr, count: Arc<AtomicU64>) -> std::net::SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let addr = listener.local_addr().expect("an address");
    task::spawn(async move {
        let Ok((client, _)) = listener.accept().await else { return };
        let Ok(target) = TcpStream::connect(to).await else { return };
        task::spawn(copy(client.clone(), target.clone(), count.clone()));
        copy(target, client, count).await;
    });
    addr
}

async fn copy(mut from: TcpStream, mut to: TcpStream, count: Arc<AtomicU64>) {
    let mut buf = vec![0_u8; 65_536];
    while let Ok(n) = from.read(&mut buf).await {
        if n == 0 || to.write_all(&buf[..n]).await.is_err() {
            return;
        }
        count.fetch_add(n as u64, Ordering::Relaxed);
    }
}

fn key(i: usize) -> LimitKey {
    LimitKey { row: "scribe".into(), caller: format!("customer-{i}").into() }
}

/// Measures the time and the memory of limits by the number of limits on a host.
fn limit_state() {
    let start = Instant::now();
    for size in SIZES {
        let keys: Vec<LimitKey> = (0..size).map(key).collect();
        let mut state = LimitState::default();
        let rounds = 200_usize;
        let started = Instant::now();
        for round in 0..rounds {
            let now = start + Duration::from_millis(round as u64 * 250);
            for key in &keys {
                black_box(state.spend(key, true, now));
                let draw = state.home_draw(key, 100.0, 4, now);
                state.add_permits(key, Draw { permits: draw.permits, ..draw }, now);
                black_box(state.spend(key, false, now));
            }
        }
        let ns_each = started.elapsed().as_secs_f64() * 1e9 / (rounds * size) as f64;
        let key_bytes = size_of::<LimitKey>() + key(size).caller.len() + 16;
        let state_bytes = size_of::<PermitPool>() + size_of::<PermitBucket>() + 2 * key_bytes;
        let req = ControlRequest::DrawFromAgent(DrawRequest { key: key(size), wanted: 5 });
        print(json!({"slope": "limits", "limits": size, "ns_each_draw": ns_each,
            "state_bytes_each": state_bytes, "draw_frame_bytes": frame_bytes(&PeerRequest::Control(req))}));
    }
}

fn frame_bytes(message: &PeerRequest) -> usize {
    let mut buf = BytesMut::new();
    frames::encode(message, &mut buf).map_or(0, |()| buf.len())
}

/// Measures the size of one data centre's value of the history, and the time to merge
/// and to encode and decode it.
fn rollups() {
    for rows in SIZES {
        let contribution = rollup(rows, 101);
        let mut hour = Rollup::default();
        let hosts = 49_u64;
        let started = Instant::now();
        for id in 0..hosts {
            hour.merge(&contribution, id).expect("equal bounds");
        }
        let merge_us = started.elapsed().as_secs_f64() * 1e6 / hosts as f64;
        let started = Instant::now();
        let text = serde_json::to_string(&hour).expect("JSON");
        let back: Rollup = serde_json::from_str(&text).expect("the same");
        let codec_us = started.elapsed().as_secs_f64() * 1e6;
        black_box(back);
        print(json!({"slope": "history", "rows": rows, "servers": 101, "value_bytes": text.len(),
            "merge_us": merge_us, "codec_us": codec_us}));
    }
}

fn rollup(rows: usize, servers: usize) -> Rollup {
    let mut rollup = Rollup::default();
    for i in 0..rows {
        let mut row = RowRollup::default();
        for ms in 1..200_u64 {
            row.ttft.record(Duration::from_millis(ms * 17 + i as u64));
            row.tbt.record(Duration::from_millis(20 + ms % 40));
        }
        row.tally.served = 200;
        rollup.rows.insert(format!("row-{i}").into(), row);
    }
    for i in 0..servers {
        let server = ServerRollup { tokens: 10_000_000, micros: 300_000_000_000 };
        rollup.servers.insert(format!("decode-{i}").into(), server);
    }
    rollup
}

/// Measures the time to decide on the suspects of a server crash, and the size of the
/// message about them, by the number of running requests.
fn verdicts() {
    for running in [20_usize, 80, 320] {
        let fingerprints: Vec<Fingerprint> = (0..running as u64).map(Fingerprint).collect();
        let now = Instant::now();
        let mut registry = SuspectRegistry::default();
        let started = Instant::now();
        let verdicts = registry.record_server_death(&fingerprints, now);
        let decide_us = started.elapsed().as_secs_f64() * 1e6;
        let sample =
            Verdict { fingerprint: Fingerprint(u64::MAX), standing: SuspectStatus::Suspect };
        let message =
            ControlRequest::Verdicts { verdicts: vec![sample; verdicts.len()], pass_on: true };
        print(json!({"slope": "server_death", "running": running, "decide_us": decide_us,
            "frame_bytes": frame_bytes(&PeerRequest::Control(message))}));
    }
}
