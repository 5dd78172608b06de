//! The `server_limits` module tracks the rates of requests that backend servers in need
//! accept from all hosts together.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use aspenloft_core::prelude::{Arc, SharedClock};
use parking_lot::Mutex;

use crate::dialect::{RateLimit, ResponseMetadata};
use crate::metrics::Metrics;
use crate::roster::Server;

/// The minimum interval between two log lines on the sends to one server.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// A limit that a server has named.
#[derive(Debug)]
struct KnownLimit {
    per_s: f64,
    /// When a response last named it.
    named: Instant,
    /// The sends since `counted_from`.
    sent: u32,
    counted_from: Instant,
}

/// `ServerLimits` holds the limits of backend servers as this host knows them.
pub struct ServerLimits {
    clock: SharedClock,
    metrics: Arc<Metrics>,
    known: Mutex<HashMap<u64, KnownLimit>>,
}

impl ServerLimits {
    /// Creates the limits of a host that knows of none yet.
    pub fn new(clock: SharedClock, metrics: Arc<Metrics>) -> Arc<ServerLimits> {
        Arc::new(ServerLimits { clock, metrics, known: Mutex::default() })
    }

    /// Counts a send to `server` and returns its time.
    pub fn record_send(&self, server: &Server) -> Instant {
        let now = self.clock.now();
        if let Some(limit) = self.known.lock().get_mut(&server.key) {
            limit.sent += 1;
            self.metrics.sent_to_limited();
            log_sends(limit, server, now);
        }
        now
    }

    /// Records whether the response of `server` to a request sent at `sent_at` names a
    /// limit.
    ///
    /// A response without one lifts the limit only if its request was sent after the
    /// limit was last named, because responses may overtake each other.
    pub fn record_response(&self, server: &Server, sent_at: Instant, metadata: &ResponseMetadata) {
        if metadata.misdirected {
            return;
        }
        let now = self.clock.now();
        let instance = &*server.entry.instance;
        let mut known = self.known.lock();
        match metadata.rate_limit {
            Some(RateLimit::PerSecond(per_s)) => {
                let limit = known.entry(server.key).or_insert_with(|| KnownLimit {
                    per_s: f64::INFINITY,
                    named: now,
                    sent: 0,
                    counted_from: now,
                });
                if limit.per_s != per_s {
                    log::info!(event = "server_limited", server = instance, per_s; "");
                }
                (limit.per_s, limit.named) = (per_s, now);
            }
            Some(RateLimit::Unreadable) => {
                log::warn!(event = "server_limit_unreadable", server = instance; "");
            }
            None => {
                let lifted = metadata.sealed
                    && known.get(&server.key).is_some_and(|limit| limit.named <= sent_at);
                if lifted && let Some(limit) = known.remove(&server.key) {
                    log::info!(event = "server_limit_lifted", server = instance, per_s = limit.per_s; "");
                }
            }
        }
    }
}

fn log_sends(limit: &mut KnownLimit, server: &Server, now: Instant) {
    let span = now.saturating_duration_since(limit.counted_from);
    if span < LOG_INTERVAL {
        return;
    }
    let (span_ms, sent) = (span.as_millis() as u64, limit.sent);
    log::info!(
        event = "limited_sends", server = &*server.entry.instance, per_s = limit.per_s, sent,
        span_ms; ""
    );
    (limit.sent, limit.counted_from) = (0, now);
}
