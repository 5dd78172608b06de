//! The `metrics` module counts what operators watch and renders the page that
//! Prometheus scrapes; `docs/METRICS.md` lists every series.
//!
//! Labels are rows of the table, codes and causes, all of which are few. Callers
//! and requests are no labels, because their number has no bound.

use std::sync::Arc;
use std::time::Duration;

use aspenloft_core::errors::{ErrorCode, Result};
use aspenloft_telemetry::meters::Meters;
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Gauge, Histogram};

use crate::traffic::Traffic;

/// Bounds of the buckets for times to first token, in seconds.
const TTFT_BUCKETS_S: [f64; 10] = [0.05, 0.1, 0.2, 0.4, 0.8, 1.2, 1.7, 2.5, 5.0, 10.0];

/// Bounds of the buckets for times between tokens, in seconds.
const TBT_BUCKETS_S: [f64; 9] = [0.005, 0.01, 0.02, 0.03, 0.04, 0.047, 0.06, 0.1, 0.5];

/// `Target` is one of the two latency targets of a row.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Target {
    /// The time to first token; for a service, to the whole answer.
    FirstToken,
    /// The mean time between tokens.
    BetweenTokens,
}

/// `Metrics` holds the host's instruments.
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
    /// Creates the instruments of the host named `host`, whose control bytes
    /// `traffic` counts.
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

    /// Counts a time against a target of `row`.
    pub fn target(&self, row: &str, which: Target, took: Duration, target: Duration) {
        let (histogram, name) = match which {
            Target::FirstToken => (&self.ttft, "ttft"),
            Target::BetweenTokens => (&self.tbt, "tbt"),
        };
        histogram.record(took.as_secs_f64(), &[row_label(row)]);
        let met = KeyValue::new("met", took <= target);
        self.targets.add(1, &[row_label(row), KeyValue::new("target", name), met]);
    }

    /// Counts a request of `row` that has ended.
    pub fn request(&self, row: &str, outcome: &'static str) {
        self.requests.add(1, &[row_label(row), KeyValue::new("outcome", outcome)]);
    }

    /// Counts a refusal; `row` is empty when none was found.
    pub fn refusal(&self, row: &str, code: ErrorCode) {
        self.refusals.add(1, &[row_label(row), KeyValue::new("code", code.to_string())]);
    }

    /// Counts prefill work of `row` whose result was never used.
    pub fn wasted_prefill(&self, row: &str, cause: &'static str, tokens: u64) {
        self.wasted.add(tokens, &[row_label(row), KeyValue::new("cause", cause)]);
    }

    /// Counts a retry of `row`.
    pub fn retry(&self, row: &str) {
        self.retries.add(1, &[row_label(row)]);
    }

    /// Renders the page, with the numbers of work in progress as they are now.
    pub fn page(&self, in_flight: usize, reservations: usize) -> Result<Vec<u8>> {
        self.in_flight.record(in_flight as u64, &[]);
        self.reservations.record(reservations as u64, &[]);
        self.meters.render()
    }
}

fn row_label(row: &str) -> KeyValue {
    KeyValue::new("row", row.to_string())
}
