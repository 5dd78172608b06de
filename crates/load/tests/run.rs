//! Checks the bounds of the options of `aspenloft-load run`, the parsers of `/proc`
//! files, and that every request is counted once.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use aspenloft_load::run::driver;
use aspenloft_load::run::options::{EnginePair, RunOptions};
use aspenloft_load::run::processes::{parse_cpu, parse_resident_kib, parse_schedstat};
use aspenloft_standin::engine::{EngineHandler, EngineOptions, EngineStandin};
use aspenloft_transport::server;
use async_std::net::TcpListener;
use async_std::task;

fn parse_addr(text: &str) -> SocketAddr {
    text.parse().expect("an address")
}

#[test]
fn reports_every_option_that_is_out_of_bounds() {
    let options = RunOptions {
        routers: vec![
            parse_addr("192.0.2.1:80"),
            parse_addr("127.0.0.1:80"),
            parse_addr("[2001:db8::1]:80"),
        ],
        rate_per_s: f64::NAN,
        duration: Duration::from_secs(601),
        count: 0,
        max_tokens: 0,
        ..RunOptions::default()
    };
    let findings = options.check();
    let places: Vec<_> = findings.0.iter().map(|finding| finding.place.as_str()).collect();
    let invalid = ["192.0.2.1:80", "[2001:db8::1]:80", "--rate", "--duration-s", "--count"];
    assert_eq!(places, [invalid.as_slice(), &["--max-tokens"]].concat());
    assert!(!RunOptions::default().check().is_empty(), "no target");
}

#[test]
fn parses_cpu_time_after_a_command_with_spaces_and_brackets() {
    let stat = "7 (a) b (c) S 1 7 7 0 -1 4194304 10 0 0 0 150 50 0 0 20 0 1 0 100 1 1";
    assert_eq!(parse_cpu(stat), Some(Duration::from_secs(2)));
    assert_eq!(parse_resident_kib("Name:\tx\nVmRSS:\t  2048 kB\n"), Some(2_048));
    assert_eq!(parse_cpu("7 (a"), None);
    assert_eq!(parse_schedstat("1500 20 3\n"), Some(Duration::from_nanos(1_500)));
}

async fn start_engine() -> (Arc<EngineStandin>, SocketAddr) {
    let step = Duration::from_millis(1);
    let standin = EngineStandin::new(EngineOptions { step, ..EngineOptions::default() });
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let addr = listener.local_addr().expect("an address");
    task::spawn(server::serve(listener, Arc::new(EngineHandler(standin.clone()))));
    (standin, addr)
}

#[async_std::test]
async fn counts_every_request_once() {
    let ((prefill_engine, prefill), (decode_engine, decode)) =
        (start_engine().await, start_engine().await);
    let options = RunOptions {
        direct: Some(EnginePair { prefill, decode }),
        rate_per_s: 200.0,
        count: 20,
        max_tokens: 5,
        ..RunOptions::default()
    };
    let report = driver::run(options.clone()).await.expect("a run");
    let direct = report.direct.expect("the target");
    assert_eq!((direct.sent, direct.whole, direct.failed), (20, 20, 0));
    assert_eq!((direct.tokens, direct.between_tokens.count), (100, 80));
    assert_eq!(prefill_engine.records().prefilled.len(), 20);
    assert!(prefill_engine.holds().is_empty());

    decode_engine.faults.lock().refusing = true;
    let report = driver::run(options).await.expect("a run");
    assert_eq!(report.failed(), 20);
}
