//! The table's limits across several hosts, which together must not exceed a rate,
//! even when a partition separates them.

mod common;

use std::time::{Duration, Instant};

use aspenloft_daemon::limits::state::{LimitState, Visibility};
use aspenloft_protocol::peer::control::LimitKey;
use aspenloft_standin::engine::EngineOptions;
use aspenloft_transport::http;
use common::{Deployment, default_table};
use futures::future::join_all;
use http_types::StatusCode;
use serde_json::json;

const RATE: u32 = 20;
const HOSTS: u16 = 3;
const TIMEOUT: Duration = Duration::from_secs(10);

#[test]
fn partitioned_groups_together_issue_the_limit_and_no_more() {
    const HOSTS: usize = 7;
    let key = LimitKey { row: "scribe".into(), caller: "tester".into() };
    let start = Instant::now();
    for groups in [vec![7], vec![4, 3], vec![5, 1, 1], vec![1; HOSTS]] {
        let mut states: Vec<LimitState> = Vec::new();
        for live in &groups {
            let mut state = LimitState::default();
            state.set_visibility(Visibility { known: HOSTS, not_live: HOSTS - live });
            states.push(state);
        }
        let mut passed = 0;
        for ms in (0..10_000).step_by(10) {
            let now = start + Duration::from_millis(ms);
            for state in &mut states {
                passed += state.home_draw(&key, f64::from(RATE), 100, now).permits;
            }
        }
        let limit = RATE * 10;
        assert!(passed <= limit, "{groups:?}: {passed} of {limit}");
        assert!(passed >= limit * 9 / 10, "{groups:?}: only {passed} of {limit}");
    }
}

#[async_std::test]
async fn a_rate_holds_across_all_hosts_and_refusals_carry_retry_after() {
    let deployment = Deployment::start(HOSTS, 1, EngineOptions::default()).await;
    let mut table = default_table();
    table.version = 2;
    table.rows[2].rate_per_s = RATE;
    deployment.put_table(&table).await;
    for i in 0..HOSTS {
        let in_force = || async { deployment.status(i).await.table_version == 2 };
        common::eventually("the table is in force", Duration::from_secs(8), in_force).await;
    }

    let started = Instant::now();
    let mut passed = 0;
    let mut refused = 0;
    while started.elapsed() < Duration::from_secs(2) {
        let calls = (0..HOSTS).map(|i| {
            let req = deployment.post(i, "/stock", &json!({}));
            http::send(deployment.callers(i), req, TIMEOUT)
        });
        for answer in join_all(calls.collect::<Vec<_>>()).await {
            let answer = answer.expect("an answer");
            match answer.status() {
                StatusCode::Ok => passed += 1,
                StatusCode::TooManyRequests => {
                    refused += 1;
                    assert!(answer.header("retry-after").is_some());
                }
                other => panic!("unexpected {other}"),
            }
        }
    }
    let expected = f64::from(RATE) * started.elapsed().as_secs_f64();
    assert!(f64::from(passed) <= expected + 1.0, "{passed} passed of {expected}");
    assert!(passed > RATE / 2, "only {passed} passed");
    assert!(refused > 0);
}
