//! The `aims` module holds the results against what was promised.

use std::fmt;

use serde::Serialize;

use super::report::{Run, SINGLE_HOST, ScenarioReport};

/// The least goodput against the best baseline at peak and overload.
const MIN_GOODPUT_RATIO: f64 = 1.5;

/// The most wasted prefill at the peak, in percent of prefill work.
const MAX_PEAK_WASTE_PERCENT: f64 = 1.0;

/// The most wasted prefill under faults against the best baseline.
const MAX_FAULT_WASTE_RATIO: f64 = 0.1;

/// The least share of a caller, in percent of its fair share.
const MIN_FAIR_SHARE_PERCENT: f64 = 95.0;

/// The least goodput of several hosts, in percent of a single all-knowing one.
const MIN_SINGLE_HOST_PERCENT: f64 = 97.0;

/// The scenarios in which the system is full.
const SATURATED_SCENARIOS: [&str; 2] = ["peak_98", "overload_150"];

/// The scenarios with faults.
const FAULT_SCENARIOS: [&str; 6] = [
    "third_of_engines_lost",
    "data_centre_lost",
    "stalled_links",
    "late_gappy_events",
    "poisoned_request",
    "platform_down",
];

/// `Aim` is one aim in one scenario.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Aim {
    /// The scenario.
    pub scenario: &'static str,
    /// What is held against the bound.
    pub what: String,
    /// The measured value.
    pub measured: f64,
    /// The bound.
    pub bound: f64,
    /// Whether the bound is the least rather than the most.
    pub at_least: bool,
    /// Whether the aim is reached.
    pub reached: bool,
}

impl fmt::Display for Aim {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let verdict = if self.reached { "reached" } else { "MISSED" };
        let side = if self.at_least { ">=" } else { "<=" };
        write!(
            f,
            "{verdict:<8} {}: {} {:.3} (aim {side} {:.3})",
            self.scenario, self.what, self.measured, self.bound
        )
    }
}

fn at_least(scenario: &'static str, what: impl Into<String>, measured: f64, bound: f64) -> Aim {
    let reached = measured >= bound;
    Aim { scenario, what: what.into(), measured, bound, at_least: true, reached }
}

fn at_most(scenario: &'static str, what: impl Into<String>, measured: f64, bound: f64) -> Aim {
    let reached = measured <= bound;
    Aim { scenario, what: what.into(), measured, bound, at_least: false, reached }
}

/// Holds every scenario against the aims that apply to it.
pub fn evaluate(scenarios: &[ScenarioReport]) -> Vec<Aim> {
    scenarios.iter().flat_map(evaluate_scenario).collect()
}

fn evaluate_scenario(report: &ScenarioReport) -> Vec<Aim> {
    let scenario = report.scenario;
    let mut aims = Vec::new();
    let products = report.runs.iter().filter(|run| is_product(run));
    for run in products {
        let (name, score) = (&run.policy, &run.score);
        if SATURATED_SCENARIOS.contains(&scenario) {
            let ratio = score.goodput_percent / best_goodput(report).max(f64::MIN_POSITIVE);
            let what = format!("{name} goodput against the best baseline");
            aims.push(at_least(scenario, what, ratio, MIN_GOODPUT_RATIO));
            let share = score.worst_share_percent;
            let what = format!("{name} least share in percent of the fair one");
            aims.push(at_least(scenario, what, share, MIN_FAIR_SHARE_PERCENT));
        }
        if scenario == SATURATED_SCENARIOS[0] {
            let what = format!("{name} wasted prefill in percent");
            aims.push(at_most(scenario, what, score.wasted_percent, MAX_PEAK_WASTE_PERCENT));
        }
        if FAULT_SCENARIOS.contains(&scenario) {
            let bound = MAX_FAULT_WASTE_RATIO * least_waste(report);
            let what = format!("{name} wasted prefill in percent");
            aims.push(at_most(scenario, what, score.wasted_percent, bound));
        }
    }
    aims.extend(single_host_aim(report));
    aims
}

fn single_host_aim(report: &ScenarioReport) -> Option<Aim> {
    let goodput = |name: &str| {
        let run = report.runs.iter().find(|run| run.policy == name)?;
        Some(run.score.goodput_percent)
    };
    let (several, single) = (goodput("product_khayaban")?, goodput(SINGLE_HOST)?);
    let percent = 100.0 * several / single.max(f64::MIN_POSITIVE);
    let what = "goodput in percent of a single all-knowing host";
    Some(at_least(report.scenario, what, percent, MIN_SINGLE_HOST_PERCENT))
}

/// Tells whether a run is the product's on all hosts.
fn is_product(run: &Run) -> bool {
    run.policy.starts_with("product_") && run.policy != SINGLE_HOST
}

fn baselines(report: &ScenarioReport) -> impl Iterator<Item = &Run> {
    report.runs.iter().filter(|run| !run.policy.starts_with("product_"))
}

fn best_goodput(report: &ScenarioReport) -> f64 {
    baselines(report).map(|run| run.score.goodput_percent).fold(0.0, f64::max)
}

fn least_waste(report: &ScenarioReport) -> f64 {
    baselines(report).map(|run| run.score.wasted_percent).fold(f64::INFINITY, f64::min)
}
