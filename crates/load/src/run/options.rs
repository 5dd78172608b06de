//! The `options` module says what is sent and where, and checks its bounds.

use std::net::SocketAddr;
use std::time::Duration;

use aspenloft_core::prelude::Findings;

/// The longest run.
pub const MAX_DURATION: Duration = Duration::from_secs(600);

/// The most requests of one run.
pub const MAX_COUNT: u64 = 100_000;

/// The highest rate, in requests a second.
pub const MAX_RATE_PER_S: f64 = 5_000.0;

/// `RunOptions` is what is sent and where.
#[derive(Debug, Clone)]
pub struct RunOptions {
    /// Where hosts take callers' requests; they are used in turn.
    pub routers: Vec<SocketAddr>,
    /// The engines that are reached without the router.
    pub direct: Option<EnginePair>,
    /// The caller's key.
    pub key: String,
    /// The model.
    pub model: String,
    /// Arrivals a second.
    pub rate_per_s: f64,
    /// How long requests arrive.
    pub duration: Duration,
    /// The most requests.
    pub count: u64,
    /// Tokens of each prompt.
    pub prompt_tokens: u64,
    /// Tokens of each answer.
    pub max_tokens: u64,
    /// The longest wait for one answer.
    pub timeout: Duration,
    /// The seed of arrivals and prompts.
    pub seed: u64,
    /// The daemons' process ids, for their processor time and memory.
    pub pids: Vec<u32>,
    /// How long the daemons are watched idle before the first request.
    pub idle: Duration,
}

/// `EnginePair` is a prefill engine and a decode engine.
#[derive(Debug, Clone, Copy)]
pub struct EnginePair {
    /// The prefill engine.
    pub prefill: SocketAddr,
    /// The decode engine.
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
    /// Returns all that is wrong with the options. Only loopback addresses are
    /// taken, because the tool must never load a real deployment by mistake.
    pub fn check(&self) -> Findings {
        let mut findings = Findings::default();
        let pair = self.direct.iter().flat_map(|pair| [pair.prefill, pair.decode]);
        for addr in self.routers.iter().copied().chain(pair) {
            if !addr.ip().is_loopback() {
                findings.add(addr.to_string(), "is not a loopback address");
            }
        }
        if self.routers.is_empty() && self.direct.is_none() {
            findings.add("targets", "give --router, or --prefill with --decode, or all three");
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
