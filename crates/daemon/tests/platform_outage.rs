//! During an outage of the key-value service, model requests must be served as before.
//! Bookings, which need the service, must be refused at once as not run, so that the
//! caller can safely send them again later.

mod common;

use std::time::{Duration, Instant};

use aspenloft_standin::engine::{EngineOptions, expected_text};
use aspenloft_transport::http;
use common::Deployment;
use http_types::StatusCode;
use serde_json::{Value, json};

const TIMEOUT: Duration = Duration::from_secs(10);
const HOSTS: u16 = 3;

/// The number of rounds of requests during the outage; each round uses every host.
const ROUNDS: usize = 20;

/// The longest time for a refusal, well below the timeout of calls to the platform.
const MAX_REFUSAL_TIME: Duration = Duration::from_secs(1);

async fn complete(deployment: &Deployment, host: u16, prompt: &str) -> Value {
    let body = json!({"model": "scribe", "prompt": prompt, "max_tokens": 4});
    let req = deployment.post(host, "/v1/completions", &body);
    let mut answer = http::send(deployment.callers(host), req, TIMEOUT).await.expect("an answer");
    answer.body_json().await.expect("JSON")
}

async fn book(deployment: &Deployment, host: u16, key: &str) -> (StatusCode, Value, bool) {
    let mut req = deployment.post(host, "/bookings", &json!({"slot": key}));
    req.insert_header("idempotency-key", key);
    let mut answer = http::send(deployment.callers(host), req, TIMEOUT).await.expect("an answer");
    let body = answer.body_json().await.expect("JSON");
    (answer.status(), body, answer.header("retry-after").is_some())
}

#[async_std::test]
async fn model_requests_are_served_and_bookings_are_refused_at_once_as_not_run() {
    let deployment = Deployment::start(HOSTS, 2, EngineOptions::default()).await;
    assert_eq!(book(&deployment, 0, "before").await.0, StatusCode::Ok);

    deployment.kv.faults.lock().down = true;
    for round in 0..ROUNDS {
        for host in 0..HOSTS {
            let prompt = format!("Door {round} of host {host}");
            let answer = complete(&deployment, host, &prompt).await;
            let text = answer["choices"][0]["text"].as_str().unwrap_or_default();
            assert_eq!(text, expected_text(&prompt, 4), "{answer}");
        }
    }
    for host in 0..HOSTS {
        let start = Instant::now();
        let (status, body, retry_after) = book(&deployment, host, "during").await;
        assert_eq!(status, StatusCode::ServiceUnavailable, "{body}");
        assert_eq!(body["error"]["execution"], "not_run", "{body}");
        assert!(retry_after, "the refusal has no Retry-After header");
        assert!(start.elapsed() < MAX_REFUSAL_TIME, "refused after {:?}", start.elapsed());
    }

    // A booking that was refused as not run can be sent again and then runs once.
    deployment.kv.faults.lock().down = false;
    let booked = || async { book(&deployment, 0, "during").await.0 == StatusCode::Ok };
    common::eventually("bookings run again", TIMEOUT, booked).await;
    let (_, receipt, _) = book(&deployment, 1, "during").await;
    assert_eq!(receipt["executions"], 1, "{receipt}");
}
