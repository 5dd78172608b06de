//! Checks that the comparison is deterministic for a seed, counts every request
//! exactly once, and limits the crashes that a poisoned request causes.

use std::time::Duration;

use aspenloft_load::compare::report::{CompareOptions, Comparison, compare};

/// The seed of these tests.
const SEED: u64 = 7;

fn run(seed: u64, scenario: &str) -> Comparison {
    let length = Duration::from_secs(12);
    compare(&CompareOptions { seed, filter: scenario.into(), length })
}

#[test]
fn two_runs_with_one_seed_give_the_same_json() {
    let json = |seed| serde_json::to_string(&run(seed, "peak")).expect("JSON");
    assert_eq!(json(SEED), json(SEED));
    assert_ne!(json(SEED), json(SEED + 1));
}

#[test]
fn every_arrival_is_counted_once_as_served_refused_or_failed() {
    for scenario in ["overload", "third_of_engines", "data_centre", "stalled"] {
        for report in run(SEED, scenario).scenarios {
            for run in &report.runs {
                let score = &run.score;
                let place = format!("{} {}", report.scenario, run.policy);
                let ended = score.served + score.refused + score.failed;
                assert_eq!(score.arrivals, ended, "{place}");
                assert!(score.good <= score.served, "{place}");
                assert!(score.wasted_tokens <= score.prefill_tokens, "{place}");
                assert_eq!(score.ttft.count, score.served, "{place}");
                assert!(score.arrivals > 150, "{place}");
            }
        }
    }
}

#[test]
fn a_poisoned_request_crashes_at_most_two_engines() {
    for report in run(SEED, "poisoned").scenarios {
        for run in report.runs.iter().filter(|run| run.policy.starts_with("product_")) {
            assert!(run.score.poisoned_deaths <= 2, "{}", run.policy);
        }
    }
}

#[test]
fn every_policy_reaches_95_percent_goodput_under_steady_load() {
    for report in run(SEED, "steady").scenarios {
        for run in &report.runs {
            assert!(run.score.goodput_percent > 95.0, "{}: {:?}", run.policy, run.score);
        }
    }
}
