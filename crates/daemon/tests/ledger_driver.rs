//! The ledger driver against the stand-in of the key-value service with injected
//! faults: three hosts in one process receive the same keys at the same time, and no
//! key may run twice.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use aspenloft_core::clock::SystemClock;
use aspenloft_core::errors::{Result, unavailable};
use aspenloft_core::execution::Execution;
use aspenloft_core::prelude::{Host, Name};
use aspenloft_daemon::ledger::{CallSender, LedgerService, LedgerServiceConfig, OutgoingCall};
use aspenloft_daemon::view::View;
use aspenloft_ledger::options::ShardOptions;
use aspenloft_ledger::record::Answer;
use aspenloft_protocol::peer::PeerReply;
use aspenloft_protocol::peer::ledger::{LedgerCall, LedgerReply};
use aspenloft_standin::kv::KvStandin;
use aspenloft_table::row::{Row, RowKind};
use aspenloft_table::table::Table;
use async_std::task;
use async_trait::async_trait;
use futures::future::join_all;
use parking_lot::Mutex;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

const HOSTS: usize = 3;
const SEEDS: u64 = 4;
const ROUNDS: u32 = 12;
const KEYS: u64 = 12;

/// A backend server that randomly refuses a call, runs it without an answer, or
/// answers, and that counts executions by key.
struct Backend {
    random: Mutex<Pcg64Mcg>,
    counts: Mutex<BTreeMap<Name, u64>>,
}

#[async_trait]
impl CallSender for Backend {
    async fn send(&self, outgoing: &OutgoingCall) -> Result<Arc<Answer>> {
        let outcome = self.random.lock().random_range(0..10);
        if outcome == 0 {
            return Err(unavailable("refused"));
        }
        *self.counts.lock().entry(outgoing.call.key.clone()).or_default() += 1;
        if outcome == 1 {
            return Err(unavailable("silent").execution(Execution::Unknown));
        }
        task::sleep(Duration::from_millis(5)).await;
        let body = outgoing.call.key.as_bytes().to_vec();
        Ok(Arc::new(Answer { status: 200, content_type: String::new(), body }))
    }
}

fn start(kv: &Arc<KvStandin>, backend: &Arc<Backend>, host: usize, seed: u64) -> LedgerService {
    let row = Row { unrepeatable: true, ..Row::new("booking", RowKind::Service, "trailapp") };
    let table = Table { version: 1, rows: vec![row], ..Table::default() };
    let name: Name = format!("h{host}").into();
    let addr = "127.0.0.1:1".parse().expect("an address");
    let me = Host { name: name.clone(), addr, data_centre: "dc-a".into(), leaving: false };
    let view = Arc::new(View::new(me));
    view.offer_table(table);
    LedgerService::start(LedgerServiceConfig {
        host: name,
        kv: kv.clone(),
        clock: Arc::new(SystemClock),
        view,
        sender: backend.clone(),
        options: ShardOptions::default(),
        seed: seed * 100 + host as u64,
    })
}

fn call(key: &str) -> LedgerCall {
    LedgerCall {
        request: "test".into(),
        row: "booking".into(),
        caller: "tester".into(),
        key: key.into(),
        method: "POST".into(),
        path: "/bookings".into(),
        content_type: "".into(),
        body: b"{}".to_vec(),
    }
}

/// Checks a host's reply for `key` against the number of its executions.
fn check_reply(backend: &Backend, key: &str, reply: &PeerReply) {
    let count = backend.counts.lock().get(key).copied().unwrap_or(0);
    assert!(count <= 1, "{key} ran {count} times");
    match reply {
        PeerReply::Ledger(LedgerReply::Answer { body, .. }) => {
            assert_eq!((count, &**body), (1, key.as_bytes()));
        }
        PeerReply::Ledger(LedgerReply::Redirect { .. }) => (),
        PeerReply::Failed(e) => assert_ne!(e.execution, Execution::Run, "{key}: {e}"),
        other => panic!("{key}: {other:?}"),
    }
}

async fn run(seed: u64) -> (u64, u64) {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let kv = Arc::new(KvStandin::default());
    kv.faults.lock().slow = Duration::from_millis(1);
    let random = Mutex::new(Pcg64Mcg::seed_from_u64(seed + 1_000));
    let backend = Arc::new(Backend { random, counts: Mutex::default() });
    let mut hosts: Vec<_> = (0..HOSTS).map(|host| start(&kv, &backend, host, seed)).collect();
    let mut answers = 0;
    for round in 0..ROUNDS {
        kv.faults.lock().lose_answers = rng.random_range(0..4);
        kv.faults.lock().down = rng.random_bool(0.2);
        if rng.random_bool(0.3) {
            // A new process with the same name replaces a host. The tasks of the old
            // one keep running, like those of a suspended process that resumes.
            let host = rng.random_range(0..HOSTS);
            hosts[host] = start(&kv, &backend, host, seed + 50);
        }
        let keys: Vec<_> =
            (0..KEYS).map(|n| format!("key-{}", n + u64::from(round / 3) * KEYS)).collect();
        let calls = keys.iter().flat_map(|key| {
            hosts.iter().map(async |host| (key.clone(), host.serve(call(key)).await))
        });
        for (key, reply) in join_all(calls).await {
            answers += u64::from(matches!(reply, PeerReply::Ledger(LedgerReply::Answer { .. })));
            check_reply(&backend, &key, &reply);
        }
        kv.faults.lock().down = false;
        task::sleep(Duration::from_millis(rng.random_range(0..300))).await;
    }
    let executions = backend.counts.lock().values().sum();
    (executions, answers)
}

#[async_std::test]
async fn a_key_runs_at_most_once_despite_faults_of_the_key_value_service() {
    let (mut executions, mut answers) = (0, 0);
    for seed in 0..SEEDS {
        let (more_executions, more_answers) = run(seed).await;
        executions += more_executions;
        answers += more_answers;
    }
    println!("keys run: {executions}; answers: {answers}");
    assert!(executions > 0 && answers > 0);
}
