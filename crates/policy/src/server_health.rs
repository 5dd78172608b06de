//! The `server_health` module judges a backend server by the answers that it gave.
//!
//! Health checks cost a call each and may be wrong either way, therefore what
//! callers' own requests met decides: failures are a decaying average, and a
//! server that does not answer at all is left out for a pause that doubles.
//!
//! The load pattern it answers is a line of requests that waits while a server is
//! dead. The server looks idle when its pause ends, and would draw the whole line;
//! therefore one request tries it first.

use std::time::{Duration, Instant};

/// The weight of the newest outcome in the average of failures.
const FAILURE_WEIGHT: f64 = 0.2;

/// The time in which a share of failures halves while no calls are made.
const FAILURE_HALF_LIFE: Duration = Duration::from_secs(3);

/// How long a server is left out after it did not answer.
const FIRST_PAUSE: Duration = Duration::from_millis(500);

/// The longest time for which a server is left out, a little less than the time
/// that a crashed server takes to come back.
const LONGEST_PAUSE: Duration = Duration::from_secs(2);

/// How long the first request after a pause is alone: reading a usual prompt and its
/// first token take 100 to 400 ms.
const TRIAL: Duration = Duration::from_millis(500);

/// `ServerHealth` is one host's view of one backend server.
#[derive(Debug, Clone, Default)]
pub struct ServerHealth {
    failures: f64,
    updated: Option<Instant>,
    paused_until: Option<Instant>,
    pause: Duration,
    on_trial: bool,
}

impl ServerHealth {
    /// Takes in a whole answer.
    pub fn record_success(&mut self, now: Instant) {
        self.average(0.0, now);
        self.paused_until = None;
        self.pause = Duration::ZERO;
        self.on_trial = false;
    }

    /// Takes in an answer that was refused, broken or missing.
    pub fn record_failure(&mut self, now: Instant) {
        self.average(1.0, now);
    }

    /// Takes in that the server cannot be reached; returns how long it is left out.
    pub fn record_unreachable(&mut self, now: Instant) -> Duration {
        self.average(1.0, now);
        if self.is_paused(now) && !self.on_trial {
            return self.pause;
        }
        self.on_trial = false;
        self.pause = (self.pause * 2).clamp(FIRST_PAUSE, LONGEST_PAUSE);
        self.paused_until = Some(now + self.pause);
        self.pause
    }

    /// Notes that the server is given work. One that has not answered since its pause
    /// gets nothing else for a moment, in which the first request shows whether it is
    /// back.
    pub fn record_dispatch(&mut self, now: Instant) {
        if self.pause.is_zero() || self.is_paused(now) {
            return;
        }
        self.on_trial = true;
        self.paused_until = Some(now + TRIAL);
    }

    /// Tells whether the server is left out at `now`.
    pub fn is_paused(&self, now: Instant) -> bool {
        self.paused_until.is_some_and(|until| now < until)
    }

    /// Returns the share of recent calls that failed, from 0 to 1.
    pub fn failure_rate(&self, now: Instant) -> f64 {
        let Some(updated) = self.updated else { return 0.0 };
        let halvings =
            now.saturating_duration_since(updated).as_secs_f64() / FAILURE_HALF_LIFE.as_secs_f64();
        self.failures * 0.5_f64.powf(halvings)
    }

    fn average(&mut self, outcome: f64, now: Instant) {
        let held = self.failure_rate(now);
        self.failures = held + (outcome - held) * FAILURE_WEIGHT;
        self.updated = Some(now);
    }
}
