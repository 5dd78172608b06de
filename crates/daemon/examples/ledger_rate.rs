//! Measures the ledger in process against the stand-in of the key-value service:
//! `ledger_rate rate` gives its writes a second at a call rate, `ledger_rate
//! recovery` the calls a second that the service gets after an outage.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use aspenloft_core::clock::SystemClock;
use aspenloft_core::errors::Result;
use aspenloft_core::prelude::{Host, Name};
use aspenloft_daemon::ledger::{CallSender, LedgerService, LedgerServiceConfig, OutgoingCall};
use aspenloft_daemon::view::View;
use aspenloft_ledger::digest::KeyDigest;
use aspenloft_ledger::options::{Options, SHARDS};
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
        /// Measures the ledger in process.
        cmd ledger-rate {
            /// Hosts.
            optional --hosts hosts: u64
            /// Calls a second over all hosts.
            optional --calls calls: u64
            /// Seconds of load, before and after an outage alike.
            optional --seconds seconds: u64
            /// The seed.
            optional --seed seed: u64
            /// Writes a second at a call rate.
            cmd rate {}
            /// Calls a second to the service after an outage.
            cmd recovery {
                /// Seconds of outage.
                optional --outage seconds: u64
            }
        }
    }
}

/// The service's answering time.
const KV_DELAY: Duration = Duration::from_millis(3);

/// The backend server's answering time.
const BACKEND_DELAY: Duration = Duration::from_millis(20);

/// How often the service's counters are read.
const SAMPLE: Duration = Duration::from_millis(200);

/// Samples that make one second.
const SAMPLES_PER_SECOND: usize = 5;

/// Hosts that a call is brought to at most.
const MAX_ASKS: usize = 4;

struct Backend;

#[async_trait]
impl CallSender for Backend {
    async fn send(&self, _: &OutgoingCall) -> Result<Arc<Answer>> {
        task::sleep(BACKEND_DELAY).await;
        let body = br#"{"booked": true, "seat": 7}"#.to_vec();
        Ok(Arc::new(Answer { status: 200, content_type: "application/json".into(), body }))
    }
}

struct Fleet {
    hosts: Vec<(Name, LedgerService)>,
    hints: Mutex<HashMap<u32, usize>>,
    results: Mutex<Results>,
}

#[derive(Default)]
struct Results {
    words: HashMap<String, u64>,
    latencies: Vec<Duration>,
}

impl Fleet {
    fn start(kv: &Arc<KvStandin>, hosts: u64, seed: u64) -> Arc<Fleet> {
        let row = Row { unrepeatable: true, ..Row::new("booking", RowKind::Service, "trailapp") };
        let table = Table { version: 1, rows: vec![row], callers: Vec::new() };
        let start = |i: u64| {
            let name: Name = format!("h{i}").into();
            let addr = "127.0.0.1:1".parse().expect("an address");
            let data_centre = "dc-a".into();
            let view =
                Arc::new(View::new(Host { name: name.clone(), addr, data_centre, leaving: false }));
            view.offer_table(table.clone());
            let parts = LedgerServiceConfig {
                host: name.clone(),
                kv: kv.clone(),
                clock: Arc::new(SystemClock),
                view,
                sender: Arc::new(Backend),
                options: Options::default(),
                seed: seed.wrapping_mul(1_000).wrapping_add(i * u64::from(SHARDS)),
            };
            (name, LedgerService::start(parts))
        };
        let hosts = (0..hosts).map(start).collect();
        Arc::new(Fleet { hosts, hints: Mutex::default(), results: Mutex::default() })
    }

    /// Brings one call to its owner, as an entry host does.
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
        let mut word = "no owner".to_string();
        for _ in 0..MAX_ASKS {
            match self.hosts[at].1.serve(call.clone()).await {
                PeerReply::Ledger(LedgerReply::Redirect { owner }) => {
                    at = self.hosts.iter().position(|(name, _)| *name == owner).expect("a host");
                    self.hints.lock().insert(shard, at);
                }
                PeerReply::Failed(e) => {
                    word = e.execution.to_string();
                    break;
                }
                _ => {
                    word = "answered".into();
                    break;
                }
            }
        }
        let mut results = self.results.lock();
        *results.words.entry(word).or_default() += 1;
        results.latencies.push(started.elapsed());
    }

    /// Sends calls at an even rate, without waiting for their answers.
    async fn load(self: &Arc<Self>, first: u64, per_s: u64, lasts: Duration) -> u64 {
        let started = Instant::now();
        let mut sent = 0;
        while started.elapsed() < lasts {
            let due = (started.elapsed().as_secs_f64() * per_s as f64) as u64;
            while sent < due {
                let fleet = self.clone();
                let n = first + sent;
                task::spawn(async move { fleet.call(n).await });
                sent += 1;
            }
            task::sleep(Duration::from_millis(1)).await;
        }
        sent
    }
}

/// Reads the service's counters until `lasts` is over; returns the calls and the
/// writes in each sample.
async fn sample(kv: Arc<KvStandin>, lasts: Duration) -> Vec<(u64, u64)> {
    let mut samples = Vec::new();
    let mut before = counters(&kv);
    let started = Instant::now();
    while started.elapsed() < lasts {
        task::sleep(SAMPLE).await;
        let after = counters(&kv);
        samples.push((after.0 - before.0, after.1 - before.1));
        before = after;
    }
    samples
}

fn counters(kv: &KvStandin) -> (u64, u64) {
    let store = kv.store.lock();
    (store.calls, store.writes)
}

/// Returns the most in any second, and the mean a second.
fn per_second(samples: &[u64]) -> (u64, f64) {
    let most = samples.windows(SAMPLES_PER_SECOND).map(|window| window.iter().sum()).max();
    let mean = samples.iter().sum::<u64>() as f64 * SAMPLES_PER_SECOND as f64;
    (most.unwrap_or(0), mean / samples.len().max(1) as f64)
}

fn report(what: &str, samples: &[(u64, u64)]) {
    let calls: Vec<_> = samples.iter().map(|sample| sample.0).collect();
    let writes: Vec<_> = samples.iter().map(|sample| sample.1).collect();
    let ((most_calls, calls), (most_writes, writes)) = (per_second(&calls), per_second(&writes));
    println!(
        "{what}: calls/s mean {calls:.1} most {most_calls}; writes/s mean {writes:.1} most {most_writes}"
    );
}

fn print_results(fleet: &Fleet) {
    let mut results = fleet.results.lock();
    results.latencies.sort();
    let at = |share: f64| {
        let i = (results.latencies.len() as f64 * share) as usize;
        results.latencies.get(i).copied().unwrap_or_default()
    };
    println!("words {:?}; latency p50 {:?} p99 {:?}", results.words, at(0.5), at(0.99));
}

async fn run(flags: flags::LedgerRate) {
    let hosts = flags.hosts.unwrap_or(7);
    let calls = flags.calls.unwrap_or(500);
    let lasts = Duration::from_secs(flags.seconds.unwrap_or(10));
    let seed = flags.seed.unwrap_or(1);
    let kv = Arc::new(KvStandin::default());
    kv.faults.lock().slow = KV_DELAY;
    let fleet = Fleet::start(&kv, hosts, seed);
    println!("hosts {hosts} calls/s {calls} seed {seed} shards {SHARDS}");
    // The shards are acquired before the counting starts.
    let mut first = seed << 32;
    first += fleet.load(first, calls, Duration::from_secs(2)).await;
    let counting = task::spawn(sample(kv.clone(), lasts));
    first += fleet.load(first, calls, lasts).await;
    report("steady", &counting.await);
    if let flags::LedgerRateCmd::Recovery(recovery) = flags.subcommand {
        let outage = Duration::from_secs(recovery.outage.unwrap_or(20));
        kv.faults.lock().down = true;
        first += fleet.load(first, calls, outage).await;
        kv.faults.lock().down = false;
        let counting = task::spawn(sample(kv.clone(), lasts));
        fleet.load(first, calls, lasts).await;
        report("recovery", &counting.await);
    }
    task::sleep(Duration::from_secs(2)).await;
    print_results(&fleet);
}

fn main() {
    task::block_on(run(flags::LedgerRate::from_env_or_exit()));
}
