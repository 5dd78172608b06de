//! The `request_pacer` module spaces the requests of all hosts to one backend server
//! that accepts only a limited rate.
//!
//! One host, the server's home, books a time for each request, and the host that asked
//! sends at that time. Nothing is drawn in advance, so a host that stops holds at most the
//! requests that it has asked for. [`crate::limits`] has the limits of the table, where
//! rates are high and permits are drawn in batches.

use std::time::{Duration, Instant};

use aspenloft_core::clock::bounded_seconds;

/// How far requests may run ahead of an even spacing, so that a free server need not
/// wait for the exact time of the next request.
const BURST: Duration = Duration::from_millis(250);

/// The lowest rate that is ever booked, in requests per second for all hosts together.
/// Without requests, hosts would not notice that the server has lifted its limit.
const MIN_RATE: f64 = 0.2;

/// The highest rate that is booked. A server that names a higher one has as good as no limit.
const MAX_RATE: f64 = 1e6;

/// The longest wait that is booked or reported.
pub const MAX_WAIT: Duration = Duration::from_secs(60);

/// `Booking` is the result of asking for the time of one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Booking {
    /// The request may be sent after this wait.
    Granted(Duration),
    /// The wait would be this long, which is too long for the request; nothing is booked.
    Refused(Duration),
}

/// `RequestPacer` books the times of requests to one server.
///
/// A new pacer starts without any unused time: a host that has just become the home of a
/// server does not know what the previous home booked.
#[derive(Debug, Clone)]
pub struct RequestPacer {
    interval: Duration,
    /// When the next request is due by an even spacing.
    due: Instant,
}

impl RequestPacer {
    /// Creates a pacer of `per_s` requests per second.
    pub fn new(per_s: f64, now: Instant) -> RequestPacer {
        let interval = interval(per_s);
        RequestPacer { interval, due: now + interval }
    }

    /// Changes the rate. The requests that are booked already keep their times, and those
    /// after them follow at the new rate.
    pub fn set_rate(&mut self, per_s: f64, now: Instant) {
        let next = interval(per_s);
        let booked = self.due.saturating_duration_since(now);
        let scaled = booked.mul_f64(next.as_secs_f64() / self.interval.as_secs_f64());
        (self.interval, self.due) = (next, now + scaled.min(MAX_WAIT));
    }

    /// Books the time of one request that can wait up to `max_wait`.
    pub fn book(&mut self, max_wait: Duration, now: Instant) -> Booking {
        let earliest = self.due.checked_sub(BURST).unwrap_or(now);
        let wait = earliest.saturating_duration_since(now);
        if wait > max_wait.min(MAX_WAIT) {
            return Booking::Refused(wait);
        }
        self.due = self.due.max(now) + self.interval;
        Booking::Granted(wait)
    }
}

/// Returns the time between two requests, which is never zero: ratios of intervals are finite.
fn interval(per_s: f64) -> Duration {
    // Unlike `clamp`, `max` takes the lowest rate for one that is no number.
    let per_s = if per_s > MAX_RATE { MAX_RATE } else { per_s.max(f64::MIN_POSITIVE) };
    bounded_seconds(1.0 / per_s, MAX_WAIT)
}

/// Returns the rate that a home books for a server that accepts `per_s` requests per
/// second, while it hears of `live` of the `listed` hosts, itself included.
///
/// Hosts that it does not hear of may have a home of their own. Each group of hosts
/// that are in contact uses its share, so the sum stays within the limit however the hosts
/// are cut off from each other.
pub fn booked_rate(per_s: f64, live: usize, listed: usize) -> f64 {
    crate::limits::issued_rate(per_s.max(MIN_RATE), listed, listed.saturating_sub(live))
}
