//! The `report` module runs all scenarios with all policies and gathers them.

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

/// The run of the product on a single all-knowing host.
pub const SINGLE_HOST: &str = "product_single_host";

/// The run of the product that promises no slot before it is free.
pub const LONGEST_ESTIMATE: &str = "product_longest";

/// The hosts of today's deployments.
pub const HOSTS: usize = 6;

/// The target for the first token.
const TTFT_TARGET: Duration = Duration::from_millis(1_700);

/// The target between tokens.
const TBT_TARGET: Duration = Duration::from_millis(47);

/// `DeploymentWeights` is how much one deployment counts goodput and wasted prefill.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct DeploymentWeights {
    /// The deployment.
    pub deployment: &'static str,
    /// What goodput counts.
    pub goodput: f64,
    /// What wasted prefill counts.
    pub waste: f64,
}

/// Both deployments.
pub const DEPLOYMENTS: [DeploymentWeights; 2] = [
    DeploymentWeights { deployment: "khayaban", goodput: 3.0, waste: 1.0 },
    DeploymentWeights { deployment: "frostvej", goodput: 1.0, waste: 3.0 },
];

impl DeploymentWeights {
    /// Weighs goodput against wasted prefill, both in percent.
    pub fn value(&self, score: &Score) -> f64 {
        let value = self.goodput * score.goodput_percent - self.waste * score.wasted_percent;
        value / (self.goodput + self.waste)
    }
}

/// `Run` is one policy in one scenario.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Run {
    /// The policy.
    pub policy: String,
    /// What came of it.
    pub score: Score,
    /// What that is worth to Khayaban.
    pub khayaban_value: f64,
    /// What that is worth to Frostvej.
    pub frostvej_value: f64,
}

/// `ScenarioReport` is all policies in one scenario.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct ScenarioReport {
    /// The scenario.
    pub scenario: &'static str,
    /// The product with each deployment's weights, two variants of it, and the
    /// baselines.
    pub runs: Vec<Run>,
}

/// `Comparison` is the whole experiment.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Comparison {
    /// The seed.
    pub seed: u64,
    /// Requests a second that the decode engines can serve.
    pub capacity_per_s: f64,
    /// The scenarios.
    pub scenarios: Vec<ScenarioReport>,
    /// The aims and how far they are reached.
    pub aims: Vec<Aim>,
}

/// `CompareOptions` says what is compared.
#[derive(Debug, Clone)]
pub struct CompareOptions {
    /// The seed of the requests and of what is random in policies.
    pub seed: u64,
    /// Only scenarios whose names contain this are run.
    pub filter: String,
    /// How long each scenario lasts.
    pub length: Duration,
}

impl Default for CompareOptions {
    fn default() -> Self {
        CompareOptions { seed: 1, filter: String::new(), length: DEFAULT_LENGTH }
    }
}

/// Runs the scenarios.
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
