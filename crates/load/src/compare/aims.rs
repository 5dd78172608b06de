//! The `aims` module checks the results against the acceptance criteria.

use std::fmt;

use serde::Serialize;

use super::report::{Run, SINGLE_HOST, ScenarioReport};

/// The minimum ratio of goodput to that of the best baseline, at peak and overload.
const MIN_GOODPUT_RATIO: f64 = 1.5;

/// The maximum wasted prefill at the peak, in percent of prefill work.
const MAX_PEAK_WASTE_PERCENT: f64 = 1.0;

/// The maximum ratio of wasted prefill to that of the best baseline, under faults.
const MAX_FAULT_WASTE_RATIO: f64 = 0.1;

/// The minimum share of each caller and priority, in percent of its fair share.
const MIN_FAIR_SHARE_PERCENT: f64 = 95.0;

/// The minimum goodput of several hosts, in percent of that of a single host that
/// knows the exact state of all engines.
const MIN_SINGLE_HOST_PERCENT: f64 = 97.0;

/// The scenarios in which the decode engines are fully loaded or overloaded. The first
/// is the peak.
const SATURATED_SCENARIOS: [&str; 2] = ["peak_98", "overload_150"];

/// The scenarios in which a fault occurs or information is delayed.
const FAULT_SCENARIOS: [&str; 6] = [
    "third_of_engines_lost",
    "data_centre_lost",
    "stalled_links",
    "late_gappy_events",
    "poisoned_request",
    "platform_down",
];

/// `Aim` is the result of one acceptance criterion in one scenario.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Aim {
    /// The name of the scenario.
    pub scenario: &'static str,
    /// The policy and the quantity that is compared with the bound.
    pub what: String,
    /// The value that the run gave.
    pub measured: f64,
    /// The value that must be reached or not be exceeded.
    pub bound: f64,
    /// Whether the bound is a minimum rather than a maximum.
    pub at_least: bool,
    /// Whether the measured value is within the bound.
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

/// Evaluates the criteria that apply to each scenario.
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

/// Returns whether a run is of the router's policy on several hosts.
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
