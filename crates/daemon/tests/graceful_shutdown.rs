//! A graceful shutdown must not cut off requests in flight. Hosts are stopped and
//! started in turn under continuous load, and no request may fail.

mod common;

use std::process::ExitStatus;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

use aspenloft_daemon::settings::Limits;
use aspenloft_protocol::admin::paths;
use aspenloft_standin::engine::{EngineOptions, expected_text};
use aspenloft_transport::http;
use async_std::task;
use common::{Deployment, eventually};
use futures::future::join_all;
use http_types::{Method, StatusCode};
use parking_lot::RwLock;
use serde_json::{Value, json};

const TIMEOUT: Duration = Duration::from_secs(20);

/// Longer than it takes for heartbeats to inform all hosts that one is leaving.
const LEAVE_GRACE: Duration = Duration::from_millis(2_500);

fn limits() -> Limits {
    Limits { leave_grace: LEAVE_GRACE, ..Limits::default() }
}

fn body(prompt: &str, tokens: u64) -> Value {
    json!({"model": "scribe", "prompt": prompt, "max_tokens": tokens})
}

/// Returns whether host `i` reports that it is ready, as the balancer checks before it
/// sends requests to a host.
async fn is_ready(deployment: &Deployment, i: u16) -> bool {
    let addr = deployment.admin(i);
    let req = http::request(Method::Get, addr, paths::READY, Vec::new()).expect("a request");
    let answer = http::send(addr, req, Duration::from_secs(1)).await;
    answer.is_ok_and(|answer| answer.status().is_success())
}

/// Waits up to `limit` for host `i` to exit and returns its status.
async fn wait_for_exit(deployment: &mut Deployment, i: u16, limit: Duration) -> ExitStatus {
    let deadline = Instant::now() + limit;
    loop {
        let child = deployment.hosts[usize::from(i)].as_mut().expect("a host");
        if let Some(status) = child.try_wait().expect("a process") {
            deployment.hosts[usize::from(i)] = None;
            return status;
        }
        assert!(Instant::now() < deadline, "host {i} has not exited within {limit:?}");
        task::sleep(Duration::from_millis(20)).await;
    }
}

#[async_std::test]
async fn a_rolling_replacement_fails_no_request() {
    let options = EngineOptions { step: Duration::from_millis(10), ..EngineOptions::default() };
    let mut deployment = Deployment::start_with(3, 2, options, limits()).await;
    let targets = Arc::new(RwLock::new((0..3).map(|i| deployment.callers(i)).collect::<Vec<_>>()));
    let done = Arc::new(AtomicBool::new(false));
    let served = Arc::new(AtomicU64::new(0));
    let callers: Vec<_> = (0..8)
        .map(|c: u64| {
            let (targets, done, served) = (targets.clone(), done.clone(), served.clone());
            task::spawn(async move {
                let mut i = 0;
                while !done.load(Ordering::Relaxed) {
                    let addr = {
                        let ready = targets.read();
                        ready[(c + i) as usize % ready.len()]
                    };
                    let prompt = format!("Caller {c} asks {i}");
                    // Every fourth request takes longer than the grace period, so the host
                    // must wait for it.
                    let tokens = if i % 4 == 0 { 400 } else { 5 + (c * 11 + i) % 60 };
                    let mut req =
                        http::post(addr, "/v1/completions", &body(&prompt, tokens)).expect("req");
                    req.insert_header("authorization", format!("Bearer {}", common::KEY));
                    let mut answer = http::send(addr, req, TIMEOUT).await.expect("an answer");
                    let text = answer.body_string().await.expect("a body");
                    assert_eq!(answer.status(), StatusCode::Ok, "{addr}: {text}");
                    let answer: Value = serde_json::from_str(&text).expect("JSON");
                    let expected = expected_text(&prompt, tokens);
                    assert_eq!(answer["choices"][0]["text"], expected.as_str());
                    served.fetch_add(1, Ordering::Relaxed);
                    i += 1;
                }
            })
        })
        .collect();
    for i in 0..3 {
        let before = served.load(Ordering::Relaxed);
        // The platform's list never marks the host as leaving, as if it lagged far
        // behind: the other hosts must learn it from the host's heartbeats.
        deployment.signal_host(i, "TERM");
        eventually("the balancer sees that the host is leaving", TIMEOUT, || async {
            !is_ready(&deployment, i).await
        })
        .await;
        let leaving = deployment.callers(i);
        targets.write().retain(|addr| *addr != leaving);
        let status = wait_for_exit(&mut deployment, i, TIMEOUT).await;
        assert_eq!(status.code(), Some(0), "host {i} must not cut requests");
        deployment.start_host(i);
        deployment.await_ready(i).await;
        targets.write().push(leaving);
        assert!(
            served.load(Ordering::Relaxed) > before,
            "no requests were served during the restart"
        );
    }
    done.store(true, Ordering::Relaxed);
    join_all(callers).await;
}

#[async_std::test]
async fn streams_in_flight_finish_and_new_requests_are_refused() {
    let options = EngineOptions { step: Duration::from_millis(20), ..EngineOptions::default() };
    let limits = Limits { leave_grace: Duration::from_millis(200), ..Limits::default() };
    let mut deployment = Deployment::start_with(1, 1, options, limits).await;
    let mut long = body("A long one.", 150);
    long["stream"] = json!(true);
    let req = deployment.post(0, "/v1/completions", &long);
    let mut stream = http::send(deployment.callers(0), req, TIMEOUT).await.expect("an answer");
    // An operator's drain request has the same effect as the signal.
    let addr = deployment.admin(0);
    let drain = http::request(Method::Post, addr, paths::DRAIN, Vec::new()).expect("a request");
    assert!(http::send(addr, drain, TIMEOUT).await.expect("an answer").status().is_success());
    eventually("refuses", TIMEOUT, || async {
        let req = deployment.post(0, "/v1/completions", &body("Another.", 1));
        let mut answer = http::send(deployment.callers(0), req, TIMEOUT).await.expect("an answer");
        let text = answer.body_string().await.expect("a body");
        let refused = answer.status() == StatusCode::ServiceUnavailable;
        assert_eq!(refused, text.contains("\"execution\":\"not_run\""), "{text}");
        assert_eq!(refused, answer.header("retry-after").is_some());
        refused
    })
    .await;
    let text = stream.body_string().await.expect("the whole stream");
    assert!(text.ends_with("data: [DONE]\n\n"), "the stream was cut: {text}");
    assert_eq!(wait_for_exit(&mut deployment, 0, TIMEOUT).await.code(), Some(0));
}

#[async_std::test]
async fn a_second_signal_and_the_drain_timeout_log_what_they_cut() {
    let options = EngineOptions { step: Duration::from_millis(50), ..EngineOptions::default() };
    for twice in [true, false] {
        let drain = if twice { TIMEOUT } else { Duration::from_millis(300) };
        let grace = Duration::from_millis(100);
        let limits = Limits { leave_grace: grace, drain, ..Limits::default() };
        let mut deployment = Deployment::start_with(1, 1, options.clone(), limits).await;
        let mut long = body("A long one.", 4_000);
        long["stream"] = json!(true);
        let req = deployment.post(0, "/v1/completions", &long);
        let stream = http::send(deployment.callers(0), req, TIMEOUT).await.expect("an answer");
        deployment.signal_host(0, "TERM");
        if twice {
            eventually("leaving", TIMEOUT, || async { !is_ready(&deployment, 0).await }).await;
            deployment.signal_host(0, "TERM");
        }
        let status = wait_for_exit(&mut deployment, 0, Duration::from_secs(5)).await;
        assert_eq!(status.code(), Some(3), "twice: {twice}");
        let log = deployment.host_log(0);
        assert!(log.contains("event=left cut_requests=1"), "{log}");
        drop(stream);
    }
}
