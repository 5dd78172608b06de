//! A request that crashes every server that runs it must crash at most two, even if it
//! is sent again to other hosts. Requests that ran on the same servers must complete
//! on others.

mod common;

use std::time::{Duration, Instant};

use aspenloft_standin::engine::{CRASH_MARKER, DECODE_CRASH_MARKER, EngineOptions, expected_text};
use aspenloft_transport::http;
use async_std::task;
use common::Deployment;
use futures::future::join_all;
use serde_json::{Value, json};

const TIMEOUT: Duration = Duration::from_secs(30);

async fn ask(deployment: &Deployment, host: u16, prompt: &str) -> Value {
    let body = json!({"model": "scribe", "prompt": prompt, "max_tokens": 60});
    let req = deployment.post(host, "/v1/completions", &body);
    let mut answer = http::send(deployment.callers(host), req, TIMEOUT).await.expect("an answer");
    answer.body_json().await.expect("JSON")
}

fn crash_count(deployment: &Deployment) -> u64 {
    let engines = deployment.prefill.iter().chain(&deployment.decode);
    engines.map(|engine| engine.standin.records().crashes).sum()
}

/// Sends a request with `mark` in its prompt, which crashes engines, among others that
/// do not, and checks that it is convicted after at most two crashes.
async fn check_conviction(mark: &str) {
    let options = EngineOptions { step: Duration::from_millis(25), ..EngineOptions::default() };
    let deployment = Deployment::start(3, 4, options).await;
    for engine in deployment.prefill.iter().chain(&deployment.decode) {
        engine.standin.faults.lock().down = Duration::from_millis(500);
    }
    let deployment = &deployment;
    let prompts: Vec<String> = (0..12).map(|i| format!("Describe innocent door {i}.")).collect();
    let harmless = prompts
        .iter()
        .enumerate()
        .map(|(i, prompt)| async move { ask(deployment, (i % 3) as u16, prompt).await });
    let poisoned = async {
        task::sleep(Duration::from_millis(300)).await;
        let prompt = format!("Describe the door {mark} that bites.");
        let mut last = Value::Null;
        for host in [0, 1, 2, 0, 1] {
            last = ask(deployment, host, &prompt).await;
        }
        let started = Instant::now();
        let again = ask(deployment, 2, &prompt).await;
        assert!(started.elapsed() < Duration::from_secs(1), "the refusal must be immediate");
        assert_eq!(again["error"]["code"], "poisonous_request", "{again}");
        assert_eq!(last["error"]["code"], "poisonous_request", "{last}");
    };
    let (answers, ()) = futures::join!(join_all(harmless), poisoned);
    for (answer, prompt) in answers.iter().zip(&prompts) {
        let text = answer["choices"][0]["text"].as_str().unwrap_or_default();
        assert_eq!(text, expected_text(prompt, 60), "{answer}");
    }
    let crashed = crash_count(deployment);
    assert!((1..=2).contains(&crashed), "{crashed} servers crashed");
}

#[async_std::test]
async fn a_prompt_that_crashes_prefill_crashes_two_servers_at_most() {
    check_conviction(CRASH_MARKER).await;
}

#[async_std::test]
async fn a_prompt_that_crashes_decode_crashes_two_servers_at_most() {
    check_conviction(DECODE_CRASH_MARKER).await;
}
