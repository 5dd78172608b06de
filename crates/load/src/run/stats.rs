//! The `stats` module gathers what callers saw.

use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use serde::Serialize;

/// The highest latency that a histogram tells apart, in microseconds.
const MAX_LATENCY_US: u64 = 120_000_000;

/// Significant digits of a histogram.
const SIGNIFICANT_DIGITS: u8 = 3;

/// `Latencies` is a histogram of latencies.
#[derive(Debug, Clone)]
pub struct Latencies(Histogram<u64>);

impl Default for Latencies {
    fn default() -> Self {
        let bounds = Histogram::new_with_bounds(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS);
        Latencies(bounds.expect("the bounds are constant and sound"))
    }
}

impl Latencies {
    /// Adds one latency.
    pub fn add(&mut self, latency: Duration) {
        let micros = u64::try_from(latency.as_micros()).unwrap_or(MAX_LATENCY_US);
        self.0.saturating_record(micros.max(1));
    }

    /// Summarises the histogram.
    pub fn summary(&self) -> LatencySummary {
        let quantile_ms = |q| self.0.value_at_quantile(q) as f64 / 1_000.0;
        LatencySummary { count: self.0.len(), p50_ms: quantile_ms(0.5), p99_ms: quantile_ms(0.99) }
    }
}

/// `LatencySummary` is a histogram's quantiles, in milliseconds.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub struct LatencySummary {
    /// How many latencies were seen.
    pub count: u64,
    /// The median.
    pub p50_ms: f64,
    /// The 99th percentile.
    pub p99_ms: f64,
}

/// `TokenTimer` notes the course of one answer.
#[derive(Debug)]
pub struct TokenTimer {
    last: Instant,
    /// Time to the first token.
    pub ttft: Option<Duration>,
    /// Times between tokens.
    pub gaps: Vec<Duration>,
}

impl TokenTimer {
    /// Creates an observer of a request that is sent now.
    pub fn start() -> TokenTimer {
        TokenTimer { last: Instant::now(), ttft: None, gaps: Vec::new() }
    }

    /// Notes a token.
    pub fn record_token(&mut self) {
        let now = Instant::now();
        let gap = now - self.last;
        self.last = now;
        match self.ttft {
            None => self.ttft = Some(gap),
            Some(_) => self.gaps.push(gap),
        }
    }

    /// Counts the tokens seen.
    pub fn token_count(&self) -> u64 {
        self.ttft.map_or(0, |_| 1 + self.gaps.len() as u64)
    }
}

/// `TargetStats` is what callers of one target saw.
#[derive(Debug, Default)]
pub struct TargetStats {
    /// Requests sent.
    pub sent: u64,
    /// Answers that were whole.
    pub whole: u64,
    /// Requests that failed or were refused.
    pub failed: u64,
    /// The first failure, for the reader.
    pub first_failure: Option<String>,
    /// Tokens received.
    pub tokens: u64,
    ttft: Latencies,
    between_tokens: Latencies,
}

impl TargetStats {
    /// Adds the outcome of one request.
    pub fn add(&mut self, timer: &TokenTimer, outcome: Result<(), String>) {
        self.sent += 1;
        self.tokens += timer.token_count();
        if let Err(error) = outcome {
            self.failed += 1;
            self.first_failure.get_or_insert(error);
            return;
        }
        self.whole += 1;
        if let Some(ttft) = timer.ttft {
            self.ttft.add(ttft);
        }
        for gap in &timer.gaps {
            self.between_tokens.add(*gap);
        }
    }

    /// Summarises the target.
    pub fn summary(&self) -> TargetSummary {
        TargetSummary {
            sent: self.sent,
            whole: self.whole,
            failed: self.failed,
            first_failure: self.first_failure.clone(),
            tokens: self.tokens,
            ttft: self.ttft.summary(),
            between_tokens: self.between_tokens.summary(),
        }
    }
}

/// `TargetSummary` is the summary of one target.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct TargetSummary {
    /// Requests sent.
    pub sent: u64,
    /// Answers that were whole.
    pub whole: u64,
    /// Requests that failed or were refused.
    pub failed: u64,
    /// The first failure.
    pub first_failure: Option<String>,
    /// Tokens received.
    pub tokens: u64,
    /// Time to first token of whole answers.
    pub ttft: LatencySummary,
    /// Time between tokens of whole answers.
    pub between_tokens: LatencySummary,
}
