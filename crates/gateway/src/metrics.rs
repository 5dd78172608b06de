//! The `metrics` module defines the host's metrics; `docs/METRICS.md` lists every
//! series. Labels have few values, so there are none for callers or requests.

use std::time::Duration;

use aspenloft_core::errors::{Result, internal};
use aspenloft_core::prelude::Arc;
use aspenloft_telemetry::meters::Meters;
use aspenloft_transport::connections::ConnectionSet;
use opentelemetry::KeyValue;
use opentelemetry::metrics::{AsyncInstrument, Counter, Histogram};

use crate::http::Pool;

/// The bucket boundaries of the latency histograms, in seconds. They cover the latency
/// targets of calls and of first events.
const TIME_BUCKETS_S: [f64; 12] =
    [0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0, 20.0];

/// `Metrics` holds the host's instruments.
#[derive(Debug)]
pub struct Metrics {
    meters: Meters,
    responses: Counter<u64>,
    duration: Histogram<f64>,
    first_event: Histogram<f64>,
    wait: Histogram<f64>,
    prefill: Histogram<f64>,
    decode_start: Histogram<f64>,
    longest_pause: Histogram<f64>,
    failures: Counter<u64>,
    extra_sends: Counter<u64>,
    prompt_tokens: Counter<u64>,
    streams: Counter<u64>,
    connections: Counter<u64>,
    limited_sends: Counter<u64>,
    store_calls: Counter<u64>,
    store_restores: Counter<u64>,
    leases_lost: Counter<u64>,
    forwarded: Counter<u64>,
    accept_failures: Counter<u64>,
}

impl Metrics {
    /// Creates the instruments of the host named `host`.
    pub fn new(host: &str) -> Result<Arc<Metrics>> {
        let meters = Meters::new("aspenloft-gateway", host)?;
        let m = meters.meter();
        let seconds = |name| {
            m.f64_histogram(name).with_unit("s").with_boundaries(TIME_BUCKETS_S.to_vec()).build()
        };
        Ok(Arc::new(Metrics {
            responses: m.u64_counter("aspenloft_gateway_answers").build(),
            duration: seconds("aspenloft_gateway_duration"),
            first_event: seconds("aspenloft_gateway_first_event"),
            wait: seconds("aspenloft_gateway_wait"),
            prefill: seconds("aspenloft_gateway_prefill"),
            decode_start: seconds("aspenloft_gateway_decode_start"),
            longest_pause: seconds("aspenloft_gateway_longest_pause"),
            failures: m.u64_counter("aspenloft_gateway_failures").build(),
            extra_sends: m.u64_counter("aspenloft_gateway_extra_sends").build(),
            prompt_tokens: m.u64_counter("aspenloft_gateway_prompt_tokens").build(),
            streams: m.u64_counter("aspenloft_gateway_streams").build(),
            connections: m.u64_counter("aspenloft_gateway_connections_opened").build(),
            limited_sends: m.u64_counter("aspenloft_gateway_limited_sends").build(),
            store_calls: m.u64_counter("aspenloft_gateway_store_calls").build(),
            store_restores: m.u64_counter("aspenloft_gateway_store_restores").build(),
            leases_lost: m.u64_counter("aspenloft_gateway_leases_lost").build(),
            forwarded: m.u64_counter("aspenloft_gateway_forwarded").build(),
            accept_failures: m.u64_counter("aspenloft_gateway_accept_failures").build(),
            meters,
        }))
    }

    /// Records a response whose head was sent to a caller on `route` after `duration`.
    pub fn responded(&self, route: &str, status: u16, duration: Duration) {
        let labels =
            [KeyValue::new("route", route.to_string()), KeyValue::new("status", i64::from(status))];
        self.responses.add(1, &labels);
        self.duration.record(duration.as_secs_f64(), &labels[..1]);
    }

    /// Records the first event of a stream, sent `after` the request arrived.
    pub fn first_event(&self, after: Duration) {
        self.first_event.record(after.as_secs_f64(), &[]);
    }

    /// Records the time that a request waited to be placed on an engine.
    pub fn waited(&self, wait: Duration) {
        self.wait.record(wait.as_secs_f64(), &[]);
    }

    /// Records the time from the placement of a request to the end of its prefill, and
    /// that from there to the first event, in which the KV cache is transferred and the
    /// first decode step runs.
    pub fn stream_started(&self, prefill: Duration, decode_start: Duration) {
        self.prefill.record(prefill.as_secs_f64(), &[]);
        self.decode_start.record(decode_start.as_secs_f64(), &[]);
    }

    /// Records the outcome of a stream and the longest pause between its events.
    pub fn stream_ended(&self, outcome: &'static str, longest_pause: Duration) {
        self.streams.add(1, &[KeyValue::new("outcome", outcome)]);
        self.longest_pause.record(longest_pause.as_secs_f64(), &[]);
    }

    /// Counts a request that the host refused or that failed, by error code.
    pub fn failed(&self, code: &str) {
        self.failures.add(1, &[KeyValue::new("code", code.to_string())]);
    }

    /// Counts an extra send that the retry budget granted or denied.
    pub fn extra_send(&self, granted: bool) {
        self.extra_sends.add(1, &[KeyValue::new("granted", granted)]);
    }

    /// Counts prompt tokens that a prefill engine processed, by whether a decode engine
    /// used the result.
    pub fn prompt_processed(&self, tokens: u64, used: bool) {
        self.prompt_tokens.add(tokens, &[KeyValue::new("used", used)]);
    }

    /// Counts a new connection to a backend server.
    pub fn connection_opened(&self) {
        self.connections.add(1, &[]);
    }

    /// Counts a send to a backend server that limits its requests.
    pub fn sent_to_limited(&self) {
        self.limited_sends.add(1, &[]);
    }

    /// Counts a call to the platform's key-value service.
    pub fn store_called(&self, call: &'static str, outcome: &'static str) {
        let labels = [KeyValue::new("call", call), KeyValue::new("outcome", outcome)];
        self.store_calls.add(1, &labels);
    }

    /// Counts a return of the key-value service from an older copy.
    pub fn store_restored(&self) {
        self.store_restores.add(1, &[]);
    }

    /// Counts a lease that ended, or may have, while this host held it.
    pub fn lease_lost(&self, purpose: &'static str) {
        self.leases_lost.add(1, &[KeyValue::new("purpose", purpose)]);
    }

    /// Counts a request that another host answered or failed for this one, or that this host
    /// served for another.
    pub fn forwarded(&self, outcome: &'static str) {
        self.forwarded.add(1, &[KeyValue::new("outcome", outcome)]);
    }

    /// Counts a connection that `listener` failed to accept, for instance without descriptors.
    pub fn accept_failed(&self, listener: &'static str) {
        self.accept_failures.add(1, &[KeyValue::new("listener", listener)]);
    }

    /// Shows the connections of `callers` and those of `pool` to backend servers.
    pub fn observe_connections(&self, callers: &Arc<ConnectionSet>, pool: &Arc<Pool>) {
        let (callers, pool) = (Arc::downgrade(callers), Arc::downgrade(pool));
        let closed = callers.clone();
        let observe = move |observer: &dyn AsyncInstrument<u64>| {
            let show = |kind, state, count: usize| {
                let labels = [KeyValue::new("kind", kind), KeyValue::new("state", state)];
                observer.observe(count as u64, &labels);
            };
            if let Some(callers) = callers.upgrade() {
                let (open, idle) = callers.counts();
                show("callers", "in_use", open - idle);
                show("callers", "idle", idle);
            }
            if let Some(pool) = pool.upgrade() {
                let (open, idle) = pool.counts();
                show("servers", "in_use", open.saturating_sub(idle));
                show("servers", "idle", idle);
            }
        };
        let m = self.meters.meter();
        m.u64_observable_gauge("aspenloft_gateway_connections").with_callback(observe).build();
        m.u64_observable_counter("aspenloft_gateway_connections_closed_early")
            .with_callback(move |observer| {
                if let Some(callers) = closed.upgrade() {
                    observer.observe(callers.closed(), &[]);
                }
            })
            .build();
    }

    /// Renders the metrics page for the scraper.
    pub fn render(&self) -> Result<String> {
        let page = self.meters.render()?;
        String::from_utf8(page).map_err(|e| internal(e.to_string()))
    }
}
