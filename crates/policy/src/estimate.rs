//! The `estimate` module learns how long each part of a request takes, from what
//! was measured lately; `docs/design/admission.md` gives the formulas.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use aspenloft_core::prelude::{Name, Tokens};

use crate::queue::work_time;

/// The weight of a new measurement in a moving mean.
const NEW_SHARE: f64 = 0.1;

/// The weight that the past keeps at each step of the regression.
const MEMORY: f64 = 0.98;

/// `MovingAverage` is an exponentially weighted moving mean.
///
/// Source: Roberts, "Control Chart Tests Based on Geometric Moving Averages", 1959.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct MovingAverage {
    value: f64,
    seen: bool,
}

impl MovingAverage {
    /// Adds a measurement.
    pub fn add(&mut self, x: f64) {
        if self.seen {
            self.value += NEW_SHARE * (x - self.value);
        } else {
            *self = MovingAverage { value: x, seen: true };
        }
    }

    /// Returns the mean, or `start` before the first measurement.
    pub fn value_or(&self, start: f64) -> f64 {
        if self.seen { self.value } else { start }
    }
}

/// `StepModel` learns the time of a decode step as a line over active streams.
///
/// It is a least-squares fit with exponential forgetting, clamped to a line that
/// does not fall: more streams never make a step shorter.
#[derive(Debug, Clone, Copy, Default)]
pub struct StepModel {
    n: f64,
    sx: f64,
    sy: f64,
    sxx: f64,
    sxy: f64,
}

impl StepModel {
    /// Adds the time of a step with `active` streams.
    pub fn add(&mut self, active: u32, step: Duration) {
        let (x, y) = (f64::from(active), step.as_secs_f64());
        self.n = self.n * MEMORY + 1.0;
        self.sx = self.sx * MEMORY + x;
        self.sy = self.sy * MEMORY + y;
        self.sxx = self.sxx * MEMORY + x * x;
        self.sxy = self.sxy * MEMORY + x * y;
    }

    /// Predicts the time of a step with `active` streams, if any was measured.
    pub fn predict(&self, active: u32) -> Option<Duration> {
        if self.n <= 0.0 {
            return None;
        }
        let spread = self.n * self.sxx - self.sx * self.sx;
        let slope = (self.n * self.sxy - self.sx * self.sy) / spread;
        let slope = if spread > 1e-9 && slope > 0.0 { slope } else { 0.0 };
        let base = (self.sy - slope * self.sx) / self.n;
        Some(Duration::from_secs_f64((base + slope * f64::from(active)).clamp(0.0, 60.0)))
    }
}

/// `LruTable` is a table of learned values with a bound; the one that was touched
/// longest ago is forgotten first.
#[derive(Debug)]
pub struct LruTable<T> {
    capacity: usize,
    values: HashMap<Name, (T, Instant)>,
}

impl<T: Default> LruTable<T> {
    /// Creates a table of at most `capacity` values.
    pub fn new(capacity: usize) -> LruTable<T> {
        LruTable { capacity, values: HashMap::new() }
    }

    /// Returns the value of `name`.
    pub fn get(&self, name: &str) -> Option<&T> {
        self.values.get(name).map(|(value, _)| value)
    }

    /// Returns the value of `name` for a change, new if need be.
    pub fn get_or_insert(&mut self, name: &Name, now: Instant) -> &mut T {
        if !self.values.contains_key(name) && self.values.len() >= self.capacity {
            self.forget_oldest();
        }
        let entry = self.values.entry(name.clone()).or_insert_with(|| (T::default(), now));
        entry.1 = now;
        &mut entry.0
    }

    fn forget_oldest(&mut self) {
        let oldest = self.values.iter().min_by_key(|(_, (_, at))| *at).map(|(n, _)| n.clone());
        if let Some(name) = oldest {
            self.values.remove(&name);
        }
    }
}

/// `LatencyEstimate` is what a request will likely see on a pair of engines.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct LatencyEstimate {
    /// The wait for the prefill engine.
    pub queue: Duration,
    /// The prefill itself.
    pub prefill: Duration,
    /// The transfer of its result.
    pub transfer: Duration,
    /// The wait for a decode slot after the transfer.
    pub slot: Duration,
    /// Delay on the network, there and back.
    pub network: Duration,
    /// The time between tokens.
    pub step: Duration,
}

impl LatencyEstimate {
    /// Returns when the decode slot is needed, counted from now.
    pub fn decode_starts_in(&self) -> Duration {
        self.queue + self.prefill
    }

    /// Returns the time to the first token.
    pub fn ttft(&self) -> Duration {
        self.queue + self.prefill + self.transfer + self.slot + self.network + self.step
    }
}

/// `LinkModel` learns the rate and the delay between two data centres.
#[derive(Debug, Clone, Copy, Default)]
pub struct LinkModel {
    per_token: MovingAverage,
    /// Tokens of KV cache that are on the link now.
    in_flight: Tokens,
}

/// The time for a token's KV cache on a link that was never measured.
const START_TRANSFER: Duration = Duration::from_micros(2);

impl LinkModel {
    /// Books a transfer on the link.
    pub fn start_transfer(&mut self, tokens: Tokens) {
        self.in_flight += tokens;
    }

    /// Takes a transfer off the link; `took` only when it went through whole.
    pub fn end_transfer(&mut self, tokens: Tokens, took: Option<Duration>) {
        self.in_flight = self.in_flight.saturating_sub(tokens);
        if let Some(took) = took {
            self.per_token.add(took.as_secs_f64() / (tokens.0.max(1)) as f64);
        }
    }

    /// Returns the tokens of KV cache that are on the link now.
    pub fn in_flight(&self) -> Tokens {
        self.in_flight
    }

    /// Returns the time of a token's KV cache.
    pub fn per_token(&self) -> Duration {
        Duration::from_secs_f64(self.per_token.value_or(START_TRANSFER.as_secs_f64()).max(0.0))
    }

    /// Estimates the transfer of `tokens` behind those on the link.
    pub fn transfer_time(&self, tokens: Tokens) -> Duration {
        work_time(self.per_token(), self.in_flight + tokens)
    }

    /// Tells whether `tokens` more still arrive within `limit`.
    pub fn can_carry(&self, tokens: Tokens, limit: Duration) -> bool {
        self.in_flight == Tokens(0) || self.transfer_time(tokens) <= limit
    }
}

/// `Estimates` is what one host has learned.
#[derive(Debug)]
pub struct Estimates {
    /// Seconds for a token of prefill, by backend server.
    pub prefill: LruTable<MovingAverage>,
    /// The time of a decode step, by backend server.
    pub step: LruTable<StepModel>,
    /// Tokens of an answer, by row.
    pub output: LruTable<MovingAverage>,
    /// Links, by `from>to` of data centres.
    pub links: LruTable<LinkModel>,
}

/// Backend servers whose estimates are kept; more than stand before one host.
const MAX_BACKENDS: usize = 1_024;

/// Rows whose answers' lengths are kept.
const MAX_ROWS: usize = 1_024;

/// Pairs of data centres whose links are kept.
const MAX_LINKS: usize = 256;

impl Default for Estimates {
    fn default() -> Self {
        Estimates {
            prefill: LruTable::new(MAX_BACKENDS),
            step: LruTable::new(MAX_BACKENDS),
            output: LruTable::new(MAX_ROWS),
            links: LruTable::new(MAX_LINKS),
        }
    }
}

/// `Weights` is what a row's goodput and wasted prefill count.
#[derive(Debug, Clone, Copy)]
pub struct Weights {
    /// What goodput counts.
    pub goodput: f64,
    /// What wasted prefill counts.
    pub waste: f64,
}

impl Weights {
    /// Returns where between the mean and the longest answer a slot is reserved.
    fn caution(self) -> f64 {
        let sum = self.goodput + self.waste;
        let waste = if sum > 0.0 { (self.waste / sum).clamp(0.0, 1.0) } else { 0.5 };
        LEAST_CAUTION + CAUTION_SPAN * waste
    }
}

/// Where between the mean (0) and the longest answer (1) a row reserves that counts
/// no wasted prefill at all: half of all answers are longer than the mean, and a
/// result that waits for one of those is often lost together with its request.
const LEAST_CAUTION: f64 = 0.375;

/// What full weight on wasted prefill adds to that.
const CAUTION_SPAN: f64 = 0.5;

impl Estimates {
    /// Returns how many tokens an answer of `row` likely has.
    pub fn answer_tokens(&self, row: &str, max_tokens: Tokens) -> Tokens {
        let mean = self.output.get(row).copied().unwrap_or_default();
        Tokens((mean.value_or(max_tokens.0 as f64).ceil() as u64).clamp(1, max_tokens.0.max(1)))
    }

    /// Returns for how many tokens a decode slot is reserved.
    ///
    /// A slot that is promised too early makes a finished prefill wait and be
    /// evicted; one that is promised too late stands idle. The row's weights decide
    /// between the mean answer, which wastes prefill, and the longest allowed, which
    /// wastes slots; see `docs/design/reservations.md`.
    pub fn reserved_tokens(&self, row: &str, max_tokens: Tokens, weights: Weights) -> Tokens {
        let mean = self.answer_tokens(row, max_tokens);
        let rest = max_tokens.saturating_sub(mean).0 as f64;
        Tokens(mean.0 + (rest * weights.caution()).ceil() as u64)
    }

    /// Names the link between two data centres.
    pub fn link_name(from: &str, to: &str) -> Name {
        format!("{from}>{to}").into()
    }
}
