//! The `account` module records one request of a caller. At its end it logs the request
//! in one line and counts it for metrics and service levels.

use std::sync::Arc;
use std::time::{Duration, Instant};

use aspenloft_core::errors::{Error, ErrorCode};
use aspenloft_core::execution::Execution;
use aspenloft_core::prelude::{Name, RequestId};
use aspenloft_table::row::Row;

use crate::levels::record::Latencies;
use crate::limits::service::AdmissionGuard;
use crate::metrics::LatencyTarget;
use crate::node::Node;

/// `RequestRecord` records the progress and outcome of one request. It is logged and
/// counted on drop, so that a request whose caller disconnected is included.
pub struct RequestRecord {
    node: Arc<Node>,
    id: RequestId,
    row: Arc<Row>,
    caller: Name,
    started: Instant,
    first: Option<Instant>,
    last: Option<Instant>,
    tokens: u64,
    outcome: Outcome,
    /// Counts the request under its limits until the end of the request.
    admitted: Option<AdmissionGuard>,
}

/// `Outcome` is how a request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Outcome {
    Gone,
    Answered,
    Failed(ErrorCode, Execution),
}

impl RequestRecord {
    /// Starts the record of a request that was authenticated and has a row.
    pub fn start(node: &Arc<Node>, id: &RequestId, row: &Arc<Row>, caller: &Name) -> RequestRecord {
        RequestRecord {
            node: node.clone(),
            id: id.clone(),
            row: row.clone(),
            caller: caller.clone(),
            started: node.clock.now(),
            first: None,
            last: None,
            tokens: 0,
            outcome: Outcome::Gone,
            admitted: None,
        }
    }

    /// Records `count` tokens that arrived together.
    pub fn add_tokens(&mut self, count: u64) {
        let now = self.node.clock.now();
        self.first.get_or_insert(now);
        self.last = Some(now);
        self.tokens += count;
    }

    /// Returns the number of tokens recorded so far.
    pub fn generated_tokens(&self) -> u64 {
        self.tokens
    }

    /// Records that the answer is complete.
    pub fn set_answered(&mut self) {
        self.outcome = Outcome::Answered;
    }

    /// Records the error with which the request failed.
    pub fn set_failed(&mut self, e: &Error) {
        self.outcome = Outcome::Failed(e.code, e.execution);
    }

    /// Keeps the request counted under its limits until the end of the request.
    pub fn set_admitted(&mut self, admitted: AdmissionGuard) {
        self.admitted = Some(admitted);
    }

    /// Counts the request for the service-level burn of its row. Requests whose caller
    /// disconnected, and errors of the caller, are no loss of service and not counted.
    fn count_service_level(&self, ttft: Duration, tbt: Option<Duration>) {
        let levels = &self.node.levels;
        let now = self.node.clock.now();
        match self.outcome {
            Outcome::Answered => levels.record_served(&self.row, Latencies { ttft, tbt }, now),
            Outcome::Gone => (),
            Outcome::Failed(ErrorCode::Cancelled | ErrorCode::Invalid | ErrorCode::Conflict, _) => {
            }
            Outcome::Failed(_, Execution::NotRun) => levels.record_refused(&self.row.name, now),
            Outcome::Failed(..) => levels.record_failed(&self.row.name, now),
        }
    }

    /// Returns the mean time between tokens, or `None` before the second one.
    fn mean_token_interval(&self) -> Option<Duration> {
        let gaps = u32::try_from(self.tokens.checked_sub(1)?).ok()?;
        let span = self.last?.duration_since(self.first?);
        span.checked_div(gaps)
    }
}

impl Drop for RequestRecord {
    fn drop(&mut self) {
        let took = self.node.clock.now().duration_since(self.started);
        let ttft = self.first.map(|first| first.duration_since(self.started));
        let tbt = self.mean_token_interval();
        let metrics = &self.node.metrics;
        let outcome = match self.outcome {
            Outcome::Gone => "gone",
            Outcome::Answered => "answered",
            Outcome::Failed(..) => "failed",
        };
        metrics.count_request(&self.row.name, outcome);
        if let Outcome::Failed(code, _) = self.outcome {
            metrics.count_refusal(&self.row.name, code);
        }
        if let Some(ttft) = ttft {
            metrics.record_latency(&self.row.name, LatencyTarget::FirstToken, ttft, self.row.ttft);
        }
        if let Some(tbt) = tbt {
            metrics.record_latency(&self.row.name, LatencyTarget::BetweenTokens, tbt, self.row.tbt);
        }
        self.count_service_level(ttft.unwrap_or(took), tbt);
        let code = match self.outcome {
            Outcome::Failed(code, _) => code.to_string(),
            _ => String::new(),
        };
        log::info!(
            event = "request",
            request = self.id.as_str(),
            row = &*self.row.name,
            caller = &*self.caller,
            outcome = outcome,
            code = code.as_str(),
            tokens = self.tokens,
            ttft_ms = millis(ttft),
            tbt_ms = millis(tbt),
            took_ms = millis(Some(took));
            ""
        );
    }
}

/// Returns a time in milliseconds with three decimal places, or zero for `None`.
fn millis(time: Option<Duration>) -> f64 {
    time.map_or(0.0, |time| (time.as_secs_f64() * 1e6).round() / 1e3)
}
