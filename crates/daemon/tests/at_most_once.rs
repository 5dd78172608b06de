//! Unrepeatable calls through real host processes. The tests guard against a second
//! execution after the owner of the key's ledger shard is killed, or suspended past
//! its lease, while the call runs.

mod common;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use aspenloft_daemon::ledger::lease::LEASE_TTL;
use aspenloft_ledger::digest::KeyDigest;
use aspenloft_ledger::head::{Owner, owner_key};
use aspenloft_ledger::options::SHARDS;
use aspenloft_membership::homes::weight;
use aspenloft_protocol::platform::KeyValue;
use aspenloft_standin::engine::EngineOptions;
use aspenloft_transport::http;
use aspenloft_transport::server::{self, Connection, HttpHandler};
use async_std::task;
use async_trait::async_trait;
use common::{Deployment, eventually};
use http_types::{Request, Response};
use parking_lot::Mutex;
use serde_json::{Value, json};

const TIMEOUT: Duration = Duration::from_secs(20);
const SLOW_PORT: u16 = 7190;

/// A plain service that counts executions by key and delays the answers to keys that
/// start with `slow` until `answers_released` is set.
#[derive(Default)]
struct SlowService {
    counts: Mutex<BTreeMap<String, u64>>,
    answers_released: Mutex<bool>,
}

#[async_trait]
impl HttpHandler for SlowService {
    async fn handle(&self, req: Request, _: &Connection) -> Response {
        let key = req.header("idempotency-key").map_or("", |values| values.as_str()).to_string();
        *self.counts.lock().entry(key.clone()).or_default() += 1;
        while key.starts_with("slow") && !*self.answers_released.lock() {
            task::sleep(Duration::from_millis(10)).await;
        }
        let media_type = req.header("content-type").map_or("", |values| values.as_str());
        server::json(&json!({"booked": key, "media_type": media_type}))
    }
}

impl SlowService {
    fn count(&self, key: &str) -> u64 {
        self.counts.lock().get(key).copied().unwrap_or(0)
    }
}

struct Fixture {
    deployment: Deployment,
    service: Arc<SlowService>,
    /// The host that owns the shard of `slow_key`.
    owner: u16,
    /// Two other hosts.
    others: [u16; 2],
    slow_key: String,
    /// A second key of the same shard.
    second_key: String,
}

fn shard_of(key: &str) -> u32 {
    KeyDigest::new("booking", "tester", key).shard(SHARDS)
}

impl Fixture {
    async fn start() -> Fixture {
        let mut deployment = Deployment::start(3, 1, EngineOptions::default()).await;
        let service = Arc::new(SlowService::default());
        let addr = deployment.serve(SLOW_PORT, service.clone()).await;
        let service_backend =
            deployment.listing.backends.iter_mut().find(|b| &*b.serves == "trailapp");
        service_backend.expect("the plain service").addr = addr;
        deployment.write_listing();
        let slow_key = "slow-1".to_string();
        let shard = shard_of(&slow_key);
        let second_key = (0..).map(|n| format!("key-{n}")).find(|key| shard_of(key) == shard);
        let ledger = format!("ledger/{shard}");
        let owner = (0..3).max_by_key(|i| weight(&ledger, &format!("h{i}"))).expect("hosts");
        let others = [(owner + 1) % 3, (owner + 2) % 3];
        let second_key = second_key.expect("a key of the shard");
        let fixture = Fixture { deployment, service, owner, others, slow_key, second_key };
        eventually("the hosts use the slow service", TIMEOUT, || fixture.uses_slow_service()).await;
        fixture
    }

    async fn uses_slow_service(&self) -> bool {
        for i in 0..3 {
            let req = self.deployment.post(i, "/warm", &json!({}));
            let answer = http::send(self.deployment.callers(i), req, TIMEOUT).await;
            let Ok(mut answer) = answer else { return false };
            let body: Value = answer.body_json().await.unwrap_or_default();
            if body.get("booked").is_none() {
                return false;
            }
        }
        true
    }

    /// Sends a booking with `key` to host `i`; returns the status and the execution
    /// state, which is `run` for an answer of the service.
    async fn book(&self, i: u16, key: &str) -> (u16, String) {
        let mut req = self.deployment.post(i, "/bookings", &json!({"slot": 7}));
        req.insert_header("idempotency-key", key);
        let mut answer =
            http::send(self.deployment.callers(i), req, TIMEOUT).await.expect("answer");
        let body: Value = answer.body_json().await.expect("JSON");
        let execution = body["error"]["execution"].as_str().unwrap_or("run").to_string();
        (answer.status().into(), execution)
    }

    /// Returns the owner of the shard that is stored in the key-value service.
    async fn listed_owner(&self) -> Option<String> {
        let key = owner_key(shard_of(&self.slow_key));
        let found = self.deployment.kv.get(&key).await.expect("the service is up")?;
        let owner: Owner = serde_json::from_str(&found.value).expect("an owner");
        Some(owner.host.to_string())
    }

    /// Waits until the slow call runs, then checks the owner of its shard.
    async fn wait_until_running(&self) {
        eventually("the call runs", TIMEOUT, || async { self.service.count(&self.slow_key) == 1 })
            .await;
        assert_eq!(self.listed_owner().await, Some(format!("h{}", self.owner)));
    }

    /// Waits until another host has taken over the shard, and checks that the slow key
    /// is not run again while a new key is.
    async fn check_takeover(&self) {
        let takeover_timeout = LEASE_TTL + Duration::from_secs(10);
        eventually(
            "a retry gets the answer that the call may have run",
            takeover_timeout,
            || async {
                let (status, execution) = self.book(self.others[0], &self.slow_key).await;
                assert!(status == 503 || status == 409, "{status} {execution}");
                status == 409 && execution == "unknown"
            },
        )
        .await;
        for i in self.others {
            assert_eq!(self.book(i, &self.slow_key).await, (409, "unknown".into()));
            assert_eq!(self.book(i, &self.second_key).await, (200, "run".into()));
        }
        assert_eq!(self.service.count(&self.slow_key), 1);
        assert_eq!(self.service.count(&self.second_key), 1);
    }
}

#[async_std::test]
async fn a_call_keeps_its_media_type() {
    let fixture = Fixture::start().await;
    for path in ["/bookings", "/trails"] {
        let mut req = fixture.deployment.post(0, path, &json!({}));
        req.insert_header("idempotency-key", "form");
        req.insert_header("content-type", "application/x-www-form-urlencoded");
        let answer = http::send(fixture.deployment.callers(0), req, TIMEOUT).await;
        let body: Value = answer.expect("an answer").body_json().await.expect("JSON");
        assert_eq!(body["media_type"], "application/x-www-form-urlencoded", "{path}");
    }
}

#[async_std::test]
async fn no_second_execution_after_an_owner_is_killed_mid_call() {
    let mut fixture = Fixture::start().await;
    let entry = fixture.others[0];
    let mut req = fixture.deployment.post(entry, "/bookings", &json!({"slot": 7}));
    req.insert_header("idempotency-key", fixture.slow_key.as_str());
    let call = task::spawn(http::send(fixture.deployment.callers(entry), req, TIMEOUT));
    fixture.wait_until_running().await;
    fixture.deployment.kill_host(fixture.owner);
    let mut answer = call.await.expect("an answer");
    let body: Value = answer.body_json().await.expect("JSON");
    assert_eq!(body["error"]["execution"], "unknown", "{body}");
    fixture.check_takeover().await;
}

#[async_std::test]
async fn no_second_execution_after_an_owner_resumes_past_its_lease() {
    let fixture = Fixture::start().await;
    let entry = fixture.others[0];
    let mut req = fixture.deployment.post(entry, "/bookings", &json!({"slot": 7}));
    req.insert_header("idempotency-key", fixture.slow_key.as_str());
    let call = task::spawn(http::send(fixture.deployment.callers(entry), req, TIMEOUT));
    fixture.wait_until_running().await;
    fixture.deployment.signal_host(fixture.owner, "STOP");
    let mut answer = call.await.expect("an answer");
    let body: Value = answer.body_json().await.expect("JSON");
    assert_eq!(body["error"]["execution"], "unknown", "{body}");
    fixture.check_takeover().await;

    fixture.deployment.signal_host(fixture.owner, "CONT");
    *fixture.service.answers_released.lock() = true;
    eventually("the resumed host notices that it is not the owner", TIMEOUT, || async {
        fixture.book(fixture.owner, &fixture.second_key).await == (200, "run".into())
    })
    .await;
    assert_eq!(fixture.service.count(&fixture.slow_key), 1);
    assert_eq!(fixture.service.count(&fixture.second_key), 1);
}

#[async_std::test]
async fn a_planned_stop_hands_the_shard_over_before_its_lease_ends() {
    let fixture = Fixture::start().await;
    assert_eq!(fixture.book(fixture.others[0], &fixture.second_key).await, (200, "run".into()));
    let owner = Some(format!("h{}", fixture.owner));
    assert_eq!(fixture.listed_owner().await, owner);
    fixture.deployment.signal_host(fixture.owner, "TERM");
    let is_released = || async { fixture.listed_owner().await != owner };
    eventually("the shard is released", LEASE_TTL / 2, is_released).await;
    for i in fixture.others {
        assert_eq!(fixture.book(i, &fixture.second_key).await, (200, "run".into()));
    }
    let new_key =
        (0..).map(|n| format!("fresh-{n}")).find(|k| shard_of(k) == shard_of(&fixture.slow_key));
    let new_key = new_key.expect("a key of the shard");
    assert_eq!(fixture.book(fixture.others[1], &new_key).await, (200, "run".into()));
    assert_eq!(fixture.service.count(&fixture.second_key), 1);
}
