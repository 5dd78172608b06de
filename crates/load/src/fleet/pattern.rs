//! The `pattern` module defines a load pattern: a deployment, its requests and its
//! disturbances.

use std::time::Duration;

use aspenloft_core::prelude::Findings;
use serde::Deserialize;
use serde_with::{DurationMilliSeconds, serde_as};

/// The most hosts and engines of a pattern.
const MAX_SIZE: usize = 500;

/// The longest time for which requests arrive.
const MAX_LENGTH: Duration = Duration::from_secs(600);

/// The highest rate of requests, in requests a second.
const MAX_RATE_PER_S: f64 = 2_000.0;

/// `LoadPattern` is the deployment and the load of one run. Fields that a file leaves out
/// have the values of a small deployment without disturbances.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LoadPattern {
    /// The name, for the report.
    pub name: String,
    /// The number of hosts, spread over the data centres in turn.
    pub hosts: usize,
    /// The number of data centres.
    pub data_centres: usize,
    /// The share of callers of each host relative to the first; the last value holds for all
    /// further hosts.
    pub host_weights: Vec<f64>,
    /// The engines.
    pub engines: EnginePattern,
    /// How hosts learn of each other's load.
    pub digests: DigestPattern,
    /// Requests a second over all hosts.
    pub rate_per_s: f64,
    /// The times with another rate.
    pub bursts: Vec<Burst>,
    /// How long requests arrive.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "length_ms")]
    pub length: Duration,
    /// The lengths of prompts, in tokens.
    pub prompt_tokens: Sizes,
    /// The lengths of answers, in tokens.
    pub answer_tokens: Sizes,
    /// The time until the first token is due.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "target_ms")]
    pub target: Duration,
    /// The time until callers give up.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "deadline_ms")]
    pub deadline: Duration,
    /// How often a caller comes back after a rejection.
    pub retries: u32,
    /// The engines that crash.
    pub crashes: Vec<CrashPattern>,
    /// The probability that a packet is lost, on each of the two legs of a stream.
    pub packet_loss: f64,
}

/// `EnginePattern` describes the engines of a pattern.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EnginePattern {
    /// The number of prefill engines.
    pub prefill: usize,
    /// The number of decode engines.
    pub decode: usize,
    /// Requests that a decode engine runs at the same time.
    pub slots: usize,
    /// Tokens that the memory of a decode engine holds.
    pub memory_tokens: u64,
    /// Tokens of one block of that memory.
    pub block_tokens: u64,
    /// The time of a decode step, in microseconds.
    pub step_us: u64,
    /// What each running request adds to a step, in microseconds.
    pub step_us_per_run: u64,
    /// Prompt tokens that a prefill engine reads in a millisecond.
    pub prefill_tokens_per_ms: f64,
    /// The time in which a decode engine fetches a prompt's KV cache and makes its first token.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "start_ms")]
    pub start: Duration,
    /// How long a prefill engine keeps a KV cache.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "cache_life_ms")]
    pub cache_life: Duration,
    /// Tokens of one event of a stream.
    pub event_tokens: u64,
}

/// `DigestPattern` describes how hosts learn of each other's load.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct DigestPattern {
    /// The time between two digests to the hosts of the own data centre.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "interval_ms")]
    pub interval: Duration,
    /// The time between two digests to hosts elsewhere.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "remote_interval_ms")]
    pub remote_interval: Duration,
    /// The time that a digest is on its way.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "delay_ms")]
    pub delay: Duration,
}

/// `Burst` is a time with another rate of requests.
#[serde_as]
#[derive(Debug, Clone, Copy, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Burst {
    /// When it begins.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "from_ms")]
    pub from: Duration,
    /// When it ends.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "to_ms")]
    pub to: Duration,
    /// The factor of the rate.
    pub factor: f64,
}

/// `Sizes` is a log-normal distribution of lengths in tokens.
#[derive(Debug, Clone, Copy, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Sizes {
    /// The mean.
    pub mean: f64,
    /// The standard deviation of the logarithm.
    pub spread: f64,
    /// The longest.
    pub max: u64,
}

/// `CrashPattern` is the crash of some decode engines, which come back empty.
#[serde_as]
#[derive(Debug, Clone, Copy, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CrashPattern {
    /// When they crash.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "at_ms")]
    pub at: Duration,
    /// How many of them, the first ones.
    pub engines: usize,
    /// How long they are down.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "down_ms")]
    pub down: Duration,
}

impl Default for LoadPattern {
    fn default() -> Self {
        LoadPattern {
            name: "steady".into(),
            hosts: 9,
            data_centres: 3,
            host_weights: vec![1.0],
            engines: EnginePattern::default(),
            digests: DigestPattern::default(),
            rate_per_s: 16.0,
            bursts: Vec::new(),
            length: Duration::from_secs(20),
            prompt_tokens: Sizes { mean: 3_200.0, spread: 0.5, max: 6_900 },
            answer_tokens: Sizes { mean: 900.0, spread: 0.7, max: 2_210 },
            target: Duration::from_secs(1),
            deadline: Duration::from_secs(14),
            retries: 1,
            crashes: Vec::new(),
            packet_loss: 0.0,
        }
    }
}

impl Default for EnginePattern {
    fn default() -> Self {
        EnginePattern {
            prefill: 4,
            decode: 14,
            slots: 12,
            memory_tokens: 34_035,
            block_tokens: 16,
            step_us: 2_600,
            step_us_per_run: 120,
            prefill_tokens_per_ms: 33.3,
            start: Duration::from_millis(14),
            cache_life: Duration::from_millis(500),
            event_tokens: 13,
        }
    }
}

impl Default for DigestPattern {
    fn default() -> Self {
        DigestPattern {
            interval: Duration::from_millis(11),
            remote_interval: Duration::from_millis(60),
            delay: Duration::from_millis(2),
        }
    }
}

impl LoadPattern {
    /// Parses a pattern from JSON; the error lists all fields that are out of bounds.
    pub fn from_json(text: &str) -> Result<LoadPattern, Findings> {
        let mut findings = Findings::default();
        let pattern: LoadPattern = match serde_json::from_str(text) {
            Ok(pattern) => pattern,
            Err(e) => {
                findings.add("pattern", e.to_string());
                return Err(findings);
            }
        };
        pattern.check().into_result().map(|()| pattern)
    }

    /// Returns what is out of bounds.
    pub fn check(&self) -> Findings {
        let mut findings = Findings::default();
        let mut require = |met: bool, field: &str, message: &str| {
            if !met {
                findings.add(field, message);
            }
        };
        let sizes = 1..=MAX_SIZE;
        require(sizes.contains(&self.hosts), "hosts", "must be from 1 to 500");
        let centres = 1..=self.hosts.max(1);
        require(centres.contains(&self.data_centres), "data_centres", "must be from 1 to hosts");
        let weights = &self.host_weights;
        let sound = |w: &f64| w.is_finite() && *w >= 0.0;
        let weighted = weights.iter().all(sound) && weights.iter().any(|w| *w > 0.0);
        require(weighted, "host_weights", "must be positive or zero, and not all zero");
        let engines = &self.engines;
        require(engines.prefill <= MAX_SIZE, "engines.prefill", "must be at most 500");
        require(sizes.contains(&engines.decode), "engines.decode", "must be from 1 to 500");
        require(engines.slots > 0, "engines.slots", "must be at least 1");
        require(engines.memory_tokens > 0, "engines.memory_tokens", "must be at least 1");
        require(engines.block_tokens > 0, "engines.block_tokens", "must be at least 1");
        require(engines.event_tokens > 0, "engines.event_tokens", "must be at least 1");
        require(engines.step_us > 0, "engines.step_us", "must be at least 1");
        let speed = engines.prefill_tokens_per_ms;
        require(
            speed.is_finite() && speed > 0.0,
            "engines.prefill_tokens_per_ms",
            "must be positive",
        );
        let digests = &self.digests;
        require(!digests.interval.is_zero(), "digests.interval_ms", "must be at least 1");
        let remote = digests.remote_interval;
        require(!remote.is_zero(), "digests.remote_interval_ms", "must be at least 1");
        let rate = self.rate_per_s;
        let rated = rate.is_finite() && rate > 0.0 && rate <= MAX_RATE_PER_S;
        require(rated, "rate_per_s", "must be positive and at most 2000");
        let factors = self.bursts.iter().all(|b| (0.0..=100.0).contains(&b.factor));
        require(factors, "bursts.factor", "must be from 0 to 100");
        let lasting = !self.length.is_zero() && self.length <= MAX_LENGTH;
        require(lasting, "length_ms", "must be from 1 to 600000");
        require(!self.target.is_zero(), "target_ms", "must be at least 1");
        require(!self.deadline.is_zero(), "deadline_ms", "must be at least 1");
        for (field, sizes) in
            [("prompt_tokens", self.prompt_tokens), ("answer_tokens", self.answer_tokens)]
        {
            let valid = sizes.mean >= 1.0 && (0.0..=3.0).contains(&sizes.spread) && sizes.max > 0;
            require(valid, field, "needs a mean of at least 1, a spread from 0 to 3 and a maximum");
        }
        require((0.0..1.0).contains(&self.packet_loss), "packet_loss", "must be from 0 to below 1");
        findings
    }

    /// Returns the rate of requests at `now`.
    pub fn rate_at(&self, now: Duration) -> f64 {
        let active = self.bursts.iter().filter(|b| (b.from..b.to).contains(&now));
        self.rate_per_s * active.map(|b| b.factor).product::<f64>()
    }

    /// Returns the share of callers of `host`.
    pub fn host_weight(&self, host: usize) -> f64 {
        let weights = &self.host_weights;
        weights.get(host).or(weights.last()).copied().unwrap_or(1.0)
    }
}
