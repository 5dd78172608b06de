//! The `server_health` module tracks the health of a backend server from the results of
//! callers' requests.
//!
//! Active health checks cost a call each and can be wrong in both directions, so only
//! the results of requests count: the failure rate is a decaying average, and a server
//! that does not answer at all is excluded for a pause that doubles each time.
//!
//! While a server is down, a queue of requests builds up. When its pause ends, the
//! server looks idle and would attract the whole queue, so a single request probes it
//! first, as in the half-open state of a circuit breaker.

use std::time::{Duration, Instant};

/// The weight of the newest result in the failure rate.
const FAILURE_WEIGHT: f64 = 0.2;

/// The time in which the failure rate halves while no calls are made.
const FAILURE_HALF_LIFE: Duration = Duration::from_secs(3);

/// How long a server is excluded the first time that it does not answer.
const FIRST_PAUSE: Duration = Duration::from_millis(500);

/// The longest exclusion of a server, slightly less than the time that a crashed server
/// takes to restart.
const LONGEST_PAUSE: Duration = Duration::from_secs(2);

/// How long a probe after a pause keeps other requests off the server. The prefill of a
/// typical prompt and its first token take 100 to 400 ms.
const PROBE_WINDOW: Duration = Duration::from_millis(500);

/// `ServerHealth` is the health of one backend server as seen by one host.
#[derive(Debug, Clone, Default)]
pub struct ServerHealth {
    failures: f64,
    updated: Option<Instant>,
    paused_until: Option<Instant>,
    pause: Duration,
    probing: bool,
    answered_at: Option<Instant>,
}

impl ServerHealth {
    /// Records a complete answer.
    pub fn record_success(&mut self, now: Instant) {
        self.update_failure_rate(0.0, now);
        self.answered_at = Some(now);
        self.paused_until = None;
        self.pause = Duration::ZERO;
        self.probing = false;
    }

    /// Records a refused, incomplete or missing answer.
    pub fn record_failure(&mut self, now: Instant) {
        self.update_failure_rate(1.0, now);
    }

    /// Records that the server cannot be reached, and returns the length of its pause.
    pub fn record_unreachable(&mut self, now: Instant) -> Duration {
        self.update_failure_rate(1.0, now);
        if self.is_paused(now) && !self.probing {
            return self.pause;
        }
        self.probing = false;
        self.pause = (self.pause * 2).clamp(FIRST_PAUSE, LONGEST_PAUSE);
        self.paused_until = Some(now + self.pause);
        self.pause
    }

    /// Records that a request is sent to the server. If the server has not answered since
    /// its last pause, the request is a probe: the server is paused for other requests
    /// until the probe succeeds or `PROBE_WINDOW` has passed.
    pub fn record_dispatch(&mut self, now: Instant) {
        if self.pause.is_zero() || self.is_paused(now) {
            return;
        }
        self.probing = true;
        self.paused_until = Some(now + PROBE_WINDOW);
    }

    /// Returns whether the server is excluded at `now`.
    pub fn is_paused(&self, now: Instant) -> bool {
        self.paused_until.is_some_and(|until| now < until)
    }

    /// Returns whether the server has answered within `period`.
    pub fn has_answered_within(&self, period: Duration, now: Instant) -> bool {
        self.answered_at.is_some_and(|at| now.saturating_duration_since(at) < period)
    }

    /// Returns the share of recent calls that failed, from 0 to 1.
    pub fn failure_rate(&self, now: Instant) -> f64 {
        let Some(updated) = self.updated else { return 0.0 };
        let halvings =
            now.saturating_duration_since(updated).as_secs_f64() / FAILURE_HALF_LIFE.as_secs_f64();
        self.failures * 0.5_f64.powf(halvings)
    }

    fn update_failure_rate(&mut self, outcome: f64, now: Instant) {
        let rate = self.failure_rate(now);
        self.failures = rate + (outcome - rate) * FAILURE_WEIGHT;
        self.updated = Some(now);
    }
}
