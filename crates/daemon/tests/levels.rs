//! The history of service levels in the key-value service, and the burn report: no
//! count may be lost or added twice by failed writes.

mod common;

use std::sync::Arc;
use std::time::Duration;

use aspenloft_core::clock::ManualClock;
use aspenloft_core::errors::Result;
use aspenloft_daemon::levels::history::{self, Granularity};
use aspenloft_daemon::levels::record::Latencies;
use aspenloft_daemon::levels::report;
use aspenloft_daemon::node::Node;
use aspenloft_daemon::settings::Settings;
use aspenloft_protocol::admin::burn::{AlarmState, BurnReport};
use aspenloft_protocol::platform::{HostList, Listing};
use aspenloft_standin::engine::EngineOptions;
use aspenloft_standin::kv::KvStandin;
use aspenloft_table::row::{Row, RowKind};
use aspenloft_transport::http;
use async_trait::async_trait;
use common::Deployment;
use http_types::Method;
use serde_json::json;

struct NoHosts;

#[async_trait]
impl HostList for NoHosts {
    async fn list(&self) -> Result<Listing> {
        Ok(Listing::default())
    }
}

fn node(name: &str, kv: &Arc<KvStandin>, clock: &Arc<ManualClock>) -> Arc<Node> {
    let settings = json!({
        "host": name, "data_centre": "dc-a", "callers": "127.0.0.1:1", "peers": "127.0.0.1:2",
        "admin": "127.0.0.1:3",
        "platform": {"key_value": "127.0.0.1:4", "host_list": "127.0.0.1:5"}
    });
    let settings = Settings::from_json(&settings.to_string()).expect("settings");
    Node::with_platform(settings, clock.clone(), kv.clone(), Arc::new(NoHosts)).expect("a node")
}

/// Records `count` answered requests, `late` of which miss the target for the time to
/// first token.
fn serve(node: &Node, count: u32, late: u32) {
    let row = Row::new("scribe", RowKind::Model, "scribe");
    for i in 0..count {
        let ttft = if i < late { row.ttft * 2 } else { row.ttft / 2 };
        node.levels.record_served(
            &row,
            Latencies { ttft, tbt: Some(row.tbt / 2) },
            node.clock.now(),
        );
    }
}

#[async_std::test]
async fn the_history_sums_hosts_and_counts_a_write_with_a_lost_answer_once() {
    let (kv, clock) = (Arc::new(KvStandin::default()), Arc::new(ManualClock::default()));
    let hosts = ["h0", "h1", "h2"].map(|name| node(name, &kv, &clock));
    for host in &hosts {
        serve(host, 100, 10);
        // The first write of each host succeeds, but its answer is lost.
        kv.faults.lock().lose_answers = 1;
        history::write(host).await.expect("the history is written");
    }
    for grain in [Granularity::Hour, Granularity::Day] {
        let report = report::report(&hosts[0], grain).await;
        let served: Vec<u64> = report.history.iter().map(|point| point.served).collect();
        assert_eq!(served, [300], "{grain:?}");
    }
}

#[async_std::test]
async fn counts_are_kept_during_an_outage_of_the_key_value_service() {
    let (kv, clock) = (Arc::new(KvStandin::default()), Arc::new(ManualClock::default()));
    let host = node("h0", &kv, &clock);
    serve(&host, 100, 0);
    kv.faults.lock().down = true;
    assert!(history::write(&host).await.is_err());
    kv.faults.lock().down = false;
    history::write(&host).await.expect("the history is written");
    let report = report::report(&host, Granularity::Hour).await;
    assert_eq!(report.history[0].served, 100);
}

#[async_std::test]
async fn hourly_values_are_removed_after_their_retention() {
    let (kv, clock) = (Arc::new(KvStandin::default()), Arc::new(ManualClock::default()));
    let host = node("h0", &kv, &clock);
    // Starts well after the epoch, so that earlier hours exist.
    clock.advance(Duration::from_secs(1_000 * 24 * 3_600));
    for _ in 0..300 {
        serve(&host, 1, 0);
        history::write(&host).await.expect("the history is written");
        clock.advance(Duration::from_secs(3_600));
    }
    let hours = report::report(&host, Granularity::Hour).await.history.len();
    assert_eq!(hours, 8 * 24);
}

#[async_std::test]
async fn the_report_names_the_error_budget_that_burns() {
    let (kv, clock) = (Arc::new(KvStandin::default()), Arc::new(ManualClock::default()));
    let host = node("h0", &kv, &clock);
    serve(&host, 100, 50);
    let report = report::report(&host, Granularity::Hour).await;
    assert_eq!(report.rows[0].alarm, AlarmState::Page);
    assert_eq!(report.rows[0].cause.as_deref(), Some("time to first token"));
}

#[async_std::test]
async fn a_report_sums_the_requests_of_several_processes() {
    let deployment = Deployment::start(2, 1, EngineOptions::default()).await;
    for i in 0..2 {
        let body = json!({"model": "scribe", "prompt": "Hello", "max_tokens": 3});
        let req = deployment.post(i, "/v1/completions", &body);
        let limit = Duration::from_secs(10);
        let answer = http::send(deployment.callers(i), req, limit).await.expect("an answer");
        assert!(answer.status().is_success());
    }
    let addr = deployment.admin(0);
    let req = http::request(Method::Get, addr, "/admin/burn", Vec::new()).expect("a request");
    let mut answer = http::send(addr, req, Duration::from_secs(10)).await.expect("an answer");
    let report: BurnReport = http::read_json(&mut answer, addr).await.expect("a report");
    assert_eq!(report.rows[0].row.as_ref(), "scribe");
    assert_eq!(report.rows[0].windows[0].served, 2);
    assert!(report.hosts_missing.is_empty());
}
