//! The `limits` module keeps the rates of the table over all hosts together.
//!
//! A limit is a stream of permits that one host, the limit's home, issues from a
//! token bucket. Other hosts draw permits in small batches that follow their
//! demand, through one agent in each data centre, and spend them locally. Permits
//! exist only once, therefore the sum over all hosts never exceeds the bucket,
//! however hosts come and go; `docs/design/limits.md` gives the bounds.

use std::time::{Duration, Instant};

/// The longest span for which a host draws permits ahead of its demand.
pub const DRAW_AHEAD: Duration = Duration::from_millis(250);

/// How long drawn permits may be kept unspent. Old permits lapse, so that a host
/// whose callers have left does not sit on a share of the limit.
pub const PERMIT_TTL: Duration = Duration::from_secs(2);

/// The span over which demand is measured.
const DEMAND_SPAN: Duration = Duration::from_secs(1);

/// How long draws must have gone unanswered before a host uses its own share. A home
/// that is only slow still issues the whole rate, and answers within this time.
pub const HOME_ANSWER_TIMEOUT: Duration = Duration::from_secs(1);

/// The most permits of one draw.
const MAX_DRAW: u32 = 1_000;

/// `PermitBucket` issues the permits of one limit at its home.
///
/// A new bucket is empty: a home that has just taken a limit over does not know
/// what its forerunner issued, and starting empty can only err on the safe side.
#[derive(Debug, Clone)]
pub struct PermitBucket {
    rate_per_s: f64,
    level: f64,
    filled: Instant,
}

/// `Draw` is the answer of a bucket to a draw.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Draw {
    /// Permits issued.
    pub permits: u32,
    /// When the next permit is likely, if none was issued.
    pub retry_after: Duration,
}

impl PermitBucket {
    /// Creates an empty bucket that fills with `rate_per_s`.
    pub fn new(rate_per_s: f64, now: Instant) -> PermitBucket {
        PermitBucket { rate_per_s, level: 0.0, filled: now }
    }

    /// Changes the rate, keeping what has been filled so far.
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
        Draw { permits, retry_after: bounded(wait) }
    }

    /// Returns when the bucket was last drawn from, for forgetting the idle first.
    pub fn last_used(&self) -> Instant {
        self.filled
    }

    /// The bucket holds a second's permits and at least one.
    fn capacity(&self) -> f64 {
        self.rate_per_s.max(1.0)
    }

    fn fill(&mut self, now: Instant) {
        let span = now.saturating_duration_since(self.filled).as_secs_f64();
        self.level = (self.level + span * self.rate_per_s).min(self.capacity());
        self.filled = self.filled.max(now);
    }
}

/// Turns seconds into a duration of at most a minute, which is when a refused
/// caller may come back at the latest.
fn bounded(seconds: f64) -> Duration {
    const LONGEST_S: f64 = 60.0;
    Duration::from_secs_f64(seconds.clamp(0.0, LONGEST_S))
}

/// Returns the share of `rate_per_s` that a host may use on its own while it
/// cannot reach the limit's home: an equal part for each listed host.
pub fn fallback_rate(rate_per_s: f64, listed_hosts: usize) -> f64 {
    rate_per_s / listed_hosts.max(1) as f64
}

/// Returns the rate that a home may issue while `silent` of the `listed` hosts do
/// not answer: those may be using their fallback shares.
pub fn issued_rate(rate_per_s: f64, listed: usize, silent: usize) -> f64 {
    let listed = listed.max(1);
    let reachable = listed.saturating_sub(silent).max(1);
    rate_per_s * reachable as f64 / listed as f64
}

/// `PermitPool` is a host's stock of drawn permits for one limit.
#[derive(Debug, Clone)]
pub struct PermitPool {
    permits: u32,
    drawn: Instant,
    spent: u32,
    span_start: Instant,
    demand_per_s: f64,
    refused_until: Option<Instant>,
    unanswered_since: Option<Instant>,
    /// Permits of the host's own share that the home may have issued as well.
    owed: u32,
}

/// `Spend` is the answer of a pool to one request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Spend {
    /// The request may go on.
    Granted,
    /// More permits must be drawn first: this many are worth asking for.
    Draw(u32),
    /// The limit is used up; the caller may come back after this time.
    Refused(Duration),
}

impl PermitPool {
    /// Creates an empty pool.
    pub fn new(now: Instant) -> PermitPool {
        PermitPool {
            permits: 0,
            drawn: now,
            spent: 0,
            span_start: now,
            demand_per_s: 0.0,
            refused_until: None,
            unanswered_since: None,
            owed: 0,
        }
    }

    /// Spends a permit for one request.
    pub fn spend(&mut self, now: Instant) -> Spend {
        self.note_demand(1, now);
        self.retry_spend(now)
    }

    /// Spends a permit for a request that has been counted before.
    pub fn retry_spend(&mut self, now: Instant) -> Spend {
        if self.take(1, now) == 1 {
            return Spend::Granted;
        }
        match self.refused_until {
            Some(until) if until > now => Spend::Refused(until - now),
            _ => Spend::Draw(self.wanted()),
        }
    }

    /// Takes up to `wanted` permits out of the stock, for a host that draws here.
    pub fn take(&mut self, wanted: u32, now: Instant) -> u32 {
        if now.saturating_duration_since(self.drawn) > PERMIT_TTL {
            self.permits = 0;
        }
        let taken = wanted.min(self.permits);
        self.permits -= taken;
        taken
    }

    /// Counts the demand of a host that draws here, and returns what is worth
    /// drawing from the home for it; `Err` while the home has nothing.
    pub fn upstream_draw(&mut self, wanted: u32, now: Instant) -> Result<u32, Duration> {
        self.note_demand(wanted, now);
        match self.refused_until {
            Some(until) if until > now => Err(until - now),
            _ => Ok(wanted.max(self.wanted())),
        }
    }

    /// Takes in the answer to a draw. Permits that this host took from its own share
    /// in the meantime are paid back out of it.
    pub fn record_draw(&mut self, draw: Draw, now: Instant) {
        self.unanswered_since = None;
        let repaid = self.owed.min(draw.permits);
        self.owed -= repaid;
        self.stock_up(Draw { permits: draw.permits - repaid, ..draw }, now);
    }

    /// Notes that a draw was not answered, and tells whether the host may use its own
    /// share: a home that is late for a moment still issues the whole rate.
    pub fn record_unanswered(&mut self, now: Instant) -> bool {
        let since = *self.unanswered_since.get_or_insert(now);
        now.saturating_duration_since(since) >= HOME_ANSWER_TIMEOUT
    }

    /// Takes permits of the host's own share into stock.
    pub fn add_borrowed(&mut self, draw: Draw, now: Instant) {
        self.owed += draw.permits;
        self.stock_up(draw, now);
    }

    fn stock_up(&mut self, draw: Draw, now: Instant) {
        if draw.permits == 0 {
            self.refused_until = Some(now + draw.retry_after);
            return;
        }
        self.permits += draw.permits;
        self.drawn = now;
        self.refused_until = None;
    }

    /// Returns how many permits are in stock.
    pub fn available(&self) -> u32 {
        self.permits
    }

    /// Returns when the pool was last of use, for forgetting the idle first.
    pub fn last_used(&self) -> Instant {
        self.span_start.max(self.drawn)
    }

    /// A draw covers the demand of a short span ahead, and at least one request.
    fn wanted(&self) -> u32 {
        let ahead = self.demand_per_s * DRAW_AHEAD.as_secs_f64();
        (ahead.ceil() as u32).clamp(1, MAX_DRAW)
    }

    fn note_demand(&mut self, wanted: u32, now: Instant) {
        let span = now.saturating_duration_since(self.span_start);
        if span >= DEMAND_SPAN {
            self.demand_per_s = f64::from(self.spent) / span.as_secs_f64();
            self.spent = 0;
            self.span_start = now;
        }
        self.spent += wanted;
    }
}
