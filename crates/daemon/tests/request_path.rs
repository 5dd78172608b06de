//! Tests the path of requests through separate host processes: from the entry host over
//! the homes of a prefill and a decode engine.

mod common;

use std::time::Duration;

use aspenloft_standin::engine::{EngineOptions, expected_text};
use aspenloft_transport::http;
use common::{Deployment, eventually};
use serde_json::{Value, json};

const PROMPT: &str = "Describe the blue door.";
const ANSWER_TIMEOUT: Duration = Duration::from_secs(10);

fn completion(stream: bool) -> Value {
    json!({"model": "scribe", "prompt": PROMPT, "max_tokens": 5, "stream": stream})
}

#[async_std::test]
async fn every_host_serves_whole_and_streamed_answers() {
    let deployment = Deployment::start(3, 2, EngineOptions::default()).await;
    for i in 0..3 {
        let req = deployment.post(i, "/v1/completions", &completion(false));
        let mut answer =
            http::send(deployment.callers(i), req, ANSWER_TIMEOUT).await.expect("an answer");
        let body: Value = answer.body_json().await.expect("JSON");
        assert_eq!(body["choices"][0]["text"], expected_text(PROMPT, 5).as_str());

        let req = deployment.post(i, "/v1/completions", &completion(true));
        let mut answer =
            http::send(deployment.callers(i), req, ANSWER_TIMEOUT).await.expect("an answer");
        let text = answer.body_string().await.expect("a stream");
        assert!(text.ends_with("data: [DONE]\n\n"), "{text}");
    }
}

#[async_std::test]
async fn frees_the_engines_when_the_caller_disconnects() {
    let options = EngineOptions { step: Duration::from_millis(50), ..EngineOptions::default() };
    let deployment = Deployment::start(2, 1, options).await;
    let long = json!({"model": "scribe", "prompt": PROMPT, "max_tokens": 4000, "stream": true});
    let req = deployment.post(0, "/v1/completions", &long);
    let answer = http::send(deployment.callers(0), req, ANSWER_TIMEOUT).await.expect("an answer");
    assert_eq!(deployment.decode[0].standin.holds().len(), 1);
    drop(answer);
    let engines = [&deployment.decode[0].standin, &deployment.prefill[0].standin];
    eventually("no engine memory is held", Duration::from_secs(2), || async {
        engines.iter().all(|engine| engine.holds().is_empty())
    })
    .await;
}

#[async_std::test]
async fn a_booking_sent_twice_runs_once() {
    let deployment = Deployment::start(2, 1, EngineOptions::default()).await;
    for i in 0..2 {
        let mut req = deployment.post(i, "/bookings", &json!({"slot": 7}));
        req.insert_header("idempotency-key", "slot-7");
        let mut answer =
            http::send(deployment.callers(i), req, ANSWER_TIMEOUT).await.expect("an answer");
        let receipt: Value = answer.body_json().await.expect("JSON");
        assert_eq!(receipt["executions"], 1);
    }
}
