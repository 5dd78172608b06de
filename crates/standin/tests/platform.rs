//! Tests of the contracts of the key-value service and the host list, with their faults.

mod common;

use std::sync::Arc;
use std::time::{Duration, Instant};

use aspenloft_core::execution::Execution;
use aspenloft_protocol::platform::{KeyValue, KvClient, Listing, Put, Swap};
use aspenloft_standin::admin::FAULTS_PATH;
use aspenloft_standin::hosts::ListingHistory;
use aspenloft_standin::kv::{CallKind, KvFaults, KvHandler, KvStandin};
use aspenloft_transport::http;
use async_std::task;
use common::{TIMEOUT, serve};

fn put(key: &str, expect: u64, value: &str) -> Put {
    Put { key: key.into(), expect, value: Some(value.into()), lease: None }
}

async fn start_kv() -> (Arc<KvStandin>, KvClient) {
    let kv = Arc::<KvStandin>::default();
    let addr = serve(Arc::new(KvHandler(kv.clone()))).await;
    (kv, KvClient::new(addr))
}

#[async_std::test]
async fn a_swap_requires_the_version_and_wakes_a_watch() {
    let (kv, client) = start_kv().await;
    let Swap::Done(version) = client.put(put("a", 0, "1")).await.expect("an answer") else {
        panic!("the key was absent");
    };
    let conflict = client.put(put("a", 0, "2")).await.expect("an answer");
    assert_eq!(conflict, Swap::Conflict(version));
    let watcher = client.clone();
    let watch = task::spawn(async move { watcher.watch("a", version, TIMEOUT).await });
    client.put(put("a", version, "3")).await.expect("an answer");
    let seen = watch.await.expect("an answer").expect("a value");
    assert_eq!(seen.value, "3");
    let peak = kv.store.lock().rates.peak();
    assert!(peak.writes >= 1 && peak.reads >= 1);
}

#[test]
fn an_expired_lease_deletes_its_keys() {
    let mut store = aspenloft_standin::kv::Store::default();
    let now = Instant::now();
    let ttl = Duration::from_secs(1);
    let lease = store.grant(ttl, now);
    let leased = Put { lease: Some(lease), ..put("a", 0, "1") };
    store.put(leased, now).expect("the lease is live");
    assert!(store.renew(lease, now + ttl / 2));
    assert!(store.get("a", now + ttl).is_some());
    assert!(store.get("a", now + ttl * 2).is_none());
    assert!(!store.renew(lease, now + ttl * 2));
}

/// `Case` is a fault, with the errors that a read and a write then return and whether the
/// write takes effect.
struct Case {
    faults: KvFaults,
    get: Option<Execution>,
    put: Option<Execution>,
    written: bool,
}

#[async_std::test]
async fn each_fault_of_the_key_value_service_has_its_effect() {
    let not_run = Some(Execution::NotRun);
    let cases = [
        Case { faults: KvFaults::default(), get: None, put: None, written: true },
        Case {
            faults: KvFaults { down: true, ..KvFaults::default() },
            get: not_run,
            put: not_run,
            written: false,
        },
        Case {
            faults: KvFaults { down_kinds: [CallKind::Put].into(), ..KvFaults::default() },
            get: None,
            put: not_run,
            written: false,
        },
        Case {
            faults: KvFaults { lose_answers: 1, ..KvFaults::default() },
            get: None,
            put: Some(Execution::Unknown),
            written: true,
        },
    ];
    for case in cases {
        let (kv, client) = start_kv().await;
        *kv.faults.lock() = case.faults.clone();
        let get = client.get("a").await.err().map(|e| e.execution);
        let wrote = client.put(put("a", 0, "1")).await.err().map(|e| e.execution);
        assert_eq!((get, wrote), (case.get, case.put), "{:?}", case.faults);
        *kv.faults.lock() = KvFaults::default();
        let written = client.get("a").await.expect("an answer").is_some();
        assert_eq!(written, case.written, "{:?}", case.faults);
    }
}

#[async_std::test]
async fn an_outage_ends_a_waiting_watch_and_delays_apply_by_kind() {
    let (kv, client) = start_kv().await;
    let watcher = client.clone();
    let watch = task::spawn(async move { watcher.watch("a", 0, TIMEOUT).await });
    while kv.store.lock().calls == 0 {
        task::sleep(Duration::from_millis(1)).await;
    }
    kv.faults.lock().down = true;
    assert!(watch.await.is_err());
    let slow = Duration::from_millis(100);
    *kv.faults.lock() =
        KvFaults { slow_kinds: [(CallKind::Get, slow)].into(), ..KvFaults::default() };
    let started = Instant::now();
    client.get("a").await.expect("an answer");
    assert!(started.elapsed() >= slow);
}

#[async_std::test]
async fn faults_are_set_over_http() {
    let kv = Arc::<KvStandin>::default();
    let addr = serve(Arc::new(KvHandler(kv.clone()))).await;
    let faults = serde_json::json!({"slow_kinds_ms": {"put": 7}, "lose_answers": 2});
    let set: KvFaults =
        http::post_json(addr, FAULTS_PATH, &faults, TIMEOUT).await.expect("an answer");
    assert_eq!(*kv.faults.lock(), set);
    assert_eq!(set.slow_kinds[&CallKind::Put], Duration::from_millis(7));
    let unknown = serde_json::json!({"slow": 1});
    assert!(http::post_json::<KvFaults>(addr, FAULTS_PATH, &unknown, TIMEOUT).await.is_err());
}

#[test]
fn the_host_list_lags_by_the_configured_time() {
    let mut history = ListingHistory::default();
    let now = Instant::now();
    let lag = Duration::from_secs(2);
    let old = Listing::default();
    let host = aspenloft_core::host::Host {
        name: "h0".into(),
        addr: ([127, 0, 0, 1], 1).into(),
        data_centre: "dc-a".into(),
        leaving: true,
    };
    let new = Listing { hosts: vec![host], ..Listing::default() };
    assert_eq!(history.delayed(old.clone(), lag, now), old);
    let changed = now + Duration::from_secs(1);
    assert_eq!(history.delayed(new.clone(), lag, changed), old);
    assert_eq!(history.delayed(new.clone(), lag, changed + lag / 2), old);
    assert_eq!(history.delayed(new.clone(), lag, changed + lag), new);
}
