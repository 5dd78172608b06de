//! Measures the ledger in one process against the stand-in of the key-value service.
//! `ledger_rate rate` prints the writes per second at a call rate, `ledger_rate
//! recovery` the calls per second to the service after an outage.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use aspenloft_core::clock::SystemClock;
use aspenloft_core::errors::Result;
use aspenloft_core::prelude::{Host, Name};
use aspenloft_daemon::ledger::{CallSender, LedgerService, LedgerServiceConfig, OutgoingCall};
use aspenloft_daemon::view::View;
use aspenloft_ledger::digest::KeyDigest;
use aspenloft_ledger::options::{SHARDS, ShardOptions};
use aspenloft_ledger::record::Answer;
use aspenloft_membership::homes::weight;
use aspenloft_protocol::peer::PeerReply;
use aspenloft_protocol::peer::ledger::{LedgerCall, LedgerReply};
use aspenloft_standin::kv::KvStandin;
use aspenloft_table::row::{Row, RowKind};
use aspenloft_table::table::Table;
use async_std::task;
use async_trait::async_trait;
use parking_lot::Mutex;

mod flags {
    #![allow(missing_docs)]

    xflags::xflags! {
        /// Measures the load that the ledger puts on the key-value service.
        cmd ledger-rate {
            /// Number of hosts (default 7).
            optional --hosts hosts: u64
            /// Calls per second over all hosts (default 500).
            optional --calls calls: u64
            /// Seconds of load, both before and after an outage (default 10).
            optional --seconds seconds: u64
            /// Seed of the retry delays and of the keys (default 1).
            optional --seed seed: u64
            /// Measures writes per second at a call rate.
            cmd rate {}
            /// Measures calls per second to the service after an outage.
            cmd recovery {
                /// Seconds of outage (default 20).
                optional --outage seconds: u64
            }
        }
    }
}

/// The response time of the key-value service.
const KV_DELAY: Duration = Duration::from_millis(3);

/// The response time of the backend server.
const BACKEND_DELAY: Duration = Duration::from_millis(20);

/// The interval at which the service's counters are read.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(200);

/// The number of samples in one second.
const SAMPLES_PER_SECOND: usize = 5;

/// The maximum number of hosts to which a call is sent.
const MAX_ATTEMPTS: usize = 4;

struct DelayedBackend;

#[async_trait]
impl CallSender for DelayedBackend {
    async fn send(&self, _: &OutgoingCall) -> Result<Arc<Answer>> {
        task::sleep(BACKEND_DELAY).await;
        let body = br#"{"booked": true, "seat": 7}"#.to_vec();
        Ok(Arc::new(Answer { status: 200, content_type: "application/json".into(), body }))
    }
}

struct Cluster {
    hosts: Vec<(Name, LedgerService)>,
    hints: Mutex<HashMap<u32, usize>>,
    results: Mutex<Results>,
}

#[derive(Default)]
struct Results {
    outcomes: HashMap<String, u64>,
    latencies: Vec<Duration>,
}

impl Cluster {
    fn start(kv: &Arc<KvStandin>, hosts: u64, seed: u64) -> Arc<Cluster> {
        let row = Row { unrepeatable: true, ..Row::new("booking", RowKind::Service, "trailapp") };
        let table = Table { version: 1, rows: vec![row], callers: Vec::new() };
        let start = |i: u64| {
            let name: Name = format!("h{i}").into();
            let addr = "127.0.0.1:1".parse().expect("an address");
            let data_centre = "dc-a".into();
            let view =
                Arc::new(View::new(Host { name: name.clone(), addr, data_centre, leaving: false }));
            view.offer_table(table.clone());
            let config = LedgerServiceConfig {
                host: name.clone(),
                kv: kv.clone(),
                clock: Arc::new(SystemClock),
                view,
                sender: Arc::new(DelayedBackend),
                options: ShardOptions::default(),
                seed: seed.wrapping_mul(1_000).wrapping_add(i * u64::from(SHARDS)),
            };
            (name, LedgerService::start(config))
        };
        let hosts = (0..hosts).map(start).collect();
        Arc::new(Cluster { hosts, hints: Mutex::default(), results: Mutex::default() })
    }

    /// Sends one call to the owner of its shard, as an entry host does.
    async fn call(&self, n: u64) {
        let started = Instant::now();
        let key: Name = format!("key-{n}").into();
        let shard = KeyDigest::new("booking", "load", &key).shard(SHARDS);
        let ledger = format!("ledger/{shard}");
        let first = (0..self.hosts.len()).max_by_key(|i| weight(&ledger, &self.hosts[*i].0));
        let known = self.hints.lock().get(&shard).copied();
        let mut at = known.or(first).expect("a host");
        let call = LedgerCall {
            request: "load".into(),
            row: "booking".into(),
            caller: "load".into(),
            key,
            method: "POST".into(),
            path: "/bookings".into(),
            content_type: "application/json".into(),
            body: br#"{"slot": 7}"#.to_vec(),
        };
        let mut outcome = "no owner".to_string();
        for _ in 0..MAX_ATTEMPTS {
            match self.hosts[at].1.serve(call.clone()).await {
                PeerReply::Ledger(LedgerReply::Redirect { owner }) => {
                    at = self.hosts.iter().position(|(name, _)| *name == owner).expect("a host");
                    self.hints.lock().insert(shard, at);
                }
                PeerReply::Failed(e) => {
                    outcome = e.execution.to_string();
                    break;
                }
                _ => {
                    outcome = "answered".into();
                    break;
                }
            }
        }
        let mut results = self.results.lock();
        *results.outcomes.entry(outcome).or_default() += 1;
        results.latencies.push(started.elapsed());
    }

    /// Sends calls at an even rate, without waiting for their answers.
    async fn load(self: &Arc<Self>, first: u64, per_s: u64, duration: Duration) -> u64 {
        let started = Instant::now();
        let mut sent = 0;
        while started.elapsed() < duration {
            let due = (started.elapsed().as_secs_f64() * per_s as f64) as u64;
            while sent < due {
                let cluster = self.clone();
                let n = first + sent;
                task::spawn(async move { cluster.call(n).await });
                sent += 1;
            }
            task::sleep(Duration::from_millis(1)).await;
        }
        sent
    }
}

/// Samples the service's counters for `duration`; returns the calls and the writes in
/// each sample.
async fn sample(kv: Arc<KvStandin>, duration: Duration) -> Vec<(u64, u64)> {
    let mut samples = Vec::new();
    let mut previous = counters(&kv);
    let started = Instant::now();
    while started.elapsed() < duration {
        task::sleep(SAMPLE_INTERVAL).await;
        let current = counters(&kv);
        samples.push((current.0 - previous.0, current.1 - previous.1));
        previous = current;
    }
    samples
}

fn counters(kv: &KvStandin) -> (u64, u64) {
    let store = kv.store.lock();
    (store.calls, store.writes)
}

/// Returns the maximum in any second and the mean per second.
fn per_second(samples: &[u64]) -> (u64, f64) {
    let max = samples.windows(SAMPLES_PER_SECOND).map(|window| window.iter().sum()).max();
    let mean = samples.iter().sum::<u64>() as f64 * SAMPLES_PER_SECOND as f64;
    (max.unwrap_or(0), mean / samples.len().max(1) as f64)
}

fn report(what: &str, samples: &[(u64, u64)]) {
    let calls: Vec<_> = samples.iter().map(|sample| sample.0).collect();
    let writes: Vec<_> = samples.iter().map(|sample| sample.1).collect();
    let ((max_calls, calls), (max_writes, writes)) = (per_second(&calls), per_second(&writes));
    println!(
        "{what}: calls/s mean {calls:.1} max {max_calls}; writes/s mean {writes:.1} max {max_writes}"
    );
}

fn print_results(cluster: &Cluster) {
    let mut results = cluster.results.lock();
    results.latencies.sort();
    let at = |quantile: f64| {
        let i = (results.latencies.len() as f64 * quantile) as usize;
        results.latencies.get(i).copied().unwrap_or_default()
    };
    println!("outcomes {:?}; latency p50 {:?} p99 {:?}", results.outcomes, at(0.5), at(0.99));
}

async fn run(flags: flags::LedgerRate) {
    let hosts = flags.hosts.unwrap_or(7);
    let calls = flags.calls.unwrap_or(500);
    let duration = Duration::from_secs(flags.seconds.unwrap_or(10));
    let seed = flags.seed.unwrap_or(1);
    let kv = Arc::new(KvStandin::default());
    kv.faults.lock().slow = KV_DELAY;
    let cluster = Cluster::start(&kv, hosts, seed);
    println!("hosts {hosts} calls/s {calls} seed {seed} shards {SHARDS}");
    // A warm-up, so that the shards are acquired before the counting starts.
    let mut first = seed << 32;
    first += cluster.load(first, calls, Duration::from_secs(2)).await;
    let counting = task::spawn(sample(kv.clone(), duration));
    first += cluster.load(first, calls, duration).await;
    report("steady", &counting.await);
    if let flags::LedgerRateCmd::Recovery(recovery) = flags.subcommand {
        let outage = Duration::from_secs(recovery.outage.unwrap_or(20));
        kv.faults.lock().down = true;
        first += cluster.load(first, calls, outage).await;
        kv.faults.lock().down = false;
        let counting = task::spawn(sample(kv.clone(), duration));
        cluster.load(first, calls, duration).await;
        report("recovery", &counting.await);
    }
    task::sleep(Duration::from_secs(2)).await;
    print_results(&cluster);
}

fn main() {
    task::block_on(run(flags::LedgerRate::from_env_or_exit()));
}
