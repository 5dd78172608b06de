//! Orders to engines through the administration API of real host processes.

mod common;

use std::time::Duration;

use aspenloft_core::errors::{Error, Result};
use aspenloft_core::execution::Execution;
use aspenloft_ledger::orders::TAKEOVER_WAIT;
use aspenloft_ledger::orders::event::order_lock_key;
use aspenloft_protocol::admin::{OrderRequest, OrderResponse, paths};
use aspenloft_protocol::engine::OrderKind;
use aspenloft_protocol::platform::KeyValue;
use aspenloft_standin::engine::EngineOptions;
use aspenloft_transport::http;
use common::{Deployment, default_table, eventually};

const TIMEOUT: Duration = Duration::from_secs(10);
const BACKEND: &str = "decode-0";

async fn order(deployment: &Deployment, host: u16, model: &str) -> Result<OrderResponse> {
    let req = OrderRequest { backend: BACKEND.into(), kind: OrderKind::Load(model.into()) };
    http::post_json(deployment.admin(host), paths::ORDERS, &req, TIMEOUT).await
}

/// Issues an order that its engine executes but answers too late.
async fn unanswered_order(deployment: &Deployment) -> Error {
    let engine = &deployment.decode[0].standin;
    engine.faults.lock().order_delay = Duration::from_millis(1_500);
    let e = order(deployment, 0, "silent").await.expect_err("no answer in time");
    engine.faults.lock().order_delay = Duration::ZERO;
    let ran = || async { engine.records().orders.len() == 1 };
    eventually("the unanswered order runs", TIMEOUT, ran).await;
    e
}

#[async_std::test]
async fn orders_of_two_hosts_run_in_the_order_of_their_fencing_numbers() {
    let deployment = Deployment::start(2, 1, EngineOptions::default()).await;
    let mut fences = Vec::new();
    for (host, model) in [(0, "a"), (1, "b"), (0, "c")] {
        fences.push(order(&deployment, host, model).await.expect("an order").fence);
    }
    assert!(fences.is_sorted_by(|a, b| a < b), "{fences:?}");
    let records = deployment.decode[0].standin.records().orders;
    let ran: Vec<_> = records.iter().filter(|r| r.obeyed).map(|r| r.order.fence).collect();
    assert_eq!(ran, fences);
    // Each order released the order lock.
    let lock = deployment.kv.get(&order_lock_key(BACKEND)).await.expect("up").expect("a lock");
    assert!(lock.value.contains("null"), "{}", lock.value);
}

#[async_std::test]
async fn an_engine_that_checks_fencing_needs_no_wait_after_an_unanswered_order() {
    let deployment = Deployment::start(2, 1, EngineOptions::default()).await;
    assert_eq!(unanswered_order(&deployment).await.execution, Execution::Unknown);
    order(&deployment, 1, "next").await.expect("an order");
}

#[async_std::test]
async fn without_fencing_checks_the_next_holder_waits_after_an_unanswered_order() {
    let options = EngineOptions { check_fencing: false, ..EngineOptions::default() };
    let deployment = Deployment::start(2, 1, options).await;
    let mut table = default_table();
    table.version = 2;
    table.rows.iter_mut().for_each(|row| row.fencing_checked = false);
    deployment.put_table(&table).await;
    let in_force = || async {
        deployment.status(0).await.table_version == 2
            && deployment.status(1).await.table_version == 2
    };
    eventually("the table is in force", TIMEOUT, in_force).await;
    assert_eq!(unanswered_order(&deployment).await.execution, Execution::Unknown);

    let e = order(&deployment, 1, "next").await.expect_err("the next holder must wait");
    assert_eq!(e.execution, Execution::NotRun);
    let wait = e.retry_after.expect("a retry delay");
    assert!(wait > TAKEOVER_WAIT / 2 && wait <= TAKEOVER_WAIT, "{wait:?}");
    let taken = || async { order(&deployment, 1, "next").await.is_ok() };
    eventually("the next holder has waited", TAKEOVER_WAIT + Duration::from_secs(5), taken).await;
    let records = deployment.decode[0].standin.records().orders;
    assert!(records.is_sorted_by(|a, b| a.order.fence < b.order.fence), "{records:?}");
}

#[async_std::test]
async fn with_the_key_value_service_down_an_order_is_refused_at_once() {
    let deployment = Deployment::start(1, 1, EngineOptions::default()).await;
    deployment.kv.faults.lock().down = true;
    let e = order(&deployment, 0, "a").await.expect_err("no order without the service");
    assert_eq!(e.execution, Execution::NotRun);
    assert!(e.retry_after.is_some());
    assert!(deployment.decode[0].standin.records().orders.is_empty());
}
