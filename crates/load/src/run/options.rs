//! The `options` module holds the options of a run and checks their bounds.

use std::net::SocketAddr;
use std::time::Duration;

use aspenloft_core::prelude::Findings;

/// The longest time for which a run or a scenario of a comparison sends requests.
pub const MAX_DURATION: Duration = Duration::from_secs(600);

/// The maximum number of requests in one run.
pub const MAX_COUNT: u64 = 100_000;

/// The highest rate, in requests a second.
pub const MAX_RATE_PER_S: f64 = 5_000.0;

/// `RunOptions` holds the targets, the load and the measured daemons of a run.
#[derive(Debug, Clone)]
pub struct RunOptions {
    /// The addresses at which hosts take callers' requests, used round robin.
    pub routers: Vec<SocketAddr>,
    /// The engines that are reached directly, bypassing the router.
    pub direct: Option<EnginePair>,
    /// The API key of the caller.
    pub key: String,
    /// The name of the model.
    pub model: String,
    /// Arrivals a second.
    pub rate_per_s: f64,
    /// How long requests are sent.
    pub duration: Duration,
    /// The maximum number of requests.
    pub count: u64,
    /// The length of each prompt, in tokens.
    pub prompt_tokens: u64,
    /// The length of each answer, in tokens.
    pub max_tokens: u64,
    /// The time within which an answer must be complete.
    pub timeout: Duration,
    /// The seed of arrivals and prompts.
    pub seed: u64,
    /// The process ids of the daemons whose CPU time and memory are measured.
    pub pids: Vec<u32>,
    /// How long the daemons are measured idle before the first request.
    pub idle: Duration,
}

/// `EnginePair` holds the addresses of a prefill engine and a decode engine.
#[derive(Debug, Clone, Copy)]
pub struct EnginePair {
    /// The address of the prefill engine.
    pub prefill: SocketAddr,
    /// The address of the decode engine.
    pub decode: SocketAddr,
}

impl Default for RunOptions {
    fn default() -> Self {
        RunOptions {
            routers: Vec::new(),
            direct: None,
            key: "demo-key".into(),
            model: "scribe".into(),
            rate_per_s: 10.0,
            duration: Duration::from_secs(10),
            count: 1_000,
            prompt_tokens: 100,
            max_tokens: 50,
            timeout: Duration::from_secs(30),
            seed: 1,
            pids: Vec::new(),
            idle: Duration::ZERO,
        }
    }
}

impl RunOptions {
    /// Returns all findings about the options. Only loopback addresses are accepted, so
    /// that the tool never loads a real deployment by mistake.
    pub fn check(&self) -> Findings {
        let mut findings = Findings::default();
        let pair = self.direct.iter().flat_map(|pair| [pair.prefill, pair.decode]);
        for addr in self.routers.iter().copied().chain(pair) {
            if !addr.ip().is_loopback() {
                findings.add(addr.to_string(), "is not a loopback address");
            }
        }
        if self.routers.is_empty() && self.direct.is_none() {
            findings.add("targets", "give --router, --prefill with --decode, or all three");
        }
        if !(self.rate_per_s > 0.0 && self.rate_per_s <= MAX_RATE_PER_S) {
            findings.add("--rate", format!("must be above 0 and at most {MAX_RATE_PER_S}"));
        }
        if self.duration > MAX_DURATION {
            findings.add("--duration-s", format!("must be at most {}", MAX_DURATION.as_secs()));
        }
        if self.count == 0 || self.count > MAX_COUNT {
            findings.add("--count", format!("must be from 1 to {MAX_COUNT}"));
        }
        if self.max_tokens == 0 {
            findings.add("--max-tokens", "must be at least 1");
        }
        findings
    }
}
