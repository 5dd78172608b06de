//! The `limits` module enforces the rate limits of the table over all hosts together.
//!
//! One host, the limit's home, issues permits from a token bucket. Other hosts draw
//! permits in small batches according to their demand, through one agent in each data
//! centre, and spend them locally. As each permit is issued and spent once, the sum over
//! all hosts never exceeds the bucket, even when hosts join or leave;
//! `docs/design/limits.md` gives the bounds.

use std::time::{Duration, Instant};

use aspenloft_core::clock::{after, bounded_seconds};

/// The period of expected demand that one draw covers.
pub const DRAW_AHEAD: Duration = Duration::from_millis(250);

/// How long drawn permits are valid. Unspent permits expire, so that a host whose callers
/// have left does not keep a part of the limit.
pub const PERMIT_TTL: Duration = Duration::from_secs(2);

/// The period over which demand is measured.
const DEMAND_SPAN: Duration = Duration::from_secs(1);

/// How long draws must stay unanswered before a host falls back to its own share. A home
/// that is only slow still issues the whole rate, and answers within this time.
pub const HOME_ANSWER_TIMEOUT: Duration = Duration::from_secs(1);

/// The most permits of one draw.
const MAX_DRAW: u32 = 1_000;

/// `PermitBucket` issues the permits of one limit at its home.
///
/// A new bucket is empty: a home that has just taken over a limit does not know what the
/// previous home issued, and an empty bucket never exceeds the limit.
#[derive(Debug, Clone)]
pub struct PermitBucket {
    rate_per_s: f64,
    level: f64,
    filled: Instant,
}

/// `Draw` is the result of drawing permits from a bucket.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Draw {
    /// The number of permits issued.
    pub permits: u32,
    /// The time until the next permit is expected, if none was issued.
    pub retry_after: Duration,
}

impl PermitBucket {
    /// Creates an empty bucket that fills at `rate_per_s`.
    pub fn new(rate_per_s: f64, now: Instant) -> PermitBucket {
        PermitBucket { rate_per_s, level: 0.0, filled: now }
    }

    /// Changes the rate and keeps the permits in the bucket, up to the new capacity.
    pub fn set_rate(&mut self, rate_per_s: f64, now: Instant) {
        self.fill(now);
        self.rate_per_s = rate_per_s;
        self.level = self.level.min(self.capacity());
    }

    /// Issues up to `wanted` permits.
    pub fn draw(&mut self, wanted: u32, now: Instant) -> Draw {
        self.fill(now);
        let permits = wanted.min(self.level as u32);
        self.level -= f64::from(permits);
        let missing = 1.0 - self.level.min(1.0);
        let wait = if permits > 0 { 0.0 } else { missing / self.rate_per_s.max(f64::MIN_POSITIVE) };
        Draw { permits, retry_after: capped_duration(wait) }
    }

    /// Returns when the bucket was last drawn from or its rate was last set, to evict idle
    /// buckets first.
    pub fn last_used(&self) -> Instant {
        self.filled
    }

    /// Returns the capacity: the permits of one second, and at least one.
    fn capacity(&self) -> f64 {
        self.rate_per_s.max(1.0)
    }

    fn fill(&mut self, now: Instant) {
        let span = now.saturating_duration_since(self.filled).as_secs_f64();
        self.level = (self.level + span * self.rate_per_s).min(self.capacity());
        self.filled = self.filled.max(now);
    }
}

/// Converts seconds to a duration of at most one minute, the longest time after which a
/// refused caller is told to retry.
fn capped_duration(seconds: f64) -> Duration {
    const MAX: Duration = Duration::from_secs(60);
    bounded_seconds(seconds, MAX)
}

/// Returns the rate that a host may use while it cannot reach the limit's home: an equal
/// share of `rate_per_s` for each listed host.
pub fn fallback_rate(rate_per_s: f64, listed_hosts: usize) -> f64 {
    rate_per_s / listed_hosts.max(1) as f64
}

/// Returns the rate that a home may issue while `silent` of the `listed` hosts do not
/// answer, because those hosts may be using their fallback shares.
pub fn issued_rate(rate_per_s: f64, listed: usize, silent: usize) -> f64 {
    let listed = listed.max(1);
    let reachable = listed.saturating_sub(silent).max(1);
    rate_per_s * reachable as f64 / listed as f64
}

/// `PermitPool` holds a host's drawn permits for one limit.
#[derive(Debug, Clone)]
pub struct PermitPool {
    permits: u32,
    drawn: Instant,
    demanded: u32,
    span_start: Instant,
    demand_per_s: f64,
    refused_until: Option<Instant>,
    unanswered_since: Option<Instant>,
    /// Permits of the host's own share that the home may also have issued.
    borrowed: u32,
}

/// `SpendOutcome` is the result of spending a permit for one request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum SpendOutcome {
    /// A permit was spent; the request may proceed.
    Granted,
    /// The pool is empty; this number of permits should be drawn from the home.
    Draw(u32),
    /// The limit is exhausted; the caller may retry after this time.
    Refused(Duration),
}

impl PermitPool {
    /// Creates an empty pool.
    pub fn new(now: Instant) -> PermitPool {
        PermitPool {
            permits: 0,
            drawn: now,
            demanded: 0,
            span_start: now,
            demand_per_s: 0.0,
            refused_until: None,
            unanswered_since: None,
            borrowed: 0,
        }
    }

    /// Spends a permit for one request.
    pub fn spend(&mut self, now: Instant) -> SpendOutcome {
        self.record_demand(1, now);
        self.retry_spend(now)
    }

    /// Spends a permit for a request that was already counted as demand.
    pub fn retry_spend(&mut self, now: Instant) -> SpendOutcome {
        if self.take(1, now) == 1 {
            return SpendOutcome::Granted;
        }
        match self.refused_until {
            Some(until) if until > now => SpendOutcome::Refused(until - now),
            _ => SpendOutcome::Draw(self.wanted()),
        }
    }

    /// Takes up to `wanted` permits from the pool, for a host that draws through this one.
    pub fn take(&mut self, wanted: u32, now: Instant) -> u32 {
        if now.saturating_duration_since(self.drawn) > PERMIT_TTL {
            self.permits = 0;
        }
        let taken = wanted.min(self.permits);
        self.permits -= taken;
        taken
    }

    /// Counts the demand of a host that draws through this one, and returns the number of
    /// permits to draw from the home for it. While the home has none, returns the time
    /// after which to retry as an error.
    pub fn upstream_draw(&mut self, wanted: u32, now: Instant) -> Result<u32, Duration> {
        self.record_demand(wanted, now);
        match self.refused_until {
            Some(until) if until > now => Err(until - now),
            _ => Ok(wanted.max(self.wanted())),
        }
    }

    /// Adds the permits of an answered draw, less those that this host took from its own
    /// share in the meantime.
    pub fn record_draw(&mut self, draw: Draw, now: Instant) {
        self.unanswered_since = None;
        let repaid = self.borrowed.min(draw.permits);
        self.borrowed -= repaid;
        self.add_permits(Draw { permits: draw.permits - repaid, ..draw }, now);
    }

    /// Records that a draw was not answered, and returns whether the host may use its own
    /// share. A home that is briefly slow still issues the whole rate.
    pub fn record_unanswered(&mut self, now: Instant) -> bool {
        let since = *self.unanswered_since.get_or_insert(now);
        now.saturating_duration_since(since) >= HOME_ANSWER_TIMEOUT
    }

    /// Adds permits of the host's own share.
    pub fn add_borrowed(&mut self, draw: Draw, now: Instant) {
        self.borrowed += draw.permits;
        self.add_permits(draw, now);
    }

    fn add_permits(&mut self, draw: Draw, now: Instant) {
        if draw.permits == 0 {
            self.refused_until = Some(after(now, draw.retry_after));
            return;
        }
        self.permits += draw.permits;
        self.drawn = now;
        self.refused_until = None;
    }

    /// Returns the number of permits in the pool.
    pub fn available(&self) -> u32 {
        self.permits
    }

    /// Returns when the pool was last used, to evict idle pools first.
    pub fn last_used(&self) -> Instant {
        self.span_start.max(self.drawn)
    }

    /// Returns the number of permits to draw: the demand of [`DRAW_AHEAD`], and at least
    /// one.
    fn wanted(&self) -> u32 {
        let ahead = self.demand_per_s * DRAW_AHEAD.as_secs_f64();
        (ahead.ceil() as u32).clamp(1, MAX_DRAW)
    }

    fn record_demand(&mut self, wanted: u32, now: Instant) {
        let span = now.saturating_duration_since(self.span_start);
        if span >= DEMAND_SPAN {
            self.demand_per_s = f64::from(self.demanded) / span.as_secs_f64();
            self.demanded = 0;
            self.span_start = now;
        }
        self.demanded += wanted;
    }
}
