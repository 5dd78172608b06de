//! The `score` module records the outcome of every request of a run and computes the
//! metrics of the run.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Serialize;

use super::workload::{Request, RequestNo};
use crate::run::stats::{Latencies, LatencySummary};

/// The share of gaps between tokens that may exceed the target, in percent.
const MAX_LATE_GAPS_PERCENT: u64 = 5;

/// The time after a refusal within which the start of a request with a lower priority
/// counts as a refusal in the wrong order.
const WRONG_ORDER_WINDOW: Duration = Duration::from_millis(100);

/// `Outcome` is the way in which a request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The caller got the complete answer.
    Served,
    /// It was refused before any engine ran it.
    Refused,
    /// It was accepted, but the caller got no complete answer.
    Failed,
}

/// `RequestRecord` holds the outcome and the latencies of one request.
#[derive(Debug, Clone, Default)]
pub struct RequestRecord {
    /// The outcome with its time, if the request has ended.
    pub ended: Option<(Outcome, Duration)>,
    /// When the first prefill was sent to an engine.
    pub started: Option<Duration>,
    /// Time to first token, as the caller sees it.
    pub ttft: Option<Duration>,
    /// The number of gaps between tokens.
    pub gaps: u64,
    /// The number of gaps above the target.
    pub late_gaps: u64,
}

/// `Score` holds the metrics of one run.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct Score {
    /// The number of requests.
    pub arrivals: u64,
    /// Requests with complete answers.
    pub served: u64,
    /// Requests with complete answers that met both latency targets.
    pub good: u64,
    /// Refused requests.
    pub refused: u64,
    /// Accepted requests without a complete answer.
    pub failed: u64,
    /// Refused requests for which a later request with a lower priority was started
    /// shortly after.
    pub wrong_order_refusals: u64,
    /// Prompt tokens that were computed in prefills.
    pub prefill_tokens: u64,
    /// Of those, tokens whose result was never used, including those of partial
    /// prefills.
    pub wasted_tokens: u64,
    /// Share of prefill work that was wasted, in percent.
    pub wasted_percent: f64,
    /// Share of arrivals that met both targets, in percent.
    pub goodput_percent: f64,
    /// The smallest ratio of served tokens to the fair share among callers and
    /// priorities, in percent. Only those count that requested more than their share.
    pub worst_share_percent: f64,
    /// Time to first token of complete answers.
    pub ttft: LatencySummary,
    /// Engine crashes caused by the poisoned request.
    pub poisoned_deaths: u64,
}

/// `RunRecord` collects the outcomes of a run while it progresses.
#[derive(Debug, Default)]
pub struct RunRecord {
    /// The records of the requests, by `RequestNo`.
    pub requests: Vec<RequestRecord>,
    /// Prompt tokens that were computed in prefills, including partial ones.
    pub prefill_tokens: u64,
    /// Of those, tokens whose result was used.
    pub used_tokens: u64,
    /// Engine crashes caused by the poisoned request.
    pub poisoned_deaths: u64,
}

impl RunRecord {
    /// Creates an empty record of a run with `requests` requests.
    pub fn new(requests: usize) -> RunRecord {
        RunRecord { requests: vec![RequestRecord::default(); requests], ..RunRecord::default() }
    }

    /// Records the time between two tokens of a request.
    pub fn record_gap(&mut self, no: RequestNo, gap: Duration, target: Duration) {
        let record = &mut self.requests[no];
        record.gaps += 1;
        record.late_gaps += u64::from(gap > target);
    }

    /// Computes the metrics of the run.
    pub fn score(&self, requests: &[Request], ttft: Duration) -> Score {
        let mut score = Score {
            arrivals: requests.len() as u64,
            prefill_tokens: self.prefill_tokens,
            wasted_tokens: self.prefill_tokens - self.used_tokens,
            poisoned_deaths: self.poisoned_deaths,
            ..Score::default()
        };
        let mut latencies = Latencies::default();
        for record in &self.requests {
            match record.ended {
                Some((Outcome::Served, _)) => {
                    score.served += 1;
                    score.good += u64::from(is_good(record, ttft));
                    latencies.add(record.ttft.unwrap_or_default());
                }
                Some((Outcome::Refused, _)) => score.refused += 1,
                // Requests that have not ended by the end of the run count as failed.
                Some((Outcome::Failed, _)) | None => score.failed += 1,
            }
        }
        score.ttft = latencies.summary();
        score.goodput_percent = percent(score.good, score.arrivals);
        score.wasted_percent = percent(score.wasted_tokens, score.prefill_tokens);
        score.wrong_order_refusals = self.count_wrong_order_refusals(requests);
        score.worst_share_percent = self.compute_worst_share_percent(requests);
        score
    }

    fn count_wrong_order_refusals(&self, requests: &[Request]) -> u64 {
        let starts: Vec<(Duration, &Request)> = self
            .requests
            .iter()
            .zip(requests)
            .filter_map(|(record, request)| Some((record.started?, request)))
            .collect();
        let wrong = self.requests.iter().zip(requests).filter(|(record, refused)| {
            let Some((Outcome::Refused, at)) = record.ended else { return false };
            starts.iter().any(|(started, other)| {
                let soon = (at..at + WRONG_ORDER_WINDOW).contains(started);
                soon && other.priority < refused.priority && other.arrives_at > refused.arrives_at
            })
        });
        wrong.count() as u64
    }

    /// Compares the tokens served to each caller and priority with a weighted max-min
    /// fair allocation of all tokens served; returns the smallest ratio, in percent.
    ///
    /// Source: Bertsekas and Gallager, "Data Networks", 1992, section 6.5.2.
    fn compute_worst_share_percent(&self, requests: &[Request]) -> f64 {
        let mut flows: BTreeMap<(usize, u8), FlowTokens> = BTreeMap::new();
        for (record, request) in self.requests.iter().zip(requests) {
            let flow = flows.entry((request.caller, request.priority)).or_default();
            flow.requested += request.output_tokens as f64;
            if matches!(record.ended, Some((Outcome::Served, _))) {
                flow.served += request.output_tokens as f64;
            }
        }
        let total: f64 = flows.values().map(|flow| flow.served).sum();
        let level = fair_level(&flows, total);
        let limited =
            flows.iter().filter(|((_, priority), flow)| flow.requested > level * weight(*priority));
        let shares = limited.map(|((_, priority), flow)| {
            100.0 * flow.served / (level * weight(*priority)).max(1.0)
        });
        shares.fold(100.0, f64::min)
    }
}

/// `FlowTokens` holds the tokens that one caller requested and received with one
/// priority.
#[derive(Debug, Default)]
struct FlowTokens {
    requested: f64,
    served: f64,
}

/// Returns the weight of a priority in the fair allocation. Each step of priority
/// doubles the share, as in admission.
fn weight(priority: u8) -> f64 {
    f64::from(1_u32 << priority)
}

/// Finds the level at which the fair shares of the flows add up to `total`, by
/// bisection.
fn fair_level(flows: &BTreeMap<(usize, u8), FlowTokens>, total: f64) -> f64 {
    let (mut low, mut high) = (0.0, total.max(1.0));
    for _ in 0..100 {
        let level = (low + high) / 2.0;
        let sum: f64 = flows
            .iter()
            .map(|((_, priority), flow)| flow.requested.min(level * weight(*priority)))
            .sum();
        if sum < total { low = level } else { high = level }
    }
    high
}

fn is_good(record: &RequestRecord, ttft: Duration) -> bool {
    let first = record.ttft.is_some_and(|first| first <= ttft);
    first && record.late_gaps * 100 <= record.gaps * MAX_LATE_GAPS_PERCENT
}

fn percent(part: u64, total: u64) -> f64 {
    if total == 0 { 0.0 } else { 100.0 * part as f64 / total as f64 }
}
