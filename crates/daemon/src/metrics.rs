//! The `metrics` module holds the instruments that operators monitor and renders the
//! page that Prometheus scrapes; `docs/METRICS.md` lists every series.
//!
//! Labels are rows of the table, codes and causes, all of which have few values.
//! Callers and requests are never labels, because their number is unbounded.

use std::sync::Arc;
use std::time::Duration;

use aspenloft_core::errors::{ErrorCode, Result};
use aspenloft_telemetry::meters::Meters;
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Gauge, Histogram};

use crate::traffic::Traffic;

/// Bucket boundaries for the time to first token, in seconds.
const TTFT_BUCKETS_S: [f64; 10] = [0.05, 0.1, 0.2, 0.4, 0.8, 1.2, 1.7, 2.5, 5.0, 10.0];

/// Bucket boundaries for the time between tokens, in seconds.
const TBT_BUCKETS_S: [f64; 9] = [0.005, 0.01, 0.02, 0.03, 0.04, 0.047, 0.06, 0.1, 0.5];

/// `LatencyTarget` names one of the two latency targets of a row.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LatencyTarget {
    /// The time to first token; for a service, the time to the complete answer.
    FirstToken,
    /// The mean time between tokens.
    BetweenTokens,
}

/// `Metrics` holds the instruments of one host.
#[derive(Debug)]
pub struct Metrics {
    meters: Meters,
    ttft: Histogram<f64>,
    tbt: Histogram<f64>,
    targets: Counter<u64>,
    requests: Counter<u64>,
    refusals: Counter<u64>,
    wasted: Counter<u64>,
    retries: Counter<u64>,
    in_flight: Gauge<u64>,
    reservations: Gauge<u64>,
}

impl Metrics {
    /// Creates the instruments of the host named `host`. Its control bytes are read
    /// from `traffic`.
    pub fn new(host: &str, traffic: Arc<Traffic>) -> Result<Metrics> {
        let meters = Meters::new("aspenloftd", host)?;
        let m = meters.meter();
        let seconds = |name, buckets: &[f64]| {
            m.f64_histogram(name).with_unit("s").with_boundaries(buckets.to_vec()).build()
        };
        m.u64_observable_counter("aspenloft_control_bytes")
            .with_callback(move |observer| {
                let (sent, received) = traffic.totals();
                observer.observe(sent, &[KeyValue::new("direction", "sent")]);
                observer.observe(received, &[KeyValue::new("direction", "received")]);
            })
            .build();
        Ok(Metrics {
            ttft: seconds("aspenloft_ttft", &TTFT_BUCKETS_S),
            tbt: seconds("aspenloft_time_between_tokens", &TBT_BUCKETS_S),
            targets: m.u64_counter("aspenloft_targets").build(),
            requests: m.u64_counter("aspenloft_requests").build(),
            refusals: m.u64_counter("aspenloft_refusals").build(),
            wasted: m.u64_counter("aspenloft_wasted_prefill_tokens").build(),
            retries: m.u64_counter("aspenloft_retries").build(),
            in_flight: m.u64_gauge("aspenloft_in_flight").build(),
            reservations: m.u64_gauge("aspenloft_reservations").build(),
            meters,
        })
    }

    /// Records a latency of `row` and whether it met its target.
    pub fn record_latency(
        &self,
        row: &str,
        which: LatencyTarget,
        latency: Duration,
        target: Duration,
    ) {
        let (histogram, name) = match which {
            LatencyTarget::FirstToken => (&self.ttft, "ttft"),
            LatencyTarget::BetweenTokens => (&self.tbt, "tbt"),
        };
        histogram.record(latency.as_secs_f64(), &[row_label(row)]);
        let met = KeyValue::new("met", latency <= target);
        self.targets.add(1, &[row_label(row), KeyValue::new("target", name), met]);
    }

    /// Counts a request of `row` that ended with `outcome`.
    pub fn count_request(&self, row: &str, outcome: &'static str) {
        self.requests.add(1, &[row_label(row), KeyValue::new("outcome", outcome)]);
    }

    /// Counts a refused or failed request by its error code: once with its row, if it has
    /// one, and once with an empty `row` if an error response is sent.
    pub fn count_refusal(&self, row: &str, code: ErrorCode) {
        self.refusals.add(1, &[row_label(row), KeyValue::new("code", code.to_string())]);
    }

    /// Counts `tokens` of prefill work of `row` whose result was never used.
    pub fn count_wasted_prefill(&self, row: &str, cause: &'static str, tokens: u64) {
        self.wasted.add(tokens, &[row_label(row), KeyValue::new("cause", cause)]);
    }

    /// Counts a retry of a request of `row`.
    pub fn count_retry(&self, row: &str) {
        self.retries.add(1, &[row_label(row)]);
    }

    /// Renders the page for Prometheus, with the given numbers of requests in flight and
    /// of reservations.
    pub fn render(&self, in_flight: usize, reservations: usize) -> Result<Vec<u8>> {
        self.in_flight.record(in_flight as u64, &[]);
        self.reservations.record(reservations as u64, &[]);
        self.meters.render()
    }
}

fn row_label(row: &str) -> KeyValue {
    KeyValue::new("row", row.to_string())
}
