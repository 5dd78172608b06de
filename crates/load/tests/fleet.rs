//! Replays load patterns in the simulated fleet, and checks that each mechanism changes what
//! it is for.

use std::time::Duration;

use aspenloft_load::fleet::pattern::{CrashPattern, Sizes};
use aspenloft_load::fleet::{FleetReport, LoadPattern, run};
use aspenloft_policy::mechanisms::Mechanisms;

const SEEDS: std::ops::RangeInclusive<u64> = 1..=3;

fn pattern(name: &str) -> LoadPattern {
    let path = format!("{}/patterns/{name}.json", env!("CARGO_MANIFEST_DIR"));
    LoadPattern::from_json(&std::fs::read_to_string(path).expect("a file")).expect("a pattern")
}

fn runs(pattern: &LoadPattern, without: &str) -> Vec<FleetReport> {
    let mechanisms = Mechanisms::without(&[without.to_string()]).expect("a mechanism");
    SEEDS.map(|seed| run(pattern, mechanisms, seed)).collect()
}

fn all_runs(pattern: &LoadPattern) -> Vec<FleetReport> {
    SEEDS.map(|seed| run(pattern, Mechanisms::default(), seed)).collect()
}

fn sum(reports: &[FleetReport], of: impl Fn(&FleetReport) -> usize) -> usize {
    reports.iter().map(of).sum()
}

#[test]
fn one_seed_gives_the_same_report() {
    let pattern = LoadPattern { length: Duration::from_secs(4), ..pattern("burst") };
    let reports = [1, 1, 2].map(|seed| run(&pattern, Mechanisms::default(), seed));
    assert_eq!(reports[0], reports[1]);
    assert_ne!(reports[0].all, reports[2].all);
}

/// Late requests were placed while others elsewhere waited that could still be in time.
#[test]
fn late_requests_pass_over_few_that_are_on_time() {
    let burst = pattern("burst");
    let (with, without) = (all_runs(&burst), runs(&burst, "late_yields"));
    assert_eq!(sum(&with, |r| r.passed_over), 0);
    assert!(sum(&without, |r| r.passed_over) > 10, "the load shows the fault");
    assert!(sum(&with, |r| r.all.late_first) <= sum(&without, |r| r.all.late_first));
}

/// Hosts that queue requests took an engine's room all at once, and engines refused most.
#[test]
fn turns_of_hosts_save_placements_that_engines_refuse() {
    let many_hosts = pattern("many-hosts");
    let (with, without) = (all_runs(&many_hosts), runs(&many_hosts, "turns"));
    let refused = |reports: &[FleetReport]| sum(reports, |r| r.refused_by_engines);
    assert!(refused(&with) * 3 < refused(&without) * 2, "{} {}", refused(&with), refused(&without));
}

#[test]
fn every_request_ends_once_under_odd_loads() {
    let length = Duration::from_secs(3);
    let base = LoadPattern { length, ..LoadPattern::default() };
    let engines = |decode, prefill| {
        let mut engines = base.engines.clone();
        (engines.decode, engines.prefill) = (decode, prefill);
        engines
    };
    let crash = CrashPattern { at: Duration::from_secs(1), engines: 14, down: length };
    let odd = [
        LoadPattern { engines: engines(1, 1), ..base.clone() },
        LoadPattern { engines: engines(2, 0), ..base.clone() },
        LoadPattern { hosts: 1, data_centres: 1, ..base.clone() },
        LoadPattern { host_weights: vec![1.0, 0.0], ..base.clone() },
        LoadPattern { target: Duration::from_millis(1), ..base.clone() },
        LoadPattern { target: Duration::from_secs(3_600), ..base.clone() },
        LoadPattern { crashes: vec![crash], ..base.clone() },
        LoadPattern { rate_per_s: 400.0, ..base.clone() },
    ];
    for pattern in odd {
        let report = run(&pattern, Mechanisms::default(), 1);
        let c = &report.all;
        let ended = c.on_time + c.late_first + c.paused + c.packet_lost;
        let ended = ended + c.rejected_on_arrival + c.rejected_later + c.failed;
        assert_eq!(c.asked, ended, "{pattern:?}");
        assert!(c.asked > 0 && report.peak_memory_share <= 1.01, "{pattern:?} {report}");
    }
}

#[test]
fn prompts_larger_than_an_engine_are_rejected_on_arrival() {
    let prompt_tokens = Sizes { mean: 50_000.0, spread: 0.0, max: 60_000 };
    let length = Duration::from_secs(2);
    let pattern = LoadPattern { prompt_tokens, length, ..LoadPattern::default() };
    let report = run(&pattern, Mechanisms::default(), 1);
    assert_eq!(report.all.rejected_on_arrival, report.all.asked);
    assert_eq!(report.prompt_tokens, 0);
}

#[test]
fn bad_patterns_are_rejected_with_all_findings() {
    let findings = |json: &str| LoadPattern::from_json(json).expect_err(json).to_string();
    let all = findings(r#"{"hosts": 0, "rate_per_s": -1.0, "packet_loss": 2.0}"#);
    for field in ["hosts", "rate_per_s", "packet_loss"] {
        assert!(all.contains(field), "{all}");
    }
    assert!(findings(r#"{"host": 3}"#).contains("unknown field `host`"));
    assert!(findings("").contains("EOF"));
    assert_eq!(Mechanisms::without(&["luck".into()]), Err("luck".into()));
}
