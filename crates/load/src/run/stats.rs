//! The `stats` module collects the latencies and the outcomes that callers see.

use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use serde::Serialize;

/// The highest latency that a histogram records, in microseconds; higher ones count
/// as this one.
const MAX_LATENCY_US: u64 = 120_000_000;

/// The number of significant digits that a histogram keeps.
const SIGNIFICANT_DIGITS: u8 = 3;

/// `Latencies` is a histogram of latencies.
#[derive(Debug, Clone)]
pub struct Latencies(Histogram<u64>);

impl Default for Latencies {
    fn default() -> Self {
        let histogram = Histogram::new_with_bounds(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS);
        Latencies(histogram.expect("the bounds are valid constants"))
    }
}

impl Latencies {
    /// Records one latency.
    pub fn add(&mut self, latency: Duration) {
        let micros = u64::try_from(latency.as_micros()).unwrap_or(MAX_LATENCY_US);
        self.0.saturating_record(micros.max(1));
    }

    /// Returns the count and the quantiles of the histogram.
    pub fn summary(&self) -> LatencySummary {
        let quantile_ms = |q| self.0.value_at_quantile(q) as f64 / 1_000.0;
        LatencySummary { count: self.0.len(), p50_ms: quantile_ms(0.5), p99_ms: quantile_ms(0.99) }
    }
}

/// `LatencySummary` holds the quantiles of a histogram, in milliseconds.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub struct LatencySummary {
    /// The number of recorded latencies.
    pub count: u64,
    /// The median.
    pub p50_ms: f64,
    /// The 99th percentile.
    pub p99_ms: f64,
}

/// `TokenTimer` measures the token latencies of one answer.
#[derive(Debug)]
pub struct TokenTimer {
    last: Instant,
    /// Time to the first token.
    pub ttft: Option<Duration>,
    /// Times between tokens.
    pub gaps: Vec<Duration>,
}

impl TokenTimer {
    /// Starts the timer of a request that is sent now.
    pub fn start() -> TokenTimer {
        TokenTimer { last: Instant::now(), ttft: None, gaps: Vec::new() }
    }

    /// Records the arrival of a token.
    pub fn record_token(&mut self) {
        let now = Instant::now();
        let gap = now - self.last;
        self.last = now;
        match self.ttft {
            None => self.ttft = Some(gap),
            Some(_) => self.gaps.push(gap),
        }
    }

    /// Returns the number of recorded tokens.
    pub fn token_count(&self) -> u64 {
        self.ttft.map_or(0, |_| 1 + self.gaps.len() as u64)
    }
}

/// `TargetStats` collects the results of the requests to one target.
#[derive(Debug, Default)]
pub struct TargetStats {
    /// Requests sent.
    pub sent: u64,
    /// Requests with complete answers.
    pub whole: u64,
    /// Requests that failed or were refused.
    pub failed: u64,
    /// The error of the first failed request, as an example for the report.
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

    /// Returns the summary of the results so far.
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

/// `TargetSummary` holds the results of the requests to one target.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct TargetSummary {
    /// Requests sent.
    pub sent: u64,
    /// Requests with complete answers.
    pub whole: u64,
    /// Requests that failed or were refused.
    pub failed: u64,
    /// The error of the first failed request.
    pub first_failure: Option<String>,
    /// Tokens received.
    pub tokens: u64,
    /// Time to first token of complete answers.
    pub ttft: LatencySummary,
    /// Time between tokens of complete answers.
    pub between_tokens: LatencySummary,
}
