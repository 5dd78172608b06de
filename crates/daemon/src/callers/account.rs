//! The `account` module follows one request of a caller to its end, then logs it
//! in one line and counts it, for metrics and for service levels.

use std::sync::Arc;
use std::time::{Duration, Instant};

use aspenloft_core::errors::{Error, ErrorCode};
use aspenloft_core::execution::Execution;
use aspenloft_core::prelude::{Name, RequestId};
use aspenloft_table::row::Row;

use crate::levels::record::Latencies;
use crate::limits::service::AdmissionGuard;
use crate::metrics::Target;
use crate::node::Node;

/// `Account` is what is known of one request. Its end is its drop, so that a
/// request whose caller has gone is counted like any other.
pub struct Account {
    node: Arc<Node>,
    id: RequestId,
    row: Arc<Row>,
    caller: Name,
    started: Instant,
    first: Option<Instant>,
    last: Option<Instant>,
    tokens: u64,
    outcome: Outcome,
    /// Holds the request's place under its limits until its end.
    admitted: Option<AdmissionGuard>,
}

/// `Outcome` is how a request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Outcome {
    Gone,
    Answered,
    Failed(ErrorCode, Execution),
}

impl Account {
    /// Opens the account of a request that has been taken.
    pub fn open(node: &Arc<Node>, id: &RequestId, row: &Arc<Row>, caller: &Name) -> Account {
        Account {
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

    /// Notes tokens that came together.
    pub fn tokens(&mut self, count: u64) {
        let now = self.node.clock.now();
        self.first.get_or_insert(now);
        self.last = Some(now);
        self.tokens += count;
    }

    /// Returns the tokens noted so far.
    pub fn generated(&self) -> u64 {
        self.tokens
    }

    /// Notes that the answer is whole.
    pub fn answered(&mut self) {
        self.outcome = Outcome::Answered;
    }

    /// Notes that the request failed.
    pub fn failed(&mut self, e: &Error) {
        self.outcome = Outcome::Failed(e.code, e.execution);
    }

    /// Keeps the request's place under its limits until its end.
    pub fn admitted(&mut self, admitted: AdmissionGuard) {
        self.admitted = Some(admitted);
    }

    /// Counts the request for the burn of its row. One whose caller has gone kept
    /// nobody waiting, and one that its caller got wrong is no loss of service.
    fn count_level(&self, ttft: Duration, tbt: Option<Duration>) {
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

    /// Returns the mean time between tokens, once there were two.
    fn between_tokens(&self) -> Option<Duration> {
        let gaps = u32::try_from(self.tokens.checked_sub(1)?).ok()?;
        let span = self.last?.duration_since(self.first?);
        span.checked_div(gaps)
    }
}

impl Drop for Account {
    fn drop(&mut self) {
        let took = self.node.clock.now().duration_since(self.started);
        let ttft = self.first.map(|first| first.duration_since(self.started));
        let tbt = self.between_tokens();
        let metrics = &self.node.metrics;
        let outcome = match self.outcome {
            Outcome::Gone => "gone",
            Outcome::Answered => "answered",
            Outcome::Failed(..) => "failed",
        };
        metrics.request(&self.row.name, outcome);
        if let Outcome::Failed(code, _) = self.outcome {
            metrics.refusal(&self.row.name, code);
        }
        if let Some(ttft) = ttft {
            metrics.target(&self.row.name, Target::FirstToken, ttft, self.row.ttft);
        }
        if let Some(tbt) = tbt {
            metrics.target(&self.row.name, Target::BetweenTokens, tbt, self.row.tbt);
        }
        self.count_level(ttft.unwrap_or(took), tbt);
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

/// Returns a time in milliseconds; zero for none.
fn millis(time: Option<Duration>) -> f64 {
    time.map_or(0.0, |time| (time.as_secs_f64() * 1e6).round() / 1e3)
}
