//! Tests of the table with hosts as real processes: edits through the administration
//! API of one host must take effect on all, a host that restarts while the key-value
//! service is down must get the table from its peers, and a host without a table must
//! refuse requests.

mod common;

use std::time::Duration;

use aspenloft_protocol::admin::paths;
use aspenloft_standin::engine::EngineOptions;
use aspenloft_table::cell::{Cell, CellPlace, Sheet};
use aspenloft_table::edit::{Change, Edit, Refusal};
use aspenloft_table::response::EditResponse;
use aspenloft_transport::http;
use common::{Deployment, eventually};
use http_types::Method;
use serde_json::json;

/// The longest time for an edit to be in force on all hosts; see docs/PROMISES.md.
const IN_FORCE_WITHIN: Duration = Duration::from_secs(8);

const TIMEOUT: Duration = Duration::from_secs(10);

fn set_priority(id: &str, expect: u64, value: u64) -> Edit {
    let place = CellPlace::new(Sheet::Rows, "scribe", "priority");
    let change = Change::Set { place, expect: Cell::Whole(expect), value: Cell::Whole(value) };
    Edit { id: id.into(), who: "amna".into(), changes: vec![change] }
}

async fn edit(deployment: &Deployment, i: u16, edit: &Edit) -> EditResponse {
    let addr = deployment.admin(i);
    let req = http::post(addr, paths::TABLE_EDIT, edit).expect("a request");
    let mut answer = http::send(addr, req, TIMEOUT).await.expect("an answer");
    answer.body_json().await.expect("an answer to an edit")
}

async fn await_version(deployment: &Deployment, hosts: u16, version: u64) {
    eventually("the version is in force everywhere", IN_FORCE_WITHIN, || async {
        for i in 0..hosts {
            if deployment.status(i).await.table_version < version {
                return false;
            }
        }
        true
    })
    .await;
}

#[async_std::test]
async fn an_edit_through_one_host_is_in_force_on_all() {
    let deployment = Deployment::start(5, 1, EngineOptions::default()).await;
    let first = edit(&deployment, 0, &set_priority("a", 5, 6)).await;
    assert_eq!(first, EditResponse::Accepted { version: 2 });
    await_version(&deployment, 5, 2).await;

    // The second edit expects the old value, as if its operator had read it before the
    // first edit.
    let second = edit(&deployment, 3, &set_priority("b", 5, 7)).await;
    let EditResponse::Refused(Refusal::Conflict { version: 2, cells }) = second else {
        panic!("{second:?}")
    };
    assert_eq!((cells.len(), cells[0].edited_by.as_deref()), (1, Some("amna")));

    // The answer to the write is lost, but the edit must take effect exactly once.
    deployment.kv.faults.lock().lose_answers = 1;
    let third = edit(&deployment, 1, &set_priority("c", 6, 8)).await;
    assert_eq!(third, EditResponse::Accepted { version: 3 });
    assert_eq!(edit(&deployment, 2, &set_priority("c", 6, 8)).await, third);
    await_version(&deployment, 5, 3).await;
    let peers = || async {
        let peers = deployment.status(4).await.peers;
        peers.len() == 4 && peers.iter().all(|peer| peer.live && peer.table_version == 3)
    };
    eventually("host 4 sees version 3 on all its peers", IN_FORCE_WITHIN, peers).await;
}

#[async_std::test]
async fn a_host_restarted_during_an_outage_fetches_the_table_from_its_peers_and_serves() {
    let mut deployment = Deployment::start(3, 1, EngineOptions::default()).await;
    let accepted = edit(&deployment, 0, &set_priority("a", 5, 6)).await;
    assert_eq!(accepted, EditResponse::Accepted { version: 2 });
    deployment.kv.faults.lock().down = true;
    deployment.kill_host(2);
    deployment.start_host(2);
    deployment.await_ready(2).await;
    assert_eq!(deployment.status(2).await.table_version, 2);
    let body = json!({"model": "scribe", "prompt": "Good day", "max_tokens": 3});
    let req = deployment.post(2, "/v1/completions", &body);
    let answer = http::send(deployment.callers(2), req, TIMEOUT).await.expect("an answer");
    assert!(answer.status().is_success(), "{}", answer.status());
    // An edit during the outage must fail and must not take effect later.
    let refused = edit(&deployment, 0, &set_priority("b", 6, 7)).await;
    assert!(matches!(refused, EditResponse::Failed(_)), "{refused:?}");
    deployment.kv.faults.lock().down = false;
    let again = edit(&deployment, 0, &set_priority("c", 6, 7)).await;
    assert_eq!(again, EditResponse::Accepted { version: 3 });
}

#[async_std::test]
async fn a_host_without_a_table_serves_nothing() {
    let mut deployment = Deployment::start(1, 1, EngineOptions::default()).await;
    deployment.kv.faults.lock().down = true;
    deployment.kill_host(0);
    deployment.start_host(0);
    let up = || async {
        let addr = deployment.admin(0);
        let req = http::request(Method::Get, addr, "/healthz", Vec::new()).expect("a request");
        http::send(addr, req, TIMEOUT).await.is_ok()
    };
    eventually("the host is up", TIMEOUT, up).await;
    let body = json!({"model": "scribe", "prompt": "Good day", "max_tokens": 3});
    let req = deployment.post(0, "/v1/completions", &body);
    let mut answer = http::send(deployment.callers(0), req, TIMEOUT).await.expect("an answer");
    let text = answer.body_string().await.expect("a body");
    assert!(answer.status().is_server_error(), "{}: {text}", answer.status());
    assert!(text.contains("not_run"), "{text}");
    assert_eq!(deployment.status(0).await.table_version, 0);
    // The host must become ready once the service is back.
    deployment.kv.faults.lock().down = false;
    deployment.await_ready(0).await;
}
