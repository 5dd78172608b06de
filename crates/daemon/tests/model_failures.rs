//! Tests failures during model requests: engines and hosts crash, stall or refuse, and
//! callers disconnect. Each caller must get its own complete answer or an error that
//! correctly states whether the request ran, and no engine may keep memory.

mod common;

use std::time::Duration;

use aspenloft_standin::engine::{EngineFaults, EngineOptions, expected_text};
use aspenloft_transport::http;
use async_std::task;
use common::{Deployment, Engine, default_table, eventually};
use futures::future::join_all;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde_json::{Value, json};

/// The longest wait for any answer in these tests.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(20);

/// The guaranteed time within which an engine frees the memory of a disconnected caller.
const FREE_TIMEOUT: Duration = Duration::from_secs(2);

const MS: Duration = Duration::from_millis(1);

/// Sets a fault of an engine.
type SetFault = fn(&mut EngineFaults);

/// The status and body of an answer.
#[derive(Debug)]
struct Answer {
    status: u16,
    body: Value,
}

impl Answer {
    fn text(&self) -> &str {
        self.body["choices"][0]["text"].as_str().unwrap_or_default()
    }

    fn execution(&self) -> &str {
        self.body["error"]["execution"].as_str().unwrap_or_default()
    }
}

fn slow_engines() -> EngineOptions {
    EngineOptions { step: MS * 30, ..EngineOptions::default() }
}

async fn complete(deployment: &Deployment, host: u16, prompt: &str, tokens: u64) -> Answer {
    let body = json!({"model": "scribe", "prompt": prompt, "max_tokens": tokens});
    let req = deployment.post(host, "/v1/completions", &body);
    let mut answer =
        http::send(deployment.callers(host), req, ANSWER_TIMEOUT).await.expect("an answer");
    let status = answer.status().into();
    Answer { status, body: answer.body_json().await.expect("JSON") }
}

fn engines(deployment: &Deployment) -> impl Iterator<Item = &Engine> {
    deployment.prefill.iter().chain(&deployment.decode)
}

async fn wait_until_freed(deployment: &Deployment, what: &str) {
    eventually(what, FREE_TIMEOUT, || async {
        engines(deployment).all(|engine| engine.standin.holds().is_empty())
    })
    .await;
}

async fn wait_for_streams(deployment: &Deployment, count: usize) {
    eventually("streams run", ANSWER_TIMEOUT, || async {
        let holds = deployment.decode.iter().flat_map(|engine| engine.standin.holds());
        holds.filter(|hold| hold.generated.0 > 2).count() >= count
    })
    .await;
}

/// Sets the retry budget to one retry per request, for a test with few requests of which
/// most must be retried.
async fn allow_retries(deployment: &Deployment) {
    let mut table = default_table();
    table.version += 1;
    table.rows[0].retry_percent = 100;
    deployment.put_table(&table).await;
    for i in 0..deployment.hosts.len() as u16 {
        eventually("the table is in force", ANSWER_TIMEOUT, || async {
            deployment.status(i).await.table_version == table.version
        })
        .await;
    }
}

/// Returns the host that is the home of a backend server.
async fn home_of(deployment: &Deployment, backend: &str) -> u16 {
    for i in 0..deployment.hosts.len() as u16 {
        if deployment.status(i).await.homes.iter().any(|home| **home == *backend) {
            return i;
        }
    }
    panic!("{backend} has no home");
}

#[async_std::test]
async fn a_stream_resumes_when_its_decode_engine_crashes() {
    let mut random = Pcg64Mcg::seed_from_u64(1);
    let deployment = Deployment::start(2, 2, slow_engines()).await;
    for engine in &deployment.decode {
        engine.standin.faults.lock().down = MS * 700;
    }
    for round in 0..4 {
        let prompts: Vec<String> =
            (0..6).map(|i| format!("Describe door {round}.{i}, which is blue.")).collect();
        let requests = prompts.iter().enumerate().map(|(i, prompt)| {
            let host = (i % 2) as u16;
            complete(&deployment, host, prompt, 40)
        });
        let after = MS * random.random_range(50..900);
        let crash = async {
            task::sleep(after).await;
            deployment.decode[round % 2].standin.crash();
        };
        let (answers, ()) = futures::join!(join_all(requests), crash);
        for (answer, prompt) in answers.iter().zip(&prompts) {
            assert_eq!(answer.status, 200, "round {round}: {answer:?}");
            assert_eq!(answer.text(), expected_text(prompt, 40), "round {round}");
        }
        task::sleep(MS * 900).await;
    }
    wait_until_freed(&deployment, "engines are free after all answers").await;
}

#[async_std::test]
async fn repeated_tokens_and_stalled_streams_do_not_change_the_text() {
    let deployment = Deployment::start(2, 2, slow_engines()).await;
    for engine in &deployment.decode {
        engine.standin.faults.lock().repeat_tokens = 15;
    }
    let answer = complete(&deployment, 0, "Describe the twice told door.", 30).await;
    assert_eq!(answer.text(), expected_text("Describe the twice told door.", 30));
    let stall = async {
        wait_for_streams(&deployment, 1).await;
        let busy = deployment.decode.iter().find(|engine| !engine.standin.holds().is_empty());
        busy.expect("a stream").standin.faults.lock().stall_streams = true;
    };
    let request = complete(&deployment, 1, "Describe the silent door.", 60);
    let (answer, ()) = futures::join!(request, stall);
    assert_eq!(answer.text(), expected_text("Describe the silent door.", 60));
    wait_until_freed(&deployment, "the stalled stream was cancelled").await;
}

#[async_std::test]
async fn a_stalled_transfer_is_retried_from_another_prefill_engine() {
    let deployment = Deployment::start(2, 2, slow_engines()).await;
    deployment.prefill[0].standin.faults.lock().stall_exports = true;
    allow_retries(&deployment).await;
    for i in 0..6 {
        let prompt = format!("Describe stalled door {i}.");
        let answer = complete(&deployment, i % 2, &prompt, 5).await;
        assert_eq!(answer.text(), expected_text(&prompt, 5), "{answer:?}");
    }
    deployment.prefill[0].standin.faults.lock().stall_exports = false;
    wait_until_freed(&deployment, "nothing is left of the stalled transfers").await;
}

#[async_std::test]
async fn a_refused_prefill_result_goes_to_another_decode_engine() {
    let options = EngineOptions { prefill_per_token: MS, ..slow_engines() };
    let deployment = Deployment::start(2, 2, options).await;
    // decode-0 refuses only after the prefill has begun, when its slot may be reserved.
    let prompt = "Describe a door that is long in the making. ".repeat(40);
    let refuse = async {
        eventually("a prefill runs", ANSWER_TIMEOUT, || async {
            deployment.prefill.iter().any(|engine| !engine.standin.holds().is_empty())
        })
        .await;
        deployment.decode[0].standin.faults.lock().refusing = true;
    };
    let (answer, ()) = futures::join!(complete(&deployment, 0, &prompt, 5), refuse);
    assert_eq!(answer.text(), expected_text(&prompt, 5));
    let runs: u64 =
        deployment.prefill.iter().map(|e| e.standin.records().runs_of_prompt(&prompt)).sum();
    assert_eq!(runs, 1, "the prefill ran once");
}

#[async_std::test]
async fn memory_is_freed_when_the_caller_disconnects_at_any_time() {
    // Every step is slow, so that the random times of disconnection fall into each state
    // and between states.
    let options = EngineOptions {
        prefill_per_token: MS * 2,
        transfer_per_token: MS / 2,
        step: MS * 20,
        slots: 4,
        ..EngineOptions::default()
    };
    let deployment = Deployment::start(3, 2, options).await;
    let deployment = &deployment;
    for seed in 0..3 {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let callers = (0..30).map(|i| {
            let prompt = format!("Describe door {seed}.{i}. {}", "x".repeat(200));
            let disconnect_after = MS * random.random_range(1..900);
            async move {
                let request = complete(deployment, i % 3, &prompt, 500);
                let _ = async_std::future::timeout(disconnect_after, request).await;
            }
        });
        join_all(callers).await;
        wait_until_freed(deployment, &format!("engines are free, seed {seed}")).await;
    }
    // The slots must be free as well, so that another request is admitted and answered.
    task::sleep(MS * 500).await;
    let answer = complete(deployment, 0, "Describe the last door.", 5).await;
    assert_eq!(answer.text(), expected_text("Describe the last door.", 5));
}

#[async_std::test]
async fn memory_is_freed_when_cancellations_are_lost() {
    let deployment = Deployment::start(2, 1, slow_engines()).await;
    let faults: [(&str, SetFault); 2] = [
        ("lost", |faults| faults.lose_cancels = 3),
        ("acknowledged without effect for a while", |faults| faults.ignore_cancels = true),
    ];
    for (what, fault) in faults {
        fault(&mut deployment.decode[0].standin.faults.lock());
        {
            let request = complete(&deployment, 0, "Describe the door nobody waits for.", 2_000);
            let streaming = wait_for_streams(&deployment, 1);
            futures::pin_mut!(request, streaming);
            futures::future::select(request, streaming).await;
        }
        wait_until_freed(&deployment, what).await;
        *deployment.decode[0].standin.faults.lock() = EngineFaults::default();
    }
}

#[async_std::test]
async fn memory_is_freed_when_the_entry_host_is_killed() {
    let mut deployment = Deployment::start(3, 1, slow_engines()).await;
    let home = home_of(&deployment, "decode-0").await;
    let entry = (0..3).find(|i| *i != home).expect("another host");
    let body = json!({"model": "scribe", "prompt": "Describe.", "max_tokens": 2_000});
    let req = deployment.post(entry, "/v1/completions", &body);
    let request = task::spawn(http::send(deployment.callers(entry), req, ANSWER_TIMEOUT));
    wait_for_streams(&deployment, 1).await;
    deployment.kill_host(entry);
    wait_until_freed(&deployment, "the dead entry host's stream is gone").await;
    assert!(request.await.is_err());
}

#[async_std::test]
async fn a_stream_resumes_when_the_home_is_killed() {
    let mut deployment = Deployment::start(3, 1, slow_engines()).await;
    let home = home_of(&deployment, "decode-0").await;
    let entry = (0..3).find(|i| *i != home).expect("another host");
    let prompt = "Describe the door whose home burnt.";
    let body = json!({"model": "scribe", "prompt": prompt, "max_tokens": 60});
    let req = deployment.post(entry, "/v1/completions", &body);
    let request = task::spawn(http::send(deployment.callers(entry), req, ANSWER_TIMEOUT));
    wait_for_streams(&deployment, 1).await;
    deployment.kill_host(home);
    // The platform's list changes some time after the host has died.
    task::sleep(MS * 200).await;
    deployment.listing.hosts.retain(|host| *host.name != *format!("h{home}"));
    deployment.write_listing();
    let mut answer = request.await.expect("an answer");
    let body: Value = answer.body_json().await.expect("JSON");
    assert_eq!(body["choices"][0]["text"], expected_text(prompt, 60).as_str(), "{body}");
    wait_until_freed(&deployment, "the dead home's stream is gone").await;
}

#[async_std::test]
async fn a_leaving_server_gets_no_new_work_and_finishes_its_streams() {
    let mut deployment = Deployment::start(2, 2, slow_engines()).await;
    let records = |d: &Deployment| d.decode[0].standin.records().decoded.len();
    let load = |d: &Deployment, round: u32| {
        let prompts: Vec<String> = (0..5).map(|i| format!("Describe {round}.{i}.")).collect();
        let requests: Vec<_> = prompts
            .iter()
            .enumerate()
            .map(|(i, prompt)| {
                let body = json!({"model": "scribe", "prompt": prompt, "max_tokens": 20});
                let req = d.post((i % 2) as u16, "/v1/completions", &body);
                task::spawn(http::send(d.callers((i % 2) as u16), req, ANSWER_TIMEOUT))
            })
            .collect();
        (prompts, requests)
    };
    let mut running = vec![load(&deployment, 0)];
    task::sleep(MS * 100).await;
    deployment.listing.backends.iter_mut().find(|b| *b.name == *"decode-0").expect("it").leaving =
        true;
    deployment.write_listing();
    // Hosts read the list every second and are guaranteed to follow it within a few.
    for round in 1..7 {
        running.push(load(&deployment, round));
        task::sleep(MS * 300).await;
    }
    let before = records(&deployment);
    for round in 7..10 {
        running.push(load(&deployment, round));
        task::sleep(MS * 300).await;
    }
    for (prompts, requests) in running {
        for (prompt, request) in prompts.iter().zip(requests) {
            let mut answer = request.await.expect("an answer");
            let body: Value = answer.body_json().await.expect("JSON");
            assert_eq!(body["choices"][0]["text"], expected_text(prompt, 20).as_str(), "{body}");
        }
    }
    assert_eq!(
        records(&deployment),
        before,
        "decode-0 got new work after the hosts knew that it was leaving"
    );
}

#[async_std::test]
async fn a_refusing_server_is_avoided_before_the_list_changes() {
    let deployment = Deployment::start(2, 2, slow_engines()).await;
    deployment.decode[0].standin.faults.lock().refusing = true;
    deployment.prefill[1].standin.faults.lock().refusing = true;
    for i in 0..10 {
        let prompt = format!("Describe heeded door {i}.");
        let answer = complete(&deployment, i % 2, &prompt, 5).await;
        assert_eq!(answer.text(), expected_text(&prompt, 5), "{answer:?}");
    }
    assert!(deployment.decode[0].standin.records().decoded.is_empty());
}

#[async_std::test]
async fn reported_execution_matches_the_engine_records() {
    // With few slots and long answers, most of these requests are refused.
    let options = EngineOptions { slots: 2, prefill_per_token: MS, ..slow_engines() };
    let deployment = Deployment::start(2, 2, options).await;
    let deployment = &deployment;
    let mut reported_not_run = 0;
    for seed in 0..2 {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let prompts: Vec<String> =
            (0..40).map(|i| format!("Describe overload {seed}.{i}. {}", "y".repeat(300))).collect();
        let crash_after = MS * random.random_range(300..1_200);
        let requests = prompts.iter().enumerate().map(|(i, prompt)| {
            let starts = MS * random.random_range(0..1_500);
            async move {
                task::sleep(starts).await;
                complete(deployment, (i % 2) as u16, prompt, 40).await
            }
        });
        let crash = async {
            task::sleep(crash_after).await;
            deployment.prefill[0].standin.crash();
            deployment.decode[1].standin.crash();
        };
        let (answers, ()) = futures::join!(join_all(requests), crash);
        for (answer, prompt) in answers.iter().zip(&prompts) {
            if answer.status == 200 {
                assert_eq!(answer.text(), expected_text(prompt, 40));
                continue;
            }
            let runs: u64 = engines(deployment)
                .map(|engine| engine.standin.records().runs_of_prompt(prompt))
                .sum();
            match answer.execution() {
                "not_run" => {
                    reported_not_run += 1;
                    assert_eq!(runs, 0, "seed {seed}: reported not run but ran: {answer:?}");
                }
                "run" => assert!(runs > 0, "seed {seed}: reported run but did not: {answer:?}"),
                other => assert_eq!(other, "unknown", "{answer:?}"),
            }
        }
    }
    assert!(reported_not_run > 0, "no request was refused by the overload");
    // All decode engines crash during an answer and stay down, so the error must report
    // that the request ran.
    for engine in &deployment.decode {
        engine.standin.faults.lock().down = ANSWER_TIMEOUT;
    }
    let crash = async {
        wait_for_streams(deployment, 1).await;
        deployment.decode.iter().for_each(|engine| engine.standin.crash());
    };
    let (answer, ()) = futures::join!(complete(deployment, 0, "Describe the fall.", 90), crash);
    assert_eq!((answer.status, answer.execution()), (503, "run"), "{answer:?}");
    wait_until_freed(deployment, "engines are free after the overload").await;
}

#[async_std::test]
async fn a_prefill_without_a_decode_is_reported_as_run() {
    let options = EngineOptions { prefill_per_token: MS, ..slow_engines() };
    let deployment = Deployment::start(2, 1, options).await;
    let prompt = "Describe a door that leads nowhere. ".repeat(30);
    let refuse = async {
        eventually("the prefill runs", ANSWER_TIMEOUT, || async {
            !deployment.prefill[0].standin.holds().is_empty()
        })
        .await;
        deployment.decode[0].standin.faults.lock().refusing = true;
    };
    let (answer, ()) = futures::join!(complete(&deployment, 0, &prompt, 5), refuse);
    assert_eq!((answer.status, answer.execution()), (503, "run"), "{answer:?}");
    wait_until_freed(&deployment, "the unused result is gone").await;
}
