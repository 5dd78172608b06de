//! Calls that may not be repeated, through real processes: the owner of the key's
//! ledger is killed, or frozen past its lease, while the call runs.

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

const LIMIT: Duration = Duration::from_secs(20);
const SLOW_PORT: u16 = 7190;

/// A plain service that counts executions by key and holds the answers to keys
/// that start with `slow`.
#[derive(Default)]
struct SlowService {
    counts: Mutex<BTreeMap<String, u64>>,
    open: Mutex<bool>,
}

#[async_trait]
impl HttpHandler for SlowService {
    async fn handle(&self, req: Request, _: &Connection) -> Response {
        let key = req.header("idempotency-key").map_or("", |values| values.as_str()).to_string();
        *self.counts.lock().entry(key.clone()).or_default() += 1;
        while key.starts_with("slow") && !*self.open.lock() {
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

struct Scene {
    deployment: Deployment,
    service: Arc<SlowService>,
    /// The owner of the slow key's shard.
    owner: u16,
    /// Two other hosts.
    others: [u16; 2],
    slow: String,
    /// A second key of the same shard.
    second: String,
}

fn shard_of(key: &str) -> u32 {
    KeyDigest::new("booking", "tester", key).shard(SHARDS)
}

impl Scene {
    async fn start() -> Scene {
        let mut deployment = Deployment::start(3, 1, EngineOptions::default()).await;
        let service = Arc::new(SlowService::default());
        let addr = deployment.serve(SLOW_PORT, service.clone()).await;
        let listed = deployment.listing.backends.iter_mut().find(|b| &*b.serves == "trailapp");
        listed.expect("the plain service").addr = addr;
        deployment.write_listing();
        let slow = "slow-1".to_string();
        let shard = shard_of(&slow);
        let second = (0..).map(|n| format!("key-{n}")).find(|key| shard_of(key) == shard);
        let ledger = format!("ledger/{shard}");
        let owner = (0..3).max_by_key(|i| weight(&ledger, &format!("h{i}"))).expect("hosts");
        let others = [(owner + 1) % 3, (owner + 2) % 3];
        let second = second.expect("a key of the shard");
        let scene = Scene { deployment, service, owner, others, slow, second };
        eventually("the hosts use the slow service", LIMIT, || scene.uses_slow_service()).await;
        scene
    }

    async fn uses_slow_service(&self) -> bool {
        for i in 0..3 {
            let req = self.deployment.post(i, "/warm", &json!({}));
            let answer = http::send(self.deployment.callers(i), req, LIMIT).await;
            let Ok(mut answer) = answer else { return false };
            let body: Value = answer.body_json().await.unwrap_or_default();
            if body.get("booked").is_none() {
                return false;
            }
        }
        true
    }

    /// Books with `key` at host `i`; returns the status and the execution word.
    async fn book(&self, i: u16, key: &str) -> (u16, String) {
        let mut req = self.deployment.post(i, "/bookings", &json!({"slot": 7}));
        req.insert_header("idempotency-key", key);
        let mut answer = http::send(self.deployment.callers(i), req, LIMIT).await.expect("answer");
        let body: Value = answer.body_json().await.expect("JSON");
        let word = body["error"]["execution"].as_str().unwrap_or("run").to_string();
        (answer.status().into(), word)
    }

    /// Returns which host the service holds for the owner of the shard.
    async fn listed_owner(&self) -> Option<String> {
        let key = owner_key(shard_of(&self.slow));
        let found = self.deployment.kv.get(&key).await.expect("the service is up")?;
        let owner: Owner = serde_json::from_str(&found.value).expect("an owner");
        Some(owner.host.to_string())
    }

    /// Waits until the slow call runs, then checks who owns its shard.
    async fn running(&self) {
        eventually("the call runs", LIMIT, || async { self.service.count(&self.slow) == 1 }).await;
        assert_eq!(self.listed_owner().await, Some(format!("h{}", self.owner)));
    }

    /// Waits until the others have taken the shard over, and checks that the slow
    /// key is not run again there while a fresh key is.
    async fn taken_over(&self) {
        let within = LEASE_TTL + Duration::from_secs(10);
        eventually("a repeat is told that the call may have run", within, || async {
            let (status, word) = self.book(self.others[0], &self.slow).await;
            assert!(status == 503 || status == 409, "{status} {word}");
            status == 409 && word == "unknown"
        })
        .await;
        for i in self.others {
            assert_eq!(self.book(i, &self.slow).await, (409, "unknown".into()));
            assert_eq!(self.book(i, &self.second).await, (200, "run".into()));
        }
        assert_eq!(self.service.count(&self.slow), 1);
        assert_eq!(self.service.count(&self.second), 1);
    }
}

#[async_std::test]
async fn a_call_keeps_its_media_type() {
    let scene = Scene::start().await;
    for path in ["/bookings", "/trails"] {
        let mut req = scene.deployment.post(0, path, &json!({}));
        req.insert_header("idempotency-key", "form");
        req.insert_header("content-type", "application/x-www-form-urlencoded");
        let answer = http::send(scene.deployment.callers(0), req, LIMIT).await;
        let body: Value = answer.expect("an answer").body_json().await.expect("JSON");
        assert_eq!(body["media_type"], "application/x-www-form-urlencoded", "{path}");
    }
}

#[async_std::test]
async fn an_owner_killed_mid_call_leaves_no_second_execution() {
    let mut scene = Scene::start().await;
    let entry = scene.others[0];
    let mut req = scene.deployment.post(entry, "/bookings", &json!({"slot": 7}));
    req.insert_header("idempotency-key", scene.slow.as_str());
    let call = task::spawn(http::send(scene.deployment.callers(entry), req, LIMIT));
    scene.running().await;
    scene.deployment.kill_host(scene.owner);
    let mut answer = call.await.expect("an answer");
    let body: Value = answer.body_json().await.expect("JSON");
    assert_eq!(body["error"]["execution"], "unknown", "{body}");
    scene.taken_over().await;
}

#[async_std::test]
async fn an_owner_frozen_past_its_lease_runs_nothing_again_when_it_wakes() {
    let scene = Scene::start().await;
    let entry = scene.others[0];
    let mut req = scene.deployment.post(entry, "/bookings", &json!({"slot": 7}));
    req.insert_header("idempotency-key", scene.slow.as_str());
    let call = task::spawn(http::send(scene.deployment.callers(entry), req, LIMIT));
    scene.running().await;
    scene.deployment.signal_host(scene.owner, "STOP");
    let mut answer = call.await.expect("an answer");
    let body: Value = answer.body_json().await.expect("JSON");
    assert_eq!(body["error"]["execution"], "unknown", "{body}");
    scene.taken_over().await;

    scene.deployment.signal_host(scene.owner, "CONT");
    *scene.service.open.lock() = true;
    eventually("the woken host sees that it is no owner", LIMIT, || async {
        scene.book(scene.owner, &scene.second).await == (200, "run".into())
    })
    .await;
    assert_eq!(scene.service.count(&scene.slow), 1);
    assert_eq!(scene.service.count(&scene.second), 1);
}

#[async_std::test]
async fn a_planned_stop_hands_the_shard_over_before_its_lease_ends() {
    let scene = Scene::start().await;
    assert_eq!(scene.book(scene.others[0], &scene.second).await, (200, "run".into()));
    let owner = Some(format!("h{}", scene.owner));
    assert_eq!(scene.listed_owner().await, owner);
    scene.deployment.signal_host(scene.owner, "TERM");
    let released = || async { scene.listed_owner().await != owner };
    eventually("the shard is given back", LEASE_TTL / 2, released).await;
    for i in scene.others {
        assert_eq!(scene.book(i, &scene.second).await, (200, "run".into()));
    }
    let fresh = (0..).map(|n| format!("fresh-{n}")).find(|k| shard_of(k) == shard_of(&scene.slow));
    let fresh = fresh.expect("a key of the shard");
    assert_eq!(scene.book(scene.others[1], &fresh).await, (200, "run".into()));
    assert_eq!(scene.service.count(&scene.second), 1);
}
