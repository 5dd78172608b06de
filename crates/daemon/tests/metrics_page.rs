//! The metrics page for Prometheus must contain every series that docs/METRICS.md
//! lists, and the number of series must not grow with callers or requests.

mod common;

use std::time::Duration;

use aspenloft_protocol::admin::paths;
use aspenloft_standin::engine::EngineOptions;
use aspenloft_transport::http;
use common::Deployment;
use http_types::Method;
use serde_json::json;

const TIMEOUT: Duration = Duration::from_secs(10);

async fn page(deployment: &Deployment) -> String {
    let addr = deployment.admin(0);
    let req = http::request(Method::Get, addr, paths::METRICS, Vec::new()).expect("a request");
    let mut answer = http::send(addr, req, TIMEOUT).await.expect("an answer");
    answer.body_string().await.expect("a page")
}

async fn complete(deployment: &Deployment, prompt: &str, model: &str) {
    let body = json!({"model": model, "prompt": prompt, "max_tokens": 3});
    let req = deployment.post(0, "/v1/completions", &body);
    let mut answer = http::send(deployment.callers(0), req, TIMEOUT).await.expect("an answer");
    answer.body_string().await.expect("a body");
}

#[async_std::test]
async fn contains_all_series_and_does_not_grow_with_requests() {
    let deployment = Deployment::start(1, 1, EngineOptions::default()).await;
    complete(&deployment, "one", "scribe").await;
    complete(&deployment, "one", "no-such-model").await;
    let first = page(&deployment).await;
    let expected = [
        "aspenloft_ttft_seconds_bucket{row=\"scribe\"",
        "aspenloft_time_between_tokens_seconds_bucket{row=\"scribe\"",
        "aspenloft_targets_total{met=\"true\",row=\"scribe\",target=\"ttft\"",
        "aspenloft_requests_total{outcome=\"answered\",row=\"scribe\"",
        "aspenloft_refusals_total{code=\"not_found\",row=\"\"",
        "aspenloft_in_flight{",
        "aspenloft_reservations{",
        "aspenloft_process_cpu_seconds_total",
        "aspenloft_control_bytes_total{direction=\"sent\"",
    ];
    for series in expected {
        assert!(
            first.lines().any(|line| line.starts_with(series)),
            "{series} is missing in {first}"
        );
    }
    let lines = first.lines().count();
    for i in 0..20 {
        complete(&deployment, &format!("prompt {i}"), "scribe").await;
        complete(&deployment, "one", &format!("no-such-model-{i}")).await;
    }
    assert_eq!(page(&deployment).await.lines().count(), lines, "series grow with requests");
}
