//! The `report` module runs the scenarios with all policies and reports the scores.

use std::fmt;
use std::time::Duration;

use serde::Serialize;

use super::aims::{Aim, evaluate};
use super::baselines::{self, Baseline, policy_seed};
use super::fleet::Fleet;
use super::policy::{LengthEstimate, Policy, PolicyConfig};
use super::product::Product;
use super::scenario::{DEFAULT_LENGTH, Scenario};
use super::score::Score;
use super::simulation;
use super::workload::{self, MEAN_OUTPUT_TOKENS};

/// The name of the run of the router's policy on a single host, which knows the exact
/// state of all engines.
pub const SINGLE_HOST: &str = "product_single_host";

/// The name of the run of the router's policy that reserves slots for the longest
/// possible answer, so that no slot is promised before it is certain to be free.
pub const LONGEST_ESTIMATE: &str = "product_longest";

/// The number of hosts in the reference fleet.
pub const HOSTS: usize = 6;

/// The target for the time to first token.
const TTFT_TARGET: Duration = Duration::from_millis(1_700);

/// The target for the time between tokens.
const TBT_TARGET: Duration = Duration::from_millis(47);

/// `DeploymentWeights` holds the weights of goodput and wasted prefill in one
/// deployment.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct DeploymentWeights {
    /// The name of the deployment.
    pub deployment: &'static str,
    /// The weight of goodput.
    pub goodput: f64,
    /// The weight of wasted prefill.
    pub waste: f64,
}

/// The weights of both deployments.
pub const DEPLOYMENTS: [DeploymentWeights; 2] = [
    DeploymentWeights { deployment: "khayaban", goodput: 3.0, waste: 1.0 },
    DeploymentWeights { deployment: "frostvej", goodput: 1.0, waste: 3.0 },
];

impl DeploymentWeights {
    /// Returns the weighted difference of goodput and wasted prefill, both in percent.
    pub fn value(&self, score: &Score) -> f64 {
        let value = self.goodput * score.goodput_percent - self.waste * score.wasted_percent;
        value / (self.goodput + self.waste)
    }
}

/// `Run` is the result of one policy in one scenario.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Run {
    /// The name of the policy.
    pub policy: String,
    /// The metrics of the run.
    pub score: Score,
    /// The value of the score with the weights of Khayaban.
    pub khayaban_value: f64,
    /// The value of the score with the weights of Frostvej.
    pub frostvej_value: f64,
}

/// `ScenarioReport` holds the results of all policies in one scenario.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct ScenarioReport {
    /// The name of the scenario.
    pub scenario: &'static str,
    /// The results of the router's policy with each deployment's weights, of two
    /// variants of it, and of the baselines.
    pub runs: Vec<Run>,
}

/// `Comparison` is the report of a comparison.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Comparison {
    /// The seed of requests and policies.
    pub seed: u64,
    /// The capacity of the decode engines, in requests a second.
    pub capacity_per_s: f64,
    /// The results by scenario.
    pub scenarios: Vec<ScenarioReport>,
    /// The acceptance criteria with their results.
    pub aims: Vec<Aim>,
}

/// `CompareOptions` selects the scenarios and their parameters.
#[derive(Debug, Clone)]
pub struct CompareOptions {
    /// The seed of the requests and of the random choices of policies.
    pub seed: u64,
    /// Only scenarios whose names contain this text are run.
    pub filter: String,
    /// How long each scenario lasts.
    pub length: Duration,
}

impl Default for CompareOptions {
    fn default() -> Self {
        CompareOptions { seed: 1, filter: String::new(), length: DEFAULT_LENGTH }
    }
}

/// Runs the selected scenarios with all policies.
pub fn compare(options: &CompareOptions) -> Comparison {
    let seed = options.seed;
    let capacity_per_s = Fleet::reference(HOSTS).capacity_per_s(MEAN_OUTPUT_TOKENS);
    let selected =
        Scenario::all(options.length).into_iter().filter(|s| s.name.contains(&options.filter));
    let scenarios: Vec<ScenarioReport> =
        selected.map(|scenario| run_scenario(&scenario, capacity_per_s, seed)).collect();
    let aims = evaluate(&scenarios);
    Comparison { seed, capacity_per_s, scenarios, aims }
}

fn run_scenario(scenario: &Scenario, capacity_per_s: f64, seed: u64) -> ScenarioReport {
    let requests = workload::generate(scenario, capacity_per_s, seed);
    let mut runs = Vec::new();
    let mut run_policy = |name: String, config: &PolicyConfig, policy: &mut dyn Policy| {
        let score = simulation::run(scenario, config, &requests, policy);
        let [khayaban, frostvej] = DEPLOYMENTS;
        runs.push(Run {
            policy: name,
            khayaban_value: khayaban.value(&score),
            frostvej_value: frostvej.value(&score),
            score,
        });
    };
    for weights in DEPLOYMENTS {
        let config = policy_config(HOSTS, weights, seed);
        let name = format!("product_{}", weights.deployment);
        run_policy(name, &config, &mut Product::new(&config));
    }
    let longest = PolicyConfig {
        length_estimate: LengthEstimate::Longest,
        ..policy_config(HOSTS, DEPLOYMENTS[0], seed)
    };
    run_policy(LONGEST_ESTIMATE.into(), &longest, &mut Product::new(&longest));
    let single = policy_config(1, DEPLOYMENTS[0], seed);
    run_policy(SINGLE_HOST.into(), &single, &mut Product::new(&single));
    for selection in baselines::ALL {
        let config = policy_config(HOSTS, DEPLOYMENTS[0], seed);
        let mut baseline = Baseline::new(selection, &config);
        run_policy(baseline.name().into(), &config, &mut baseline);
    }
    ScenarioReport { scenario: scenario.name, runs }
}

fn policy_config(hosts: usize, weights: DeploymentWeights, seed: u64) -> PolicyConfig {
    PolicyConfig {
        fleet: Fleet::reference(hosts),
        ttft: TTFT_TARGET,
        tbt: TBT_TARGET,
        goodput_weight: weights.goodput,
        waste_weight: weights.waste,
        length_estimate: LengthEstimate::Weighted,
        seed: policy_seed(seed),
    }
}

impl fmt::Display for Comparison {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "seed {}, capacity {:.2} requests/s", self.seed, self.capacity_per_s)?;
        for report in &self.scenarios {
            writeln!(f, "\n{}", report.scenario)?;
            writeln!(
                f,
                "  {:<20} {:>6} {:>8} {:>7} {:>7} {:>7} {:>6} {:>7} {:>9} {:>9} {:>9}",
                "policy",
                "come",
                "goodput%",
                "waste%",
                "refused",
                "failed",
                "order",
                "share%",
                "ttft p99",
                "khayaban",
                "frostvej"
            )?;
            for run in &report.runs {
                write_run(f, run)?;
            }
        }
        writeln!(f)?;
        for aim in &self.aims {
            writeln!(f, "{aim}")?;
        }
        Ok(())
    }
}

fn write_run(f: &mut fmt::Formatter<'_>, run: &Run) -> fmt::Result {
    let score = &run.score;
    writeln!(
        f,
        "  {:<20} {:>6} {:>8.2} {:>7.2} {:>7} {:>7} {:>6} {:>7.1} {:>9.0} {:>9.2} {:>9.2}",
        run.policy,
        score.arrivals,
        score.goodput_percent,
        score.wasted_percent,
        score.refused,
        score.failed,
        score.wrong_order_refusals,
        score.worst_share_percent,
        score.ttft.p99_ms,
        run.khayaban_value,
        run.frostvej_value
    )
}
