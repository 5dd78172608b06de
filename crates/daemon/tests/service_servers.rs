//! Tests the load balancing over the servers of a plain service, and the retry of a call
//! on a second server, which is allowed only if the first did not run the call or the
//! call is idempotent.

mod common;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use aspenloft_core::backend::{Backend, BackendRole};
use aspenloft_core::clock::ManualClock;
use aspenloft_daemon::path::servers::{CallOutcome, LoadBalancer};
use aspenloft_standin::engine::EngineOptions;
use aspenloft_standin::service::ServiceStandin;
use aspenloft_transport::http;
use common::{Deployment, eventually};
use http_types::Method;
use serde_json::json;

const ANSWER_TIMEOUT: Duration = Duration::from_secs(10);

fn server(name: &str, leaving: bool) -> Backend {
    Backend {
        name: name.into(),
        addr: "127.0.0.1:1".parse().expect("an address"),
        data_centre: "dc-a".into(),
        role: BackendRole::Service,
        serves: "trailapp".into(),
        leaving,
    }
}

#[test]
fn the_least_loaded_healthy_server_is_chosen() {
    let clock = Arc::new(ManualClock::default());
    let balancer = Arc::new(LoadBalancer::new(clock.clone()));
    let all = [server("a", false), server("b", false), server("gone", true)];
    let start_call = |tried: &[&str]| {
        let tried: Vec<_> = tried.iter().map(|name| (*name).into()).collect();
        balancer.start_call(&all, &tried)
    };
    let name = |tried: &[&str]| start_call(tried).map(|active| active.backend.name.to_string());

    let busy = start_call(&[]).expect("a server");
    assert_eq!(&*busy.backend.name, "a");
    assert_eq!(name(&[]).as_deref(), Some("b"), "a has an active call");
    drop(busy);
    start_call(&[]).expect("a server").set_outcome(CallOutcome::Failed);
    assert_eq!(name(&[]).as_deref(), Some("b"), "a has failed");
    start_call(&["a"]).expect("a server").set_outcome(CallOutcome::Failed);
    assert_eq!(name(&[]).as_deref(), Some("a"), "both failed, and the avoidance of a ends first");
    assert_eq!(name(&["a", "b"]), None, "a leaving server gets no calls");
    clock.advance(Duration::from_secs(2));
    assert_eq!(name(&[]).as_deref(), Some("a"), "the avoidance is over");
}

/// A fault of one server, the method of a call, and the expected status and number of
/// executions.
struct Case {
    name: &'static str,
    set_fault: fn(&ServiceStandin),
    method: Method,
    status: u16,
    executions: u64,
}

#[async_std::test]
async fn a_second_server_is_tried_only_if_that_is_safe() {
    let mut deployment = Box::pin(Deployment::start(1, 1, EngineOptions::default())).await;
    let second = Arc::new(ServiceStandin::default());
    let addr = deployment.serve(7191, second.clone()).await;
    deployment.listing.backends.push(Backend { addr, ..server("trailapp-1", false) });
    deployment.write_listing();
    let counts = || {
        let total = |s: &ServiceStandin| s.counts().values().sum::<u64>();
        (total(&deployment.service), total(&second))
    };
    let second_is_known = || async {
        let _ = call(&deployment, Method::Get).await;
        counts().1 > 0
    };
    eventually("the second server is known", ANSWER_TIMEOUT, second_is_known).await;

    let cases = [
        Case {
            name: "an idempotent call that was refused goes to the other server",
            set_fault: |s| s.faults.lock().refusing = true,
            method: Method::Get,
            status: 200,
            executions: 1,
        },
        Case {
            name: "an idempotent call is sent again after a crash",
            set_fault: |s| s.faults.lock().crash_after = 1,
            method: Method::Get,
            status: 200,
            executions: 2,
        },
        Case {
            name: "a call that is not idempotent is not sent again",
            set_fault: |s| s.faults.lock().crash_after = 1,
            method: Method::Post,
            status: 503,
            executions: 1,
        },
    ];
    for case in cases {
        // The server that is tried first is random, so each has the fault in turn.
        for faulty in [&deployment.service, &second] {
            let mut as_expected = false;
            for _ in 0..40 {
                *faulty.faults.lock() = Default::default();
                let before = counts();
                (case.set_fault)(faulty);
                let status = call(&deployment, case.method).await;
                let after = counts();
                let executions = after.0 + after.1 - before.0 - before.1;
                assert!(status == case.status || status == 200, "{}: {status}", case.name);
                assert!(executions <= case.executions, "{}: {executions}", case.name);
                as_expected |= status == case.status && executions == case.executions;
            }
            *faulty.faults.lock() = Default::default();
            assert!(as_expected, "{}", case.name);
        }
    }
}

async fn call(deployment: &Deployment, method: Method) -> u16 {
    let addr: SocketAddr = deployment.callers(0);
    let body = if method == Method::Get { Vec::new() } else { b"{}".to_vec() };
    let mut req = http::request(method, addr, "/trails", body).expect("a request");
    req.insert_header("authorization", format!("Bearer {}", common::KEY));
    let answer = http::send(addr, req, ANSWER_TIMEOUT).await.expect("an answer");
    answer.status().into()
}

#[async_std::test]
async fn repeatable_calls_work_without_the_platform() {
    let deployment = Box::pin(Deployment::start(2, 1, EngineOptions::default())).await;
    deployment.kv.faults.lock().down = true;
    for _ in 0..3 {
        assert_eq!(call(&deployment, Method::Get).await, 200);
    }
    let mut req = deployment.post(0, "/bookings", &json!({"slot": 7}));
    req.insert_header("idempotency-key", "slot-7");
    let mut answer =
        http::send(deployment.callers(0), req, ANSWER_TIMEOUT).await.expect("an answer");
    let body: serde_json::Value = answer.body_json().await.expect("JSON");
    assert_eq!(u16::from(answer.status()), 503);
    assert_eq!(body["error"]["execution"], "not_run");
    assert!(answer.header("retry-after").is_some());
    assert_eq!(deployment.service.executions("slot-7"), 0);
    deployment.kv.faults.lock().down = false;
    let retry = || async {
        let mut req = deployment.post(1, "/bookings", &json!({"slot": 7}));
        req.insert_header("idempotency-key", "slot-7");
        let answer =
            http::send(deployment.callers(1), req, ANSWER_TIMEOUT).await.expect("an answer");
        answer.status().is_success()
    };
    eventually("a repeat runs after the outage", ANSWER_TIMEOUT, retry).await;
    assert_eq!(deployment.service.executions("slot-7"), 1);
}
